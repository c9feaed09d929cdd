"""Fault soak: entries and agents as processes, random series of faults, checks while it runs.

`python -m daisyfall_standins.soak --seed N --seconds S` prints one JSON object as its last line;
its exit status is 1 if a promise was broken.
"""

import asyncio
import json
import random
import sys
import time

import aiohttp
import fire

from daisyfall_standins import disturbances, platform_world, processes

ENTRIES = 3
AGENTS = 4
JOBS_PER_S = 12.0
WAIT_S = 4.0
QUIET_S = 3.0  # after the last fault, before the last jobs
CALM_JOBS = 20
MOST_FAULTS_AT_ONCE = 3
CONFIGURE_EVERY_S = 2.5
PROBE_S = 0.25
MARKER = "/marker-{}/"


class Soak:
    """One run; `play` returns its findings."""

    def __init__(self, world: platform_world.World, seed: int, seconds: float):
        self._world = world
        self._source = random.Random(seed)
        self._seconds = seconds
        self._ends_at = 0.0
        self._calls: list[asyncio.Task] = []
        self.faults: list[str] = []
        self._faults_end_at = 0.0
        self._marker_by_life: dict[tuple[str, int], int] = {}
        self.config_went_back: list[str] = []

    async def play(self) -> None:
        """Disturb a load, then check that the world recovers."""
        await self._world.wait_ready()
        await asyncio.sleep(platform_world.LEADER_STABLE_S)
        self._ends_at = time.monotonic() + self._seconds
        probing = asyncio.create_task(self._probe())
        lanes = [self._disturb() for _ in range(MOST_FAULTS_AT_ONCE)]
        loading = asyncio.create_task(self._load())
        await asyncio.gather(self._configure(), *lanes)
        self._faults_end_at = time.monotonic()
        await asyncio.sleep(QUIET_S)
        loading.cancel()
        for _ in range(CALM_JOBS):
            self._call(50)
            await asyncio.sleep(0.05)
        await asyncio.gather(*self._calls)
        probing.cancel()

    def violations(self) -> dict:
        """Return the figures of the run; lists name jobs, tasks or processes."""
        tally = self._world.tally
        calm_jobs = [good for at, good in tally.answered_at if at > self._faults_end_at + QUIET_S]
        first = min((at for at, good in tally.answered_at if good and at > self._faults_end_at))
        return {
            "faults": len(self.faults),
            "jobs": tally.jobs,
            "complete": len(tally.complete),
            "refused": len(tally.refused),
            "failed": len(tally.failed),
            **self._world.violations(),
            "lost": [] if sum(calm_jobs) >= CALM_JOBS - 1 else [f"calm: {sum(calm_jobs)}"],
            "config_went_back": self.config_went_back,
            "bad_exits": self._world.unexpected_exits,
            "slowest_recovery_s": round(first - self._faults_end_at, 2),
        }

    async def _load(self) -> None:
        while True:
            self._call(self._source.choice((40, 80, 150, 300, 900)))
            await asyncio.sleep(self._source.expovariate(JOBS_PER_S))

    def _call(self, ms: int) -> None:
        job, body = self._world.new_job(self._source.randint(1, 5), ms)
        self._calls.append(asyncio.create_task(self._world.submit_with_retries(job, body, WAIT_S)))

    async def _disturb(self) -> None:
        agents = list(self._world.runner_by_agent)
        while time.monotonic() < self._ends_at:
            await asyncio.sleep(self._source.uniform(0.1, 1.5))
            fault = disturbances.draw(self._source, self._world.entry_names, agents)
            self.faults.append(fault)
            print(f"{self._seconds - self._ends_at + time.monotonic():7.2f} s  {fault}", flush=True)
            await disturbances.inject(self._world, fault)

    async def _configure(self) -> None:
        markers = 0
        while time.monotonic() < self._ends_at:
            markers += 1
            self._world.configure(prefixes=[MARKER.format(n + 1) for n in range(markers)])
            await asyncio.sleep(CONFIGURE_EVERY_S)

    async def _probe(self) -> None:
        """Note the newest marker that each life of an entry has known; it may only rise."""
        while True:
            for number, name in enumerate(self._world.entry_names):
                pid = self._world.fleet.process_by_name[name].pid
                known = self._marker_by_life.get((name, pid), 0)
                for marker in (known + 1, known):
                    status = await self._ask(number, MARKER.format(marker)) if marker else 0
                    if status == 200:
                        self._marker_by_life[(name, pid)] = marker
                        break
                    is_same = self._world.fleet.process_by_name[name].pid == pid
                    if status == 404 and marker == known and is_same:
                        self.config_went_back.append(f"{name} forgot marker {marker}")
            await asyncio.sleep(PROBE_S)

    async def _ask(self, entry: int, path: str) -> int:
        try:
            async with asyncio.timeout(0.5):
                return (await self._world.get(entry, path))[0]
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return 0


PROMISES = ("run_twice", "partial", "not_run_but_ran", "lost", "config_went_back", "bad_exits")


async def run(seed: int, seconds: float) -> dict:
    """Play one seed; return its findings."""
    with processes.Fleet() as fleet:
        async with platform_world.World(fleet, ENTRIES, AGENTS, seed) as world:
            soak = Soak(world, seed, seconds)
            await soak.play()
            return {"seed": seed, **soak.violations()}


def main(seed: int = 0, seconds: float = 12.0) -> None:
    """Play one seed (0: a fresh one) for some seconds of faults and print what was found."""
    seed = seed or random.SystemRandom().randrange(1, 2**31)
    found = asyncio.run(run(seed, seconds))
    print(json.dumps(found))
    sys.exit(any(found[name] for name in PROMISES))


if __name__ == "__main__":
    fire.Fire(main)
