"""Leases, takeover and promises: the decisions on who owns a shard.

Nothing here reads a clock or does I/O; `now` is a reading of the monotonic
clock in seconds. The rules are numbered as in docs/design.md, section 3.
"""

import attrs

from daisyfall import _ids

ACTIVE = "active"
STOPPING = "stopping"
FENCED = "fenced"

ENTRY_PREFIX = "entries/"
SHARD_PREFIX = "shards/"
AGENT_PREFIX = "agents/"
DESIRED_STATE_PREFIX = "wishes/"

# A new entry takes shards from a live owner only after this time, so that a
# process that restarts again and again does not move shards back and forth.
REBALANCE_AFTER_SECONDS = 5.0

# Rows of entries that are silent and own nothing are deleted after this time.
REMOVE_AFTER_SECONDS = 10.0

MAX_FORMER = 8


InstanceId = tuple[str, str]  # id and incarnation of an entry or an agent


@attrs.frozen
class EntryRecord:
    """Row of one entry.

    `peers` are the (id, incarnation) pairs whose promises the entry relies on in
    an outage; `former` holds earlier incarnations of the same id with their peers.
    """

    id: str
    incarnation: str
    sequence: int
    address: str
    http_address: str
    data_centre: str
    state: str
    peers: tuple[InstanceId, ...] = ()
    former: tuple[tuple[str, tuple[InstanceId, ...]], ...] = ()
    row_version: int = attrs.field(default=0, eq=False)

    def as_value(self) -> dict:
        """Return the row's value."""
        value = attrs.asdict(self)
        del value["row_version"]
        return value

    def peers_of(self, incarnation: str) -> tuple[InstanceId, ...]:
        """Return the peers of this or a former incarnation, nothing if it is not known."""
        if incarnation == self.incarnation:
            return self.peers
        return dict(self.former).get(incarnation, ())

    def former_of_successor(
        self, incarnation: str
    ) -> tuple[tuple[str, tuple[InstanceId, ...]], ...]:
        """Return the `former` value of the next incarnation of this id."""
        if incarnation == self.incarnation:
            return self.former
        return (*self.former, (self.incarnation, self.peers))[-MAX_FORMER:]


@attrs.frozen
class ShardRecord:
    """Row of one shard; an empty owner means that it was released."""

    shard: int
    epoch: int
    owner: str
    owner_incarnation: str
    taken_at_ms: int
    row_version: int = attrs.field(default=0, eq=False)

    def as_value(self) -> dict:
        """Return the row's value."""
        value = attrs.asdict(self)
        del value["row_version"]
        return value


def entry_record(value: dict, row_version: int) -> EntryRecord:
    """Return the record of an entry's row."""
    lists = {
        "peers": _holders(value["peers"]),
        "former": tuple((incarnation, _holders(peers)) for incarnation, peers in value["former"]),
    }
    return EntryRecord(**(value | lists), row_version=row_version)


def _holders(values: list) -> tuple[InstanceId, ...]:
    return tuple((each[0], each[1]) for each in values)


def shard_record(value: dict, row_version: int) -> ShardRecord:
    """Return the record of a shard's row."""
    return ShardRecord(**value, row_version=row_version)


@attrs.define
class Lease:
    """The time up to which this process may act as an owner."""

    duration: float
    margin: float
    until: float = float("-inf")

    def extend(self, sent_at: float) -> None:
        """Count a confirmed renewal from the moment at which it was sent."""
        self.until = max(self.until, sent_at + self.duration)

    def valid(self, now: float) -> bool:
        """Tell whether an owner may act; the margin covers clocks that run at other speeds."""
        return now < self.until - self.margin

    def remaining(self, now: float) -> float:
        """Return the seconds for which the lease stays valid."""
        return self.until - self.margin - now

    def drop(self) -> None:
        """End the lease at once."""
        self.until = float("-inf")


@attrs.define
class _Sighting:
    sequence: int | None
    seen_at: float


