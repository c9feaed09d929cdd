"""Simulation of entries and agents in one process, on a virtual clock and without I/O.

Shard manager, membership, owner, delivery, dispatcher, fencer, ledger and executor are
the production classes. The table, the connections and the runner are simulated, and
faults may delay, lose or repeat every message.
"""

import asyncio
import collections
import itertools
import json
import random

import attrs
from schedule_agent import Agent, NullMetrics, Session

from daisyfall import _clock, _ids, _wire, errors
from daisyfall.connection import _fencer
from daisyfall.process import (
    _membership,
    _ownership,
    _settings,
    _shard_manager,
    _table,
    _ticker,
)
from daisyfall.request import _delivery, _dispatcher, _jobs, _owner, _submission
from daisyfall.version import _lists_check
from daisyfall_standins import _workload
from daisyfall_standins import cluster as clusters
from daisyfall_standins import table as tables

BUYER = "buyer"
MAX_ENTRIES = 3
NEWCOMER = 9  # number of an entry that joins late and is preferred owner of the shard by its hash
CALL_SECONDS = 0.5
TABLE_TIMEOUT_SECONDS = 1.5
LISTS = clusters.build_lists([_workload.Buyer(BUYER, "secret")])


@attrs.frozen
class Rules:
    """Safety rules; a run may disable one to show that the schedules find the fault it prevents."""

    list_agents: bool = True
    horizon_skew: bool = True
    ask_every_peer: bool = True
    check_starts: bool = True
    raise_epoch: bool = True


class Table:
    """One entry's table client; faults make its requests fail or delay them."""

    def __init__(self, world: "World", entry: "Entry"):
        self._world = world
        self._entry = entry

    async def read(self, keys, prefixes):
        request = tables.ReadRequest(keys, prefixes)
        rows = await self._call(lambda: self._world.rows.read(request), writes=False)
        return {key: _table.Row(row["version"], row["value"]) for key, row in rows.items()}

    async def transact(self, checks, writes):
        def apply():
            rows = self._world.rows
            conflicts = rows.conflicts(checks)
            return conflicts, {} if conflicts else rows.apply(writes)

        conflicts, versions = await self._call(apply, writes=True)
        if conflicts:
            raise _table.ConflictError(conflicts)
        return versions

    async def _call(self, serve, *, writes: bool):
        entry, world = self._entry, self._world
        await entry.wait_if_paused()
        if world.fault_active("cut_table", entry.id):
            await asyncio.sleep(0.01)
            raise _table.TableError(_table.Effect.NONE, "cut")
        slow = world.fault_active("slow_table", entry.id)
        delay = world.random.uniform(0.5, 4.0) if slow else world.random.uniform(0.001, 0.01)
        reply = asyncio.get_running_loop().create_future()

        def arrive():
            found = serve()
            lost = writes and world.fault_active("lose_replies", entry.id)
            if not reply.done() and not lost:
                reply.set_result(found)

        asyncio.get_running_loop().call_later(delay, arrive)
        try:
            found = await asyncio.wait_for(reply, TABLE_TIMEOUT_SECONDS)
        except TimeoutError as error:
            effect = _table.Effect.UNKNOWN if writes else _table.Effect.NONE
            raise _table.TableError(effect, "no reply") from error
        await entry.wait_if_paused()
        return found


