"""Silence of the scheduling entry: from its fault to the first start of a job that came later.

`python -m daisyfall_standins.takeover --rounds N` plays each fault N times with the store up and
N times with it down. The last line is a JSON object: by fault, the silences in ms and the outcomes
of the jobs that came during the second after the fault; and the tasks that ran twice at a time.
"""

import asyncio
import json
import statistics
import sys
import time

import attrs
import fire

from daisyfall_standins import disturbances, platform_world, processes

ENTRIES = 3
AGENTS = 4
RECOVERY_S = 1.5
FAULTS = (
    "is killed",
    f"is paused for {RECOVERY_S} s",
    f"is cut off for {RECOVERY_S} s",
    f"can't be heard for {RECOVERY_S} s",
    f"hears nothing for {RECOVERY_S} s",
)
STORE_DOWN = f"the store is down for {RECOVERY_S} s"
JOBS_EVERY_S = 0.02
JOBS_FOR_S = 1.0
JOB_MS = 20
WAIT_S = 2.0
# The entry that had the fault takes over again meanwhile, if it ranks first.
CALM_S = platform_world.LEADER_STABLE_S + 1.0


@attrs.define
class Series:
    """What the rounds of one fault showed; `silences_ms` has `None` where no job started."""

    silences_ms: list[int | None] = attrs.Factory(list)
    jobs: dict[str, int] = attrs.Factory(dict)

    def add(self, silence_ms: int | None, outcomes: list[str]) -> None:
        """Add a round."""
        self.silences_ms.append(silence_ms)
        for outcome in outcomes:
            self.jobs[outcome] = self.jobs.get(outcome, 0) + 1


class Takeovers:
    """Faults of the scheduling entry of one world, one after the other."""

    def __init__(self, world: platform_world.World):
        self._world = world
        # Of entries of the same size, the one that runs longest schedules.
        self._oldest_first = list(world.entry_names)

    async def play(self, fault: str, *, is_store_down: bool) -> tuple[int | None, list[str]]:
        """Play a fault once; return the silence in ms and the outcomes of the jobs."""
        await asyncio.sleep(CALM_S)
        name = self._oldest_first[0]
        if fault == "is killed":
            self._oldest_first.append(self._oldest_first.pop(0))
        faults = [disturbances.inject(self._world, f"{name} {fault}")]
        if is_store_down:
            faults.append(disturbances.inject(self._world, STORE_DOWN))
        began = time.monotonic()
        playing = asyncio.gather(*faults)
        jobs, calls = [], []
        others = [n for n, each in enumerate(self._world.entry_names) if each != name]
        while time.monotonic() < began + JOBS_FOR_S:
            await asyncio.sleep(JOBS_EVERY_S)
            job, body = self._world.new_job(1, JOB_MS)
            jobs.append(job)
            calls.append(asyncio.create_task(self._call(others[len(jobs) % 2], job, body)))
        outcomes = await asyncio.gather(*calls)
        await playing
        first_starts = [
            at
            for task, at in self._world.execution_log.first_start_by_task.items()
            if task.split(".")[0] in jobs
        ]
        silence_ms = round((min(first_starts) - began) * 1000) if first_starts else None
        return silence_ms, outcomes

    async def _call(self, entry: int, job: str, body: dict) -> str:
        try:
            status, reply, _ = await self._world.post(entry, job, body, WAIT_S)
        except OSError as error:
            return type(error).__name__
        return reply["State"] if status == 200 else f"status {status}"


async def run(rounds: int, only: str = "") -> dict:
    """Play all faults, or those that begin with `only`; return the figures."""
    found: dict[str, dict] = {}
    with processes.Fleet() as fleet:
        async with platform_world.World(fleet, ENTRIES, AGENTS, seed=1) as world:
            await world.wait_ready()
            takeovers = Takeovers(world)
            for fault in FAULTS:
                for is_store_down in (False, True):
                    if not fault.startswith(only):
                        continue
                    series = Series()
                    for _ in range(rounds):
                        series.add(*await takeovers.play(fault, is_store_down=is_store_down))
                    found[fault + ", store down" * is_store_down] = attrs.asdict(series)
            twice = world.violations()["run_twice"]
    silences = [each for series in found.values() for each in series["silences_ms"]]
    known = [each for each in silences if each is not None]
    return {
        "by_fault": found,
        "takeovers": len(silences),
        "without_a_start": len(silences) - len(known),
        "median_ms": statistics.median(known) if known else None,
        "slowest_ms": max(known, default=None),
        "run_twice": twice,
    }


def main(rounds: int = 4, only: str = "") -> None:
    """Measure takeovers and print the figures; exit status 1 if a task ran twice at a time."""
    found = asyncio.run(run(rounds, only))
    for fault, series in found["by_fault"].items():
        print(f"{fault:36s} {series['silences_ms']} ms, jobs {series['jobs']}")
    print(json.dumps(found))
    sys.exit(bool(found["run_twice"]))


if __name__ == "__main__":
    fire.Fire(main)
