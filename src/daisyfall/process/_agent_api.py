"""HTTP server of an agent: runner announcements, health, status and metrics."""

from typing import Protocol

from aiohttp import web

from daisyfall import _json, errors
from daisyfall.process import _announcement, _health_api, _metrics, _settings

ANNOUNCEMENT_LIMIT_BYTES = 64 * 1024


class AgentBackend(Protocol):
    """What the HTTP server needs of the agent."""

    metrics: _metrics.Metrics

    def announce(self, announcement: _announcement.Announcement) -> None:
        """Handle a validated announcement of the runner."""

    def not_ready_reason(self) -> str:
        """Return the reason why the agent accepts no tasks, empty if it does."""

    def status(self) -> dict:
        """Return the body of `/status`."""


class AgentApi:
    """HTTP server of an agent."""

    def __init__(self, backend: AgentBackend, address: _settings.Address):
        self._backend = backend
        self._address = address
        self._runner: web.AppRunner | None = None
        self.port = address.port

    async def start(self) -> None:
        """Start to listen and set `port` to the bound port."""
        application = web.Application(client_max_size=ANNOUNCEMENT_LIMIT_BYTES)
        application.router.add_post("/v1/announce", self._announce)
        backend = self._backend
        application.add_routes(
            _health_api.routes(backend.metrics, backend.not_ready_reason, backend.status)
        )
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=1.0)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._address.host, self._address.port)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def close(self) -> None:
        """Stop the server."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _announce(self, request: web.Request) -> web.Response:
        try:
            self._backend.announce(_announcement.parse(await _read_json(request)))
        except errors.DispatchError as error:
            self._backend.metrics.count_refusal(error.kind)
            status = errors.RESPONSES[error.kind].status
            return web.json_response({"error": error.as_body()}, status=status)
        return web.json_response({})


async def _read_json(request: web.Request) -> object:
    try:
        return _json.loads(await request.read())
    except web.HTTPRequestEntityTooLarge as error:
        raise errors.DispatchError(errors.Kind.TOO_LARGE) from error
    except ValueError as error:
        raise errors.DispatchError(errors.Kind.MALFORMED) from error
