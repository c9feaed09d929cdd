"""Testbed for measurements: a deployment with emulated network latency, and its load."""

import asyncio
import math
import os
import pathlib
import time
from collections.abc import Awaitable, Callable

import attrs

from daisyfall_standins import _workload, link, load, processes
from daisyfall_standins import cluster as clusters

SLOTS = 8
RUNNERS = 11
ENTRIES = 3
WORKERS_PER_RACK = 3
BUYERS = 8
TARGET_UTILIZATION = 0.7
WASTED_METRIC = "daisyfall_wasted_messages_total"
STARTS_METRIC = "daisyfall_starts_total"

# Most tasks run for 50 ms to 1 s, 1% for several seconds; run times of a kind vary little.
KINDS = (
    _workload.TaskKind("stock", 80, weight=30),
    _workload.TaskKind("reserve", 200, weight=25),
    _workload.TaskKind("label", 350, weight=20),
    _workload.TaskKind("quote", 600, weight=15),
    _workload.TaskKind("plan", 800, spread=1.25, weight=9),
    _workload.TaskKind("recount", 3000, spread=1.5, weight=1),
)
WEIGHT_BY_TASK_COUNT = {1: 25, 2: 20, 4: 20, 8: 17, 16: 13, 32: 4, 64: 1}


@attrs.frozen
class Deployment:
    """One-way network latencies and data centres of an installation."""

    name: str
    internal_latency_ms: float
    client_latency_ms: float
    data_centres: tuple[str, ...]

    @property
    def round_trips_ms(self) -> float:
        """Return the network time in the ideal response: caller to owner to agent and back."""
        return 2 * (self.client_latency_ms + self.internal_latency_ms)


DEPLOYMENT_BY_NAME = {
    each.name: each
    for each in (
        Deployment("cooperative", 1.0, 3.0, ("quito-1", "quito-2", "cayambe", "latacunga")),
        Deployment("salinas", 0.5, 1.0, ("barn-1", "barn-2", "quay", "warehouse")),
    )
}


@attrs.define
class Testbed:
    """The running processes and the parameters that they were started with."""

    cluster: clusters.Cluster
    deployment: Deployment
    buyers: list[_workload.Buyer]
    policy: str
    relays: list[processes.Process] = attrs.Factory(list)

    @property
    def caller_urls(self) -> list[str]:
        """Return the base URLs that callers use, through the latency relays if there are any."""
        host = link.RELAY_HOST if self.relays else processes.HOST
        return [entry.url.replace(processes.HOST, host) for entry in self.cluster.entries]

    def load_shape(self, seconds: float, seed: int, **overrides) -> _workload.LoadShape:
        """Return the load shape for the target utilization of all slots."""
        shape = _workload.LoadShape(
            buyers=self.buyers,
            jobs=100_000,
            seconds=seconds,
            weight_by_tasks=WEIGHT_BY_TASK_COUNT,
            kinds=KINDS,
            slots=RUNNERS * SLOTS,
            round_trip_ms=self.deployment.round_trips_ms,
            seed=seed,
        )
        return attrs.evolve(shape.with_utilization(TARGET_UTILIZATION, shape.slots), **overrides)

    async def run_load(
        self,
        shape: _workload.LoadShape,
        jobs: list[_workload.Job],
        fault: Callable[[], Awaitable[None]] | None = None,
        follow_owner: bool = True,
    ) -> list[load.JobRecord]:
        """Submit the jobs while the fault is injected; return the records."""
        generator = load.LoadGenerator(shape, self.caller_urls, follow_owner=follow_owner)
        load_task = asyncio.create_task(generator.run(jobs))
        progress_task = asyncio.create_task(_show_progress(len(jobs)))
        try:
            if fault is not None:
                await fault()
            return await load_task
        finally:
            progress_task.cancel()
            load_task.cancel()


async def _show_progress(jobs: int) -> None:
    started_at = time.monotonic()
    while True:
        await asyncio.sleep(5)
        print(f"  {time.monotonic() - started_at:.0f} s of the load of {jobs} jobs", flush=True)


def start(
    fleet: processes.Fleet,
    deployment: Deployment,
    policy: str,
    *,
    entries: int = ENTRIES,
    agents: int = RUNNERS,
    null_runners: bool = False,
    latency: bool = True,
) -> Testbed:
    """Start the processes of a deployment and wait until shard ownership is stable."""
    buyers = [_workload.Buyer(f"{deployment.name}-{n}", os.urandom(8).hex()) for n in range(BUYERS)]
    cluster = clusters.Cluster(fleet, fleet.start_table(), fleet.start_object_store())
    testbed = Testbed(cluster, deployment, buyers, policy)
    fleet.wait_ready()
    for number in range(entries):
        add_entry(testbed, number, latency=latency)
    for entry in cluster.entries:
        entry.wait_ready(path="/healthz")
    cluster.apply_lists(clusters.build_lists(buyers))
    for number in range(agents):
        _add_agent(testbed, number, null_runners=null_runners)
    for process in fleet.process_by_name.values():
        if process not in testbed.relays:
            process.wait_ready()
    cluster.wait_upstreams_ready(agents)
    cluster.wait_shards_balanced()
    return testbed


