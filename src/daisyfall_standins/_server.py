"""Common parts of the stand-ins' HTTP servers."""

import asyncio
import json
import signal
from typing import Any, Protocol

import cattrs
from aiohttp import web

_SHUTDOWN_SECONDS = 0.5
_BODY_LIMIT_BYTES = 64 * 1024 * 1024

_converter = cattrs.Converter(forbid_extra_keys=True)


class StandIn(Protocol):
    """A stand-in that can be served: it builds its own application."""

    def application(self) -> web.Application:
        """Return the routes and middleware."""


class Server:
    """One stand-in on one listening address, in the running event loop."""

    def __init__(self, stand_in: StandIn, host: str = "127.0.0.1", port: int = 0):
        self.stand_in = stand_in
        self._address = (host, port)
        self._runner: web.AppRunner | None = None

    async def start(self) -> "Server":
        """Listen; port 0 takes a free one."""
        application = self.stand_in.application()
        application.router.add_get("/readyz", _ready)
        application.router.add_get("/healthz", _ready)
        # A handler ends when its caller disconnects only where the stand-in asks for it.
        cancel = getattr(self.stand_in, "stops_on_disconnect", False)
        self._runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=cancel,
            shutdown_timeout=_SHUTDOWN_SECONDS,
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
        """Close the listener and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()


async def serve(servers: list[Server]) -> None:
    """Serve until SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    for server in servers:
        await server.start()
        print(f"listening on {server.url}", flush=True)
    await stopped.wait()
    for server in servers:
        await server.stop()


def new_application(middlewares: tuple = ()) -> web.Application:
    """Return an application that takes large bodies."""
    return web.Application(middlewares=middlewares, client_max_size=_BODY_LIMIT_BYTES)


async def read_body(request: web.Request, cls: type) -> Any:
    """Return the JSON body as an instance of `cls`; answer 400 if it is not one."""
    try:
        return _converter.structure(await request.json(), cls)
    except (ValueError, KeyError, TypeError, cattrs.BaseValidationError) as error:
        detail = "; ".join(cattrs.transform_error(error))
        body = json.dumps({"error": f"body is not a {cls.__name__}: {detail}"})
        raise web.HTTPBadRequest(text=body, content_type="application/json") from error


def close_connection(request: web.Request) -> web.Response:
    """Close the caller's connection without an answer; the returned response is not sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def _ready(_request: web.Request) -> web.Response:
    return web.Response(text="ok\n")
