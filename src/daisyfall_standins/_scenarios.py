"""Scenarios that run the load of a deployment, most of them with an injected fault."""

import asyncio
import math
import time
from collections.abc import Awaitable, Callable

import aiohttp
import attrs

from daisyfall import _ids
from daisyfall_standins import _analysis, _testbed, _workload
from daisyfall_standins import cluster as clusters

_FAULT_DELAY_SECONDS = 4.0  # after the start of the load
_PAUSE_SECONDS = 5.0  # longer than the heartbeat timeout and the lease
_RESTART_SECONDS = 3.0
_CANCELLED_JOBS = 200
_CANCELLED_JOB_TASKS = 4
_EDITS_PER_OPERATOR = 10
_STRAGGLER_SLOWDOWN = 5.0
_DOWN_FAULT = {"mode": "down"}


@attrs.define
class ScenarioContext:
    """State of a scenario run: what fault injection uses, and the results that it adds."""

    testbed: _testbed.Testbed
    seconds: float
    metrics: dict = attrs.Factory(dict)
    extra_tasks: int = 0
    fault_seconds: float = 0.0  # split the ratios at this arrival time; 0: no split

    @property
    def cluster(self) -> clusters.Cluster:
        """Return the cluster under test."""
        return self.testbed.cluster

    async def call(self, method: str, url: str, body=None) -> tuple[int, dict]:
        """Send a request with the operator token."""
        return await asyncio.to_thread(self.cluster.call, method, url, body)


async def no_fault(_context: ScenarioContext) -> None:
    """Inject no fault."""


async def slow_runner(context: ScenarioContext) -> None:
    """Make the tasks of one runner take longer by `_STRAGGLER_SLOWDOWN`."""
    await asyncio.sleep(_FAULT_DELAY_SECONDS)
    await context.call(
        "PUT", f"{context.cluster.runners[0].url}/v1/fault", {"straggler": _STRAGGLER_SLOWDOWN}
    )


async def failing_runner(context: ScenarioContext) -> None:
    """Make one runner fail all its tasks."""
    await asyncio.sleep(_FAULT_DELAY_SECONDS)
    await context.call(
        "PUT", f"{context.cluster.runners[0].url}/v1/fault", {"fail_everything": True}
    )


def inject_store_fault(
    body: dict, stores: tuple[str, ...] = ("table",), delay_seconds: float = 0.0
):
    """Return a function that injects a fault into the stores for the rest of the run."""

    async def inject(context: ScenarioContext) -> None:
        await asyncio.sleep(delay_seconds)
        for name in stores:
            await context.call("PUT", f"{getattr(context.cluster, name).url}/v1/fault", body)

    return inject


async def store_down(context: ScenarioContext) -> None:
    """Take the table and the object store down halfway through the load, until the run ends."""
    context.fault_seconds = context.seconds / 2
    await inject_store_fault(_DOWN_FAULT, ("table", "objects"), context.fault_seconds)(context)


def kill_and_restart(group: str):
    """Return a function that kills the first process of a group and restarts it."""

    async def inject(context: ScenarioContext) -> None:
        process = getattr(context.cluster, group)[0]
        await asyncio.sleep(_FAULT_DELAY_SECONDS)
        await asyncio.to_thread(process.kill)
        await asyncio.sleep(_RESTART_SECONDS)
        context.cluster.fleet.restart(process)

    return inject


def pause_and_resume(group: str):
    """Return a function that pauses the first process of a group and resumes it."""

    async def inject(context: ScenarioContext) -> None:
        process = getattr(context.cluster, group)[0]
        await asyncio.sleep(_FAULT_DELAY_SECONDS)
        process.pause()
        await asyncio.sleep(_PAUSE_SECONDS)
        process.resume()

    return inject


async def rolling_restart(context: ScenarioContext) -> None:
    """Stop each entry gracefully and restart it, one at a time."""
    await asyncio.sleep(_FAULT_DELAY_SECONDS / 2)
    exit_statuses = []
    for entry in context.cluster.entries:
        exit_statuses.append(await asyncio.to_thread(entry.terminate, 20.0))
        context.cluster.fleet.restart(entry)
        await asyncio.to_thread(entry.wait_ready)
    context.metrics["exit_statuses"] = exit_statuses


