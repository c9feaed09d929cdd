"""Scenarios without the deployment's load: throughput, idle use and memory of jobs."""

import asyncio
import os
import time

import aiohttp

from daisyfall import _ids
from daisyfall_standins import _testbed, _workload, processes

_NULL_JOB_TASKS = 100
_NULL_SECONDS = 10.0
_OPEN_JOBS = 32
_IDLE_SECONDS = 15.0
_MEMORY_SECONDS = 40.0
_MEMORY_JOBS = (0, 10_000, 25_000, 50_000, 100_000)


class ClosedLoopGenerator:
    """Submits jobs of null tasks, a fixed number of them open at a time."""

    def __init__(self, testbed: _testbed.Testbed, job_tasks: int):
        self._testbed = testbed
        self._job_tasks = job_tasks
        self.submitted = 0
        self.complete = 0
        self.other: dict[str, int] = {}

    async def run(self, seconds: float, jobs: int | None = None) -> float:
        """Submit until the time or the number of jobs is over; return the seconds."""
        began = time.monotonic()
        limit, goal = began + seconds, None if jobs is None else self.submitted + jobs
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
            await asyncio.gather(*[self._work(session, n, limit, goal) for n in range(_OPEN_JOBS)])
        return time.monotonic() - began

    async def _work(self, session, number: int, limit: float, goal: int | None) -> None:
        buyer = self._testbed.buyers[number % len(self._testbed.buyers)]
        url = f"{self._testbed.caller_urls[number % len(self._testbed.caller_urls)]}/v1/jobs"
        headers = {"Authorization": f"Bearer {buyer.token}"}
        task = _workload.Task("null", None, 1).as_body()
        while time.monotonic() < limit and (goal is None or self.submitted < goal):
            self.submitted += 1
            body = {"job_id": _ids.new_job_id(), "deadline_ms": 30_000}
            body["tasks"] = [task] * self._job_tasks
            async with session.post(url, json=body, headers=headers) as reply:
                answer = await reply.json()
            if answer["state"] == "complete" and len(answer["results"]) == self._job_tasks:
                self.complete += 1
            else:
                kind = answer.get("error", {}).get("kind", "partial")
                self.other[kind] = self.other.get(kind, 0) + 1


def null_tasks(fleet: processes.Fleet, options) -> dict:
    """Return the throughput of one entry with jobs of 100 null tasks."""
    deployment = _testbed.DEPLOYMENT_BY_NAME[options.deployment]
    testbed = _testbed.start(
        fleet, deployment, options.policy, entries=1, null_runners=True, latency=False
    )
    return asyncio.run(_null_tasks(testbed))


async def _null_tasks(testbed: _testbed.Testbed) -> dict:
    loop = ClosedLoopGenerator(testbed, _NULL_JOB_TASKS)
    await loop.run(1.0)  # warm up
    before, jobs = _testbed.CounterSnapshot.take(testbed), loop.complete
    seconds = await loop.run(_NULL_SECONDS)
    after = _testbed.CounterSnapshot.take(testbed)
    starts = after.starts - before.starts
    entry = testbed.cluster.entries[0].name
    cpu = after.cpu[entry] - before.cpu[entry]
    wasted = sum(after.wasted.values()) - sum(before.wasted.values())
    return {
        "jobs": loop.complete - jobs,
        "complete": loop.complete - jobs,
        "not_complete": loop.other,
        "tasks": (loop.complete - jobs) * _NULL_JOB_TASKS,
        "starts": round(starts),
        "starts_per_second": round(starts / seconds),
        "entry_cpu_us_per_start": round(cpu / starts * 1e6, 1),
        "entry_cpu_percent": round(cpu / seconds * 100, 1),
        "starts_per_entry_core_second": round(starts / cpu),
        "agent_cpu_us_per_start": round(
            sum(after.cpu[a.name] - before.cpu[a.name] for a in testbed.cluster.agents)
            / starts
            * 1e6,
            1,
        ),
        "entry_rss_mb": round(after.rss_mb[entry], 1),
        "wasted_messages_per_task": round(wasted / starts, 4),
        "shape": {"runners": _testbed.RUNNERS, "job_tasks": _NULL_JOB_TASKS, "open": _OPEN_JOBS},
    }


def idle(fleet: processes.Fleet, options) -> dict:
    """Return the use of the processes without load."""
    deployment = _testbed.DEPLOYMENT_BY_NAME[options.deployment]
    testbed = _testbed.start(fleet, deployment, options.policy)
    return asyncio.run(_idle(testbed))


async def _idle(testbed: _testbed.Testbed) -> dict:
    await asyncio.sleep(3)
    agents, entries = await asyncio.gather(
        _testbed.measure_idle(testbed.cluster.agents, _IDLE_SECONDS),
        _testbed.measure_idle(testbed.cluster.entries, _IDLE_SECONDS),
    )
    return {
        "agent_cpu_percent_idle": agents.cpu_percent,
        "agent_rss_mb": agents.rss_mb,
        "agent_control_bytes_per_second": agents.bytes_per_second,
        "entry_cpu_percent_idle": entries.cpu_percent,
        "entry_rss_mb": entries.rss_mb,
        "entry_bytes_per_second": entries.bytes_per_second,
        "idle_seconds": _IDLE_SECONDS,
        "shape": {"runners": _testbed.RUNNERS, "entries": _testbed.ENTRIES},
    }


def remembered_jobs(fleet: processes.Fleet, options) -> dict:
    """Return an entry's memory by the number of settled jobs that it remembers."""
    deployment = _testbed.DEPLOYMENT_BY_NAME[options.deployment]
    testbed = _testbed.start(
        fleet, deployment, options.policy, entries=1, null_runners=True, latency=False
    )
    return asyncio.run(_remembered(testbed))


async def _remembered(testbed: _testbed.Testbed) -> dict:
    loop = ClosedLoopGenerator(testbed, 1)
    entry = testbed.cluster.entries[0]
    limit = time.monotonic() + _MEMORY_SECONDS
    rss_by_jobs = {}
    for size in _MEMORY_JOBS:
        await loop.run(max(0.0, limit - time.monotonic()), size - loop.submitted)
        rss_by_jobs[loop.complete] = round(entry.usage().rss_mb, 1)
        print(f"  {loop.complete} jobs: {rss_by_jobs[loop.complete]} MB", flush=True)
        if time.monotonic() > limit:
            break
    return {
        "jobs": loop.submitted,
        "complete": loop.complete,
        "not_complete": loop.other,
        "reached_all": loop.complete >= _MEMORY_JOBS[-1],
        "entry_rss_mb_by_jobs": rss_by_jobs,
        "agent_rss_mb": round(max(a.usage().rss_mb for a in testbed.cluster.agents), 1),
        "load_average_start": os.getloadavg()[0],
    }


CAPACITY_SCENARIO_BY_NAME = {
    "null_tasks": null_tasks,
    "idle": idle,
    "remembered_jobs": remembered_jobs,
}
