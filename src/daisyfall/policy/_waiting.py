"""Jobs that wait for room: their order, and whom to refuse.

Answers load above capacity. Jobs wait by the priority of their route, and within it in the
order of their latest start, the time by which their longest task has to start for the job to
meet its objective. A job that can't meet it any more would only make others late, so it is
refused: at its arrival if the work ahead of it takes too long, or when its latest start
passes, as urgent work may overtake it. A burst therefore leaves no tail behind it.
Jobs of which a task has run already come first; the work done would be lost otherwise.
"""

import bisect

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
class Item:
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
    ends_by: float
    has_started: bool = False

    @property
    def work(self) -> float:
        """Return the expected work that still waits, in core seconds."""
        return sum(each.cpu * each.expected_ms for each in self.demands) / 1e6

    @property
    def rank(self) -> tuple:
        """Return the place in the queue, smallest first."""
        return (not self.has_started, self.priority, self.latest_start)


class Waiting:
    """The queue of one pool."""

    def __init__(self) -> None:
        self._items: list[Item] = []

    def __len__(self) -> int:
        return len(self._items)

    def add(self, item: Item) -> None:
        """Queue an item in its place."""
        bisect.insort(self._items, item, key=lambda each: each.rank)

    def remove(self, item: Item) -> None:
        """Take an item out; ignored if it is not queued."""
        if item in self._items:
            self._items.remove(item)

    def ordered(self) -> list[Item]:
        """Return the items, first to start first."""
        return list(self._items)

    def work_before(self, item: Item) -> float:
        """Return the core seconds that start before an item."""
        return sum(each.work for each in self._items if each.rank <= item.rank)

    def work(self) -> float:
        """Return the core seconds that wait."""
        return sum(each.work for each in self._items)


def is_in_vain(item: Item, work_before: float, cores: float, now: float) -> bool:
    """Tell whether an arriving job can't start in time behind the work before it."""
    if item.has_started:
        return now >= item.ends_by
    if cores <= 0:
        return now >= item.latest_start
    return work_before / cores > LARGEST_WAIT_PART * (item.latest_start - now)


def is_overdue(item: Item, now: float) -> bool:
    """Tell whether a queued job has missed its time."""
    return now > (item.ends_by if item.has_started else item.latest_start)


def retry_after_s(work: float, cores: float, jitter: float) -> float:
    """Return when room will be there; `jitter` (0 to 1) spreads the callers' return."""
    shortest, longest = RETRY_AFTER_S
    drained = work / cores if cores > 0 else longest
    return min(max(drained, shortest) * (1.0 + jitter), longest)