class Entry(_shard_manager.ShardListener):
    """The parts of an entry process that decide about ownership and task starts."""

    def __init__(self, world: "World", entry_id: str, clock_offset_ms: int):
        self.id = entry_id
        self.world = world
        self.alive = True
        jobs = _settings.JobSettings(shard_count=1, clock_skew_ms=5000 + clock_offset_ms)
        settings = _settings.Settings("entry", entry_id, "dc", jobs=jobs)
        rules = world.rules
        manager_jobs = jobs
        if not rules.horizon_skew:
            manager_jobs = attrs.evolve(jobs, clock_skew_ms=1, clock_tolerance_ms=1)
        identity = _membership.EntryIdentity(entry_id, _ids.new_incarnation(), "", "", "dc")
        self.shard_manager = _shard_manager.ShardManager(
            identity, Table(world, self), attrs.evolve(settings, jobs=manager_jobs), self
        )
        if not rules.raise_epoch:
            self.shard_manager._relinquished_epoch_by_shard = _DiscardingDict()
        if not rules.check_starts:
            lease = settings.lease
            self.shard_manager.lease = _NeverExpiringLease(
                lease.lease_ms / 1000, lease.margin_ms / 1000
            )
        self.dispatcher = _dispatcher.Dispatcher(
            settings.routing, jobs, "dc", random.Random(world.random.random())
        )
        self.delivery = _delivery.Delivery(
            settings, self.shard_manager, self.dispatcher, NullMetrics()
        )
        self.owner = _owner.Owner(
            settings, self.shard_manager, self.dispatcher, self.delivery, NullMetrics()
        )
        self.fencer = _fencer.Fencer(self.delivery, settings)
        self.shard_manager.peer_client = _shard_manager.PeerClient(
            self._request_promise, self._query_promise, self.fencer.fence, lambda: None
        )
        self.dispatcher.use_lists(_lists_check.build(1, LISTS.plans, LISTS.allowances))
        self._background_tasks = [
            asyncio.create_task(each)
            for each in (
                self.shard_manager.run(),
                _ticker.run_forever(
                    self.shard_manager.extend_lease_in_outage,
                    lambda: _shard_manager.PROMISE_INTERVAL_SECONDS,
                    NullMetrics().count_internal_error,
                    "lease",
                ),
                self._expire_tasks(),
            )
        ]

    async def _expire_tasks(self) -> None:
        while True:
            await asyncio.sleep(0.25)
            self.delivery.expire_disconnected(_clock.monotonic())

    async def wait_if_paused(self) -> None:
        """Wait while the process is paused; in a killed process, wait forever."""
        while self.alive and self.world.fault_active("pause", self.id):
            await asyncio.sleep(0.05)
        if not self.alive:
            await asyncio.get_running_loop().create_future()

    def kill(self) -> None:
        """Kill the process; whatever it still waits for never happens."""
        self.alive = False
        for task in self._background_tasks:
            task.cancel()

    # Callbacks of the shard manager.

    def on_shards_lost(self, shards: list[int]) -> None:
        self.owner.relinquish_shards(set(shards))

    def on_shard_active(self, shard: int) -> None:
        if self.shard_manager.owned_shard_by_number[shard].epoch > 1:
            self.dispatcher.activated(shard, _clock.monotonic())
        self.delivery.schedule_dispatch()

    # Calls to other entries.

    async def _request_promise(self, peer, instance_id, seconds) -> bool:
        now = _clock.monotonic
        granted = await self._call_peer(
            peer, lambda other: other.shard_manager.promises.grant(instance_id, seconds, now())
        )
        return bool(granted)

    async def _query_promise(self, peer, instance_id) -> float | None:
        if not self.world.rules.ask_every_peer:
            return 0.0
        return await self._call_peer(
            peer,
            lambda other: other.shard_manager.promises.query_promise(
                instance_id, _clock.monotonic()
            ),
        )

    async def _call_peer(self, peer, serve):
        world = self.world
        reply = asyncio.get_running_loop().create_future()

        async def exchange():
            await self.wait_if_paused()
            await asyncio.sleep(world.message_delay("slow_peers", self.id, peer[0]))
            other = world.entry_by_id.get(peer[0])
            if other is None or world.fault_active("cut_peers", self.id, peer[0]):
                return
            await other.wait_if_paused()
            if other.shard_manager.instance_id != tuple(peer):
                return
            answer = serve(other)
            await asyncio.sleep(world.message_delay("slow_peers", self.id, peer[0]))
            if not reply.done() and not world.fault_active("lose_peer_replies", self.id, peer[0]):
                reply.set_result(answer)

        world.spawn(exchange())
        try:
            answer = await asyncio.wait_for(reply, CALL_SECONDS)
        except TimeoutError:
            return None
        await self.wait_if_paused()
        return answer

    # Agents and submissions.

    def connect(self, agent: Agent) -> Session:
        """Accept a connection from an agent."""
        session = Session(agent, self)
        if not session.listed:
            self.world.spawn(self._list_agent(session))
        return session

    async def _list_agent(self, session: Session) -> None:
        while self.alive and not session.closed and not session.listed:
            try:
                epochs = {}
                if self.world.rules.list_agents:
                    epochs = await self.shard_manager.agent_rows.list(
                        session.agent_id, session.incarnation
                    )
                session.send(_wire.Listed(session.incarnation, epochs))
                return
            except (_table.TableError, _table.ConflictError):
                await asyncio.sleep(0.5)

    async def submit(self, attempt: "Attempt", body: bytes) -> None:
        """Submit a job and record its execution status in the attempt."""
        await self.wait_if_paused()
        try:
            found = self.owner.submit(_submission.parse(BUYER, body))
            if isinstance(found, _jobs.Job):
                found = await asyncio.shield(found.settled)
            else:
                found = found.settlement()
            await self.wait_if_paused()
        except errors.DispatchError as error:
            attempt.run = errors.RESPONSES[error.kind].run.value
            return
        match found:
            case _jobs.Complete():
                attempt.run = "complete"
            case _jobs.Failed(error=error):
                attempt.run = errors.RESPONSES[error.kind].run.value


