"""Which entry schedules the pools, as this entry sees it."""

import attrs

from daisyfall import _pool_wire
from daisyfall.connection import _link
from daisyfall.policy import _election

# An entry that was asked to place tasks keeps its view of the runners up to date this long.
SERVES_AFTER_S = 2.0
# Heartbeats to the entries that dialled this one; a silent scheduler is replaced after the limit.
PEER_BEAT_S = 0.1
PEER_SILENCE_S = 0.35
# Followers are watched as closely: one whose requests don't arrive has its link reset, as the
# heartbeats that still reach it would keep it from asking another entry.
FOLLOWER_BEAT_S = 0.15
FOLLOWER_SILENCE_S = 0.45
# Other diallers are only watched so that what they left behind is dropped.
DIALLER_BEAT_S = 0.5
DIALLER_SILENCE_S = 1.5


@attrs.define(eq=False)
class _Peer:
    link: _link.Link
    is_available: bool
    waiting_by_route: dict[str, int]
    schedules: bool


class Leadership:
    """The heartbeats of the other entries and the choice made from them."""

    def __init__(self, own_id: str, cores: float, started_ms: int, now: float):
        self.leader_id = own_id
        self._started_at = now
        self._own_id = own_id
        self._cores = cores
        self._started_ms = started_ms
        self._peer_by_id: dict[str, _Peer] = {}
        self._followers: set[str] = set()
        self._asked_at = float("-inf")
        self._schedules_since = float("inf")

    def heard(self, peer_id: str, link: _link.Link, beat: _pool_wire.PeerBeat) -> None:
        """Take a heartbeat."""
        self._peer_by_id[peer_id] = _Peer(
            link, beat.is_available, beat.waiting_by_route, beat.schedules
        )

    def lost(self, peer_id: str) -> None:
        """Forget an entry whose link has ended."""
        self._peer_by_id.pop(peer_id, None)

    def followed(self, peer_id: str, *, is_follower: bool) -> None:
        """Note whether an entry that dialled this one has its tasks placed here."""
        if is_follower:
            self._followers.add(peer_id)
        else:
            self._followers.discard(peer_id)

    def rhythm_to(self, peer_id: str) -> _link.Rhythm:
        """Return the rhythm of a link that this entry dialled to another one."""
        beat_s = FOLLOWER_BEAT_S if peer_id == self.leader_id else DIALLER_BEAT_S
        return _link.Rhythm(beat_s, PEER_SILENCE_S)

    def rhythm_from(self, peer_id: str) -> _link.Rhythm:
        """Return the rhythm of a link that another entry dialled to this one."""
        heartbeat_timeout_s = (
            FOLLOWER_SILENCE_S if peer_id in self._followers else DIALLER_SILENCE_S
        )
        return _link.Rhythm(PEER_BEAT_S, heartbeat_timeout_s)

    def asked(self, now: float) -> None:
        """Note that another entry takes this one for the scheduling one."""
        self._asked_at = now

    def schedules(self, now: float) -> bool:
        """Tell whether this entry needs to know the room of the runners."""
        is_needed = self.leader_id == self._own_id or now - self._asked_at < SERVES_AFTER_S
        self._schedules_since = min(self._schedules_since, now) if is_needed else float("inf")
        return is_needed

    def has_scheduled_for(self, seconds: float, now: float) -> bool:
        """Tell whether this entry has scheduled for some time, so that agents know of it."""
        return self.schedules(now) and now - self._schedules_since > seconds

    def waiting_elsewhere(self, route: str) -> int:
        """Return the waiting jobs of a route at the other entries."""
        return sum(each.waiting_by_route.get(route, 0) for each in self._peer_by_id.values())

    def choose(self, now: float, links: dict[str, _link.Link], *, is_available: bool) -> bool:
        """Choose the scheduling entry; tell whether it is another one than before."""
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
                opened = peer.link.peer
                reachable_for_s = now - peer.link.opened_at
                candidates.append(
                    _election.Candidate(
                        peer_id,
                        opened.cores,
                        opened.started_ms,
                        reachable_for_s,
                        peer.is_available,
                        peer.schedules,
                    )
                )
        before = self.leader_id
        # An entry that has just started has no scheduling one to keep; it joins the others'.
        is_settled = now - self._started_at >= _election.STABLE_AFTER_S
        chosen = _election.choose(candidates, before if is_settled else "")
        self.leader_id = chosen or self._own_id
        return self.leader_id != before
