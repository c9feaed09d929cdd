"""Fair shares of the CPU for groups of callers that compete for a pool.

Answers callers of which some ask for more than others while the runners can't do all work. For
each group there are decaying sums of the work that it asked for and of what it was given. Under
shortage, a group that was given less than its max-min share goes first within its priority. The
max-min share gives each group what it asks for up to a level that is the same for all.

A job that is much larger than its route's usual ones waits for more runners than the others and
would be overtaken by them. So the share of a group is divided between its large jobs and the others
by what they ask for.
"""

import functools
import math

import attrs

from daisyfall.policy import _decaying_sum

# Work counts half after this time, so a group that got nothing goes first after a part of it.
HALF_LIFE_S = 4.0
# A group is favoured if it was given less than this fraction of its share. What it has asked for
# and not yet been given while its jobs wait in time is less than the rest.
FAVOURED_FRACTION = 0.8
# A job is large if its work is this many times the mean of its route.
LARGE_FACTOR = 1.5
# The level is computed again after this time.
LEVEL_INTERVAL_S = 0.1
# Sums that are smaller than this, in core seconds, are forgotten at the next computation.
FORGOTTEN_WORK = 0.01

_new_sum = functools.partial(_decaying_sum.DecayingSum, HALF_LIFE_S)


@attrs.frozen
class Group:
    """Callers that share a share: a route (and by it an organisation) and a data centre.

    With `is_large`, its large jobs, otherwise the others.
    """

    priority: int
    route: str
    data_centre: str
    is_large: bool

    @property
    def callers(self) -> tuple[int, str, str]:
        """Return what the group has in common with that of its other jobs."""
        return (self.priority, self.route, self.data_centre)


class ServedWork:
    """What the callers of an entry were given lately, by route; kept by that entry.

    Entries send it with their requests, so that a new scheduling entry knows it.
    """

    def __init__(self) -> None:
        self._sum_by_route: dict[str, _decaying_sum.DecayingSum] = {}

    def add(self, route: str, core_seconds: float, now: float) -> None:
        """Add the expected work of a task that is dispatched."""
        self._sum_by_route.setdefault(route, _new_sum()).add(core_seconds, now)

    def recent(self, route: str, now: float) -> float:
        """Return the decaying sum of a route."""
        known = self._sum_by_route.get(route)
        return round(known.at(now), 3) if known else 0.0


@attrs.define(slots=True)
class GroupSums:
    """What a group asked for and what it was given, in core seconds.

    `favoured` is the work of its favoured jobs that wait: it counts as given, or all jobs of a
    burst would be favoured for a deficit that a few of them make up.
    """

    asked: _decaying_sum.DecayingSum = attrs.Factory(_new_sum)
    given: _decaying_sum.DecayingSum = attrs.Factory(_new_sum)
    favoured: _decaying_sum.DecayingSum = attrs.Factory(_new_sum)


