"""Periodic work of a process that survives an unexpected error."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator

import loguru


@contextlib.contextmanager
def _pass_over_errors(count_error: Callable[[str], None], name: str) -> Iterator[None]:
    """Log and count an unexpected error of periodic work under its name, and pass it over."""
    try:
        yield
    except Exception as error:
        loguru.logger.bind(name=name).opt(exception=error).error("periodic work failed")
        count_error(name)


async def run_forever(
    action: Callable[[], Awaitable[None] | None],
    interval_s: Callable[[], float],
    count_error: Callable[[str], None],
    name: str,
) -> None:
    """Call `action` again and again, each time after the seconds that `interval_s` returns.

    An error of the action is logged, counted under `name` and passed over: a process whose
    periodic work has ended would still answer, but never time out anything.
    """
    while True:
        await asyncio.sleep(interval_s())
        with _pass_over_errors(count_error, name):
            waiting = action()
            if waiting is not None:
                await waiting


class DeferrableTicker:
    """Calls `action` by a timer, unless the process was woken up for another reason in time.

    `run_if_due` is called when a message that comes regularly has arrived. The timer, which then
    starts anew, fires only if none has come for the seconds that `interval_s` returns; `fired`
    counts that. An error of the action is logged, counted and passed over.
    """

    def __init__(
        self,
        action: Callable[[], None],
        interval_s: Callable[[], float],
        count_error: Callable[[str], None],
        name: str,
    ):
        self.fired = 0
        self._action = action
        self._interval_s = interval_s
        self._count_error = count_error
        self._name = name
        self._timer: asyncio.TimerHandle | None = None
        self._ran_at = float("-inf")

    def start(self) -> None:
        """Begin with the first interval."""
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(self._interval_s(), self._fire)

    def stop(self) -> None:
        """Call the action no more."""
        self._timer.cancel()
        self._timer = None

    def run_if_due(self, least_s: float) -> None:
        """Call the action now if it has not been called for `least_s`."""
        if self._timer is not None and self._loop.time() - self._ran_at >= least_s:
            self._run()

    def hasten(self) -> None:
        """Call the action earlier if the interval has become shorter."""
        if self._timer is not None:
            due_at = self._loop.time() + self._interval_s()
            if self._timer.when() > due_at:
                self._timer.cancel()
                self._timer = self._loop.call_at(due_at, self._fire)

    def _fire(self) -> None:
        self.fired += 1
        self._run()

    def _run(self) -> None:
        self._ran_at = self._loop.time()
        self._timer.cancel()
        with _pass_over_errors(self._count_error, self._name):
            self._action()
        self._timer = self._loop.call_later(self._interval_s(), self._fire)
