"""A pool agent in this process with a fake runner, and entries that dial it."""

import asyncio
import contextlib

import pool_stand_ins
import websockets

from daisyfall import _clock, _codec, _pool_wire
from daisyfall.connection import _link
from daisyfall.process import (
    _link_timing,
    _pool_agent,
    _pool_metrics,
    _pool_settings,
)
from daisyfall_standins import processes

ADDRESS = processes.HOST
CPU = 16_000


class FakeEntry:
    """Entry with one link to the agent; counts the messages of both sides."""

    def __init__(self, name: str, *, schedules: bool = False, revision: int = _pool_wire.REVISION):
        self.name = name
        self.schedules = schedules
        self.revision = revision
        self.sends_heartbeats = True
        self.received: list = []
        self.heartbeats_sent = 0
        self.link: _link.Link | None = None
        self._task: asyncio.Task | None = None

    async def dial(self, port: int) -> None:
        handshake = pool_stand_ins.handshake(
            _pool_wire.ROLE_ENTRY, self.name, revision=self.revision
        )
        self.link = await _link.dial(f"{ADDRESS}:{port}", handshake, lambda _: None)
        self.set_timing(has_tasks=self.schedules)
        self.link.send(self._heartbeat())
        self._task = asyncio.create_task(self.link.serve(self.received.append, self._heartbeat))

    def set_timing(self, *, has_tasks: bool) -> None:
        self.link.set_timing(
            _link_timing.to_agent(
                pool_stand_ins.BOUNDS,
                is_scheduling=False,
                has_tasks=has_tasks,
                revision=self.revision,
            )
        )

    def order(self, task: str, *, held_up_s: float = 0.0) -> None:
        """Order a task as if the order had been held up on its way."""
        self.set_timing(has_tasks=True)
        self.last_sent_at = _clock.monotonic()
        now_ms = round((self.last_sent_at - held_up_s) * 1000)
        job = task.split(".", maxsplit=1)[0]
        self.link.send(
            _pool_wire.RunTask(task, 1, job, "{}", 1000, 10, 0, 5000.0, 100, True, now_ms)
        )

    def fall_silent(self) -> None:
        """Send nothing more, without closing the connection."""
        self.link.set_timing(_link.HeartbeatTiming(1000.0, 1000.0))

    def messages(self, kind: type) -> list:
        return [message for message in self.received if isinstance(message, kind)]

    async def close(self) -> None:
        self.link.abort("the test ends")
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    def _heartbeat(self):
        self.heartbeats_sent += 1
        self.last_sent_at = _clock.monotonic()
        return _pool_wire.Heartbeat(self.schedules, round(_clock.monotonic() * 1000))


class AgentWorld:
    """One agent; `start` returns once its runner answers."""

    def __init__(self) -> None:
        self.metrics = _pool_metrics.PoolMetrics()
        self.entries: dict[str, FakeEntry] = {}

    async def start(self) -> "AgentWorld":
        self.port = processes.free_port()
        settings = _pool_settings.AgentSettings(
            id="agent-1",
            incarnation="life-1",
            data_centre="dc",
            address=ADDRESS,
            port=self.port,
            cores=1.0,
            started_ms=1,
            bounds=pool_stand_ins.BOUNDS,
            max_drain_s=0.1,
            heartbeat_s=1000.0,
        )
        self.agent = _pool_agent.PoolAgent(settings, self._connect, self.metrics)
        self._stop = asyncio.Event()
        self._task = asyncio.create_task(self.agent.run(self._stop))
        self.agent.handle_heartbeat(pool_stand_ins.runner_heartbeat(CPU))
        await asyncio.sleep(0.2)
        return self

    def _connect(self, heartbeat):
        self.runner = pool_stand_ins.FakeRunner(heartbeat)
        return self.runner

    async def dial(self, name: str, **properties) -> FakeEntry:
        entry = self.entries[name] = FakeEntry(name, **properties)
        await entry.dial(self.port)
        return entry

    async def send_raw(self, frame: bytes | str) -> None:
        """Send one frame after a valid handshake, and wait until the agent ends the link."""
        handshake = pool_stand_ins.handshake(_pool_wire.ROLE_ENTRY, "raw")
        async with websockets.connect(
            f"ws://{ADDRESS}:{self.port}", compression=None, proxy=None
        ) as socket:
            await socket.send(_codec.encode(handshake))
            await socket.send(frame)
            with contextlib.suppress(websockets.ConnectionClosed):
                async with asyncio.timeout(2):
                    while True:
                        await socket.recv()

    def count(self, metric: str) -> float:
        """Return the sum of a counter over its labels."""
        return sum(
            sample.value
            for family in self.metrics.registry.collect()
            for sample in family.samples
            if sample.name == f"daisyfall_{metric}_total"
        )

    async def stop(self) -> None:
        for entry in self.entries.values():
            await entry.close()
        self._stop.set()
        await self._task
