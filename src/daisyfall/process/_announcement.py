"""A runner's announcement to its agent: parse, check, and notice when it stays away."""

import asyncio
from collections.abc import Callable

import attrs
import yarl

from daisyfall import errors

_LARGEST_COUNT = 1_000_000
_LARGEST_MEMORY_MB = 1 << 30
_LABEL_LIMIT = 64
_TEXT_LIMIT = 256


@attrs.frozen
class Announcement:
    """What a runner offers."""

    id: str
    url: str
    slots: int
    connections: int
    memory_mb: int
    accelerators: int
    labels: list[str]


def parse(body: object) -> Announcement:
    """Return a checked announcement; raise `DispatchError` that names the wrong field."""
    if not isinstance(body, dict):
        raise errors.DispatchError(errors.Kind.MALFORMED)
    return Announcement(
        id=_text(body, "id"),
        url=_url(body),
        slots=_count(body, "slots", 1, _LARGEST_COUNT),
        connections=_count(body, "connections", 1, _LARGEST_COUNT),
        memory_mb=_count(body, "memory_mb", 0, _LARGEST_MEMORY_MB),
        accelerators=_count(body, "accelerators", 0, _LARGEST_COUNT),
        labels=_labels(body),
    )


class RunnerWatchdog:
    """The runner announced last; `on_change` is called with it, or with None when it is lost."""

    def __init__(self, limit_seconds: float, on_change: Callable[[Announcement | None], None]):
        self._limit_seconds = limit_seconds
        self._on_change = on_change
        self._timer: asyncio.TimerHandle | None = None
        self.current: Announcement | None = None

    def renew(self, announcement: Announcement) -> None:
        """Take an announcement; raise `DispatchError` while another runner is alive."""
        current = self.current
        if current is not None and current.id != announcement.id:
            raise _wrong("id", announcement.id, f"the id of the present runner, {current.id}")
        self.close()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._limit_seconds, self.expire)
        self.current = announcement
        if announcement != current:
            self._on_change(announcement)

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def expire(self) -> None:
        """Count the runner as lost until it announces itself again."""
        self.close()
        self.current = None
        self._on_change(None)


def _wrong(field: str, value: object, expected: str) -> errors.DispatchError:
    detail = f"{field} is {value!r}, expected {expected}"
    return errors.DispatchError(
        errors.Kind.INVALID_FIELD, detail, field=field, value=value, expected=expected
    )


def _text(body: dict, field: str) -> str:
    value = body.get(field)
    if not isinstance(value, str) or not 0 < len(value) <= _TEXT_LIMIT:
        raise _wrong(field, value, f"a text of 1 to {_TEXT_LIMIT} characters")
    return value


def _url(body: dict) -> str:
    value = _text(body, "url")
    try:
        url = yarl.URL(value)
        usable = url.scheme == "http" and bool(url.host) and bool(url.port)
    except ValueError:
        usable = False
    if not usable:
        raise _wrong("url", value, "http://host:port")
    return value


def _count(body: dict, field: str, least: int, most: int) -> int:
    value = body.get(field)
    if not isinstance(value, int) or isinstance(value, bool) or not least <= value <= most:
        raise _wrong(field, value, f"an integer from {least} to {most}")
    return value


def _labels(body: dict) -> list[str]:
    value = body.get("labels", [])
    usable = isinstance(value, list) and len(value) <= _LABEL_LIMIT
    if not usable or not all(isinstance(each, str) and len(each) <= _TEXT_LIMIT for each in value):
        raise _wrong("labels", value, f"at most {_LABEL_LIMIT} texts")
    return value
