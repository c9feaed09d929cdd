"""An agent's FIFO queue of accepted tasks, limited by the capacity of its worker."""

import collections
from collections.abc import Callable

import attrs

from daisyfall import _wire
from daisyfall.request import _ledger, _work


@attrs.define(slots=True, eq=False)
class QueuedTask:
    """One accepted task, with the shard and epoch of the start message."""

    key: _work.JobKey
    shard: int
    epoch: int
    task: _work.Task


@attrs.frozen
class Capacity:
    """Resources of the worker; at most `slots` tasks and `connections` requests run at once."""

    slots: int
    connections: int
    memory_mb: int
    accelerators: int

    @property
    def concurrency(self) -> int:
        """Return how many tasks may run at once; each needs its own connection."""
        return min(self.slots, self.connections)


def from_start(start: _wire.Start, items: list) -> list[QueuedTask]:
    """Return queued tasks for task items of a Start message."""
    key = (start.buyer, start.job_id)
    tasks = [_work.Task(*item[: _ledger.TASK_FIELDS]) for item in items]
    return [QueuedTask(key, start.shard, start.epoch, task) for task in tasks]


NO_CAPACITY = Capacity(0, 0, 0, 0)


class TaskQueue:
    """The waiting tasks, and the resources used by the running ones.

    The order is strictly first in, first out: a task that waits for memory or
    accelerators blocks those behind it, so that large tasks don't starve.
    """

    def __init__(self, capacity: Capacity = NO_CAPACITY):
        self.capacity = capacity
        self._waiting: collections.deque[QueuedTask] = collections.deque()
        self.running = 0
        self._used_memory_mb = 0
        self._used_accelerators = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def push(self, queued: QueuedTask) -> None:
        """Append an accepted task."""
        self._waiting.append(queued)

    def can_ever_fit(self, task: _work.Task) -> bool:
        """Return whether the worker could run the task if it were idle."""
        fits_memory = task.memory_mb <= self.capacity.memory_mb
        return fits_memory and task.accelerators <= self.capacity.accelerators

    def pop_runnable(self) -> QueuedTask | None:
        """Remove and return the first task if it can run now, and count it as running."""
        if not self._waiting or self.running >= self.capacity.concurrency:
            return None
        task = self._waiting[0].task
        if self._used_memory_mb + task.memory_mb > self.capacity.memory_mb:
            return None
        if self._used_accelerators + task.accelerators > self.capacity.accelerators:
            return None
        self.running += 1
        self._used_memory_mb += task.memory_mb
        self._used_accelerators += task.accelerators
        return self._waiting.popleft()

    def release(self, task: _work.Task) -> None:
        """Release the resources of a running task."""
        self.running -= 1
        self._used_memory_mb -= task.memory_mb
        self._used_accelerators -= task.accelerators

    def remove(self, predicate: Callable[[QueuedTask], bool]) -> list[QueuedTask]:
        """Remove and return the waiting tasks that match a predicate."""
        removed = [queued for queued in self._waiting if predicate(queued)]
        if removed:
            kept = [queued for queued in self._waiting if not predicate(queued)]
            self._waiting = collections.deque(kept)
        return removed
