"""Room on the runners of a pool, as the scheduling entry knows it, and the choice of a runner.

Answers load that is uneven over the runners: each task goes to the runner with the most room
left among those that are not slow, so that no runner queues while another one idles.
"""

from collections.abc import Iterable

import attrs

from daisyfall.policy import _evidence

# A placement that its runner's agent has not confirmed by then is taken back.
CONFIRMATION_TIMEOUT_S = 0.4
# A runner this slow gets no task while others of the pool are faster, even if they are full.
CRAWLING = 3.0
# Slowness is compared in steps of this size, so that noise doesn't outweigh room.
SLOWNESS_STEP = 0.5


@attrs.frozen
class Demand:
    """What one task needs: thousandths of a core, MB, and where it may or should run."""

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
    """Room that one task holds on a runner."""

    cpu: int
    memory_mb: int
    accelerators: int
    since: float
    job_id: str


@attrs.define(slots=True, eq=False)
class RunnerCapacity:
    """One runner: its capacity, what is held there, and the evidence on it."""

    id: str
    pool: str
    cpu: int
    memory_mb: int
    accelerators: int
    labels: tuple[str, ...]
    is_open: bool
    incarnation: str = ""
    is_known: bool = False
    allocation_by_task: dict[str, Allocation] = attrs.Factory(dict)
    health: _evidence.Evidence = attrs.Factory(_evidence.Evidence)
    free_cpu: int = 0
    free_memory_mb: int = 0
    free_accelerators: int = 0

    def __attrs_post_init__(self) -> None:
        """Start with everything free."""
        self.recount()

    def recount(self) -> None:
        """Recompute what is free from what is held."""
        held = self.allocation_by_task.values()
        self.free_cpu = self.cpu - sum(each.cpu for each in held)
        self.free_memory_mb = self.memory_mb - sum(each.memory_mb for each in held)
        self.free_accelerators = self.accelerators - sum(each.accelerators for each in held)

    def allocate(self, demand: Demand, now: float) -> None:
        """Take room for a task."""
        self.allocation_by_task[demand.task] = Allocation(
            demand.cpu, demand.memory_mb, demand.accelerators, now, demand.job_id
        )
        self.free_cpu -= demand.cpu
        self.free_memory_mb -= demand.memory_mb
        self.free_accelerators -= demand.accelerators
        self.health.placed(now)

    def release(self, task: str) -> bool:
        """Give back the room of a task; tell whether it held any."""
        held = self.allocation_by_task.pop(task, None)
        if held is None:
            return False
        self.free_cpu += held.cpu
        self.free_memory_mb += held.memory_mb
        self.free_accelerators += held.accelerators
        return True

    def replace(self, allocation_by_task: dict[str, Allocation], now: float) -> None:
        """Take over what the agent reports; placements it can't know of yet are kept."""
        for task, held in self.allocation_by_task.items():
            if task not in allocation_by_task and now - held.since < CONFIRMATION_TIMEOUT_S:
                allocation_by_task[task] = held
        self.allocation_by_task = allocation_by_task
        self.is_known = True
        self.recount()

    def fits(self, demand: Demand) -> bool:
        """Tell whether the task fits into what is free."""
        return (
            self.free_cpu >= demand.cpu
            and self.free_memory_mb >= demand.memory_mb
            and self.free_accelerators >= demand.accelerators
        )

    def fits_when_empty(self, demand: Demand) -> bool:
        """Tell whether the task would fit if the runner were empty."""
        return (
            self.cpu >= demand.cpu
            and self.memory_mb >= demand.memory_mb
            and self.accelerators >= demand.accelerators
            and (not demand.label or demand.label in self.labels)
        )


class Candidates:
    """The runners that may take a task at one moment; `largest_cpu` is the most that is free.

    Answers load that keeps a large pool full: what can't fit anywhere is told by one comparison,
    and what doesn't change between two tasks is worked out once. With `only`, tasks go to that
    runner of the pool or to none.
    """

    def __init__(
        self, runners: Iterable[RunnerCapacity], now: float, only: RunnerCapacity | None = None
    ) -> None:
        self._now = now
        self._opened = [each for each in runners if each.is_open and each.is_known]
        fast = [each for each in self._opened if each.health.slowness < CRAWLING]
        self._takers = [
            (_slowness_step(each), each)
            for each in fast or self._opened
            if only in (None, each) and each.health.accepts_tasks(now)
        ]
        self._find_largest()

    def choose(self, demand: Demand) -> RunnerCapacity | None:
        """Return the runner for a task, None if it has to wait."""
        if demand.cpu > self.largest_cpu:
            return None
        avoids = demand.avoid and self._has_other(demand)
        best, least = None, None
        for step, room in self._takers:
            if (
                not room.fits(demand)
                or (demand.label and demand.label not in room.labels)
                or (avoids and room.id in demand.avoid)
                or _is_crowded(room, demand)
            ):
                continue
            is_far = demand.preferred_rack and demand.preferred_rack not in room.labels
            cost = (bool(is_far), step, -room.free_cpu / max(room.cpu, 1))
            if least is None or cost < least:
                best, least = room, cost
        return best

    def allocate(self, room: RunnerCapacity, demand: Demand) -> None:
        """Take room for a task on the runner that was chosen for it."""
        was_largest = room.free_cpu == self.largest_cpu
        room.allocate(demand, self._now)
        if not room.health.accepts_tasks(self._now):
            self._takers = [each for each in self._takers if each[1] is not room]
        if was_largest:
            self._find_largest()

    def _find_largest(self) -> None:
        self.largest_cpu = max((room.free_cpu for _, room in self._takers), default=-1)

    def _has_other(self, demand: Demand) -> bool:
        """Tell whether waiting helps a task that should not go back to where it failed."""
        return any(
            each.id not in demand.avoid and each.fits_when_empty(demand) for each in self._opened
        )


def _is_crowded(runner: RunnerCapacity, demand: Demand) -> bool:
    if not demand.max_per_runner:
        return False
    step = demand.task.rpartition(".")[0]
    siblings = sum(task.rpartition(".")[0] == step for task in runner.allocation_by_task)
    return siblings >= demand.max_per_runner


def _slowness_step(runner: RunnerCapacity) -> int:
    return int((max(1.0, runner.health.slowness) - 1.0) / SLOWNESS_STEP)
