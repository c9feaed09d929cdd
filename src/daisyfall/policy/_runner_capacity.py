"""Capacity of the runners of a pool, as the scheduling entry knows it, and the choice of a runner.

Each task goes to the runner with the largest free share of its CPU among those that are not
slow, so that tasks don't queue at one runner while another one is idle.
"""

from collections.abc import Iterable

import attrs

from daisyfall.policy import _runner_health

# A placement that the runner's agent has not reported by then is released.
CONFIRMATION_TIMEOUT_S = 0.4
# A runner this slow gets no task while others of the pool are faster, even if those are full.
EXCLUSION_SLOWNESS = 3.0
# Slowness is compared in steps of this size, so that noise doesn't outweigh free capacity.
SLOWNESS_STEP = 0.5


@attrs.frozen
class Demand:
    """What one task needs: thousandths of a core, MB, accelerators, and placement constraints.

    `label` is required and `preferred_rack` preferred; `max_per_runner` limits the tasks of the
    same step on one runner, 0 for no limit; the runners in `avoid` are used only if no other
    one could run the task.
    """

    task: str
    job_id: str
    cpu: int
    memory_mb: int
    accelerators: int = 0
    expected_ms: float = 0.0
    label: str = ""
    preferred_rack: str = ""
    max_per_runner: int = 0
    avoid: tuple[str, ...] = ()


@attrs.define(slots=True, eq=False)
class Allocation:
    """Resources of a runner that are allocated to one task."""

    cpu: int
    memory_mb: int
    accelerators: int
    allocated_at: float
    job_id: str


@attrs.define(slots=True, eq=False)
class RunnerCapacity:
    """One runner: its capacity, what is allocated and free, and its health.

    `is_open` tells that the runner accepts tasks, `has_report` that its agent has reported what
    is allocated there; both are needed for a placement.
    """

    id: str
    pool: str
    cpu: int
    memory_mb: int
    accelerators: int
    labels: tuple[str, ...]
    is_open: bool
    incarnation: str = ""
    has_report: bool = False
    allocation_by_task: dict[str, Allocation] = attrs.Factory(dict)
    health: _runner_health.RunnerHealth = attrs.Factory(_runner_health.RunnerHealth)
    free_cpu: int = 0
    free_memory_mb: int = 0
    free_accelerators: int = 0

    def __attrs_post_init__(self) -> None:
        """Compute the free capacity."""
        self.update_free()

    def update_free(self) -> None:
        """Recompute the free capacity from the allocations."""
        allocations = self.allocation_by_task.values()
        self.free_cpu = self.cpu - sum(allocation.cpu for allocation in allocations)
        self.free_memory_mb = self.memory_mb - sum(
            allocation.memory_mb for allocation in allocations
        )
        self.free_accelerators = self.accelerators - sum(
            allocation.accelerators for allocation in allocations
        )

    def allocate(self, demand: Demand, now: float) -> None:
        """Allocate the resources of a task."""
        self.allocation_by_task[demand.task] = Allocation(
            demand.cpu, demand.memory_mb, demand.accelerators, now, demand.job_id
        )
        self.free_cpu -= demand.cpu
        self.free_memory_mb -= demand.memory_mb
        self.free_accelerators -= demand.accelerators
        self.health.record_placement(now)

    def release(self, task: str) -> bool:
        """Release the resources of a task; return whether any were allocated."""
        allocation = self.allocation_by_task.pop(task, None)
        if allocation is None:
            return False
        self.free_cpu += allocation.cpu
        self.free_memory_mb += allocation.memory_mb
        self.free_accelerators += allocation.accelerators
        return True

    def replace(self, allocation_by_task: dict[str, Allocation], now: float) -> None:
        """Replace the allocations by those that the agent reports.

        Placements that are too recent for the report to include them are kept.
        """
        for task, allocation in self.allocation_by_task.items():
            if (
                task not in allocation_by_task
                and now - allocation.allocated_at < CONFIRMATION_TIMEOUT_S
            ):
                allocation_by_task[task] = allocation
        self.allocation_by_task = allocation_by_task
        self.has_report = True
        self.update_free()

    def fits(self, demand: Demand) -> bool:
        """Return whether the task fits into the free capacity."""
        return (
            self.free_cpu >= demand.cpu
            and self.free_memory_mb >= demand.memory_mb
            and self.free_accelerators >= demand.accelerators
        )

    def fits_when_empty(self, demand: Demand) -> bool:
        """Return whether the task would fit if the runner were empty."""
        return (
            self.cpu >= demand.cpu
            and self.memory_mb >= demand.memory_mb
            and self.accelerators >= demand.accelerators
            and (not demand.label or demand.label in self.labels)
        )


class Candidates:
    """The runners that may get a task at one moment; `max_free_cpu` is the most that one has free.

    Keeps placing cheap while a large pool is full: a task that fits nowhere is usually detected
    by one comparison, and what is the same for all tasks of a round is computed once. With
    `only`, tasks are placed on that runner of the pool or not at all.
    """

    def __init__(
        self, runners: Iterable[RunnerCapacity], now: float, only: RunnerCapacity | None = None
    ) -> None:
        self._now = now
        self._available = [runner for runner in runners if runner.is_open and runner.has_report]
        fast = [runner for runner in self._available if runner.health.slowness < EXCLUSION_SLOWNESS]
        self._eligible = [
            (_slowness_step(runner), runner)
            for runner in fast or self._available
            if only in (None, runner) and runner.health.accepts_tasks(now)
        ]
        self._update_max_free_cpu()

    def choose(self, demand: Demand) -> RunnerCapacity | None:
        """Return the runner for a task, None if it has to wait."""
        if demand.cpu > self.max_free_cpu:
            return None
        avoids = demand.avoid and self._has_alternative(demand)
        best, best_cost = None, None
        for step, runner in self._eligible:
            if (
                not runner.fits(demand)
                or (demand.label and demand.label not in runner.labels)
                or (avoids and runner.id in demand.avoid)
                or _is_at_step_limit(runner, demand)
            ):
                continue
            is_far = demand.preferred_rack and demand.preferred_rack not in runner.labels
            cost = (bool(is_far), step, -runner.free_cpu / max(runner.cpu, 1))
            if best_cost is None or cost < best_cost:
                best, best_cost = runner, cost
        return best

    def allocate(self, runner: RunnerCapacity, demand: Demand) -> None:
        """Allocate the resources of a task on the runner that was chosen for it."""
        had_max_free_cpu = runner.free_cpu == self.max_free_cpu
        runner.allocate(demand, self._now)
        if not runner.health.accepts_tasks(self._now):
            self._eligible = [
                candidate for candidate in self._eligible if candidate[1] is not runner
            ]
        if had_max_free_cpu:
            self._update_max_free_cpu()

    def _update_max_free_cpu(self) -> None:
        self.max_free_cpu = max((runner.free_cpu for _, runner in self._eligible), default=-1)

    def _has_alternative(self, demand: Demand) -> bool:
        """Return whether a runner that the task doesn't avoid could ever run it."""
        return any(
            runner.id not in demand.avoid and runner.fits_when_empty(demand)
            for runner in self._available
        )


def _is_at_step_limit(runner: RunnerCapacity, demand: Demand) -> bool:
    if not demand.max_per_runner:
        return False
    step = demand.task.rpartition(".")[0]
    siblings = sum(task.rpartition(".")[0] == step for task in runner.allocation_by_task)
    return siblings >= demand.max_per_runner


def _slowness_step(runner: RunnerCapacity) -> int:
    return int((max(1.0, runner.health.slowness) - 1.0) / SLOWNESS_STEP)
