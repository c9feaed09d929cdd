"""HTTP endpoints of every process: health, readiness, metrics and status."""

from collections.abc import Callable

from aiohttp import web

from daisyfall.process import _metrics


def routes(
    metrics: _metrics.Metrics, not_ready_reason: Callable[[], str], status: Callable[[], dict]
) -> list[web.RouteDef]:
    """Return the routes; `not_ready_reason` returns an empty string if the process is ready."""

    async def healthz(_request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def readyz(_request: web.Request) -> web.Response:
        reason = not_ready_reason()
        return web.Response(text=f"{reason or 'ready'}\n", status=503 if reason else 200)

    async def show_metrics(_request: web.Request) -> web.Response:
        return web.Response(body=metrics.render(), content_type="text/plain")

    async def show_status(_request: web.Request) -> web.Response:
        return web.json_response(status())

    return [
        web.get("/healthz", healthz),
        web.get("/readyz", readyz),
        web.get("/metrics", show_metrics),
        web.get("/status", show_status),
    ]
