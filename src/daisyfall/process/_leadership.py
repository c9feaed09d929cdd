"""Leader choice: which entry schedules the pools, from this entry's point of view."""

import attrs

from daisyfall import _pool_wire
from daisyfall.connection import _link
from daisyfall.policy import _election

# An entry that another one asked to place tasks keeps its runner state up to date for this time.
KEEP_UPDATED_S = 2.0
# Heartbeats to the entries that dialled this one; they replace a leader that sends nothing for
# the timeout.
LEADER_HEARTBEAT_INTERVAL_S = 0.1
LEADER_TIMEOUT_S = 0.35
# Followers have a short timeout too: the link of a follower whose requests don't arrive is reset,
# as the heartbeats that still reach it would keep it from choosing another leader.
FOLLOWER_HEARTBEAT_INTERVAL_S = 0.15
FOLLOWER_TIMEOUT_S = 0.45
# The other entries that dialled this one only need a timeout so that their state is dropped.
PEER_HEARTBEAT_INTERVAL_S = 0.5
PEER_TIMEOUT_S = 1.5


@attrs.define(eq=False)
class _PeerState:
    link: _link.Link
    is_available: bool
    waiting_by_route: dict[str, int]
    is_scheduling: bool


class Leadership:
    """Tracks the heartbeats of the other entries and chooses the leader from them."""

    def __init__(self, own_id: str, cores: float, started_ms: int, now: float):
        self.leader_id = own_id
        self._started_at = now
        self._own_id = own_id
        self._cores = cores
        self._started_ms = started_ms
        self._peer_by_id: dict[str, _PeerState] = {}
        self._followers: set[str] = set()
        self._last_request_at = float("-inf")
        self._scheduling_since = float("inf")

    def heard(self, peer_id: str, link: _link.Link, heartbeat: _pool_wire.PeerHeartbeat) -> None:
        """Record a heartbeat of another entry."""
        self._peer_by_id[peer_id] = _PeerState(
            link, heartbeat.is_available, heartbeat.waiting_by_route, heartbeat.is_scheduling
        )

    def remove_peer(self, peer_id: str) -> None:
        """Remove an entry whose link has closed."""
        self._peer_by_id.pop(peer_id, None)

    def set_follower(self, peer_id: str, *, is_follower: bool) -> None:
        """Record whether an entry that dialled this one follows it as the leader."""
        if is_follower:
            self._followers.add(peer_id)
        else:
            self._followers.discard(peer_id)

    def heartbeat_timing_to(self, peer_id: str) -> _link.HeartbeatTiming:
        """Return the heartbeat timing of the link that this entry dialled to a peer."""
        interval_s = (
            FOLLOWER_HEARTBEAT_INTERVAL_S
            if peer_id == self.leader_id
            else PEER_HEARTBEAT_INTERVAL_S
        )
        return _link.HeartbeatTiming(interval_s, LEADER_TIMEOUT_S)

    def heartbeat_timing_from(self, peer_id: str) -> _link.HeartbeatTiming:
        """Return the heartbeat timing of the link that a peer dialled to this entry."""
        timeout_s = FOLLOWER_TIMEOUT_S if peer_id in self._followers else PEER_TIMEOUT_S
        return _link.HeartbeatTiming(LEADER_HEARTBEAT_INTERVAL_S, timeout_s)

    def record_request(self, now: float) -> None:
        """Record a placement request of an entry that considers this one the leader."""
        self._last_request_at = now

    def is_scheduling(self, now: float) -> bool:
        """Return whether this entry needs to know the free capacity of the runners."""
        is_needed = self.leader_id == self._own_id or now - self._last_request_at < KEEP_UPDATED_S
        self._scheduling_since = min(self._scheduling_since, now) if is_needed else float("inf")
        return is_needed

    def has_been_scheduling_for(self, seconds: float, now: float) -> bool:
        """Return whether this entry has been scheduling for that long, so that agents know it."""
        return self.is_scheduling(now) and now - self._scheduling_since > seconds

    def waiting_jobs_of_peers(self, route: str) -> int:
        """Return how many jobs of a route wait at the other entries."""
        return sum(peer.waiting_by_route.get(route, 0) for peer in self._peer_by_id.values())

    def choose(self, now: float, links: dict[str, _link.Link], *, is_available: bool) -> bool:
        """Choose the leader; return whether it has changed."""
        candidates = [
            _election.Candidate(
                self._own_id,
                self._cores,
                self._started_ms,
                now - self._started_at,
                is_available,
            )
        ]
        for peer_id, peer in self._peer_by_id.items():
            if peer_id in links:
                handshake = peer.link.peer
                reachable_for_s = now - peer.link.opened_at
                candidates.append(
                    _election.Candidate(
                        peer_id,
                        handshake.cores,
                        handshake.started_ms,
                        reachable_for_s,
                        peer.is_available,
                        peer.is_scheduling,
                    )
                )
        previous_id = self.leader_id
        # An entry that has just started has no leader to keep and joins that of the others.
        is_stable = now - self._started_at >= _election.STABLE_AFTER_S
        chosen = _election.choose(candidates, previous_id if is_stable else "")
        self.leader_id = chosen or self._own_id
        return self.leader_id != previous_id
