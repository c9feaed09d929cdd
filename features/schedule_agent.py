"""Agent of the schedule simulation: the production ledger and executor, simulated connections."""

import asyncio

import attrs

from daisyfall import _ids, _wire
from daisyfall.process import _executor, _runner
from daisyfall.request import _ledger, _task_queue

SLOTS = 3
RETENTION_SECONDS = 600.0
HEARTBEAT_TIMEOUT_SECONDS = 3.0


class NullMetrics:
    """Metrics whose methods do nothing."""

    def __getattr__(self, _name):
        return lambda *_args, **_options: None


class Session:
    """Entry's side of a connection, with the interface that `Delivery` uses."""

    def __init__(self, agent: "Agent", entry):
        self.agent = agent
        self.entry = entry
        self.agent_id = agent.id
        self.incarnation = agent.incarnation
        self.data_centre = "dc"
        self.rack = ""
        self.listed = agent.listed
        self.status = None
        self.closed = False
        self._to_agent: asyncio.Queue = asyncio.Queue()
        self._to_entry: asyncio.Queue = asyncio.Queue()

    def send(self, message) -> None:
        """Send to the agent, in order."""
        if not self.closed:
            self._to_agent.put_nowait(message)

    def close_soon(self) -> None:
        """Close the connection."""
        self.closed = True

    def send_to_entry(self, message) -> None:
        """Send to the entry, in order."""
        if not self.closed:
            self._to_entry.put_nowait(message)

    def start(self) -> None:
        """Start to forward messages in both directions."""
        world = self.agent.world
        world.spawn(self._forward(self._to_agent, "cut_down", self._deliver_to_agent))
        world.spawn(self._forward(self._to_entry, "cut_up", self._deliver_to_entry))

    async def _forward(self, queue, fault, deliver) -> None:
        world = self.agent.world
        names = (self.entry.id, self.agent_id)
        while True:
            message = await queue.get()
            await asyncio.sleep(world.message_delay("slow_link", *names))
            if world.fault_active(fault, *names):
                # The message is lost, and the connection ends at the heartbeat timeout.
                self.closed = True
                return
            if await deliver(message) is False:
                return

    async def _deliver_to_agent(self, message) -> bool:
        await self.entry.wait_if_paused()
        if self.agent.session_by_entry.get(self.entry.id) is not self:
            return False
        for _ in range(self._delivery_count()):
            self.agent.receive(self, message)
        return True

    async def _deliver_to_entry(self, message) -> bool:
        await self.entry.wait_if_paused()
        if isinstance(message, _wire.AgentStatus):
            self.listed = message.listed
        for _ in range(self._delivery_count()):
            self.entry.delivery.agent_message(self, message)
        return True

    def _delivery_count(self) -> int:
        return 2 if self.agent.world.fault_active("repeat", self.agent_id) else 1


class Link:
    """Agent's side of a connection, with the interface that `Executor` uses."""

    def __init__(self, session: Session):
        self.entry_id = session.entry.id
        self._session = session

    def send(self, message) -> None:
        """Send a message, or a single result item."""
        if isinstance(message, list):
            executor = self._session.agent.executor
            message = _wire.Results([message], executor.running, executor.queued)
        self._session.send_to_entry(message)


class _Runner:
    def __init__(self, agent: "Agent"):
        self._agent = agent

    async def run(self, queued) -> _runner.Outcome:
        world = self._agent.world
        if world.fault_active("refuse", self._agent.id):
            await asyncio.sleep(0.01)
            return _runner.NotStarted("refused")
        world.starts[queued.key, queued.task.index] += 1
        await asyncio.sleep(queued.task.payload["run_ms"] / 1000)
        return _runner.Done(queued.task.index)

    async def close(self) -> None:
        """Do nothing, as no connection is open."""


