"""Measures failover of the scheduling entry.

A silence is the time from a fault of the scheduling entry to the first start of a job that was
submitted after the fault. `python -m daisyfall_standins.takeover --rounds N` injects each fault N
times with the store up and N times with it down. The last line is a JSON object: by fault, the
silences in ms and the outcomes of the jobs submitted within `LOAD_DURATION_S` after the fault; and
the tasks of which two runs overlapped.
"""

import asyncio
import json
import statistics
import sys
import time

import attrs
import fire

from daisyfall_standins import fault_injection, platform_world, processes

ENTRIES = 3
AGENTS = 4
FAULT_DURATION_S = 1.5
FAULTS = (
    "is killed",
    f"is paused for {FAULT_DURATION_S} s",
    f"is cut off for {FAULT_DURATION_S} s",
    f"can't be heard for {FAULT_DURATION_S} s",
    f"hears nothing for {FAULT_DURATION_S} s",
)
STORE_OUTAGE = f"the store is down for {FAULT_DURATION_S} s"
JOB_INTERVAL_S = 0.02
LOAD_DURATION_S = 1.0
TASK_RUN_MS = 20
CALL_TIMEOUT_S = 2.0
# Pause between faults: an entry that recovers and ranks first becomes the scheduling entry again.
SETTLE_S = platform_world.LEADER_STABLE_S + 1.0


@attrs.define
class FaultResults:
    """Results of all rounds of one fault.

    `silences_ms` has `None` for a round in which no job started; `jobs` counts jobs by outcome.
    """

    silences_ms: list[int | None] = attrs.Factory(list)
    jobs: dict[str, int] = attrs.Factory(dict)

    def add(self, silence_ms: int | None, outcomes: list[str]) -> None:
        """Add the results of a round."""
        self.silences_ms.append(silence_ms)
        for outcome in outcomes:
            self.jobs[outcome] = self.jobs.get(outcome, 0) + 1


class TakeoverMeasurement:
    """Injects faults into the scheduling entry of one world, one at a time."""

    def __init__(self, world: platform_world.World):
        self._world = world
        # Among entries of the same size, the one that has run longest is the scheduling entry.
        self._oldest_first = list(world.entry_names)

    async def measure_fault(
        self, fault: str, *, is_store_down: bool
    ) -> tuple[int | None, list[str]]:
        """Inject a fault once; return the silence in ms and the outcomes of the jobs."""
        await asyncio.sleep(SETTLE_S)
        name = self._oldest_first[0]
        if fault == "is killed":
            self._oldest_first.append(self._oldest_first.pop(0))
        faults = [fault_injection.inject(self._world, f"{name} {fault}")]
        if is_store_down:
            faults.append(fault_injection.inject(self._world, STORE_OUTAGE))
        fault_at = time.monotonic()
        injections = asyncio.gather(*faults)
        jobs, submissions = [], []
        other_entries = [n for n, each in enumerate(self._world.entry_names) if each != name]
        while time.monotonic() < fault_at + LOAD_DURATION_S:
            await asyncio.sleep(JOB_INTERVAL_S)
            job, body = self._world.new_job(1, TASK_RUN_MS)
            jobs.append(job)
            submissions.append(
                asyncio.create_task(self._submit(other_entries[len(jobs) % 2], job, body))
            )
        outcomes = await asyncio.gather(*submissions)
        await injections
        first_starts = [
            at
            for task, at in self._world.execution_log.first_start_by_task.items()
            if task.split(".")[0] in jobs
        ]
        silence_ms = round((min(first_starts) - fault_at) * 1000) if first_starts else None
        return silence_ms, outcomes

    async def _submit(self, entry: int, job: str, body: dict) -> str:
        try:
            status, reply, _ = await self._world.post(entry, job, body, CALL_TIMEOUT_S)
        except OSError as error:
            return type(error).__name__
        return reply["State"] if status == 200 else f"status {status}"


async def run(rounds: int, only: str = "") -> dict:
    """Inject all faults, or those that start with `only`; return the report."""
    results: dict[str, dict] = {}
    with processes.Fleet() as fleet:
        async with platform_world.World(fleet, ENTRIES, AGENTS, seed=1) as world:
            await world.wait_ready()
            measurement = TakeoverMeasurement(world)
            for fault in FAULTS:
                for is_store_down in (False, True):
                    if not fault.startswith(only):
                        continue
                    fault_results = FaultResults()
                    for _ in range(rounds):
                        fault_results.add(
                            *await measurement.measure_fault(fault, is_store_down=is_store_down)
                        )
                    results[fault + ", store down" * is_store_down] = attrs.asdict(fault_results)
            overlapping_tasks = world.violations()["run_twice"]
    all_silences_ms = [
        each for fault_results in results.values() for each in fault_results["silences_ms"]
    ]
    measured_ms = [each for each in all_silences_ms if each is not None]
    return {
        "by_fault": results,
        "takeovers": len(all_silences_ms),
        "without_a_start": len(all_silences_ms) - len(measured_ms),
        "median_ms": statistics.median(measured_ms) if measured_ms else None,
        "slowest_ms": max(measured_ms, default=None),
        "run_twice": overlapping_tasks,
    }


def main(rounds: int = 4, only: str = "") -> None:
    """Measure takeovers and print the report; exit status 1 if two runs of a task overlapped."""
    results = asyncio.run(run(rounds, only))
    for fault, fault_results in results["by_fault"].items():
        print(f"{fault:36s} {fault_results['silences_ms']} ms, jobs {fault_results['jobs']}")
    print(json.dumps(results))
    sys.exit(bool(results["run_twice"]))


if __name__ == "__main__":
    fire.Fire(main)
