"""Fixture that connects an agent over loopback to fake entries and a fake runner."""

import asyncio
import random

import aiohttp
import attrs
import websockets.asyncio.server
import websockets.exceptions
from aiohttp import web

from daisyfall import _codec, _ids, _wire
from daisyfall.connection import _handshake
from daisyfall.process import _agent, _settings

KEY = "agent-test-key"
# Upper bound for waits on expected events; a passing test never waits this long.
TIMEOUT_SECONDS = 20.0
BUYER = "roca"
SHARD = 3


class FakeEntry:
    """A websockets server that records what the agent sends."""

    def __init__(self, entry_id: str):
        self.id = entry_id
        self.port = 0
        self.received: list = []
        self.hellos: list[_wire.Hello] = []
        self.roster: dict[str, str] = {}
        self.socket = None
        self.refuses_connections = False
        self.connection_count = 0  # connections opened so far
        self.open_links = 0  # open connections whose handshake has completed
        self.handshake_threshold = 0  # handshakes are delayed until so many connections were opened
        self._changed = asyncio.Condition()
        self._server = None

    async def start(self) -> None:
        self._server = await websockets.asyncio.server.serve(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        self._server.close()
        await self._server.wait_closed()

    async def cut(self) -> None:
        self.socket.transport.abort()
        await self.wait_for(lambda: self.socket is None, "the link to end")

    async def send(self, message: object) -> None:
        await self.socket.send(_codec.encode(message))

    async def send_roster(self, desired_state: str = "started") -> None:
        await self.send(
            _wire.EntryHeartbeat([list(each) for each in self.roster.items()], 1, desired_state)
        )

    async def wait_for(self, condition, what: str) -> object:
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS), self._changed:
                return await self._changed.wait_for(condition)
        except TimeoutError:
            text = "\n".join(str(message) for message in self.received)
            raise AssertionError(f"entry {self.id} waited for {what}, received\n{text}") from None

    async def wait_message(self, kind: type, condition=lambda _message: True) -> object:
        def find():
            return next((each for each in self.all(kind) if condition(each)), None)

        return await self.wait_for(find, f"a {kind.__name__}")

    async def wait_status(self, **expected) -> None:
        """Wait until the latest status has these field values."""

        def holds():
            statuses = self.all(_wire.AgentStatus)[-1:]
            return any(expected.items() <= attrs.asdict(each).items() for each in statuses)

        await self.wait_for(holds, f"a last status with {expected}")

    def all(self, kind: type) -> list:
        return [message for message in self.received if isinstance(message, kind)]

    def discard_received(self, kind: type) -> None:
        self.received = [message for message in self.received if not isinstance(message, kind)]

    def items(self, job_id: str) -> dict[int, list]:
        """Return the latest result item of each task of the job, by index."""
        items = [item for results in self.all(_wire.Results) for item in results.items]
        return {item[2]: item for item in items if item[1] == job_id}

    async def _serve(self, socket) -> None:
        if self.refuses_connections:
            socket.transport.abort()
            return
        self.connection_count += 1
        await self._record([], None)
        await self.wait_for(
            lambda: self.connection_count >= self.handshake_threshold, "another connection"
        )
        hello = None
        try:
            hello = await _handshake.accept(socket, [KEY], self.id, "fake")
            self.socket = socket
            self.open_links += 1
            await self._record(self.hellos, hello)
            while True:
                message = _codec.decode(await socket.recv())
                await self._record(self.received, message)
        except (websockets.exceptions.ConnectionClosed, _handshake.HandshakeError):
            pass
        finally:
            self.open_links -= hello is not None
            if self.socket is socket:
                self.socket = None
            await self._record([], None)

    async def _record(self, target: list, value: object) -> None:
        async with self._changed:
            target.append(value)
            self._changed.notify_all()


