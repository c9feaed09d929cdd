"""Bounds how long ready work holds the event loop, so that heartbeats are sent on time."""

import asyncio

from daisyfall import _clock

# Much shorter than the heartbeat intervals of the links, longer than most single messages take.
MAX_TURN_S = 0.01


class LoopTurns:
    """Work that calls `wait` before each step holds the event loop for about `MAX_TURN_S`.

    After that, what is left waits for the next iteration of the loop, in the same order.
    """

    def __init__(self) -> None:
        self._started_at: float | None = None

    async def wait(self) -> None:
        """Return at once, or in a later iteration if the work of this one takes too long."""
        while self._is_used_up():
            await asyncio.sleep(0)

    def _is_used_up(self) -> bool:
        now = _clock.monotonic()
        if self._started_at is None:
            self._started_at = now
            asyncio.get_running_loop().call_soon(self._reset)
        return now - self._started_at > MAX_TURN_S

    def _reset(self) -> None:
        self._started_at = None
