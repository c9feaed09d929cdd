"""Event loop with virtual time: waits complete instantly and the event order is deterministic."""

import asyncio
import selectors

from daisyfall import _clock

WALL_START_MS = 1_800_000_000_000


class _Selector(selectors.SelectSelector):
    """Advances the virtual clock instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("deadlock: nothing is scheduled")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop whose `time` is the virtual clock."""

    def __init__(self):
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.now


def run(make_coroutine):
    """Run a coroutine in virtual time, then cancel all remaining tasks."""
    loop = VirtualLoop()
    former = _clock.monotonic, _clock.wall_ms
    _clock.monotonic = loop.time
    _clock.wall_ms = lambda: WALL_START_MS + int(loop.time() * 1000)
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(make_coroutine())
    finally:
        _clock.monotonic, _clock.wall_ms = former
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()
