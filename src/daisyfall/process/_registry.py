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
    _missing,
    _ownership,
    _ownership_rows,
    _settings,
    _table,
)

# Share of the lease that may pass without a renewal before peers are asked.
PROMISE_SHARE = 0.5
PROMISE_INTERVAL_SECONDS = 0.2
Holder = _ownership.Holder
SNAPSHOT_KEYS = ["lists/head"]
SNAPSHOT_PREFIXES = [
    _ownership.ENTRY_PREFIX,
    _ownership.SHARD_PREFIX,
    _ownership.WISH_PREFIX,
]


class RegistryEvents:
    """What the registry tells the rest of the entry; the entry overrides these."""

    def on_snapshot(self, rows: dict[str, _table.Row]) -> None:
        """Take in a snapshot that was read."""

    def on_lost(self, shards: list[int]) -> None:
        """Give up shards that are no longer held."""

    def on_active(self, shard: int) -> None:
        """Use a shard that has become active."""


@attrs.frozen
class PeerCalls:
    """The calls to other entries and to agents that takeover and outages need.

    `promise(peer, holder, seconds)` asks for a promise; `query(peer, holder)`
    returns the seconds that a promise still lasts, None if that incarnation of
    the peer can't be asked; `fence(epochs, listed)` fences shards at the agents
    and returns the listed agents that did not answer, by shard;
    `announce_release()` lets the peers poll the table soon.
    """

    promise: Callable[[Holder, Holder, float], Awaitable[bool]]
    query: Callable[[Holder, Holder], Awaitable[float | None]]
    fence: Callable[[dict[int, int], _missing.Listed], Awaitable[dict[int, set[Holder]]]]
    announce_release: Callable[[], None]


