"""Pool entry: takes jobs, has them placed, orders their tasks and answers the callers."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs
import loguru

from daisyfall import _clock, _pool_wire
from daisyfall.connection import _link
from daisyfall.policy import _waiting
from daisyfall.process import (
    _leadership,
    _pool_metrics,
    _pool_peers,
    _pool_settings,
    _scheduling,
    _suspension,
)
from daisyfall.request import _pool_jobs, _pool_work
from daisyfall.version import _routes

TICK_S = 0.04
# An agent stops the tasks of an entry that is silent, so several beats fit into its limit.
BEATS_PER_SILENCE = 2
# The scheduling entry must not place tasks at an agent that is gone; for the others, agents
# beat less often.
AGENT_SILENCE_S = 1.5
# Requests that are read this soon after a pause are held as long; their callers may have left.
UNSETTLED_S = 0.15
STOP_POLL_S = 0.05


class PoolEntry:
    """One entry; `decode_configuration` reads the platform's document."""

    def __init__(
        self,
        settings: _pool_settings.EntrySettings,
        decode_configuration: Callable[[bytes], _routes.Configuration],
        metrics: _pool_metrics.PoolMetrics,
        source: random.Random,
    ):
        self.settings = settings
        self.metrics = metrics
        self.configuration: _routes.Configuration | None = None
        self._document = b""
        self._decode_configuration = decode_configuration
        self._work = _pool_work.PoolWork(settings.id, settings.bounds, metrics)
        self._work.attach(
            place=self._place,
            withdraw=lambda job_id: self._withdraw(job_id, self._leadership.leader_id),
            link_to=self._link_to,
            describe=self._describe,
        )
        self._scheduling = _scheduling.Scheduling(source, self._deliver)
        self._leadership = _leadership.Leadership(
            settings.id, settings.cores, settings.started_ms, _clock.monotonic()
        )
        self._incoming: dict[str, _link.Link] = {}
        self._is_draining = False
        self._guard = _suspension.Guard(self._reset_links)
        self.peers = _pool_peers.Peers(settings.id, self)

    async def run(self, stop: asyncio.Event, close_callers: Callable[[], Awaitable]) -> None:
        """Serve until `stop` is set, then finish the jobs that were taken.

        `close_callers` stops listening, closes idle connections and returns when the others
        have got their answers.
        """
        settings = self.settings
        server = _link.listen(
            self._serve_peer,
            lambda: settings.open(_pool_wire.ROLE_ENTRY, []),
            settings.address,
            settings.port,
        )
        async with server:
            ticker = asyncio.create_task(self._tick_forever())
            loguru.logger.bind(port=settings.port).info("entry started")
            await stop.wait()
            await self._drain(close_callers)
            ticker.cancel()
            await self.peers.close()
        loguru.logger.info("entry stopped")

    async def _drain(self, close_callers: Callable[[], Awaitable]) -> None:
        self._is_draining = True
        loguru.logger.bind(jobs=len(self._work)).info("entry is stopping")
        started = _clock.monotonic()
        limit = started + self.settings.stop_limit_s
        self._work.end_by(limit)
        settled = started + self.settings.settle_s
        while _clock.monotonic() < limit and (self._work or _clock.monotonic() < settled):
            await asyncio.sleep(STOP_POLL_S)
        # Requests that arrive on open connections meanwhile are still served.
        closing = asyncio.ensure_future(close_callers())
        left_s = max(limit - _clock.monotonic(), 0.0)
        await asyncio.wait([closing], timeout=left_s)
        self._work.give_up_all()
        await closing

    @property
    def is_ready(self) -> bool:
        """Tell whether callers should come here."""
        return (
            self.configuration is not None
            and not self._is_draining
            and self._scheduling.has_open_runner()
        )

    @property
    def is_draining(self) -> bool:
        """Tell whether the process has been told to stop."""
        return self._is_draining

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._guard.check()
            self._tick(_clock.monotonic())

    def _tick(self, now: float) -> None:
        self.peers.expire(now)
        for peer_id, link in list(self._incoming.items()):
            link.expire(now, self._leadership.rhythm_from(peer_id).heartbeat_timeout_s)
        self._follow_leader(now)
        self._scheduling.advance()
        self._work.expire(now)
        self.metrics.show(
            jobs=len(self._work),
            queued=self._scheduling.queued,
            links=len(self.peers.link_by_id),
            configuration_version=self.configuration.version if self.configuration else 0,
        )

    def _reset_links(self, _pause_s: float) -> None:
        """Reset all links after a pause; what agents have stopped meanwhile is placed again."""
        self.peers.abort_all("this process was paused")
        for link in list(self._incoming.values()):
            link.abort("this process was paused")

    def take_configuration(self, document: bytes) -> None:
        """Put a document in force unless its version is known; raise `ValueError` if unreadable."""
        configuration = self._decode_configuration(document)
        known = self.configuration.version if self.configuration else -1
        if configuration.version <= known:
            return
        self.configuration = configuration
        self._document = document
        log = loguru.logger.bind(version=configuration.version, routes=len(configuration.routes))
        log.info("configuration in force")
        for node_id, link in self.peers.link_by_id.items():
            if self.peers.node_by_id[node_id].role == _pool_wire.ROLE_ENTRY:
                link.send(_pool_wire.ShareConfiguration(configuration.version, document))

    def refusal(self) -> str:
        """Return why no job is taken now, `""` if jobs are taken."""
        self._guard.check()
        if self.configuration is None:
            return "no_configuration"
        return ""

    async def outwait_pause(self) -> float:
        """Return by how many seconds a request may be older than it looks.

        After a pause of the process, requests that waited in the buffers of the sockets are held
        until the ends of their connections, which lie behind them, have been seen.
        """
        pause_s = self._guard.pause_within(UNSETTLED_S)
        if pause_s:
            await asyncio.sleep(UNSETTLED_S)
        return pause_s

    def waiting_jobs(self, route: str) -> int:
        """Return the jobs of a route that no task has started of, at all entries."""
        own = self._work.waiting_by_route().get(route, 0)
        return own + self._leadership.waiting_elsewhere(route)

    def has_job(self, job_id: str) -> bool:
        """Tell whether a job is in work here."""
        return self._work.has_job(job_id)

    async def submit(self, submission: _pool_jobs.Submission) -> _pool_jobs.Answer:
        """Run a job, or join it if it is in work; a caller that leaves cancels its job."""
        return await self._work.submit(submission)

    def cancel(self, job_id: str) -> bool:
        """Cancel a job here, or have the other entries do so; tell whether it was here."""
        is_here = self._work.cancel(job_id)
        if not is_here:
            for link in self._entry_links().values():
                link.send(_pool_wire.CancelJob(job_id))
        return is_here

    def _describe(self) -> dict:
        version = self.configuration.version if self.configuration else 0
        return {"leader": self._leadership.leader_id, "configuration": version}

    def _place(self, batch: _waiting.TaskBatch) -> None:
        """Have an item placed by the scheduling entry, which may be this one."""
        now = _clock.monotonic()
        link = self.peers.link_by_id.get(self._leadership.leader_id)
        if link is None:
            self._scheduling.submit(batch)
            return
        link.send(
            _pool_wire.PlaceTasks(
                batch.id,
                batch.job_id,
                batch.pool,
                batch.priority,
                round((batch.latest_start - now) * 1000),
                round((batch.start_deadline - now) * 1000),
                batch.has_started,
                [list(attrs.astuple(each)) for each in batch.demands],
            )
        )

    def _deliver(self, entry_id: str, decision: _scheduling.Decision) -> None:
        """Carry a decision of the own scheduler to the entry that asked for it."""
        if entry_id == self.settings.id:
            self._work.take_decision(decision)
        elif entry_id in self._incoming:
            self._incoming[entry_id].send(decision)

    def _link_to(self, agent_id: str) -> _link.Link | None:
        return self.peers.link_by_id.get(agent_id)

    def _withdraw(self, job_id: str, leader_id: str) -> None:
        self._scheduling.withdraw(self.settings.id, job_id)
        link = self.peers.link_by_id.get(leader_id)
        if link is not None:
            link.send(_pool_wire.Withdraw(job_id))

    def _follow_leader(self, now: float) -> None:
        """Choose the scheduling entry; ask the new one for all that waits at the old one."""
        before = self._leadership.leader_id
        changed = self._leadership.choose(
            now,
            self._entry_links(),
            is_available=not self._is_draining and self._scheduling.has_open_runner(),
        )
        if not changed:
            return
        loguru.logger.bind(leader=self._leadership.leader_id).info("scheduling entry changed")
        for job_id in self._work.waiting_ids():
            self._withdraw(job_id, before)
        self._work.ask_again(now)
        self._beat_all()

    # Links that this entry dialled.

    def open_to(self, node: _pool_peers.Node) -> _pool_wire.Open:
        """Return the first message for a node; an agent is told which tasks it should have."""
        tasks = []
        if node.role == _pool_wire.ROLE_AGENT:
            tasks = [task.name for _, task in self._work.tasks_at(node.id)]
        return self.settings.open(_pool_wire.ROLE_ENTRY, tasks)

    def opened(self, node: _pool_peers.Node, link: _link.Link) -> None:
        """Take a new link."""
        if node.role == _pool_wire.ROLE_AGENT:
            self._work.watch(node.id)
            return
        self._share(link)

    def received(self, node: _pool_peers.Node, link: _link.Link, message) -> None:
        """Take a message of an agent, or an answer of an entry."""
        self._guard.check()
        if link.is_closed:
            return
        match message:
            case _pool_wire.TaskEnded():
                self._work.end_task(node.id, message)
            case _pool_wire.RoomFreed():
                self._scheduling.free(node.id, message)
            case _pool_wire.RoomReport():
                self._scheduling.take_room(node.id, message)
            case _pool_wire.RunnerState():
                self._scheduling.take_state(node.id, message)
            case _pool_wire.Resumed():
                self._work.settle(node.id, link, message)
            case _pool_wire.Placed() | _pool_wire.PlaceRefused():
                self._work.take_decision(message)
            case _pool_wire.PeerBeat():
                self._leadership.heard(node.id, link, message)
            case _pool_wire.Beat():
                pass
            case _:
                self._take_shared(message)

    def closed(self, node: _pool_peers.Node, link: _link.Link) -> None:
        """Note that a link has ended."""
        now = _clock.monotonic()
        if node.role == _pool_wire.ROLE_AGENT:
            self._scheduling.mark_runner_unreachable(node.id)
            self._work.agent_lost(node.id, now)
        else:
            self._leadership.lost(node.id)
            self._follow_leader(now)

    # Links that other entries dialled.

    async def _serve_peer(self, link: _link.Link) -> None:
        peer_id = link.peer.node_id
        known = self._incoming.get(peer_id)
        if known is not None:
            known.abort("the entry opened a new link")
        self._incoming[peer_id] = link
        self._share(link)
        try:
            await link.serve(
                lambda message: self._handle_peer(peer_id, link, message),
                lambda: self._peer_beat(peer_id),
                lambda: self._leadership.rhythm_from(peer_id),
            )
        finally:
            log = loguru.logger.bind(node=peer_id, reason=link.close_reason)
            log.info("link from an entry closed")
            if self._incoming.get(peer_id) is link:
                del self._incoming[peer_id]
                self._leadership.followed(peer_id, is_follower=False)
                self._scheduling.withdraw_entry(peer_id)

    def _handle_peer(self, peer_id: str, link: _link.Link, message) -> None:
        self._guard.check()
        if link.is_closed:
            return
        match message:
            case _pool_wire.PlaceTasks():
                self._leadership.asked(_clock.monotonic())
                self._scheduling.submit_message(peer_id, message)
            case _pool_wire.Withdraw():
                self._scheduling.withdraw(peer_id, message.job_id)
            case _pool_wire.CancelJob():
                self._work.cancel(message.job_id)
            case _pool_wire.PeerBeat():
                self._leadership.followed(peer_id, is_follower=message.follows_you)
            case _:
                self._take_shared(message)

    def _share(self, link: _link.Link) -> None:
        """Tell another entry what the store may not tell it: nodes and the configuration."""
        nodes = self.peers.node_by_id.values()
        link.send(_pool_wire.ShareNodes([[n.id, n.role, n.address] for n in nodes]))
        if self.configuration is not None:
            link.send(_pool_wire.ShareConfiguration(self.configuration.version, self._document))

    def _take_shared(self, message) -> None:
        match message:
            case _pool_wire.ShareNodes():
                self.peers.add_nodes([_pool_peers.Node(*row) for row in message.nodes])
            case _pool_wire.ShareConfiguration():
                self.take_configuration(message.document)
            case _:
                loguru.logger.bind(kind=type(message).__name__).warning("unexpected message")

    # Heartbeats.

    def beat(self, node: _pool_peers.Node) -> _pool_wire.Beat | _pool_wire.PeerBeat:
        """Return the heartbeat for a node."""
        is_agent = node.role == _pool_wire.ROLE_AGENT
        return self._agent_beat() if is_agent else self._peer_beat(node.id)

    def rhythm(self, node: _pool_peers.Node) -> _link.Rhythm:
        """Return how often to beat towards a node, and when it counts as silent."""
        if node.role == _pool_wire.ROLE_ENTRY:
            return self._leadership.rhythm_to(node.id)
        limit_s = self.settings.bounds.heartbeat_timeout_s
        is_close = self._leadership.has_scheduled_for(limit_s, _clock.monotonic())
        heartbeat_timeout_s = limit_s if is_close else AGENT_SILENCE_S
        return _link.Rhythm(limit_s / BEATS_PER_SILENCE, heartbeat_timeout_s)

    def _agent_beat(self) -> _pool_wire.Beat:
        return _pool_wire.Beat(self._leadership.schedules(_clock.monotonic()))

    def _beat_all(self) -> None:
        """Tell agents and entries at once which entry this one follows now."""
        for node_id, link in self.peers.link_by_id.items():
            link.send(self.beat(self.peers.node_by_id[node_id]))

    def _peer_beat(self, peer_id: str) -> _pool_wire.PeerBeat:
        return _pool_wire.PeerBeat(
            not self._is_draining and self._scheduling.has_open_runner(),
            self.configuration.version if self.configuration else 0,
            self._work.waiting_by_route(),
            self._leadership.leader_id == self.settings.id,
            self._leadership.leader_id == peer_id,
        )

    def _entry_links(self) -> dict[str, _link.Link]:
        return {
            node_id: link
            for node_id, link in self.peers.link_by_id.items()
            if self.peers.node_by_id[node_id].role == _pool_wire.ROLE_ENTRY
        }
