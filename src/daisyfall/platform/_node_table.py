"""An entry's copy of the table of nodes, whose rows may come from other writers."""

from collections.abc import Callable

import loguru

from daisyfall.platform import _node_row, _store
from daisyfall.process import _pool_peers

# Reason for which a row that names no node is counted.
UNREADABLE_ROW = "unreadable_row"


class NodeTable:
    """Passes all nodes to the links of an entry after each change.

    A row that names no node changes nothing: the node that its key named before stays.
    """

    def __init__(self, peers: _pool_peers.PoolPeers, count_error: Callable[[str], None]):
        self._peers = peers
        self._count_error = count_error
        self._node_by_id: dict[str, _pool_peers.Node] = {}
        self._unreadable_version_by_key: dict[str, int] = {}

    def update(self, rows: list[_store.Row], read_version: int | None) -> None:
        """Apply changed rows, or replace all rows if they were read as of a version."""
        if read_version is not None:
            for key in self._node_by_id.keys() - {row.key for row in rows}:
                del self._node_by_id[key]
        for row in rows:
            self._apply(row)
        loguru.logger.bind(nodes=len(self._node_by_id)).info("table of nodes updated")
        self._peers.set_nodes(list(self._node_by_id.values()))
        if read_version is None:
            # A process writes its row when it has started, also if its address is the same.
            for row in rows:
                self._peers.redial(row.key)

    def _apply(self, row: _store.Row) -> None:
        if row.value is None:
            self._node_by_id.pop(row.key, None)
            self._unreadable_version_by_key.pop(row.key, None)
            return
        found = _node_row.NodeRow.decode(row.value)
        if found is not None:
            self._node_by_id[row.key] = _pool_peers.Node(row.key, found.role, found.address)
        elif self._unreadable_version_by_key.get(row.key) != row.version:
            # A row that is read again is counted once.
            self._unreadable_version_by_key[row.key] = row.version
            self._count_error(UNREADABLE_ROW)
            log = loguru.logger.bind(key=row.key[:60], version=row.version)
            log.warning("a row of the table of nodes names no node")