class Agent:
    """One agent with its runner; `restart` loses all state."""

    def __init__(self, world, agent_id: str):
        self.world = world
        self.id = agent_id
        self.session_by_entry: dict[str, Session] = {}
        self._start()
        world.spawn(self._maintain_connections())

    def _start(self) -> None:
        self.incarnation = _ids.new_incarnation()
        self.listed = False
        self.session_by_entry = {}
        self.ledger = _ledger.Ledger(self.incarnation, RETENTION_SECONDS, 1 << 20)
        self.executor = _executor.Executor(
            self.ledger,
            NullMetrics(),
            self._link_of,
            lambda: "" if self.listed else "not listed",
            lambda *_: None,
        )
        capacity = _task_queue.Capacity(SLOTS, SLOTS, 65536, 0)
        self.executor.use_runner(_Runner(self), capacity)

    def _link_of(self, entry_id: str) -> Link | None:
        session = self.session_by_entry.get(entry_id)
        return Link(session) if session and not session.closed else None

    def restart(self) -> None:
        """Restart with a new incarnation and an empty ledger, cancelling requests at the runner."""
        for _, running in list(self.executor._running.values()):
            running.cancel()
        for session in self.session_by_entry.values():
            session.closed = True
            self.world.spawn(self._report_disconnect(session, 0.01))
        self._start()

    async def _report_disconnect(self, session: Session, delay: float) -> None:
        await asyncio.sleep(delay)
        await session.entry.wait_if_paused()
        session.closed = True
        session.entry.delivery.agent_disconnected(session)

    async def _maintain_connections(self) -> None:
        since_heartbeat = 0.0
        while True:
            await asyncio.sleep(0.1)
            since_heartbeat += 0.1
            for entry in list(self.world.entry_by_id.values()):
                self._update_connection(entry)
            if since_heartbeat >= 1.0:
                since_heartbeat = 0.0
                for session in self.session_by_entry.values():
                    session.send_to_entry(self.status())

    def _update_connection(self, entry) -> None:
        """Connect to an entry, or drop a connection that was cut or whose entry has restarted."""
        world, names = self.world, (entry.id, self.id)
        session = self.session_by_entry.get(entry.id)
        cut = world.fault_active("cut_down", *names) or world.fault_active("cut_up", *names)
        if session is not None and (session.closed or session.entry is not entry):
            del self.session_by_entry[entry.id]
            # The entry may detect the disconnect much later than the agent.
            disconnect_delay = world.random.uniform(0.0, HEARTBEAT_TIMEOUT_SECONDS)
            world.spawn(self._report_disconnect(session, disconnect_delay))
        elif session is None and not cut and not world.fault_active("pause", entry.id):
            session = entry.connect(self)
            self.session_by_entry[entry.id] = session
            entry.delivery.agent_connected(session)
            session.start()
            session.send_to_entry(self.status())

    def status(self) -> _wire.AgentStatus:
        """Return the agent's heartbeat message."""
        return _wire.AgentStatus(
            slots=SLOTS,
            running=self.executor.running,
            queued=self.executor.queued,
            ready=True,
            draining=False,
            listed=self.listed,
            memory_mb=65536,
            accelerators=0,
            labels=[],
            lists_version=1,
            runner_id="r",
        )

    def receive(self, session: Session, message) -> None:
        """Handle one message from an entry, as `Agent.handle` does."""
        link = Link(session)
        if not self.world.rules.check_starts and isinstance(message, _wire.Start):
            epoch = max(message.epoch, self.ledger.epoch_of(message.shard))
            message = attrs.evolve(message, epoch=epoch)
        match message:
            case _wire.Start():
                self.executor.on_start(link, message)
            case _wire.Fence():
                self.executor.on_fence(link, message)
            case _wire.FetchResults():
                self.executor.on_fetch(link, message)
            case _wire.Cancel():
                self.executor.on_cancel(link, message)
            case _wire.Listed() if message.incarnation == self.incarnation:
                for shard, epoch in message.epochs.items():
                    self.ledger.fence(shard, epoch, self.ledger.owner_of(shard))
                self.listed = True
                for each in self.session_by_entry.values():
                    each.send_to_entry(self.status())
