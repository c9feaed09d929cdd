"""Queue of the task batches that wait for a runner.

Batches wait by the priority of their route. Within a priority, the rest of a started job comes
first, as the work done would be lost otherwise, then jobs of groups of callers that have got less
than their share, then jobs in the order of their latest start: the time by which the tasks of the
job have to start for it to meet its objective. Whether a job is worth waiting for is decided in
`_shortage`.

A pool that has lost its runners is another case: jobs wait although there is no overload, and all
runners return within moments, idle. Until then a job that misses its objective becomes late
instead of being refused. Late jobs wait behind all others and get spare capacity only.
"""

import bisect
import math
from collections.abc import Callable, Iterator

import attrs
import sortedcontainers

from daisyfall.policy import _candidates, _fair_shares, _runner_capacity

# Bounds memory; at the usual job size a full queue holds several seconds of work.
MAX_QUEUED_BATCHES = 4_000


@attrs.define(slots=True, eq=False)
class TaskBatch:
    """Queued tasks of one job; times are in seconds on the monotonic clock.

    `priority` is that of the job's route, 0 the most urgent. `latest_start` is the latest start
    that meets the job's objective, `start_deadline` the latest one that meets its deadline. If the
    pool recovers from a loss of runners, a batch past its latest start waits until
    `late_deadline`, with `is_late` set. `data_centre` is that of the entry that has the caller,
    `served` the core seconds that its callers of this route got lately through that entry.
    `group` is the group of its callers, and `is_favoured` tells that it has got less than its
    share.
    """

    id: str
    entry_id: str
    job_id: str
    pool: str
    priority: int
    demands: list[_runner_capacity.Demand]
    latest_start: float
    start_deadline: float
    has_started: bool = False
    late_deadline: float = 0.0
    route: str = ""
    is_late: bool = False
    data_centre: str = ""
    served: float = 0.0
    group: _fair_shares.Group | None = None
    is_favoured: bool = False
    core_seconds: float = attrs.field(init=False)
    min_cpu: int = attrs.field(init=False)
    cpu: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Compute the totals of the demands."""
        self.set_demands(self.demands)

    def set_demands(self, demands: list[_runner_capacity.Demand]) -> None:
        """Set the tasks that wait; `core_seconds` is their expected work, `cpu` their CPU.

        A queued batch has to be removed from its queue before.
        """
        self.demands = demands
        cpu, cpu_ms, min_cpu = 0, 0.0, demands[0].cpu if demands else 0
        for demand in demands:
            cpu += demand.cpu
            cpu_ms += demand.cpu * demand.expected_ms
            min_cpu = min(min_cpu, demand.cpu)
        self.core_seconds, self.cpu, self.min_cpu = cpu_ms / 1e6, cpu, min_cpu

    @property
    def run_s(self) -> float:
        """Return the expected run time of its tasks, weighted by their CPU."""
        return self.core_seconds * 1000 / self.cpu if self.cpu else 0.0

    @property
    def sort_key(self) -> tuple:
        """Return the position among the batches of its lane, smallest first."""
        return (not self.has_started, not self.is_favoured, self.latest_start)

    @property
    def expires_at(self) -> float:
        """Return when the batch is refused if it still waits."""
        if self.has_started:
            return self.start_deadline
        return self.late_deadline if self.is_late else self.latest_start

    def may_become_late(self, now: float) -> bool:
        """Return whether the batch may wait beyond its latest start."""
        return not self.has_started and not self.is_late and now < self.late_deadline


class Lane:
    """The queued batches of one priority in queue order, or those that are late.

    `cpu` and `core_seconds` are the totals of the waiting tasks.
    """

    def __init__(self) -> None:
        self.batches: list[TaskBatch] = []
        self._keys: list[tuple] = []
        self.cpu = 0
        self.core_seconds = 0.0

    def add(self, batch: TaskBatch) -> None:
        """Insert a batch."""
        key = batch.sort_key
        index = bisect.bisect_right(self._keys, key)
        self._keys.insert(index, key)
        self.batches.insert(index, batch)
        self.cpu += batch.cpu
        self.core_seconds += batch.core_seconds

    def remove(self, batch: TaskBatch) -> None:
        """Remove a batch that is in this lane."""
        index = self.batches.index(batch, bisect.bisect_left(self._keys, batch.sort_key))
        del self.batches[index], self._keys[index]
        self.cpu -= batch.cpu
        self.core_seconds -= batch.core_seconds
        if not self.batches:
            self.core_seconds = 0.0  # no rounding errors remain

    def shrink(self, batch: TaskBatch, remaining: list[_runner_capacity.Demand]) -> None:
        """Set the tasks of a batch in this lane that still wait."""
        self.cpu -= batch.cpu
        self.core_seconds -= batch.core_seconds
        batch.set_demands(remaining)
        self.cpu += batch.cpu
        self.core_seconds += batch.core_seconds

    def ahead_of(self, batch: TaskBatch) -> tuple[int, float]:
        """Return the CPU and core seconds of the batches ahead of one, queued here or not."""
        index = bisect.bisect_left(self._keys, batch.sort_key)
        if index <= len(self.batches) // 2:
            ahead = self.batches[:index]
            return sum(each.cpu for each in ahead), sum(each.core_seconds for each in ahead)
        behind = self.batches[index:]
        cpu = self.cpu - sum(each.cpu for each in behind)
        return cpu, max(self.core_seconds - sum(each.core_seconds for each in behind), 0.0)


class JobQueue:
    """The queue of one pool; `lane_by_key` is sorted by whether a lane is late, and priority."""

    def __init__(self) -> None:
        self.lane_by_key: sortedcontainers.SortedDict = sortedcontainers.SortedDict()
        self._batch_by_id: dict[str, TaskBatch] = {}
        # Lower bounds of the time at which the next batch expires, and of the smallest demand.
        self._next_expiry = math.inf
        self._min_cpu = 0

    def __len__(self) -> int:
        return len(self._batch_by_id)

    def __iter__(self) -> Iterator[TaskBatch]:
        """Yield the batches in queue order; the queue may change meanwhile."""
        for lane in list(self.lane_by_key.values()):
            yield from list(lane.batches)

    @property
    def batches(self) -> tuple[TaskBatch, ...]:
        """Return the queued batches in queue order."""
        return tuple(self)

    def add(self, batch: TaskBatch) -> None:
        """Insert a batch in queue order."""
        key = (batch.is_late, batch.priority)
        lane = self.lane_by_key.get(key)
        if lane is None:
            lane = self.lane_by_key[key] = Lane()
        lane.add(batch)
        self._min_cpu = min(self._min_cpu, batch.min_cpu) if self._batch_by_id else batch.min_cpu
        self._batch_by_id[batch.id] = batch
        self._next_expiry = min(self._next_expiry, batch.expires_at)

    def remove(self, batch: TaskBatch) -> None:
        """Remove a batch if it is queued."""
        if self._batch_by_id.pop(batch.id, None) is not None:
            self.lane_by_key[batch.is_late, batch.priority].remove(batch)

    def shrink(self, batch: TaskBatch, remaining: list[_runner_capacity.Demand]) -> None:
        """Set the tasks of a queued batch that still wait; its place stays the same."""
        self.lane_by_key[batch.is_late, batch.priority].shrink(batch, remaining)

    def placeable(self, candidates: _candidates.Candidates) -> Iterator[TaskBatch]:
        """Yield the batches of which a task may fit, in queue order."""
        if candidates.max_free_cpu < self._min_cpu:
            return
        for lane in list(self.lane_by_key.values()):
            for batch in list(lane.batches):
                if batch.min_cpu <= candidates.max_free_cpu:
                    yield batch
                    if candidates.max_free_cpu < self._min_cpu:
                        return

    def work_ahead(self, batch: TaskBatch, competes: Callable[[TaskBatch], bool]) -> float:
        """Return the core seconds of the batches ahead of one that `competes` selects."""
        key = (batch.is_late, batch.priority, batch.sort_key)
        return sum(
            queued.core_seconds
            for queued in self
            if (queued.is_late, queued.priority, queued.sort_key) <= key and competes(queued)
        )

    def total_work(self) -> float:
        """Return the core seconds that are queued."""
        return sum(lane.core_seconds for lane in self.lane_by_key.values())

    def pop_expired(self, now: float, *, keeps_late: bool = False) -> list[TaskBatch]:
        """Remove and return the expired batches; with `keeps_late`, some become late instead."""
        if now <= self._next_expiry:
            return []
        expired = []
        for batch in [batch for batch in self if now > batch.expires_at]:
            self.remove(batch)
            if keeps_late and batch.may_become_late(now):
                batch.is_late = True
                self.add(batch)
            else:
                expired.append(batch)
        self._next_expiry = min((batch.expires_at for batch in self), default=math.inf)
        self._min_cpu = min((batch.min_cpu for batch in self), default=0)
        return expired
