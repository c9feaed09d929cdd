"""Measure the resource use of one agent process, connected to fake entries in this process.

`python -m daisyfall_standins.measure_agent throughput` sends null tasks to the agent;
`... idle` measures an agent with two links, an announced runner and no tasks.
"""

import asyncio
import json
import os
import pathlib
import subprocess
import sys
import time

import aiohttp
import fire
import uvloop
import websockets.asyncio.server

from daisyfall import _codec, _ids, _wire
from daisyfall.connection import _handshake
from daisyfall.process import _agent, _settings

_KEY = "measure"
_WAIT_TIMEOUT_SECONDS = 10.0
_HEARTBEAT_SECONDS = 1.0
_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
# Size of the Ethernet, IPv4 and TCP headers (with timestamps), to estimate network traffic.
_SEGMENT_HEADER_BYTES = 66


class FakeEntry:
    """Lists the agent, sends it heartbeats and counts results, frames and bytes."""

    def __init__(self, entry_id: str):
        self.id = entry_id
        self.socket = None
        self.incarnation = ""
        self.results = 0
        self.frames = 0
        self.bytes = 0
        self.agent_ready = asyncio.Event()
        self.port = 0
        self.entry_roster: list = []
        self.results_arrived = asyncio.Event()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await websockets.asyncio.server.serve(
            self._serve, "127.0.0.1", 0, max_size=_codec.MAX_MESSAGE_BYTES, compression=None
        )
        self.port = server.sockets[0].getsockname()[1]

    async def send(self, message: object) -> None:
        """Send one message and add it to the counters."""
        frame = _codec.encode(message)
        self._count(frame)
        await self.socket.send(frame)

    async def send_heartbeats(self) -> None:
        """Send the list of entries to the agent at every heartbeat."""
        while True:
            await self.send(_wire.EntryHeartbeat(self.entry_roster, 1, "started"))
            await asyncio.sleep(_HEARTBEAT_SECONDS)

    async def _serve(self, socket) -> None:
        hello = await _handshake.accept(socket, [_KEY], self.id, "measure")
        self.socket, self.incarnation = socket, hello.incarnation
        await self.send(_wire.Listed(hello.incarnation))
        heartbeats = asyncio.create_task(self.send_heartbeats())
        try:
            async for frame in socket:
                self._handle_frame(frame)
        finally:
            heartbeats.cancel()

    def _handle_frame(self, frame: bytes) -> None:
        self._count(frame)
        match _codec.decode(frame):
            case _wire.AgentStatus(ready=True):
                self.agent_ready.set()
            case _wire.Results(items=items):
                self.results += len(items)
                self.results_arrived.set()

    def _count(self, frame: bytes) -> None:
        self.frames += 1
        self.bytes += len(frame)


def _build_settings(entries: list[str], kind: str, port: int) -> _settings.Settings:
    return _settings.Settings(
        role="agent",
        id="agent-1",
        data_centre="quito",
        http=_settings.Address(port=port),
        entries=entries,
        keys=[_KEY],
        runner=_settings.RunnerSettings(kind=kind),
    )


def _spawn(entries: list[FakeEntry], kind: str, port: int) -> subprocess.Popen:
    addresses = ",".join(f"127.0.0.1:{entry.port}" for entry in entries)
    command = [sys.executable, "-m", "daisyfall_standins.measure_agent", "agent"]
    return subprocess.Popen([*command, addresses, kind, str(port)])


def _cpu_seconds(pid: int) -> float:
    stat_fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(stat_fields[11]) + int(stat_fields[12])) / _TICKS_PER_SECOND


def _memory_mb(pid: int) -> float:
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS")) / 1024


async def _send_tasks(entry: FakeEntry, tasks: int, job_tasks: int, window: int) -> None:
    """Send null tasks, `job_tasks` a job, keeping about `window` of them outstanding."""
    sent = 0
    while entry.results < tasks:
        while sent < tasks and sent - entry.results < window:
            items = [[index, "null", None, 0, 0, 0] for index in range(job_tasks)]
            job_id = _ids.new_job_id()
            start = _wire.Start(
                1, 1, entry.incarnation, "buyer", job_id, b"d" * 32, job_tasks, items
            )
            await entry.send(start)
            sent += job_tasks
        entry.results_arrived.clear()
        if entry.results < tasks:
            await asyncio.wait_for(entry.results_arrived.wait(), _WAIT_TIMEOUT_SECONDS)


