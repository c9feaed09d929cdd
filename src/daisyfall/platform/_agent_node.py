"""Creates the components of an agent process and runs it."""

import contextlib
import random

from daisyfall import _pool_wire
from daisyfall.platform import (
    _http,
    _node_process,
    _node_row,
    _node_settings,
    _runner,
    _runner_api,
    _store,
)
from daisyfall.process import _pool_agent, _pool_settings


async def run(settings, bounds, metrics, path: str) -> None:
    """Run the agent until it is told to stop."""
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(_http.open_session())
        agent = _pool_agent.PoolAgent(
            _pool_settings.AgentSettings(
                **_node_process.shared_settings(settings, bounds),
                max_drain_s=settings.grace_s - 2 * _node_settings.STOP_MARGIN_S,
                heartbeat_s=settings.heartbeat_s,
            ),
            lambda heartbeat: _runner.RunnerClient(session, heartbeat),
            metrics,
        )
        store = _store.Store(
            settings.store_address, session, random.Random(), metrics.count_store_error
        )
        await _node_process.serve(stack, _runner_api.build(agent), settings.runner_address)
        await _node_process.serve_metrics(stack, metrics, settings.host_address)
        row = _node_row.NodeRow(
            _pool_wire.ROLE_AGENT, f"{settings.host_address}:{settings.internal_port}"
        )
        _node_process.spawn(
            stack, store.put(_node_process.NODES_TABLE, settings.node_id, row.encode())
        )
        settings_file = _node_process.SettingsFile(path, settings, store)
        await agent.run(_node_process.watch_signals(settings_file))
