"""A deployment to measure: its shape, its processes with latency between them, and its load."""

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

# Run times from 50 ms to 1 s and a few of several seconds, each kind near its typical one.
KINDS = (
    _workload.TaskKind("stock", 80, weight=30),
    _workload.TaskKind("reserve", 200, weight=25),
    _workload.TaskKind("label", 350, weight=20),
    _workload.TaskKind("quote", 600, weight=15),
    _workload.TaskKind("plan", 800, spread=1.25, weight=9),
    _workload.TaskKind("recount", 3000, spread=1.5, weight=1),
)
WEIGHT_BY_TASKS = {1: 25, 2: 20, 4: 20, 8: 17, 16: 13, 32: 4, 64: 1}


@attrs.frozen
class Deployment:
    """Latencies, one way, and data centres of a user of the system."""

    name: str
    between_ms: float
    client_ms: float
    data_centres: tuple[str, ...]

    @property
    def round_trips_ms(self) -> float:
        """Return the network time in the ideal response: caller, owner, agent and back."""
        return 2 * (self.client_ms + self.between_ms)


DEPLOYMENT_BY_NAME = {
    each.name: each
    for each in (
        Deployment("cooperative", 1.0, 3.0, ("quito-1", "quito-2", "cayambe", "latacunga")),
        Deployment("salinas", 0.5, 1.0, ("barn-1", "barn-2", "quay", "warehouse")),
    )
}


@attrs.define
class Testbed:
    """The running processes and what the tool knows about them."""

    cluster: clusters.Cluster
    deployment: Deployment
    buyers: list[_workload.Buyer]
    policy: str
    relays: list[processes.Process] = attrs.Factory(list)

    @property
    def caller_urls(self) -> list[str]:
        """Return the entries' addresses as callers dial them, through the relays if any."""
        host = link.RELAY_HOST if self.relays else processes.HOST
        return [entry.url.replace(processes.HOST, host) for entry in self.cluster.entries]

    def shape(self, seconds: float, seed: int, **changes) -> _workload.LoadShape:
        """Return the load at 70% of the slots."""
        shape = _workload.LoadShape(
            buyers=self.buyers,
            jobs=100_000,
            seconds=seconds,
            weight_by_tasks=WEIGHT_BY_TASKS,
            kinds=KINDS,
            slots=RUNNERS * SLOTS,
            round_trip_ms=self.deployment.round_trips_ms,
            seed=seed,
        )
        return attrs.evolve(shape.with_utilization(TARGET_UTILIZATION, shape.slots), **changes)

    async def run_load(
        self,
        shape: _workload.LoadShape,
        jobs: list[_workload.Job],
        fault: Callable[[], Awaitable[None]] | None = None,
        follow_owner: bool = True,
    ) -> list[load.JobRecord]:
        """Submit the jobs while the fault's script runs; return the records."""
        generator = load.LoadGenerator(shape, self.caller_urls, follow_owner=follow_owner)
        loading = asyncio.create_task(generator.run(jobs))
        progress = asyncio.create_task(_show_progress(len(jobs)))
        try:
            if fault is not None:
                await fault()
            return await loading
        finally:
            progress.cancel()
            loading.cancel()


async def _show_progress(jobs: int) -> None:
    began = time.monotonic()
    while True:
        await asyncio.sleep(5)
        print(f"  {time.monotonic() - began:.0f} s of the load of {jobs} jobs", flush=True)


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
    """Start the processes of a deployment and wait until its shards are balanced."""
    buyers = [_workload.Buyer(f"{deployment.name}-{n}", os.urandom(8).hex()) for n in range(BUYERS)]
    cluster = clusters.Cluster(fleet, fleet.start_table(), fleet.start_objects())
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
    """Start one entry, behind a relay that adds the deployment's latency."""
    centres = testbed.deployment.data_centres
    changes = {
        "data_centre": centres[number % len(centres)],
        "routing": {"policy": testbed.policy},
        "http": {"host": processes.HOST, "port": processes.free_port()},
        "peer": {"host": processes.HOST, "port": processes.free_port()},
    }
    if latency:
        changes["http"]["advertise_host"] = link.RELAY_HOST
        changes["peer"]["advertise_host"] = link.RELAY_HOST
        testbed.relays.append(_start_relay(testbed, number, changes))
    testbed.cluster.add_entry(**changes)


def _start_relay(testbed: Testbed, number: int, changes: dict) -> processes.Process:
    ports = f"{changes['http']['port']},{changes['peer']['port']}"
    delays = f"{testbed.deployment.client_ms},{testbed.deployment.between_ms}"
    command = ["daisyfall_standins.link", f"--ports={ports}", f"--delays_ms={delays}"]
    return testbed.cluster.fleet.start(f"relay-{number + 1}", command, "")


def _add_agent(testbed: Testbed, number: int, *, null_runners: bool) -> None:
    centres = testbed.deployment.data_centres
    host = link.RELAY_HOST if testbed.relays else processes.HOST
    changes = {
        "data_centre": centres[number // WORKERS_PER_RACK % len(centres)],
        "rack": f"rack-{number // WORKERS_PER_RACK + 1}",
        "entries": [e.peer.replace(processes.HOST, host) for e in testbed.cluster.entries],
    }
    if null_runners:
        changes["runner"] = {"kind": "null", "slots": SLOTS}
    testbed.cluster.add_agent({"slots": SLOTS}, **changes)


@attrs.frozen
class CounterSnapshot:
    """Counters of the daemons at one moment; CPU in seconds by name."""

    at: float
    cpu: dict[str, float]
    rss_mb: dict[str, float]
    bytes: dict[str, int]
    wasted: dict[tuple[str, str], float]  # by process and reason
    starts: float

    @classmethod
    def take(cls, testbed: Testbed) -> "CounterSnapshot":
        """Read the counters of the processes that run."""
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
            {each.name: read_bytes(each.pid) for each in running},
            wasted,
            testbed.cluster.sum_metric(STARTS_METRIC, agents),
        )


def read_bytes(pid: int) -> int:
    """Return the bytes that a process read and wrote, on sockets (libuv) and files."""
    rows = pathlib.Path(f"/proc/{pid}/io").read_text().splitlines()
    value_by_name = dict(row.split(": ") for row in rows)
    return int(value_by_name["rchar"]) + int(value_by_name["wchar"])


@attrs.frozen
class IdleUsage:
    """Mean use of one process without load."""

    cpu_percent: float
    rss_mb: float
    bytes_per_second: float


async def measure_idle(processes_watched: list[processes.Process], seconds: float) -> IdleUsage:
    """Watch processes that do nothing; return the means."""
    before = [(each.usage().cpu_seconds, read_bytes(each.pid)) for each in processes_watched]
    began = time.monotonic()
    await asyncio.sleep(seconds)
    passed = time.monotonic() - began
    usage = [each.usage() for each in processes_watched]
    count = len(processes_watched)
    cpu = sum(each.cpu_seconds for each in usage) - sum(each[0] for each in before)
    total = sum(read_bytes(each.pid) for each in processes_watched) - sum(b[1] for b in before)
    return IdleUsage(
        round(cpu / passed / count * 100, 2),
        round(math.fsum(each.rss_mb for each in usage) / count, 1),
        round(total / passed / count, 1),
    )
