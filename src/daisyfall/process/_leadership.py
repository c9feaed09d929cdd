"""Leader choice: which entry schedules the pools, from this entry's point of view."""

import attrs

from daisyfall import _pool_wire
from daisyfall.connection import _link
from daisyfall.policy import _election

# An entry that another one asked to place tasks keeps its runner state up to date for this time.
KEEP_UPDATED_S = 2.0
# Heartbeats of the leader and of the entries that rank next after it to those that dialled them;
# the others replace one that sends nothing for the timeout.
LEADER_HEARTBEAT_INTERVAL_S = 0.1
LEADER_TIMEOUT_S = 0.35
# How many of the highest-ranked entries send frequent heartbeats, so that a leader that is lost
# together with its successor is replaced as soon as one that is lost alone.
FREQUENT_HEARTBEAT_RANKS = 3
# A peer that is not the leader is lost after this many of the intervals that it declared.
INTERVALS_PER_TIMEOUT = 3.5
# Followers have a short timeout too: the link of a follower whose requests don't arrive is reset,
# as the heartbeats that still reach it would keep it from choosing another leader.
FOLLOWER_HEARTBEAT_INTERVAL_S = 0.15
FOLLOWER_TIMEOUT_S = 0.45
# The other entries only need a timeout so that their state is dropped.
PEER_HEARTBEAT_INTERVAL_S = 1.0
PEER_TIMEOUT_S = 3.0
# The choice is repeated after this time even if nothing has changed, as candidates become stable.
CHOICE_INTERVAL_S = 0.25
# An entry that has started makes its first choice when all registered entries have sent a
# heartbeat, or at the latest after this time: the first from the table of nodes, the second from
# the start of the process.
FIRST_CHOICE_S = 0.15
FIRST_CHOICE_WITHOUT_NODES_S = 0.5


