"""When the running tasks of a pool are expected to free their CPU.

Answers the question of shortage: how much CPU becomes free within the time that a job can wait.
"""

from collections.abc import Mapping

import attrs

from daisyfall.policy import _runner_capacity

# Expected ends are summed in slots of this length. An end counts from the start of its slot.
SLOT_S = 0.02
# Sums are kept for this many slots ahead; later times count like the last one.
FORECAST_SLOTS = 100
FORECAST_S = FORECAST_SLOTS * SLOT_S
# A task that has passed its expected end is expected to end within this share of its run time.
OVERRUN_SHARE = 0.3
# Run time of a task if it is unknown; such a task counts as one that has passed its expected end.
UNKNOWN_RUN_S = 1.0
# Times that differ by a whole number of slots must not fall into the slot before by rounding.
ROUNDING = 1e-6


@attrs.define(slots=True)
class SlotTotal:
    """CPU, in thousandths of a core, of the tasks whose expected ends are in one slot.

    `cpu_seconds` is the sum of their CPU times their expected run times.
    """

    cpu: int = 0
    cpu_seconds: float = 0.0


class ExpectedEnds:
    """Sums of the CPU that is allocated on the available runners, by the slot of its end."""

    def __init__(self) -> None:
        self._total_by_slot: dict[int, SlotTotal] = {}
        self._counted_by_runner: dict[str, dict[str, _runner_capacity.Allocation]] = {}
        self._overdue = SlotTotal()
        self._first_slot = 0
        self._forecast: list[int] = []
        self._forecast_slot = -1

    def update(
        self, runner_id: str, allocation_by_task: Mapping[str, _runner_capacity.Allocation]
    ) -> None:
        """Count the allocations of a runner instead of the ones counted for it before."""
        counted = self._counted_by_runner.get(runner_id)
        if counted is None:
            counted = self._counted_by_runner[runner_id] = {}
        # Mostly one task was added or has ended, so the second comparison is seldom needed.
        if len(counted) >= len(allocation_by_task):
            for task in counted.keys() - allocation_by_task.keys():
                self._add(counted.pop(task), -1)
        if len(counted) != len(allocation_by_task):
            for task in allocation_by_task.keys() - counted.keys():
                allocation = counted[task] = allocation_by_task[task]
                self._add(allocation, 1)
            for task in counted.keys() - allocation_by_task.keys():
                self._add(counted.pop(task), -1)

    def remove(self, runner_id: str) -> None:
        """Count no allocations of a runner, as its CPU is not usable when they end."""
        for allocation in self._counted_by_runner.pop(runner_id, {}).values():
            self._add(allocation, -1)

    def is_empty(self) -> bool:
        """Return whether nothing is allocated."""
        return not any(self._counted_by_runner.values())

    def freed_cpu(self, now: float, within_s: float) -> int:
        """Return the CPU that becomes free within a time from now.

        Tasks that have passed their expected ends free their CPU bit by bit.
        """
        slot = int(now / SLOT_S)
        if slot != self._forecast_slot:
            self._forecast_slot = slot
            self._forecast.clear()
            self._collect_overdue(slot)
        index = min(int(within_s / SLOT_S + ROUNDING), FORECAST_SLOTS)
        if index < 0:
            return 0
        forecast = self._forecast
        if index >= len(forecast):
            freed = forecast[-1] if forecast else 0
            total_by_slot = self._total_by_slot
            for each in range(slot + len(forecast), slot + index + 1):
                if each in total_by_slot:
                    freed += total_by_slot[each].cpu
                forecast.append(freed)
        overdue, cpu_seconds = self._overdue.cpu, self._overdue.cpu_seconds
        if overdue <= 0:
            return forecast[index]
        mean_run_s = max(OVERRUN_SHARE * cpu_seconds / overdue, SLOT_S)
        return forecast[index] + int(overdue * min(1.0, within_s / mean_run_s))

    def _collect_overdue(self, slot: int) -> None:
        """Move what should have ended before a slot to the sum of what is overdue."""
        if slot - self._first_slot > FORECAST_SLOTS:
            past = [each for each in self._total_by_slot if each < slot]
        else:
            past = [each for each in range(self._first_slot, slot) if each in self._total_by_slot]
        for each in past:
            total = self._total_by_slot.pop(each)
            self._overdue.cpu += total.cpu
            self._overdue.cpu_seconds += total.cpu_seconds
        self._first_slot = max(slot, self._first_slot)

    def _add(self, allocation: _runner_capacity.Allocation, sign: int) -> None:
        slot = int(allocation.expected_end / SLOT_S)
        if slot < self._first_slot or not allocation.run_s:
            total = self._overdue
        else:
            del self._forecast[max(slot - self._forecast_slot, 0) :]
            total = self._total_by_slot.get(slot)
            if total is None:
                total = self._total_by_slot[slot] = SlotTotal()
        total.cpu += sign * allocation.cpu
        total.cpu_seconds += sign * allocation.cpu * (allocation.run_s or UNKNOWN_RUN_S)
        if not total.cpu and total is self._overdue:
            total.cpu_seconds = 0.0  # no rounding errors remain
