"""`make slopes`: measures how memory, processor time and traffic scale, for the capacity page.

Each slope is that of a line fitted through the points of at least three sizes. The
output ends with a Markdown table and, as its last line, one JSON object.
"""

import asyncio
import json
import os
import time
from collections.abc import Awaitable, Callable

import aiohttp
import attrs
import fire
import tabulate

from daisyfall import _codec, _ids, _wire
from daisyfall.request import _ledger
from daisyfall_standins import (
    _analysis,
    _capacity_scenarios,
    _simulated_agent,
    _testbed,
    _workload,
    processes,
)
from daisyfall_standins import cluster as clusters

_AGENT_COUNTS = (10, 40, 160)
_SETTLED_JOB_COUNTS = (0, 5_000, 10_000, 20_000)
_QUEUED_TASK_COUNTS = (0, 10_000, 30_000, 60_000)
_START_RATES = (0, 2_000, 5_000, 10_000)
_BUYER_COUNTS = (100, 300, 950)
_ENTRY_COUNTS = (1, 2, 4)
_REPORTED_JOB_COUNTS = (1_000, 5_000, 20_000)
_SAMPLE_SECONDS = 4.0
_SETTLE_SECONDS = 2.0
_TASKS_PER_JOB = 100
_MAX_TASKS_PER_JOB = 1_900

Points = list[tuple[float, float]]


@attrs.frozen
class Slope:
    """Measured points of one relation, to which a line is fitted."""

    name: str
    unit: str
    points: Points

    def as_row(self) -> dict:
        """Return the fitted line and the points for the output."""
        line = _analysis.linear_fit(self.points)
        return {
            "slope": float(f"{line.slope:.4g}"),
            "at_0": float(f"{line.intercept:.4g}"),
            "residual": float(f"{line.residual:.3g}"),
            "unit": self.unit,
            "points": [[x, round(y, 3)] for x, y in self.points],
        }


def _start_bench(fleet: processes.Fleet, entries: int, agents: int) -> _testbed.Testbed:
    deployment = _testbed.DEPLOYMENT_BY_NAME["cooperative"]
    return _testbed.start(
        fleet,
        deployment,
        "late_binding",
        entries=entries,
        agents=agents,
        null_runners=True,
        latency=False,
    )


async def _cpu_percent(process: processes.Process, seconds: float = _SAMPLE_SECONDS) -> float:
    return (await _testbed.measure_idle([process], seconds)).cpu_percent


async def agents_connected(fleet: processes.Fleet) -> list[Slope]:
    """Measure CPU and memory of an idle entry by the number of connected agents."""
    testbed = _start_bench(fleet, 1, 0)
    entry = testbed.cluster.entries[0]
    cpu, rss = [], []
    for count in _AGENT_COUNTS:
        agents = await _simulated_agent.start_agents(count, entry.peer, fleet.key)
        await asyncio.sleep(_SETTLE_SECONDS)
        idle_usage = await _testbed.measure_idle([entry], _SAMPLE_SECONDS)
        cpu.append((count, idle_usage.cpu_percent))
        rss.append((count, idle_usage.rss_mb))
        await asyncio.gather(*[agent.stop() for agent in agents])
    return [
        Slope("idle entry CPU by agents", "% of a core per agent", cpu),
        Slope("entry RSS by agents", "MB per agent", rss),
    ]


async def jobs_remembered(fleet: processes.Fleet) -> list[Slope]:
    """Measure memory of entry and agent by settled jobs of one null task, on two agents."""
    testbed = _start_bench(fleet, 1, 2)
    loop = _capacity_scenarios.ClosedLoopGenerator(testbed, 1)
    entry, agent = testbed.cluster.entries[0], testbed.cluster.agents[0]
    entry_rss, agent_rss = [], []
    for size in _SETTLED_JOB_COUNTS:
        await loop.run(30.0, size - loop.submitted)
        entry_rss.append((loop.complete, entry.usage().rss_mb))
        started = sum(clusters.read_metric(agent, _testbed.STARTS_METRIC).values())
        agent_rss.append((started, agent.usage().rss_mb))
    return [
        Slope("entry RSS by remembered jobs", "MB per job", entry_rss),
        Slope("agent RSS by remembered starts", "MB per start", agent_rss),
    ]


