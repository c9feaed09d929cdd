"""Fake of an upstream's runner.

It runs a task by sleeping for `payload["run_ms"]` and returns the payload as the
result. It counts the starts of each task id, since only the runner can detect a
task that was started twice. It also counts by `payload["token"]`, which the buyer
chooses and which therefore stays the same if a dispatcher assigns a new task id.

The runner protocol has no cancel request: a task stops and frees its slot when
the connection of its request is closed.
"""

import asyncio
import collections
import json
import random
from typing import Any

import aiohttp
import attrs
from aiohttp import web

from daisyfall_standins import _server

_ANNOUNCE_TIMEOUT_SECONDS = 2.0


@attrs.frozen
class Settings:
    """Settings of one runner; with an empty `agent_url` it isn't announced to an agent."""

    id: str = "runner"
    agent_url: str = ""
    slots: int = 8
    connections: int = 64
    memory_mb: int = 65536
    accelerators: int = 0
    labels: list[str] = attrs.Factory(list)
    announce_ms: float = 1000.0
    link_delay_ms: float = 0.0
    journal: str = ""  # file for `[task_id, token]` of each start, which survives a kill
    seed: int = 0


@attrs.frozen
class Switches:
    """Faults, set at run time; all but the link delay apply to a `share` of the tasks.

    `straggler` multiplies run times. `fail_everything` answers 422 after the start.
    `hang` blocks a started task until the switches change. `reset` closes the
    connection after the start. `refuse` answers 503 without a start.
    """

    straggler: float = attrs.field(default=1.0, validator=attrs.validators.gt(0))
    fail_everything: bool = False
    hang: bool = False
    reset: bool = False
    refuse: bool = False
    link_delay_ms: float = attrs.field(default=0.0, validator=attrs.validators.ge(0))
    share: float = attrs.field(
        default=1.0, validator=[attrs.validators.ge(0), attrs.validators.le(1)]
    )


@attrs.frozen
class TaskRequest:
    """Body of `POST /v1/tasks`; fields beyond these are ignored."""

    task_id: str
    kind: str
    payload: Any


class StartCounts:
    """Counts started, running and refused tasks."""

    def __init__(self, journal: str = ""):
        # Unbuffered, so that a start is in the file before the task runs.
        self._journal = open(journal, "ab", buffering=0) if journal else None  # noqa: SIM115
        self.count_by_id: collections.Counter[str] = collections.Counter()
        self.count_by_token: collections.Counter[str] = collections.Counter()
        self.running = 0
        self.most_running = 0
        self.refused = 0

    def record_start(self, task: "TaskRequest") -> None:
        """Count a start and write it to the journal."""
        token = str(task.payload.get("token", "")) if isinstance(task.payload, dict) else ""
        if self._journal is not None:
            self._journal.write(json.dumps([task.task_id, token]).encode() + b"\n")
        self.count_by_id[task.task_id] += 1
        if token:
            self.count_by_token[token] += 1
        self.running += 1
        self.most_running = max(self.most_running, self.running)

    def as_body(self, *, with_ids: bool) -> dict:
        """Return the response body of `GET /v1/starts`."""
        body = {
            "total": self.count_by_id.total(),
            "repeated": [key for key, count in self.count_by_id.items() if count > 1],
            "running": self.running,
            "most_running": self.most_running,
            "refused": self.refused,
        }
        if with_ids:
            body |= {"count_by_id": self.count_by_id, "count_by_token": self.count_by_token}
        return body


