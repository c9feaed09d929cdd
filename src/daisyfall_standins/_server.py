"""HTTP server and request helpers shared by the stand-ins."""

import asyncio
import json
import signal
from typing import Any, Protocol

import cattrs
from aiohttp import web

_SHUTDOWN_TIMEOUT_SECONDS = 0.5
_MAX_BODY_BYTES = 64 * 1024 * 1024

_converter = cattrs.Converter(forbid_extra_keys=True)


class StandIn(Protocol):
    """A stand-in that provides an aiohttp application."""

    def application(self) -> web.Application:
        """Return the application with its routes and middleware."""


class Server:
    """Serves a stand-in on one address, in the running event loop."""

    def __init__(self, stand_in: StandIn, host: str = "127.0.0.1", port: int = 0):
        self.stand_in = stand_in
        self._address = (host, port)
        self._runner: web.AppRunner | None = None

    async def start(self) -> "Server":
        """Start listening; port 0 selects a free port."""
        application = self.stand_in.application()
        application.router.add_get("/readyz", _handle_ready)
        application.router.add_get("/healthz", _handle_ready)
        # Handlers are cancelled on disconnect of the caller only if the stand-in asks for it.
        cancel_handlers = getattr(self.stand_in, "stops_on_disconnect", False)
        self._runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=cancel_handlers,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_SECONDS,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, *self._address).start()
        return self

    @property
    def url(self) -> str:
        """Return the base URL."""
        host, port = self._runner.addresses[0][:2]
        return f"http://{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()


async def serve(servers: list[Server]) -> None:
    """Run the servers until SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    for server in servers:
        await server.start()
        print(f"listening on {server.url}", flush=True)
    await stop_requested.wait()
    for server in servers:
        await server.stop()


def new_application(middlewares: tuple = ()) -> web.Application:
    """Return an application that accepts large request bodies."""
    return web.Application(middlewares=middlewares, client_max_size=_MAX_BODY_BYTES)


async def read_body(request: web.Request, cls: type) -> Any:
    """Return the JSON body as an instance of `cls`; answer 400 if it is invalid."""
    try:
        return _converter.structure(await request.json(), cls)
    except (ValueError, KeyError, TypeError, cattrs.BaseValidationError) as error:
        detail = "; ".join(cattrs.transform_error(error))
        body = json.dumps({"error": f"body is not a {cls.__name__}: {detail}"})
        raise web.HTTPBadRequest(text=body, content_type="application/json") from error


def close_connection(request: web.Request) -> web.Response:
    """Abort the caller's connection; the returned response is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def _handle_ready(_request: web.Request) -> web.Response:
    return web.Response(text="ok\n")
