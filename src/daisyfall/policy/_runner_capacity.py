"""Capacity of one runner, as the scheduling entry knows it."""

import copy
import math
from collections.abc import Iterable

import attrs

from daisyfall.policy import _departures, _runner_health

# A placement that the runner's agent has not reported by then is released.
CONFIRMATION_TIMEOUT_S = 0.4


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
    """Resources of a runner that are allocated to one task.

    `expected_end` is on the monotonic clock, `run_s` the expected run time; 0 if unknown.
    """

    cpu: int
    memory_mb: int
    accelerators: int
    allocated_at: float
    job_id: str
    expected_end: float = 0.0
    run_s: float = 0.0


@attrs.define(slots=True, eq=False)
class RunnerCapacity:
    """One runner: its capacity, what is allocated and free, and its health.

    `is_open` tells that the runner accepts tasks, `has_report` that its agent has reported what
    is allocated there; both are needed for a placement. A runner in an evacuated data centre gets
    no tasks, and one that returns from there offers a `share` of its capacity. `leaves_at` is when
    a draining runner goes at the earliest.
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
    # The most that this incarnation has had; it may shrink and grow again.
    largest: tuple[int, int, int] = (0, 0, 0)
    leaves_at: float = _departures.NEVER
    data_centre: str = ""
    is_evacuated: bool = False
    share: float = 1.0
    offered_cpu: int = 0

    def __attrs_post_init__(self) -> None:
        """Compute the free capacity."""
        self.resize(self.cpu, self.memory_mb, self.accelerators)

    def resize(self, cpu: int, memory_mb: int, accelerators: int) -> None:
        """Set the capacity that the runner has now."""
        self.cpu, self.memory_mb, self.accelerators = cpu, memory_mb, accelerators
        capacity = (cpu, memory_mb, accelerators)
        self.largest = tuple(map(max, self.largest, capacity))
        self.update_free()

    def update_free(self) -> None:
        """Recompute the free capacity from the offered one and the allocations."""
        allocations = self.allocation_by_task.values()
        self.offered_cpu = math.ceil(self.cpu * self.share)
        self.free_cpu = self.offered_cpu - sum(allocation.cpu for allocation in allocations)
        self.free_memory_mb = math.ceil(self.memory_mb * self.share) - sum(
            allocation.memory_mb for allocation in allocations
        )
        self.free_accelerators = math.ceil(self.accelerators * self.share) - sum(
            allocation.accelerators for allocation in allocations
        )

    def set_evacuation(self, *, is_evacuated: bool, share: float) -> None:
        """Set whether the data centre is evacuated, and the share of the capacity to offer."""
        self.is_evacuated = is_evacuated
        if share != self.share:
            self.share = share
            self.update_free()

    def copy(self) -> "RunnerCapacity":
        """Return a copy whose allocations and health can be changed."""
        other = copy.copy(self)
        other.allocation_by_task = dict(self.allocation_by_task)
        other.health = copy.copy(self.health)
        return other

    def allocate(self, demand: Demand, now: float, run_ms: float | None = None) -> None:
        """Allocate the resources of a task that is expected to run for `run_ms` here."""
        run_s = (demand.expected_ms if run_ms is None else run_ms) / 1000
        self.allocation_by_task[demand.task] = Allocation(
            demand.cpu,
            demand.memory_mb,
            demand.accelerators,
            now,
            demand.job_id,
            now + run_s,
            run_s,
        )
        self.free_cpu -= demand.cpu
        self.free_memory_mb -= demand.memory_mb
        self.free_accelerators -= demand.accelerators
        self.health.record_placement(now)

    def release(self, task: str) -> Allocation | None:
        """Release the resources of a task; return what was allocated, None if nothing was."""
        allocation = self.allocation_by_task.pop(task, None)
        if allocation is None:
            return None
        self.free_cpu += allocation.cpu
        self.free_memory_mb += allocation.memory_mb
        self.free_accelerators += allocation.accelerators
        return allocation

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
            elif task in allocation_by_task:
                allocation_by_task[task].allocated_at = allocation.allocated_at
        self.allocation_by_task = allocation_by_task
        self.has_report = True
        self.update_free()

    @property
    def is_available(self) -> bool:
        """Return whether the runner gets tasks and its allocations are known."""
        return self.is_open and self.has_report and not self.is_evacuated

    @property
    def is_at_limit(self) -> bool:
        """Return whether a returning runner has as many tasks as it may have for now."""
        limit = self.health.task_limit
        return bool(limit) and len(self.allocation_by_task) >= limit

    @property
    def kind(self) -> str:
        """Return the kind of the runner, its first label; `""` without labels."""
        return self.labels[0] if self.labels else ""

    @property
    def free_share(self) -> float:
        """Return the free share of the runner's CPU."""
        return self.free_cpu / max(self.cpu, 1)

    def has_label(self, demand: Demand) -> bool:
        """Return whether the runner has the label that the task requires, if any."""
        return not demand.label or demand.label in self.labels

    def fits(self, demand: Demand) -> bool:
        """Return whether the task fits into the free capacity."""
        return has_room((self.free_cpu, self.free_memory_mb, self.free_accelerators), demand)

    def fits_when_empty(self, demand: Demand) -> bool:
        """Return whether the task would fit if the runner were empty."""
        capacity = (self.cpu, self.memory_mb, self.accelerators)
        return has_room(capacity, demand) and self.has_label(demand)

    def may_ever_fit(self, demand: Demand) -> bool:
        """Return whether the task would fit if the runner were empty and as large as it was."""
        return has_room(self.largest, demand) and self.has_label(demand)


def has_room(capacity: tuple[int, int, int], demand) -> bool:
    """Return whether a demand or an order fits into a capacity of CPU, MB and accelerators."""
    cpu, memory_mb, accelerators = capacity
    return (
        demand.cpu <= cpu and demand.memory_mb <= memory_mb and demand.accelerators <= accelerators
    )


def is_at_step_limit(task: str, max_per_runner: int, tasks: Iterable[str]) -> bool:
    """Return whether a runner with these tasks may have no further one of the step of `task`.

    `max_per_runner` is 0 for no limit.
    """
    if not max_per_runner:
        return False
    step = task.rpartition(".")[0]
    siblings = {each for each in tasks if each != task and each.rpartition(".")[0] == step}
    return len(siblings) >= max_per_runner
