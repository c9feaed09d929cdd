"""HTTP API for callers."""

import asyncio
import collections
import json

from aiohttp import web
from loguru import logger

from daisyfall import errors
from daisyfall.process import _metrics, _settings
from daisyfall.request import _forwarder, _submission
from daisyfall.version import _lists, _publisher

OWNER_HEADER = "Daisyfall-Owner"
MAX_ANSWER_WAIT_MS = 60_000


class JobApi:
    """Request handlers for `/v1/jobs`."""

    def __init__(
        self,
        settings: _settings.Settings,
        publisher: _publisher.Publisher,
        forwarder: _forwarder.Forwarder,
        metrics: _metrics.Metrics,
    ):
        self._limits = settings.limits
        self._publisher = publisher
        self._forwarder = forwarder
        self._metrics = metrics
        self._open_requests_by_buyer: collections.Counter = collections.Counter()
        self.stopping = False

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the callers' API."""
        return [
            web.post("/v1/jobs", self._wrap_handler(self.submit)),
            web.get("/v1/jobs/{job_id}", self._wrap_handler(self.status)),
            web.get("/v1/jobs/{job_id}/answer", self._wrap_handler(self.answer)),
            web.get("/v1/jobs/{job_id}/explain", self._wrap_handler(self.status)),
            web.delete("/v1/jobs/{job_id}", self._wrap_handler(self.cancel)),
        ]

    @property
    def open_requests(self) -> int:
        """Return the number of requests that have not been answered yet."""
        return self._open_requests_by_buyer.total()

    def _wrap_handler(self, handler):
        """Wrap a handler: authenticate, limit open requests by buyer, map errors to responses."""

        async def handle(request: web.Request) -> web.Response:
            job_id = request.match_info.get("job_id", "")
            try:
                buyer = self._authenticate(request)
                if self._open_requests_by_buyer[buyer] >= self._limits.connections_per_buyer:
                    raise errors.DispatchError(errors.Kind.LIMIT_CONNECTIONS)
                self._open_requests_by_buyer[buyer] += 1
                try:
                    response = await handler(request, buyer)
                    self._add_owner_header(response, buyer)
                    return response
                finally:
                    self._open_requests_by_buyer[buyer] -= 1
            except errors.DispatchError as error:
                self._metrics.count_refusal(error.kind)
                return error_response(error, getattr(error, "job_id", job_id))
            except Exception:
                logger.exception("request failed unexpectedly")
                self._metrics.count_refusal(errors.Kind.INTERNAL)
                return error_response(errors.DispatchError(errors.Kind.INTERNAL), job_id)

        return handle

    def _add_owner_header(self, response: web.Response, buyer: str) -> None:
        """Add a header with the owning entry, so that the caller can send its next job there."""
        if self.stopping:
            response.force_close()
        owner = self._forwarder.owner_address(buyer)
        if owner:
            response.headers[OWNER_HEADER] = owner

    def _authenticate(self, request: web.Request) -> str:
        lists = self._publisher.lists
        if lists is None:
            raise errors.DispatchError(errors.Kind.LISTS_UNAVAILABLE)
        scheme, _, bearer = request.headers.get("Authorization", "").partition(" ")
        buyer = _lists.verify_token(lists, bearer) if scheme == "Bearer" else None
        if buyer is None:
            raise errors.DispatchError(errors.Kind.UNAUTHORIZED)
        return buyer.name

    async def submit(self, request: web.Request, buyer: str) -> web.Response:
        """Handle `POST /v1/jobs`."""
        body = await self._read_body(request)
        submission = _submission.parse(buyer, body)
        wait = request.query.get("wait", "1") != "0"
        try:
            answer = await self._forwarder.submit(submission, wait)
        except errors.DispatchError as error:
            error.job_id = submission.job_id
            raise
        if not answer:
            return _json_response({"job_id": submission.job_id, "state": "running"}, 202)
        return web.Response(body=answer, content_type="application/json")

    async def status(self, request: web.Request, buyer: str) -> web.Response:
        """Handle `GET /v1/jobs/{id}` and its `/explain`."""
        job_id = request.match_info["job_id"]
        operation = "explain" if request.path.endswith("/explain") else "status"
        reply = await self._forwarder.lookup(operation, buyer, job_id)
        return _json_response({"job_id": job_id} | reply)

    async def answer(self, request: web.Request, buyer: str) -> web.Response:
        """Handle `GET /v1/jobs/{id}/answer`."""
        job_id = request.match_info["job_id"]
        wait_ms = _parse_wait_ms(request.query.get("wait_ms", "0"))
        reply = await self._forwarder.lookup("answer", buyer, job_id, wait_ms)
        body = reply.get("body")
        if body is None:
            return _json_response({"job_id": job_id} | reply, 202)
        return web.Response(body=body, content_type="application/json")

    async def cancel(self, request: web.Request, buyer: str) -> web.Response:
        """Handle `DELETE /v1/jobs/{id}`."""
        job_id = request.match_info["job_id"]
        reply = await self._forwarder.lookup("cancel", buyer, job_id)
        return _json_response({"job_id": job_id} | reply)

    async def _read_body(self, request: web.Request) -> bytes:
        try:
            async with asyncio.timeout(self._limits.request_timeout_ms / 1000):
                return await request.read()
        except TimeoutError as error:
            raise errors.DispatchError(errors.Kind.TOO_SLOW) from error
        except web.HTTPRequestEntityTooLarge as error:
            limit = f"at most {self._limits.body_limit_kb} KiB"
            raise errors.DispatchError(
                errors.Kind.TOO_LARGE, field="body", value="larger", expected=limit
            ) from error


def error_response(error: errors.DispatchError, job_id: str) -> web.Response:
    """Return the response to a refused request or a failed job."""
    body = {"job_id": job_id, "state": "failed", "error": error.as_body()}
    return _json_response(body, errors.RESPONSES[error.kind].status)


def _json_response(body: dict, status: int = 200) -> web.Response:
    return web.Response(
        body=json.dumps(body).encode(), status=status, content_type="application/json"
    )


def _parse_wait_ms(text: str) -> int:
    if not text.isdecimal() or int(text) > MAX_ANSWER_WAIT_MS:
        expected = f"an integer from 0 to {MAX_ANSWER_WAIT_MS}"
        raise errors.invalid_field("wait_ms", text[:20], expected)
    return int(text)
