"""Logging of one process as text or JSON; secrets are redacted.

Each change of state is logged once. Modules use loguru and bind the ids of what they log about:
`logger.bind(job=..., upstream=..., epoch=..., version=...).info("shard activated")`.
"""

import json
import re
import sys
import traceback
from collections.abc import Callable

from loguru import logger

from daisyfall.process import _settings

REDACTED = "<redacted>"
MAX_TRACE_FRAMES = 6

_SECRET_FIELD = re.compile(
    r"(?i)(^|_)(token|tokens|key|keys|secret|proof|authorization|token_hash|salt)$"
)
_BEARER = re.compile(r"(?i)\b(bearer\s+)\S+")


def configure(settings: _settings.Settings, stream=None) -> None:
    """Log to `stream` (default: standard error) in the format given by the settings."""
    stream = stream or sys.stderr
    secrets = [text for text in (*settings.keys, *settings.operator_tokens) if text]
    format_line = _format_json if settings.log.json else _format_text

    def redact(text: str) -> str:
        for secret in secrets:
            text = text.replace(secret, REDACTED)
        return _BEARER.sub(rf"\1{REDACTED}", text)

    def sink(message) -> None:
        stream.write(f"{format_line(_to_fields(message.record, redact))}\n")
        stream.flush()

    logger.remove()
    logger.configure(extra={"process": settings.id, "role": settings.role})
    # `_to_fields` formats the traceback: loguru's own would show the values of variables.
    logger.add(sink, level=settings.log.level, format="{message}", diagnose=False)


def _to_fields(record: dict, redact: Callable[[str], str]) -> dict:
    """Return the fields of a log line; `at`, `level` and `text` come first."""
    fields = {
        "at": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "text": redact(record["message"]),
    }
    for name, value in record["extra"].items():
        if _SECRET_FIELD.search(name):
            fields[name] = REDACTED
        else:
            is_plain = value is None or isinstance(value, bool | int | float)
            fields[name] = value if is_plain else redact(str(value))
    error = record["exception"]
    if error and error.type:
        fields["error"] = redact(f"{error.type.__name__}: {error.value}")
        frames = traceback.extract_tb(error.traceback)[-MAX_TRACE_FRAMES:]
        fields["trace"] = " < ".join(
            f"{frame.filename}:{frame.lineno} {frame.name}" for frame in reversed(frames)
        )
    return fields


def _format_json(fields: dict) -> str:
    return json.dumps(fields, ensure_ascii=False)


def _format_text(fields: dict) -> str:
    at, level, text, *_ = fields.values()
    extra_fields = list(fields.items())[3:]
    pairs = " ".join(f"{name}={_quote(value)}" for name, value in extra_fields)
    return f"{at} {level} {text.replace(chr(10), ' ')} {pairs}"


def _quote(value: object) -> str:
    text = str(value)
    is_plain = text and not re.search(r'[\s"=]', text)
    return text if is_plain else json.dumps(text, ensure_ascii=False)
