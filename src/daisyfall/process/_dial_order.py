"""Order in which an entry dials the other nodes, and how many of them at a time.

A handshake costs processor time at both ends. An entry that dials hundreds of nodes at once would
serve neither its callers nor the links that are needed first.
"""

import asyncio
import contextlib
import enum
import heapq
import itertools
from collections.abc import AsyncIterator

MAX_DIALS = 8
# A dial that takes longer waits for its peer, and no longer counts: hosts that don't answer must
# not hold up the others.
MAX_COUNTED_S = 0.03


class Urgency(enum.IntEnum):
    """Why a node is dialled; the lowest value comes first."""

    NEEDED = 0  # a task waits for the link, or the process there has just started
    ENTRY = 1  # entries choose the scheduling one
    AGENT = 2
    FAILED = 3  # could not be reached before


class DialOrder:
    """Lets `MAX_DIALS` dials run at a time; the others wait in the order of their urgency."""

    def __init__(self) -> None:
        self._running = 0
        self._waiting: list[tuple[Urgency, int, asyncio.Future]] = []
        self._numbers = itertools.count()

    @contextlib.asynccontextmanager
    async def turn(self, urgency: Urgency) -> AsyncIterator[None]:
        """Wait for the turn of a dial, which runs in the context."""
        loop = asyncio.get_running_loop()
        granted = loop.create_future()
        heapq.heappush(self._waiting, (urgency, next(self._numbers), granted))
        self._grant()
        try:
            await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                self._release()
            raise
        timer = loop.call_later(MAX_COUNTED_S, self._release)
        try:
            yield
        finally:
            if loop.time() < timer.when():
                timer.cancel()
                self._release()

    def _release(self) -> None:
        self._running -= 1
        self._grant()

    def _grant(self) -> None:
        while self._waiting and self._running < MAX_DIALS:
            _, _, granted = heapq.heappop(self._waiting)
            if not granted.done():
                self._running += 1
                granted.set_result(None)