@attrs.define(eq=False)
class _PeerState:
    link: _link.Link
    is_available: bool
    waiting_by_route: dict[str, int]
    is_scheduling: bool
    interval_s: float
    is_starting: bool


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
        self._rank = 0
        self._next_choice_at = now
        # Until the first choice, an entry neither follows another one nor asks to be followed.
        self._has_chosen = False
        self._registered_ids: set[str] | None = None
        self._first_choice_until = now + FIRST_CHOICE_WITHOUT_NODES_S

    @property
    def is_leader(self) -> bool:
        """Return whether this entry has chosen itself."""
        return self._has_chosen and self.leader_id == self._own_id

    @property
    def has_available_peer(self) -> bool:
        """Return whether another entry can serve callers."""
        return any(peer.is_available for peer in self._peer_by_id.values())

    def is_starting(self, now: float) -> bool:
        """Return whether this process has just started, and has no leader to keep."""
        return now - self._started_at < _election.STABLE_AFTER_S

    def set_registered(self, entry_ids: set[str], now: float) -> None:
        """Set the registered entries, whose heartbeats the first choice waits for."""
        if self._registered_ids is None:
            self._first_choice_until = min(self._first_choice_until, now + FIRST_CHOICE_S)
        self._registered_ids = entry_ids - {self._own_id}

    def record_heartbeat(
        self, peer_id: str, link: _link.Link, heartbeat: _pool_wire.PeerHeartbeat
    ) -> None:
        """Record a heartbeat of another entry."""
        previous = self._peer_by_id.get(peer_id)
        if (
            previous is None
            or previous.link is not link
            or previous.is_available != heartbeat.is_available
            or previous.is_scheduling != heartbeat.is_scheduling
            or previous.is_starting != heartbeat.is_starting
        ):
            self._next_choice_at = float("-inf")
        self._peer_by_id[peer_id] = _PeerState(
            link,
            heartbeat.is_available,
            heartbeat.waiting_by_route,
            heartbeat.is_scheduling,
            heartbeat.interval_ms / 1000,
            heartbeat.is_starting,
        )

    def remove_peer(self, peer_id: str) -> None:
        """Remove an entry whose link has closed."""
        self._peer_by_id.pop(peer_id, None)
        self._next_choice_at = float("-inf")

    def set_follower(self, peer_id: str, *, is_follower: bool) -> bool:
        """Record whether an entry that dialled this one follows it; return whether that is new."""
        is_new = is_follower != (peer_id in self._followers)
        if is_follower:
            self._followers.add(peer_id)
        else:
            self._followers.discard(peer_id)
        return is_new

    def heartbeat_timing_to(self, peer_id: str) -> _link.HeartbeatTiming:
        """Return the heartbeat timing of the link that this entry dialled to a peer."""
        if peer_id == self.leader_id:
            return _link.HeartbeatTiming(FOLLOWER_HEARTBEAT_INTERVAL_S, LEADER_TIMEOUT_S)
        peer = self._peer_by_id.get(peer_id)
        timeout_s = INTERVALS_PER_TIMEOUT * peer.interval_s if peer else PEER_TIMEOUT_S
        return _link.HeartbeatTiming(PEER_HEARTBEAT_INTERVAL_S, timeout_s)

    def heartbeat_timing_from(self, peer_id: str, revision: int) -> _link.HeartbeatTiming:
        """Return the heartbeat timing of the link that a peer dialled to this entry.

        `revision` is that of the peer's messages.
        """
        is_follower = peer_id in self._followers
        is_frequent = (
            is_follower
            or self._rank < FREQUENT_HEARTBEAT_RANKS
            or revision < _pool_wire.RARE_HEARTBEATS_REVISION
        )
        return _link.HeartbeatTiming(
            LEADER_HEARTBEAT_INTERVAL_S if is_frequent else PEER_HEARTBEAT_INTERVAL_S,
            FOLLOWER_TIMEOUT_S if is_follower else PEER_TIMEOUT_S,
        )

    def is_choice_due(self, now: float) -> bool:
        """Return whether the choice may have another result than the last one."""
        return now >= self._next_choice_at

    def record_request(self, now: float) -> None:
        """Record a placement request of an entry that considers this one the leader."""
        self._last_request_at = now

    def is_scheduling(self, now: float) -> bool:
        """Return whether this entry needs to know the free capacity of the runners."""
        is_needed = self.is_leader or now - self._last_request_at < KEEP_UPDATED_S
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
        peers = {peer_id: peer for peer_id, peer in self._peer_by_id.items() if peer_id in links}
        if not self._has_chosen and not self._is_first_choice_due(now, peers):
            self._next_choice_at = float("-inf")
            return False
        self._next_choice_at = now + CHOICE_INTERVAL_S
        has_established_leader = any(
            peer.is_scheduling and not peer.is_starting for peer in peers.values()
        )
        candidates = [
            _election.Candidate(
                self._own_id,
                self._cores,
                self._started_ms,
                now - self._started_at,
                is_available,
                self.is_leader and self.is_starting(now) and not has_established_leader,
                self.is_starting(now),
            )
        ]
        candidates += [_candidate(peer_id, peer, now) for peer_id, peer in peers.items()]
        previous_id = self.leader_id
        # An entry that has just started has no leader to keep and joins that of the others.
        keeps_leader = not self.is_starting(now) or (
            self._has_chosen and not has_established_leader
        )
        chosen = _election.choose(candidates, previous_id if keeps_leader else "")
        self.leader_id = chosen or self._own_id
        self._has_chosen = True
        self._rank = _election.rank(candidates, self._own_id)
        return self.leader_id != previous_id

    def _is_first_choice_due(self, now: float, peers: dict[str, _PeerState]) -> bool:
        """Return whether enough of the other entries are known for the first choice.

        A choice from the first links that happen to be open would be changed with the next ones,
        and all waiting tasks requested again each time.
        """
        return (
            now >= self._first_choice_until
            or any(peer.is_scheduling for peer in peers.values())
            or (self._registered_ids is not None and self._registered_ids <= peers.keys())
        )


def _candidate(peer_id: str, peer: _PeerState, now: float) -> _election.Candidate:
    handshake = peer.link.peer
    return _election.Candidate(
        peer_id,
        handshake.cores,
        handshake.started_ms,
        now - peer.link.opened_at,
        peer.is_available,
        peer.is_scheduling,
        peer.is_starting,
    )
