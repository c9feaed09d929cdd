"""A small deployment on loopback: the project's programs as processes, and their platform."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import aiohttp
from aiohttp import web

from world import platform

ROOT = pathlib.Path(__file__).resolve().parents[2]
SERVICE = "pedidos"
HOST = "orders.example"
PREFIX = "/slot-reserve/"
FRONT_PORT, READY_PORT, CONTROL_PORT, RUNNER_PORT, STORE_PORT = 8161, 8167, 8166, 8165, 8169
METRICS_PORT = 9464  # of deploy/system.toml
PORT_RANGE = (7720, 7735)
ZONES = ("quito-a", "quito-b", "cayambe", "latacunga")
BOUNDS = {
    "ContactMs": 3000, "AckTimeoutMs": 4000, "DrainMs": 2000, "GraceS": 6, "ConfigApplyMs": 2000,
    "MaxHoldMs": platform.MAX_HOLD_MS, "StopMs": 50, "cancel_ms": 3000, "RemoteFactor": 1.5,
    "LeaseDurationMs": 3000, "ResendMs": 1300,
}
READY_WITHIN_S = 25.0
# Entries agree on the scheduling one within this time.
SETTLE_S = 3.0


class Record:
    """What was sent, answered and run, with seconds since the start of the script."""

    def __init__(self, path):
        self._path = path
        self._lines = []
        self._origin = time.monotonic()
        self.runs = []  # dicts: runner, task, run, began, ended, how

    def now(self) -> float:
        return time.monotonic() - self._origin

    def note(self, text):
        self._lines.append(f"{self.now():9.3f}  {text}\n")

    def save(self):
        """Write the file, at the end only: a slow disk would hold up all stand-ins."""
        self._path.write_text("".join(self._lines))

    def run_began(self, runner, task, number):
        self.runs.append({"runner": runner, "task": task, "run": number, "began": self.now(), "ended": None})
        self.note(f"run began: {task} run {number} on {runner}")

    def run_ended(self, runner, task, number, how):
        for run in self.runs:
            if (run["runner"], run["task"], run["run"]) == (runner, task, number) and run["ended"] is None:
                run["ended"], run["how"] = self.now(), how
        self.note(f"run ended: {task} run {number} on {runner}: {how}")

    def overlaps(self) -> list[tuple[dict, dict]]:
        """Return pairs of runs of one task that were at work at the same time."""
        by_task = {}
        for run in self.runs:
            by_task.setdefault(run["task"], []).append(run)
        end = self.now()
        return [
            (first, second)
            for runs in by_task.values()
            for index, first in enumerate(runs)
            for second in runs[index + 1 :]
            if second["began"] < (first["ended"] if first["ended"] is not None else end)
        ]


class Deployment:
    """`async with Deployment(...)` starts everything, and ends all processes that it started."""

    def __init__(self, record, entries=3, agents=4, seed=1, **runner_options):
        self.record = record
        self.random = random.Random(seed)
        self._network = find_network(entries, agents)
        self.entry_ips = {f"front-{n + 1}": f"{self._network}.{10 + n}" for n in range(entries)}
        self.agent_ips = {f"side-{n + 1}": f"{self._network}.{50 + n}" for n in range(agents)}
        self.store = platform.Store()
        self.store_address = f"{self._network}.200:{STORE_PORT}"
        self.runner_by_agent = {}
        self._runner_options = runner_options
        self._stack = contextlib.AsyncExitStack()
        self.process_by_name = {}
        self._directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self._ready = set(self.entry_ips)
        self._tasks = []

    async def __aenter__(self):
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0, force_close=True))
        )
        self._old_store = await self.serve(self.store.application(), self.store_address)
        self.configure(1)
        for index, (name, ip) in enumerate(self.agent_ips.items()):
            runner = platform.Runner(
                f"runner-{index + 1}", SERVICE, f"{ip}:{RUNNER_PORT}", f"{ip}:{CONTROL_PORT}",
                self.record, ZONES[index % len(ZONES)], **self._runner_options,
            )
            self.runner_by_agent[name] = runner
            await self.serve(runner.application(), runner.address)
        for name in [*self.entry_ips, *self.agent_ips]:
            self.start(name)
        for runner in self.runner_by_agent.values():
            self.spawn(runner.work())
            self.spawn(runner.send_heartbeats(self.session))
        return self

    async def __aexit__(self, *_error):
        for task in self._tasks:
            task.cancel()
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        await self._stack.aclose()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self._directory, ignore_errors=True)

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        return task

    async def serve(self, application, address):
        server = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await server.setup()
        self._stack.push_async_callback(server.cleanup)
        host, _, port = address.partition(":")
        await web.TCPSite(server, host, int(port)).start()
        return server

    async def move_store(self):
        """Serve the store at another address too, and write that into all settings files."""
        self.store_address = f"{self._network}.201:{STORE_PORT}"
        await self.serve(self.store.application(), self.store_address)
        for name, ip in {**self.entry_ips, **self.agent_ips}.items():
            (self._directory / f"{name}.conf").write_text(self._settings(name, ip, name in self.entry_ips))
        self.record.note(f"settings files changed: the store is at {self.store_address}")

    async def close_old_store(self):
        await self._old_store.cleanup()
        self.record.note("the old address of the store refuses connections")

    def configure(self, version, routes=None):
        """Write a configuration as the operator does."""
        self.store.write("op", "config", {
            "Version": version,
            "Routes": routes or [route("slot-reserve", PREFIX)],
            "Services": [{"Name": SERVICE, "AdmissionCheck": True}],
            "Limits": {"MaxBodyBytes": 262_144},
        })

    def start(self, name):
        """Start the process of a host with the command of the deploy file."""
        is_entry = name in self.entry_ips
        ip = (self.entry_ips if is_entry else self.agent_ips)[name]
        path = self._directory / f"{name}.conf"
        path.write_text(self._settings(name, ip, is_entry))
        command = self._roles["entry" if is_entry else "agent"]["run"].split()
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["DAISYFALL_NODE_FILE"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        log = open(self._directory / f"{name}.log", "ab")
        self.process_by_name[name] = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        self.record.note(f"process started: {name}")

    def signal(self, name, number):
        self.process_by_name[name].send_signal(number)
        self.record.note(f"{signal.Signals(number).name} to {name}")

    def log_of(self, name) -> str:
        return (self._directory / f"{name}.log").read_text(errors="replace")

    def _settings(self, name, ip, is_entry) -> str:
        number = int(name.rpartition("-")[2]) - 1
        seeds = ",".join(f"{each}:{CONTROL_PORT}" for each in list(self.agent_ips.values())[:3])
        fields = {
            "NodeName": name, "Role": "entry" if is_entry else "agent",
            "MachineClass": "front" if is_entry else "side", "Serves": "front" if is_entry else "side",
            "IpAddress": ip, "Zone": ZONES[number % len(ZONES)], "Region": "andes-norte",
            **{f"Zones.{zone}": "andes-norte" for zone in ZONES},
            "InternalPortRange": f"{PORT_RANGE[0]},{PORT_RANGE[1]}", "Seeds": seeds, "Bootstrap": "true",
            "Limits.CpuShare": 0.537 if is_entry else 0.645, "Limits.Cores": 2 if is_entry else 1,
            "Limits.MemoryMb": 300 if is_entry else 168, "Limits.FileDescriptors": 4100,
            "Discovery": "local", "Entry": "vip", "HeartbeatMs": int(platform.HEARTBEAT_S * 1000),
            "Contracts": "base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
            **{f"Bounds.{key}": value for key, value in BOUNDS.items()},
            "Orders": "invocation", "platform.Address": self.store_address, "platform.form": "table",
            "platform.WritesPerS": 800, "platform.ReadsPerS": 2000, "platform.RowBytes": 65536,
            "platform.Across": "false", "platform.HistoryS": 20,
        }
        if is_entry:
            fields["ListenAddresses.Front"] = f"{ip}:{FRONT_PORT}"
            fields["ListenAddresses.Ready"] = f"{ip}:{READY_PORT}"
        else:
            fields["ListenAddresses.Control"] = f"{ip}:{CONTROL_PORT}"
        return "".join(f"{key}={value}\n" for key, value in fields.items())

    async def wait_ready(self):
        """Wait until every entry is ready and has settled; then probe as the platform does."""
        async with asyncio.timeout(READY_WITHIN_S):
            for name in self.entry_ips:
                while not await self._is_ready(name):
                    await asyncio.sleep(0.1)
        self.spawn(self._probe())
        await asyncio.sleep(SETTLE_S)
        self.record.note("all entries are ready")

    async def _is_ready(self, name) -> bool:
        url = f"http://{self.entry_ips[name]}:{READY_PORT}/readiness"
        try:
            async with asyncio.timeout(0.9), self.session.get(url) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _probe(self):
        """Probe readiness each second; two misses take a node out of rotation."""
        misses = dict.fromkeys(self.entry_ips, 0)
        while True:
            await asyncio.sleep(1.0)
            found = await asyncio.gather(*map(self._is_ready, self.entry_ips))
            for name, is_ready in zip(self.entry_ips, found, strict=True):
                misses[name] = 0 if is_ready else misses[name] + 1
                in_rotation = misses[name] < 2
                if in_rotation != (name in self._ready):
                    self.record.note(f"{name} is {'in' if in_rotation else 'out of'} rotation")
                    (self._ready.add if in_rotation else self._ready.discard)(name)

    def pick(self, *, other_than=()) -> str:
        """Return the node to which the platform forwards a new connection."""
        ready = [name for name in self.entry_ips if name in self._ready and name not in other_than]
        return self.random.choice(ready or list(self.entry_ips))

    async def call(self, method, entry, path, *, body=None, wait_s=None) -> int:
        """Send a request as a client; return the status, 0 without an answer."""
        headers = {"Host": HOST}
        if wait_s is not None:
            headers["X-Deadline-Remaining-Ms"] = str(int(wait_s * 1000))
        url = f"http://{self.entry_ips[entry]}:{FRONT_PORT}{path}"
        self.record.note(f"client sends {method} {path} to {entry}")
        try:
            async with asyncio.timeout((wait_s or 5.0) + 0.1):
                async with self.session.request(method, url, json=body, headers=headers) as answer:
                    text = (await answer.text())[:120]
                    self.record.note(f"client gets {answer.status} for {method} {path}: {text}")
                    return answer.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.record.note(f"client gets no answer for {method} {path}: {type(error).__name__}")
            return 0

    def new_id(self) -> str:
        return f"{self.random.getrandbits(64):016x}"


def step(count, ms, cpu=1600, **fields) -> dict:
    return {"Count": count, "Cpu": cpu, "MemMb": 64, "EstimatedMs": ms, **fields}


def job(ms, steps, cpu=1600) -> dict:
    return {"Specification": json.dumps({"ms": ms, "cpu": cpu}), "Steps": steps, "BestEffort": True}


def route(name, prefix, service=SERVICE) -> dict:
    return {
        "Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": "unsafe", "TimeoutMs": 30_000,
        "TargetLatencyMs": 500, "Priority": 0, "Service": service, "MaxAttempts": 3, "Stretch": 2.0,
    }


def find_network(entries, agents) -> str:
    """Return the first three octets of loopback addresses whose ports are free."""
    generator = random.Random(os.getpid() * 1_000_003 + time.time_ns())
    wanted = [(10 + n, port) for n in range(entries) for port in (FRONT_PORT, READY_PORT, METRICS_PORT, PORT_RANGE[0])]
    wanted += [(50 + n, port) for n in range(agents) for port in (RUNNER_PORT, CONTROL_PORT, METRICS_PORT, PORT_RANGE[0] + 1)]
    wanted += [(200, STORE_PORT), (201, STORE_PORT)]
    for _ in range(50):
        network = f"127.{generator.randint(20, 250)}.{generator.randint(1, 250)}"
        with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
            for octet, port in wanted:
                probe = stack.enter_context(socket.socket())
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind((f"{network}.{octet}", port))
            return network
    raise OSError("no free loopback addresses")


def main(play, folder, limit_s=110):
    """Run `play(record, has_trouble)`, which returns whether the rule held; exit as run.sh does."""
    record = Record(pathlib.Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"start, {'with' if has_trouble else 'without'} the disruption")

    async def limited():
        async with asyncio.timeout(limit_s):
            return await play(record, has_trouble)

    # An interrupted script still ends its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        held = asyncio.run(limited())
    except BaseException as error:  # the case couldn't run, whatever the reason
        record.note(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        record.save()
        raise SystemExit(2) from error
    record.save()
    print("held" if held else "broken")
    raise SystemExit(0 if held else 1)
