"""Log lines of one process: one for each change of state, as text or JSON, without secrets."""

import json
import re
import sys

from loguru import logger

from daisyfall.process import _settings

# Fields whose names end so are never written.
_SECRET_FIELDS = ("token", "key", "keys", "secret", "proof", "authorization", "token_hash", "salt")
_BEARER = re.compile(r"(?i)(bearer\s+)\S+")
_HEADER = re.compile(r"(?i)(authorization['\"]?\s*[:=]\s*['\"]?)(?!bearer\s)[^\s'\"]+")
_REDACTED = "<redacted>"


def configure(settings: _settings.Settings, stream=None) -> None:
    """Send the log to `stream` (default: standard error) in the form that the settings name."""
    stream = stream or sys.stderr
    secrets = [text for text in (*settings.keys, *settings.operator_tokens) if text]
    write = _write_json if settings.log.json else _write_text

    def sink(message) -> None:
        stream.write(f"{write(message.record, secrets)}\n")
        stream.flush()

    logger.remove()
    logger.configure(extra={"process": settings.id, "role": settings.role})
    # Without diagnose=False a trace would show the values of variables, keys among them.
    logger.add(sink, level=settings.log.level, format="{message}", diagnose=False)


def state(text: str, **fields) -> None:
    """Log one change of state, with fields such as job, upstream, epoch, version."""
    logger.bind(**fields).opt(depth=1).info(_escape(text))


def warning(text: str, **fields) -> None:
    """Log a change of state that an operator should look at."""
    logger.bind(**fields).opt(depth=1).warning(_escape(text))


def failed(error: BaseException, text: str = "the process fails", **fields) -> None:
    """Log an unexpected error with its trace."""
    logger.bind(**fields).opt(depth=1, exception=error).error(_escape(text))


def _escape(text: str) -> str:
    return text.replace("\n", " ")


def _fields(record: dict, secrets: list[str]) -> dict:
    return {name: _clean(name, value, secrets) for name, value in record["extra"].items()}


def _clean(name: str, value: object, secrets: list[str]) -> object:
    if name.lower() in _SECRET_FIELDS or name.lower().endswith(("_token", "_key", "_secret")):
        return _REDACTED
    if isinstance(value, bool | int | float) or value is None:
        return value
    return redact(str(value), secrets)


def redact(text: str, secrets: list[str]) -> str:
    """Return the text without bearer tokens and without the secrets of the settings."""
    for secret in secrets:
        text = text.replace(secret, _REDACTED)
    return _HEADER.sub(rf"\1{_REDACTED}", _BEARER.sub(rf"\1{_REDACTED}", text))


def _trace(record: dict, secrets: list[str]) -> str:
    error = record["exception"]
    return redact(f"{error.type.__name__}: {error.value}", secrets) if error else ""


def _write_text(record: dict, secrets: list[str]) -> str:
    at = record["time"].strftime("%Y-%m-%dT%H:%M:%S.%f%z")
    fields = _fields(record, secrets)
    if record["exception"]:
        fields["error"] = _trace(record, secrets)
    pairs = " ".join(f"{name}={_quote(value)}" for name, value in fields.items())
    return f"{at} {record['level'].name} {redact(record['message'], secrets)} {pairs}".rstrip()


def _quote(value: object) -> str:
    text = str(value)
    return json.dumps(text) if re.search(r'[\s"=]', text) or not text else text


def _write_json(record: dict, secrets: list[str]) -> str:
    line = {
        "at": record["time"].isoformat(),
        "level": record["level"].name,
        "text": redact(record["message"], secrets),
    }
    line |= _fields(record, secrets)
    if record["exception"]:
        line["error"] = _trace(record, secrets)
    return json.dumps(line)
