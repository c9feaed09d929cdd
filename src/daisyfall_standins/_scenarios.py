"""Scenarios with the load of a deployment: which jobs, and the script of the fault."""

import asyncio
import math
import time
from collections.abc import Awaitable, Callable

import aiohttp
import attrs

from daisyfall import _ids
from daisyfall_standins import _analysis, _testbed, _workload
from daisyfall_standins import cluster as clusters

_FAULT_AT = 4.0  # seconds after the start of the load
_PAUSE_SECONDS = 5.0  # longer than the heartbeat limit and the lease
_RESTART_SECONDS = 3.0
_WAVE_JOBS = 200
_WAVE_TASKS = 4
_EDITS = 10
_STRAGGLER = 5.0
_DOWN = {"mode": "down"}


@attrs.define
class Context:
    """What a fault's script uses, and the figures that it adds."""

    testbed: _testbed.Testbed
    seconds: float
    figures: dict = attrs.Factory(dict)
    extra_tasks: int = 0
    split_seconds: float = 0.0  # compare the jobs planned before and after this; 0: no comparison

    @property
    def cluster(self) -> clusters.Cluster:
        """Return the processes."""
        return self.testbed.cluster

    async def call(self, method: str, url: str, body=None) -> tuple[int, dict]:
        """Make one request as operator."""
        return await asyncio.to_thread(self.cluster.call, method, url, body)


async def no_fault(_context: Context) -> None:
    """Let the load run."""


async def slow_runner(context: Context) -> None:
    """Make the tasks of one runner take several times as long."""
    await asyncio.sleep(_FAULT_AT)
    await context.call(
        "PUT", f"{context.cluster.runners[0].url}/v1/fault", {"straggler": _STRAGGLER}
    )


async def failing_runner(context: Context) -> None:
    """Make one runner fail every task that it starts."""
    await asyncio.sleep(_FAULT_AT)
    await context.call(
        "PUT", f"{context.cluster.runners[0].url}/v1/fault", {"fail_everything": True}
    )


def table_fault(body: dict, stores: tuple[str, ...] = ("table",), at: float = 0.0):
    """Return a script that sets a fault of the stores for the rest of the run."""

    async def script(context: Context) -> None:
        await asyncio.sleep(at)
        for name in stores:
            await context.call("PUT", f"{getattr(context.cluster, name).url}/v1/fault", body)

    return script


async def store_down(context: Context) -> None:
    """Take table and object store down for the second half of the load and all that follows."""
    context.split_seconds = context.seconds / 2
    await table_fault(_DOWN, ("table", "objects"), context.split_seconds)(context)


def killed(group: str):
    """Return a script that kills the first process of a group and starts it again."""

    async def script(context: Context) -> None:
        process = getattr(context.cluster, group)[0]
        await asyncio.sleep(_FAULT_AT)
        await asyncio.to_thread(process.kill)
        await asyncio.sleep(_RESTART_SECONDS)
        context.cluster.fleet.restart(process)

    return script


def paused(group: str):
    """Return a script that pauses the first process of a group."""

    async def script(context: Context) -> None:
        process = getattr(context.cluster, group)[0]
        await asyncio.sleep(_FAULT_AT)
        process.pause()
        await asyncio.sleep(_PAUSE_SECONDS)
        process.resume()

    return script


async def rolling_restart(context: Context) -> None:
    """Stop each entry gracefully and start it again, one after the other."""
    await asyncio.sleep(_FAULT_AT / 2)
    codes = []
    for entry in context.cluster.entries:
        codes.append(await asyncio.to_thread(entry.terminate, 20.0))
        context.cluster.fleet.restart(entry)
        await asyncio.to_thread(entry.wait_ready)
    context.figures["exit_statuses"] = codes


async def cancel_wave(context: Context) -> None:
    """Submit many jobs at once and cancel all of them."""
    await asyncio.sleep(_FAULT_AT)
    context.extra_tasks = _WAVE_JOBS * _WAVE_TASKS
    async with aiohttp.ClientSession() as session:
        wave = [_submit_and_cancel(context, session, n) for n in range(_WAVE_JOBS)]
        ends = await asyncio.gather(*wave)
    context.figures["cancel_statuses"] = {end: ends.count(end) for end in sorted(set(ends))}


async def _submit_and_cancel(context: Context, session, number: int) -> str:
    """Return the statuses of the submission and of the cancellation, with its error kind."""
    buyer = context.testbed.buyers[number % len(context.testbed.buyers)]
    urls = context.testbed.caller_urls
    url, job_id = urls[number % len(urls)], _ids.new_job_id()
    headers = {"Authorization": f"Bearer {buyer.token}"}
    tasks = [
        _workload.Task("wave", {"token": f"wave/{job_id}/{n}", "run_ms": 300.0}, 300)
        for n in range(_WAVE_TASKS)
    ]
    body = _workload.Job(0.0, buyer, 30_000, tasks).as_body(job_id)
    async with session.post(f"{url}/v1/jobs?wait=0", json=body, headers=headers) as reply:
        answer = await reply.json()
        submitted = f"{reply.status} {answer.get('error', {}).get('kind', '')}".strip()
    async with session.delete(f"{url}/v1/jobs/{job_id}", headers=headers) as reply:
        answer = await reply.json()
        cancelled = f"{reply.status} {answer.get('error', {}).get('kind', '')}".strip()
    return f"{submitted}, {cancelled}"


