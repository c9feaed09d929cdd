"""Creates the components of an entry process and runs it."""

import contextlib
import random

from daisyfall import _pool_wire
from daisyfall.platform import (
    _caller_api,
    _documents,
    _explain_api,
    _http,
    _node_process,
    _node_row,
    _node_settings,
    _node_table,
    _operator_rows,
    _store,
)
from daisyfall.process import _pool_entry, _pool_settings

NODES_TIMING = _store.WatchTiming(wait_s=10.0, pause_s=0.2)
# The platform's load balancer stops sending new connections after two failed readiness probes,
# which are 1 s apart.
BALANCER_DRAIN_S = 2.5


async def run(settings, bounds, metrics, path: str) -> None:
    """Run the entry until it is told to stop."""
    random_source = random.Random()
    entry = _pool_entry.PoolEntry(
        _pool_settings.EntrySettings(
            **_node_process.shared_settings(settings, bounds),
            max_drain_s=settings.grace_s - _node_settings.STOP_MARGIN_S,
            drain_delay_s=min(BALANCER_DRAIN_S, settings.grace_s / 2),
            data_centres=settings.data_centres,
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
        close_callers = await _node_process.serve(stack, callers.build(), settings.caller_address)
        await _node_process.serve(stack, callers.build_readiness(), settings.readiness_address)
        await _node_process.serve_metrics(
            stack, metrics, settings.host_address, _explain_api.ExplainApi(entry).routes()
        )
        row = _node_row.NodeRow(
            _pool_wire.ROLE_ENTRY, f"{settings.host_address}:{settings.internal_port}"
        )
        nodes = _node_table.NodeTable(entry.peers, metrics.count_store_error)
        _node_process.spawn(
            stack, store.put(_node_process.NODES_TABLE, settings.node_id, row.encode())
        )
        _node_process.spawn(
            stack, store.watch(_node_process.NODES_TABLE, NODES_TIMING, nodes.update)
        )
        _node_process.spawn(
            stack,
            store.watch(
                _operator_rows.TABLE,
                _store.timing_for_bound(
                    min(settings.configuration_bound_s, settings.evacuation_bound_s)
                ),
                _operator_rows.OperatorRows(entry.shared).update,
            ),
        )
        settings_file = _node_process.SettingsFile(path, settings, store)
        await entry.run(_node_process.watch_signals(settings_file), close_callers)