class _NeverExpiringLease(_ownership.Lease):
    """A lease that never expires."""

    def valid(self, _now: float) -> bool:
        return True


class _DiscardingDict(dict):
    """A dict that discards every item."""

    def __setitem__(self, key, value) -> None:
        """Discard the item."""


@attrs.define
class Attempt:
    """One submission of a job; `run` is its execution status, empty until it is answered."""

    job_id: str
    run: str = ""


class World:
    """Entries, agents, the table's rows and the active faults."""

    def __init__(self, rules: Rules, seed: int, entries: int, agents: int):
        self.rules = rules
        self.random = random.Random(seed)
        self._salt = seed % 16
        ids = [f"e{number}-{self._salt}" for number in range(MAX_ENTRIES)]
        preferred = (f"n{number}" for number in itertools.count())
        self._newcomer = next(n for n in preferred if _ids.rendezvous_winner("0", [*ids, n]) == n)
        self.rows = tables.TableRows()
        self.starts: collections.Counter = collections.Counter()
        self.attempts: list[Attempt] = []
        self._until_by_fault: dict[tuple, float] = {}
        self._background_tasks: set[asyncio.Task] = set()
        self.entry_by_id: dict[str, Entry] = {}
        for number in range(entries):
            self.start_entry(self.entry_id(number))
        self.agents = [Agent(self, f"a{number}") for number in range(agents)]

    def spawn(self, coroutine) -> None:
        """Run a coroutine as a background task."""
        task = asyncio.create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    def entry_id(self, number: int) -> str:
        """Return an entry's id; the salt varies which entry the rendezvous hash prefers."""
        return self._newcomer if number == NEWCOMER else f"e{number}-{self._salt}"

    def owner_number(self) -> int:
        """Return the number of an entry that may start tasks now, 0 if there is none."""
        now = _clock.monotonic()
        for number in range(MAX_ENTRIES):
            entry = self.entry_by_id.get(self.entry_id(number))
            if entry is not None and entry.shard_manager.usable_shard(0, now):
                return number
        return 0

    def start_entry(self, entry_id: str) -> None:
        """Start an entry whose wall clock is off by at most half the clock tolerance."""
        offset_ms = self.random.randint(-500, 500)
        self.entry_by_id[entry_id] = Entry(self, entry_id, offset_ms)

    # Faults.

    def start_fault(self, kind: str, names: tuple, seconds: float) -> None:
        """Activate a fault for some time."""
        self._until_by_fault[kind, *names] = _clock.monotonic() + seconds

    def fault_active(self, kind: str, *names: str) -> bool:
        """Return whether a fault is active now."""
        return self._until_by_fault.get((kind, *names), 0.0) > _clock.monotonic()

    def message_delay(self, kind: str, *names: str) -> float:
        """Return the transmission delay of one message."""
        if self.fault_active(kind, *names):
            return self.random.uniform(0.2, 3.0)
        return self.random.uniform(0.0005, 0.002)

    def job_body(self, job_id: str, tasks: int, run_ms: int) -> bytes:
        """Return the body of a submission."""
        items = [{"kind": "k", "payload": {"run_ms": run_ms}, "run_ms": run_ms}] * tasks
        return json.dumps({"job_id": job_id, "deadline_ms": 12_000, "tasks": items}).encode()

    def violations(self) -> list[str]:
        """Return the violated guarantees: double starts, and starts of jobs answered `not run`."""
        found = [f"started twice: {key}" for key, count in self.starts.items() if count > 1]
        runs_by_job = collections.defaultdict(set)
        for attempt in self.attempts:
            runs_by_job[attempt.job_id].add(attempt.run)
        started = {job_id for (_, job_id), _ in self.starts}
        found += [
            f"not run, but started: {job_id}"
            for job_id, runs in runs_by_job.items()
            if runs == {"not run"} and job_id in started
        ]
        return found
