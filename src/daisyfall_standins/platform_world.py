"""A small deployment on loopback: store, runners and callers here, entries and agents as processes.

Each host has an address of its own in 127.0.0.0/8. The store hands out proxies' addresses in
place of the nodes' own ones, so that links between nodes can be disturbed from outside.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import tempfile
import time

import aiohttp
import attrs
from aiohttp import web

from daisyfall_standins import leased_runner, processes, rows, wire_proxy

POOL = "pool"
HOST_NAME = "orders.example"
PREFIX = "/orders/"
CALLER_PORT = 8161
READY_PORT = 8167
CONTROL_PORT = 8166
RUNNER_PORT = 8165
STORE_PORT = 8169
NODE_PORT = 7720
RESEND_S = 1.3
READY_LIMIT_S = 15.0
NODES_TABLE = "daisyfall-nodes"
# Entries agree on the scheduling one once they have heard each other for this long.
LEADER_STABLE_S = 2.5
# Addresses of hosts in a world's network; worlds of different processes have networks apart.
ENTRY_HOST = 1
AGENT_HOST = 100
STORE_HOST = 250
OCTETS = 250


@attrs.define
class Tally:
    """What callers saw; ids of jobs by outcome."""

    jobs: int = 0
    complete: set[str] = attrs.Factory(set)
    refused: set[str] = attrs.Factory(set)
    failed: set[str] = attrs.Factory(set)
    accepted_somewhere: set[str] = attrs.Factory(set)
    answered_at: list[tuple[float, bool]] = attrs.Factory(list)


class World:
    """One deployment; `async with World(...)` starts and ends it."""

    def __init__(self, fleet: processes.Fleet, entries: int, agents: int, seed: int):
        self.fleet = fleet
        self.source = random.Random(seed)
        self.execution_log = leased_runner.ExecutionLog()
        self.tally = Tally()
        self.tasks_by_job: dict[str, int] = {}
        self.store = rows.Rows()
        pid = os.getpid()
        network = f"127.{pid % OCTETS + 1}.{pid // OCTETS % OCTETS + 1}"
        self._entry_ips = [f"{network}.{ENTRY_HOST + n}" for n in range(entries)]
        self._agent_ips = [f"{network}.{AGENT_HOST + n}" for n in range(agents)]
        self.store_address = f"{network}.{STORE_HOST}:{STORE_PORT}"
        self.runner_by_agent = {
            f"agent-{n}": leased_runner.LeasedRunner(POOL, 8000, 16_000, self.execution_log)
            for n in range(agents)
        }
        self.proxy_by_node: dict[str, wire_proxy.Proxy] = {}
        self._folder = tempfile.TemporaryDirectory(prefix="daisyfall-world-")
        self._tasks: list[asyncio.Task] = []
        self._stack = contextlib.AsyncExitStack()
        self.config_version = 0
        # Faults of one process follow each other; those of different ones overlap.
        self.lock_by_node = {
            name: asyncio.Lock() for name in [*self.entry_names, *self.runner_by_agent]
        }
        self.unexpected_exits: list[str] = []

    @property
    def entry_names(self) -> list[str]:
        """Return the names of the entries."""
        return [f"entry-{n}" for n in range(len(self._entry_ips))]

    async def __aenter__(self) -> "World":
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0, force_close=True))
        )
        await self._serve(self._store_application(), self.store_address)
        self.configure()
        for name, runner in self.runner_by_agent.items():
            await self._start_runner(name, runner)
        for number, ip in enumerate(self._entry_ips):
            await self._start_node("entry", f"entry-{number}", ip)
        for number, ip in enumerate(self._agent_ips):
            await self._start_node("agent", f"agent-{number}", ip)
        return self

    async def __aexit__(self, *_error) -> None:
        for task in self._tasks:
            task.cancel()
        for proxy in self.proxy_by_node.values():
            await proxy.stop()
        await self._stack.aclose()
        self._folder.cleanup()

    async def wait_ready(self) -> None:
        """Return when all entries are ready; raise `TimeoutError` at the limit."""
        async with asyncio.timeout(READY_LIMIT_S):
            for number in range(len(self._entry_ips)):
                while not await self.is_ready(number):
                    await asyncio.sleep(0.05)

    async def is_ready(self, entry: int) -> bool:
        """Tell whether an entry says that it is ready."""
        url = f"http://{self._entry_ips[entry]}:{READY_PORT}/readiness"
        try:
            async with self.session.get(url, timeout=aiohttp.ClientTimeout(total=1)) as reply:
                return reply.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    def configure(self, prefixes: list[str] | None = None) -> int:
        """Write the next configuration, with a route for each prefix; return its version."""
        self.config_version += 1
        all_prefixes = [PREFIX, *(prefixes or [])]
        body = {
            "Version": self.config_version,
            "Routes": [_route(prefix) for prefix in all_prefixes],
            "Services": [{"Name": POOL}],
            "Limits": {"MaxBodyBytes": 262144},
        }
        self.store.put("op", "config", base64.b64encode(json.dumps(body).encode()).decode())
        return self.config_version

    async def post(self, entry: int, job: str, body: dict, wait_s: float) -> tuple[int, dict, dict]:
        """Send a job once; return status, body and headers, or raise `OSError`-like errors."""
        url = f"http://{self._entry_ips[entry]}:{CALLER_PORT}{PREFIX}{job}"
        headers = {"Host": HOST_NAME, "X-Deadline-Remaining-Ms": str(int(wait_s * 1000))}
        timeout = aiohttp.ClientTimeout(total=wait_s + 0.2)
        async with self.session.post(url, json=body, headers=headers, timeout=timeout) as reply:
            return reply.status, await reply.json(content_type=None), dict(reply.headers)

    async def get(self, entry: int, path: str) -> tuple[int, dict]:
        """Send a GET below the queue's prefix."""
        url = f"http://{self._entry_ips[entry]}:{CALLER_PORT}{path}"
        async with self.session.get(url, headers={"Host": HOST_NAME}) as reply:
            return reply.status, await reply.json(content_type=None)

    async def delete(self, entry: int, job: str) -> int:
        """Cancel a job."""
        url = f"http://{self._entry_ips[entry]}:{CALLER_PORT}{PREFIX}{job}"
        async with self.session.delete(url, headers={"Host": HOST_NAME}) as reply:
            return reply.status

    async def submit_with_retries(self, job: str, body: dict, wait_s: float, tries: int = 4) -> str:
        """Send a job as the platform's clients do, again after a lost answer; tally the outcome."""
        tally = self.tally
        tally.jobs += 1
        entry = self.source.randrange(len(self._entry_ips))
        for _ in range(tries):
            try:
                status, reply, _ = await self.post(entry, job, body, wait_s)
            except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
                status, reply = 0, {}
            if status == 200:
                return self._answered(job, reply["State"])
            if status in (429, 503):
                return self._answered(job, "refused")
            if status not in (0, 502, 504):
                return self._answered(job, "failed")
            tally.accepted_somewhere.add(job)
            await asyncio.sleep(RESEND_S)
            entry = (entry + 1) % len(self._entry_ips)
        return self._answered(job, "failed")

    def _answered(self, job: str, outcome: str) -> str:
        self.tally.answered_at.append((time.monotonic(), outcome == "completed"))
        match outcome:
            case "completed":
                self.tally.complete.add(job)
            case "refused":
                self.tally.refused.add(job)
            case _:
                self.tally.failed.add(job)
        return outcome

    def violations(self) -> dict[str, list[str]]:
        """Return what breaks a promise: runs at the same time, partial answers, false refusals."""
        done_by_job: dict[str, set[str]] = {}
        for task in self.execution_log.done:
            done_by_job.setdefault(task.split(".")[0], set()).add(task)
        started = {task.split(".")[0] for task in self.execution_log.starts_by_task}
        return {
            "run_twice": sorted(set(self.execution_log.twice)),
            "partial": [
                job
                for job in self.tally.complete
                if len(done_by_job.get(job, ())) < self.tasks_by_job[job]
            ],
            "not_run_but_ran": [
                job
                for job in self.tally.refused
                if job in started and job not in self.tally.accepted_somewhere
            ],
        }

    def new_job(self, tasks: int, ms: int, *, fails: bool = False) -> tuple[str, dict]:
        """Return the id and body of a job of tasks of one core."""
        job = f"{self.source.getrandbits(64):016x}"
        self.tasks_by_job[job] = tasks
        order = {"ms": ms, "fails": fails}
        step = {"Count": tasks, "Cpu": 1000, "MemMb": 10, "EstimatedMs": ms}
        return job, {"Specification": json.dumps(order), "Steps": [step], "BestEffort": True}

    # Parts.

    async def _start_node(self, role: str, name: str, ip: str) -> None:
        port = NODE_PORT + (role == "agent")
        proxy = wire_proxy.Proxy(f"{ip}:{port + 100}", f"{ip}:{port}")
        await proxy.start()
        self.proxy_by_node[name] = proxy
        path = pathlib.Path(self._folder.name) / f"{name}.conf"
        path.write_text(self._settings(role, name, ip))
        command = ["daisyfall.platform.node", role, str(path)]
        self.fleet.start(name, command, f"http://{ip}:{READY_PORT}")

    def _settings(self, role: str, name: str, ip: str) -> str:
        fields = {
            "NodeName": name,
            "IpAddress": ip,
            "Zone": "z1",
            "InternalPortRange": f"{NODE_PORT},{NODE_PORT + 15}",
            "Limits.CpuShare": 0.5,
            "Limits.Cores": 2,
            "HeartbeatMs": int(leased_runner.HEARTBEAT_S * 1000),
            "Bounds.MaxHoldMs": leased_runner.LONGEST_LEASE_MS,
            "Bounds.StopMs": 50,
            "Bounds.GraceS": 6,
            "Bounds.ResendMs": int(RESEND_S * 1000),
            "platform.Address": self.store_address,
        }
        if role == "entry":
            fields["ListenAddresses.Front"] = f"{ip}:{CALLER_PORT}"
            fields["ListenAddresses.Ready"] = f"{ip}:{READY_PORT}"
        else:
            fields["ListenAddresses.Control"] = f"{ip}:{CONTROL_PORT}"
        return "".join(f"{key}={value}\n" for key, value in fields.items())

    def _store_application(self) -> web.Application:
        self.store.rewrite = self._proxied
        return self.store.application()

    def _proxied(self, row: dict) -> dict:
        """Return a row of the nodes' table with the proxy's address in place of the node's."""
        if row["Table"] != NODES_TABLE or "Value" not in row:
            return row
        node = json.loads(base64.b64decode(row["Value"]))
        proxy = self.proxy_by_node.get(row["Key"])
        if proxy is None:
            return row
        node["address"] = proxy.listen
        return {**row, "Value": base64.b64encode(json.dumps(node).encode()).decode()}

    async def _start_runner(self, name: str, runner: leased_runner.LeasedRunner) -> None:
        ip = self._agent_ips[int(name.rpartition("-")[2])]
        runner.address = f"{ip}:{RUNNER_PORT}"
        await self._serve(runner.application(), runner.address)
        self._tasks.append(asyncio.create_task(runner.live()))
        announce = runner.announce(self.session, f"{ip}:{CONTROL_PORT}")
        self._tasks.append(asyncio.create_task(announce))

    async def _serve(self, application: web.Application, address: str) -> None:
        host, _, port = address.partition(":")
        runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, host, int(port)).start()


def _route(prefix: str) -> dict:
    return {
        "Name": f"route {prefix}",
        "Host": HOST_NAME,
        "PathPrefix": prefix,
        "Kind": "unsafe",
        "TimeoutMs": 1500,
        "TargetLatencyMs": 400,
        "Priority": 0,
        "Service": POOL,
        "MaxAttempts": 2,
        "Stretch": 3.0,
    }
