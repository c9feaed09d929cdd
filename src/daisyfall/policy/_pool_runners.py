"""Runners of one pool, ordered for the choice of a runner.

Each task goes to the runner with the largest free share of its CPU among those that are not
slow, so that tasks don't queue at one runner while another one is idle.

The order is kept up to date at each change of a runner, so that a choice examines a few runners
whatever the size of the pool: it answers many short tasks on hundreds of runners, most of which
are full while load is at its worst.
"""

import collections
import copy
import heapq
import itertools
import math
from collections.abc import Iterable, Iterator

import sortedcontainers

from daisyfall.policy import _confinement, _expected_ends, _runner_capacity, _runner_health

# A runner this slow gets no task while others of the pool are faster, even if those are full.
EXCLUSION_SLOWNESS = 3.0
# Slowness is compared in steps of this size, so that noise doesn't outweigh free capacity.
SLOWNESS_STEP = 0.5
# A pool recovers while this share of its CPU has come back idle within one to two of these
# intervals. Runners that come back busy were there before: a new scheduling entry learns of them.
RECOVERED_SHARE = 0.2
RECOVERY_S = 0.5
# A runner came back idle if at least this share of its CPU is free.
IDLE_SHARE = 0.5
# Share of a pool's CPU that late jobs leave free.
SPARE_SHARE = 0.15

# Why a runner can't get a task now.
CLOSED = "closed"
UNREPORTED = "not_reported"
EJECTED = "ejected"
SLOW = "slow"
CONFINED = "confined_route"
FULL = "full"
NO_LABEL = "no_label"
AVOIDED = "failed_there"
STEP_LIMIT = "step_limit"
_EXCLUSION_STEP = int((EXCLUSION_SLOWNESS - 1.0) / SLOWNESS_STEP)


