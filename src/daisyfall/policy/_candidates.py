"""Choice of the runner for a task.

Answers runners of uneven speed, and tasks whose data is on one rack. Each task goes to the runner
on which it is expected to end first. Runners on which it ends little later than that count the
same; of these, that with the largest free share of its CPU is taken, so that tasks don't queue at
one runner while another one is idle. So long tasks go to fast runners, and short ones, for which
the difference is small, to any. A task whose preferred rack has no room runs on another one.
"""

import collections
import math
from collections.abc import Callable, Collection

import attrs

from daisyfall.policy import _pool_runners, _runner_capacity

# An end is little later if it uses up at most this share of the time that the job may lose. The
# rest covers run times that vary.
SLACK_SHARE = 0.25
# Why a runner that accepts tasks can't get a certain one.
CONFINED = "confined_route"
FULL = "full"
NO_LABEL = "no_label"
AVOIDED = "failed_there"
STEP_LIMIT = "step_limit"


@attrs.frozen
class _EndLimit:
    """When a task may end so that it counts as ending as early as possible.

    It ends at most `tolerance_ms` later, or together with the other tasks of its job.
    """

    tolerance_ms: float
    ends_with_ms: float

    def latest_ms(self, first_ms: float) -> float:
        """Return the latest end that counts like the first possible one."""
        return max(first_ms + self.tolerance_ms, self.ends_with_ms)


