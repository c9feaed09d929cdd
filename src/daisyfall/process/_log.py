"""Log lines of one process: one for each change of state, as text or JSON, without secrets.

Other modules log with loguru itself and bind what the line is about:
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
SHOWN_FRAMES = 6

_SECRET_FIELD = re.compile(
    r"(?i)(^|_)(token|tokens|key|keys|secret|proof|authorization|token_hash|salt)$"
)
_BEARER = re.compile(r"(?i)\b(bearer\s+)\S+")


def configure(settings: _settings.Settings, stream=None) -> None:
    """Send the log to `stream` (default: standard error) in the form that the settings name."""
    stream = stream or sys.stderr
    secrets = [text for text in (*settings.keys, *settings.operator_tokens) if text]
    write = _write_json if settings.log.json else _write_text

    def redact(text: str) -> str:
        for secret in secrets:
            text = text.replace(secret, REDACTED)
        return _BEARER.sub(rf"\1{REDACTED}", text)

    def sink(message) -> None:
        stream.write(f"{write(_describe(message.record, redact))}\n")
        stream.flush()

    logger.remove()
    logger.configure(extra={"process": settings.id, "role": settings.role})
    # The trace is formatted in `_describe`; loguru's own shows the values of variables.
    logger.add(sink, level=settings.log.level, format="{message}", diagnose=False)


def _describe(record: dict, redact: Callable[[str], str]) -> dict:
    """Return the fields of one line; `at`, `level` and `text` come first."""
    line = {
        "at": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "text": redact(record["message"]),
    }
    for name, value in record["extra"].items():
        if _SECRET_FIELD.search(name):
            line[name] = REDACTED
        else:
            is_plain = value is None or isinstance(value, bool | int | float)
            line[name] = value if is_plain else redact(str(value))
    error = record["exception"]
    if error and error.type:
        line["error"] = redact(f"{error.type.__name__}: {error.value}")
        frames = traceback.extract_tb(error.traceback)[-SHOWN_FRAMES:]
        line["trace"] = " < ".join(f"{x.filename}:{x.lineno} {x.name}" for x in reversed(frames))
    return line


def _write_json(line: dict) -> str:
    return json.dumps(line, ensure_ascii=False)


def _write_text(line: dict) -> str:
    at, level, text, *_ = line.values()
    fields = list(line.items())[3:]
    pairs = " ".join(f"{name}={_quote(value)}" for name, value in fields)
    return f"{at} {level} {text.replace(chr(10), ' ')} {pairs}"


def _quote(value: object) -> str:
    text = str(value)
    is_plain = text and not re.search(r'[\s"=]', text)
    return text if is_plain else json.dumps(text, ensure_ascii=False)
