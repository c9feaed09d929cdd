"""HTTP API for callers, in the protocol of the platform's clients."""

import asyncio
import math

import loguru
from aiohttp import web

from daisyfall import _clock
from daisyfall.platform import _documents
from daisyfall.process import _pool_entry
from daisyfall.request import _pool_jobs
from daisyfall.version import _routes

DEADLINE_HEADER = "X-Deadline-Remaining-Ms"
BODY_TIMEOUT_S = 3.0
# Shortest wait for an answer if the request has no valid deadline header.
DEFAULT_WAIT_S = 10.0
MAX_BODY_BYTES = 8 * 1024 * 1024
RETRY_WHEN_UNREADY_S = 1.0

_STATE_BY_OUTCOME = {
    _pool_jobs.Outcome.COMPLETED: "completed",
    _pool_jobs.Outcome.FAILED: "failed",
}
IMPOSSIBLE = "impossible"
DEADLINE_REASONS = frozenset({"deadline", "out_of_time", "overdue"})


class CallerApi:
    """Request handlers of the caller API and of the readiness probe."""

    def __init__(self, entry: _pool_entry.PoolEntry):
        self._entry = entry

    def build(self) -> web.Application:
        """Return the web application for callers."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.router.add_route("*", "/{path:.*}", self._handle)
        return application

    def build_readiness(self) -> web.Application:
        """Return the web application for the platform's readiness probe."""
        application = web.Application()
        application.router.add_get("/readiness", self._answer_readiness)
        return application

    async def _answer_readiness(self, _request: web.Request) -> web.Response:
        return web.Response(status=200 if self._entry.is_ready else 503)

    async def _handle(self, request: web.Request) -> web.Response:
        response = await self._route(request)
        if self._entry.closes_connections:
            response.force_close()
        return response

    async def _route(self, request: web.Request) -> web.Response:
        arrived_at = _clock.monotonic()
        reason = self._entry.rejection_reason()
        if reason:
            return _error_response(503, reason, RETRY_WHEN_UNREADY_S)
        host = request.host.partition(":")[0]
        route = self._entry.configuration.find(host, request.path)
        if route is None:
            return _error_response(404, "no such queue")
        job_id = request.path[len(route.prefix) :]
        match request.method:
            case "POST":
                return await self._submit(request, route, job_id, arrived_at)
            case "GET" if not job_id:
                return web.json_response({"Waiting": self._entry.waiting_jobs(route.name)})
            case "GET":
                if self._entry.has_job(job_id):
                    return web.json_response({"State": "running"})
                return _error_response(410, "no such job")
            case "DELETE":
                was_found = self._entry.cancel(job_id)
                return web.json_response({"State": "cancelled"} if was_found else {}, status=200)
        return _error_response(405, "unknown method")

    async def _submit(self, request: web.Request, route, job_id: str, arrived_at: float):
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                document = await request.read()
        except TimeoutError:
            return _error_response(408, "the body was sent too slowly")
        if len(document) > self._entry.configuration.body_limit_bytes:
            return _error_response(413, "the body is too large")
        unseen_s = await self._entry.wait_for_turn()
        wait_s = _requested_wait_s(request, route) - (_clock.monotonic() - arrived_at) - unseen_s
        if wait_s <= 0:
            return _error_response(503, "the deadline has passed")
        try:
            submission = _documents.decode_submission(document, job_id, route, wait_s)
        except _documents.DocumentError as error:
            loguru.logger.bind(job=job_id[:40], reason=str(error)).warning("job is malformed")
            return _error_response(400, str(error))
        except _documents.UnsupportedError as error:
            loguru.logger.bind(job=job_id, kind=str(error)).warning("kind of job is not supported")
            return _error_response(503, f"not supported: {error}")
        return _encode_answer(await self._entry.submit(submission))


def _requested_wait_s(request: web.Request, route) -> float:
    """Return how long the caller waits for the answer."""
    text = request.headers.get(DEADLINE_HEADER, "")
    try:
        wait_ms = float(text)
    except ValueError:
        wait_ms = 0.0
    if 0 < wait_ms < float("inf"):
        return wait_ms / 1000
    return default_wait_s(route)


def default_wait_s(route: _routes.Route) -> float:
    """Return how long the callers of a route wait if a request doesn't tell."""
    return max(DEFAULT_WAIT_S, route.timeout_ms / 1000)


def _encode_answer(answer: _pool_jobs.Answer) -> web.Response:
    match answer.outcome:
        case _pool_jobs.Outcome.COMPLETED | _pool_jobs.Outcome.FAILED:
            return web.json_response({"State": _STATE_BY_OUTCOME[answer.outcome]})
        case _pool_jobs.Outcome.CANCELLED:
            return _error_response(410, "cancelled")
        case _pool_jobs.Outcome.REFUSED if answer.reason == IMPOSSIBLE:
            return _error_response(422, "no runner can ever hold a task of the job")
        case _pool_jobs.Outcome.REFUSED:
            return _error_response(503, answer.reason, answer.retry_after_s)
        case _pool_jobs.Outcome.GIVEN_UP:
            return _error_response(504 if answer.reason in DEADLINE_REASONS else 502, answer.reason)
    raise AssertionError(f"unknown outcome {answer.outcome}")


def _error_response(status: int, reason: str, retry_after_s: float = 0.0) -> web.Response:
    headers = {"Retry-After": str(math.ceil(retry_after_s))} if retry_after_s else None
    return web.json_response({"Error": reason}, status=status, headers=headers)
