"""An agent's queue of accepted tasks, in order of arrival, within what its worker has."""

import collections
from collections.abc import Callable

import attrs

from daisyfall import _wire
from daisyfall.request import _ledger, _work


@attrs.define(slots=True, eq=False)
class QueuedTask:
    """One accepted task with the shard and epoch that it was ordered under."""

    key: _work.JobKey
    shard: int
    epoch: int
    task: _work.Task


@attrs.frozen
class Capacity:
    """What the worker has; at most `slots` tasks and `connections` requests run at once."""

    slots: int
    connections: int
    memory_mb: int
    accelerators: int

    @property
    def concurrency(self) -> int:
        """Return how many tasks may run at once, each over its own connection."""
        return min(self.slots, self.connections)


def from_start(start: _wire.Start, items: list) -> list[QueuedTask]:
    """Return the tasks of some items of a Start message."""
    key = (start.buyer, start.job_id)
    tasks = [_work.Task(*item[: _ledger.TASK_FIELDS]) for item in items]
    return [QueuedTask(key, start.shard, start.epoch, task) for task in tasks]


NO_CAPACITY = Capacity(0, 0, 0, 0)


class TaskQueue:
    """Tasks that wait and counts of those that run.

    The order is strict: a task that has to wait for memory or accelerators holds
    up the ones behind it, so that large tasks are not passed over without end.
    """

    def __init__(self, capacity: Capacity = NO_CAPACITY):
        self.capacity = capacity
        self._waiting: collections.deque[QueuedTask] = collections.deque()
        self.running = 0
        self._memory_mb = 0
        self._accelerators = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def push(self, queued: QueuedTask) -> None:
        """Append an accepted task."""
        self._waiting.append(queued)

    def can_ever_fit(self, task: _work.Task) -> bool:
        """Tell whether the idle worker could run the task."""
        fits_memory = task.memory_mb <= self.capacity.memory_mb
        return fits_memory and task.accelerators <= self.capacity.accelerators

    def pop_runnable(self) -> QueuedTask | None:
        """Remove and return the first task if it may run now; it counts as running."""
        if not self._waiting or self.running >= self.capacity.concurrency:
            return None
        task = self._waiting[0].task
        if self._memory_mb + task.memory_mb > self.capacity.memory_mb:
            return None
        if self._accelerators + task.accelerators > self.capacity.accelerators:
            return None
        self.running += 1
        self._memory_mb += task.memory_mb
        self._accelerators += task.accelerators
        return self._waiting.popleft()

    def release(self, task: _work.Task) -> None:
        """Free what a running task held."""
        self.running -= 1
        self._memory_mb -= task.memory_mb
        self._accelerators -= task.accelerators

    def remove(self, condition: Callable[[QueuedTask], bool]) -> list[QueuedTask]:
        """Remove and return the waiting tasks that meet the condition."""
        removed = [queued for queued in self._waiting if condition(queued)]
        if removed:
            kept = [queued for queued in self._waiting if not condition(queued)]
            self._waiting = collections.deque(kept)
        return removed
