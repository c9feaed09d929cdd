"""Runners of one pool, ordered for the choice of a runner.

The order is kept up to date at each change of a runner, so that a choice examines a few runners
whatever the size of the pool: it answers many short tasks on hundreds of runners, most of which
are full while load is at its worst. Runners of about the same speed form a class; only the first
runners of each class are examined, and those of the rack that a task prefers.
"""

import copy
import heapq
import itertools
import math
from collections.abc import Iterable, Iterator

import attrs

from daisyfall.policy import (
    _confinement,
    _expected_ends,
    _rack_demand,
    _runner_capacity,
    _runner_health,
    _runner_order,
    _runner_speed,
)

# A runner this slow gets no task while others of the pool are faster, even if those are full.
EXCLUSION_SLOWNESS = 3.0
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
EVACUATED = "evacuated"
UNREPORTED = "not_reported"
EJECTED = "ejected"
RETURNING = "returning"
SLOW = "slow"
_EXCLUSION_CLASS = _runner_speed.class_of(1 / EXCLUSION_SLOWNESS)


@attrs.define(slots=True)
class _Contribution:
    """What a runner in use adds to its pool: its keys in the order and its CPU.

    `keys` is None for a runner that is at its limit. The weighted figures are those of a runner
    of speed 1.0.
    """

    keys: _runner_order.Keys | None
    offered_cpu: int
    weighted_cpu: int
    weighted_free_cpu: int


