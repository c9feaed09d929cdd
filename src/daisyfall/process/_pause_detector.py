"""Detects that the process stood still, so that nothing from before is acted on.

After a pause the buffers of the sockets hold orders and requests that their senders have
given up. `check` is called by a timer and at each message, whichever runs first.
"""

from collections.abc import Callable

import loguru

from daisyfall import _clock

# Shorter than the silence limit of the links, and longer than any usual delay of the loop.
PAUSE_LIMIT_S = 0.3


class PauseDetector:
    """Calls `on_pause` with the length of each pause in seconds."""

    def __init__(self, on_pause: Callable[[float], None]):
        self._on_pause = on_pause
        self._seen_at = _clock.monotonic()
        self._resumed_at = 0.0
        self._pause_s = 0.0

    def check(self) -> None:
        """Look at the clock; report a pause before anything else happens."""
        now = _clock.monotonic()
        gap_s = now - self._seen_at
        self._seen_at = now
        if gap_s > PAUSE_LIMIT_S:
            self._resumed_at = now
            self._pause_s = gap_s
            loguru.logger.bind(pause_s=round(gap_s, 3)).warning("process was paused")
            self._on_pause(gap_s)

    def recent_pause_s(self, seconds: float) -> float:
        """Return the length of a pause that ended less than `seconds` ago, 0 without one."""
        if _clock.monotonic() - self._resumed_at < seconds:
            return self._pause_s
        return 0.0