class Candidates:
    """The runners that may get a task at one moment; `max_free_cpu` is the most that one has free.

    With `only`, tasks are placed on that runner of the pool or not at all.
    """

    def __init__(
        self,
        pool: _pool_runners.PoolRunners,
        now: float,
        only: _runner_capacity.RunnerCapacity | None = None,
    ) -> None:
        self._pool = pool
        self.now = now
        self._only = only
        # Runners of confined routes, as of the task that is placed.
        self._reserved: Collection[str] = ()
        self._update_max_free_cpu()

    def choose(
        self,
        demand: _runner_capacity.Demand,
        route: str = "",
        slack_ms: float = 0.0,
        ends_with_ms: float = 0.0,
    ) -> _runner_capacity.RunnerCapacity | None:
        """Return the runner for a task of a route, None if it has to wait.

        `slack_ms` is how much later the job may end without missing its objective, `ends_with_ms`
        the time until its other tasks end. The runners of a rack that other tasks prefer, and of
        confined routes, are the last choice for others.
        """
        if demand.cpu > self.max_free_cpu:
            return None
        fits = self._eligibility(demand, route)
        if self._only is not None:
            return self._only if fits(self._only) else None
        tolerance_ms = SLACK_SHARE * max(slack_ms, 0.0)
        limit = _EndLimit(tolerance_ms, ends_with_ms)
        near, near_ms = self._choose_near(demand, fits, limit)
        factor = self._pool.remote_factor if demand.preferred_rack else 1.0
        if near is not None and factor == 1.0:
            return near
        run_ms = demand.expected_ms * factor
        if near is not None and near_ms <= limit.latest_ms(run_ms / self._pool.max_speed(self.now)):
            return near
        far, far_ms = self._choose_by_class(demand, fits, run_ms, limit)
        if near is not None and near_ms <= limit.latest_ms(far_ms):
            return near
        return far

    def _eligibility(
        self, demand: _runner_capacity.Demand, route: str
    ) -> Callable[[_runner_capacity.RunnerCapacity], bool]:
        """Return a predicate for the runners that may run a task now."""
        bulkhead, avoided = self._restrictions(demand, route)
        self._reserved = self._pool.confinement.reserved if bulkhead is None else ()
        return lambda runner: not _obstacle(runner, demand, bulkhead, avoided)

    def count_obstacles(self, demand: _runner_capacity.Demand, route: str) -> dict[str, int]:
        """Return, by the reason, how many runners can't get a task; `""` counts those that can."""
        bulkhead, avoided = self._restrictions(demand, route)
        return dict(
            collections.Counter(
                self._pool.exclusion(runner, self.now)
                or _obstacle(runner, demand, bulkhead, avoided)
                for runner in self._pool.runner_by_id.values()
            )
        )

    def _restrictions(
        self, demand: _runner_capacity.Demand, route: str
    ) -> tuple[frozenset[str] | None, tuple[str, ...]]:
        """Return the runners to which a task is confined, if it is, and those that it avoids."""
        bulkhead = self._pool.confinement.bulkhead(route)
        if demand.avoid and self._has_alternative(demand, bulkhead):
            return bulkhead, demand.avoid
        return bulkhead, ()

    def _choose_near(
        self, demand: _runner_capacity.Demand, is_eligible: Callable, limit: _EndLimit
    ) -> tuple[_runner_capacity.RunnerCapacity | None, float]:
        """Return the best runner of the preferred rack, and when the task ends there."""
        if not demand.preferred_rack:
            return None, math.inf
        found = [
            (demand.expected_ms / speed, free, runner.id, runner)
            for speed, free, runner in self._pool.of_rack(demand.preferred_rack, self.now)
            if runner.free_cpu >= demand.cpu
            and runner.id not in self._reserved
            and is_eligible(runner)
        ]
        if not found:
            return None, math.inf
        first_ms = min(end_ms for end_ms, _, _, _ in found)
        latest_ms = limit.latest_ms(first_ms)
        best = min(row[1:] for row in found if row[0] <= latest_ms)
        return best[-1], first_ms

    def _choose_by_class(
        self,
        demand: _runner_capacity.Demand,
        is_eligible: Callable,
        run_ms: float,
        limit: _EndLimit,
    ) -> tuple[_runner_capacity.RunnerCapacity | None, float]:
        """Return the best runner of all racks, and when the task ends there.

        `run_ms` is the run time on a runner of speed 1.0.
        """
        best, best_free, best_ms = None, 0.0, math.inf
        in_demand = confined = None
        for speed, order in self._pool.by_class(self.now):
            end_ms = run_ms / speed
            if best is not None and end_ms > limit.latest_ms(best_ms):
                break
            for free, runner_id in order:
                if best is not None and free >= best_free:
                    break
                runner = self._pool.runner_by_id[runner_id]
                if not is_eligible(runner):
                    if -free * self._pool.largest_cpu < demand.cpu:
                        break
                elif runner_id in self._reserved:
                    confined = confined or (runner, end_ms)
                elif self._pool.is_reserved(runner, demand.preferred_rack):
                    in_demand = in_demand or (runner, end_ms)
                else:
                    best, best_free = runner, free
                    best_ms = min(best_ms, end_ms)
                    break
        if best is not None:
            return best, best_ms
        return in_demand or confined or (None, math.inf)

    def run_ms(
        self, runner: _runner_capacity.RunnerCapacity, demand: _runner_capacity.Demand
    ) -> float:
        """Return the expected run time of a task on a runner."""
        is_far = demand.preferred_rack and demand.preferred_rack not in runner.labels
        factor = self._pool.remote_factor if is_far else 1.0
        return demand.expected_ms * factor / self._pool.speed(runner)

    def place(
        self, demands: list[_runner_capacity.Demand], route: str, slack_ms: float
    ) -> tuple[dict[str, str], list[_runner_capacity.Demand]]:
        """Place the tasks of a job that fit; return runner ids by task, and the other tasks."""
        runner_by_task: dict[str, str] = {}
        remaining = []
        ends_with_ms = 0.0
        for demand in demands:
            runner = self.choose(demand, route, slack_ms, ends_with_ms)
            if runner is None:
                remaining.append(demand)
                continue
            ends_with_ms = max(ends_with_ms, self.run_ms(runner, demand))
            self.allocate(runner, demand)
            runner_by_task[demand.task] = runner.id
        return runner_by_task, remaining

    def allocate(
        self, runner: _runner_capacity.RunnerCapacity, demand: _runner_capacity.Demand
    ) -> None:
        """Allocate the resources of a task on the runner that was chosen for it."""
        runner.allocate(demand, self.now, self.run_ms(runner, demand))
        self._pool.update(runner)
        self._update_max_free_cpu()

    def _update_max_free_cpu(self) -> None:
        if self._only is None:
            self.max_free_cpu = self._pool.max_free_cpu(self.now)
            return
        is_usable = self._pool.accepts_tasks(self._only, self.now)
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
    avoided: tuple[str, ...],
) -> str:
    """Return why a runner that accepts tasks can't get this one, `""` if it can."""
    if bulkhead is not None and runner.id not in bulkhead:
        return CONFINED
    if not runner.fits(demand):
        return FULL
    if not runner.has_label(demand):
        return NO_LABEL
    if runner.id in avoided:
        return AVOIDED
    is_at_limit = _runner_capacity.is_at_step_limit(
        demand.task, demand.max_per_runner, runner.allocation_by_task
    )
    return STEP_LIMIT if is_at_limit else ""
