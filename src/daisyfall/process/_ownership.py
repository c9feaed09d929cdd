"""Shard ownership: leases, takeover, handover and promises not to take over.

The decisions are pure: nothing here reads a clock or does I/O, and `now` is a
monotonic time in seconds. The rules that they follow are in docs/design.md, section 3.
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

# Shards are handed over to a new entry only after it has been registered for this time, so that
# a process in a restart loop does not move shards back and forth.
REBALANCE_DELAY_SECONDS = 5.0

# The row of an entry that owns no shard is deleted when it has not changed for this time.
ENTRY_EXPIRY_SECONDS = 10.0
MAX_FORMER_INCARNATIONS = 8

InstanceId = tuple[str, str]  # id and incarnation of an entry or agent process


@attrs.frozen
class EntryRecord:
    """Table row of one entry.

    `peers` are the instances whose promises extend the entry's lease during a table
    outage; `former` are earlier incarnations of the same id with their peers.
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
        """Return the peers of the current or a former incarnation, empty if it is unknown."""
        if incarnation == self.incarnation:
            return self.peers
        return dict(self.former).get(incarnation, ())

    def former_of_successor(
        self, incarnation: str
    ) -> tuple[tuple[str, tuple[InstanceId, ...]], ...]:
        """Return the `former` value for the row of this id's next incarnation."""
        if incarnation == self.incarnation:
            return self.former
        return (*self.former, (self.incarnation, self.peers))[-MAX_FORMER_INCARNATIONS:]


@attrs.frozen
class ShardRecord:
    """Table row of one shard; the owner is empty if the shard was released."""

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
    """Return the record for the value of an entry's row."""
    decoded = {
        "peers": _instance_ids(value["peers"]),
        "former": tuple(
            (incarnation, _instance_ids(peers)) for incarnation, peers in value["former"]
        ),
    }
    return EntryRecord(**(value | decoded), row_version=row_version)


def _instance_ids(values: list) -> tuple[InstanceId, ...]:
    return tuple((pair[0], pair[1]) for pair in values)


def shard_record(value: dict, row_version: int) -> ShardRecord:
    """Return the record for the value of a shard's row."""
    return ShardRecord(**value, row_version=row_version)


@attrs.define
class Lease:
    """Lease of this process on its shards; it may act as their owner until the lease expires."""

    duration: float
    margin: float
    expires_at: float = float("-inf")

    def extend(self, sent_at: float) -> None:
        """Extend the lease by a confirmed renewal, counted from when the renewal was sent."""
        self.expires_at = max(self.expires_at, sent_at + self.duration)

    def valid(self, now: float) -> bool:
        """Return whether the owner may act; the margin allows for clocks that drift apart."""
        return now < self.expires_at - self.margin

    def remaining(self, now: float) -> float:
        """Return for how many more seconds the lease is valid."""
        return self.expires_at - self.margin - now

    def drop(self) -> None:
        """End the lease immediately."""
        self.expires_at = float("-inf")


@attrs.define
class _Observation:
    sequence: int | None
    changed_at: float


