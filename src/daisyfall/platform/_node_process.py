"""What the processes of both roles have in common: settings, signals, servers, background tasks."""

import asyncio
import contextlib
import signal
from collections.abc import Iterable

import loguru
from aiohttp import web

from daisyfall import _clock, _ids
from daisyfall.platform import _node_settings, _store
from daisyfall.process import _pool_metrics

METRICS_PORT = 9464
NODES_TABLE = "daisyfall-nodes"
# Longer than any stop may take: a stopping process ends its open requests itself.
SHUTDOWN_TIMEOUT_S = 30.0
LISTEN_BACKLOG = 512
# Shortest time between two looks at the settings file while the store doesn't answer.
RELOAD_INTERVAL_S = 1.0


def shared_settings(settings: _node_settings.NodeSettings, bounds) -> dict:
    """Return the settings that are common to entries and agents."""
    return {
        "id": settings.node_id,
        "incarnation": _ids.new_incarnation(),
        "data_centre": settings.data_centre,
        "address": settings.host_address,
        "port": settings.internal_port,
        "cores": settings.cores,
        "started_ms": _clock.wall_ms(),
        "bounds": bounds,
        "remote_factor": settings.remote_factor,
    }


class SettingsFile:
    """Settings file of a process, of which the address of the store may change while it runs.

    The file may change without a signal, so it is also read again when calls of `store` fail.
    """

    def __init__(self, path: str, settings: _node_settings.NodeSettings, store: _store.Store):
        self._path = path
        self._settings = settings
        self._store = store
        store.on_failure = self._reload_after_failure
        self._reloaded_at = _clock.monotonic()

    def reload(self) -> None:
        """Read the file again; keep the previous settings if it is not valid."""
        self._reloaded_at = _clock.monotonic()
        try:
            found = _node_settings.load(self._path, 0)
        except _node_settings.NodeSettingsError as error:
            loguru.logger.bind(reason=str(error)).error(
                "invalid settings file; keeping the previous settings"
            )
            return
        changed = (
            found.grace_s != self._settings.grace_s
            or found.store_address != self._settings.store_address
        )
        loguru.logger.bind(changed=changed).info("settings file reloaded")
        self._settings = found
        self._store.move(found.store_address)

    def _reload_after_failure(self) -> None:
        if _clock.monotonic() - self._reloaded_at >= RELOAD_INTERVAL_S:
            self.reload()


def watch_signals(settings_file: SettingsFile) -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set; on SIGHUP, reload the settings file."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, settings_file.reload)
    # SIGHUP was ignored while the process started.
    settings_file.reload()
    return stop


async def serve(stack, application: web.Application, address: str):
    """Listen at `host:port`; return a function that stops it once open requests have ended."""
    host, _, port = address.partition(":")
    # When a caller disconnects, its handler is cancelled, and with it the job.
    runner = web.AppRunner(
        application, handler_cancellation=True, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
    )
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, host, int(port), backlog=LISTEN_BACKLOG).start()
    return runner.cleanup


async def serve_metrics(
    stack,
    metrics: _pool_metrics.PoolMetrics,
    host: str,
    routes: Iterable[web.RouteDef] = (),
) -> None:
    """Serve the metrics and further routes on the port that the deploy file names."""

    async def answer(_request: web.Request) -> web.Response:
        return web.Response(body=metrics.render(), content_type="text/plain")

    application = web.Application()
    application.router.add_get("/metrics", answer)
    application.router.add_routes(routes)
    await serve(stack, application, f"{host}:{METRICS_PORT}")


def spawn(stack: contextlib.AsyncExitStack, coroutine) -> None:
    """Start a background task that is cancelled when the stack is closed."""
    task = asyncio.create_task(coroutine)
    stack.callback(task.cancel)
    task.add_done_callback(_log_failure)


def _log_failure(task: asyncio.Task) -> None:
    if not task.cancelled() and task.exception() is not None:
        loguru.logger.opt(exception=task.exception()).error("background task failed")
