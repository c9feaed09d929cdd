"""Entries and agents of daisyfall in one process, on a virtual clock and without I/O.

Registry, membership, owner, delivery, dispatcher, fencer, ledger and executor are
the real ones. The table, the connections and the runner are replaced, and every
message between them passes a place that may delay, lose or repeat it.
"""

import asyncio
import collections
import itertools
import json
import random

import attrs
from schedule_agent import Agent, Nothing, Session

from daisyfall import _clock, _ids, _wire, errors
from daisyfall.connection import _fencer
from daisyfall.process import _membership, _ownership, _registry, _settings, _table
from daisyfall.request import _delivery, _dispatcher, _jobs, _owner, _submission
from daisyfall.version import _lists_check
from daisyfall_standins import _shape
from daisyfall_standins import cluster as clusters
from daisyfall_standins import table as tables

BUYER = "buyer"
MOST_ENTRIES = 3
NEWCOMER = 9  # number of an entry that starts late and that the hash prefers to all others
CALL_SECONDS = 0.5
TABLE_TIMEOUT_SECONDS = 1.5
LISTS = clusters.write_lists([_shape.Buyer(BUYER, "secret")])


@attrs.frozen
class Rules:
    """Rules that a run may switch off, to show that the schedules find what they prevent."""

    list_agents: bool = True
    horizon_skew: bool = True
    ask_every_peer: bool = True
    check_starts: bool = True
    raise_epoch: bool = True


class Table:
    """The table as one entry reaches it; requests of a cut or slow entry fail or come late."""

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
        await entry.awake()
        if world.holds("cut_table", entry.id):
            await asyncio.sleep(0.01)
            raise _table.TableError(_table.Effect.NONE, "cut")
        slow = world.holds("slow_table", entry.id)
        delay = world.random.uniform(0.5, 4.0) if slow else world.random.uniform(0.001, 0.01)
        reply = asyncio.get_running_loop().create_future()

        def arrive():
            found = serve()
            lost = writes and world.holds("lose_replies", entry.id)
            if not reply.done() and not lost:
                reply.set_result(found)

        asyncio.get_running_loop().call_later(delay, arrive)
        try:
            found = await asyncio.wait_for(reply, TABLE_TIMEOUT_SECONDS)
        except TimeoutError as error:
            effect = _table.Effect.UNKNOWN if writes else _table.Effect.NONE
            raise _table.TableError(effect, "no reply") from error
        await entry.awake()
        return found


class Entry(_registry.RegistryEvents):
    """The parts of one entry process that decide about ownership and starts."""

    def __init__(self, world: "World", entry_id: str, clock_offset_ms: int):
        self.id = entry_id
        self.world = world
        self.alive = True
        jobs = _settings.JobSettings(shard_count=1, clock_skew_ms=5000 + clock_offset_ms)
        settings = _settings.Settings("entry", entry_id, "dc", jobs=jobs)
        rules = world.rules
        shown = jobs
        if not rules.horizon_skew:
            shown = attrs.evolve(jobs, clock_skew_ms=1, clock_tolerance_ms=1)
        identity = _membership.Identity(entry_id, _ids.new_incarnation(), "", "", "dc")
        self.registry = _registry.Registry(
            identity, Table(world, self), attrs.evolve(settings, jobs=shown), self
        )
        if not rules.raise_epoch:
            self.registry._given_up_by_shard = _Forgetful()
        if not rules.check_starts:
            lease = settings.lease
            self.registry.lease = _Unchecked(lease.lease_ms / 1000, lease.margin_ms / 1000)
        self.dispatcher = _dispatcher.Dispatcher(
            settings.routing, jobs, "dc", random.Random(world.random.random())
        )
        self.delivery = _delivery.Delivery(settings, self.registry, self.dispatcher, Nothing())
        self.owner = _owner.Owner(
            settings, self.registry, self.dispatcher, self.delivery, Nothing()
        )
        self.fencer = _fencer.Fencer(self.delivery, settings)
        self.registry.calls = _registry.PeerCalls(
            self._promise, self._query, self.fencer.fence, lambda: None
        )
        self.dispatcher.use_lists(_lists_check.build(1, LISTS.plans, LISTS.allowances))
        self._tasks = [
            asyncio.create_task(each)
            for each in (self.registry.run(), self.registry.extend_in_outage(), self._watch())
        ]

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(0.25)
            self.delivery.give_up_absent(_clock.monotonic())

    async def awake(self) -> None:
        """Wait while the process is paused; a dead one waits for ever."""
        while self.alive and self.world.holds("pause", self.id):
            await asyncio.sleep(0.05)
        if not self.alive:
            await asyncio.get_running_loop().create_future()

    def die(self) -> None:
        """End at once; what it would do later never happens."""
        self.alive = False
        for task in self._tasks:
            task.cancel()

    # Events of the registry.

    def on_lost(self, shards: list[int]) -> None:
        self.owner.give_up(set(shards))

    def on_active(self, shard: int) -> None:
        if self.registry.holding_by_shard[shard].epoch > 1:
            self.dispatcher.activated(shard, _clock.monotonic())
        self.delivery.pump_soon()

    # Other entries.

    async def _promise(self, peer, holder, seconds) -> bool:
        now = _clock.monotonic
        granted = await self._ask(
            peer, lambda other: other.registry.promises.grant(holder, seconds, now())
        )
        return bool(granted)

    async def _query(self, peer, holder) -> float | None:
        if not self.world.rules.ask_every_peer:
            return 0.0
        return await self._ask(
            peer, lambda other: other.registry.promises.query(holder, _clock.monotonic())
        )

    async def _ask(self, peer, serve):
        world = self.world
        reply = asyncio.get_running_loop().create_future()

        async def carry():
            await self.awake()
            await asyncio.sleep(world.delay("slow_peers", self.id, peer[0]))
            other = world.entry_by_id.get(peer[0])
            if other is None or world.holds("cut_peers", self.id, peer[0]):
                return
            await other.awake()
            if other.registry.holder != tuple(peer):
                return
            answer = serve(other)
            await asyncio.sleep(world.delay("slow_peers", self.id, peer[0]))
            if not reply.done() and not world.holds("lose_peer_replies", self.id, peer[0]):
                reply.set_result(answer)

        world.spawn(carry())
        try:
            answer = await asyncio.wait_for(reply, CALL_SECONDS)
        except TimeoutError:
            return None
        await self.awake()
        return answer

    # Agents and callers.

    def connect(self, agent: Agent) -> Session:
        """Accept a connection of an agent."""
        session = Session(agent, self)
        if not session.listed:
            self.world.spawn(self._list_agent(session))
        return session

    async def _list_agent(self, session: Session) -> None:
        while self.alive and not session.closed and not session.listed:
            try:
                epochs = {}
                if self.world.rules.list_agents:
                    epochs = await self.registry.agent_rows.list(
                        session.agent_id, session.incarnation
                    )
                session.send(_wire.Listed(session.incarnation, epochs))
                return
            except (_table.TableError, _table.ConflictError):
                await asyncio.sleep(0.5)

    async def submit(self, attempt: "Attempt", body: bytes) -> None:
        """Take one submission and note how it ends."""
        await self.awake()
        try:
            found = self.owner.submit(_submission.parse(BUYER, body))
            if isinstance(found, _jobs.Job):
                found = await asyncio.shield(found.settled)
            else:
                found = found.settlement()
            await self.awake()
        except errors.DispatchError as error:
            attempt.run = errors.ANSWERS[error.kind].run.value
            return
        match found:
            case _jobs.Complete():
                attempt.run = "complete"
            case _jobs.Failed(error=error):
                attempt.run = errors.ANSWERS[error.kind].run.value


