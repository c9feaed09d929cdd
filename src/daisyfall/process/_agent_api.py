"""HTTP server of an agent: runner announcements, health, status and metrics."""

import json
from typing import Protocol

from aiohttp import web

from daisyfall import errors
from daisyfall.process import _announcement, _health_api, _metrics, _settings

ANNOUNCEMENT_LIMIT_BYTES = 64 * 1024


class Source(Protocol):
    """What the server shows."""

    metrics: _metrics.Metrics

    def announce(self, announcement: _announcement.Announcement) -> None:
        """Take a checked announcement."""

    def unready(self) -> str:
        """Return the reason why the agent takes no work, empty if it does."""

    def status(self) -> dict:
        """Return the JSON of `/status`."""


class AgentApi:
    """The routes and their listener."""

    def __init__(self, source: Source, address: _settings.Address):
        self._source = source
        self._address = address
        self._runner: web.AppRunner | None = None
        self.port = address.port

    async def start(self) -> None:
        """Listen; `port` is the bound one afterwards."""
        application = web.Application(client_max_size=ANNOUNCEMENT_LIMIT_BYTES)
        application.router.add_post("/v1/announce", self._announce)
        source = self._source
        application.add_routes(_health_api.routes(source.metrics, source.unready, source.status))
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=1.0)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._address.host, self._address.port)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def close(self) -> None:
        """Stop to listen."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _announce(self, request: web.Request) -> web.Response:
        try:
            self._source.announce(_announcement.parse(await _read_json(request)))
        except errors.DispatchError as error:
            self._source.metrics.refused(error.kind)
            status = errors.RESPONSES[error.kind].status
            return web.json_response({"error": error.as_body()}, status=status)
        return web.json_response({})


async def _read_json(request: web.Request) -> object:
    try:
        return json.loads(await request.read())
    except web.HTTPRequestEntityTooLarge as error:
        raise errors.DispatchError(errors.Kind.TOO_LARGE) from error
    except ValueError as error:
        raise errors.DispatchError(errors.Kind.MALFORMED) from error
