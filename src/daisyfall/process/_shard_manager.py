"""Acquires, renews and releases the shards of this entry.

One loop renews the lease and polls the table; another extends the lease by promises
of the peers while renewals fail. The table rows decide about ownership: a shard whose
row names this incarnation is activated even if the reply to the write was lost.
"""

import asyncio
from collections.abc import Awaitable, Callable

import attrs
from loguru import logger

from daisyfall import _clock
from daisyfall.process import (
    _agent_rows,
    _layout,
    _membership,
    _ownership,
    _ownership_rows,
    _settings,
    _table,
    _unreachable_agents,
)

# Peers are asked for promises when less than this share of the lease remains.
PROMISE_LEASE_SHARE = 0.5
PROMISE_INTERVAL_SECONDS = 0.2
InstanceId = _ownership.InstanceId
SNAPSHOT_KEYS = ["lists/head"]
SNAPSHOT_PREFIXES = [
    _ownership.ENTRY_PREFIX,
    _ownership.SHARD_PREFIX,
    _ownership.DESIRED_STATE_PREFIX,
]


class ShardListener:
    """Callbacks of the shard manager, to be overridden by the entry."""

    def on_snapshot(self, rows: dict[str, _table.Row]) -> None:
        """Handle a new snapshot of the table."""

    def on_shards_lost(self, shards: list[int]) -> None:
        """Drop the state of shards that this entry no longer owns."""

    def on_shard_active(self, shard: int) -> None:
        """Start using a shard that has become active."""


@attrs.frozen
class PeerClient:
    """Calls to other entries and to agents for takeovers and table outages.

    `request_promise(peer, owner, seconds)` asks for a promise not to take over; `query_promise`
    returns how many seconds a promise still lasts, None if that incarnation can't be reached;
    `fence(epochs, listed)` fences shards at the agents and returns, by shard, the listed agents
    that did not answer; `announce_release()` makes the peers poll the table soon.
    """

    request_promise: Callable[[InstanceId, InstanceId, float], Awaitable[bool]]
    query_promise: Callable[[InstanceId, InstanceId], Awaitable[float | None]]
    fence: Callable[
        [dict[int, int], _unreachable_agents.ListedAgents], Awaitable[dict[int, set[InstanceId]]]
    ]
    announce_release: Callable[[], None]


