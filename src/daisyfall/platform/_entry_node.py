"""Creates the components of an entry process and runs it."""

import contextlib
import random

import loguru

from daisyfall import _pool_wire
from daisyfall.platform import (
    _caller_api,
    _documents,
    _explain_api,
    _http,
    _node_process,
    _node_row,
    _node_settings,
    _operator_rows,
    _store,
)
from daisyfall.process import _pool_entry, _pool_peers, _pool_settings

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
        nodes = _NodeTable(entry)
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
        await entry.run(_node_process.watch_signals(path, settings), close_callers)


class _NodeTable:
    """Copy of the table of nodes; passes all nodes to the entry after each change."""

    def __init__(self, entry: _pool_entry.PoolEntry):
        self._entry = entry
        self._node_by_id: dict[str, _pool_peers.Node] = {}

    def update(self, rows: list[_store.Row], read_version: int | None) -> None:
        """Apply changed rows, or replace all rows if they were read as of a version."""
        if read_version is not None:
            self._node_by_id.clear()
        for row in rows:
            self._node_by_id.pop(row.key, None)
            found = _node_row.NodeRow.decode(row.value) if row.value is not None else None
            if found is not None and found.role in _pool_wire.ROLES:
                self._node_by_id[row.key] = _pool_peers.Node(row.key, found.role, found.address)
        loguru.logger.bind(nodes=len(self._node_by_id)).info("table of nodes updated")
        self._entry.peers.set_nodes(list(self._node_by_id.values()))
        if read_version is None:
            # A process writes its row when it has started, also if its address is the same.
            for row in rows:
                self._entry.peers.redial(row.key)