async def cancel_wave(context: ScenarioContext) -> None:
    """Submit many jobs concurrently and cancel all of them."""
    await asyncio.sleep(_FAULT_DELAY_SECONDS)
    context.extra_tasks = _CANCELLED_JOBS * _CANCELLED_JOB_TASKS
    async with aiohttp.ClientSession() as session:
        submissions = [_submit_and_cancel(context, session, n) for n in range(_CANCELLED_JOBS)]
        statuses = await asyncio.gather(*submissions)
    context.metrics["cancel_statuses"] = {
        each: statuses.count(each) for each in sorted(set(statuses))
    }


async def _submit_and_cancel(context: ScenarioContext, session, number: int) -> str:
    """Return status and error kind of the submission and of the cancellation."""
    buyer = context.testbed.buyers[number % len(context.testbed.buyers)]
    urls = context.testbed.caller_urls
    url, job_id = urls[number % len(urls)], _ids.new_job_id()
    headers = {"Authorization": f"Bearer {buyer.token}"}
    tasks = [
        _workload.Task("wave", {"token": f"wave/{job_id}/{n}", "run_ms": 300.0}, 300)
        for n in range(_CANCELLED_JOB_TASKS)
    ]
    body = _workload.Job(0.0, buyer, 30_000, tasks).as_body(job_id)
    async with session.post(f"{url}/v1/jobs?wait=0", json=body, headers=headers) as response:
        answer = await response.json()
        submitted = f"{response.status} {answer.get('error', {}).get('kind', '')}".strip()
    async with session.delete(f"{url}/v1/jobs/{job_id}", headers=headers) as response:
        answer = await response.json()
        cancelled = f"{response.status} {answer.get('error', {}).get('kind', '')}".strip()
    return f"{submitted}, {cancelled}"


async def conflicting_edits(context: ScenarioContext) -> None:
    """Edit the lists concurrently as two operators, each through a different entry."""
    edits = [_edit_plan(context, n, entry) for n, entry in enumerate(context.cluster.entries[:2])]
    results = await asyncio.gather(*edits)
    seconds = [each for result in results for each in result[0]]
    documents = [
        (await context.call("GET", f"{entry.url}/v1/lists"))[1] for entry in context.cluster.entries
    ]
    plans = [each["allowances"]["plans"] for each in documents]
    kept = all(
        each[f"op-{n}"]["starts_per_second"] == _EDITS_PER_OPERATOR
        for each in plans
        for n in range(2)
    )
    context.metrics |= {
        "edits_accepted": len(seconds),
        "edit_conflicts": sum(result[1] for result in results),
        "edit_in_force_seconds_max": round(max(seconds), 2),
        "edits_kept": kept,
        "versions_at_entries": sorted({each["version"] for each in documents}),
    }


async def _edit_plan(context: ScenarioContext, number: int, entry) -> tuple[list[float], int]:
    """Raise a plan's limit step by step; return the times to take effect and the conflicts."""
    times, conflicts, step = [], 0, 1
    while step <= _EDITS_PER_OPERATOR:
        _, current = await context.call("GET", f"{entry.url}/v1/lists")
        plans = current["allowances"]["plans"]
        edited_plan = plans["all"] | {"starts_per_second": step}
        body = {
            "base_version": current["version"],
            "plans": current["plans"],
            "allowances": {"plans": plans | {f"op-{number}": edited_plan}},
        }
        status, answer = await context.call("PUT", f"{entry.url}/v1/lists", body)
        if status != 200:
            conflicts += 1
            continue
        times.append(await _wait_in_force(context, answer["version"]))
        step += 1
    return times, conflicts


async def _wait_in_force(context: ScenarioContext, version: int) -> float:
    started_at = time.monotonic()
    count = len(context.cluster.daemons)
    while time.monotonic() - started_at < 10:
        _, answer = await context.call("GET", f"{context.cluster.entries[0].url}/v1/lists/status")
        rows = answer["processes"]
        if len(rows) >= count and all(row["version"] >= version for row in rows):
            return time.monotonic() - started_at
        await asyncio.sleep(0.05)
    return math.inf


