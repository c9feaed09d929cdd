"""A deployment to measure: its shape, its processes with latency between them, and its load."""

import asyncio
import math
import os
import pathlib
import time
from collections.abc import Awaitable, Callable

import attrs

from daisyfall_standins import _shape, link, load, processes
from daisyfall_standins import cluster as clusters

SLOTS = 8
RUNNERS = 11
ENTRIES = 3
WORKERS_PER_RACK = 3
BUYERS = 8
LOAD = 0.7
WASTED = "daisyfall_wasted_messages_total"
STARTS = "daisyfall_starts_total"

# Run times from 50 ms to 1 s and a few of several seconds, each kind near its typical one.
KINDS = (
    _shape.Kind("stock", 80, weight=30),
    _shape.Kind("reserve", 200, weight=25),
    _shape.Kind("label", 350, weight=20),
    _shape.Kind("quote", 600, weight=15),
    _shape.Kind("plan", 800, spread=1.25, weight=9),
    _shape.Kind("recount", 3000, spread=1.5, weight=1),
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
class Bench:
    """The running processes and what the tool knows about them."""

    cluster: clusters.Cluster
    deployment: Deployment
    buyers: list[_shape.Buyer]
    policy: str
    relays: list[processes.Process] = attrs.Factory(list)

    @property
    def caller_urls(self) -> list[str]:
        """Return the entries' addresses as callers dial them, through the relays if any."""
        host = link.RELAY_HOST if self.relays else processes.HOST
        return [entry.url.replace(processes.HOST, host) for entry in self.cluster.entries]

    def shape(self, seconds: float, seed: int, **changes) -> _shape.Shape:
        """Return the load at 70% of the slots."""
        shape = _shape.Shape(
            buyers=self.buyers,
            jobs=100_000,
            seconds=seconds,
            weight_by_tasks=WEIGHT_BY_TASKS,
            kinds=KINDS,
            slots=RUNNERS * SLOTS,
            round_trip_ms=self.deployment.round_trips_ms,
            seed=seed,
        )
        return attrs.evolve(shape.at_load(LOAD, shape.slots), **changes)

    async def run_load(
        self,
        shape: _shape.Shape,
        jobs: list[_shape.Job],
        fault: Callable[[], Awaitable[None]] | None = None,
        follow_owner: bool = True,
    ) -> list[load.Record]:
        """Submit the jobs while the fault's script runs; return the records."""
        generator = load.Generator(shape, self.caller_urls, follow_owner=follow_owner)
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
) -> Bench:
    """Start the processes of a deployment and wait until its shards are balanced."""
    buyers = [_shape.Buyer(f"{deployment.name}-{n}", os.urandom(8).hex()) for n in range(BUYERS)]
    cluster = clusters.Cluster(fleet, fleet.start_table(), fleet.start_object_store())
    bench = Bench(cluster, deployment, buyers, policy)
    fleet.wait_ready()
    for number in range(entries):
        add_entry(bench, number, latency=latency)
    for entry in cluster.entries:
        entry.wait_ready(path="/healthz")
    cluster.apply_lists(clusters.write_lists(buyers))
    for number in range(agents):
        _add_agent(bench, number, null_runners=null_runners)
    for process in fleet.process_by_name.values():
        if process not in bench.relays:
            process.wait_ready()
    cluster.wait_upstreams(agents)
    cluster.wait_balanced()
    return bench


def add_entry(bench: Bench, number: int, *, latency: bool) -> None:
    """Start one entry, behind a relay that adds the deployment's latency."""
    centres = bench.deployment.data_centres
    changes = {
        "data_centre": centres[number % len(centres)],
        "routing": {"policy": bench.policy},
        "http": {"host": processes.HOST, "port": processes.free_port()},
        "peer": {"host": processes.HOST, "port": processes.free_port()},
    }
    if latency:
        changes["http"]["advertise_host"] = link.RELAY_HOST
        changes["peer"]["advertise_host"] = link.RELAY_HOST
        bench.relays.append(_start_relay(bench, number, changes))
    bench.cluster.add_entry(**changes)


def _start_relay(bench: Bench, number: int, changes: dict) -> processes.Process:
    ports = f"{changes['http']['port']},{changes['peer']['port']}"
    delays = f"{bench.deployment.client_ms},{bench.deployment.between_ms}"
    command = ["daisyfall_standins.link", f"--ports={ports}", f"--delays_ms={delays}"]
    return bench.cluster.fleet.start(f"relay-{number + 1}", command, "")


def _add_agent(bench: Bench, number: int, *, null_runners: bool) -> None:
    centres = bench.deployment.data_centres
    host = link.RELAY_HOST if bench.relays else processes.HOST
    changes = {
        "data_centre": centres[number // WORKERS_PER_RACK % len(centres)],
        "rack": f"rack-{number // WORKERS_PER_RACK + 1}",
        "entries": [e.peer.replace(processes.HOST, host) for e in bench.cluster.entries],
    }
    if null_runners:
        changes["runner"] = {"kind": "null", "slots": SLOTS}
    bench.cluster.add_agent({"slots": SLOTS}, **changes)


@attrs.frozen
class Reading:
    """Counters of the daemons at one moment; CPU in seconds by name."""

    at: float
    cpu: dict[str, float]
    rss_mb: dict[str, float]
    bytes: dict[str, int]
    wasted: dict[tuple[str, str], float]  # by process and reason
    starts: float

    @classmethod
    def take(cls, bench: Bench) -> "Reading":
        """Read the counters of the processes that run."""
        running = [each for each in bench.cluster.daemons if each.popen.poll() is None]
        usage = {each.name: each.usage() for each in running}
        wasted: dict[tuple[str, str], float] = {}
        for each in running:
            for labels, value in clusters.read_metric(each, WASTED).items():
                wasted[each.name, labels[0]] = value
        agents = bench.cluster.agents
        return cls(
            time.monotonic(),
            {name: each.cpu_seconds for name, each in usage.items()},
            {name: each.rss_mb for name, each in usage.items()},
            {each.name: read_bytes(each.pid) for each in running},
            wasted,
            bench.cluster.sum_metric(STARTS, agents),
        )


def read_bytes(pid: int) -> int:
    """Return the bytes that a process read and wrote, on sockets (libuv) and files."""
    rows = pathlib.Path(f"/proc/{pid}/io").read_text().splitlines()
    value_by_name = dict(row.split(": ") for row in rows)
    return int(value_by_name["rchar"]) + int(value_by_name["wchar"])


@attrs.frozen
class IdleFigures:
    """Mean use of one process without load."""

    cpu_percent: float
    rss_mb: float
    bytes_per_second: float


async def watch_idle(processes_watched: list[processes.Process], seconds: float) -> IdleFigures:
    """Watch processes that do nothing; return the means."""
    before = [(each.usage().cpu_seconds, read_bytes(each.pid)) for each in processes_watched]
    began = time.monotonic()
    await asyncio.sleep(seconds)
    passed = time.monotonic() - began
    usage = [each.usage() for each in processes_watched]
    count = len(processes_watched)
    cpu = sum(each.cpu_seconds for each in usage) - sum(each[0] for each in before)
    total = sum(read_bytes(each.pid) for each in processes_watched) - sum(b[1] for b in before)
    return IdleFigures(
        round(cpu / passed / count * 100, 2),
        round(math.fsum(each.rss_mb for each in usage) / count, 1),
        round(total / passed / count, 1),
    )
