"""Composition root of an entry."""

import asyncio
import collections
import contextlib
import random
import signal

import websockets
from aiohttp import web
from loguru import logger

from daisyfall import _clock, _ids, _wire, errors
from daisyfall.connection import (
    _agent_session,
    _fencer,
    _handshake,
    _peer_session,
)
from daisyfall.process import (
    _health_api,
    _membership,
    _metered_table,
    _metrics,
    _objects,
    _ownership,
    _peers,
    _registry,
    _settings,
    _table,
)
from daisyfall.request import (
    _api,
    _carrier,
    _delivery,
    _dispatcher,
    _operator_api,
    _owner,
)
from daisyfall.version import _lists, _publisher

STOP_LIMIT_SECONDS = 60.0
HANDOVER_POLL_SECONDS = 0.05


class Entry(_registry.RegistryEvents):
    """One entry process: the parts and how they are wired."""

    def __init__(self, settings: _settings.Settings):
        self.settings = settings
        self.incarnation = _ids.new_incarnation()
        self.metrics = _metrics.Metrics()
        table = settings.table
        client = _table.HttpTable(table.url, table.timeout_ms / 1000, settings.id)
        self.table = _metered_table.MeteredTable(client, self.metrics)
        self.objects = _objects.HttpObjects(
            table.objects_url, table.objects_timeout_ms / 1000, settings.id
        )
        identity = _membership.Identity(
            settings.id,
            self.incarnation,
            settings.peer.advertised,
            settings.http.advertised,
            settings.data_centre,
        )
        self.registry = _registry.Registry(identity, self.table, settings, self)
        self.dispatcher = _dispatcher.Dispatcher(
            settings.routing, settings.jobs, settings.data_centre, random.Random()
        )
        self.delivery = _delivery.Delivery(settings, self.registry, self.dispatcher, self.metrics)
        self.upstreams = self.delivery.upstreams
        self.owner = _owner.Owner(
            settings, self.registry, self.dispatcher, self.delivery, self.metrics
        )
        self.fencer = _fencer.Fencer(self.delivery, settings)
        self.publisher = _publisher.Publisher(self.table, self.objects, self._use_lists)
        self.peers = _peers.Peers(settings, self.registry, self.publisher, self._spawn)
        self.carrier = _carrier.Carrier(
            settings, self.registry, self.owner, self.peers.link_by_id, self.metrics
        )
        self.peers.carrier = self.carrier
        self.api = _api.Api(settings, self.publisher, self.carrier, self.metrics)
        self.operator_api = _operator_api.OperatorApi(
            settings,
            table=self.table,
            registry=self.registry,
            publisher=self.publisher,
            delivery=self.delivery,
            metrics=self.metrics,
            peer_versions=self.peers.version_by_id,
        )
        self.delivery.agent_stopped = self._end_agent
        self.registry.calls = _registry.PeerCalls(
            self.peers.promise, self.peers.query, self.fencer.fence, self.peers.ping_all
        )
        self.metrics.lease_margin(lambda: self.registry.lease.remaining(_clock.monotonic()))
        self._tasks: set[asyncio.Task] = set()
        self._listing: set[str] = set()

    # Events of the registry.

    def on_snapshot(self, rows: dict[str, _table.Row]) -> None:
        """Follow lists, wishes and the roster."""
        self._spawn(self._follow_lists(rows.get(_publisher.HEAD_KEY)))
        prefix = _ownership.WISH_PREFIX
        wishes = {
            key.removeprefix(prefix): row.value["wish"]
            for key, row in rows.items()
            if key.startswith(prefix)
        }
        if wishes != self.upstreams.wish_by_id:
            self.upstreams.wish_by_id = wishes
            for session in self.delivery.session_by_id.values():
                session.send(self._roster(session))
                self.upstreams.update(session)
            self.delivery.pump_soon()
        self.peers.follow()

    def on_lost(self, shards: list[int]) -> None:
        """Give up the jobs of lost shards."""
        self.owner.give_up(set(shards))

    def on_active(self, shard: int) -> None:
        """Use a shard."""
        self.metrics.epoch_activated()
        if self.registry.holding_by_shard[shard].epoch > 1:
            self.dispatcher.activated(shard, _clock.monotonic())
        self.delivery.pump_soon()

    async def _follow_lists(self, head: _table.Row | None) -> None:
        try:
            await self.publisher.follow(head)
        except _table.TableError:
            return  # the next poll tries again

    def _use_lists(self, lists: _lists.Lists) -> None:
        self.dispatcher.use_lists(lists)
        self.upstreams.lists = lists
        self.metrics.list_version(lists.version)
        for session in self.delivery.session_by_id.values():
            session.send(self._roster(session))
        self.delivery.pump_soon()

    # Accepted connections.

    async def serve_socket(self, socket) -> None:
        """Serve one agent or entry that has connected."""
        try:
            hello = await _handshake.accept(
                socket, self.settings.keys, self.settings.id, self.incarnation
            )
        except (_handshake.HandshakeError, websockets.ConnectionClosed) as error:
            self.metrics.refused(errors.Kind.PROTOCOL)
            logger.bind(reason=str(error)).warning("connection refused")
            return
        if hello.role == _wire.ROLE_ENTRY:
            await _peer_session.serve(socket, self.peers.handle)
            return
        session = _agent_session.AgentSession(hello, socket)
        if not session.listed:
            self._spawn(self._list_agent(session))
        lease = self.settings.lease
        session.send(self._roster(session))
        await session.run(
            self.delivery,
            self._roster,
            lease.heartbeat_ms / 1000,
            lease.heartbeat_limit_ms / 1000,
        )

    async def _list_agent(self, session: _agent_session.AgentSession) -> None:
        while not session.closed and not session.listed:
            try:
                epochs = await self.registry.agent_rows.list(session.agent_id, session.incarnation)
                session.send(_wire.Listed(session.incarnation, epochs))
                return
            except (_table.TableError, _table.ConflictError):
                await asyncio.sleep(self.settings.lease.poll_ms / 1000)

    def _end_agent(self, session: _agent_session.AgentSession, latest_id_ms: int) -> None:
        self._spawn(self._note_end(session.agent_id, session.incarnation, latest_id_ms))

    async def _note_end(self, agent_id: str, incarnation: str, latest_id_ms: int) -> None:
        # Another entry may be first, and without the note the agent only counts as missing.
        with contextlib.suppress(_table.TableError, _table.ConflictError):
            await self.registry.agent_rows.end(agent_id, incarnation, latest_id_ms)

    def _roster(self, session: _agent_session.AgentSession) -> _wire.EntryHeartbeat:
        entries = [
            [entry.id, entry.address]
            for entry in self.registry.view.entry_by_id.values()
            if entry.state != _ownership.FENCED
        ]
        wish = self.upstreams.wish_of(session.agent_id)
        return _wire.EntryHeartbeat(entries, self.publisher.version, wish)

    # Life cycle.

    async def run(self) -> None:
        """Serve until SIGTERM, then stop gracefully."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        runner = await self._serve_http()
        peer = self.settings.peer
        server = await websockets.serve(
            self.serve_socket,
            peer.host,
            peer.port,
            compression=None,
            ping_interval=None,
            max_size=_wire.MAX_MESSAGE_BYTES,
        )
        registry = [
            asyncio.create_task(self.registry.run()),
            asyncio.create_task(self.registry.extend_in_outage()),
        ]
        others = [
            asyncio.create_task(self.owner.expire()),
            asyncio.create_task(self._watch_absent()),
        ]
        logger.bind(http=self.settings.http.advertised, peer=peer.advertised).info("entry started")
        stopping = asyncio.create_task(stop.wait())
        await asyncio.wait([stopping, *registry], return_when=asyncio.FIRST_COMPLETED)
        if not stop.is_set():
            # The registry ends only for a reason that a restart with other settings removes.
            stopping.cancel()
            for task in registry:
                if task.done():
                    task.result()
        await self._stop()
        for task in [*registry, *others]:
            task.cancel()
        self.peers.close()
        await self.registry.membership.leave()
        server.close()
        await runner.cleanup()
        await self.table.close()
        await self.objects.close()
        logger.info("entry stopped")

    async def _serve_http(self) -> web.AppRunner:
        limits = self.settings.limits
        app = web.Application(client_max_size=limits.body_limit_kb * 1024)
        app.add_routes(_health_api.routes(self.metrics, self.unready, self.status))
        app.add_routes(self.operator_api.routes())
        app.add_routes(self.api.routes())
        header_bytes = limits.header_limit_kb * 1024
        runner = web.AppRunner(
            app,
            access_log=None,
            max_line_size=header_bytes,
            max_field_size=header_bytes,
        )
        await runner.setup()
        http = self.settings.http
        self._site = web.TCPSite(runner, http.host, http.port, backlog=1024)
        await self._site.start()
        return runner

    async def _watch_absent(self) -> None:
        while True:
            await asyncio.sleep(self.settings.lease.heartbeat_ms / 1000 / 4)
            self.delivery.give_up_absent(_clock.monotonic())
            self._measure()

    def _measure(self) -> None:
        registry = self.registry
        self.metrics.owned_shards(sum(each.active for each in registry.holding_by_shard.values()))
        self.metrics.epochs(len(registry.view.shard_by_number))
        self.metrics.roster_size(len(registry.view.entry_by_id))
        self.metrics.jobs_in_memory(
            len(self.owner.jobs.job_by_key) + len(self.owner.jobs.record_by_key)
        )
        states = collections.Counter(
            "ready" if each.status and each.status.ready else "not_ready"
            for each in self.delivery.session_by_id.values()
        )
        self.metrics.upstreams(dict(states))

    async def _stop(self) -> None:
        """Hand over the shards and answer every open request (rule 9).

        Requests are taken for a while after `/readyz` has changed, since the
        balancer sends them until it has noticed.
        """
        logger.info("entry stopping")
        self.api.stopping = True
        deadline = _clock.monotonic() + STOP_LIMIT_SECONDS
        others = set(self.registry.view.live(_clock.monotonic())) - {self.settings.id}
        if others and self.registry.table_reachable:
            await self._hand_over()
        else:
            self.owner.draining = True
        await asyncio.sleep(self.settings.limits.stop_grace_ms / 1000)
        await self._site.stop()
        while self.api.open_requests or self.owner.jobs.job_by_key:
            if _clock.monotonic() > deadline:
                logger.bind(open=self.api.open_requests).warning("stop limit reached")
                break
            await asyncio.sleep(HANDOVER_POLL_SECONDS)
        if self.owner.draining and self.registry.table_reachable:
            await self._hand_over()

    async def _hand_over(self) -> None:
        try:
            await self.registry.stop_owning()
        except _table.TableError as error:
            logger.bind(reason=str(error)).warning("shards could not be released")

    def unready(self) -> str:
        """Return why the entry should get no requests, empty if it is ready."""
        if self.api.stopping:
            return "stopping"
        if self.publisher.lists is None:
            return "no lists are known"
        if not self.registry.lease.valid(_clock.monotonic()):
            return "no valid lease"
        return ""

    def status(self) -> dict:
        """Return the state for `/status`."""
        now = _clock.monotonic()
        return {
            "id": self.settings.id,
            "role": "entry",
            "incarnation": self.registry.holder[1],
            "ready": not self.unready(),
            "table_reachable": self.registry.table_reachable,
            "lease_remaining_s": round(self.registry.lease.remaining(now), 3),
            "lists_version": self.publisher.version,
            "shards": sorted(
                s for s, each in self.registry.holding_by_shard.items() if each.active
            ),
            "agents": sorted(self.delivery.session_by_id),
            "peers": sorted(p for p, link in self.peers.link_by_id.items() if link.connected),
            "jobs": len(self.owner.jobs.job_by_key),
            "records": len(self.owner.jobs.record_by_key),
            "open_requests": self.api.open_requests,
            "dispatcher": self.dispatcher.snapshot(),
        }

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error("background task failed")


async def run(settings: _settings.Settings) -> None:
    """Run an entry until it is told to stop."""
    await Entry(settings).run()