class ShardManager:
    """Maintains the membership of one entry process and the shards it owns."""

    def __init__(
        self,
        identity: _membership.EntryIdentity,
        table: _table.Table,
        settings: _settings.Settings,
        listener: ShardListener,
    ):
        self._table = table
        self._settings = settings
        self._listener = listener
        self.peer_client: PeerClient | None = None
        self.membership = _membership.Membership(identity, table, settings.lease)
        self.lease = self.membership.lease
        self.view = self.membership.view
        self.promises = self.membership.promises
        self.agent_rows = _agent_rows.AgentRows(table, settings.jobs)
        self.owned_shard_by_number: dict[int, _ownership.OwnedShard] = {}
        # Epochs at which this incarnation has stopped using shards.
        self._relinquished_epoch_by_shard: dict[int, int] = {}
        self.table_reachable = False
        self._layout_checked = False
        self._poll_requested = asyncio.Event()
        self._activations: set[asyncio.Task] = set()

    def usable_shard(self, shard: int, now: float) -> _ownership.OwnedShard | None:
        """Return the owned shard if its tasks may be admitted and started now."""
        owned = self.owned_shard_by_number.get(shard)
        if owned is None or not owned.active or owned.suspended:
            return None
        return owned if self.lease.valid(now) else None

    def request_poll(self) -> None:
        """Make the next poll of the table due now."""
        self._poll_requested.set()

    @property
    def instance_id(self) -> InstanceId:
        """Return this entry's id and the incarnation under which it owns shards."""
        return self.membership.instance_id

    @property
    def record(self) -> _ownership.EntryRecord:
        """Return the content of this entry's row."""
        return self.membership.record

    async def run(self) -> None:
        """Renew the lease, poll the table and acquire shards until cancelled."""
        interval = self._settings.lease.poll_ms / 1000
        while True:
            self._poll_requested.clear()
            try:
                await self._tick()
            except _layout.LayoutError:
                raise
            except Exception:
                # The loop must go on; without renewals the lease expires by itself.
                logger.exception("unexpected error while renewing the lease or polling the table")
            try:
                await asyncio.wait_for(self._poll_requested.wait(), interval)
            except TimeoutError:
                continue
            # Limits the rate of table reads when many polls are requested.
            await asyncio.sleep(interval / 10)

    async def extend_lease_in_outage(self) -> None:
        """Extend the lease by promises of the peers if renewals fail.

        Called every `PROMISE_INTERVAL_SECONDS`.
        """
        now = _clock.monotonic()
        if not self.lease.valid(now):
            self._check_lease_expiry()
        elif self.lease.remaining(now) < self.lease.duration * PROMISE_LEASE_SHARE:
            await self.membership.extend_by_promises(self.peer_client.request_promise, now)

    def _check_lease_expiry(self) -> None:
        if not self.membership.registered or not self.owned_shard_by_number:
            return
        logger.bind(shards=len(self.owned_shard_by_number)).warning("lease expired, shards dropped")
        self._relinquish(list(self.owned_shard_by_number))

    async def _tick(self) -> None:
        try:
            if not self._layout_checked:
                await _layout.check(self._table, self._settings.jobs.shard_count)
                self._layout_checked = True
            if self.membership.renewal_due(_clock.monotonic()):
                await self.membership.renew()
            await self._poll()
        except _table.ConflictError:
            await self._resolve_conflict()
            return
        except _table.TableError as error:
            self._set_table_reachable(False, str(error))
            return
        self._set_table_reachable(True, "")

    async def _resolve_conflict(self) -> None:
        try:
            still_owner = await self.membership.resolve_conflict()
        except _table.TableError as error:
            self._set_table_reachable(False, str(error))
            return
        if not still_owner:
            self._relinquish(list(self.owned_shard_by_number))
        # Repeat the failed renewal without waiting for the poll interval.
        self._poll_requested.set()

    async def _poll(self) -> None:
        rows = await self._table.read(SNAPSHOT_KEYS, SNAPSHOT_PREFIXES)
        now = _clock.monotonic()
        entries, shards = _ownership_rows.parse(rows)
        self.view.observe(entries, shards, now)
        self._apply_shard_rows()
        self._listener.on_snapshot(rows)
        await self._acquire(now)
        await self._rebalance(now)
        await self._bump_epochs()
        await self.membership.remove_expired_entries(now)

    def _apply_shard_rows(self) -> None:
        own_instance = self.instance_id
        lost, acquired = [], []
        for shard, record in self.view.shard_by_number.items():
            owned = self.owned_shard_by_number.get(shard)
            if (record.owner, record.owner_incarnation) == own_instance:
                if owned is None and self._relinquished_epoch_by_shard.get(shard) == record.epoch:
                    continue  # has to be acquired again at a higher epoch
                if owned is None or owned.epoch < record.epoch:
                    acquired.append(record)
                elif owned.epoch == record.epoch:
                    owned.row_version = record.row_version
            elif owned is not None and record.epoch > owned.epoch:
                lost.append(shard)
        if lost:
            self._relinquish(lost)
        if acquired and self.record.state == _ownership.ACTIVE:
            self._activate(acquired)

    def _relinquish(self, shards: list[int]) -> None:
        for shard in shards:
            self._remove_owned(shard)
        self._listener.on_shards_lost(shards)

    def _remove_owned(self, shard: int) -> _ownership.OwnedShard:
        owned = self.owned_shard_by_number.pop(shard)
        self._relinquished_epoch_by_shard[shard] = owned.epoch
        return owned

    def _activate(self, records: list[_ownership.ShardRecord]) -> None:
        to_fence = []
        for record in records:
            owned = _ownership.OwnedShard(record.shard, record.epoch, record.row_version)
            self.owned_shard_by_number[record.shard] = owned
            if record.epoch > 1:
                to_fence.append(owned)
                continue
            # The first owner of a shard has no earlier tasks to fence.
            owned.active = True
            self._listener.on_shard_active(record.shard)
        if to_fence:
            task = asyncio.create_task(self._fence_and_activate(to_fence))
            self._activations.add(task)
            task.add_done_callback(self._activations.discard)

    async def _fence_and_activate(self, owned_shards: list[_ownership.OwnedShard]) -> None:
        listed, _ = await self._read_listed()
        epochs = {owned.shard: owned.epoch for owned in owned_shards}
        missing_by_shard = await self.peer_client.fence(epochs, listed)
        jobs, now_ms = self._settings.jobs, _clock.wall_ms()
        skew_ms = jobs.clock_skew_ms + jobs.clock_tolerance_ms
        for owned in owned_shards:
            if self.owned_shard_by_number.get(owned.shard) is not owned:
                continue
            missing = missing_by_shard[owned.shard]
            owned.horizon_by_missing = _unreachable_agents.horizons(
                missing, listed, now_ms, self._settings.lease.heartbeat_limit_ms, skew_ms
            )
            owned.active = True
            logger.bind(shard=owned.shard, epoch=owned.epoch, missing=len(missing)).info(
                "shard activated"
            )
            self._listener.on_shard_active(owned.shard)

    async def _read_listed(self) -> tuple[_unreachable_agents.ListedAgents, int]:
        while True:
            try:
                return await self.agent_rows.read()
            except _table.TableError as error:
                self._set_table_reachable(False, str(error))
                await asyncio.sleep(self._settings.lease.poll_ms / 1000)

    def _may_acquire(self) -> bool:
        active = self.record.state == _ownership.ACTIVE
        return active and self.lease.valid(_clock.monotonic())

    async def _acquire(self, now: float) -> None:
        if not self._may_acquire():
            return
        plan = _ownership.plan_acquisitions(
            self.view, self._settings.jobs.shard_count, self.record.id, self.record.incarnation, now
        )
        unforced = [planned for planned in plan if not planned.forced]
        if unforced:
            await self._write_acquisitions(unforced, None)
        forced: dict[tuple[str, str], list[_ownership.Acquisition]] = {}
        for planned in plan:
            if planned.forced:
                forced.setdefault((planned.owner, planned.owner_incarnation), []).append(planned)
        for owner, shards in forced.items():
            await self._take_over(owner, shards)

    async def _take_over(self, owner: InstanceId, shards: list[_ownership.Acquisition]) -> None:
        """Acquire the shards of a suspected owner once the promises to it have expired."""
        previous = self.view.entry_by_id.get(owner[0])
        peers = previous.peers_of(owner[1]) if previous else ()
        if previous is not None and previous.incarnation != owner[1]:
            # The row was overwritten, so the owner can't renew and needs no fencing mark.
            previous = None
        if previous is None or previous.state != _ownership.FENCED:
            remaining = await self._max_promise(owner, peers)
            if remaining is None:
                await self._take_over_with_fencing(shards, previous)
                return
            if remaining > 0:
                return
        await self._write_acquisitions(shards, previous)

    async def _max_promise(self, owner: InstanceId, peers: tuple[InstanceId, ...]) -> float | None:
        """Return the longest remaining promise to the owner, None if a peer can't be queried."""
        if not peers:
            return None
        own_promise = self.promises.query_promise(owner, _clock.monotonic())
        others = [peer for peer in peers if peer != self.instance_id]
        answers = await asyncio.gather(
            *[self.peer_client.query_promise(peer, owner) for peer in others]
        )
        if None in answers:
            return None
        return max([own_promise, *answers])

    async def _take_over_with_fencing(
        self, shards: list[_ownership.Acquisition], previous: _ownership.EntryRecord | None
    ) -> None:
        listed, version = await self.agent_rows.read()
        epochs = {planned.shard: planned.epoch for planned in shards}
        missing = await self.peer_client.fence(epochs, listed)
        now_ms, limit_ms = _clock.wall_ms(), self._settings.lease.heartbeat_limit_ms
        fenced = [
            planned
            for planned in shards
            if not _unreachable_agents.unfenced(missing[planned.shard], listed, now_ms, limit_ms)
        ]
        if len(fenced) < len(shards):
            logger.bind(shards=len(shards) - len(fenced)).debug("takeover waits for fencing")
        if fenced:
            # Fails the write if an agent was listed meanwhile, as it has not been fenced.
            unchanged = _table.Check(_agent_rows.LISTING_KEY, version)
            await self._write_acquisitions(fenced, previous, unchanged)

    async def _write_acquisitions(
        self,
        shards: list[_ownership.Acquisition],
        previous: _ownership.EntryRecord | None,
        *more_checks: _table.Check,
    ) -> None:
        own_instance, at_ms = self.instance_id, _clock.wall_ms()
        records = [
            _ownership.ShardRecord(
                planned.shard, planned.epoch, *own_instance, at_ms, planned.row_version
            )
            for planned in shards
        ]
        checks, writes = _ownership_rows.acquire(records, previous)
        try:
            versions = await self._table.transact([*checks, *more_checks], writes)
        except _table.ConflictError:
            logger.bind(shards=len(shards)).info("shards were acquired by another entry")
            self._poll_requested.set()
            return
        # If the reply was lost instead, the next poll reads these rows.
        for record in records:
            version = versions[f"{_ownership.SHARD_PREFIX}{record.shard}"]
            self.view.shard_by_number[record.shard] = attrs.evolve(record, row_version=version)
        self._apply_shard_rows()

    async def _rebalance(self, now: float) -> None:
        if not self._may_acquire():
            return
        shards = [shard for shard, owned in self.owned_shard_by_number.items() if owned.active]
        plan = _ownership.plan_handovers(self.view, shards, self.record.id, now)
        if plan:
            await self.release([handover.shard for handover in plan])

    async def release(self, shards: list[int]) -> None:
        """Stop using the shards, then clear the owner in their rows."""
        owned_shards = [self._remove_owned(shard) for shard in shards]
        checks, writes = _ownership_rows.release(owned_shards, _clock.wall_ms())
        logger.bind(shards=len(shards)).info("shards released")
        try:
            versions = await self._table.transact(checks, writes)
            for shard in shards:
                self.view.mark_released(shard, versions[f"{_ownership.SHARD_PREFIX}{shard}"])
        except _table.ConflictError:
            self._poll_requested.set()
        finally:
            self._listener.on_shards_lost(shards)
        self.peer_client.announce_release()

    async def _bump_epochs(self) -> None:
        plan = _ownership.plan_epoch_bumps(self.view, self.owned_shard_by_number, self.instance_id)
        if plan and self._may_acquire():
            await self._write_acquisitions(plan, None)

    async def stop_owning(self) -> None:
        """Mark this entry as stopping and release all its shards; the lease stays in force."""
        self.membership.record = attrs.evolve(self.record, state=_ownership.STOPPING)
        if self.owned_shard_by_number:
            await self.release(list(self.owned_shard_by_number))

    def _set_table_reachable(self, reachable: bool, reason: str) -> None:
        if reachable == self.table_reachable:
            return
        self.table_reachable = reachable
        if reachable:
            logger.info("table is reachable")
        else:
            logger.bind(reason=reason).warning("table is not reachable")
