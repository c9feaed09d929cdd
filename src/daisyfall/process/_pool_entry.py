"""Pool entry: accepts jobs, has their tasks placed and run, and answers the callers."""

import asyncio
import math
import random
from collections.abc import Awaitable, Callable

import loguru

from daisyfall import _clock, _pool_wire
from daisyfall.connection import _link, _loop_turns
from daisyfall.policy import _job_queue, _rotation
from daisyfall.process import (
    _entry_heartbeats,
    _incoming_links,
    _leadership,
    _pause_detector,
    _placement_preview,
    _placement_service,
    _pool_metrics,
    _pool_peers,
    _pool_settings,
    _shared_state,
    _ticker,
)
from daisyfall.request import _job_callbacks, _job_limits, _pool_job_manager, _pool_jobs
from daisyfall.version import _routes

TICK_S = _job_limits.CHECK_INTERVAL_S
# While this entry has no jobs, queues none for others and has chosen the scheduling entry.
IDLE_TICK_S = 0.1
# How often the heartbeat timing of all links is brought up to date.
TIMING_INTERVAL_S = 0.2
# Requests read this soon after a pause are delayed by this time: callers may have disconnected.
AFTER_PAUSE_S = 0.15
DRAIN_POLL_S = 0.05


class PoolEntry:
    """One entry process; `decode_configuration` decodes the platform's configuration document."""

    def __init__(
        self,
        settings: _pool_settings.EntrySettings,
        decode_configuration: Callable[[bytes], _routes.Configuration],
        metrics: _pool_metrics.PoolMetrics,
        rng: random.Random,
    ):
        self.settings = settings
        self.metrics = metrics
        self.peers = _pool_peers.PoolPeers(settings.id, self)
        self._jobs = _pool_job_manager.PoolJobManager(settings.id, settings.bounds, metrics, rng)
        self.shared = _shared_state.SharedState(
            self.peers,
            decode_configuration,
            metrics,
            (settings.data_centre, *settings.data_centres),
            on_evacuated=self._set_evacuated,
            on_cancelled=self._jobs.cancel,
        )
        self._placement = _placement_service.PlacementService(
            rng, self._deliver, settings.remote_factor
        )
        self._leadership = _leadership.Leadership(
            settings.id, settings.cores, settings.started_ms, _clock.monotonic()
        )
        self.preview = _placement_preview.PlacementPreview(
            settings.id, self._jobs, self._placement, self._leadership, self.peers
        )
        self._incoming_by_id: dict[str, _link.Link] = {}
        self._heartbeats = _entry_heartbeats.EntryHeartbeats(
            bounds=settings.bounds,
            leadership=self._leadership,
            peers=self.peers,
            incoming_by_id=self._incoming_by_id,
            describe=self._describe_state,
            has_tasks_at=self._jobs.has_tasks_at,
        )
        callbacks = _job_callbacks.JobCallbacks(
            place=self._place,
            withdraw=lambda job_id: self._withdraw(job_id, self._leadership.leader_id),
            link_to=self.peers.link_by_id.get,
            describe=lambda: {
                "leader": self._leadership.leader_id,
                "configuration": self.shared.version,
            },
            on_dispatch=self._heartbeats.update_agent,
            dial=self.peers.redial,
        )
        self._jobs.set_callbacks(callbacks)
        metrics.set_state_source(self._state_quantities)
        self._turns = _loop_turns.LoopTurns()
        self._requesting_again: asyncio.Task | None = None
        self._is_draining = False
        self._tick_due_at = math.inf
        # By how much the last tick was late, as the event loop was busy.
        self._lag_s = 0.0
        self._rotation = _rotation.Rotation(_clock.monotonic())
        self._timing_updated_at = float("-inf")
        self._pause_detector = _pause_detector.PauseDetector(self._reset_links)
        self._incoming = _incoming_links.IncomingLinks(
            link_by_id=self._incoming_by_id,
            jobs=self._jobs,
            placement=self._placement,
            leadership=self._leadership,
            heartbeats=self._heartbeats,
            shared=self.shared,
            peers=self.peers,
            check_pause=self._pause_detector.check,
        )

    async def run(self, stop: asyncio.Event, close_callers: Callable[[], Awaitable]) -> None:
        """Serve until `stop` is set, then finish the accepted jobs.

        `close_callers` stops listening, closes idle connections and returns when all other
        connections have got their answers.
        """
        settings = self.settings
        server = _link.listen(
            self._incoming.serve,
            lambda: settings.handshake(_pool_wire.ROLE_ENTRY, []),
            settings.address,
            settings.port,
            self.count_link_error,
        )
        async with server:
            ticker = asyncio.create_task(
                _ticker.run_forever(
                    self._tick, self._tick_delay_s, self.metrics.count_internal_error, "tick"
                )
            )
            loguru.logger.bind(port=settings.port).info("entry started")
            await stop.wait()
            await self._drain(close_callers)
            ticker.cancel()
            await self.peers.close()
        loguru.logger.info("entry stopped")

    async def _drain(self, close_callers: Callable[[], Awaitable]) -> None:
        self._is_draining = True
        loguru.logger.bind(jobs=len(self._jobs)).info("entry is stopping")
        started = _clock.monotonic()
        limit = started + self.settings.max_drain_s
        self._jobs.limits.set_shutdown_deadline(limit)
        listen_until = started + self.settings.drain_delay_s
        while _clock.monotonic() < limit and (self._jobs or _clock.monotonic() < listen_until):
            await asyncio.sleep(DRAIN_POLL_S)
        # Requests that arrive on open connections in the meantime are still served.
        closing = asyncio.ensure_future(close_callers())
        remaining_s = max(limit - _clock.monotonic(), 0.0)
        await asyncio.wait([closing], timeout=remaining_s)
        self._jobs.give_up_all()
        await closing

    @property
    def is_ready(self) -> bool:
        """Return whether this entry is ready for new callers."""
        is_served = self.configuration is not None and self._is_available
        return is_served and self._rotation.is_in

    @property
    def closes_connections(self) -> bool:
        """Return whether callers should open their next connection to another entry."""
        return self._is_draining or not self._rotation.is_in

    @property
    def _is_available(self) -> bool:
        """Return whether this entry can place tasks and goes on running."""
        return not self._is_draining and self._placement.has_available_runner()

    def _tick_delay_s(self) -> float:
        now = _clock.monotonic()
        is_idle = not self._jobs and not self._placement.queued
        delay_s = IDLE_TICK_S if is_idle and not self._leadership.is_starting(now) else TICK_S
        self._tick_due_at = now + delay_s
        return delay_s

    def _tick(self) -> None:
        self._pause_detector.check()
        now = _clock.monotonic()
        self.peers.expire(now)
        for link in list(self._incoming_by_id.values()):
            link.expire(now)
        if self._leadership.is_choice_due(now):
            self._update_leader(now)
        if now - self._timing_updated_at >= TIMING_INTERVAL_S:
            self._timing_updated_at = now
            self._heartbeats.update(now)
        self._placement.advance()
        self._lag_s = max(now - self._tick_due_at, 0.0)
        self._jobs.limits.observe(now, self._lag_s)
        self._update_rotation(now)
        self._jobs.expire(now)

    def _update_rotation(self, now: float) -> None:
        """Leave callers to the other entries while scheduling takes all of the processor."""
        may_leave = self._leadership.is_leader and self._leadership.has_available_peer
        if self._rotation.observe(now, self._lag_s, may_leave=may_leave):
            log = loguru.logger.bind(in_rotation=self._rotation.is_in)
            log.warning("readiness for new callers changed")

    def _state_quantities(self) -> dict[str, float]:
        return {
            "jobs": len(self._jobs),
            "waiting": self._jobs.limits.waiting,
            "queued": self._placement.queued,
            "short_pools": self._placement.short_pools,
            "links": len(self.peers.link_by_id),
            "configuration_version": self.shared.version,
            "evacuated_data_centres": len(self.shared.evacuated),
            **self._placement.runner_counts(),
        }

    def _set_evacuated(self, data_centres: frozenset[str]) -> None:
        self._jobs.evacuated = data_centres
        self._placement.set_evacuated(data_centres)

    def _reset_links(self, _pause_s: float) -> None:
        """Reset all links after a pause; tasks that agents stopped meanwhile are placed again."""
        self.peers.abort_all("this process was paused")
        for link in list(self._incoming_by_id.values()):
            link.abort("this process was paused")

    @property
    def configuration(self) -> _routes.Configuration | None:
        """Return the configuration in force."""
        return self.shared.configuration

    def rejection_reason(self) -> str:
        """Return the reason for which jobs are rejected now, `""` if they are accepted."""
        self._pause_detector.check()
        return "no_configuration" if self.configuration is None else ""

    async def wait_for_turn(self) -> float:
        """Wait; return for how many seconds a request may have lain in the socket before.

        That is the time of a pause of the process or the lag of its event loop. After a pause,
        requests are delayed until it is known whether their connections were closed, as that is
        read after the requests. Many requests that arrive at once are spread over several
        iterations of the event loop.
        """
        pause_s = self._pause_detector.recent_pause_s(AFTER_PAUSE_S)
        if pause_s:
            await asyncio.sleep(AFTER_PAUSE_S)
        await self._turns.wait()
        return max(pause_s, self._lag_s)

    def waiting_jobs(self, route: str) -> int:
        """Return how many jobs of a route have no started task, at all entries."""
        own = self._jobs.limits.waiting_by_route().get(route, 0)
        return own + self._leadership.waiting_jobs_of_peers(route)

    def has_job(self, job_id: str) -> bool:
        """Return whether a job is in progress at this entry."""
        return self._jobs.has_job(job_id)

    async def submit(self, submission: _pool_jobs.Submission) -> _pool_jobs.Answer:
        """Run a job, or join it if it is in progress; a caller that disconnects cancels it."""
        if self.shared.is_cancelled(submission.job_id):
            return _pool_jobs.Answer(_pool_jobs.Outcome.CANCELLED, "cancelled")
        return await self._jobs.submit(submission)

    def cancel(self, job_id: str) -> bool:
        """Cancel a job here and at the other entries; return whether it was here."""
        self.shared.cancel(job_id)
        return self._jobs.cancel(job_id)

    def _place(self, batch: _job_queue.TaskBatch) -> None:
        """Send a batch to the leader; place it here if this entry leads or has no link to it."""
        now = _clock.monotonic()
        link = self.peers.link_by_id.get(self._leadership.leader_id)
        if link is None:
            batch.data_centre = self.settings.data_centre
            self._placement.submit(batch)
            return
        link.send(_placement_service.encode_request(batch, now))

    def _deliver(self, entry_id: str, decision: _placement_service.Decision) -> None:
        """Deliver a decision of this entry's scheduler to the entry that requested it."""
        if entry_id == self.settings.id:
            self._jobs.handle_placement_reply(decision)
        elif entry_id in self._incoming_by_id:
            self._incoming_by_id[entry_id].send(decision)

    def _withdraw(self, job_id: str, leader_id: str) -> None:
        self._placement.withdraw(self.settings.id, job_id)
        if link := self.peers.link_by_id.get(leader_id):
            link.send(_pool_wire.CancelPlacement(job_id))

    def _update_leader(self, now: float) -> None:
        """Choose the leader; move waiting placement requests from the previous one to it."""
        previous_id, was_leader = self._leadership.leader_id, self._leadership.is_leader
        if self.peers.are_nodes_known:
            self._leadership.set_registered(self.peers.ids(_pool_wire.ROLE_ENTRY), now)
        changed = self._leadership.choose(now, self._entry_links(), is_available=self._is_available)
        if changed:
            self._move_requests(previous_id, now)
        if changed or self._leadership.is_leader != was_leader:
            self._heartbeats.update(now)
            self._heartbeats.broadcast()

    def _move_requests(self, previous_id: str, now: float) -> None:
        """Request placements again that wait at the previous scheduling entry."""
        loguru.logger.bind(leader=self._leadership.leader_id).info("scheduling entry changed")
        job_ids = self._jobs.waiting_job_ids()
        for job_id in job_ids:
            self._withdraw(job_id, previous_id)
        if self._requesting_again is not None:
            self._requesting_again.cancel()
        self._requesting_again = asyncio.create_task(self._request_again(job_ids, now))

    async def _request_again(self, job_ids: list[str], changed_at: float) -> None:
        for job_id in job_ids:
            await self._turns.wait()
            self._jobs.request_placement_again(job_id, changed_at)

    # Links that this entry dialled.

    def handshake(self, node: _pool_peers.Node) -> _pool_wire.Handshake:
        """Return the first message for a node; for an agent, it lists the tasks sent there."""
        tasks = []
        if node.role == _pool_wire.ROLE_AGENT:
            tasks = [task.name for _, task in self._jobs.tasks_at(node.id)]
        return self.settings.handshake(_pool_wire.ROLE_ENTRY, tasks)

    def on_opened(self, node: _pool_peers.Node, link: _link.Link) -> None:
        """Handle a new link."""
        self._heartbeats.set_timing(node, link, _clock.monotonic())
        if node.role == _pool_wire.ROLE_AGENT:
            self._jobs.mark_unreconciled(node.id)
            self.shared.send_to_agent(link)
            link.send(self.heartbeat(node))
            return
        self.shared.send_to_entry(link)

    def on_message(self, node: _pool_peers.Node, link: _link.Link, message) -> None:
        """Handle a message of an agent or another entry."""
        self._pause_detector.check()
        if link.is_closed:
            return
        match message:
            case _pool_wire.TaskEnded():
                self._jobs.handle_task_ended(node.id, message)
            case _pool_wire.RunnerCrashed():
                for route in self._jobs.handle_runner_crash(message):
                    self._placement.confine(route)
            case _pool_wire.AllocationReleased():
                self._placement.record_task_end(node.id, message)
            case _pool_wire.AllocationReport():
                self._placement.sync_allocations(node.id, message)
            case _pool_wire.RunnerState():
                self._placement.update_runner(node.id, message, link.peer.data_centre)
            case _pool_wire.Resumed():
                self._jobs.reconcile_tasks(node.id, link, message)
            case _pool_wire.TasksPlaced() | _pool_wire.PlacementRefused():
                self._jobs.handle_placement_reply(message)
            case _pool_wire.PeerHeartbeat():
                self._leadership.record_heartbeat(node.id, link, message)
                link.set_timing(self._leadership.heartbeat_timing_to(node.id))
            case _pool_wire.Heartbeat():
                pass
            case _:
                self.shared.handle(message)

    def on_closed(self, node: _pool_peers.Node, link: _link.Link) -> None:
        """Handle the end of a link."""
        now = _clock.monotonic()
        if node.role == _pool_wire.ROLE_AGENT:
            self._placement.mark_runner_unreachable(node.id)
            self._jobs.agent_disconnected(node.id, link.peer.incarnation, now)
        else:
            self._leadership.remove_peer(node.id)
            self._update_leader(now)

    # Heartbeats.

    def heartbeat(self, node: _pool_peers.Node) -> _pool_wire.Heartbeat | _pool_wire.PeerHeartbeat:
        """Return the heartbeat for a node."""
        return self._heartbeats.for_node(node)

    def count_link_error(self, reason: str) -> None:
        """Count a rejected handshake or message of a peer."""
        self.metrics.count_link_error(reason)

    def _describe_state(self) -> _entry_heartbeats.EntryState:
        is_starting = self._leadership.is_starting(_clock.monotonic())
        return _entry_heartbeats.EntryState(
            self._is_available,
            self.shared.version,
            self._jobs.limits.waiting_by_route(),
            is_starting and not self._is_draining,
        )

    def _entry_links(self) -> dict[str, _link.Link]:
        return {node.id: link for node, link in self.peers.links(_pool_wire.ROLE_ENTRY)}
