"""State that all entries share: nodes, configuration, evacuations and cancelled jobs.

All but the last are read from the store and passed on over the links, as an entry may not reach the
store. They have versions of the store, so that an entry never goes back to an older state.
"""

from collections.abc import Callable, Iterable, Sequence

import loguru

from daisyfall import _clock, _pool_wire
from daisyfall.connection import _link
from daisyfall.policy import _evacuations
from daisyfall.process import _pool_metrics, _pool_peers
from daisyfall.request import _cancellations
from daisyfall.version import _routes


class SharedState:
    """The shared state as this entry knows it; `decode` decodes the platform's configuration.

    `data_centres` names those of the deployment. `on_evacuated` is called with all data centres
    that are evacuated when they change, `on_cancelled` with a job that another entry has cancelled.
    """

    def __init__(
        self,
        peers: _pool_peers.PoolPeers,
        decode: Callable[[bytes], _routes.Configuration],
        metrics: _pool_metrics.PoolMetrics,
        data_centres: Iterable[str],
        *,
        on_evacuated: Callable[[frozenset[str]], None],
        on_cancelled: Callable[[str], object],
    ):
        self.configuration: _routes.Configuration | None = None
        self._document = b""
        self._peers = peers
        self._decode = decode
        self._metrics = metrics
        self._evacuations = _evacuations.Evacuations(data_centres)
        self._on_evacuated = on_evacuated
        self._on_cancelled = on_cancelled
        self._cancellations = _cancellations.Cancellations()
        self.evacuated: frozenset[str] = frozenset()

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

    def apply_evacuations(self, rows: Iterable[Sequence], *, are_stored: bool = False) -> None:
        """Apply rows of `[data centre, version, is evacuated]`; older ones change nothing.

        With `are_stored`, they were read from the store. Raise `TypeError` for a row that has
        other fields.
        """
        self._pass_on(self._evacuations.merge(_decode_states(rows)), tells_agents=are_stored)

    def apply_all_evacuations(
        self, rows: Iterable[Sequence], unreadable: Iterable[str], version: int
    ) -> None:
        """Apply all rows of the operator's table, as in `Evacuations.merge_full_read`."""
        states = _decode_states(rows)
        news = self._evacuations.merge_full_read(states, unreadable, version)
        self._pass_on(news, tells_agents=True)

    def cancel(self, job_id: str) -> None:
        """Tell the other entries of a cancelled job; one without a link when one opens."""
        self._cancellations.add(job_id, _clock.monotonic())
        for _, link in self._peers.links(_pool_wire.ROLE_ENTRY):
            link.send(_pool_wire.CancelJob(job_id))

    def is_cancelled(self, job_id: str) -> bool:
        """Return whether a job was cancelled lately, here or at another entry."""
        return self._cancellations.is_cancelled(job_id, _clock.monotonic())

    def is_known_data_centre(self, data_centre: str) -> bool:
        """Return whether a data centre is part of the deployment."""
        return self._evacuations.is_known(data_centre)

    def add_data_centre(self, data_centre: str) -> None:
        """Add the data centre of a process that has connected."""
        if not self._evacuations.is_known(data_centre):
            self._evacuations.add_known(data_centre)
            self._update_evacuated()

    def _pass_on(self, news: list[_evacuations.State], *, tells_agents: bool) -> None:
        """Tell all peers of new states, and then this entry's scheduler.

        With `tells_agents`, agents are told of all states: one may know of an evacuation, from an
        entry that is lost, of which this entry has only read the end.
        """
        if news or tells_agents:
            for _, link in self._peers.links(_pool_wire.ROLE_AGENT):
                self._send_evacuations(link)
        if news:
            for _, link in self._peers.links(_pool_wire.ROLE_ENTRY):
                self._send_evacuations(link)
            self._update_evacuated()

    def _update_evacuated(self) -> None:
        previous, self.evacuated = self.evacuated, self._evacuations.in_force
        for data_centre in sorted(self.evacuated - previous):
            loguru.logger.bind(data_centre=data_centre).warning("data centre is evacuated")
        for data_centre in sorted(previous - self.evacuated):
            loguru.logger.bind(data_centre=data_centre).info("data centre is taken back")
        if self.evacuated != previous:
            self._on_evacuated(self.evacuated)

    def _send_evacuations(self, link: _link.Link) -> None:
        rows = self._evacuations.rows()
        if rows and link.peer.revision >= _pool_wire.EVACUATIONS_REVISION:
            link.send(_pool_wire.EvacuationUpdate(rows))

    def send_to_agent(self, link: _link.Link) -> None:
        """Send the state to an agent that has connected."""
        self.add_data_centre(link.peer.data_centre)
        self._send_evacuations(link)

    def send_to_entry(self, link: _link.Link) -> None:
        """Send the state to an entry that has connected."""
        self.add_data_centre(link.peer.data_centre)
        self._send_evacuations(link)
        nodes = self._peers.node_by_id.values()
        link.send(
            _pool_wire.MembershipUpdate([[node.id, node.role, node.address] for node in nodes])
        )
        if self.configuration is not None:
            link.send(_pool_wire.ConfigurationUpdate(self.version, self._document))
        for job_id in self._cancellations.recent(_clock.monotonic()):
            link.send(_pool_wire.CancelJob(job_id))

    def handle(self, message) -> None:
        """Apply an update that another entry has sent."""
        match message:
            case _pool_wire.MembershipUpdate():
                self._peers.add_nodes([_pool_peers.Node(*row) for row in message.nodes])
            case _pool_wire.EvacuationUpdate():
                self.apply_evacuations(message.rows)
            case _pool_wire.ConfigurationUpdate():
                self.apply_configuration(message.document)
            case _pool_wire.CancelJob():
                self._cancellations.add(message.job_id, _clock.monotonic())
                self._on_cancelled(message.job_id)
            case _:
                loguru.logger.bind(kind=type(message).__name__).warning("unexpected message")


def _decode_states(rows: Iterable[Sequence]) -> list[_evacuations.State]:
    return [_evacuations.State(*row) for row in rows]
