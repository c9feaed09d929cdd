"""Command that runs an entry or an agent on the users' platform, and creates its components."""

import asyncio
import contextlib
import os
import random
import signal
import sys

import loguru
from aiohttp import web

from daisyfall import _clock, _ids
from daisyfall.platform import (
    _caller_api,
    _documents,
    _http,
    _node_settings,
    _runner,
    _runner_api,
    _store,
)
from daisyfall.policy import _bounds
from daisyfall.process import (
    _decision_log,
    _pool_agent,
    _pool_entry,
    _pool_metrics,
    _pool_peers,
    _pool_settings,
)

SETTINGS_VARIABLE = "DAISYFALL_NODE_FILE"
DEFAULT_SETTINGS_FILE = "/etc/daisyfall/node.conf"
ROLES = ("entry", "agent")
USAGE_ERROR_STATUS = 2
METRICS_PORT = 9464
NODES_TABLE = "daisyfall-nodes"
OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
# A feed call may wait long, since other entries also distribute a new configuration.
CONFIGURATION_WAIT_S = 4.0
NODES_WAIT_S = 10.0
NODES_PAUSE_S = 0.2
# The platform's load balancer stops sending new connections after two failed readiness probes,
# which are 1 s apart.
BALANCER_DRAIN_S = 2.5
# Longer than any stop may take: a stopping process ends its open requests itself.
SHUTDOWN_TIMEOUT_S = 30.0
LISTEN_BACKLOG = 512


def main() -> None:
    """Run the role given on the command line."""
    arguments = sys.argv[1:]
    if len(arguments) not in (1, 2) or arguments[0] not in ROLES:
        print(f"usage: node.py {'|'.join(ROLES)} [FILE], found {arguments}", file=sys.stderr)
        sys.exit(USAGE_ERROR_STATUS)
    role, *files = arguments
    path = files[0] if files else os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_FILE)
    try:
        settings = _node_settings.load(path, ROLES.index(role))
        bounds = _bounds.derive(settings.longest_lease_s, settings.stop_task_s, settings.resend_s)
    except (_node_settings.NodeSettingsError, ValueError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        sys.exit(USAGE_ERROR_STATUS)
    metrics = _pool_metrics.PoolMetrics()
    _decision_log.configure(settings.node_id, role, metrics.count_dropped_lines)
    run = _run_entry if role == "entry" else _run_agent
    asyncio.run(run(settings, bounds, metrics, path))


async def _run_entry(settings, bounds, metrics, path: str) -> None:
    random_source = random.Random()
    entry = _pool_entry.PoolEntry(
        _pool_settings.EntrySettings(
            **_common(settings, bounds),
            max_drain_s=settings.grace_s - _node_settings.STOP_MARGIN_S,
            drain_delay_s=min(BALANCER_DRAIN_S, settings.grace_s / 2),
        ),
        _documents.decode_configuration,
        metrics,
        random_source,
    )
    callers = _caller_api.CallerApi(entry)
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(_http.open_session())
        store = _store.Store(
            settings.store_address, session, random_source, metrics.count_store_error
        )
        close_callers = await _serve(stack, callers.build(), settings.caller_address)
        await _serve(stack, callers.build_readiness(), settings.readiness_address)
        await _serve_metrics(stack, metrics, settings.host_address)
        row = _documents.NodeRow("entry", f"{settings.host_address}:{settings.internal_port}")
        nodes = _NodeTable(entry)
        _spawn(stack, store.put(NODES_TABLE, settings.node_id, row.encode()))
        _spawn(stack, store.watch(NODES_TABLE, NODES_WAIT_S, NODES_PAUSE_S, nodes.update))
        _spawn(
            stack,
            store.watch(
                OPERATOR_TABLE,
                CONFIGURATION_WAIT_S,
                0.0,
                lambda rows, _is_all: _apply_configuration(entry, rows),
            ),
        )
        await entry.run(_watch_signals(path, settings), close_callers)


async def _run_agent(settings, bounds, metrics, path: str) -> None:
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(_http.open_session())
        agent = _pool_agent.PoolAgent(
            _pool_settings.AgentSettings(
                **_common(settings, bounds),
                max_drain_s=settings.grace_s - 2 * _node_settings.STOP_MARGIN_S,
                heartbeat_s=settings.heartbeat_s,
            ),
            lambda heartbeat: _runner.RunnerClient(session, heartbeat),
            metrics,
        )
        store = _store.Store(
            settings.store_address, session, random.Random(), metrics.count_store_error
        )
        await _serve(stack, _runner_api.build(agent), settings.runner_address)
        await _serve_metrics(stack, metrics, settings.host_address)
        row = _documents.NodeRow("agent", f"{settings.host_address}:{settings.internal_port}")
        _spawn(stack, store.put(NODES_TABLE, settings.node_id, row.encode()))
        await agent.run(_watch_signals(path, settings))


def _common(settings: _node_settings.NodeSettings, bounds: _bounds.Bounds) -> dict:
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
    }


class _NodeTable:
    """Copy of the table of nodes; passes all nodes to the entry after each change."""

    def __init__(self, entry: _pool_entry.PoolEntry):
        self._entry = entry
        self._node_by_id: dict[str, _pool_peers.Node] = {}

    def update(self, rows: list[_store.Row], is_all: bool) -> None:
        """Apply changed rows, or replace all rows if `is_all`."""
        if is_all:
            self._node_by_id.clear()
        for row in rows:
            self._node_by_id.pop(row.key, None)
            found = _documents.NodeRow.decode(row.value) if row.value is not None else None
            if found is not None and found.role in ROLES:
                self._node_by_id[row.key] = _pool_peers.Node(row.key, found.role, found.address)
        loguru.logger.bind(nodes=len(self._node_by_id)).info("table of nodes updated")
        self._entry.peers.set_nodes(list(self._node_by_id.values()))


def _apply_configuration(entry: _pool_entry.PoolEntry, rows: list[_store.Row]) -> None:
    for row in rows:
        if row.key == CONFIGURATION_KEY and row.value is not None:
            try:
                entry.apply_configuration(row.value)
            except _documents.DocumentError as error:
                loguru.logger.bind(reason=str(error)).error("invalid configuration in the store")


def _watch_signals(path: str, settings: _node_settings.NodeSettings) -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set; on SIGHUP, reload the settings file."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, path, settings)
    return stop


def _reload(path: str, settings: _node_settings.NodeSettings) -> None:
    try:
        found = _node_settings.load(path, 0)
    except _node_settings.NodeSettingsError as error:
        loguru.logger.bind(reason=str(error)).error(
            "invalid settings file; keeping the previous settings"
        )
        return
    changed = found.grace_s != settings.grace_s or found.store_address != settings.store_address
    loguru.logger.bind(changed=changed).info("settings file reloaded")


async def _serve(stack, application: web.Application, address: str):
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


async def _serve_metrics(stack, metrics: _pool_metrics.PoolMetrics, host: str) -> None:
    async def answer(_request: web.Request) -> web.Response:
        return web.Response(body=metrics.render(), content_type="text/plain")

    application = web.Application()
    application.router.add_get("/metrics", answer)
    await _serve(stack, application, f"{host}:{METRICS_PORT}")


def _spawn(stack: contextlib.AsyncExitStack, coroutine) -> None:
    task = asyncio.create_task(coroutine)
    stack.callback(task.cancel)
    task.add_done_callback(_log_failure)


def _log_failure(task: asyncio.Task) -> None:
    if not task.cancelled() and task.exception() is not None:
        loguru.logger.opt(exception=task.exception()).error("background task failed")


if __name__ == "__main__":
    main()