class Registry:
    """Membership and ownership of one entry process."""

    def __init__(
        self,
        identity: _membership.Identity,
        table: _table.Table,
        settings: _settings.Settings,
        events: RegistryEvents,
    ):
        self._table = table
        self._settings = settings
        self._events = events
        self.calls: PeerCalls | None = None
        self.membership = _membership.Membership(identity, table, settings.lease)
        self.lease = self.membership.lease
        self.view = self.membership.view
        self.promises = self.membership.promises
        self.agent_rows = _agent_rows.AgentRows(table, settings.jobs)
        self.holding_by_shard: dict[int, _ownership.Holding] = {}
        # Epochs at which this incarnation has given shards up.
        self._given_up_by_shard: dict[int, int] = {}
        self.table_reachable = False
        self._layout_checked = False
        self._poke = asyncio.Event()
        self._activations: set[asyncio.Task] = set()

    def usable(self, shard: int, now: float) -> _ownership.Holding | None:
        """Return the holding if tasks of the shard may be admitted and started now (rule 1)."""
        holding = self.holding_by_shard.get(shard)
        if holding is None or not holding.active or holding.suspended:
            return None
        return holding if self.lease.valid(now) else None

    def poke(self) -> None:
        """Poll the table soon."""
        self._poke.set()

    @property
    def holder(self) -> Holder:
        """Return this entry's id and the incarnation under which it owns shards."""
        return self.membership.holder

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

    async def extend_in_outage(self) -> None:
        """Ask the peers for promises while renewals do not come through (rule 7)."""
        while True:
            await asyncio.sleep(PROMISE_INTERVAL_SECONDS)
            now = _clock.monotonic()
            if not self.lease.valid(now):
                self._check_lapse()
                continue
            if self.lease.remaining(now) < self.lease.duration * PROMISE_SHARE:
                await self.membership.ask_for_promises(self.calls.promise, now)

    def _check_lapse(self) -> None:
        if not self.membership.registered or not self.holding_by_shard:
            return
        logger.bind(shards=len(self.holding_by_shard)).warning("lease lapsed, shards given up")
        self._lose(list(self.holding_by_shard))

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
            self._lose(list(self.holding_by_shard))
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
        mine = self.holder
        lost, taken = [], []
        for shard, record in self.view.shard_by_number.items():
            holding = self.holding_by_shard.get(shard)
            if (record.owner, record.owner_incarnation) == mine:
                if holding is None and self._given_up_by_shard.get(shard) == record.epoch:
                    continue  # taken again at a higher epoch
                if holding is None or holding.epoch < record.epoch:
                    taken.append(record)
                elif holding.epoch == record.epoch:
                    holding.row_version = record.row_version
            elif holding is not None and record.epoch > holding.epoch:
                lost.append(shard)
        if lost:
            self._lose(lost)
        if taken and self.record.state == _ownership.ACTIVE:
            self._activate(taken)

    def _lose(self, shards: list[int]) -> None:
        for shard in shards:
            self._drop(shard)
        self._events.on_lost(shards)

    def _drop(self, shard: int) -> _ownership.Holding:
        holding = self.holding_by_shard.pop(shard)
        self._given_up_by_shard[shard] = holding.epoch
        return holding

    def _activate(self, records: list[_ownership.ShardRecord]) -> None:
        fenced = []
        for record in records:
            holding = _ownership.Holding(record.shard, record.epoch, record.row_version)
            self.holding_by_shard[record.shard] = holding
            if record.epoch > 1:
                fenced.append(holding)
                continue
            # Nobody has owned the shard before, so nothing of it can have been started.
            holding.active = True
            self._events.on_active(record.shard)
        if fenced:
            task = asyncio.create_task(self._fence_and_activate(fenced))
            self._activations.add(task)
            task.add_done_callback(self._activations.discard)

    async def _fence_and_activate(self, holdings: list[_ownership.Holding]) -> None:
        listed, _ = await self._read_listed()
        epochs = {holding.shard: holding.epoch for holding in holdings}
        missing_by_shard = await self.calls.fence(epochs, listed)
        jobs, now_ms = self._settings.jobs, _clock.wall_ms()
        skew_ms = jobs.clock_skew_ms + jobs.clock_tolerance_ms
        for holding in holdings:
            if self.holding_by_shard.get(holding.shard) is not holding:
                continue
            missing = missing_by_shard[holding.shard]
            holding.horizon_by_missing = _missing.horizons(
                missing, listed, now_ms, self._settings.lease.heartbeat_limit_ms, skew_ms
            )
            holding.active = True
            logger.bind(shard=holding.shard, epoch=holding.epoch, missing=len(missing)).info(
                "shard taken"
            )
            self._events.on_active(holding.shard)

    async def _read_listed(self) -> tuple[_missing.Listed, int]:
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
        for holder, shards in forced.items():
            await self._take_over(holder, shards)

    async def _take_over(self, holder: Holder, shards: list[_ownership.Acquire]) -> None:
        """Take the shards of a silent owner after its promises have ended (rule 4)."""
        previous = self.view.entry_by_id.get(holder[0])
        peers = previous.peers_of(holder[1]) if previous else ()
        if previous is not None and previous.incarnation != holder[1]:
            # The row was overwritten, so the holder can't renew; nothing is left to fence.
            previous = None
        if previous is None or previous.state != _ownership.FENCED:
            remaining = await self._promised(holder, peers)
            if remaining is None:
                await self._take_after_fence(shards, previous)
                return
            if remaining > 0:
                return
        await self._take(shards, previous)

    async def _promised(self, holder: Holder, peers: tuple[Holder, ...]) -> float | None:
        """Return the longest promise that still covers the holder; None if one is unknown."""
        if not peers:
            return None
        mine = self.promises.query(holder, _clock.monotonic())
        others = [peer for peer in peers if peer != self.holder]
        answers = await asyncio.gather(*[self.calls.query(peer, holder) for peer in others])
        if None in answers:
            return None
        return max([mine, *answers])

    async def _take_after_fence(
        self, shards: list[_ownership.Acquire], previous: _ownership.EntryRecord | None
    ) -> None:
        listed, version = await self.agent_rows.read()
        epochs = {each.shard: each.epoch for each in shards}
        missing = await self.calls.fence(epochs, listed)
        now_ms, limit_ms = _clock.wall_ms(), self._settings.lease.heartbeat_limit_ms
        free = [
            each
            for each in shards
            if not _missing.unfenced(missing[each.shard], listed, now_ms, limit_ms)
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
        mine, at_ms = self.holder, _clock.wall_ms()
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
        held = [shard for shard, each in self.holding_by_shard.items() if each.active]
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
                self.view.released(shard, versions[f"{_ownership.SHARD_PREFIX}{shard}"])
        except _table.ConflictError:
            self._poke.set()
        finally:
            self._events.on_lost(shards)
        self.calls.announce_release()

    async def _raise_epochs(self) -> None:
        plan = _ownership.plan_higher_epochs(self.view, self.holding_by_shard, self.holder)
        if plan and self._may_take():
            await self._take(plan, None)

    async def stop_owning(self) -> None:
        """Leave the roster as an owner and release every shard; the lease goes on."""
        self.membership.record = attrs.evolve(self.record, state=_ownership.STOPPING)
        if self.holding_by_shard:
            await self.release(list(self.holding_by_shard))

    def _set_reachable(self, reachable: bool, reason: str) -> None:
        if reachable == self.table_reachable:
            return
        self.table_reachable = reachable
        if reachable:
            logger.info("table is reachable")
        else:
            logger.bind(reason=reason).warning("table is not reachable")
