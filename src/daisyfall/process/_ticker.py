"""Periodic work of a process that survives an unexpected error."""

import asyncio
from collections.abc import Callable

import loguru


async def run_forever(
    action: Callable[[], None], interval_s: Callable[[], float], on_error: Callable[[], None]
) -> None:
    """Call `action` again and again, each time after the seconds that `interval_s` returns.

    An error of the action is logged and passed over, since a process whose periodic work has
    ended would look alive but never time out anything.
    """
    while True:
        await asyncio.sleep(interval_s())
        try:
            action()
        except Exception as error:
            loguru.logger.opt(exception=error).error("periodic work failed")
            on_error()
