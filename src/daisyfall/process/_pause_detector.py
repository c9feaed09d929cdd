"""Detects pauses of the process, so that stale messages are not acted on.

After a pause (such as SIGSTOP or a suspended virtual machine) the socket buffers hold orders
and requests whose senders have already timed out. `check` is called by a timer and for each
message, so that a pause is noticed before the first message after it is handled.
"""

from collections.abc import Callable

import loguru

from daisyfall import _clock

# Shorter than the heartbeat timeout of the links, longer than usual delays of the event loop.
MIN_PAUSE_S = 0.3


class PauseDetector:
    """Calls `on_pause` with the length of each pause in seconds."""

    def __init__(self, on_pause: Callable[[float], None]):
        self._on_pause = on_pause
        self._checked_at = _clock.monotonic()
        self._resumed_at = 0.0
        self._pause_s = 0.0

    def check(self) -> None:
        """Call `on_pause` if the process was paused since the last check."""
        now = _clock.monotonic()
        gap_s = now - self._checked_at
        self._checked_at = now
        if gap_s > MIN_PAUSE_S:
            self._resumed_at = now
            self._pause_s = gap_s
            loguru.logger.bind(pause_s=round(gap_s, 3)).warning("process was paused")
            self._on_pause(gap_s)

    def recent_pause_s(self, seconds: float) -> float:
        """Return the length of a pause that ended less than `seconds` ago, 0 if there was none."""
        if _clock.monotonic() - self._resumed_at < seconds:
            return self._pause_s
        return 0.0