class _Unchecked(_ownership.Lease):
    """A lease that never ends."""

    def valid(self, _now: float) -> bool:
        return True


class _Forgetful(dict):
    """Keeps nothing."""

    def __setitem__(self, key, value) -> None:
        """Drop the item."""


@attrs.define
class Attempt:
    """One submission of a job; `run` stays empty while there is no answer."""

    job_id: str
    run: str = ""


class World:
    """Entries, agents, the table's rows and the faults that hold at present."""

    def __init__(self, rules: Rules, seed: int, entries: int, agents: int):
        self.rules = rules
        self.random = random.Random(seed)
        self._salt = seed % 16
        ids = [f"e{number}-{self._salt}" for number in range(MOST_ENTRIES)]
        preferred = (f"n{number}" for number in itertools.count())
        self._newcomer = next(n for n in preferred if _ids.rendezvous_winner("0", [*ids, n]) == n)
        self.rows = tables.TableRows()
        self.starts: collections.Counter = collections.Counter()
        self.attempts: list[Attempt] = []
        self._until_by_fault: dict[tuple, float] = {}
        self._tasks: set[asyncio.Task] = set()
        self.entry_by_id: dict[str, Entry] = {}
        for number in range(entries):
            self.start_entry(self.entry_id(number))
        self.agents = [Agent(self, f"a{number}") for number in range(agents)]

    def spawn(self, coroutine) -> None:
        """Run something in the background."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def entry_id(self, number: int) -> str:
        """Return an entry's id; the salt varies which entries the hash prefers."""
        return self._newcomer if number == NEWCOMER else f"e{number}-{self._salt}"

    def owner_number(self) -> int:
        """Return the number of an entry that may start tasks now, 0 if there is none."""
        now = _clock.monotonic()
        for number in range(MOST_ENTRIES):
            entry = self.entry_by_id.get(self.entry_id(number))
            if entry is not None and entry.registry.usable(0, now):
                return number
        return 0

    def start_entry(self, entry_id: str) -> None:
        """Start an entry process, whose wall clock is off by at most half the tolerance."""
        offset_ms = self.random.randint(-500, 500)
        self.entry_by_id[entry_id] = Entry(self, entry_id, offset_ms)

    # Faults.

    def set_fault(self, kind: str, names: tuple, seconds: float) -> None:
        """Let a fault hold for a while."""
        self._until_by_fault[kind, *names] = _clock.monotonic() + seconds

    def holds(self, kind: str, *names: str) -> bool:
        """Tell whether a fault holds now."""
        return self._until_by_fault.get((kind, *names), 0.0) > _clock.monotonic()

    def delay(self, kind: str, *names: str) -> float:
        """Return the time of one message."""
        if self.holds(kind, *names):
            return self.random.uniform(0.2, 3.0)
        return self.random.uniform(0.0005, 0.002)

    def job_body(self, job_id: str, tasks: int, run_ms: int) -> bytes:
        """Return the body of a submission."""
        items = [{"kind": "k", "payload": {"run_ms": run_ms}, "run_ms": run_ms}] * tasks
        return json.dumps({"job_id": job_id, "deadline_ms": 12_000, "tasks": items}).encode()

    def faults_found(self) -> list[str]:
        """Return what the schedule has broken."""
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
