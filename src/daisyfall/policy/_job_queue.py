"""Queue of the task batches that wait for a runner: their order, and admission control.

Limits the delay under overload. Batches wait by the priority of their route, and within it in
the order of their latest start: the time by which the longest task of the job has to start for
the job to meet its objective. A job that can no longer meet it would only delay others, so it
is refused: on arrival if the work ahead of it takes too long, or when its latest start passes,
since more urgent work may overtake it. A burst therefore leaves no backlog of late jobs behind.
Jobs of which a task has already run come first, as the work done would be lost otherwise.

A pool that has lost its runners is another case: jobs wait although there is no overload, and all
runners return within moments, idle. Until then a job that misses its objective becomes late
instead of being refused. Late jobs wait behind all others and get spare capacity only.
"""

import bisect
import contextlib
import math
from collections.abc import Callable, Iterator

import attrs

from daisyfall.policy import _candidates, _runner_capacity

# Bounds memory; at the usual job size a full queue holds several seconds of work.
MAX_QUEUED_BATCHES = 4_000
# Fraction of the time until its latest start that an arriving job may be expected to wait. Under
# steady overload the queue stays at this limit, so the rest covers run times that vary.
MAX_WAIT_FRACTION = 0.5
# Shortest and longest delay after which a refused caller is asked to retry.
RETRY_AFTER_S = (0.5, 10.0)


@attrs.define(slots=True, eq=False)
class TaskBatch:
    """Queued tasks of one job; times are in seconds on the monotonic clock.

    `priority` is that of the job's route, 0 the most urgent. `latest_start` is the latest start
    that meets the job's objective, `start_deadline` the latest one that meets its deadline. If the
    pool recovers from a loss of runners, a batch past its latest start waits until
    `late_deadline`, with `is_late` set.
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
    core_seconds: float = attrs.field(init=False)
    min_cpu: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Compute the totals of the demands."""
        self.set_demands(self.demands)

    def set_demands(self, demands: list[_runner_capacity.Demand]) -> None:
        """Set the tasks that wait; `core_seconds` is their expected work."""
        self.demands = demands
        self.core_seconds = sum(demand.cpu * demand.expected_ms for demand in demands) / 1e6
        self.min_cpu = min((demand.cpu for demand in demands), default=0)

    @property
    def sort_key(self) -> tuple:
        """Return the position in the queue, smallest first."""
        return (not self.has_started, self.is_late, self.priority, self.latest_start)

    @property
    def expires_at(self) -> float:
        """Return when the batch is refused if it still waits."""
        if self.has_started:
            return self.start_deadline
        return self.late_deadline if self.is_late else self.latest_start

    def may_become_late(self, now: float) -> bool:
        """Return whether the batch may wait beyond its latest start."""
        return not self.has_started and not self.is_late and now < self.late_deadline


class JobQueue:
    """The queue of one pool."""

    def __init__(self) -> None:
        self._batches: list[TaskBatch] = []
        # Lower bound of the time at which the next batch expires.
        self._next_expiry = math.inf

    def __len__(self) -> int:
        return len(self._batches)

    def add(self, batch: TaskBatch) -> None:
        """Insert a batch in queue order."""
        bisect.insort(self._batches, batch, key=lambda queued: queued.sort_key)
        self._next_expiry = min(self._next_expiry, batch.expires_at)

    def remove(self, batch: TaskBatch) -> None:
        """Remove a batch if it is queued."""
        with contextlib.suppress(ValueError):
            self._batches.remove(batch)

    def placeable(self, candidates: _candidates.Candidates) -> Iterator[TaskBatch]:
        """Yield the batches of which a task may fit, in queue order."""
        for batch in list(self._batches):
            if batch.min_cpu <= candidates.max_free_cpu:
                yield batch

    def work_ahead(self, batch: TaskBatch, competes: Callable[[TaskBatch], bool]) -> float:
        """Return the core seconds of the batches ahead of one that `competes` selects."""
        ahead = bisect.bisect_right(
            self._batches, batch.sort_key, key=lambda queued: queued.sort_key
        )
        return sum(queued.core_seconds for queued in self._batches[:ahead] if competes(queued))

    def total_work(self) -> float:
        """Return the core seconds that are queued."""
        return sum(batch.core_seconds for batch in self._batches)

    def pop_expired(self, now: float, *, keeps_late: bool = False) -> list[TaskBatch]:
        """Remove and return the expired batches; with `keeps_late`, some become late instead."""
        if now <= self._next_expiry:
            return []
        due = [batch for batch in self._batches if now > batch.expires_at]
        self._batches = [batch for batch in self._batches if now <= batch.expires_at]
        expired = []
        for batch in due:
            if keeps_late and batch.may_become_late(now):
                batch.is_late = True
                self.add(batch)
            else:
                expired.append(batch)
        self._next_expiry = min((batch.expires_at for batch in self._batches), default=math.inf)
        return expired


def would_start_late(batch: TaskBatch, work_ahead: float, cores: float, now: float) -> bool:
    """Return whether an arriving batch can't start in time behind the work ahead of it."""
    if batch.has_started:
        return now >= batch.start_deadline
    if cores <= 0:
        return now >= batch.latest_start
    return work_ahead / cores > MAX_WAIT_FRACTION * (batch.latest_start - now)


def retry_after_s(work: float, cores: float, jitter: float) -> float:
    """Return when capacity is expected; `jitter` (0 to 1) spreads the retries of the callers."""
    shortest, longest = RETRY_AFTER_S
    drain_s = work / cores if cores > 0 else longest
    return min(max(drain_s, shortest) * (1.0 + jitter), longest)