class ClusterView:
    """What an entry has read of the roster and the shards, and when rows last changed."""

    def __init__(self, lease: float, margin: float):
        self._lease = lease
        self._margin = margin
        self.entry_by_id: dict[str, EntryRecord] = {}
        self.shard_by_number: dict[int, ShardRecord] = {}
        self._sighting_by_holder: dict[InstanceId, _Sighting] = {}
        self._first_seen_by_holder: dict[InstanceId, float] = {}
        self._observed_at = float("-inf")

    def observe(self, entries: list[EntryRecord], shards: list[ShardRecord], now: float) -> None:
        """Take in one snapshot; `now` is the time at which the reply was received."""
        self.entry_by_id = {entry.id: entry for entry in entries}
        self.shard_by_number = {shard.shard: shard for shard in shards}
        if now - self._observed_at >= self._lease + self._margin:
            # Nothing was seen for a while, so nothing is known about who was silent.
            self._sighting_by_holder.clear()
        self._observed_at = now
        holders = {(entry.id, entry.incarnation): entry.sequence for entry in entries}
        owners = {(s.owner, s.owner_incarnation) for s in shards if s.owner}
        for instance_id in owners | set(holders):
            sequence = holders.get(instance_id)
            sighting = self._sighting_by_holder.get(instance_id)
            if sighting is None or sighting.sequence != sequence:
                self._sighting_by_holder[instance_id] = _Sighting(sequence, now)
            self._first_seen_by_holder.setdefault(instance_id, now)
        for instance_id in set(self._first_seen_by_holder) - owners - set(holders):
            self._sighting_by_holder.pop(instance_id, None)
            del self._first_seen_by_holder[instance_id]

    def silent_seconds(self, instance_id: InstanceId, now: float) -> float:
        """Return the time since the holder's row was seen to change."""
        sighting = self._sighting_by_holder.get(instance_id)
        return now - sighting.seen_at if sighting else 0.0

    def is_suspected(self, owner: str, incarnation: str, now: float) -> bool:
        """Tell whether the holder's row has not changed for lease + margin (rule 3)."""
        return self.silent_seconds((owner, incarnation), now) >= self._lease + self._margin

    def live_entry_ids(self, now: float) -> list[str]:
        """Return the ids of the entries that may own shards, sorted."""
        return sorted(
            entry.id
            for entry in self.entry_by_id.values()
            if entry.state == ACTIVE and not self.is_suspected(entry.id, entry.incarnation, now)
        )

    def settled(self, entry_id: str, now: float) -> bool:
        """Tell whether an entry has been on the roster long enough to be given shards."""
        entry = self.entry_by_id.get(entry_id)
        if entry is None:
            return False
        first = self._first_seen_by_holder.get((entry.id, entry.incarnation), now)
        return now - first >= REBALANCE_AFTER_SECONDS

    def preferred_owner(self, shard: int) -> str:
        """Return the active entry that the hash names, silent or not; empty for none."""
        active = [each.id for each in self.entry_by_id.values() if each.state == ACTIVE]
        return _ids.rendezvous_winner(str(shard), active) if active else ""

    def mark_released(self, shard: int, row_version: int) -> None:
        """Take in a release that was written since the last snapshot."""
        self.shard_by_number[shard] = attrs.evolve(
            self.shard_by_number[shard], owner="", owner_incarnation="", row_version=row_version
        )

    def owner_of(self, shard: int) -> ShardRecord | None:
        """Return the shard's row if it names an owner."""
        record = self.shard_by_number.get(shard)
        return record if record and record.owner else None


@attrs.frozen
class Acquire:
    """A shard without a live owner that this entry should take.

    `previous` is the silent owner's row if there is one that still names the
    same incarnation; `forced` tells that an owner existed and was not heard
    releasing the shard.
    """

    shard: int
    epoch: int
    row_version: int
    forced: bool
    owner: str = ""
    owner_incarnation: str = ""


@attrs.frozen
class Handover:
    """A shard of this entry that belongs to another live entry by the hash."""

    shard: int
    to: str


def plan_acquisitions(
    view: ClusterView, shard_count: int, my_id: str, my_incarnation: str, now: float
) -> list[Acquire]:
    """Return the shards that this entry may try to take now (rule 3)."""
    live_entry_ids = view.live_entry_ids(now)
    if my_id not in live_entry_ids:
        return []
    plan = []
    for shard in range(shard_count):
        if _ids.rendezvous_winner(str(shard), live_entry_ids) != my_id:
            continue
        record = view.shard_by_number.get(shard)
        if record is None:
            plan.append(Acquire(shard, 1, 0, forced=False))
        elif not record.owner:
            plan.append(Acquire(shard, record.epoch + 1, record.row_version, forced=False))
        elif (record.owner, record.owner_incarnation) == (my_id, my_incarnation):
            continue
        elif view.is_suspected(record.owner, record.owner_incarnation, now):
            plan.append(
                Acquire(
                    shard,
                    record.epoch + 1,
                    record.row_version,
                    forced=True,
                    owner=record.owner,
                    owner_incarnation=record.owner_incarnation,
                )
            )
    return plan


