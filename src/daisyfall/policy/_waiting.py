"""Jobs that wait for room: their order, and whom to refuse.

Answers load above capacity. Jobs wait by the priority of their route, and within it in the
order of their latest start, the time by which their longest task has to start for the job to
meet its objective. A job that can't meet it any more would only make others late, so it is
refused: at its arrival if the work ahead of it takes too long, or when its latest start
passes, as urgent work may overtake it. A burst therefore leaves no tail behind it.
Jobs of which a task has run already come first; the work done would be lost otherwise.
"""

import bisect
import contextlib
import math
from collections.abc import Iterator

import attrs

from daisyfall.policy import _room

# A full queue bounds memory; at the usual job size it holds several seconds of work.
LONGEST_QUEUE = 4_000
# Part of the time until its latest start that an arriving job may be expected to wait. Under
# steady overload the queue stands at this limit, so the rest is left for run times that vary.
LARGEST_WAIT_PART = 0.5
# Shortest and longest hint to come back, in seconds.
RETRY_AFTER_S = (0.5, 10.0)


@attrs.define(slots=True, eq=False)
class TaskBatch:
    """Tasks of one job that wait; times are in seconds on the steady clock.

    `priority` is that of the job's route, 0 the most urgent.
    """

    id: str
    entry_id: str
    job_id: str
    pool: str
    priority: int
    demands: list[_room.Demand]
    latest_start: float
    start_deadline: float
    has_started: bool = False
    work: float = attrs.field(init=False)
    least_cpu: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Sum up the demands."""
        self.keep(self.demands)

    def keep(self, demands: list[_room.Demand]) -> None:
        """Wait for these tasks only; `work` is in expected core seconds."""
        self.demands = demands
        self.work = sum(each.cpu * each.expected_ms for each in demands) / 1e6
        self.least_cpu = min((each.cpu for each in demands), default=0)

    @property
    def rank(self) -> tuple:
        """Return the place in the queue, smallest first."""
        return (not self.has_started, self.priority, self.latest_start)

    @property
    def lapses_at(self) -> float:
        """Return when the item has missed its time."""
        return self.start_deadline if self.has_started else self.latest_start


class Waiting:
    """The queue of one pool."""

    def __init__(self) -> None:
        self._items: list[TaskBatch] = []
        # No item has missed its time before this; it may be earlier than the first one does.
        self._next_lapse = math.inf

    def __len__(self) -> int:
        return len(self._items)

    def add(self, batch: TaskBatch) -> None:
        """Queue an item in its place."""
        bisect.insort(self._items, batch, key=lambda each: each.rank)
        self._next_lapse = min(self._next_lapse, batch.lapses_at)

    def remove(self, batch: TaskBatch) -> None:
        """Take an item out; ignored if it is not queued."""
        with contextlib.suppress(ValueError):
            self._items.remove(batch)

    def fitting(self, candidates: _room.Candidates) -> Iterator[TaskBatch]:
        """Return the items of which a task may fit, first to start first."""
        for batch in list(self._items):
            if batch.least_cpu <= candidates.largest_cpu:
                yield batch

    def work_before(self, batch: TaskBatch) -> float:
        """Return the core seconds that start before an item."""
        ahead = bisect.bisect_right(self._items, batch.rank, key=lambda each: each.rank)
        return sum(each.work for each in self._items[:ahead])

    def work(self) -> float:
        """Return the core seconds that wait."""
        return sum(each.work for each in self._items)

    def take_overdue(self, now: float) -> list[TaskBatch]:
        """Take out and return the items that have missed their time."""
        if now <= self._next_lapse:
            return []
        overdue = [each for each in self._items if now > each.lapses_at]
        self._items = [each for each in self._items if now <= each.lapses_at]
        self._next_lapse = min((each.lapses_at for each in self._items), default=math.inf)
        return overdue


def is_in_vain(batch: TaskBatch, work_before: float, cores: float, now: float) -> bool:
    """Tell whether an arriving job can't start in time behind the work before it."""
    if batch.has_started:
        return now >= batch.start_deadline
    if cores <= 0:
        return now >= batch.latest_start
    return work_before / cores > LARGEST_WAIT_PART * (batch.latest_start - now)


def retry_after_s(work: float, cores: float, jitter: float) -> float:
    """Return when room will be there; `jitter` (0 to 1) spreads the callers' return."""
    shortest, longest = RETRY_AFTER_S
    drained = work / cores if cores > 0 else longest
    return min(max(drained, shortest) * (1.0 + jitter), longest)
