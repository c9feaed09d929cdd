"""Composition root of the entry, which accepts jobs and dispatches their tasks to agents."""

import asyncio
import collections
import contextlib
import random
import signal

import websockets
from aiohttp import web
from loguru import logger

from daisyfall import _clock, _codec, _ids, _wire, errors
from daisyfall.connection import (
    _agent_session,
    _fencer,
    _handshake,
    _peer_session,
)
from daisyfall.process import (
    _background_tasks,
    _entry_peers,
    _health_api,
    _membership,
    _metered_table,
    _metrics,
    _object_store,
    _ownership,
    _settings,
    _shard_manager,
    _table,
    _ticker,
)
from daisyfall.request import (
    _api,
    _delivery,
    _dispatcher,
    _forwarder,
    _operator_api,
    _owner,
)
from daisyfall.version import _lists, _publisher

STOP_TIMEOUT_SECONDS = 60.0
STOP_POLL_SECONDS = 0.05


class Entry(_shard_manager.ShardListener):
    """One entry process: creates its components and connects them."""

    def __init__(self, settings: _settings.Settings):
        self.settings = settings
        self.incarnation = _ids.new_incarnation()
        self.metrics = _metrics.Metrics()
        self._background_tasks = _background_tasks.BackgroundTasks("background task")
        table = settings.table
        client = _table.HttpTable(table.url, table.timeout_ms / 1000, settings.id)
        self.table = _metered_table.MeteredTable(client, self.metrics)
        self.objects = _object_store.HttpObjectStore(
            table.objects_url, table.objects_timeout_ms / 1000, settings.id
        )
        identity = _membership.EntryIdentity(
            settings.id,
            self.incarnation,
            settings.peer.advertised,
            settings.http.advertised,
            settings.data_centre,
        )
        self.shard_manager = _shard_manager.ShardManager(identity, self.table, settings, self)
        self.dispatcher = _dispatcher.Dispatcher(
            settings.routing, settings.jobs, settings.data_centre, random.Random()
        )
        self.delivery = _delivery.Delivery(
            settings, self.shard_manager, self.dispatcher, self.metrics
        )
        self.upstreams = self.delivery.upstreams
        self.owner = _owner.Owner(
            settings, self.shard_manager, self.dispatcher, self.delivery, self.metrics
        )
        self.fencer = _fencer.Fencer(self.delivery, settings)
        self.publisher = _publisher.Publisher(self.table, self.objects, self._apply_lists)
        self.peers = _entry_peers.EntryPeers(
            settings, self.shard_manager, self.publisher, self._background_tasks.spawn
        )
        self.forwarder = _forwarder.Forwarder(
            settings, self.shard_manager, self.owner, self.peers.link_by_id, self.metrics
        )
        self.peers.forwarder = self.forwarder
        self.api = _api.JobApi(settings, self.publisher, self.forwarder, self.metrics)
        self.operator_api = _operator_api.OperatorApi(
            settings,
            table=self.table,
            shard_manager=self.shard_manager,
            publisher=self.publisher,
            delivery=self.delivery,
            metrics=self.metrics,
            peer_versions=self.peers.version_by_id,
        )
        self.delivery.agent_stopped = self._on_agent_stopped
        self.shard_manager.peer_client = _shard_manager.PeerClient(
            self.peers.request_promise,
            self.peers.query_promise,
            self.fencer.fence,
            self.peers.announce_release,
        )
        self.metrics.track_lease_margin(
            lambda: self.shard_manager.lease.remaining(_clock.monotonic())
        )
        self._listing: set[str] = set()

    # Callbacks of the shard manager.

    def on_snapshot(self, rows: dict[str, _table.Row]) -> None:
        """Apply changed lists, desired states of upstreams, and the set of entries."""
        self._background_tasks.spawn(self._update_lists(rows.get(_publisher.HEAD_KEY)))
        prefix = _ownership.DESIRED_STATE_PREFIX
        desired_states = {
            key.removeprefix(prefix): row.value["wish"]
            for key, row in rows.items()
            if key.startswith(prefix)
        }
        if desired_states != self.upstreams.desired_state_by_id:
            self.upstreams.desired_state_by_id = desired_states
            for session in self.delivery.session_by_id.values():
                session.send(self._heartbeat(session))
                self.upstreams.update(session)
            self.delivery.schedule_dispatch()
        self.peers.follow()

    def on_shards_lost(self, shards: list[int]) -> None:
        """Drop the jobs of shards that this entry no longer owns."""
        self.owner.relinquish_shards(set(shards))

    def on_shard_active(self, shard: int) -> None:
        """Start to dispatch the jobs of a shard that this entry now owns."""
        self.metrics.count_epoch_activation()
        if self.shard_manager.owned_shard_by_number[shard].epoch > 1:
            self.dispatcher.activated(shard, _clock.monotonic())
        self.delivery.schedule_dispatch()

    async def _update_lists(self, head: _table.Row | None) -> None:
        try:
            await self.publisher.follow(head)
        except _table.TableError:
            return  # the next poll tries again

    def _apply_lists(self, lists: _lists.Lists) -> None:
        self.dispatcher.use_lists(lists)
        self.upstreams.lists = lists
        self.metrics.set_lists_version(lists.version)
        for session in self.delivery.session_by_id.values():
            session.send(self._heartbeat(session))
        self.delivery.schedule_dispatch()

    # Accepted connections.

    async def serve_socket(self, socket) -> None:
        """Serve the connection of an agent or of another entry."""
        try:
            hello = await _handshake.accept(
                socket, self.settings.keys, self.settings.id, self.incarnation
            )
        except (_handshake.HandshakeError, websockets.ConnectionClosed) as error:
            self.metrics.count_refusal(errors.Kind.PROTOCOL)
            logger.bind(reason=str(error)).warning("connection refused")
            return
        if hello.role == _wire.ROLE_ENTRY:
            await _peer_session.serve(socket, self.peers.handle)
            return
        session = _agent_session.AgentSession(hello, socket)
        if not session.listed:
            self._background_tasks.spawn(self._list_agent(session))
        lease = self.settings.lease
        session.send(self._heartbeat(session))
        await session.run(
            self.delivery,
            self._heartbeat,
            lease.heartbeat_ms / 1000,
            lease.heartbeat_limit_ms / 1000,
        )

    async def _list_agent(self, session: _agent_session.AgentSession) -> None:
        while not session.closed and not session.listed:
            try:
                epochs = await self.shard_manager.agent_rows.list(
                    session.agent_id, session.incarnation
                )
                session.send(_wire.Listed(session.incarnation, epochs))
                return
            except (_table.TableError, _table.ConflictError):
                await asyncio.sleep(self.settings.lease.poll_ms / 1000)

    def _on_agent_stopped(self, session: _agent_session.AgentSession, latest_id_ms: int) -> None:
        self._background_tasks.spawn(
            self._record_agent_stop(session.agent_id, session.incarnation, latest_id_ms)
        )

    async def _record_agent_stop(self, agent_id: str, incarnation: str, latest_id_ms: int) -> None:
        # Another entry may record the stop first. If nobody records it, the agent counts as
        # unreachable, which is safe.
        with contextlib.suppress(_table.TableError, _table.ConflictError):
            await self.shard_manager.agent_rows.record_end(agent_id, incarnation, latest_id_ms)

    def _heartbeat(self, session: _agent_session.AgentSession) -> _wire.EntryHeartbeat:
        entries = [
            [entry.id, entry.address]
            for entry in self.shard_manager.view.entry_by_id.values()
            if entry.state != _ownership.FENCED
        ]
        desired_state = self.upstreams.desired_state_of(session.agent_id)
        return _wire.EntryHeartbeat(entries, self.publisher.version, desired_state)

    # Life cycle.

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
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
            max_size=_codec.MAX_MESSAGE_BYTES,
        )
        shard_manager_tasks = [
            asyncio.create_task(self.shard_manager.run()),
            self._run_periodically(
                self.shard_manager.extend_lease_in_outage,
                _shard_manager.PROMISE_INTERVAL_SECONDS,
                "lease",
            ),
        ]
        background_tasks = [
            self._run_periodically(self.owner.expire, _owner.EXPIRY_INTERVAL_SECONDS, "expiry"),
            self._run_periodically(
                self._monitor_agents, self.settings.lease.heartbeat_ms / 1000 / 4, "agents"
            ),
        ]
        logger.bind(http=self.settings.http.advertised, peer=peer.advertised).info("entry started")
        stopping = asyncio.create_task(stop.wait())
        await asyncio.wait([stopping, *shard_manager_tasks], return_when=asyncio.FIRST_COMPLETED)
        if not stop.is_set():
            # The shard manager ends by itself only because of settings that have to be corrected.
            stopping.cancel()
            for task in shard_manager_tasks:
                if task.done():
                    task.result()
        await self._stop_gracefully()
        for task in [*shard_manager_tasks, *background_tasks]:
            task.cancel()
        self.peers.close()
        await self.shard_manager.membership.deregister()
        server.close()
        await runner.cleanup()
        await self.table.close()
        await self.objects.close()
        logger.info("entry stopped")

    async def _serve_http(self) -> web.AppRunner:
        limits = self.settings.limits
        app = web.Application(client_max_size=limits.body_limit_kb * 1024)
        app.add_routes(_health_api.routes(self.metrics, self.not_ready_reason, self.status))
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

    def _run_periodically(self, action, interval_seconds: float, name: str) -> asyncio.Task:
        return asyncio.create_task(
            _ticker.run_forever(
                action, lambda: interval_seconds, self.metrics.count_internal_error, name
            )
        )

    def _monitor_agents(self) -> None:
        self.delivery.expire_disconnected(_clock.monotonic())
        self._update_gauges()

    def _update_gauges(self) -> None:
        shard_manager = self.shard_manager
        self.metrics.set_owned_shards(
            sum(owned_shard.active for owned_shard in shard_manager.owned_shard_by_number.values())
        )
        self.metrics.set_known_epochs(len(shard_manager.view.shard_by_number))
        self.metrics.set_roster_size(len(shard_manager.view.entry_by_id))
        self.metrics.set_jobs_in_memory(
            len(self.owner.jobs.job_by_key) + len(self.owner.jobs.settled_by_key)
        )
        states = collections.Counter(
            "ready" if session.status and session.status.ready else "not_ready"
            for session in self.delivery.session_by_id.values()
        )
        self.metrics.set_upstreams(dict(states))

    async def _stop_gracefully(self) -> None:
        """Hand over the shards and answer all open requests.

        Requests are accepted for the grace time after `/readyz` reports that the entry is
        stopping, since the load balancer sends them until it has noticed.
        """
        logger.info("entry stopping")
        self.api.stopping = True
        deadline = _clock.monotonic() + STOP_TIMEOUT_SECONDS
        other_entries = set(self.shard_manager.view.live_entry_ids(_clock.monotonic())) - {
            self.settings.id
        }
        if other_entries and self.shard_manager.table_reachable:
            await self._hand_over_shards()
        else:
            self.owner.draining = True
        await asyncio.sleep(self.settings.limits.stop_grace_ms / 1000)
        await self._site.stop()
        while self.api.open_requests or self.owner.jobs.job_by_key:
            if _clock.monotonic() > deadline:
                logger.bind(open=self.api.open_requests).warning("stop limit reached")
                break
            await asyncio.sleep(STOP_POLL_SECONDS)
        if self.owner.draining and self.shard_manager.table_reachable:
            await self._hand_over_shards()

    async def _hand_over_shards(self) -> None:
        try:
            await self.shard_manager.stop_owning()
        except _table.TableError as error:
            logger.bind(reason=str(error)).warning("shards could not be released")

    def not_ready_reason(self) -> str:
        """Return the reason why the entry should get no requests, empty if it is ready."""
        if self.api.stopping:
            return "stopping"
        if self.publisher.lists is None:
            return "no lists are known"
        if not self.shard_manager.lease.valid(_clock.monotonic()):
            return "no valid lease"
        return ""

    def status(self) -> dict:
        """Return the body of `/status`."""
        now = _clock.monotonic()
        return {
            "id": self.settings.id,
            "role": "entry",
            "incarnation": self.shard_manager.instance_id[1],
            "ready": not self.not_ready_reason(),
            "table_reachable": self.shard_manager.table_reachable,
            "lease_remaining_s": round(self.shard_manager.lease.remaining(now), 3),
            "lists_version": self.publisher.version,
            "shards": sorted(
                shard
                for shard, owned_shard in self.shard_manager.owned_shard_by_number.items()
                if owned_shard.active
            ),
            "agents": sorted(self.delivery.session_by_id),
            "peers": sorted(
                peer_id for peer_id, link in self.peers.link_by_id.items() if link.connected
            ),
            "jobs": len(self.owner.jobs.job_by_key),
            "records": len(self.owner.jobs.settled_by_key),
            "open_requests": self.api.open_requests,
            "dispatcher": self.dispatcher.snapshot(),
        }


async def run(settings: _settings.Settings) -> None:
    """Run an entry until SIGTERM or SIGINT, then stop gracefully."""
    await Entry(settings).run()