class FairShares:
    """The sums of all groups of one pool."""

    def __init__(self) -> None:
        self._sums_by_group: dict[Group, GroupSums] = {}
        # By entry and group, what is known to have been given through that entry.
        self._given_by_entry: dict[tuple[str, str, str], _decaying_sum.DecayingSum] = {}
        # By route, the decaying sums of work and of jobs.
        self._work_by_route: dict[
            str, tuple[_decaying_sum.DecayingSum, _decaying_sum.DecayingSum]
        ] = {}
        self._level_by_priority: dict[int, float] = {}
        self._levels_computed_at = -math.inf

    def record_request(self, batch, now: float) -> None:
        """Record what a job asks for, and what its entry says that its group was given."""
        work, jobs = self._work_by_route.setdefault(batch.route, (_new_sum(), _new_sum()))
        work.add(batch.core_seconds, now)
        jobs.add(1.0, now)
        sums = self._sums(self._group_of(batch))
        sums.asked.add(batch.core_seconds, now)
        if batch.is_favoured:
            sums.favoured.add(batch.core_seconds, now)
        if batch.served:
            known = self._given(batch)
            missing = batch.served - known.at(now)
            if missing > (1 - FAVOURED_FRACTION) * batch.served:
                # This process hasn't scheduled for that entry, or not for long.
                known.add(missing, now)
                sums.asked.add(missing, now)
                sums.given.add(missing, now)

    def record_placement(self, batch, core_seconds: float, now: float) -> None:
        """Record the expected work of tasks that were placed."""
        self._sums(self._group_of(batch)).given.add(core_seconds, now)
        self._given(batch).add(core_seconds, now)
        self.record_end_of_wait(batch, core_seconds, now)

    def record_end_of_wait(self, batch, core_seconds: float, now: float) -> None:
        """Record that tasks of a job don't wait any more: they were placed, or it was refused."""
        if batch.is_favoured:
            favoured = self._sums(self._group_of(batch)).favoured
            favoured.add(-min(core_seconds, favoured.at(now)), now)

    def _group_of(self, batch) -> Group:
        """Return the group of a job, which stays the same while its tasks start."""
        if batch.group is None:
            is_large = False
            if batch.route in self._work_by_route:
                work, jobs = self._work_by_route[batch.route]
                is_large = batch.core_seconds * jobs.value > LARGE_FACTOR * work.value
            batch.group = Group(batch.priority, batch.route, batch.data_centre, is_large)
        return batch.group

    def is_under_share(self, batch, now: float) -> bool:
        """Return whether the group of a job was given clearly less than its max-min share.

        Asked before the job is recorded, as its group can't have been given that work yet.
        """
        if now - self._levels_computed_at >= LEVEL_INTERVAL_S:
            self._compute_levels(now)
        group = self._group_of(batch)
        sums = self._sums_by_group.get(group)
        level = self._level_by_priority.get(batch.priority)
        if sums is None or level is None:
            return False
        asked = sums.asked.at(now)
        other = self._sums_by_group.get(attrs.evolve(group, is_large=not group.is_large))
        asked_by_all = asked + (other.asked.at(now) if other else 0.0)
        if not asked_by_all:
            return False
        share = min(asked_by_all, level) * asked / asked_by_all
        return sums.given.at(now) + sums.favoured.at(now) < FAVOURED_FRACTION * share

    def _sums(self, group: Group) -> GroupSums:
        sums = self._sums_by_group.get(group)
        if sums is None:
            sums = self._sums_by_group[group] = GroupSums()
        return sums

    def _given(self, batch) -> _decaying_sum.DecayingSum:
        key = (batch.entry_id, batch.route, batch.data_centre)
        given = self._given_by_entry.get(key)
        if given is None:
            given = self._given_by_entry[key] = _new_sum()
        return given

    def _compute_levels(self, now: float) -> None:
        """Bring the level of each priority up to date, and forget groups that are gone."""
        self._levels_computed_at = now
        self._sums_by_group = {
            group: sums
            for group, sums in self._sums_by_group.items()
            if sums.asked.at(now) > FORGOTTEN_WORK
        }
        self._given_by_entry = {
            key: given
            for key, given in self._given_by_entry.items()
            if given.at(now) > FORGOTTEN_WORK
        }
        amounts_by_callers: dict[tuple[int, str, str], tuple[float, float]] = {}
        for group, sums in self._sums_by_group.items():
            asked, given = amounts_by_callers.get(group.callers, (0.0, 0.0))
            amounts_by_callers[group.callers] = (
                asked + sums.asked.at(now),
                given + sums.given.at(now),
            )
        amounts_by_priority: dict[int, list[tuple[float, float]]] = {}
        for (priority, _, _), amounts in amounts_by_callers.items():
            amounts_by_priority.setdefault(priority, []).append(amounts)
        self._level_by_priority = {
            priority: max_min_level(
                [asked for asked, _ in amounts], sum(given for _, given in amounts)
            )
            for priority, amounts in amounts_by_priority.items()
        }


def max_min_level(asked: list[float], total: float) -> float:
    """Return the level at which the groups, each up to what it asked for, use up the total."""
    left = total
    ascending = sorted(asked)
    for index, amount in enumerate(ascending):
        level = left / (len(ascending) - index)
        if amount > level:
            return level
        left -= amount
    return ascending[-1] if ascending else 0.0