async def tasks_queued(fleet: processes.Fleet) -> list[Slope]:
    """Measure memory of an entry by queued tasks; its one agent never finishes a task."""
    testbed = _start_bench(fleet, 1, 0)
    entry = testbed.cluster.entries[0]
    agents = await _simulated_agent.start_agents(1, entry.peer, fleet.key, never_answers=True)
    points, queued = [], 0
    async with aiohttp.ClientSession() as session:
        for size in _QUEUED_TASK_COUNTS:
            while queued < size:
                tasks = min(_MAX_TASKS_PER_JOB, size - queued)
                status = await _submit_held_job(session, testbed, tasks)
                if status != 202:
                    raise ValueError(f"a job was answered with {status} at {queued} queued tasks")
                queued += tasks
            await asyncio.sleep(0.5)
            points.append((queued, entry.usage().rss_mb))
    await asyncio.gather(*[agent.stop() for agent in agents])
    return [Slope("entry RSS by queued tasks", "MB per task", points)]


async def _submit_held_job(session, testbed: _testbed.Testbed, tasks: int) -> int:
    buyer = testbed.buyers[0]
    headers = {"Authorization": f"Bearer {buyer.token}"}
    task = _workload.Task("held", {"token": "x"}, 1).as_body()
    body = {"job_id": _ids.new_job_id(), "deadline_ms": 300_000, "tasks": [task] * tasks}
    url = f"{testbed.caller_urls[0]}/v1/jobs?wait=0"
    async with session.post(url, json=body, headers=headers) as reply:
        await reply.read()
        return reply.status


async def starts_per_second(fleet: processes.Fleet) -> list[Slope]:
    """Measure CPU of an entry by the rate of task starts, in jobs of `_TASKS_PER_JOB`."""
    testbed = _start_bench(fleet, 1, 4)
    entry = testbed.cluster.entries[0]
    points = []
    for rate in _START_RATES:
        before = testbed.cluster.sum_metric(_testbed.STARTS_METRIC, testbed.cluster.agents)
        started_at = time.monotonic()
        cpu_sample = asyncio.create_task(_cpu_percent(entry))
        await _submit_at(testbed, rate / _TASKS_PER_JOB)
        cpu = await cpu_sample
        seconds = time.monotonic() - started_at
        after = testbed.cluster.sum_metric(_testbed.STARTS_METRIC, testbed.cluster.agents)
        points.append(((after - before) / seconds, cpu))
    return [Slope("entry CPU by starts per second", "% of a core per start/s", points)]


async def _submit_at(testbed: _testbed.Testbed, jobs_per_second: float) -> None:
    """Submit jobs of null tasks at a constant rate for `_SAMPLE_SECONDS`."""
    count = round(jobs_per_second * _SAMPLE_SECONDS)
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        tasks = [_submit_after(session, testbed, n, n / jobs_per_second) for n in range(count)]
        await asyncio.gather(*tasks)


async def _submit_after(session, testbed: _testbed.Testbed, number: int, delay: float) -> None:
    await asyncio.sleep(delay)
    buyer = testbed.buyers[number % len(testbed.buyers)]
    headers = {"Authorization": f"Bearer {buyer.token}"}
    tasks = [_workload.Task("null", None, 1).as_body()] * _TASKS_PER_JOB
    body = {"job_id": _ids.new_job_id(), "deadline_ms": 30_000, "tasks": tasks}
    async with session.post(
        f"{testbed.caller_urls[0]}/v1/jobs", json=body, headers=headers
    ) as reply:
        await reply.read()


async def buyers_in_lists(fleet: processes.Fleet) -> list[Slope]:
    """Measure CPU and duration of a list change at two entries by the number of buyers."""
    testbed = _start_bench(fleet, 2, 0)
    cpu, seconds = [], []
    for count in _BUYER_COUNTS:
        buyers = [_workload.Buyer(f"buyer-{n}", os.urandom(8).hex()) for n in range(count)]
        change_seconds, cpu_ms = [], []
        for _ in range(3):
            lists = clusters.build_lists(buyers)
            before = sum(each.usage().cpu_seconds for each in testbed.cluster.entries)
            started_at = time.monotonic()
            await asyncio.to_thread(testbed.cluster.apply_lists, lists)
            change_seconds.append(time.monotonic() - started_at)
            await asyncio.sleep(0.5)
            after = sum(each.usage().cpu_seconds for each in testbed.cluster.entries)
            cpu_ms.append((after - before) / 2 * 1000)
        cpu.append((count, sum(cpu_ms) / len(cpu_ms)))
        seconds.append((count, sum(change_seconds) / len(change_seconds)))
    return [
        Slope("entry CPU of a list change by buyers", "ms per buyer", cpu),
        Slope("time of a list change by buyers", "s per buyer", seconds),
    ]