class FakeRunner:
    """Serves the runner's HTTP protocol.

    `mode` selects how a task ends; in mode `hold` tasks run until the event `gate` is set.
    """

    def __init__(self):
        self.mode = "done"
        self.port = 0
        self.called_task_ids: list[str] = []
        self.started_task_ids: list[str] = []
        self.running = 0
        self.max_running = 0
        self.gate = asyncio.Event()
        self.changed = asyncio.Condition()
        self._runner = None

    async def start(self) -> None:
        application = web.Application()
        application.router.add_post("/v1/tasks", self._run)
        self._runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", self.port).start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        await self._runner.cleanup()

    def announcement(self, **changes) -> dict:
        body = {"id": "runner-1", "url": f"http://127.0.0.1:{self.port}", "slots": 8}
        body |= {"connections": 64, "memory_mb": 1024, "accelerators": 0, "labels": ["east"]}
        return body | changes

    async def wait_started(self, count: int) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS), self.changed:
            await self.changed.wait_for(lambda: len(self.started_task_ids) >= count)

    async def _run(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.called_task_ids.append(body["task_id"])
        if self.mode == "refuse":
            return web.json_response({"started": False, "error": "busy"}, status=503)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        async with self.changed:
            self.started_task_ids.append(body["task_id"])
            self.changed.notify_all()
        try:
            return await self._answer(request, body)
        finally:
            self.running -= 1

    async def _answer(self, request: web.Request, body: dict) -> web.Response:
        match self.mode:
            case "fail":
                return web.json_response({"error": "no such shade"}, status=422)
            case "cut":
                request.transport.abort()
            case "cut_body":
                response = web.StreamResponse(headers={"Content-Length": "100"})
                await response.prepare(request)
                await response.write(b'{"result": ')
                request.transport.abort()
                return response
            case "crash":
                return web.json_response({"started": True}, status=503)
            case "redirect":
                return web.Response(status=307, headers={"Location": "/v1/tasks"})
            case "large":
                return web.json_response({"result": "x" * 5_000_000})
            case "garbage":
                return web.Response(text="not JSON")
            case "hold":
                while not self.gate.is_set() and request.transport is not None:
                    await asyncio.sleep(0.002)
        return web.json_response({"result": body["payload"]})


class World:
    """Fixture of one scenario: an agent with its entries and its runner, in one event loop."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.entry_by_id: dict[str, FakeEntry] = {}
        self.runner = FakeRunner()
        self.run(self.runner.start())
        self.agent: _agent.Agent | None = None
        self.stopping: asyncio.Task | None = None
        self.job_by_name: dict[str, str] = {}
        self.epoch = 1

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def close(self) -> None:
        self.run(self._close())
        self.loop.close()

    async def _close(self) -> None:
        self.runner.gate.set()
        if self.agent is not None:
            if self.stopping is None:
                # The scenario may have left a result whose owner can't reconnect.
                self.set_drain_limit(100)
            await self.stop_agent()
        for entry in self.entry_by_id.values():
            await entry.stop()
        await self.runner.stop()

    def set_drain_limit(self, limit_ms: int) -> None:
        runner = attrs.evolve(self.agent.settings.runner, drain_limit_ms=limit_ms)
        self.agent.settings = attrs.evolve(self.agent.settings, runner=runner)

    async def stop_agent(self) -> None:
        if self.stopping is None:
            self.stopping = asyncio.create_task(self.agent.stop())
        await asyncio.wait_for(self.stopping, TIMEOUT_SECONDS)

    async def add_entry(self, entry_id: str) -> FakeEntry:
        entry = FakeEntry(entry_id)
        self.entry_by_id[entry_id] = entry
        await entry.start()
        return entry

    def settings(self, entry: FakeEntry, lease: dict, **runner) -> _settings.Settings:
        # Time-outs must not expire on a slow machine unless a scenario sets them.
        lease = {"heartbeat_limit_ms": 600_000} | lease
        runner = {"announce_limit_ms": 600_000} | runner
        return _settings.Settings(
            role="agent",
            id="agent-1",
            data_centre="quito",
            http=_settings.Address(port=0),
            entries=[f"127.0.0.1:{entry.port}"],
            keys=[KEY],
            lease=_settings.LeaseSettings(**lease),
            runner=_settings.RunnerSettings(**runner),
        )

    async def start_agent(self, entry: FakeEntry, lease: dict, **runner) -> None:
        self.agent = _agent.Agent(self.settings(entry, lease, **runner), random.Random(1))
        await self.agent.start()
        await entry.wait_for(lambda: entry.socket is not None, "a link")

    async def list_agent(self, entry: FakeEntry) -> None:
        """Tell the agent that it is listed in the table."""
        await entry.send(_wire.Listed(self.agent.incarnation))
        await entry.wait_status(listed=True)

    async def announce(self, body: object) -> tuple[int, dict]:
        url = f"http://127.0.0.1:{self.agent.http_port}/v1/announce"
        async with aiohttp.ClientSession() as session, session.post(url, json=body) as response:
            return response.status, await response.json()

    async def wait_until(self, condition, what: str) -> None:
        """Poll until a condition holds that no message announces."""
        deadline = self.loop.time() + TIMEOUT_SECONDS
        while not condition():
            assert self.loop.time() < deadline, f"waited for {what}"
            await asyncio.sleep(0.002)

    def job(self, name: str) -> str:
        return self.job_by_name.setdefault(name, _ids.new_job_id())

    def start_message(self, name: str, indices: list[int], **changes) -> _wire.Start:
        tasks = [[index, "mix", {"index": index}, 50, 0, 0] for index in indices]
        fields = {"shard": SHARD, "epoch": self.epoch, "incarnation": self.agent.incarnation}
        fields |= {"buyer": BUYER, "job_id": self.job(name), "digest": b"d" * 32}
        fields |= {"task_count": 20, "tasks": tasks}
        return _wire.Start(**(fields | changes))
