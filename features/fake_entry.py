"""Fake entry that serves the HTTP APIs for operators and callers, with injected faults."""

import asyncio
import threading

from aiohttp import web

from daisyfall import _validation, errors
from daisyfall.version import _lists_check

EXAMPLE = "examples/cooperative"
TOKEN = "test-operator-secret"


class FakeEntry:
    """Serves in its own thread; `fault` names the fault injected into the next write."""

    def __init__(self):
        self.fault = ""
        self.requests: list[str] = []
        self.job_ids: list[str] = []
        self.base = {
            name: _validation.read_yaml(f"{EXAMPLE}/{name}.yaml")
            for name in ("plans", "allowances")
        }
        self.lists = {"version": 3, "digest": "d3", "apply_id": "first"} | self.base
        self.history = [{"version": 3, "digest": "d3", "at_ms": 1_796_000_000_000}]
        self.late_reads = 0  # status reads that still show one process at the previous version
        self.upstreams = {"upstream-1": self._upstream("ready", 2)}
        self.failure: errors.Kind | None = None
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self.url = self._run(self._start())

    def close(self) -> None:
        self._run(self._runner.cleanup())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def count(self, request: str) -> int:
        return self.requests.count(request)

    def _run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(20)

    async def _start(self) -> str:
        app = web.Application(middlewares=[self._answer])
        for path, read in (
            ("/v1/lists", lambda: self.lists),
            ("/v1/lists/status", self._status),
            ("/v1/lists/history", lambda: {"versions": self.history}),
            ("/v1/upstreams", lambda: {"upstreams": self._poll_upstreams()}),
            ("/v1/entries", lambda: {"entries": [{"id": "entry-1", "state": "active"}]}),
            ("/v1/owners", lambda: {"owners": [{"shard": 0, "epoch": 2, "owner": "entry-1"}]}),
        ):
            app.router.add_get(path, self._reader(read))
        app.router.add_put("/v1/lists", self._put_lists)
        app.router.add_put("/v1/upstreams/{id}", self._put_upstream)
        app.router.add_delete("/v1/upstreams/{id}", self._delete_upstream)
        app.router.add_post("/v1/jobs", self._job)
        app.router.add_get("/v1/jobs/{id}", self._job_state)
        app.router.add_get("/v1/jobs/{id}/explain", self._job_state)
        app.router.add_delete("/v1/jobs/{id}", self._job_state)
        app.router.add_get("/v1/jobs/{id}/answer", self._job)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        return f"http://127.0.0.1:{self._runner.addresses[0][1]}"

    @web.middleware
    async def _answer(self, request, handler):
        self.requests.append(f"{request.method} {request.path}")
        try:
            if request.headers.get("Authorization") != f"Bearer {TOKEN}":
                raise errors.DispatchError(errors.Kind.UNAUTHORIZED)
            return await handler(request)
        except errors.DispatchError as error:
            status = errors.RESPONSES[error.kind].status
            return web.json_response({"error": error.as_body()}, status=status)

    def _reader(self, read):
        async def handle(_request):
            return web.json_response(read())

        return handle

    def _status(self) -> dict:
        version = self.lists["version"]
        self.late_reads -= 1
        late = version - 1 if self.late_reads >= 0 else version
        processes = [
            {"id": "entry-1", "role": "entry", "version": version},
            {"id": "upstream-1", "role": "agent", "version": late},
        ]
        return {"version": version, "processes": processes}

    def _accept(self, document: dict, apply_id: str) -> dict:
        version = self.lists["version"] + 1
        plans, allowances = document["plans"], document["allowances"]
        accepted = {"version": version, "digest": _lists_check.digest(plans, allowances)}
        self.history.append(accepted | {"at_ms": 1_796_000_000_000 + version})
        self.lists = accepted | {"apply_id": apply_id, "plans": plans, "allowances": allowances}
        return accepted

    async def _put_lists(self, request) -> web.Response:
        body = await request.json()
        fault, self.fault = self.fault, ""
        if fault in ("another edit first", "another edit first, reply lost"):
            self._accept(self.base, "another")
        if body["base_version"] != self.lists["version"]:
            if fault.endswith("reply lost"):
                request.transport.close()
            raised = errors.DispatchError(errors.Kind.VERSION_CONFLICT)
            answer = {"error": raised.as_body(), "diff": ["plan trial: slots 8 -> 9"]}
            return web.json_response(answer, status=409)
        if fault != "lost before it was accepted":
            accepted = self._accept(body, body["apply_id"])
        if fault == "accepted, superseded, reply lost":
            self._accept(self.base, "another")
        if fault == "accepted, write_unknown":
            raise errors.DispatchError(errors.Kind.WRITE_UNKNOWN)
        if fault:
            request.transport.close()
            return web.Response()
        return web.json_response(accepted)

    def _upstream(self, state: str, running: int) -> dict:
        row = {"id": "upstream-1", "state": state, "wish": "started", "data_centre": "cayambe"}
        return row | {"slots": 8, "running": running, "queued": 0, "lists_version": 3}

    def _poll_upstreams(self) -> list[dict]:
        for row in self.upstreams.values():
            if row["wish"] != "started":
                row["running"] = max(0, row["running"] - 1)
                row["state"] = "draining" if row["running"] else "drained"
        return [dict(row) for row in self.upstreams.values()]

    async def _put_upstream(self, request) -> web.Response:
        row = self.upstreams.get(request.match_info["id"])
        if row is None:
            raise errors.DispatchError(errors.Kind.NOT_FOUND)
        row["wish"] = (await request.json())["wish"]
        return self._finish_write(request, row)

    async def _delete_upstream(self, request) -> web.Response:
        row = self.upstreams.pop(request.match_info["id"], None)
        if row is None:
            raise errors.DispatchError(errors.Kind.NOT_FOUND)
        return self._finish_write(request, row)

    def _finish_write(self, request, row: dict) -> web.Response:
        if self.fault:
            self.fault = ""
            request.transport.close()
        return web.json_response(row)

    async def _job(self, request) -> web.Response:
        job_id = request.match_info.get("id") or (await request.json())["job_id"]
        self.job_ids.append(job_id)
        fault, self.fault = self.fault, ""
        if fault:
            request.transport.close()
        if self.failure:
            error = errors.DispatchError(self.failure)
            status = errors.RESPONSES[self.failure].status
            # A retry delay of 1 ms keeps the scenario short.
            shown = error.as_body() | {"retry_after_ms": 1}
            body = {"job_id": job_id, "state": "failed", "error": shown}
            return web.json_response(body, status=status)
        body = {"job_id": job_id, "state": "complete", "results": [{"shade": 7}, None]}
        return web.json_response(body)

    async def _job_state(self, request) -> web.Response:
        job_id = request.match_info["id"]
        if self.failure is errors.Kind.NOT_FOUND:
            return await self._job(request)
        if self.failure:
            error = errors.DispatchError(self.failure).as_body()
            return web.json_response({"job_id": job_id, "state": "failed", "error": error})
        return web.json_response({"job_id": job_id, "state": "running", "tasks": 2, "open": 1})