class Runner:
    """The runner's HTTP protocol."""

    stops_on_disconnect = True

    def __init__(self, settings: Settings):
        self.settings = settings
        self.switches = Switches(link_delay_ms=settings.link_delay_ms)
        self.starts = StartCounts(settings.journal)
        self._open_requests = 0
        self._slots = asyncio.Semaphore(settings.slots)
        self._switches_changed = asyncio.Event()
        self._random = random.Random(settings.seed)

    def application(self) -> web.Application:
        """See `_server.StandIn.application`."""
        application = _server.new_application()
        application.router.add_post("/v1/tasks", self._run)
        application.router.add_get("/v1/starts", self._show_starts)
        application.router.add_put("/v1/fault", self._switch)
        return application

    async def announce(self, url: str) -> None:
        """Announce the runner at `url` to its agent periodically until cancelled."""
        settings = self.settings
        body = {
            "id": settings.id,
            "url": url,
            "slots": settings.slots,
            "connections": settings.connections,
            "memory_mb": settings.memory_mb,
            "accelerators": settings.accelerators,
            "labels": settings.labels,
        }
        timeout = aiohttp.ClientTimeout(total=_ANNOUNCE_TIMEOUT_SECONDS)
        announce_url = f"{settings.agent_url.rstrip('/')}/v1/announce"
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                try:
                    async with session.post(announce_url, json=body) as response:
                        await response.read()
                except (aiohttp.ClientError, TimeoutError):
                    pass  # The agent is down; the next announcement is the retry.
                await asyncio.sleep(settings.announce_ms / 1000)

    async def _show_starts(self, request: web.Request) -> web.Response:
        return web.json_response(self.starts.as_body(with_ids="ids" in request.query))

    async def _switch(self, request: web.Request) -> web.Response:
        self.switches = await _server.read_body(request, Switches)
        self._switches_changed.set()
        self._switches_changed = asyncio.Event()
        return web.json_response(attrs.asdict(self.switches))

    async def _run(self, request: web.Request) -> web.Response:
        task = _parse_task(await request.json())
        await self._wait_link_delay()
        # A caller has one request at a time on a connection, so open requests are connections.
        is_full = self._open_requests >= self.settings.connections
        is_affected = self._random.random() < self.switches.share
        if is_full or (is_affected and self.switches.refuse):
            self.starts.refused += 1
            response = web.json_response({"started": False}, status=503)
        else:
            response = await self._run_in_slot(request, task, is_affected=is_affected)
        await self._wait_link_delay()
        return response

    async def _run_in_slot(self, request, task: TaskRequest, *, is_affected: bool) -> web.Response:
        self._open_requests += 1
        try:
            async with self._slots:
                self.starts.record_start(task)
                try:
                    return await self._execute(request, task, is_affected=is_affected)
                finally:
                    self.starts.running -= 1
        finally:
            self._open_requests -= 1

    async def _execute(self, request, task: TaskRequest, *, is_affected: bool) -> web.Response:
        switches = self.switches if is_affected else Switches()
        if switches.reset:
            return _server.close_connection(request)
        if switches.hang:
            await self._switches_changed.wait()
        if switches.fail_everything:
            return web.json_response({"error": "the runner fails every task"}, status=422)
        if not isinstance(task.payload, dict) or "run_ms" not in task.payload:
            error = f"payload has no run_ms: {task.payload!r}"
            return web.json_response({"error": error}, status=422)
        run_seconds = task.payload["run_ms"] / 1000 * switches.straggler
        if run_seconds > 0:
            await asyncio.sleep(run_seconds)
        return web.json_response({"result": task.payload})

    async def _wait_link_delay(self) -> None:
        if self.switches.link_delay_ms > 0:
            await asyncio.sleep(self.switches.link_delay_ms / 1000)


class RunnerServer(_server.Server):
    """Serves a runner and announces it to its agent."""

    _announce_task: asyncio.Task | None = None

    async def start(self) -> "RunnerServer":
        """Start to listen and to announce the runner."""
        await super().start()
        if self.stand_in.settings.agent_url:
            self._announce_task = asyncio.create_task(self.stand_in.announce(self.url))
        return self

    async def stop(self) -> None:
        """Stop announcing and close all connections."""
        if self._announce_task is not None:
            self._announce_task.cancel()
        await super().stop()


def _parse_task(body: Any) -> TaskRequest:
    try:
        return TaskRequest(str(body["task_id"]), str(body["kind"]), body.get("payload"))
    except (KeyError, TypeError, AttributeError) as error:
        raise web.HTTPBadRequest(text=f"body is not a task: {error!r}") from error


async def start(settings: Settings, host: str = "127.0.0.1", port: int = 0) -> RunnerServer:
    """Start a runner in the running event loop; a process may have several."""
    return await RunnerServer(Runner(settings), host, port).start()
