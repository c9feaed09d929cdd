"""An agent over loopback between fake entries (websockets) and a fake runner (aiohttp)."""

import asyncio
import random

import websockets.asyncio.server
import websockets.exceptions
from aiohttp import web

from daisyfall import _ids, _wire
from daisyfall.connection import _handshake
from daisyfall.process import _agent, _settings

KEY = "agent-test-key"
# Bounds a wait for an event that must come; a passing test never waits this long.
BOUND_SECONDS = 20.0
BUYER = "roca"
DIGEST = b"d" * 32


class FakeEntry:
    """A websockets server that records what the agent sends."""

    def __init__(self, entry_id: str):
        self.id = entry_id
        self.port = 0
        self.received: list = []
        self.hellos: list[_wire.Hello] = []
        self.socket = None
        self.is_mute = False
        self._changed = asyncio.Condition()
        self._server = None

    async def start(self) -> None:
        self._server = await websockets.asyncio.server.serve(
            self._serve, "127.0.0.1", self.port, max_size=_wire.MAX_MESSAGE_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
            self._server = None

    async def cut(self) -> None:
        self.socket.transport.abort()
        await self.wait_for(lambda: self.socket is None, "the link to end")

    async def send(self, message: object) -> None:
        await self.socket.send(_wire.encode(message))

    async def wait_for(self, condition, what: str) -> object:
        try:
            async with asyncio.timeout(BOUND_SECONDS), self._changed:
                return await self._changed.wait_for(condition)
        except TimeoutError:
            names = [type(message).__name__ for message in self.received]
            raise AssertionError(f"entry {self.id} waited for {what}, received {names}") from None

    async def wait_message(self, kind: type, condition=lambda _message: True) -> object:
        def find():
            found = [each for each in self.received if isinstance(each, kind) and condition(each)]
            return found[0] if found else None

        return await self.wait_for(find, f"a {kind.__name__}")

    def items(self, job_id: str) -> dict[int, list]:
        results = [each for each in self.received if isinstance(each, _wire.Results)]
        items = [item for result in results for item in result.items]
        return {item[2]: item for item in items if item[1] == job_id}

    async def wait_items(self, job_id: str, count: int) -> dict[int, list]:
        await self.wait_for(lambda: len(self.items(job_id)) >= count, f"{count} results")
        return self.items(job_id)

    async def _serve(self, socket) -> None:
        try:
            hello = await _handshake.accept(socket, [KEY], self.id, "fake")
            self.socket = socket
            await self._note(self.hellos, hello)
            while not self.is_mute:
                await self._note(self.received, _wire.decode(await socket.recv()))
            await socket.wait_closed()
        except (websockets.exceptions.ConnectionClosed, _handshake.HandshakeError):
            pass
        finally:
            if self.socket is socket:
                self.socket = None
            await self._note([], None)

    async def _note(self, place: list, value: object) -> None:
        async with self._changed:
            place.append(value)
            self._changed.notify_all()


class FakeRunner:
    """The runner's HTTP protocol; `mode` says how a task ends, `gate` holds back mode `hold`."""

    def __init__(self):
        self.mode = "done"
        self.port = 0
        self.started: list[str] = []
        self.running = 0
        self.most_running = 0
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
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def announcement(self, **changes) -> dict:
        body = {"id": "runner-1", "url": f"http://127.0.0.1:{self.port}", "slots": 8}
        body |= {"connections": 64, "memory_mb": 1024, "accelerators": 0, "labels": ["east"]}
        return body | changes

    async def wait_started(self, count: int) -> None:
        async with asyncio.timeout(BOUND_SECONDS), self.changed:
            await self.changed.wait_for(lambda: len(self.started) >= count)

    async def _run(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self.mode == "refuse":
            return web.json_response({"started": False, "error": "busy"}, status=503)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        async with self.changed:
            self.started.append(body["task_id"])
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
            case "crash":
                return web.json_response({"started": True}, status=503)
            case "redirect":
                return web.Response(status=307, headers={"Location": "/v1/tasks"})
            case "garbage":
                return web.Response(text="not JSON")
            case "hold":
                await self.gate.wait()
        return web.json_response({"result": body["payload"]})


class World:
    """One event loop with an agent, its entries and its runner; a fixture of a scenario."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.entry_by_id: dict[str, FakeEntry] = {}
        self.runner = self.loop.run_until_complete(self._new_runner())
        self.agent: _agent.Agent | None = None
        self.job_by_name: dict[str, str] = {}
        self.epoch = 1

    async def _new_runner(self) -> FakeRunner:
        runner = FakeRunner()
        await runner.start()
        return runner

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def close(self) -> None:
        self.run(self._close())
        self.loop.close()

    async def _close(self) -> None:
        self.runner.gate.set()
        if self.agent is not None:
            await self.agent.stop()
        for entry in self.entry_by_id.values():
            await entry.stop()
        await self.runner.stop()

    async def add_entry(self, entry_id: str) -> FakeEntry:
        entry = FakeEntry(entry_id)
        self.entry_by_id[entry_id] = entry
        await entry.start()
        return entry

    async def start_agent(self, seeds: list[str], lease: dict, **runner) -> None:
        self.agent = _agent.Agent(
            _settings.Settings(
                role="agent",
                id="agent-1",
                data_centre="quito",
                http=_settings.Address(port=0),
                entries=seeds,
                keys=[KEY],
                lease=_settings.LeaseSettings(**lease),
                runner=_settings.RunnerSettings(**runner),
            ),
            random.Random(1),
        )
        await self.agent.start()

    async def list_agent(self, entry: FakeEntry) -> None:
        """Wait for the link and tell the agent that the table lists it."""
        await entry.wait_for(lambda: entry.socket is not None, "a link")
        await entry.send(_wire.Listed(self.agent.incarnation))
        await entry.wait_message(_wire.AgentStatus, lambda status: status.listed)

    def job(self, name: str) -> str:
        return self.job_by_name.setdefault(name, _ids.new_job_id())

    def start_message(self, name: str, indices: list[int], **changes) -> _wire.Start:
        tasks = [[index, "mix", {"index": index}, 50, 0, 0] for index in indices]
        fields = {"shard": 3, "epoch": self.epoch, "incarnation": self.agent.incarnation}
        fields |= {"buyer": BUYER, "job_id": self.job(name), "digest": DIGEST}
        fields |= {"task_count": 20, "tasks": tasks}
        return _wire.Start(**(fields | changes))