def plan_handovers(view: ClusterView, held: list[int], my_id: str, now: float) -> list[Handover]:
    """Return the held shards that another settled entry should own (rebalancing)."""
    live_entry_ids = [
        each for each in view.live_entry_ids(now) if each == my_id or view.settled(each, now)
    ]
    if my_id not in live_entry_ids:
        live_entry_ids.append(my_id)
    plan = []
    for shard in held:
        winner = _ids.rendezvous_winner(str(shard), live_entry_ids)
        if winner != my_id:
            plan.append(Handover(shard, winner))
    return plan


def plan_removals(view: ClusterView, my_id: str, now: float) -> list[EntryRecord]:
    """Return rows of entries that are long silent and named by no shard."""
    owners = {(s.owner, s.owner_incarnation) for s in view.shard_by_number.values()}
    live_entry_ids = view.live_entry_ids(now)
    return [
        entry
        for entry in view.entry_by_id.values()
        if (entry.id, entry.incarnation) not in owners
        and view.silent_seconds((entry.id, entry.incarnation), now) >= REMOVE_AFTER_SECONDS
        and live_entry_ids
        and _ids.rendezvous_winner(entry.id, live_entry_ids) == my_id
    ]


class GrantedPromises:
    """Promises that this entry has given not to take over from an owner (rules 4 and 7).

    A promise belongs to this incarnation: owners name the peer's incarnation in
    their row, and a taker that can't ask that incarnation takes the fence path.
    """

    def __init__(self, lease: float, margin: float):
        self._lease = lease
        self._margin = margin
        self._until_by_holder: dict[InstanceId, float] = {}
        self._denied_until_by_holder: dict[InstanceId, float] = {}

    def grant(self, instance_id: InstanceId, duration: float, now: float) -> bool:
        """Promise for `duration` seconds; False if a takeover from the holder is under way."""
        if now < self._denied_until_by_holder.get(instance_id, float("-inf")):
            return False
        until = now + min(duration, self._lease) + self._margin
        self._until_by_holder[instance_id] = max(
            until, self._until_by_holder.get(instance_id, until)
        )
        return True

    def query_promise(self, instance_id: InstanceId, now: float) -> float:
        """Return the seconds that promises to the holder still last; at 0, deny further ones.

        Without the denial, a request that was sent before the query and arrives
        after it would extend a lease that the taker already holds for ended.
        """
        until = self._until_by_holder.get(instance_id, float("-inf"))
        if now < until:
            return until - now
        self._denied_until_by_holder[instance_id] = now + self._lease + self._margin
        return 0.0


class PeerLeaseExtension:
    """Extension of the own lease by the promises of all peers (rule 7)."""

    def __init__(self, lease: Lease):
        self._lease = lease

    def apply(
        self, granted: dict[InstanceId, bool], peers: set[InstanceId], sent_at: float, now: float
    ) -> bool:
        """Extend if every peer granted and the lease has not lapsed meanwhile."""
        if not self._lease.valid(now):
            return False
        if not all(granted.get(peer, False) for peer in peers):
            return False
        self._lease.extend(sent_at)
        return True


@attrs.define
class OwnedShard:
    """One shard held by this process."""

    shard: int
    epoch: int
    row_version: int
    active: bool = False
    # Agents that may have started tasks of an earlier owner and can't be asked: jobs with
    # ids up to this time in ms since the Unix epoch.
    horizon_by_missing: dict[InstanceId, int] = attrs.Factory(dict)
    suspended: bool = False  # an agent has seen a higher epoch
    highest_seen_epoch: int = 0

    def suspend(self, seen_epoch: int) -> None:
        """Note that an agent has seen a higher epoch."""
        self.suspended = True
        self.highest_seen_epoch = max(self.highest_seen_epoch, seen_epoch)


def plan_higher_epochs(
    view: ClusterView, owned_shard_by_number: dict[int, OwnedShard], mine: InstanceId
) -> list[Acquire]:
    """Return the own shards to take again at a higher epoch.

    These are shards of which an agent has seen a higher epoch, and shards that were
    given up while their rows still name this incarnation: their jobs were forgotten,
    so the agents have to be asked, and a release in doubt must not take effect later.
    """
    plan = [
        Acquire(each.shard, each.highest_seen_epoch + 1, each.row_version, forced=False)
        for each in owned_shard_by_number.values()
        if each.suspended
    ]
    return plan + [
        Acquire(each.shard, each.epoch + 1, each.row_version, forced=False)
        for each in view.shard_by_number.values()
        if (each.owner, each.owner_incarnation) == mine and each.shard not in owned_shard_by_number
    ]
