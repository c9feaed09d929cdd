"""Heartbeats of an entry: their content, and their interval and timeout on each link."""

from collections.abc import Callable

import attrs

from daisyfall import _clock, _pool_wire
from daisyfall.connection import _link
from daisyfall.policy import _bounds
from daisyfall.process import _leadership, _link_timing, _pool_peers


@attrs.frozen
class EntryState:
    """State of an entry for its peers; `waiting_by_route` counts jobs."""

    is_available: bool
    configuration_version: int
    waiting_by_route: dict[str, int]
    is_starting: bool = False


@attrs.define(eq=False, kw_only=True)
class EntryHeartbeats:
    """Heartbeats on the links that an entry dialled and on those that other entries dialled.

    `has_tasks_at` tells whether tasks of this entry run at an agent.
    """

    _bounds: _bounds.Bounds
    _leadership: _leadership.Leadership
    _peers: _pool_peers.PoolPeers
    _incoming_by_id: dict[str, _link.Link]
    _describe: Callable[[], EntryState]
    _has_tasks_at: Callable[[str], bool]
    _announced_scheduling: bool = attrs.field(default=False, init=False)

    def update(self, now: float) -> None:
        """Bring the timing of all links up to date, and tell agents whether this entry schedules.

        An agent expects frequent heartbeats from the entry that schedules.
        """
        is_scheduling = self._leadership.is_scheduling(now)
        if is_scheduling != self._announced_scheduling:
            self._announced_scheduling = is_scheduling
            for node, link in self._peers.links(_pool_wire.ROLE_AGENT):
                link.send(self.for_node(node))
        for node_id, link in self._peers.link_by_id.items():
            self.set_timing(self._peers.node_by_id[node_id], link, now)
        for peer_id, link in self._incoming_by_id.items():
            self.set_incoming_timing(peer_id, link)

    def broadcast(self) -> None:
        """Announce the leader that this entry now follows to all entries at once."""
        for node, link in self._peers.links(_pool_wire.ROLE_ENTRY):
            link.send(self.for_node(node))

    def set_timing(self, node: _pool_peers.Node, link: _link.Link, now: float) -> None:
        """Set the timing of a link that this entry dialled."""
        if node.role == _pool_wire.ROLE_ENTRY:
            link.set_timing(self._leadership.heartbeat_timing_to(node.id))
            return
        has_been_scheduling = self._leadership.has_been_scheduling_for(
            self._bounds.heartbeat_timeout_s, now
        )
        has_work = self._leadership.is_scheduling(now) or self._has_tasks_at(node.id)
        link.set_timing(
            _link_timing.to_agent(
                self._bounds,
                is_scheduling=has_been_scheduling,
                has_tasks=has_work,
                revision=link.peer.revision,
            )
        )

    def set_incoming_timing(self, peer_id: str, link: _link.Link) -> None:
        """Set the timing of a link that a peer dialled; tell the peer if the interval changes."""
        timing = self._leadership.heartbeat_timing_from(peer_id, link.peer.revision)
        is_changed = timing.interval_s != link.timing.interval_s
        link.set_timing(timing)
        if is_changed:
            link.send(self.for_incoming(peer_id, link))

    def update_agent(self, agent_id: str) -> None:
        """Bring the timing of the link to an agent up to date, which is about to get a task."""
        link = self._peers.link_by_id.get(agent_id)
        if link is not None:
            self.set_timing(self._peers.node_by_id[agent_id], link, _clock.monotonic())

    def for_node(self, node: _pool_peers.Node) -> _pool_wire.Heartbeat | _pool_wire.PeerHeartbeat:
        """Return the heartbeat for a node that this entry dialled."""
        if node.role == _pool_wire.ROLE_ENTRY:
            return self._for_peer(node.id, _leadership.PEER_HEARTBEAT_INTERVAL_S)
        sent_ms = round(_clock.monotonic() * 1000)
        return _pool_wire.Heartbeat(self._announced_scheduling, sent_ms)

    def for_incoming(self, peer_id: str, link: _link.Link) -> _pool_wire.PeerHeartbeat:
        """Return the heartbeat for a link that a peer dialled; it declares the interval."""
        return self._for_peer(peer_id, link.timing.interval_s)

    def _for_peer(self, peer_id: str, interval_s: float) -> _pool_wire.PeerHeartbeat:
        state = self._describe()
        return _pool_wire.PeerHeartbeat(
            state.is_available,
            state.configuration_version,
            state.waiting_by_route,
            self._leadership.is_leader,
            self._leadership.leader_id == peer_id,
            round(interval_s * 1000),
            state.is_starting,
        )