def add_entry(testbed: Testbed, number: int, *, latency: bool) -> None:
    """Start an entry; with `latency` it is reached through a relay that delays traffic."""
    data_centres = testbed.deployment.data_centres
    overrides = {
        "data_centre": data_centres[number % len(data_centres)],
        "routing": {"policy": testbed.policy},
        "http": {"host": processes.HOST, "port": processes.free_port()},
        "peer": {"host": processes.HOST, "port": processes.free_port()},
    }
    if latency:
        overrides["http"]["advertise_host"] = link.RELAY_HOST
        overrides["peer"]["advertise_host"] = link.RELAY_HOST
        testbed.relays.append(_start_relay(testbed, number, overrides))
    testbed.cluster.add_entry(**overrides)


def _start_relay(testbed: Testbed, number: int, overrides: dict) -> processes.Process:
    ports = f"{overrides['http']['port']},{overrides['peer']['port']}"
    latencies = f"{testbed.deployment.client_latency_ms},{testbed.deployment.internal_latency_ms}"
    command = ["daisyfall_standins.link", f"--ports={ports}", f"--delays_ms={latencies}"]
    return testbed.cluster.fleet.start(f"relay-{number + 1}", command, "")


def _add_agent(testbed: Testbed, number: int, *, null_runners: bool) -> None:
    data_centres = testbed.deployment.data_centres
    host = link.RELAY_HOST if testbed.relays else processes.HOST
    overrides = {
        "data_centre": data_centres[number // WORKERS_PER_RACK % len(data_centres)],
        "rack": f"rack-{number // WORKERS_PER_RACK + 1}",
        "entries": [e.peer.replace(processes.HOST, host) for e in testbed.cluster.entries],
    }
    if null_runners:
        overrides["runner"] = {"kind": "null", "slots": SLOTS}
    testbed.cluster.add_agent({"slots": SLOTS}, **overrides)


@attrs.frozen
class CounterSnapshot:
    """Counters of the running daemons at one time, by process name."""

    taken_at: float
    cpu_seconds: dict[str, float]
    rss_mb: dict[str, float]
    io_bytes: dict[str, int]
    wasted: dict[tuple[str, str], float]  # by process and reason
    starts: float

    @classmethod
    def take(cls, testbed: Testbed) -> "CounterSnapshot":
        """Read the counters of the running daemons."""
        running = [each for each in testbed.cluster.daemons if each.popen.poll() is None]
        usage = {each.name: each.usage() for each in running}
        wasted: dict[tuple[str, str], float] = {}
        for each in running:
            for labels, value in clusters.read_metric(each, WASTED_METRIC).items():
                wasted[each.name, labels[0]] = value
        agents = testbed.cluster.agents
        return cls(
            time.monotonic(),
            {name: each.cpu_seconds for name, each in usage.items()},
            {name: each.rss_mb for name, each in usage.items()},
            {each.name: read_io_bytes(each.pid) for each in running},
            wasted,
            testbed.cluster.sum_metric(STARTS_METRIC, agents),
        )


def read_io_bytes(pid: int) -> int:
    """Return the bytes that a process read and wrote, on files and on sockets.

    Sockets are included because libuv uses read and write system calls for them.
    """
    rows = pathlib.Path(f"/proc/{pid}/io").read_text().splitlines()
    value_by_name = dict(row.split(": ") for row in rows)
    return int(value_by_name["rchar"]) + int(value_by_name["wchar"])


@attrs.frozen
class IdleUsage:
    """Mean resource use of a process without load."""

    cpu_percent: float
    rss_mb: float
    bytes_per_second: float


async def measure_idle(watched: list[processes.Process], seconds: float) -> IdleUsage:
    """Measure the mean resource use of idle processes over `seconds`."""
    before = [(each.usage().cpu_seconds, read_io_bytes(each.pid)) for each in watched]
    started_at = time.monotonic()
    await asyncio.sleep(seconds)
    elapsed = time.monotonic() - started_at
    usage = [each.usage() for each in watched]
    count = len(watched)
    cpu = sum(each.cpu_seconds for each in usage) - sum(each[0] for each in before)
    total_bytes = sum(read_io_bytes(each.pid) for each in watched) - sum(b[1] for b in before)
    return IdleUsage(
        round(cpu / elapsed / count * 100, 2),
        round(math.fsum(each.rss_mb for each in usage) / count, 1),
        round(total_bytes / elapsed / count, 1),
    )