class PoolRunners:
    """The runners of one pool.

    `update` has to be called after each change of a runner's capacity, state or health.
    """

    def __init__(self, remote_factor: float = 1.0) -> None:
        self.remote_factor = remote_factor
        self.confinement = _confinement.Confinement()
        self.expected_ends = _expected_ends.ExpectedEnds()
        self.speeds = _runner_speed.SpeedTable()
        self.rack_demand = _rack_demand.RackDemand()
        self.runner_by_id: dict[str, _runner_capacity.RunnerCapacity] = {}
        # CPU in thousandths of a core of speed 1.0.
        self.healthy_cpu = 0
        self.free_cpu = 0
        # CPU that all runners in use offer, whatever their speed.
        self.offered_cpu = 0
        self._returned_cpu = 0
        self._previous_returned_cpu = 0
        self._interval_started_at = float("-inf")
        # The runners that get tasks, without probes.
        self._order = _runner_order.RunnerOrder()
        self._contribution_by_id: dict[str, _Contribution] = {}
        # Available runners that are ejected, or whose probe is still running.
        self._unhealthy_by_id: dict[str, _runner_capacity.RunnerCapacity] = {}
        self._ejected_ids: set[str] = set()
        self._runners_by_rack: dict[str, dict[str, _runner_capacity.RunnerCapacity]] = {}
        self._labels_by_id: dict[str, tuple[str, ...]] = {}
        # Upper bound of the CPU of each runner.
        self.largest_cpu = 0

    def __len__(self) -> int:
        return len(self.runner_by_id)

    @property
    def ejected(self) -> int:
        """Return how many runners are not healthy."""
        return len(self._ejected_ids)

    def remove(self, runner: _runner_capacity.RunnerCapacity) -> None:
        """Remove a runner."""
        del self.runner_by_id[runner.id]
        self._contribute(runner.id, None)
        self._set_unhealthy(runner, is_unhealthy=False)
        self._set_labels(runner, ())
        self.speeds.remove(runner.id)
        self.expected_ends.remove(runner.id)

    def update(self, runner: _runner_capacity.RunnerCapacity) -> None:
        """Add a runner, or put one that has changed in its place in the order."""
        self.runner_by_id[runner.id] = runner
        if self._labels_by_id.get(runner.id) != runner.labels:
            self._set_labels(runner, runner.labels)
        self.largest_cpu = max(self.largest_cpu, runner.cpu)
        was_available = runner.id in self._contribution_by_id
        is_in_use = runner.health.is_in_use
        if is_in_use and runner.is_available:
            contribution = self._contribution_of(runner)
            self._contribute(runner.id, contribution)
            self.expected_ends.update(runner.id, runner.allocation_by_task)
            is_idle = runner.free_cpu >= IDLE_SHARE * runner.cpu and runner.share == 1.0
            is_healthy = runner.health.state is _runner_health.State.HEALTHY
            if not was_available and is_idle and is_healthy:
                self._returned_cpu += contribution.weighted_cpu
        else:
            self._contribute(runner.id, None)
            self.expected_ends.remove(runner.id)
        self._set_unhealthy(runner, is_unhealthy=not is_in_use)

    def advance(self, now: float) -> None:
        """Forget what came back before the last intervals; update confined routes and racks."""
        # Runners that are down count, or a route would move on to sound ones.
        connected = (runner.id for runner in self.runner_by_id.values() if runner.has_report)
        self.confinement.update(connected, now)
        self.rack_demand.update(self._cores_of_rack, now)
        if now - self._interval_started_at > RECOVERY_S:
            self._previous_returned_cpu, self._returned_cpu = self._returned_cpu, 0
            self._interval_started_at = now

    def record_demands(self, demands: Iterable[_runner_capacity.Demand], now: float) -> None:
        """Record the racks that arriving tasks prefer, if these matter for their run times."""
        if self.remote_factor == 1.0:
            return
        core_seconds_by_rack: dict[str, float] = {}
        for demand in demands:
            rack = demand.preferred_rack
            if rack:
                core_seconds = demand.cpu * demand.expected_ms / 1e6
                core_seconds += core_seconds_by_rack.get(rack, 0.0)
                core_seconds_by_rack[rack] = core_seconds
        for rack, core_seconds in core_seconds_by_rack.items():
            self.rack_demand.record(rack, core_seconds, now)

    def cpu_for(self, route: str) -> int:
        """Return the CPU of the healthy runners that accept tasks of a route, by their speed."""
        bulkhead = self.confinement.bulkhead(route)
        if bulkhead is None:
            return self.healthy_cpu
        return self._weighted_cpu(bulkhead)

    def is_recovering(self) -> bool:
        """Return whether the pool has no runner, or has just got many of them back idle."""
        returned_cpu = self._returned_cpu + self._previous_returned_cpu
        return not self.healthy_cpu or returned_cpu > RECOVERED_SHARE * self.healthy_cpu

    def has_fast_others(self, runner: _runner_capacity.RunnerCapacity) -> bool:
        """Return whether most of the other available runners are in use and not slow.

        If most are slow, the expected run times are wrong, or all hosts are busy.
        """
        others = [
            other
            for other in self.runner_by_id.values()
            if other is not runner and other.is_available
        ]
        fast = sum(other.health.is_in_use and not other.health.is_slow for other in others)
        return 2 * fast > len(others)

    def fits_evacuated_only(self, demand: _runner_capacity.Demand) -> bool:
        """Return whether only runners of evacuated data centres could ever run a task."""
        # Available runners come first, as nearly every one of them can run most tasks.
        runner_ids = itertools.chain(self._contribution_by_id, self.runner_by_id)
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

    def room_for(self, cpu: int, needed: int, now: float) -> int:
        """Return how much of the CPU that is needed is free for tasks of a size."""
        room = 0
        excluded_class = self._excluded_class(now)
        for free_cpu, runner_id in self._order.by_falling_free_cpu():
            if free_cpu < cpu or room >= needed:
                break
            if self._contribution_by_id[runner_id].keys[0] < excluded_class:
                room += free_cpu // cpu * cpu if cpu else free_cpu
        return min(room, needed)

    def max_free_cpu(self, now: float) -> int:
        """Return the most CPU that a runner which accepts tasks has free, -1 without any.

        A runner that is excluded for its slowness counts, so this is an upper bound.
        """
        most = self._order.max_free_cpu
        for runner in self._unhealthy_by_id.values():
            if runner.health.accepts_tasks(now):
                most = max(most, runner.free_cpu)
        return most

    def by_class(self, now: float) -> Iterator[tuple[float, Iterable[tuple[float, str]]]]:
        """Yield the runners that accept tasks: speed of a class, (minus free share, id) of each.

        The fastest class comes first, and within a class the largest free share.
        """
        order_by_class = self._order.order_by_class
        if not self._unhealthy_by_id:
            classes, probes_by_class = self._order.classes, {}
        else:
            probes_by_class = self._probes_by_class(now)
            classes = sorted({*probes_by_class, *order_by_class})
        for speed_class in classes:
            if speed_class >= _EXCLUSION_CLASS > classes[0]:
                return
            order = order_by_class.get(speed_class, ())
            probes = probes_by_class.get(speed_class)
            yield (
                _runner_speed.class_speed(speed_class),
                heapq.merge(order, sorted(probes)) if probes else order,
            )

    def max_speed(self, now: float) -> float:
        """Return the highest speed of a class that accepts tasks, 1.0 if there is none."""
        fastest = self._fastest_class(now)
        return 1.0 if fastest == math.inf else _runner_speed.class_speed(fastest)

    def of_rack(
        self, rack: str, now: float
    ) -> Iterator[tuple[float, float, _runner_capacity.RunnerCapacity]]:
        """Yield the runners of a rack that accept tasks: speed, minus free share, and runner."""
        excluded_class = self._excluded_class(now)
        for runner_id, runner in self._runners_by_rack.get(rack, {}).items():
            contribution = self._contribution_by_id.get(runner_id)
            if contribution is not None and contribution.keys is not None:
                speed_class, free = contribution.keys[:2]
            elif runner_id in self._unhealthy_by_id and runner.health.accepts_tasks(now):
                speed_class, free = self.speed_class(runner), -runner.free_share
            else:
                continue
            if speed_class < excluded_class:
                yield _runner_speed.class_speed(speed_class), free, runner

    def accepts_tasks(self, runner: _runner_capacity.RunnerCapacity, now: float) -> bool:
        """Return whether a runner may get a task."""
        return not self.exclusion(runner, now)

    def exclusion(self, runner: _runner_capacity.RunnerCapacity, now: float) -> str:
        """Return why a runner may get no task, `""` if it may."""
        if runner.is_evacuated:
            return EVACUATED
        if not runner.is_open:
            return CLOSED
        if not runner.has_report:
            return UNREPORTED
        if not runner.health.accepts_tasks(now):
            return EJECTED
        if runner.is_at_limit:
            return RETURNING
        return SLOW if self.speed_class(runner) >= self._excluded_class(now) else ""

    def copy(self) -> "PoolRunners":
        """Return a copy on which tasks can be placed without a change of this pool."""
        other = copy.copy(self)
        for name in ("confinement", "expected_ends", "speeds", "rack_demand", "_order"):
            setattr(other, name, copy.deepcopy(getattr(self, name)))
        other.runner_by_id = {
            runner_id: runner.copy() for runner_id, runner in self.runner_by_id.items()
        }
        other._contribution_by_id = dict(self._contribution_by_id)
        other._unhealthy_by_id = {each: other.runner_by_id[each] for each in self._unhealthy_by_id}
        other._ejected_ids = set(self._ejected_ids)
        other._labels_by_id = dict(self._labels_by_id)
        other._runners_by_rack = {
            rack: {each: other.runner_by_id[each] for each in runner_by_id}
            for rack, runner_by_id in self._runners_by_rack.items()
        }
        return other

    def is_reserved(self, runner: _runner_capacity.RunnerCapacity, rack: str) -> bool:
        """Return whether a runner is left to tasks that prefer its rack, which isn't `rack`."""
        racks = self.rack_demand.racks
        return bool(racks) and rack not in runner.labels and not racks.isdisjoint(runner.labels)

    def speed_class(self, runner: _runner_capacity.RunnerCapacity) -> int:
        """Return the speed class of a runner, that of its present slowness if it is slow."""
        speed_class = self.speeds.speed_class(runner.id)
        if runner.health.is_in_use and runner.health.is_slow:
            return max(speed_class, _runner_speed.class_of(1 / runner.health.slowness))
        return speed_class

    def speed(self, runner: _runner_capacity.RunnerCapacity) -> float:
        """Return the speed of a runner's class."""
        return _runner_speed.class_speed(self.speed_class(runner))

    def _fastest_class(self, now: float) -> float:
        classes = self._order.classes
        fastest = classes[0] if classes else math.inf
        if self._unhealthy_by_id:
            fastest = min([fastest, *self._probes_by_class(now)])
        return fastest

    def _excluded_class(self, now: float) -> float:
        """Return the class from which runners are left out, as others are faster."""
        return _EXCLUSION_CLASS if self._fastest_class(now) < _EXCLUSION_CLASS else math.inf

    def _probes_by_class(self, now: float) -> dict[int, list[tuple[float, str]]]:
        """Return the runners that are not in use but may get a probe."""
        probes_by_class: dict[int, list[tuple[float, str]]] = {}
        for runner in self._unhealthy_by_id.values():
            if runner.health.accepts_tasks(now):
                probes = probes_by_class.setdefault(self.speed_class(runner), [])
                probes.append((-runner.free_share, runner.id))
        return probes_by_class

    def _cores_of_rack(self, rack: str) -> float:
        runners = self._runners_by_rack.get(rack, ())
        return self._weighted_cpu(runners) / 1000

    def _weighted_cpu(self, runner_ids: Iterable[str]) -> int:
        """Return the CPU of those of some runners that are in use, by their speed."""
        found = (self._contribution_by_id.get(each) for each in runner_ids)
        return sum(contribution.weighted_cpu for contribution in found if contribution is not None)

    def _set_labels(self, runner: _runner_capacity.RunnerCapacity, labels: tuple[str, ...]) -> None:
        for rack in self._labels_by_id.pop(runner.id, ())[1:]:
            self._runners_by_rack[rack].pop(runner.id, None)
        if labels:
            self._labels_by_id[runner.id] = labels
        for rack in labels[1:]:
            self._runners_by_rack.setdefault(rack, {})[runner.id] = runner

    def _contribution_of(self, runner: _runner_capacity.RunnerCapacity) -> _Contribution:
        speed_class = self.speed_class(runner)
        speed = _runner_speed.class_speed(speed_class)
        keys = (speed_class, -runner.free_share, runner.free_cpu, runner.id)
        return _Contribution(
            None if runner.is_at_limit else keys,
            runner.offered_cpu,
            round(runner.offered_cpu * speed),
            round(max(runner.free_cpu, 0) * speed),
        )

    def _contribute(self, runner_id: str, contribution: _Contribution | None) -> None:
        """Replace what a runner adds to the pool, None for a runner that is not in use."""
        previous = self._contribution_by_id.get(runner_id)
        if contribution == previous:
            return
        if previous is not None:
            del self._contribution_by_id[runner_id]
            self._count(previous, -1)
            if previous.keys is not None:
                self._order.remove(previous.keys)
        if contribution is not None:
            self._contribution_by_id[runner_id] = contribution
            self._count(contribution, 1)
            if contribution.keys is not None:
                self._order.add(contribution.keys)

    def _count(self, contribution: _Contribution, sign: int) -> None:
        self.offered_cpu += sign * contribution.offered_cpu
        self.healthy_cpu += sign * contribution.weighted_cpu
        self.free_cpu += sign * contribution.weighted_free_cpu

    def _set_unhealthy(
        self, runner: _runner_capacity.RunnerCapacity, *, is_unhealthy: bool
    ) -> None:
        self._ejected_ids.discard(runner.id)
        self._unhealthy_by_id.pop(runner.id, None)
        if is_unhealthy:
            self._ejected_ids.add(runner.id)
            if runner.is_available:
                self._unhealthy_by_id[runner.id] = runner