class PoolRunners:
    """The runners of one pool.

    `update` has to be called after each change of a runner's capacity, state or health.
    """

    def __init__(self) -> None:
        self.confinement = _confinement.Confinement()
        self.expected_ends = _expected_ends.ExpectedEnds()
        self.runner_by_id: dict[str, _runner_capacity.RunnerCapacity] = {}
        self.healthy_cpu = 0
        self.free_cpu = 0
        self._returned_cpu = 0
        self._previous_returned_cpu = 0
        self._interval_started_at = float("-inf")
        # Healthy available runners as (slowness step, -free share, id) and as (free CPU, id).
        self._by_preference = sortedcontainers.SortedList()
        self._by_free_cpu = sortedcontainers.SortedList()
        self._keys_by_id: dict[str, tuple[tuple, tuple, int]] = {}
        # Available runners that are ejected, or whose probe is still running.
        self._unhealthy_by_id: dict[str, _runner_capacity.RunnerCapacity] = {}
        self._ejected_ids: set[str] = set()

    def __len__(self) -> int:
        return len(self.runner_by_id)

    @property
    def ejected(self) -> int:
        """Return how many runners are not healthy."""
        return len(self._ejected_ids)

    def remove(self, runner: _runner_capacity.RunnerCapacity) -> None:
        """Remove a runner."""
        del self.runner_by_id[runner.id]
        self.expected_ends.remove(runner.id)
        self._forget(runner.id)

    def update(self, runner: _runner_capacity.RunnerCapacity) -> None:
        """Add a runner, or put one that has changed in its place in the order."""
        self.runner_by_id[runner.id] = runner
        is_healthy = runner.health.state is _runner_health.State.HEALTHY
        keys = None
        if is_healthy and runner.is_available:
            keys = (_preference(runner), (runner.free_cpu, runner.id), runner.offered_cpu)
            self.expected_ends.update(runner.id, runner.allocation_by_task)
            if keys == self._keys_by_id.get(runner.id):
                return
        was_available = self._forget(runner.id)
        if keys is None:
            self.expected_ends.remove(runner.id)
        else:
            is_idle = runner.free_cpu >= IDLE_SHARE * runner.cpu
            if not was_available and is_idle and runner.share == 1.0:
                self._returned_cpu += runner.cpu
            self._keys_by_id[runner.id] = keys
            self._by_preference.add(keys[0])
            self._by_free_cpu.add(keys[1])
            self.healthy_cpu += runner.offered_cpu
            self.free_cpu += runner.free_cpu
        if not is_healthy:
            self._ejected_ids.add(runner.id)
            if runner.is_available:
                self._unhealthy_by_id[runner.id] = runner

    def advance(self, now: float) -> None:
        """Forget what came back before the last intervals, and update the confined routes."""
        # Runners that are down count, or a route would move on to sound ones.
        connected = (runner.id for runner in self.runner_by_id.values() if runner.has_report)
        self.confinement.update(connected, now)
        if now - self._interval_started_at > RECOVERY_S:
            self._previous_returned_cpu, self._returned_cpu = self._returned_cpu, 0
            self._interval_started_at = now

    def cpu_for(self, route: str) -> int:
        """Return the CPU of the healthy runners that accept tasks of a route."""
        bulkhead = self.confinement.bulkhead(route)
        if bulkhead is None:
            return self.healthy_cpu
        return sum(self._keys_by_id[each][2] for each in bulkhead if each in self._keys_by_id)

    def is_recovering(self) -> bool:
        """Return whether the pool has no runner, or has just got many of them back idle."""
        returned_cpu = self._returned_cpu + self._previous_returned_cpu
        return not self.healthy_cpu or returned_cpu > RECOVERED_SHARE * self.healthy_cpu

    def fits_evacuated_only(self, demand: _runner_capacity.Demand) -> bool:
        """Return whether only runners of evacuated data centres could ever run a task."""
        # Available runners come first, as nearly every one of them can run most tasks.
        runner_ids = itertools.chain(self._keys_by_id, self.runner_by_id)
        fits_any = False
        for runner_id in runner_ids:
            runner = self.runner_by_id[runner_id]
            if runner.may_ever_fit(demand):
                if not runner.is_evacuated:
                    return False
                fits_any = True
        return fits_any

    def has_spare(self) -> bool:
        """Return whether so much is free that late jobs don't delay others."""
        return self.free_cpu > SPARE_SHARE * self.healthy_cpu

    def room_for(self, cpu: int, needed: int) -> int:
        """Return how much of the CPU that is needed is free for tasks of a size."""
        room = 0
        for free_cpu, _ in reversed(self._by_free_cpu):
            if free_cpu < cpu or room >= needed:
                break
            room += free_cpu // cpu * cpu if cpu else free_cpu
        return min(room, needed)

    def max_free_cpu(self, now: float) -> int:
        """Return the most CPU that a runner which accepts tasks has free, -1 without any.

        A runner that is excluded for its slowness counts, so this is an upper bound.
        """
        most = self._by_free_cpu[-1][0] if self._by_free_cpu else -1
        for runner in self._unhealthy_by_id.values():
            if runner.health.accepts_tasks(now):
                most = max(most, runner.free_cpu)
        return most

    def preferred(self, now: float) -> Iterator[_runner_capacity.RunnerCapacity]:
        """Yield the runners that accept tasks, the preferred ones first."""
        probed = sorted(self._probed(now))
        excluded_step = self._excluded_step(now)
        order = heapq.merge(self._by_preference, probed) if probed else self._by_preference
        for step, _, runner_id in order:
            if step >= excluded_step:
                return
            yield self.runner_by_id[runner_id]

    def accepts_tasks(self, runner: _runner_capacity.RunnerCapacity, now: float) -> bool:
        """Return whether a runner is among the preferred ones."""
        return not self.exclusion(runner, now)

    def exclusion(self, runner: _runner_capacity.RunnerCapacity, now: float) -> str:
        """Return why a runner is not among the preferred ones, "" if it is."""
        if not runner.is_open:
            return CLOSED
        if not runner.has_report:
            return UNREPORTED
        if not runner.health.accepts_tasks(now):
            return EJECTED
        return SLOW if _slowness_step(runner) >= self._excluded_step(now) else ""

    def copy(self) -> "PoolRunners":
        """Return a copy on which tasks can be placed without a change of this pool."""
        other = copy.copy(self)
        other.confinement = copy.deepcopy(self.confinement)
        other.expected_ends = copy.deepcopy(self.expected_ends)
        other.runner_by_id = {
            runner_id: runner.copy() for runner_id, runner in self.runner_by_id.items()
        }
        other._by_preference = self._by_preference.copy()
        other._by_free_cpu = self._by_free_cpu.copy()
        other._keys_by_id = dict(self._keys_by_id)
        other._unhealthy_by_id = {each: other.runner_by_id[each] for each in self._unhealthy_by_id}
        other._ejected_ids = set(self._ejected_ids)
        return other

    def _excluded_step(self, now: float) -> float:
        """Return the slowness step from which runners are left out, as others are faster."""
        if self._by_preference and self._by_preference[0][0] < _EXCLUSION_STEP:
            return _EXCLUSION_STEP
        steps = [step for step, _, _ in self._probed(now)]
        steps += [step for step, _, _ in self._by_preference[:1]]
        return _EXCLUSION_STEP if min(steps, default=0) < _EXCLUSION_STEP else math.inf

    def _probed(self, now: float) -> list[tuple[int, float, str]]:
        """Return the preferences of the runners that are not healthy but may get a probe."""
        return [
            _preference(runner)
            for runner in self._unhealthy_by_id.values()
            if runner.health.accepts_tasks(now)
        ]

    def _forget(self, runner_id: str) -> bool:
        """Take a runner out of the order; return whether it was in it."""
        self._ejected_ids.discard(runner_id)
        self._unhealthy_by_id.pop(runner_id, None)
        keys = self._keys_by_id.pop(runner_id, None)
        if keys is not None:
            preference, free, cpu = keys
            self._by_preference.remove(preference)
            self._by_free_cpu.remove(free)
            self.healthy_cpu -= cpu
            self.free_cpu -= free[0]
        return keys is not None


