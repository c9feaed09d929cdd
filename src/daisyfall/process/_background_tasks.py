"""Tasks that run beside their creator and whose errors are logged."""

import asyncio
import contextlib
from collections.abc import Coroutine

import loguru


class BackgroundTasks:
    """Keeps the tasks until they end; `description` tells in the log what has failed."""

    def __init__(self, description: str) -> None:
        self._description = description
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, coroutine: Coroutine) -> None:
        """Run a coroutine as a task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        with contextlib.suppress(asyncio.CancelledError):
            if task.exception() is not None:
                loguru.logger.opt(exception=task.exception()).error(f"{self._description} failed")
