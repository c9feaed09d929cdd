"""Membership of one entry: its row in the table, its lease and its extension by promises."""

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
    """Who this process is."""

    id: str
    incarnation: str
    address: str
    http_address: str
    data_centre: str


class Membership:
    """The row of this entry and the lease that its renewals give."""

    def __init__(
        self, identity: EntryIdentity, table: _table.Table, settings: _settings.LeaseSettings
    ):
        seconds, margin = settings.lease_ms / 1000, settings.margin_ms / 1000
        self.lease = _ownership.Lease(seconds, margin)
        self.view = _ownership.ClusterView(seconds, margin)
        self.promises = _ownership.GrantedPromises(seconds, margin)
        self._table = table
        self._renew_seconds = settings.renew_ms / 1000
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
        # Peers named in any renewal that may have reached the table.
        self._promise_peers: set[InstanceId] = set()
        self._renewal_sent_at = float("-inf")

    @property
    def instance_id(self) -> InstanceId:
        """Return this entry's id and the incarnation under which it owns shards."""
        return (self.record.id, self.record.incarnation)

    def renewal_due(self, now: float) -> bool:
        """Tell whether the row has to be written again."""
        return not self.registered or now - self._renewal_sent_at >= self._renew_seconds

    async def renew(self) -> None:
        """Write the own row; raise `TableError` or `ConflictError`."""
        known = {
            (entry.id, entry.incarnation)
            for entry in self.view.entry_by_id.values()
            if entry.id != self.record.id
        }
        record = attrs.evolve(
            self.record, sequence=self.record.sequence + 1, peers=tuple(sorted(known))
        )
        self._promise_peers |= known
        self._renewal_sent_at = _clock.monotonic()
        self.record = record
        key = _ownership.ENTRY_PREFIX + record.id
        versions = await self._table.transact(
            [_table.Check(key, self._row_version)], [_table.Write(key, record.as_value())]
        )
        self._row_version = versions[key]
        self.registered = True
        self._promise_peers = known
        self.lease.extend(self._renewal_sent_at)

    async def resolve_conflict(self) -> bool:
        """Read the own row after a failed or doubtful renewal; False if this entry was fenced.

        Raises `TableError`.
        """
        key = _ownership.ENTRY_PREFIX + self.record.id
        row = (await self._table.read([key], [])).get(key, _table.ABSENT)
        self._row_version = row.version
        kept = True
        found = _ownership.entry_record(row.value, row.version) if row.version else None
        if found is None or found.incarnation != self.record.incarnation:
            if self.registered:
                kept = False
                self._become_new_incarnation("the row was deleted or belongs to another process")
        elif found.state == _ownership.FENCED:
            kept = False
            self._become_new_incarnation("another entry took over")
        elif found.sequence == self.record.sequence:
            # The last renewal took effect and only its reply was lost.
            self.registered = True
            self.lease.extend(self._renewal_sent_at)
        if found is not None:
            former = found.former_of_successor(self.record.incarnation)
            self.record = attrs.evolve(self.record, former=former)
        return kept

    def _become_new_incarnation(self, reason: str) -> None:
        # Other entries may still be taking shards of the fenced incarnation one by one,
        # so that incarnation must never hold a lease again.
        logger.bind(reason=reason).warning("entry was fenced, shards given up")
        self.lease.drop()
        self.registered = False
        self.record = attrs.evolve(self.record, incarnation=_ids.new_incarnation())

    async def ask_for_promises(
        self,
        request_promise: Callable[[InstanceId, InstanceId, float], Awaitable[bool]],
        sent_at: float,
    ) -> None:
        """Extend the lease if every peer promises not to take over (rule 7)."""
        peers = sorted(self._promise_peers)
        instance_id = self.instance_id
        calls = [request_promise(peer, instance_id, self.lease.duration) for peer in peers]
        granted = dict(zip(peers, await asyncio.gather(*calls), strict=True))
        self._extension.apply(granted, set(peers), sent_at, _clock.monotonic())

    async def remove_silent(self, now: float) -> None:
        """Delete the rows of entries that are long silent and own nothing."""
        for entry in _ownership.plan_removals(self.view, self.record.id, now):
            key = _ownership.ENTRY_PREFIX + entry.id
            logger.bind(entry=entry.id).info("silent entry removed from the roster")
            with contextlib.suppress(_table.ConflictError):
                await self._table.transact(
                    [_table.Check(key, entry.row_version)], [_table.Write(key, None)]
                )

    async def deregister(self) -> None:
        """Delete the own row; peers stop relying on this entry's promises.

        The row stays while a shard names this entry: a taker finds in it whom to ask about
        promises, and without it would need every listed agent.
        """
        owners = {(s.owner, s.owner_incarnation) for s in self.view.shard_by_number.values()}
        if self.instance_id in owners:
            logger.warning("row of this entry stays in the table: shards were not released")
            return
        key = _ownership.ENTRY_PREFIX + self.record.id
        try:
            await self._table.transact(
                [_table.Check(key, self._row_version)], [_table.Write(key, None)]
            )
        except (_table.TableError, _table.ConflictError) as error:
            logger.bind(reason=str(error)).warning("row of this entry stays in the table")
