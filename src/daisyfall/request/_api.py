"""HTTP surface for callers."""

import asyncio
import collections
import json

from aiohttp import web
from loguru import logger

from daisyfall import errors
from daisyfall.process import _metrics, _settings
from daisyfall.request import _carrier, _submission
from daisyfall.version import _lists, _publisher

OWNER_HEADER = "Daisyfall-Owner"
MAX_ANSWER_WAIT_MS = 60_000


class Api:
    """Handlers of `/v1/jobs`."""

    def __init__(
        self,
        settings: _settings.Settings,
        publisher: _publisher.Publisher,
        carrier: _carrier.Carrier,
        metrics: _metrics.Metrics,
    ):
        self._limits = settings.limits
        self._publisher = publisher
        self._carrier = carrier
        self._metrics = metrics
        self._open_by_buyer: collections.Counter = collections.Counter()
        self.stopping = False

    def routes(self) -> list[web.RouteDef]:
        """Return the routes."""
        return [
            web.post("/v1/jobs", self._guard(self.submit)),
            web.get("/v1/jobs/{job_id}", self._guard(self.status)),
            web.get("/v1/jobs/{job_id}/answer", self._guard(self.answer)),
            web.get("/v1/jobs/{job_id}/explain", self._guard(self.status)),
            web.delete("/v1/jobs/{job_id}", self._guard(self.cancel)),
        ]

    @property
    def open_requests(self) -> int:
        """Return the number of requests that wait for their answer."""
        return self._open_by_buyer.total()

    def _guard(self, handler):
        """Authenticate, bound the open requests of a buyer, and map errors to answers."""

        async def guarded(request: web.Request) -> web.Response:
            job_id = request.match_info.get("job_id", "")
            try:
                buyer = self._authenticate(request)
                if self._open_by_buyer[buyer] >= self._limits.connections_per_buyer:
                    raise errors.DispatchError(errors.Kind.LIMIT_CONNECTIONS)
                self._open_by_buyer[buyer] += 1
                try:
                    response = await handler(request, buyer)
                    self._hint(response, buyer)
                    return response
                finally:
                    self._open_by_buyer[buyer] -= 1
            except errors.DispatchError as error:
                self._metrics.refused(error.kind)
                return failure(error, getattr(error, "job_id", job_id))
            except Exception:
                logger.exception("request failed unexpectedly")
                self._metrics.refused(errors.Kind.INTERNAL)
                return failure(errors.DispatchError(errors.Kind.INTERNAL), job_id)

        return guarded

    def _hint(self, response: web.Response, buyer: str) -> None:
        """Name the owning entry, so that the caller may send the next job there directly."""
        if self.stopping:
            response.force_close()
        owner = self._carrier.owner_address(buyer)
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
            answer = await self._carrier.submit(submission, wait)
        except errors.DispatchError as error:
            error.job_id = submission.job_id
            raise
        if not answer:
            return _json({"job_id": submission.job_id, "state": "running"}, 202)
        return web.Response(body=answer, content_type="application/json")

    async def status(self, request: web.Request, buyer: str) -> web.Response:
        """Handle `GET /v1/jobs/{id}` and its `/explain`."""
        job_id = request.match_info["job_id"]
        operation = "explain" if request.path.endswith("/explain") else "status"
        found = await self._carrier.lookup(operation, buyer, job_id)
        return _json({"job_id": job_id} | found)

    async def answer(self, request: web.Request, buyer: str) -> web.Response:
        """Handle `GET /v1/jobs/{id}/answer`."""
        job_id = request.match_info["job_id"]
        wait_ms = _wait_ms(request.query.get("wait_ms", "0"))
        found = await self._carrier.lookup("answer", buyer, job_id, wait_ms)
        body = found.get("body")
        if body is None:
            return _json({"job_id": job_id} | found, 202)
        return web.Response(body=body, content_type="application/json")

    async def cancel(self, request: web.Request, buyer: str) -> web.Response:
        """Handle `DELETE /v1/jobs/{id}`."""
        job_id = request.match_info["job_id"]
        found = await self._carrier.lookup("cancel", buyer, job_id)
        return _json({"job_id": job_id} | found)

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


def failure(error: errors.DispatchError, job_id: str) -> web.Response:
    """Return the answer to a refusal or a failed job."""
    body = {"job_id": job_id, "state": "failed", "error": error.as_body()}
    return _json(body, errors.RESPONSES[error.kind].status)


def _json(body: dict, status: int = 200) -> web.Response:
    return web.Response(
        body=json.dumps(body).encode(), status=status, content_type="application/json"
    )


def _wait_ms(text: str) -> int:
    if not text.isdecimal() or int(text) > MAX_ANSWER_WAIT_MS:
        expected = f"an integer from 0 to {MAX_ANSWER_WAIT_MS}"
        raise errors.invalid_field("wait_ms", text[:20], expected)
    return int(text)