async def entries_running(_fleet: processes.Fleet) -> list[Slope]:
    """Measure traffic of an idle agent and load of the table by the number of entries."""
    bytes_sent, reads, writes = [], [], []
    for count in _ENTRY_COUNTS:
        with processes.Fleet() as fleet:
            testbed = _start_bench(fleet, count, 2)
            await asyncio.sleep(_SETTLE_SECONDS)
            before = _table_calls(testbed)
            idle_usage = await _testbed.measure_idle(testbed.cluster.agents, _SAMPLE_SECONDS)
            after = _table_calls(testbed)
        bytes_sent.append((count, idle_usage.bytes_per_second))
        reads.append((count, (after["reads"] - before["reads"]) / _SAMPLE_SECONDS))
        writes.append((count, (after["writes"] - before["writes"]) / _SAMPLE_SECONDS))
    return [
        Slope("idle agent bytes by entries", "B/s per entry", bytes_sent),
        Slope("table reads by entries", "reads/s per entry", reads),
        Slope("table writes by entries", "writes/s per entry", writes),
    ]


def _table_calls(testbed: _testbed.Testbed) -> dict:
    return clusters.call("GET", f"{testbed.cluster.table.url}/v1/stats")[1]


async def jobs_reported(_fleet: processes.Fleet) -> list[Slope]:
    """Measure size and CPU of an agent's fence report, built and encoded without a network."""
    sizes, seconds = [], []
    for count in _REPORTED_JOB_COUNTS:
        ledger = _ledger.Ledger("incarnation", 600.0, 1 << 26)
        for _ in range(count):
            job_id = _ids.new_job_id()
            items = [[index, "null", None, 0, 0, 0] for index in range(4)]
            start = _wire.Start(1, 1, "incarnation", "buyer", job_id, b"d" * 32, 4, items)
            ledger.accept(start, "entry-1", 0.0)
            for index in range(4):
                ledger.mark_started(("buyer", job_id), index, 1, 0.0)
                ledger.finish(["buyer", job_id, index, _wire.DONE, None, 0], 0.0)
        started_at = time.process_time()
        ledger.fence(1, 2, "entry-2")
        sizes.append((count, sum(len(_codec.encode(each)) for each in ledger.report(1))))
        seconds.append((count, (time.process_time() - started_at) * 1000))
    return [
        Slope("fence report by remembered jobs", "B per job", sizes),
        Slope("agent CPU of a fence report by remembered jobs", "ms per job", seconds),
    ]


MEASUREMENTS: tuple[Callable[[processes.Fleet], Awaitable[list[Slope]]], ...] = (
    agents_connected,
    jobs_remembered,
    tasks_queued,
    starts_per_second,
    buyers_in_lists,
    entries_running,
    jobs_reported,
)


def run(only: str = "") -> None:
    """Measure all slopes, or the one named `only`."""
    rows = {}
    for measure in MEASUREMENTS:
        if only and measure.__name__ != only:
            continue
        load_average = round(os.getloadavg()[0], 1)
        print(f"{measure.__name__}, load average {load_average}", flush=True)
        with processes.Fleet() as fleet:
            slopes = asyncio.run(measure(fleet))
        for slope in slopes:
            rows[slope.name] = slope.as_row() | {"load_average": load_average}
            print(f"  {slope.name}: {rows[slope.name]}", flush=True)
    print(as_markdown(rows))
    print(json.dumps(rows))


def as_markdown(rows: dict[str, dict]) -> str:
    """Return the slopes as the Markdown table of the capacity page."""
    columns = ["relation", "slope", "unit", "at 0", "residual", "points", "load average"]
    cells = [
        [
            name,
            row["slope"],
            row["unit"],
            row["at_0"],
            row["residual"],
            ", ".join(f"{x:g}: {y:g}" for x, y in row["points"]),
            row["load_average"],
        ]
        for name, row in rows.items()
    ]
    return tabulate.tabulate(cells, columns, tablefmt="github", disable_numparse=True)


if __name__ == "__main__":
    fire.Fire(run)
