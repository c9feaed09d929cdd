"""Fault soak: runs entries and agents as processes under load, random faults and invariant checks.

`python -m daisyfall_standins.soak --seed N --seconds S` prints one JSON object as its last line;
its exit status is 1 if an invariant was violated.
"""

import asyncio
import json
import random
import sys
import time
from collections.abc import Callable

import aiohttp
import fire

from daisyfall import _command_line
from daisyfall_standins import fault_injection, platform_world, processes

ENTRIES = 3
AGENTS = 4
JOBS_PER_S = 12.0
CALL_TIMEOUT_S = 4.0
RECOVERY_WAIT_S = 3.0  # from the end of the last fault to the recovery jobs
RECOVERY_JOBS = 20
MAX_CONCURRENT_FAULTS = 3
CONFIG_INTERVAL_S = 2.5
PROBE_INTERVAL_S = 0.25
CRASHING_JOB_INTERVAL_S = 3.0
DATA_CENTRES = 3
# Longest evacuation; jobs need the data centres that are left.
MAX_EVACUATION_S = 8.0
MARKER_PREFIX = "/marker-{}/"


class Soak:
    """One soak run: `execute` runs it, `report` returns its figures and violations."""

    def __init__(self, world: platform_world.World, seed: int, seconds: float):
        self._world = world
        self._rng = random.Random(seed)
        # Apart from the others, so that a seed plays the same faults as before.
        self._crash_rng = random.Random(seed + 1)
        self._evacuation_rng = random.Random(seed + 2)
        self._call_rng = random.Random(seed + 3)
        self._writer_rng = random.Random(seed + 4)
        self._seconds = seconds
        self._injection_ends_at = 0.0
        self._submissions: list[asyncio.Task] = []
        self.faults: list[str] = []
        self._last_fault_ended_at = 0.0
        self._marker_by_process: dict[tuple[str, int], int] = {}
        self.config_regressions: list[str] = []

    async def execute(self) -> None:
        """Inject faults under load, then send jobs to check that the system recovered."""
        await self._world.wait_ready()
        await asyncio.sleep(platform_world.LEADER_STABLE_S)
        self._injection_ends_at = time.monotonic() + self._seconds
        probe_task = asyncio.create_task(self._probe())
        fault_tasks = [
            self._inject_faults(self._rng, 1.5, self._draw_fault)
            for _ in range(MAX_CONCURRENT_FAULTS)
        ]
        load_task = asyncio.create_task(self._load())
        await asyncio.gather(
            self._configure(),
            self._crash_runners(),
            self._evacuate(),
            self._inject_faults(self._call_rng, 1.0, self._draw_call_fault),
            self._write_odd_entries(),
            *fault_tasks,
        )
        self._last_fault_ended_at = time.monotonic()
        await asyncio.sleep(RECOVERY_WAIT_S)
        load_task.cancel()
        for _ in range(RECOVERY_JOBS):
            self._submit(50)
            await asyncio.sleep(0.05)
        await asyncio.gather(*self._submissions)
        probe_task.cancel()

    def report(self) -> dict:
        """Return the figures of the run; each list holds the violations of one invariant."""
        results = self._world.results
        recovery_answers = [
            is_success
            for answered_at, is_success in results.answers
            if answered_at > self._last_fault_ended_at + RECOVERY_WAIT_S
        ]
        first_success_at = min(
            (
                answered_at
                for answered_at, is_success in results.answers
                if is_success and answered_at > self._last_fault_ended_at
            ),
            default=None,
        )
        recovery_s = None
        if first_success_at is not None:
            recovery_s = round(first_success_at - self._last_fault_ended_at, 2)
        return {
            "faults": len(self.faults),
            "jobs": results.jobs,
            "complete": len(results.completed),
            "refused": len(results.refused),
            "failed": len(results.failed),
            **self._world.violations(),
            "lost": []
            if sum(recovery_answers) >= RECOVERY_JOBS - 1
            else [f"calm: {sum(recovery_answers)}"],
            "config_went_back": self.config_regressions,
            "bad_exits": self._world.unexpected_exits,
            "slowest_evacuation_s": round(max(self._world.operator.delays_s(), default=0.0), 2),
            "slowest_recovery_s": recovery_s,
        }

    async def _load(self) -> None:
        while True:
            self._submit(self._rng.choice((40, 80, 150, 300, 900)))
            await asyncio.sleep(self._rng.expovariate(JOBS_PER_S))

    def _submit(self, run_ms: int) -> None:
        job, body = self._world.new_job(self._rng.randint(1, 5), run_ms)
        self._submissions.append(
            asyncio.create_task(self._world.submit_with_retries(job, body, CALL_TIMEOUT_S))
        )

    async def _crash_runners(self) -> None:
        """Send jobs with one task that crashes its runners, early or at the end of its run."""
        while time.monotonic() < self._injection_ends_at - CRASHING_JOB_INTERVAL_S:
            await asyncio.sleep(CRASHING_JOB_INTERVAL_S)
            job, body = self._world.new_job(1, 40, crashes=True)
            body["Steps"][0]["EstimatedMs"] = self._crash_rng.choice((40, 1000))
            self._submissions.append(
                asyncio.create_task(self._world.submit_with_retries(job, body, CALL_TIMEOUT_S))
            )

    async def _evacuate(self) -> None:
        """Evacuate one data centre after the other, some of them for a moment only."""
        rng = self._evacuation_rng
        while (remaining_s := self._injection_ends_at - time.monotonic()) > 0:
            # A store that is down would not acknowledge the operator's request.
            if not self._world.store.fault:
                longest_s = min(remaining_s, rng.choice((0.8, MAX_EVACUATION_S)))
                data_centre = rng.choice(self._world.data_centres)
                duration_s = rng.uniform(0.0, longest_s)
                fault = f"the operator evacuates {data_centre} for {duration_s:.1f} s"
                self._record_fault(fault)
                await fault_injection.inject(self._world, fault)
            await asyncio.sleep(rng.uniform(0.1, 0.5))

    async def _inject_faults(
        self, rng: random.Random, longest_pause_s: float, draw: Callable[[], str]
    ) -> None:
        """Inject one fault after the other that `draw` returns."""
        while time.monotonic() < self._injection_ends_at:
            await asyncio.sleep(rng.uniform(0.1, longest_pause_s))
            fault = draw()
            self._record_fault(fault)
            await fault_injection.inject(self._world, fault)

    def _draw_fault(self) -> str:
        agents = list(self._world.runner_by_agent)
        return fault_injection.random_fault(self._rng, self._world.entry_names, agents)

    def _draw_call_fault(self) -> str:
        agents = list(self._world.runner_by_agent)
        return fault_injection.random_call_fault(self._call_rng, agents)

    async def _write_odd_entries(self) -> None:
        """Let another writer leave odd entries among the runners and nodes."""
        agents = list(self._world.runner_by_agent)
        while time.monotonic() < self._injection_ends_at:
            await asyncio.sleep(self._writer_rng.uniform(0.1, 1.0))
            await self._world.write_odd_entry(self._writer_rng, self._writer_rng.choice(agents))

    def _record_fault(self, fault: str) -> None:
        self.faults.append(fault)
        elapsed_s = self._seconds - self._injection_ends_at + time.monotonic()
        print(f"{elapsed_s:7.2f} s  {fault}", flush=True)

    async def _configure(self) -> None:
        marker_count = 0
        while time.monotonic() < self._injection_ends_at:
            marker_count += 1
            self._world.configure(
                prefixes=[MARKER_PREFIX.format(n + 1) for n in range(marker_count)]
            )
            await asyncio.sleep(CONFIG_INTERVAL_S)

    async def _probe(self) -> None:
        """Track the newest marker route that each entry process serves; it must never decrease.

        Each configuration adds a marker, so a missing marker means that the entry went back to an
        older configuration. A restarted process starts at 0.
        """
        while True:
            for index, name in enumerate(self._world.entry_names):
                pid = self._world.fleet.process_by_name[name].pid
                newest_marker = self._marker_by_process.get((name, pid), 0)
                for marker in (newest_marker + 1, newest_marker):
                    status = (
                        await self._get_status(index, MARKER_PREFIX.format(marker)) if marker else 0
                    )
                    if status == 200:
                        self._marker_by_process[(name, pid)] = marker
                        break
                    is_same_process = self._world.fleet.process_by_name[name].pid == pid
                    if status == 404 and marker == newest_marker and is_same_process:
                        self.config_regressions.append(f"{name} forgot marker {marker}")
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _get_status(self, entry: int, path: str) -> int:
        try:
            async with asyncio.timeout(0.5):
                return (await self._world.get(entry, path))[0]
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return 0


INVARIANTS = (
    "run_twice",
    "partial",
    "not_run_but_ran",
    "crashed_many",
    "evacuated_start",
    "lost",
    "config_went_back",
    "bad_exits",
)


async def run(seed: int, seconds: float) -> dict:
    """Run the soak with one seed; return its report."""
    with processes.Fleet() as fleet:
        async with platform_world.World(fleet, ENTRIES, AGENTS, seed, DATA_CENTRES) as world:
            soak = Soak(world, seed, seconds)
            await soak.execute()
            return {"seed": seed, **soak.report()}


def main(seed: int = 0, seconds: float = 12.0) -> None:
    """Run the soak with a seed (0: a random one) for some seconds of faults; print the report."""
    if not isinstance(seed, int) or not isinstance(seconds, int | float) or seconds <= 0:
        print(
            f"expected a whole number as seed and a time above 0, found {seed!r} and {seconds!r}",
            file=sys.stderr,
        )
        sys.exit(_command_line.USAGE_ERROR)
    seed = seed or random.SystemRandom().randrange(1, 2**31)
    report = asyncio.run(run(seed, seconds))
    print(json.dumps(report))
    sys.exit(any(report[name] for name in INVARIANTS))


if __name__ == "__main__":
    fire.Fire(main)
