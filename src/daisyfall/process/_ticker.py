"""Periodic work of a process that survives an unexpected error."""

import asyncio
from collections.abc import Awaitable, Callable

import loguru


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
        try:
            waiting = action()
            if waiting is not None:
                await waiting
        except Exception as error:
            loguru.logger.bind(name=name).opt(exception=error).error("periodic work failed")
            count_error(name)