class Candidates:
    """The runners that may get a task at one moment; `max_free_cpu` is the most that one has free.

    With `only`, tasks are placed on that runner of the pool or not at all.
    """

    def __init__(
        self, pool: PoolRunners, now: float, only: _runner_capacity.RunnerCapacity | None = None
    ) -> None:
        self._pool = pool
        self._now = now
        self._only = only
        self._update_max_free_cpu()

    def choose(
        self, demand: _runner_capacity.Demand, route: str = ""
    ) -> _runner_capacity.RunnerCapacity | None:
        """Return the runner for a task of a route, None if it has to wait.

        The runners of confined routes are the last choice for other routes.
        """
        if demand.cpu > self.max_free_cpu:
            return None
        confinement = self._pool.confinement
        bulkhead = confinement.bulkhead(route)
        avoids = bool(demand.avoid) and self._has_alternative(demand, bulkhead)
        far = reserved = None
        for runner in self._runners():
            if _obstacle(runner, demand, bulkhead, avoids=avoids):
                continue
            if bulkhead is None and runner.id in confinement.reserved:
                reserved = reserved or runner
            elif not demand.preferred_rack or demand.preferred_rack in runner.labels:
                return runner
            else:
                far = far or runner
        return far or reserved

    def count_obstacles(self, demand: _runner_capacity.Demand, route: str) -> dict[str, int]:
        """Return, by the reason, how many runners can't get a task; `""` counts those that can."""
        bulkhead = self._pool.confinement.bulkhead(route)
        avoids = bool(demand.avoid) and self._has_alternative(demand, bulkhead)
        return dict(
            collections.Counter(
                self._pool.exclusion(runner, self._now)
                or _obstacle(runner, demand, bulkhead, avoids=avoids)
                for runner in self._pool.runner_by_id.values()
            )
        )

    def allocate(
        self, runner: _runner_capacity.RunnerCapacity, demand: _runner_capacity.Demand
    ) -> None:
        """Allocate the resources of a task on the runner that was chosen for it."""
        runner.allocate(demand, self._now)
        self._pool.update(runner)
        self._update_max_free_cpu()

    def _runners(self) -> Iterable[_runner_capacity.RunnerCapacity]:
        if self._only is None:
            return self._pool.preferred(self._now)
        return [self._only] if self.max_free_cpu >= 0 else []

    def _update_max_free_cpu(self) -> None:
        if self._only is None:
            self.max_free_cpu = self._pool.max_free_cpu(self._now)
            return
        is_usable = self._pool.accepts_tasks(self._only, self._now)
        self.max_free_cpu = self._only.free_cpu if is_usable else -1

    def _has_alternative(
        self, demand: _runner_capacity.Demand, bulkhead: frozenset[str] | None
    ) -> bool:
        """Return whether a runner that the task doesn't avoid could ever run it."""
        return any(
            runner.id not in demand.avoid
            and (bulkhead is None or runner.id in bulkhead)
            and runner.is_available
            and runner.fits_when_empty(demand)
            for runner in self._pool.runner_by_id.values()
        )


def _obstacle(
    runner: _runner_capacity.RunnerCapacity,
    demand: _runner_capacity.Demand,
    bulkhead: frozenset[str] | None,
    *,
    avoids: bool,
) -> str:
    """Return why a runner that accepts tasks can't get this one, "" if it can."""
    if bulkhead is not None and runner.id not in bulkhead:
        return CONFINED
    if not runner.fits(demand):
        return FULL
    if not runner.has_label(demand):
        return NO_LABEL
    if avoids and runner.id in demand.avoid:
        return AVOIDED
    return STEP_LIMIT if _is_at_step_limit(runner, demand) else ""


def _is_at_step_limit(
    runner: _runner_capacity.RunnerCapacity, demand: _runner_capacity.Demand
) -> bool:
    if not demand.max_per_runner:
        return False
    step = demand.task.rpartition(".")[0]
    siblings = sum(task.rpartition(".")[0] == step for task in runner.allocation_by_task)
    return siblings >= demand.max_per_runner


def _preference(runner: _runner_capacity.RunnerCapacity) -> tuple[int, float, str]:
    return (_slowness_step(runner), -runner.free_cpu / max(runner.cpu, 1), runner.id)


def _slowness_step(runner: _runner_capacity.RunnerCapacity) -> int:
    return int((max(1.0, runner.health.slowness) - 1.0) / SLOWNESS_STEP)