class ClusterView:
    """This entry's view of the entry and shard rows, with failure detection.

    An instance is suspected to have failed when its row was not seen to change for
    the lease duration plus the margin, by this process's own clock.
    """

    def __init__(self, lease: float, margin: float):
        self._lease = lease
        self._margin = margin
        self.entry_by_id: dict[str, EntryRecord] = {}
        self.shard_by_number: dict[int, ShardRecord] = {}
        self._observation_by_instance: dict[InstanceId, _Observation] = {}
        self._first_seen_by_instance: dict[InstanceId, float] = {}
        self._observed_at = float("-inf")

    def observe(self, entries: list[EntryRecord], shards: list[ShardRecord], now: float) -> None:
        """Update the view from a snapshot that was received at `now`."""
        self.entry_by_id = {entry.id: entry for entry in entries}
        self.shard_by_number = {shard.shard: shard for shard in shards}
        if now - self._observed_at >= self._lease + self._margin:
            # Without a recent snapshot an unchanged row does not show that its owner
            # has stopped renewing it, so all observations start anew.
            self._observation_by_instance.clear()
        self._observed_at = now
        sequence_by_instance = {(entry.id, entry.incarnation): entry.sequence for entry in entries}
        owners = {(shard.owner, shard.owner_incarnation) for shard in shards if shard.owner}
        for instance_id in owners | set(sequence_by_instance):
            sequence = sequence_by_instance.get(instance_id)
            observation = self._observation_by_instance.get(instance_id)
            if observation is None or observation.sequence != sequence:
                self._observation_by_instance[instance_id] = _Observation(sequence, now)
            self._first_seen_by_instance.setdefault(instance_id, now)
        for instance_id in set(self._first_seen_by_instance) - owners - set(sequence_by_instance):
            self._observation_by_instance.pop(instance_id, None)
            del self._first_seen_by_instance[instance_id]

    def seconds_since_change(self, instance_id: InstanceId, now: float) -> float:
        """Return the seconds since the instance's row was last seen to change."""
        observation = self._observation_by_instance.get(instance_id)
        return now - observation.changed_at if observation else 0.0

    def is_suspected(self, owner: str, incarnation: str, now: float) -> bool:
        """Return whether the owner's row has not changed for lease + margin."""
        return self.seconds_since_change((owner, incarnation), now) >= self._lease + self._margin

    def live_entry_ids(self, now: float) -> list[str]:
        """Return the sorted ids of the active entries that are not suspected."""
        return sorted(
            entry.id
            for entry in self.entry_by_id.values()
            if entry.state == ACTIVE and not self.is_suspected(entry.id, entry.incarnation, now)
        )

    def is_stable(self, entry_id: str, now: float) -> bool:
        """Return whether an entry has been registered long enough to be handed shards."""
        entry = self.entry_by_id.get(entry_id)
        if entry is None:
            return False
        first = self._first_seen_by_instance.get((entry.id, entry.incarnation), now)
        return now - first >= REBALANCE_DELAY_SECONDS

    def preferred_owner(self, shard: int) -> str:
        """Return the active entry to which the shard hashes, even if suspected, or `""`."""
        active = [entry.id for entry in self.entry_by_id.values() if entry.state == ACTIVE]
        return _ids.rendezvous_winner(str(shard), active) if active else ""

    def mark_released(self, shard: int, row_version: int) -> None:
        """Record that this entry has released the shard since the last snapshot."""
        self.shard_by_number[shard] = attrs.evolve(
            self.shard_by_number[shard], owner="", owner_incarnation="", row_version=row_version
        )

    def owner_of(self, shard: int) -> ShardRecord | None:
        """Return the shard's row, None if the shard has no owner."""
        record = self.shard_by_number.get(shard)
        return record if record and record.owner else None


@attrs.frozen
class Acquisition:
    """Planned acquisition of a shard at a new epoch.

    `forced` means a takeover from a suspected owner that did not release the shard;
    `owner` and `owner_incarnation` name that owner.
    """

    shard: int
    epoch: int
    row_version: int
    forced: bool
    owner: str = ""
    owner_incarnation: str = ""


@attrs.frozen
class Handover:
    """Planned handover of an owned shard to the live entry `to`, to which it hashes."""

    shard: int
    to: str


def plan_acquisitions(
    view: ClusterView, shard_count: int, own_id: str, own_incarnation: str, now: float
) -> list[Acquisition]:
    """Return the shards that this entry may acquire: new, released, or of a suspected owner."""
    live_entry_ids = view.live_entry_ids(now)
    if own_id not in live_entry_ids:
        return []
    plan = []
    for shard in range(shard_count):
        if _ids.rendezvous_winner(str(shard), live_entry_ids) != own_id:
            continue
        record = view.shard_by_number.get(shard)
        if record is None:
            plan.append(Acquisition(shard, 1, 0, forced=False))
        elif not record.owner:
            plan.append(Acquisition(shard, record.epoch + 1, record.row_version, forced=False))
        elif (record.owner, record.owner_incarnation) == (own_id, own_incarnation):
            continue
        elif view.is_suspected(record.owner, record.owner_incarnation, now):
            plan.append(
                Acquisition(
                    shard,
                    record.epoch + 1,
                    record.row_version,
                    forced=True,
                    owner=record.owner,
                    owner_incarnation=record.owner_incarnation,
                )
            )
    return plan


def plan_handovers(view: ClusterView, owned: list[int], own_id: str, now: float) -> list[Handover]:
    """Return the owned shards that should move to another stable entry (rebalancing)."""
    live_entry_ids = [
        entry_id
        for entry_id in view.live_entry_ids(now)
        if entry_id == own_id or view.is_stable(entry_id, now)
    ]
    if own_id not in live_entry_ids:
        live_entry_ids.append(own_id)
    plan = []
    for shard in owned:
        winner = _ids.rendezvous_winner(str(shard), live_entry_ids)
        if winner != own_id:
            plan.append(Handover(shard, winner))
    return plan


