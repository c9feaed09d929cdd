"""Scenarios that measure throughput, idle resource use and memory per remembered job."""

import asyncio
import os
import time

import aiohttp

from daisyfall import _ids
from daisyfall_standins import _testbed, _workload, processes

_TASKS_PER_JOB = 100
_THROUGHPUT_SECONDS = 10.0
_CONCURRENT_JOBS = 32
_IDLE_SECONDS = 15.0
_MEMORY_TIMEOUT_SECONDS = 40.0
_REMEMBERED_JOB_COUNTS = (0, 10_000, 25_000, 50_000, 100_000)


class ClosedLoopGenerator:
    """Closed-loop load generator: a fixed number of clients submit null jobs back to back."""

    def __init__(self, testbed: _testbed.Testbed, tasks_per_job: int):
        self._testbed = testbed
        self._tasks_per_job = tasks_per_job
        self.submitted = 0
        self.complete = 0
        self.error_counts: dict[str, int] = {}

    async def run(self, seconds: float, jobs: int | None = None) -> float:
        """Submit for `seconds` or until `jobs` more are submitted; return the elapsed seconds."""
        started_at = time.monotonic()
        end_time, job_limit = started_at + seconds, None if jobs is None else self.submitted + jobs
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
            await asyncio.gather(
                *[
                    self._run_client(session, n, end_time, job_limit)
                    for n in range(_CONCURRENT_JOBS)
                ]
            )
        return time.monotonic() - started_at

    async def _run_client(
        self, session, number: int, end_time: float, job_limit: int | None
    ) -> None:
        buyer = self._testbed.buyers[number % len(self._testbed.buyers)]
        url = f"{self._testbed.caller_urls[number % len(self._testbed.caller_urls)]}/v1/jobs"
        headers = {"Authorization": f"Bearer {buyer.token}"}
        task = _workload.Task("null", None, 1).as_body()
        while time.monotonic() < end_time and (job_limit is None or self.submitted < job_limit):
            self.submitted += 1
            body = {"job_id": _ids.new_job_id(), "deadline_ms": 30_000}
            body["tasks"] = [task] * self._tasks_per_job
            async with session.post(url, json=body, headers=headers) as response:
                answer = await response.json()
            if answer["state"] == "complete" and len(answer["results"]) == self._tasks_per_job:
                self.complete += 1
            else:
                kind = answer.get("error", {}).get("kind", "partial")
                self.error_counts[kind] = self.error_counts.get(kind, 0) + 1


def _start_null_testbed(fleet: processes.Fleet, options) -> _testbed.Testbed:
    """Start one entry, and agents whose runners execute nothing."""
    deployment = _testbed.DEPLOYMENT_BY_NAME[options.deployment]
    return _testbed.start(
        fleet, deployment, options.policy, entries=1, null_runners=True, latency=False
    )


def null_tasks(fleet: processes.Fleet, options) -> dict:
    """Measure the throughput of one entry with jobs of 100 null tasks."""
    testbed = _start_null_testbed(fleet, options)
    return asyncio.run(_measure_null_tasks(testbed))


async def _measure_null_tasks(testbed: _testbed.Testbed) -> dict:
    generator = ClosedLoopGenerator(testbed, _TASKS_PER_JOB)
    await generator.run(1.0)  # warm-up
    before, complete_before = _testbed.CounterSnapshot.take(testbed), generator.complete
    seconds = await generator.run(_THROUGHPUT_SECONDS)
    after = _testbed.CounterSnapshot.take(testbed)
    starts = after.starts - before.starts
    entry = testbed.cluster.entries[0].name
    cpu = after.cpu_seconds[entry] - before.cpu_seconds[entry]
    wasted = sum(after.wasted.values()) - sum(before.wasted.values())
    return {
        "jobs": generator.complete - complete_before,
        "complete": generator.complete - complete_before,
        "not_complete": generator.error_counts,
        "tasks": (generator.complete - complete_before) * _TASKS_PER_JOB,
        "starts": round(starts),
        "starts_per_second": round(starts / seconds),
        "entry_cpu_us_per_start": round(cpu / starts * 1e6, 1),
        "entry_cpu_percent": round(cpu / seconds * 100, 1),
        "starts_per_entry_core_second": round(starts / cpu),
        "agent_cpu_us_per_start": round(
            sum(
                after.cpu_seconds[a.name] - before.cpu_seconds[a.name]
                for a in testbed.cluster.agents
            )
            / starts
            * 1e6,
            1,
        ),
        "entry_rss_mb": round(after.rss_mb[entry], 1),
        "wasted_messages_per_task": round(wasted / starts, 4),
        "shape": {
            "runners": _testbed.RUNNERS,
            "job_tasks": _TASKS_PER_JOB,
            "open": _CONCURRENT_JOBS,
        },
    }


def idle(fleet: processes.Fleet, options) -> dict:
    """Measure the resource use of agents and entries without load."""
    deployment = _testbed.DEPLOYMENT_BY_NAME[options.deployment]
    testbed = _testbed.start(fleet, deployment, options.policy)
    return asyncio.run(_measure_idle(testbed))


async def _measure_idle(testbed: _testbed.Testbed) -> dict:
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
    """Measure the memory of an entry by the number of settled jobs that it remembers."""
    testbed = _start_null_testbed(fleet, options)
    return asyncio.run(_measure_remembered_jobs(testbed))


async def _measure_remembered_jobs(testbed: _testbed.Testbed) -> dict:
    generator = ClosedLoopGenerator(testbed, 1)
    entry = testbed.cluster.entries[0]
    end_time = time.monotonic() + _MEMORY_TIMEOUT_SECONDS
    rss_by_jobs = {}
    for job_count in _REMEMBERED_JOB_COUNTS:
        await generator.run(max(0.0, end_time - time.monotonic()), job_count - generator.submitted)
        rss_by_jobs[generator.complete] = round(entry.usage().rss_mb, 1)
        print(f"  {generator.complete} jobs: {rss_by_jobs[generator.complete]} MB", flush=True)
        if time.monotonic() > end_time:
            break
    return {
        "jobs": generator.submitted,
        "complete": generator.complete,
        "not_complete": generator.error_counts,
        "reached_all": generator.complete >= _REMEMBERED_JOB_COUNTS[-1],
        "entry_rss_mb_by_jobs": rss_by_jobs,
        "agent_rss_mb": round(max(a.usage().rss_mb for a in testbed.cluster.agents), 1),
        "load_average_start": os.getloadavg()[0],
    }


CAPACITY_SCENARIO_BY_NAME = {
    "null_tasks": null_tasks,
    "idle": idle,
    "remembered_jobs": remembered_jobs,
}