async def conflicting_edits(context: Context) -> None:
    """Let two operators edit the lists at once, each through an entry of their own."""
    edits = [_edit(context, n, entry) for n, entry in enumerate(context.cluster.entries[:2])]
    results = await asyncio.gather(*edits)
    seconds = [each for result in results for each in result[0]]
    documents = [
        (await context.call("GET", f"{entry.url}/v1/lists"))[1] for entry in context.cluster.entries
    ]
    plans = [each["allowances"]["plans"] for each in documents]
    kept = all(each[f"op-{n}"]["starts_per_second"] == _EDITS for each in plans for n in range(2))
    context.figures |= {
        "edits_accepted": len(seconds),
        "edit_conflicts": sum(result[1] for result in results),
        "edit_in_force_seconds_max": round(max(seconds), 2),
        "edits_kept": kept,
        "versions_at_entries": sorted({each["version"] for each in documents}),
    }


async def _edit(context: Context, number: int, entry) -> tuple[list[float], int]:
    """Raise a plan's limit step by step; return the times until in force, and the conflicts."""
    times, conflicts, step = [], 0, 1
    while step <= _EDITS:
        _, found = await context.call("GET", f"{entry.url}/v1/lists")
        plans = found["allowances"]["plans"]
        mine = plans["all"] | {"starts_per_second": step}
        body = {
            "base_version": found["version"],
            "plans": found["plans"],
            "allowances": {"plans": plans | {f"op-{number}": mine}},
        }
        status, answer = await context.call("PUT", f"{entry.url}/v1/lists", body)
        if status != 200:
            conflicts += 1
            continue
        times.append(await _wait_in_force(context, answer["version"]))
        step += 1
    return times, conflicts


async def _wait_in_force(context: Context, version: int) -> float:
    began = time.monotonic()
    count = len(context.cluster.daemons)
    while time.monotonic() - began < 10:
        _, answer = await context.call("GET", f"{context.cluster.entries[0].url}/v1/lists/status")
        rows = answer["processes"]
        if len(rows) >= count and all(row["version"] >= version for row in rows):
            return time.monotonic() - began
        await asyncio.sleep(0.05)
    return math.inf


async def drain(context: Context) -> None:
    """Drain one upstream and note when its runner started its last task."""
    await asyncio.sleep(_FAULT_AT)
    runner, agent = context.cluster.runners[0], context.cluster.agents[0]
    url = f"{context.cluster.entries[0].url}/v1/upstreams/{agent.name}"
    began = time.monotonic()
    status, _ = await context.call("PUT", url, {"wish": "draining"})
    total, last = -1, 0.0
    while time.monotonic() - began < 8:
        _, answer = await context.call("GET", f"{runner.url}/v1/starts")
        if answer["total"] != total:
            total, last = answer["total"], time.monotonic() - began
        await asyncio.sleep(0.02)
    context.figures |= {"drain_status": status, "drain_last_start_seconds": round(last, 2)}


def steady_jobs(shape: _workload.LoadShape, run_id: str) -> list[_workload.Job]:
    """Return the jobs of the shape, over the time in which they are exactly 70% load.

    The sizes of a few hundred jobs vary so much that their load is off by a tenth.
    """
    jobs = _workload.generate(shape, run_id)
    offered = _analysis.offered_load(jobs, shape.seconds, shape.slots)
    factor = offered / _testbed.TARGET_UTILIZATION
    return [attrs.evolve(job, arrival_seconds=job.arrival_seconds * factor) for job in jobs]


def burst_jobs(shape: _workload.LoadShape, run_id: str) -> list[_workload.Job]:
    """Return the jobs of the shape with ten times the rate in one second."""
    rate = shape.jobs_per_second * 9
    more = attrs.evolve(shape, seconds=1.0, jobs_per_second=rate, seed=shape.seed + 1)
    extra = _workload.generate(more, f"{run_id}-burst")
    moved = [attrs.evolve(job, arrival_seconds=job.arrival_seconds + _FAULT_AT) for job in extra]
    jobs = [*steady_jobs(shape, run_id), *moved]
    return sorted(jobs, key=lambda job: job.arrival_seconds)


def wrong_jobs(shape: _workload.LoadShape, run_id: str) -> list[_workload.Job]:
    """Return jobs with run times off by up to 10; one in twenty needs more than any worker has."""
    kinds = tuple(attrs.evolve(kind, declared_error_factor=10.0) for kind in shape.kinds)
    jobs = steady_jobs(attrs.evolve(shape, kinds=kinds), run_id)
    for job in jobs[::20]:
        job.tasks[0] = attrs.evolve(job.tasks[0], memory_mb=1_000_000)
    return jobs


@attrs.frozen
class Scenario:
    """One scenario: its jobs and the script that runs beside them."""

    fault: Callable[[Context], Awaitable[None]] = no_fault
    jobs: Callable[[_workload.LoadShape, str], list[_workload.Job]] = steady_jobs


SCENARIO_BY_NAME = {
    "steady": Scenario(),
    "burst": Scenario(jobs=burst_jobs),
    "stragglers": Scenario(slow_runner),
    "failing_runner": Scenario(failing_runner),
    "wrong_sizes": Scenario(jobs=wrong_jobs),
    "cancel_wave": Scenario(cancel_wave),
    "store_down": Scenario(store_down),
    "store_slow": Scenario(table_fault({"mode": "slow", "delay_ms": 300.0})),
    "lost_reply": Scenario(table_fault({"mode": "lost_reply", "share": 0.3})),
    "entry_killed": Scenario(killed("entries")),
    "agent_killed": Scenario(killed("agents")),
    "agent_paused": Scenario(paused("agents")),
    "entry_paused": Scenario(paused("entries")),
    "rolling_restart": Scenario(rolling_restart),
    "conflicting_edits": Scenario(conflicting_edits),
    "drain": Scenario(drain),
}
