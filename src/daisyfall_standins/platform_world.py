"""Test environment on loopback: a small deployment whose links and processes can get faults.

The store, the runners and the callers run in this process, entries and agents as child
processes. Each host has its own address in 127.0.0.0/8. The store returns the addresses of
proxies in place of those of the nodes, so that faults can be injected into links between nodes.
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

from daisyfall_standins import (
    _listener,
    leased_runner,
    metadata_store,
    odd_writer,
    operator,
    processes,
    wire_proxy,
)

POOL = "pool"
HOST_NAME = "orders.example"
PATH_PREFIX = "/orders/"
CALLER_PORT = 8161
READY_PORT = 8167
# Key of the rows of another writer in the table of nodes.
ODD_KEY = "odd"
CONTROL_PORT = 8166
RUNNER_PORT = 8165
STORE_PORT = 8169
NODE_PORT = 7720
CLIENT_RETRY_DELAY_S = 1.3
READY_TIMEOUT_S = 15.0
NODES_TABLE = "daisyfall-nodes"
# Entries agree on the scheduling entry after they have received each other's heartbeats for
# this long.
LEADER_STABLE_S = 2.5
# Last octets of the addresses. The network is derived from the process id, so that test
# environments of different processes don't share addresses.
FIRST_ENTRY_OCTET = 1
FIRST_AGENT_OCTET = 100
STORE_OCTET = 250
OCTET_VALUES = 250
# After three crashes under a task it may be started twice more.
MAX_CRASHES_OF_TASK = 5
# No task may start in a data centre later than this after its evacuation was acknowledged.
EVACUATION_BOUND_S = 5.0


@attrs.define
class CallResults:
    """Outcomes that callers got: ids of jobs, and time and success of each final answer.

    `maybe_accepted` holds jobs that had an attempt without a definite answer: an entry may have
    accepted them.
    """

    jobs: int = 0
    completed: set[str] = attrs.Factory(set)
    refused: set[str] = attrs.Factory(set)
    failed: set[str] = attrs.Factory(set)
    maybe_accepted: set[str] = attrs.Factory(set)
    answers: list[tuple[float, bool]] = attrs.Factory(list)


class World:
    """One deployment; `async with World(...)` starts it and stops it at the end.

    Its nodes are spread over the data centres `z1`, `z2` and so on.
    """

    def __init__(
        self, fleet: processes.Fleet, entries: int, agents: int, seed: int, data_centres: int = 1
    ):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.execution_log = leased_runner.ExecutionLog()
        self.results = CallResults()
        self.tasks_by_job: dict[str, int] = {}
        self.store = metadata_store.MetadataStore()
        self.operator = operator.Operator(self.store, self.execution_log)
        pid = os.getpid()
        network = f"127.{pid % OCTET_VALUES + 1}.{pid // OCTET_VALUES % OCTET_VALUES + 1}"
        self._entry_ips = [f"{network}.{FIRST_ENTRY_OCTET + n}" for n in range(entries)]
        self._agent_ips = [f"{network}.{FIRST_AGENT_OCTET + n}" for n in range(agents)]
        self.store_address = f"{network}.{STORE_OCTET}:{STORE_PORT}"
        self.runner_by_agent = {
            f"agent-{n}": leased_runner.FakeLeasedRunner(
                POOL, 8000, 16_000, self.execution_log, f"z{n % data_centres + 1}"
            )
            for n in range(agents)
        }
        self.data_centres = [f"z{n + 1}" for n in range(data_centres)]
        self.proxy_by_node: dict[str, wire_proxy.FaultProxy] = {}
        self._config_dir = tempfile.TemporaryDirectory(prefix="daisyfall-world-")
        self._background_tasks: list[asyncio.Task] = []
        self._exit_stack = contextlib.AsyncExitStack()
        self.config_version = 0
        # Serializes the faults of one node; faults of different nodes may overlap.
        self.lock_by_node = {
            name: asyncio.Lock() for name in [*self.entry_names, *self.runner_by_agent]
        }
        self.unexpected_exits: list[str] = []

    @property
    def entry_names(self) -> list[str]:
        """Return the names of the entries."""
        return [f"entry-{n}" for n in range(len(self._entry_ips))]

    async def __aenter__(self) -> "World":
        self.session = await self._exit_stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0, force_close=True))
        )
        await self._serve(self._store_application(), self.store_address)
        self.configure()
        for name, runner in self.runner_by_agent.items():
            await self._start_runner(name, runner)
        for index, ip in enumerate(self._entry_ips):
            await self._start_node("entry", f"entry-{index}", ip)
        for index, ip in enumerate(self._agent_ips):
            await self._start_node("agent", f"agent-{index}", ip)
        return self

    async def __aexit__(self, *_error) -> None:
        for task in self._background_tasks:
            task.cancel()
        for proxy in self.proxy_by_node.values():
            await proxy.stop()
        await self._exit_stack.aclose()
        self._config_dir.cleanup()

    async def wait_ready(self) -> None:
        """Wait until all entries are ready; raise `TimeoutError` after `READY_TIMEOUT_S`."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            for index in range(len(self._entry_ips)):
                while not await self.is_ready(index):
                    await asyncio.sleep(0.05)

    async def is_ready(self, entry: int) -> bool:
        """Tell whether the readiness check of an entry passes."""
        url = f"http://{self._entry_ips[entry]}:{READY_PORT}/readiness"
        try:
            async with self.session.get(url, timeout=aiohttp.ClientTimeout(total=1)) as reply:
                return reply.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    def configure(self, prefixes: list[str] | None = None) -> int:
        """Store a new configuration with a route for each prefix; return its version."""
        self.config_version += 1
        all_prefixes = [PATH_PREFIX, *(prefixes or [])]
        body = {
            "Version": self.config_version,
            "Routes": [_route_config(prefix) for prefix in all_prefixes],
            "Services": [{"Name": POOL}],
            "Limits": {"MaxBodyBytes": 262144},
        }
        self.store.put("op", "config", base64.b64encode(json.dumps(body).encode()).decode())
        return self.config_version

    async def post(
        self, entry: int, job: str, body: dict, timeout_s: float
    ) -> tuple[int, dict, dict]:
        """Send a job once; return status, body and headers of the response.

        Raises `aiohttp.ClientError`, `TimeoutError`, `OSError` or `ValueError` without a response.
        """
        url = f"http://{self._entry_ips[entry]}:{CALLER_PORT}{PATH_PREFIX}{job}"
        headers = {"Host": HOST_NAME, "X-Deadline-Remaining-Ms": str(int(timeout_s * 1000))}
        timeout = aiohttp.ClientTimeout(total=timeout_s + 0.2)
        async with self.session.post(url, json=body, headers=headers, timeout=timeout) as reply:
            return reply.status, await reply.json(content_type=None), dict(reply.headers)

    async def get(self, entry: int, path: str) -> tuple[int, dict]:
        """Send a GET request for `path`; return status and body."""
        url = f"http://{self._entry_ips[entry]}:{CALLER_PORT}{path}"
        async with self.session.get(url, headers={"Host": HOST_NAME}) as reply:
            return reply.status, await reply.json(content_type=None)

    async def delete(self, entry: int, job: str) -> int:
        """Send a request to cancel a job; return its status."""
        url = f"http://{self._entry_ips[entry]}:{CALLER_PORT}{PATH_PREFIX}{job}"
        async with self.session.delete(url, headers={"Host": HOST_NAME}) as reply:
            return reply.status

    async def submit_with_retries(
        self, job: str, body: dict, timeout_s: float, max_attempts: int = 4
    ) -> str:
        """Send a job as the platform's clients do, with retries after lost answers.

        Returns the outcome and adds it to `results`.
        """
        results = self.results
        results.jobs += 1
        entry = self.rng.randrange(len(self._entry_ips))
        for _ in range(max_attempts):
            try:
                status, reply, _ = await self.post(entry, job, body, timeout_s)
            except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
                status, reply = 0, {}
            if status == 200:
                return self._record_answer(job, reply["State"])
            if status in (429, 503):
                return self._record_answer(job, "refused")
            if status not in (0, 502, 504):
                return self._record_answer(job, "failed")
            results.maybe_accepted.add(job)
            await asyncio.sleep(CLIENT_RETRY_DELAY_S)
            entry = (entry + 1) % len(self._entry_ips)
        return self._record_answer(job, "failed")

    def _record_answer(self, job: str, outcome: str) -> str:
        self.results.answers.append((time.monotonic(), outcome == "completed"))
        match outcome:
            case "completed":
                self.results.completed.add(job)
            case "refused":
                self.results.refused.add(job)
            case _:
                self.results.failed.add(job)
        return outcome

    def violations(self) -> dict[str, list[str]]:
        """Return the violations of each invariant, as names of tasks or jobs.

        `run_twice`: two runs of a task overlapped. `partial`: a job was answered as completed,
        but not all of its tasks were. `not_run_but_ran`: a job was refused, but had started.
        `crashed_many`: a task crashed more runners than the platform allows. `evacuated_start`: a
        task started in an evacuated data centre.
        """
        completed_by_job: dict[str, set[str]] = {}
        for task in self.execution_log.completed_tasks:
            completed_by_job.setdefault(task.split(".")[0], set()).add(task)
        started = {task.split(".")[0] for task in self.execution_log.starts_by_task}
        return {
            "run_twice": sorted(set(self.execution_log.overlapping_tasks)),
            "partial": [
                job
                for job in self.results.completed
                if len(completed_by_job.get(job, ())) < self.tasks_by_job[job]
            ],
            "not_run_but_ran": [
                job
                for job in self.results.refused
                if job in started and job not in self.results.maybe_accepted
            ],
            "crashed_many": [
                task
                for task, crashes in self.execution_log.crashes_by_task.items()
                if crashes > MAX_CRASHES_OF_TASK
            ],
            "evacuated_start": [
                f"{delay_s:.2f} s after the request"
                for delay_s in self.operator.delays_s()
                if delay_s > EVACUATION_BOUND_S
            ],
        }

    def new_job(
        self, tasks: int, run_ms: int, *, fails: bool = False, crashes: bool = False
    ) -> tuple[str, dict]:
        """Return the id and body of a new job; each of its tasks needs one core."""
        job = f"{self.rng.getrandbits(64):016x}"
        self.tasks_by_job[job] = tasks
        specification = {"ms": run_ms, "fails": fails, "crashes": crashes}
        step = {"Count": tasks, "Cpu": 1000, "MemMb": 10, "EstimatedMs": run_ms}
        return job, {
            "Specification": json.dumps(specification),
            "Steps": [step],
            "BestEffort": True,
        }

    async def write_odd_entry(self, rng: random.Random, agent: str) -> None:
        """Write entries that name nothing: a heartbeat to an agent, and a row among the nodes."""
        ip = self._agent_ips[int(agent.rpartition("-")[2])]
        runner = self.runner_by_agent[agent]
        runner_id, document = odd_writer.random_heartbeat(rng, runner.id, runner.describe(), ip)
        url = f"http://{ip}:{CONTROL_PORT}/instances/{runner_id}/heartbeat"
        await odd_writer.post(self.session, url, document)
        row = odd_writer.random_node_row(rng)
        self.store.put(NODES_TABLE, ODD_KEY, base64.b64encode(row.encode()).decode())

    async def _start_node(self, role: str, name: str, ip: str) -> None:
        port = NODE_PORT + (role == "agent")
        proxy = wire_proxy.FaultProxy(f"{ip}:{port + 100}", f"{ip}:{port}")
        await proxy.start()
        self.proxy_by_node[name] = proxy
        path = pathlib.Path(self._config_dir.name) / f"{name}.conf"
        path.write_text(self._node_settings(role, name, ip))
        command = ["daisyfall.platform.node", role, str(path)]
        self.fleet.start(name, command, f"http://{ip}:{READY_PORT}")

    def _node_settings(self, role: str, name: str, ip: str) -> str:
        fields = {
            "NodeName": name,
            "IpAddress": ip,
            "Zone": self._data_centre(name),
            **{f"Zones.{data_centre}": "region" for data_centre in self.data_centres},
            "InternalPortRange": f"{NODE_PORT},{NODE_PORT + 15}",
            "Limits.CpuShare": 0.5,
            "Limits.Cores": 2,
            "HeartbeatMs": int(leased_runner.HEARTBEAT_INTERVAL_S * 1000),
            "Bounds.MaxHoldMs": leased_runner.MAX_LEASE_MS,
            "Bounds.StopMs": 50,
            "Bounds.GraceS": 6,
            "Bounds.ResendMs": int(CLIENT_RETRY_DELAY_S * 1000),
            "Bounds.EvacuationMs": int(EVACUATION_BOUND_S * 1000),
            "platform.Address": self.store_address,
        }
        if role == "entry":
            fields["ListenAddresses.Front"] = f"{ip}:{CALLER_PORT}"
            fields["ListenAddresses.Ready"] = f"{ip}:{READY_PORT}"
        else:
            fields["ListenAddresses.Control"] = f"{ip}:{CONTROL_PORT}"
        return "".join(f"{key}={value}\n" for key, value in fields.items())

    def _data_centre(self, node: str) -> str:
        return self.data_centres[int(node.rpartition("-")[2]) % len(self.data_centres)]

    def _store_application(self) -> web.Application:
        self.store.transform_row = self._with_proxy_address
        return self.store.application()

    def _with_proxy_address(self, row: dict) -> dict:
        """Return a row; one of the nodes table gets the proxy's address in place of the node's."""
        proxy = self.proxy_by_node.get(row["Key"])
        if row["Table"] != NODES_TABLE or "Value" not in row or proxy is None:
            return row
        node = json.loads(base64.b64decode(row["Value"]))
        node["address"] = proxy.listen
        return {**row, "Value": base64.b64encode(json.dumps(node).encode()).decode()}

    async def _start_runner(self, name: str, runner: leased_runner.FakeLeasedRunner) -> None:
        ip = self._agent_ips[int(name.rpartition("-")[2])]
        runner.address = f"{ip}:{RUNNER_PORT}"
        listener = await self._serve(runner.application(), runner.address)
        self._background_tasks.append(
            asyncio.create_task(_listener.close_while_refusing(listener, runner))
        )
        self._background_tasks.append(asyncio.create_task(runner.run_until_cancelled()))
        send_heartbeats = runner.send_heartbeats(self.session, f"{ip}:{CONTROL_PORT}")
        self._background_tasks.append(asyncio.create_task(send_heartbeats))

    async def _serve(self, application: web.Application, address: str) -> _listener.Listener:
        server = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await server.setup()
        self._exit_stack.push_async_callback(server.cleanup)
        listener = _listener.Listener(server, address)
        await listener.open()
        return listener


def _route_config(prefix: str) -> dict:
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