async def drain_upstream(context: ScenarioContext) -> None:
    """Drain an upstream and record when its runner started its last task."""
    await asyncio.sleep(_FAULT_DELAY_SECONDS)
    runner, agent = context.cluster.runners[0], context.cluster.agents[0]
    url = f"{context.cluster.entries[0].url}/v1/upstreams/{agent.name}"
    started_at = time.monotonic()
    status, _ = await context.call("PUT", url, {"wish": "draining"})
    start_count, last_start_seconds = -1, 0.0
    while time.monotonic() - started_at < 8:
        _, answer = await context.call("GET", f"{runner.url}/v1/starts")
        if answer["total"] != start_count:
            start_count, last_start_seconds = answer["total"], time.monotonic() - started_at
        await asyncio.sleep(0.02)
    context.metrics |= {
        "drain_status": status,
        "drain_last_start_seconds": round(last_start_seconds, 2),
    }


def steady_jobs(shape: _workload.LoadShape, run_id: str) -> list[_workload.Job]:
    """Return the jobs of the shape, with arrival times scaled to exactly the target utilization.

    With only a few hundred jobs, the random job sizes alone change the load by about 10%.
    """
    jobs = _workload.generate(shape, run_id)
    offered = _analysis.offered_load(jobs, shape.seconds, shape.slots)
    time_scale = offered / _testbed.TARGET_UTILIZATION
    return [attrs.evolve(job, arrival_seconds=job.arrival_seconds * time_scale) for job in jobs]


def burst_jobs(shape: _workload.LoadShape, run_id: str) -> list[_workload.Job]:
    """Return the jobs of the shape, with one second at ten times the arrival rate."""
    rate = shape.jobs_per_second * 9
    burst_shape = attrs.evolve(shape, seconds=1.0, jobs_per_second=rate, seed=shape.seed + 1)
    extra_jobs = _workload.generate(burst_shape, f"{run_id}-burst")
    delayed = [
        attrs.evolve(job, arrival_seconds=job.arrival_seconds + _FAULT_DELAY_SECONDS)
        for job in extra_jobs
    ]
    jobs = [*steady_jobs(shape, run_id), *delayed]
    return sorted(jobs, key=lambda job: job.arrival_seconds)


def misestimated_jobs(shape: _workload.LoadShape, run_id: str) -> list[_workload.Job]:
    """Return jobs with wrong declarations.

    Declared run times are wrong by a factor of up to 10, and the first task of every 20th job
    needs more memory than any worker has.
    """
    kinds = tuple(attrs.evolve(kind, declared_error_factor=10.0) for kind in shape.kinds)
    jobs = steady_jobs(attrs.evolve(shape, kinds=kinds), run_id)
    for job in jobs[::20]:
        job.tasks[0] = attrs.evolve(job.tasks[0], memory_mb=1_000_000)
    return jobs


@attrs.frozen
class Scenario:
    """A scenario: its jobs, and the fault that is injected while they run."""

    fault: Callable[[ScenarioContext], Awaitable[None]] = no_fault
    jobs: Callable[[_workload.LoadShape, str], list[_workload.Job]] = steady_jobs


SCENARIO_BY_NAME = {
    "steady": Scenario(),
    "burst": Scenario(jobs=burst_jobs),
    "stragglers": Scenario(slow_runner),
    "failing_runner": Scenario(failing_runner),
    "wrong_sizes": Scenario(jobs=misestimated_jobs),
    "cancel_wave": Scenario(cancel_wave),
    "store_down": Scenario(store_down),
    "store_slow": Scenario(inject_store_fault({"mode": "slow", "delay_ms": 300.0})),
    "lost_reply": Scenario(inject_store_fault({"mode": "lost_reply", "share": 0.3})),
    "entry_killed": Scenario(kill_and_restart("entries")),
    "agent_killed": Scenario(kill_and_restart("agents")),
    "agent_paused": Scenario(pause_and_resume("agents")),
    "entry_paused": Scenario(pause_and_resume("entries")),
    "rolling_restart": Scenario(rolling_restart),
    "conflicting_edits": Scenario(conflicting_edits),
    "drain": Scenario(drain_upstream),
}
