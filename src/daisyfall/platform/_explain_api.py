"""HTTP API that explains placements to operators; on the port of the metrics."""

import reprlib

import orjson
from aiohttp import web

from daisyfall.platform import _caller_api, _documents, _node_process
from daisyfall.process import _placement_preview, _pool_entry
from daisyfall.request import _pool_jobs
from daisyfall.version import _routes

# Never the id of a job that a caller sends.
EXPLAINED_JOB_ID = "0" * _documents.JOB_ID_LENGTH
BAD_REQUEST = "invalid_field"
NO_ROUTE = "not_found"
STARTING = "starting"
NOT_SCHEDULING = "not_scheduling"


class ExplainApi:
    """`POST /explain` takes `route`, `steps` or `step`, and optionally `wait_ms`.

    `route` is the name of a route, or host and path of a request. `steps` is the list of a
    submitted job; a `step` of equal tasks has `count`, `cpu`, `memory_mb` and `run_ms`.
    """

    def __init__(self, entry: _pool_entry.PoolEntry):
        self._entry = entry

    def routes(self) -> list[web.RouteDef]:
        """Return the routes to serve."""
        return [web.post("/explain", self._answer)]

    async def _answer(self, request: web.Request) -> web.Response:
        configuration = self._entry.configuration
        if configuration is None:
            return _error(503, STARTING, "the entry has no configuration yet")
        try:
            submission = _decode(await request.read(), configuration)
        except (_documents.DocumentError, _documents.UnsupportedError) as error:
            return _error(400, BAD_REQUEST, str(error))
        except LookupError as error:
            return _error(404, NO_ROUTE, error.args[0])
        try:
            preview = self._entry.preview.explain(submission)
        except _placement_preview.NotSchedulingError as other:
            address = f"{other.host}:{_node_process.METRICS_PORT}"
            detail = f"{other.leader_id} schedules, ask it at {address}"
            return _error(409, NOT_SCHEDULING, detail, {"address": address})
        return web.json_response(_encode(preview, submission.route))


def _decode(document: bytes, configuration: _routes.Configuration) -> _pool_jobs.Submission:
    """Return the job of a request; raise `LookupError` if no route matches."""
    try:
        body = orjson.loads(document)
    except ValueError as error:
        raise _documents.DocumentError(f"the body is not JSON: {error}") from error
    if not isinstance(body, dict) or not isinstance(body.get("route"), str):
        raise _documents.DocumentError("the body needs a route and steps")
    route = _find_route(configuration, body["route"])
    wait_ms = body.get("wait_ms") or 0
    if not isinstance(wait_ms, int | float) or wait_ms < 0:
        raise _documents.DocumentError(f"wait_ms is {reprlib.repr(wait_ms)}, expected milliseconds")
    wait_s = wait_ms / 1000 or _caller_api.default_wait_s(route)
    steps = [_encode_step(body["step"])] if "step" in body else body.get("steps")
    job = orjson.dumps({"Steps": steps, "BestEffort": True})
    return _documents.decode_submission(job, EXPLAINED_JOB_ID, route, wait_s)


def _encode_step(step: object) -> dict:
    if not isinstance(step, dict):
        raise _documents.DocumentError(f"step is {reprlib.repr(step)}, expected an object")
    return {
        "Count": step.get("count", 1),
        "Cpu": step.get("cpu", 0),
        "MemMb": step.get("memory_mb", 0),
        "EstimatedMs": step.get("run_ms", 0),
    }


def _find_route(configuration: _routes.Configuration, text: str) -> _routes.Route:
    for route in configuration.routes:
        if route.name == text:
            return route
    host, _, path = text.partition("/")
    found = configuration.find(host, f"/{path}")
    if found is None:
        raise LookupError(f"no route is named {reprlib.repr(text)} or matches it as host and path")
    return found


def _encode(preview: _placement_preview.Preview, route: _routes.Route) -> dict:
    explanation = preview.explanation
    return {
        "entry": preview.entry_id,
        "route": route.name,
        "pool": route.pool,
        "outcome": preview.outcome,
        "reason": preview.reason,
        "retry_after_s": round(preview.retry_after_s, 1),
        "cores": explanation.cores,
        "queued": explanation.queued,
        "work_ahead_ms": round(explanation.work_ahead_s * 1000),
        "start_within_ms": round(explanation.start_within_s * 1000),
        "blocked_tasks": preview.blocked,
        "tasks": [
            {
                "step": int(each.task.split(".")[1]),
                "task": int(each.task.split(".")[2]),
                "agent": "" if preview.refusal else each.runner,
                "free_cpu": each.free_cpu,
                "cpu": each.cpu,
                "runners": {
                    obstacle or "fits": count
                    for obstacle, count in sorted(each.count_by_obstacle.items())
                },
            }
            for each in explanation.tasks
        ],
    }


def _error(status: int, kind: str, detail: str, fields: dict | None = None) -> web.Response:
    error = {"kind": kind, "detail": detail, "run": "not run", "retry": "never"}
    return web.json_response({"error": error, **(fields or {})}, status=status)
