"""Keeps this entry's row and its shards in the table, and its lease alive.

One loop renews and polls, a second one asks the peers for promises while
renewals do not come through. Ownership follows the rows: a shard row that names
this incarnation is activated even when the reply to the write was lost.
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

# Share of the lease that may pass without a renewal before peers are asked.
PROMISE_SHARE = 0.5
PROMISE_INTERVAL_SECONDS = 0.2
InstanceId = _ownership.InstanceId
SNAPSHOT_KEYS = ["lists/head"]
SNAPSHOT_PREFIXES = [
    _ownership.ENTRY_PREFIX,
    _ownership.SHARD_PREFIX,
    _ownership.DESIRED_STATE_PREFIX,
]


class ShardListener:
    """What the registry tells the rest of the entry; the entry overrides these."""

    def on_snapshot(self, rows: dict[str, _table.Row]) -> None:
        """Take in a snapshot that was read."""

    def on_shards_lost(self, shards: list[int]) -> None:
        """Give up shards that are no longer held."""

    def on_shard_active(self, shard: int) -> None:
        """Use a shard that has become active."""


@attrs.frozen
class PeerClient:
    """The calls to other entries and to agents that takeover and outages need.

    `promise(peer, holder, seconds)` asks for a promise; `query(peer, holder)`
    returns the seconds that a promise still lasts, None if that incarnation of
    the peer can't be asked; `fence(epochs, listed)` fences shards at the agents
    and returns the listed agents that did not answer, by shard;
    `announce_release()` lets the peers poll the table soon.
    """

    request_promise: Callable[[InstanceId, InstanceId, float], Awaitable[bool]]
    query_promise: Callable[[InstanceId, InstanceId], Awaitable[float | None]]
    fence: Callable[
        [dict[int, int], _unreachable_agents.ListedAgents], Awaitable[dict[int, set[InstanceId]]]
    ]
    announce_release: Callable[[], None]


class ShardManager:
    """Membership and ownership of one entry process."""

    def __init__(
        self,
        identity: _membership.EntryIdentity,
        table: _table.Table,
        settings: _settings.Settings,
        events: ShardListener,
    ):
        self._table = table
        self._settings = settings
        self._events = events
        self.peer_client: PeerClient | None = None
        self.membership = _membership.Membership(identity, table, settings.lease)
        self.lease = self.membership.lease
        self.view = self.membership.view
        self.promises = self.membership.promises
        self.agent_rows = _agent_rows.AgentRows(table, settings.jobs)
        self.owned_shard_by_number: dict[int, _ownership.OwnedShard] = {}
        # Epochs at which this incarnation has given shards up.
        self._relinquished_epoch_by_shard: dict[int, int] = {}
        self.table_reachable = False
        self._layout_checked = False
        self._poke = asyncio.Event()
        self._activations: set[asyncio.Task] = set()

    def usable_shard(self, shard: int, now: float) -> _ownership.OwnedShard | None:
        """Return the holding if tasks of the shard may be admitted and started now (rule 1)."""
        owned_shard = self.owned_shard_by_number.get(shard)
        if owned_shard is None or not owned_shard.active or owned_shard.suspended:
            return None
        return owned_shard if self.lease.valid(now) else None

    def request_poll(self) -> None:
        """Poll the table soon."""
        self._poke.set()

    @property
    def instance_id(self) -> InstanceId:
        """Return this entry's id and the incarnation under which it owns shards."""
        return self.membership.instance_id

    @property
    def record(self) -> _ownership.EntryRecord:
        """Return this entry's row as last written."""
        return self.membership.record

    async def run(self) -> None:
        """Renew, poll and acquire until cancelled."""
        interval = self._settings.lease.poll_ms / 1000
        while True:
            self._poke.clear()
            try:
                await self._tick()
            except _layout.LayoutError:
                raise
            except Exception:
                # Without renewals the lease lapses by itself; the loop has to go on.
                logger.exception("renewal failed unexpectedly")
            try:
                await asyncio.wait_for(self._poke.wait(), interval)
            except TimeoutError:
                continue
            # A burst of pokes must not turn into a burst of table reads.
            await asyncio.sleep(interval / 10)

    async def extend_lease_in_outage(self) -> None:
        """Ask the peers for promises while renewals do not come through (rule 7)."""
        while True:
            await asyncio.sleep(PROMISE_INTERVAL_SECONDS)
            now = _clock.monotonic()
            if not self.lease.valid(now):
                self._check_lapse()
                continue
            if self.lease.remaining(now) < self.lease.duration * PROMISE_SHARE:
                await self.membership.ask_for_promises(self.peer_client.request_promise, now)

    def _check_lapse(self) -> None:
        if not self.membership.registered or not self.owned_shard_by_number:
            return
        logger.bind(shards=len(self.owned_shard_by_number)).warning("lease lapsed, shards given up")
        self._lose(list(self.owned_shard_by_number))

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
            self._set_reachable(False, str(error))
            return
        self._set_reachable(True, "")

    async def _resolve_conflict(self) -> None:
        try:
            kept = await self.membership.resolve_conflict()
        except _table.TableError as error:
            self._set_reachable(False, str(error))
            return
        if not kept:
            self._lose(list(self.owned_shard_by_number))
        # The renewal that failed is made up for at once.
        self._poke.set()

    async def _poll(self) -> None:
        rows = await self._table.read(SNAPSHOT_KEYS, SNAPSHOT_PREFIXES)
        now = _clock.monotonic()
        entries, shards = _ownership_rows.parse(rows)
        self.view.observe(entries, shards, now)
        self._follow_rows()
        self._events.on_snapshot(rows)
        await self._acquire(now)
        await self._rebalance(now)
        await self._raise_epochs()
        await self.membership.remove_silent(now)

    # Ownership.

    def _follow_rows(self) -> None:
        mine = self.instance_id
        lost, taken = [], []
        for shard, record in self.view.shard_by_number.items():
            owned_shard = self.owned_shard_by_number.get(shard)
            if (record.owner, record.owner_incarnation) == mine:
                if (
                    owned_shard is None
                    and self._relinquished_epoch_by_shard.get(shard) == record.epoch
                ):
                    continue  # taken again at a higher epoch
                if owned_shard is None or owned_shard.epoch < record.epoch:
                    taken.append(record)
                elif owned_shard.epoch == record.epoch:
                    owned_shard.row_version = record.row_version
            elif owned_shard is not None and record.epoch > owned_shard.epoch:
                lost.append(shard)
        if lost:
            self._lose(lost)
        if taken and self.record.state == _ownership.ACTIVE:
            self._activate(taken)

    def _lose(self, shards: list[int]) -> None:
        for shard in shards:
            self._drop(shard)
        self._events.on_shards_lost(shards)

    def _drop(self, shard: int) -> _ownership.OwnedShard:
        owned_shard = self.owned_shard_by_number.pop(shard)
        self._relinquished_epoch_by_shard[shard] = owned_shard.epoch
        return owned_shard

    def _activate(self, records: list[_ownership.ShardRecord]) -> None:
        fenced = []
        for record in records:
            owned_shard = _ownership.OwnedShard(record.shard, record.epoch, record.row_version)
            self.owned_shard_by_number[record.shard] = owned_shard
            if record.epoch > 1:
                fenced.append(owned_shard)
                continue
            # Nobody has owned the shard before, so nothing of it can have been started.
            owned_shard.active = True
            self._events.on_shard_active(record.shard)
        if fenced:
            task = asyncio.create_task(self._fence_and_activate(fenced))
            self._activations.add(task)
            task.add_done_callback(self._activations.discard)

    async def _fence_and_activate(self, holdings: list[_ownership.OwnedShard]) -> None:
        listed, _ = await self._read_listed()
        epochs = {owned_shard.shard: owned_shard.epoch for owned_shard in holdings}
        missing_by_shard = await self.peer_client.fence(epochs, listed)
        jobs, now_ms = self._settings.jobs, _clock.wall_ms()
        skew_ms = jobs.clock_skew_ms + jobs.clock_tolerance_ms
        for owned_shard in holdings:
            if self.owned_shard_by_number.get(owned_shard.shard) is not owned_shard:
                continue
            missing = missing_by_shard[owned_shard.shard]
            owned_shard.horizon_by_missing = _unreachable_agents.horizons(
                missing, listed, now_ms, self._settings.lease.heartbeat_limit_ms, skew_ms
            )
            owned_shard.active = True
            logger.bind(
                shard=owned_shard.shard, epoch=owned_shard.epoch, missing=len(missing)
            ).info("shard taken")
            self._events.on_shard_active(owned_shard.shard)

    async def _read_listed(self) -> tuple[_unreachable_agents.ListedAgents, int]:
        while True:
            try:
                return await self.agent_rows.read()
            except _table.TableError as error:
                self._set_reachable(False, str(error))
                await asyncio.sleep(self._settings.lease.poll_ms / 1000)

    def _may_take(self) -> bool:
        active = self.record.state == _ownership.ACTIVE
        return active and self.lease.valid(_clock.monotonic())

    async def _acquire(self, now: float) -> None:
        if not self._may_take():
            return
        plan = _ownership.plan_acquisitions(
            self.view,
            self._settings.jobs.shard_count,
            self.record.id,
            self.record.incarnation,
            now,
        )
        easy = [each for each in plan if not each.forced]
        if easy:
            await self._take(easy, None)
        forced: dict[tuple[str, str], list[_ownership.Acquire]] = {}
        for each in plan:
            if each.forced:
                forced.setdefault((each.owner, each.owner_incarnation), []).append(each)
        for instance_id, shards in forced.items():
            await self._take_over(instance_id, shards)

    async def _take_over(self, instance_id: InstanceId, shards: list[_ownership.Acquire]) -> None:
        """Take the shards of a silent owner after its promises have ended (rule 4)."""
        previous = self.view.entry_by_id.get(instance_id[0])
        peers = previous.peers_of(instance_id[1]) if previous else ()
        if previous is not None and previous.incarnation != instance_id[1]:
            # The row was overwritten, so the holder can't renew; nothing is left to fence.
            previous = None
        if previous is None or previous.state != _ownership.FENCED:
            remaining = await self._promised(instance_id, peers)
            if remaining is None:
                await self._take_after_fence(shards, previous)
                return
            if remaining > 0:
                return
        await self._take(shards, previous)

    async def _promised(
        self, instance_id: InstanceId, peers: tuple[InstanceId, ...]
    ) -> float | None:
        """Return the longest promise that still covers the holder; None if one is unknown."""
        if not peers:
            return None
        mine = self.promises.query_promise(instance_id, _clock.monotonic())
        others = [peer for peer in peers if peer != self.instance_id]
        answers = await asyncio.gather(
            *[self.peer_client.query_promise(peer, instance_id) for peer in others]
        )
        if None in answers:
            return None
        return max([mine, *answers])

    async def _take_after_fence(
        self, shards: list[_ownership.Acquire], previous: _ownership.EntryRecord | None
    ) -> None:
        listed, version = await self.agent_rows.read()
        epochs = {each.shard: each.epoch for each in shards}
        missing = await self.peer_client.fence(epochs, listed)
        now_ms, limit_ms = _clock.wall_ms(), self._settings.lease.heartbeat_limit_ms
        free = [
            each
            for each in shards
            if not _unreachable_agents.unfenced(missing[each.shard], listed, now_ms, limit_ms)
        ]
        if len(free) < len(shards):
            logger.bind(shards=len(shards) - len(free)).debug("takeover waits for listed agents")
        if free:
            # An agent that was listed since then has not been fenced.
            unchanged = _table.Check(_agent_rows.LISTING_KEY, version)
            await self._take(free, previous, unchanged)

    async def _take(
        self,
        shards: list[_ownership.Acquire],
        previous: _ownership.EntryRecord | None,
        *more_checks: _table.Check,
    ) -> None:
        mine, at_ms = self.instance_id, _clock.wall_ms()
        records = [
            _ownership.ShardRecord(each.shard, each.epoch, *mine, at_ms, each.row_version)
            for each in shards
        ]
        checks, writes = _ownership_rows.take(records, previous)
        try:
            versions = await self._table.transact([*checks, *more_checks], writes)
        except _table.ConflictError:
            logger.bind(shards=len(shards)).info("another entry was first to take shards")
            self._poke.set()
            return
        # After a lost reply, the next poll finds these rows.
        for record in records:
            version = versions[f"{_ownership.SHARD_PREFIX}{record.shard}"]
            self.view.shard_by_number[record.shard] = attrs.evolve(record, row_version=version)
        self._follow_rows()

    async def _rebalance(self, now: float) -> None:
        if not self._may_take():
            return
        held = [shard for shard, each in self.owned_shard_by_number.items() if each.active]
        plan = _ownership.plan_handovers(self.view, held, self.record.id, now)
        if plan:
            await self.release([each.shard for each in plan])

    async def release(self, shards: list[int]) -> None:
        """Stop using the shards and write their rows without an owner (rule 9)."""
        holdings = [self._drop(shard) for shard in shards]
        checks, writes = _ownership_rows.release(holdings, _clock.wall_ms())
        logger.bind(shards=len(shards)).info("shards released")
        try:
            versions = await self._table.transact(checks, writes)
            for shard in shards:
                self.view.mark_released(shard, versions[f"{_ownership.SHARD_PREFIX}{shard}"])
        except _table.ConflictError:
            self._poke.set()
        finally:
            self._events.on_shards_lost(shards)
        self.peer_client.announce_release()

    async def _raise_epochs(self) -> None:
        plan = _ownership.plan_higher_epochs(
            self.view, self.owned_shard_by_number, self.instance_id
        )
        if plan and self._may_take():
            await self._take(plan, None)

    async def stop_owning(self) -> None:
        """Leave the roster as an owner and release every shard; the lease goes on."""
        self.membership.record = attrs.evolve(self.record, state=_ownership.STOPPING)
        if self.owned_shard_by_number:
            await self.release(list(self.owned_shard_by_number))

    def _set_reachable(self, reachable: bool, reason: str) -> None:
        if reachable == self.table_reachable:
            return
        self.table_reachable = reachable
        if reachable:
            logger.info("table is reachable")
        else:
            logger.bind(reason=reason).warning("table is not reachable")
