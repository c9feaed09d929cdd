"""A small deployment on loopback: the system's programs as processes, all else as stand-ins.

A case calls `main` with its play, which returns the breaches of its rule. Each machine has a
loopback address of its own. Everything that was sent, answered and run is written to a record.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time
import traceback

import aiohttp
from aiohttp import web

import network
import runner as runners

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT_PORT, READY_PORT, CONTROL_PORT, RUNNER_PORT, STORE_PORT = 8161, 8167, 8166, 8165, 8169
NODE_PORT, RELAY_PORT = 7720, 7920
HOST, PREFIX = "nony24.example", "/lohu930/"
RESEND_S = 1.3
READY_LIMIT_S = 25.0
SETTLE_S = 3.5
BROKEN, HELD, NOT_RUN = 1, 0, 2


class World:
    """One deployment; `trouble` tells whether the disruption is played."""

    def __init__(self, record, seed, fronts, sides, *, trouble):
        self.rng = random.Random(seed)
        self.trouble = trouble
        self.service, self.zone = "huvo11a", "quito-a"
        self.network = network.Network()
        self.late_by = lambda runner, body: 0.0
        self.late_paths = ("/run-start",)
        self.is_guarded = True
        self.kinds = ["a"]
        self.cpu_by_job = {}
        self.on_start = lambda runner, run: None
        self.breaches = []
        self.running = {}
        self.starts = []
        self.ends = []
        self._record = record
        self._origin = time.monotonic()
        self._fronts, self._sides = fronts, sides
        self.front_names = [f"front-quito-a-{n + 1}" for n in range(fronts)]
        self.side_names = [f"side-quito-a-{n + 1}" for n in range(sides)]
        self.process_by_name = {}
        self.runner_by_side = {}
        self._tasks = set()

    # Time and record.

    def now(self):
        """Return the seconds since the start of the play."""
        return time.monotonic() - self._origin

    def note(self, text):
        """Write a line to the record."""
        self._record.write(f"{self.now():9.3f} {text}\n")

    async def sleep(self, seconds):
        """Wait."""
        await asyncio.sleep(seconds)

    def spawn(self, coroutine):
        """Run a coroutine beside the play."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # What the runners do.

    def has_room(self, runner, task):
        """Return whether a runner that guards its capacity has room for a task."""
        if not self.is_guarded:
            return True
        used = sum(self.cpu_by_job.get(name.split(".")[0], 0) for name in runner.runs)
        return used + self.cpu_by_job.get(task.split(".")[0], 0) <= runners.CPU

    def note_start(self, runner, run, *, is_late):
        """Record a start, after all ends that are due."""
        for each in self.runner_by_side.values():
            each.advance()
        others = self.running.setdefault(run.task, {})
        late = " (a late order)" if is_late else ""
        self.note(f"{runner.name} starts {run.task} run {run.number}{late}")
        self.starts.append((self.now(), runner.name, run.task, run.number))
        for (name, number), started in others.items():
            self.breaches.append(
                f"{run.task}: run {run.number} starts at {runner.name} at {self.now():.3f} s{late}, "
                f"run {number} is running at {name} since {started:.3f} s"
            )
            self.note(f"BROKEN {self.breaches[-1]}")
        others[runner.name, run.number] = self.now()
        self.on_start(runner, run)

    def note_end(self, runner, run, how, _ended_ms):
        """Record an end."""
        self.note(f"{runner.name} ends {run.task} run {run.number} {how}")
        self.ends.append((self.now(), runner.name, run.task, run.number, how))
        self.running.get(run.task, {}).pop((runner.name, run.number), None)

    # Callers.

    def new_id(self):
        """Return an id for a job."""
        return f"{self.rng.getrandbits(64):016x}"

    async def call(self, method, front, job, body=None, wait_s=10.0):
        """Send one request to a front; return its status and body, status 0 without an answer."""
        url = f"http://{self.ip_by_name[front]}:{FRONT_PORT}{PREFIX}{job}"
        headers = {"Host": HOST, "X-Deadline-Remaining-Ms": str(int(wait_s * 1000))}
        self.note(f"client {method} {job} to {front}")
        sent_at = self.now()
        try:
            timeout = aiohttp.ClientTimeout(total=wait_s)
            async with self.session.request(method, url, json=body, headers=headers, timeout=timeout) as reply:
                text = await reply.text()
                # The answer takes as long as all else that the front sends.
                on_its_way_s = self.network.delay_s(front, "client")
                left_s = sent_at + wait_s - self.now()
                await self.sleep(min(on_its_way_s, max(left_s, 0.0)))
                if on_its_way_s > left_s:
                    raise TimeoutError
                self.note(f"client {method} {job} answered by {front}: {reply.status} {text}")
                return reply.status, text
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.note(f"client {method} {job} not answered by {front}: {type(error).__name__}")
            return 0, ""

    async def submit(self, job, body, wait_s, attempts=3, front=None):
        """Hand in a job as the platform's clients do; return the last status."""
        status = 0
        front = front or self.rng.choice(self.front_names)
        for _ in range(attempts):
            status, _ = await self.call("POST", front, job, body, wait_s)
            if status not in (0, 502, 504):
                break
            await self.sleep(RESEND_S)
            front = self.rng.choice(self.front_names)
        return status

    def job(self, steps):
        """Return the id and body of a job; the run time of its tasks is the specification.

        `steps` has rows of count, cpu, ms, and the steps before.
        """
        job, run_ms = self.new_id(), steps[0][2]
        self.cpu_by_job[job] = steps[0][1]
        rows = [
            {"Count": count, "Cpu": cpu, "MemMb": 16, "EstimatedMs": ms} | ({"After": after} if after else {})
            for count, cpu, ms, after in steps
        ]
        return job, {"Specification": str(run_ms), "Steps": rows, "BestEffort": True}

    # Processes.

    def signal(self, name, number):
        """Send a signal to a process of the system."""
        self.note(f"signal {signal.Signals(number).name} to {name}")
        self.process_by_name[name].send_signal(number)

    def kill(self, name):
        """Kill a process of the system."""
        self.signal(name, signal.SIGKILL)
        self.process_by_name[name].wait()

    def launch(self, name):
        """Start a process of the system with the command of the deploy file."""
        role = "entry" if name in self.front_names else "agent"
        # Like the platform, which puts target/deps on Python's path.
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment |= {"PYTHONPATH": str(ROOT / "target/deps"), "DAISYFALL_NODE_FILE": str(self._dir / f"{name}.conf")}
        with (self._dir / f"{name}.log").open("ab") as log:
            self.process_by_name[name] = subprocess.Popen(
                ["python3", "deploy/node.py", role], cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT
            )
        self.note(f"process {name} started")

    @contextlib.asynccontextmanager
    async def run(self):
        """Start the deployment, and end all of it afterwards."""
        async with contextlib.AsyncExitStack() as stack:
            self._dir = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="review-")))
            stack.callback(self._keep_logs)
            stack.callback(self._end_processes)
            stack.callback(self._end_tasks)
            connector = aiohttp.TCPConnector(limit=0, force_close=True)
            self.session = await stack.enter_async_context(aiohttp.ClientSession(connector=connector))
            self._choose_addresses()
            self.store = network.Store()
            await self._serve(stack, self.store.application(), self._store_ip, STORE_PORT)
            self._configure()
            stack.callback(self.network.close)
            names = self.front_names + self.side_names
            for name in names:
                ip = self.ip_by_name[name]
                port = NODE_PORT + (name in self.side_names)
                server = await self.network.relay(name, (ip, RELAY_PORT), (ip, port), names)
                stack.callback(server.close)
                self.store.addresses[name] = f"{ip}:{RELAY_PORT}"
                (self._dir / f"{name}.conf").write_text(self._settings(name, ip))
            for index, name in enumerate(self.side_names):
                ip = self.ip_by_name[name]
                labels = [self.kinds[index % len(self.kinds)], f"r1-{index // 3 + 1}"]
                runner = runners.Runner(self, name, f"{ip}:{RUNNER_PORT}", f"{ip}:{CONTROL_PORT}", labels)
                self.runner_by_side[name] = runner
                await runner.serve(stack)
                self.spawn(runner.beat(self.session))
            for name in names:
                self.launch(name)
            await self._wait_ready()
            self.spawn(self._tick())
            yield self

    async def _tick(self):
        while True:
            for each in self.runner_by_side.values():
                each.advance()
            await self.sleep(0.01)

    async def _serve(self, stack, application, ip, port):
        server = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await server.setup()
        stack.push_async_callback(server.cleanup)
        await web.TCPSite(server, ip, port, backlog=512).start()

    def _choose_addresses(self):
        """Take a part of 127.0.0.0/8 that no other play uses."""
        pid = os.getpid()
        part = f"127.{pid % 200 + 20}.{pid // 200 % 250 + 1}"
        self._store_ip = f"{part}.250"
        names = self.front_names + self.side_names
        self.ip_by_name = {name: f"{part}.{index + 1}" for index, name in enumerate(names)}

    def _configure(self):
        route = {
            "Name": "r-wrr6x73", "Host": HOST, "PathPrefix": PREFIX, "Kind": "unsafe", "TimeoutMs": 1500,
            "TargetLatencyMs": 60, "Priority": 0, "Service": self.service, "MaxAttempts": 3, "Stretch": 1.6,
        }
        service = {
            "Name": self.service, "HealthPath": "/health", "MaxConnections": 64, "Protocol": "h1", "Tls": False,
            "AdmissionCheck": self.is_guarded, "Spare": False,
        }
        limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
        self.store.put("op", "config", {"Version": 7, "Routes": [route], "Services": [service], "Limits": limits})

    def _settings(self, name, ip):
        is_front = name in self.front_names
        fields = {
            "NodeName": name, "Role": "entry" if is_front else "agent", "MachineClass": "front" if is_front else "side",
            "Serves": "front" if is_front else "side", "IpAddress": ip, "Zone": self.zone, "Region": "andes-norte",
            f"Zones.{self.zone}": "andes-norte", "InternalPortRange": f"{NODE_PORT},{NODE_PORT + 15}",
            "Bootstrap": "true", "CountsTowardTolerance": "false",
            "Limits.CpuShare": 0.537 if is_front else 0.645, "Limits.Cores": 2 if is_front else 1,
            "Limits.MemoryMb": 300 if is_front else 168, "Limits.FileDescriptors": 4100, "Limits.LinkMbps": 1000.0,
            "Discovery": "local", "Entry": "vip", "HeartbeatMs": int(runners.HEARTBEAT_S * 1000),
            "Bounds.ContactMs": 3000, "Bounds.AckTimeoutMs": 4000, "Bounds.DrainMs": 2000, "Bounds.GraceS": 6,
            "Bounds.ConfigApplyMs": 2000, "Bounds.MaxHoldMs": runners.MAX_HOLD_MS, "Bounds.StopMs": 50,
            "Bounds.cancel_ms": 3000, "Bounds.visible_ms": 3000, "Bounds.RemoteFactor": 1.5,
            "Bounds.ResendMs": int(RESEND_S * 1000), "Orders": "invocation",
            "platform.Address": f"{self._store_ip}:{STORE_PORT}", "platform.form": "table",
        }
        if is_front:
            fields |= {"ListenAddresses.Front": f"{ip}:{FRONT_PORT}", "ListenAddresses.Ready": f"{ip}:{READY_PORT}"}
        else:
            fields |= {"ListenAddresses.Control": f"{ip}:{CONTROL_PORT}", "app": f"{ip}:{RUNNER_PORT}", "Service": self.service}
        return "".join(f"{key}={value}\n" for key, value in fields.items())

    async def _wait_ready(self):
        deadline = time.monotonic() + READY_LIMIT_S
        for name in self.front_names:
            while not await self._is_ready(name):
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{name} isn't ready")
                await self.sleep(0.05)
        await self.sleep(SETTLE_S)

    async def _is_ready(self, name):
        url = f"http://{self.ip_by_name[name]}:{READY_PORT}/readiness"
        try:
            async with self.session.get(url, timeout=aiohttp.ClientTimeout(total=1)) as reply:
                return reply.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    def _end_tasks(self):
        for task in list(self._tasks):
            task.cancel()

    def _end_processes(self):
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.kill()
        for process in self.process_by_name.values():
            process.wait()

    def _keep_logs(self):
        """Copy the logs of the processes to the folder that LOGS names, if it is set."""
        if target := os.environ.get("LOGS"):
            pathlib.Path(target).mkdir(parents=True, exist_ok=True)
            for log in self._dir.glob("*.log"):
                (pathlib.Path(target) / log.name).write_bytes(log.read_bytes())


def main(folder, play, *, fronts, sides, limit_s=110.0, guarded=True, kinds=("a",)):
    """Play a case and exit: 1 if its rule was broken, 0 if it held, 2 if it couldn't run."""
    # So that the processes are ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    seed = int(os.environ.get("SEED", "1"))

    async def execute(record):
        world = World(record, seed, fronts, sides, trouble=trouble)
        world.is_guarded, world.kinds = guarded, kinds
        async with asyncio.timeout(limit_s):
            async with world.run():
                world.note(f"play begins, seed {seed}, trouble {int(trouble)}")
                await play(world)
        return world

    with (pathlib.Path(folder) / "record.txt").open("w") as record:
        try:
            world = asyncio.run(execute(record))
        except BaseException:
            record.write(traceback.format_exc())
            traceback.print_exc()
            sys.exit(NOT_RUN)
        for breach in world.breaches:
            print(f"BROKEN {breach}")
        verdict = "broken" if world.breaches else "held"
        print(f"the rule {verdict}; {len(world.starts)} starts, {len(world.ends)} ends, {len(world.breaches)} breaches")
        record.write(f"verdict: {verdict}\n")
    sys.exit(BROKEN if world.breaches else HELD)
