"""State that all entries share: the nodes, the configuration, and the evacuations.

It is read from the store and passed on over the links, as an entry may not reach the store. Each
part has versions of the store, so that an entry never goes back to an older state.
"""

from collections.abc import Callable

import loguru

from daisyfall import _pool_wire
from daisyfall.connection import _link
from daisyfall.process import _pool_metrics, _pool_peers
from daisyfall.version import _routes


class SharedState:
    """The shared state as this entry knows it; `decode` decodes the platform's configuration."""

    def __init__(
        self,
        peers: _pool_peers.PoolPeers,
        decode: Callable[[bytes], _routes.Configuration],
        metrics: _pool_metrics.PoolMetrics,
    ):
        self.configuration: _routes.Configuration | None = None
        self._document = b""
        self._peers = peers
        self._decode = decode
        self._metrics = metrics

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, 0 without any."""
        return self.configuration.version if self.configuration else 0

    def apply_configuration(self, document: bytes) -> None:
        """Apply a document with a newer version; log and count one that can't be decoded."""
        try:
            configuration = self._decode(document)
        except ValueError as error:
            self._metrics.count_internal_error("configuration")
            loguru.logger.bind(reason=str(error)).error("invalid configuration")
            return
        if self.configuration is not None and configuration.version <= self.version:
            return
        self.configuration = configuration
        self._document = document
        log = loguru.logger.bind(version=configuration.version, routes=len(configuration.routes))
        log.info("configuration in force")
        for _, link in self._peers.links(_pool_wire.ROLE_ENTRY):
            link.send(_pool_wire.ConfigurationUpdate(configuration.version, document))

    def send_to_entry(self, link: _link.Link) -> None:
        """Send the state to an entry that has connected."""
        nodes = self._peers.node_by_id.values()
        link.send(
            _pool_wire.MembershipUpdate([[node.id, node.role, node.address] for node in nodes])
        )
        if self.configuration is not None:
            link.send(_pool_wire.ConfigurationUpdate(self.version, self._document))

    def handle(self, message) -> None:
        """Apply an update that another entry has sent."""
        match message:
            case _pool_wire.MembershipUpdate():
                self._peers.add_nodes([_pool_peers.Node(*row) for row in message.nodes])
            case _pool_wire.ConfigurationUpdate():
                self.apply_configuration(message.document)
            case _:
                loguru.logger.bind(kind=type(message).__name__).warning("unexpected message")
