"""A pool agent in this process with a fake runner, and entries that dial it."""

import asyncio
import contextlib
import socket

from daisyfall import _clock, _codec, _pool_wire
from daisyfall.connection import _link
from daisyfall.policy import _bounds
from daisyfall.process import (
    _leased_runner,
    _link_timing,
    _pool_agent,
    _pool_metrics,
    _pool_settings,
)

BOUNDS = _bounds.derive(1.0, 0.05, 1.3)
ADDRESS = "127.0.0.1"
CPU = 16_000


class FakeRunner:
    """Runner that confirms starts and stops, and runs a task until it is stopped."""

    def __init__(self, _heartbeat):
        self.running: list[str] = []
        self.started: list[str] = []
        self.stopped_at_by_task: dict[str, float] = {}

    async def start(self, order, _timeout_s):
        self.started.append(order.task)
        self.running.append(order.task)
        return _leased_runner.CallOutcome.STARTED, 1.0

    async def stop(self, task, _run, _token, _timeout_s):
        self.stopped_at_by_task.setdefault(task, _clock.monotonic())
        self.running = [each for each in self.running if each != task]
        return True

    async def renew_lease(self, _lease_until_ms, _token, _acknowledged, _wait_ms, _timeout_s):
        await asyncio.sleep(0.05)
        running = tuple(_leased_runner.RunProgress(task, 1, 1) for task in self.running)
        return _leased_runner.RunSnapshot(1.0, 1, running, ())


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
        handshake = _pool_wire.Handshake(
            _pool_wire.ROLE_ENTRY, self.name, "life-1", 1, "dc", 1.0, 1, [], self.revision
        )
        self._socket, self.link = await _link.dial(f"{ADDRESS}:{port}", handshake, lambda _: None)
        self.set_timing(has_tasks=self.schedules)
        self.link.send(self._heartbeat())
        self._task = asyncio.create_task(self.link.serve(self.received.append, self._heartbeat))

    def set_timing(self, *, has_tasks: bool) -> None:
        self.link.set_timing(
            _link_timing.to_agent(
                BOUNDS, is_scheduling=False, has_tasks=has_tasks, revision=self.revision
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
        with socket.socket() as probe:
            probe.bind((ADDRESS, 0))
            self.port = probe.getsockname()[1]
        settings = _pool_settings.AgentSettings(
            id="agent-1",
            incarnation="life-1",
            data_centre="dc",
            address=ADDRESS,
            port=self.port,
            cores=1.0,
            started_ms=1,
            bounds=BOUNDS,
            max_drain_s=0.1,
            heartbeat_s=1000.0,
        )
        self.agent = _pool_agent.PoolAgent(settings, self._connect, self.metrics)
        self._stop = asyncio.Event()
        self._task = asyncio.create_task(self.agent.run(self._stop))
        self.agent.handle_heartbeat(
            _leased_runner.RunnerHeartbeat(
                "i-1", 1, "p", "127.0.0.1:1", CPU, 64_000, 0, (), False, 0, 1
            )
        )
        await asyncio.sleep(0.2)
        return self

    def _connect(self, heartbeat):
        self.runner = FakeRunner(heartbeat)
        return self.runner

    async def dial(self, name: str, **properties) -> FakeEntry:
        entry = self.entries[name] = FakeEntry(name, **properties)
        await entry.dial(self.port)
        return entry

    async def send_raw(self, frame: bytes | str) -> None:
        """Send one frame after a valid handshake, and wait until the agent ends the link."""
        entry = FakeEntry("raw")
        await entry.dial(self.port)
        await entry._socket.send(frame)
        async with asyncio.timeout(2):
            await entry._task

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


def encode(*messages) -> bytes:
    """Return the frame of some messages."""
    return _codec.encode_batch(list(messages))
