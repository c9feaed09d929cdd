"""Membership of one entry: its row in the table, and its lease with renewals and extensions."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import attrs
from loguru import logger

from daisyfall import _clock, _ids
from daisyfall.process import _ownership, _settings, _table

InstanceId = _ownership.InstanceId


@attrs.frozen
class EntryIdentity:
    """Id, incarnation and addresses of this process."""

    id: str
    incarnation: str
    address: str
    http_address: str
    data_centre: str


class Membership:
    """Registers this entry by its row in the table and renews its lease by rewriting the row."""

    def __init__(
        self, identity: EntryIdentity, table: _table.Table, settings: _settings.LeaseSettings
    ):
        duration, margin = settings.lease_ms / 1000, settings.margin_ms / 1000
        self.lease = _ownership.Lease(duration, margin)
        self.view = _ownership.ClusterView(duration, margin)
        self.promises = _ownership.GrantedPromises(duration, margin)
        self._table = table
        self._renew_interval = settings.renew_ms / 1000
        self._extension = _ownership.PeerLeaseExtension(self.lease)
        self.record = _ownership.EntryRecord(
            identity.id,
            identity.incarnation,
            0,
            identity.address,
            identity.http_address,
            identity.data_centre,
            _ownership.ACTIVE,
        )
        self._row_version = 0
        self.registered = False
        # Peers named in the last confirmed renewal or in any later one, as an unconfirmed
        # renewal may have been written.
        self._promise_peers: set[InstanceId] = set()
        self._renewal_sent_at = float("-inf")

    @property
    def instance_id(self) -> InstanceId:
        """Return this entry's id and the incarnation under which it owns shards."""
        return (self.record.id, self.record.incarnation)

    def renewal_due(self, now: float) -> bool:
        """Return whether the lease has to be renewed now."""
        return not self.registered or now - self._renewal_sent_at >= self._renew_interval

    async def renew(self) -> None:
        """Renew the lease by writing this entry's row; raise `TableError` or `ConflictError`."""
        peer_instances = {
            (entry.id, entry.incarnation)
            for entry in self.view.entry_by_id.values()
            if entry.id != self.record.id
        }
        record = attrs.evolve(
            self.record, sequence=self.record.sequence + 1, peers=tuple(sorted(peer_instances))
        )
        self._promise_peers |= peer_instances
        self._renewal_sent_at = _clock.monotonic()
        self.record = record
        key = _ownership.ENTRY_PREFIX + record.id
        versions = await self._table.transact(
            [_table.Check(key, self._row_version)], [_table.Write(key, record.as_value())]
        )
        self._row_version = versions[key]
        self.registered = True
        self._promise_peers = peer_instances
        self.lease.extend(self._renewal_sent_at)

    async def resolve_conflict(self) -> bool:
        """Read this entry's row after a conflict; return False if the entry was fenced.

        Raises `TableError`.
        """
        key = _ownership.ENTRY_PREFIX + self.record.id
        row = (await self._table.read([key], [])).get(key, _table.ABSENT)
        self._row_version = row.version
        still_owner = True
        found = _ownership.entry_record(row.value, row.version) if row.version else None
        if found is None or found.incarnation != self.record.incarnation:
            if self.registered:
                still_owner = False
                self._start_new_incarnation("the row was deleted or belongs to another process")
        elif found.state == _ownership.FENCED:
            still_owner = False
            self._start_new_incarnation("another entry took over")
        elif found.sequence == self.record.sequence:
            # The last renewal was written, only its reply was lost.
            self.registered = True
            self.lease.extend(self._renewal_sent_at)
        if found is not None:
            former = found.former_of_successor(self.record.incarnation)
            self.record = attrs.evolve(self.record, former=former)
        return still_owner

    def _start_new_incarnation(self, reason: str) -> None:
        # Other entries may still be acquiring the shards of the fenced incarnation one by
        # one, so that incarnation must never hold a lease again.
        logger.bind(reason=reason).warning("entry was fenced, continuing as a new incarnation")
        self.lease.drop()
        self.registered = False
        self.record = attrs.evolve(self.record, incarnation=_ids.new_incarnation())

    async def extend_by_promises(
        self,
        request_promise: Callable[[InstanceId, InstanceId, float], Awaitable[bool]],
        sent_at: float,
    ) -> None:
        """Extend the lease if every peer promises not to take over its shards."""
        peers = sorted(self._promise_peers)
        instance_id = self.instance_id
        calls = [request_promise(peer, instance_id, self.lease.duration) for peer in peers]
        granted = dict(zip(peers, await asyncio.gather(*calls), strict=True))
        self._extension.apply(granted, set(peers), sent_at, _clock.monotonic())

    async def remove_expired_entries(self, now: float) -> None:
        """Delete expired rows of other entries that own no shard."""
        for entry in _ownership.plan_removals(self.view, self.record.id, now):
            key = _ownership.ENTRY_PREFIX + entry.id
            logger.bind(entry=entry.id).info("expired entry removed")
            with contextlib.suppress(_table.ConflictError):
                await self._table.transact(
                    [_table.Check(key, entry.row_version)], [_table.Write(key, None)]
                )

    async def deregister(self) -> None:
        """Delete this entry's row, so that peers stop relying on its promises.

        The row is kept while a shard row names this entry: an entry that takes over finds in
        it the peers to query for promises, and would otherwise have to fence every listed agent.
        """
        owners = {
            (shard.owner, shard.owner_incarnation) for shard in self.view.shard_by_number.values()
        }
        if self.instance_id in owners:
            logger.warning("keeping the row of this entry: its shards were not released")
            return
        key = _ownership.ENTRY_PREFIX + self.record.id
        try:
            await self._table.transact(
                [_table.Check(key, self._row_version)], [_table.Write(key, None)]
            )
        except (_table.TableError, _table.ConflictError) as error:
            logger.bind(reason=str(error)).warning("could not delete the row of this entry")