async def _throughput(tasks: int, job_tasks: int, window: int) -> dict:
    entry = FakeEntry("a")
    await entry.start()
    process = _spawn([entry], "null", 0)
    try:
        await asyncio.wait_for(entry.agent_ready.wait(), _WAIT_TIMEOUT_SECONDS)
        cpu, frames, started_at = _cpu_seconds(process.pid), entry.frames, time.monotonic()
        await _send_tasks(entry, tasks, job_tasks, window)
        seconds = time.monotonic() - started_at
        cpu = _cpu_seconds(process.pid) - cpu
        memory_mb = _memory_mb(process.pid)
    finally:
        process.terminate()
        process.wait()
    return {
        "tasks": tasks,
        "tasks_per_second": round(tasks / seconds),
        "agent_cpu_us_per_task": round(cpu / tasks * 1e6, 1),
        "tasks_per_agent_core_second": round(tasks / cpu),
        "frames_per_task": round((entry.frames - frames) / tasks, 4),
        "agent_rss_mb": round(memory_mb, 1),
    }


async def _send_announcements(port: int) -> None:
    body = {"id": "runner-1", "url": "http://127.0.0.1:9", "slots": 8, "connections": 64}
    body |= {"memory_mb": 65536, "accelerators": 0, "labels": []}
    async with aiohttp.ClientSession() as session:
        while True:
            try:
                async with session.post(
                    f"http://127.0.0.1:{port}/v1/announce", json=body
                ) as response:
                    await response.read()
            except aiohttp.ClientError:
                pass  # The agent is not listening yet.
            await asyncio.sleep(_HEARTBEAT_SECONDS)


async def _idle(seconds: float, port: int) -> dict:
    entries = [FakeEntry("a"), FakeEntry("b")]
    for entry in entries:
        await entry.start()
    for entry in entries:
        entry.entry_roster = [[each.id, f"ws://127.0.0.1:{each.port}"] for each in entries]
    process = _spawn(entries[:1], "http", port)
    announcements = asyncio.create_task(_send_announcements(port))
    try:
        for entry in entries:
            await asyncio.wait_for(entry.agent_ready.wait(), _WAIT_TIMEOUT_SECONDS)
        cpu = _cpu_seconds(process.pid)
        before = [(entry.bytes, entry.frames) for entry in entries]
        await asyncio.sleep(seconds)
        cpu = _cpu_seconds(process.pid) - cpu
        memory_mb = _memory_mb(process.pid)
    finally:
        announcements.cancel()
        process.terminate()
        process.wait()
    payload = sum(entry.bytes for entry in entries) - sum(each[0] for each in before)
    frames = sum(entry.frames for entry in entries) - sum(each[1] for each in before)
    # Without other traffic each frame is acknowledged by a TCP segment of its own.
    network = payload + 2 * frames * _SEGMENT_HEADER_BYTES
    return {
        "seconds": seconds,
        "core_percent": round(cpu / seconds * 100, 2),
        "rss_mb": round(memory_mb, 1),
        "link_kb_per_second": round(network / seconds / 1000, 2),
    }


class Commands:
    """Commands of the tool."""

    def agent(self, entries: str, kind: str, port: int) -> None:
        """Run the agent to be measured; `entries` are addresses separated by commas."""
        addresses = entries.split(",") if isinstance(entries, str) else list(entries)
        uvloop.run(_agent.run(_build_settings(addresses, kind, port)))

    def throughput(self, tasks: int = 200_000, job_tasks: int = 100, window: int = 1000) -> None:
        """Send null tasks to an agent and print its throughput."""
        print(json.dumps(uvloop.run(_throughput(tasks, job_tasks, window))))

    def idle(self, seconds: float = 30.0, port: int = 17_180) -> None:
        """Print the CPU, memory and network use of an idle agent."""
        print(json.dumps(uvloop.run(_idle(seconds, port))))


if __name__ == "__main__":
    fire.Fire(Commands())
