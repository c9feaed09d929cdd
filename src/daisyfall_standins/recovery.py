"""Measures the recovery from a loss of all entries and agents, while callers keep sending.

`python -m daisyfall_standins.recovery --rounds N` kills all processes at once, starts them again
and prints a JSON object for each round (see `Recovery`).

All processes start at the same time, which takes more processor time than they have on a busy
machine. So the time that they waited for a processor is measured too.
"""

import asyncio
import json
import pathlib
import time

import aiohttp
import attrs
import fire

from daisyfall_standins import platform_world, processes

ENTRIES = 3
AGENTS = 4
JOB_INTERVAL_S = 0.025
LOAD_DURATION_S = 3.0
TASKS = 2
TASK_RUN_MS = 50
CALL_TIMEOUT_S = 2.0
# By the route of the world: three times the run time, and its target latency.
IN_TIME_S = (3.0 * TASK_RUN_MS + 400) / 1000
# Jobs that are sent later than this after the first heartbeat of a runner are served in time.
RECOVERED_AFTER_S = 1.0
START_TIMEOUT_S = 10.0
# A round says little about the processes if they waited for a larger share of the time in which
# they could have run.
MAX_WAITED_SHARE = 0.25


@attrs.frozen
class Recovery:
    """Result of one round.

    `first_start_s` is the time from the first heartbeat of a runner that an agent has read to the
    first start of a task, `in_time_share` the share of the jobs in time among those that were sent
    later than `RECOVERED_AFTER_S` after that heartbeat. `waited_share` is the time that the
    processes waited for a processor, by that and the time for which they had one.
    """

    first_start_s: float
    in_time_share: float
    jobs: int
    waited_share: float


class Measurement:
    """Kills and restarts all processes of one world."""

    def __init__(self, world: platform_world.World):
        self._world = world
        self._sent_at_by_job: dict[str, float] = {}
        self._jobs_in_time: set[str] = set()

    async def run(self) -> Recovery:
        """Lose all processes once, under load."""
        self._sent_at_by_job.clear()
        load = asyncio.create_task(self._send_until_cancelled())
        await asyncio.sleep(1.0)
        killed_at = time.monotonic()
        names = [*self._world.entry_names, *self._world.runner_by_agent]
        found = [self._world.fleet.process_by_name[name] for name in names]
        for process in found:
            process.popen.kill()
        for process in found:
            process.popen.wait()
            self._world.fleet.restart(process)
        heartbeat_at = await self._wait_for_heartbeat(killed_at)
        await asyncio.sleep(RECOVERED_AFTER_S + LOAD_DURATION_S)
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
        later_jobs = {
            job
            for job, sent_at in self._sent_at_by_job.items()
            if sent_at > heartbeat_at + RECOVERED_AFTER_S
        }
        starts = self._world.execution_log.first_start_by_task.values()
        return Recovery(
            round(min(at for at in starts if at > heartbeat_at) - heartbeat_at, 3),
            round(len(later_jobs & self._jobs_in_time) / len(later_jobs), 3),
            len(later_jobs),
            round(_waited_share([process.pid for process in found]), 3),
        )

    async def _wait_for_heartbeat(self, killed_at: float) -> float:
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                read = [
                    at
                    for runner in self._world.runner_by_agent.values()
                    for at in runner.heartbeats_read_at
                    if at > killed_at
                ]
                if read:
                    return min(read)
                await asyncio.sleep(0.01)

    async def _send_until_cancelled(self) -> None:
        async with asyncio.TaskGroup() as jobs:
            started_at = time.monotonic()
            sent = 0
            while True:
                sent += 1
                jobs.create_task(self._send(sent % ENTRIES))
                next_at = started_at + sent * JOB_INTERVAL_S
                await asyncio.sleep(max(next_at - time.monotonic(), 0.0))

    async def _send(self, entry: int) -> None:
        job, body = self._world.new_job(TASKS, TASK_RUN_MS)
        sent_at = self._sent_at_by_job[job] = time.monotonic()
        try:
            status, _, _ = await self._world.post(entry, job, body, CALL_TIMEOUT_S)
        except (OSError, ValueError, aiohttp.ClientError):
            return
        if status == 200 and time.monotonic() - sent_at <= IN_TIME_S:
            self._jobs_in_time.add(job)


def _waited_share(pids: list[int]) -> float:
    """Return the share of time that processes waited for a processor since their start."""
    stats = [pathlib.Path(f"/proc/{pid}/schedstat").read_text().split() for pid in pids]
    ran = sum(int(fields[0]) for fields in stats)
    waited = sum(int(fields[1]) for fields in stats)
    return waited / (ran + waited)


async def run(rounds: int, *, until_undisturbed: bool = False) -> tuple[list[Recovery], list[str]]:
    """Lose all processes `rounds` times; return the results, and the tasks that ran twice.

    With `until_undisturbed`, the first round on a machine that is not too busy is the last.
    """
    with processes.Fleet() as fleet:
        async with platform_world.World(fleet, ENTRIES, AGENTS, seed=1) as world:
            await world.wait_ready()
            measurement = Measurement(world)
            recoveries = []
            for _ in range(rounds):
                await asyncio.sleep(platform_world.LEADER_STABLE_S)
                recoveries.append(await measurement.run())
                if until_undisturbed and recoveries[-1].waited_share <= MAX_WAITED_SHARE:
                    break
            return recoveries, world.violations()["run_twice"]


def main(rounds: int = 3) -> None:
    """Measure recoveries and print them."""
    recoveries, run_twice = asyncio.run(run(rounds))
    for recovery in recoveries:
        print(json.dumps(attrs.asdict(recovery)))
    print(json.dumps({"run_twice": run_twice}))


if __name__ == "__main__":
    fire.Fire(main)
