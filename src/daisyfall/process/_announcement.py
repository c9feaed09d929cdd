"""Announcements of a runner to its agent: parsing, validation and the watchdog for renewals."""

import asyncio
import reprlib
from collections.abc import Callable

import attrs
import yarl

from daisyfall import errors

_MAX_COUNT = 1_000_000
_MAX_MEMORY_MB = 1 << 30
_MAX_LABELS = 64
_MAX_TEXT_CHARS = 256


@attrs.frozen
class Announcement:
    """The id, address and resources that a runner announces to its agent."""

    id: str
    url: str
    slots: int
    connections: int
    memory_mb: int
    accelerators: int
    labels: list[str]


def parse(body: object) -> Announcement:
    """Return a validated announcement; raise `DispatchError` with the field that is invalid."""
    if not isinstance(body, dict):
        raise errors.DispatchError(errors.Kind.MALFORMED)
    return Announcement(
        id=_text(body, "id"),
        url=_url(body),
        slots=_count(body, "slots", 1, _MAX_COUNT),
        connections=_count(body, "connections", 1, _MAX_COUNT),
        memory_mb=_count(body, "memory_mb", 0, _MAX_MEMORY_MB),
        accelerators=_count(body, "accelerators", 0, _MAX_COUNT),
        labels=_labels(body),
    )


class RunnerWatchdog:
    """Tracks the announced runner and expires it if the announcement is not renewed in time.

    `on_change` is called with each changed announcement, and with None on expiry.
    """

    def __init__(self, timeout_seconds: float, on_change: Callable[[Announcement | None], None]):
        self._timeout_seconds = timeout_seconds
        self._on_change = on_change
        self._timer: asyncio.TimerHandle | None = None
        self.current: Announcement | None = None

    def renew(self, announcement: Announcement) -> None:
        """Accept an announcement and restart the timer.

        Raises `DispatchError` while another runner is announced.
        """
        current = self.current
        if current is not None and current.id != announcement.id:
            raise _invalid_field(
                "id", announcement.id, f"the id of the present runner, {current.id}"
            )
        self.close()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._timeout_seconds, self.expire)
        self.current = announcement
        if announcement != current:
            self._on_change(announcement)

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def expire(self) -> None:
        """Mark the runner as lost until it announces itself again."""
        self.close()
        self.current = None
        self._on_change(None)


def _invalid_field(field: str, value: object, expected: str) -> errors.DispatchError:
    detail = f"{field} is {reprlib.repr(value)}, expected {expected}"
    return errors.DispatchError(
        errors.Kind.INVALID_FIELD, detail, field=field, value=value, expected=expected
    )


def _text(body: dict, field: str) -> str:
    value = body.get(field)
    if not isinstance(value, str) or not 0 < len(value) <= _MAX_TEXT_CHARS:
        raise _invalid_field(field, value, f"a text of 1 to {_MAX_TEXT_CHARS} characters")
    return value


def _url(body: dict) -> str:
    value = _text(body, "url")
    try:
        url = yarl.URL(value)
        is_valid = url.scheme == "http" and bool(url.host) and bool(url.port)
    except ValueError:
        is_valid = False
    if not is_valid:
        raise _invalid_field("url", value, "http://host:port")
    return value


def _count(body: dict, field: str, minimum: int, maximum: int) -> int:
    value = body.get(field)
    if not isinstance(value, int) or isinstance(value, bool) or not minimum <= value <= maximum:
        raise _invalid_field(field, value, f"an integer from {minimum} to {maximum}")
    return value


def _labels(body: dict) -> list[str]:
    value = body.get("labels", [])
    is_valid = isinstance(value, list) and len(value) <= _MAX_LABELS
    if not is_valid or not all(
        isinstance(label, str) and len(label) <= _MAX_TEXT_CHARS for label in value
    ):
        raise _invalid_field("labels", value, f"at most {_MAX_LABELS} texts")
    return value