def plan_removals(view: ClusterView, own_id: str, now: float) -> list[EntryRecord]:
    """Return expired rows of entries that own no shard and are this entry's to delete."""
    owners = {(shard.owner, shard.owner_incarnation) for shard in view.shard_by_number.values()}
    live_entry_ids = view.live_entry_ids(now)
    return [
        entry
        for entry in view.entry_by_id.values()
        if (entry.id, entry.incarnation) not in owners
        and view.seconds_since_change((entry.id, entry.incarnation), now) >= ENTRY_EXPIRY_SECONDS
        and live_entry_ids
        and _ids.rendezvous_winner(entry.id, live_entry_ids) == own_id
    ]


class GrantedPromises:
    """Promises of this entry not to take over from an owner for some time.

    A promise ends with this incarnation: an owner's row names the incarnations of its
    peers, and an entry that can't query each of them has to fence the agents instead.
    """

    def __init__(self, lease: float, margin: float):
        self._lease = lease
        self._margin = margin
        self._promised_until_by_owner: dict[InstanceId, float] = {}
        self._denied_until_by_owner: dict[InstanceId, float] = {}

    def grant(self, owner: InstanceId, duration: float, now: float) -> bool:
        """Promise for `duration` seconds; return False during a takeover from the owner."""
        if now < self._denied_until_by_owner.get(owner, float("-inf")):
            return False
        expires_at = now + min(duration, self._lease) + self._margin
        self._promised_until_by_owner[owner] = max(
            expires_at, self._promised_until_by_owner.get(owner, expires_at)
        )
        return True

    def query_promise(self, owner: InstanceId, now: float) -> float:
        """Return how many seconds the promise to the owner still lasts; at 0, deny new ones.

        Without the denial, a promise request that was sent before the query and arrives
        after it would extend a lease that the querying entry considers expired.
        """
        expires_at = self._promised_until_by_owner.get(owner, float("-inf"))
        if now < expires_at:
            return expires_at - now
        self._denied_until_by_owner[owner] = now + self._lease + self._margin
        return 0.0


class PeerLeaseExtension:
    """Extends this entry's lease if all peers promise not to take over."""

    def __init__(self, lease: Lease):
        self._lease = lease

    def apply(
        self, granted: dict[InstanceId, bool], peers: set[InstanceId], sent_at: float, now: float
    ) -> bool:
        """Extend the lease if every peer granted a promise and the lease is still valid."""
        if not self._lease.valid(now):
            return False
        if not all(granted.get(peer, False) for peer in peers):
            return False
        self._lease.extend(sent_at)
        return True


@attrs.define
class OwnedShard:
    """A shard owned by this process, in use while it is active and not suspended."""

    shard: int
    epoch: int
    row_version: int
    active: bool = False
    # For each unreachable agent that may have started tasks of an earlier owner: the latest
    # time in the ids of jobs it may have started, in ms since the Unix epoch.
    horizon_by_missing: dict[InstanceId, int] = attrs.Factory(dict)
    suspended: bool = False  # an agent has seen a higher epoch
    highest_seen_epoch: int = 0

    def suspend(self, seen_epoch: int) -> None:
        """Stop using the shard, as an agent has seen a higher epoch."""
        self.suspended = True
        self.highest_seen_epoch = max(self.highest_seen_epoch, seen_epoch)


def plan_epoch_bumps(
    view: ClusterView, owned_shard_by_number: dict[int, OwnedShard], own_instance: InstanceId
) -> list[Acquisition]:
    """Return the shards that this entry has to acquire again at a higher epoch.

    These are suspended shards, and relinquished shards whose rows still name this incarnation.
    The jobs of the latter were dropped, so the agents have to be fenced again, and a release
    whose outcome is unknown must not take effect later.
    """
    plan = [
        Acquisition(owned.shard, owned.highest_seen_epoch + 1, owned.row_version, forced=False)
        for owned in owned_shard_by_number.values()
        if owned.suspended
    ]
    return plan + [
        Acquisition(record.shard, record.epoch + 1, record.row_version, forced=False)
        for record in view.shard_by_number.values()
        if (record.owner, record.owner_incarnation) == own_instance
        and record.shard not in owned_shard_by_number
    ]
