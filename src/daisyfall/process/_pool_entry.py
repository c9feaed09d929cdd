"""Pool entry: takes jobs, has them placed, orders their tasks and answers the callers."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs
import loguru

from daisyfall import _clock, _pool_wire
from daisyfall.connection import _link
from daisyfall.policy import _bounds, _room, _scheduler, _waiting
from daisyfall.process import _leadership, _pool_metrics, _pool_peers, _suspension
from daisyfall.request import _estimates, _pool_jobs
from daisyfall.version import _routes

TICK_S = 0.04
# Heartbeats between entries; a silent scheduler is replaced after the limit.
PEER_BEAT_S = 0.1
PEER_SILENCE_S = 0.35
# A dialling entry is only watched so that what it left behind is dropped.
DIALLER_BEAT_S = 0.5
DIALLER_SILENCE_S = 1.5
# An agent stops the tasks of an entry that is silent, so several beats fit into its limit.
BEATS_PER_SILENCE = 2
# The scheduling entry must not place tasks at an agent that is gone; for the others, agents
# beat less often.
AGENT_SILENCE_S = 1.5
# An agent keeps an order this long if its room is not free yet.
PATIENCE_MS = 100
# Hopeless jobs of an agent that can't be reached are given up after this time.
RECONNECT_S = 0.4
# Requests that are read this soon after a pause are held as long; their callers may have left.
UNSETTLED_S = 0.15
STOP_POLL_S = 0.05
# Reasons of agents that say nothing about the runner: the task may go there again.
ROOM_REASONS = frozenset({"no_room", "old_run", "late", "fenced"})


@attrs.frozen
class EntrySettings:
    """Settings of a pool entry; times in seconds, `stop_limit_s` bounds a graceful stop."""

    id: str
    incarnation: str
    data_centre: str
    address: str
    port: int
    cores: float
    started_ms: int
    bounds: _bounds.Bounds
    stop_limit_s: float
    settle_s: float  # after a stop signal, until callers no longer come


class PoolEntry:
    """One entry; `decode_configuration` reads the platform's document."""

    def __init__(
        self,
        settings: EntrySettings,
        decode_configuration: Callable[[bytes], _routes.Configuration],
        metrics: _pool_metrics.PoolMetrics,
        source: random.Random,
    ):
        self.settings = settings
        self.metrics = metrics
        self.configuration: _routes.Configuration | None = None
        self._document = b""
        self._decode_configuration = decode_configuration
        self._source = source
        self._job_by_id: dict[str, _pool_jobs.Job] = {}
        self._answer_by_id: dict[str, asyncio.Future] = {}
        self._waiters_by_id: dict[str, int] = {}
        self._lost_at_by_agent: dict[str, float] = {}
        self._unsettled_agents: set[str] = set()
        self._estimates = _estimates.Estimates()
        self._scheduler = _scheduler.Scheduler(source)
        self._leadership = _leadership.Leadership(settings.id, settings.cores, settings.started_ms)
        self._incoming: dict[str, _link.Link] = {}
        self._is_draining = False
        self._guard = _suspension.Guard(self._reset_links)
        self.peers = _pool_peers.Peers(settings.id, self)

    # Life of the process.

    async def run(self, stop: asyncio.Event, close_callers: Callable[[], Awaitable]) -> None:
        """Serve until `stop` is set, then finish the jobs that were taken.

        `close_callers` stops listening, closes idle connections and returns when the others
        have got their answers.
        """
        server = _link.listen(self._serve_peer, self.settings.address, self.settings.port)
        async with server:
            ticker = asyncio.create_task(self._tick_forever())
            loguru.logger.bind(port=self.settings.port).info("entry started")
            await stop.wait()
            await self._drain(close_callers)
            ticker.cancel()
            await self.peers.close()
        loguru.logger.info("entry stopped")

    async def _drain(self, close_callers: Callable[[], Awaitable]) -> None:
        self._is_draining = True
        loguru.logger.bind(jobs=len(self._job_by_id)).info("entry is stopping")
        started = _clock.monotonic()
        limit = started + self.settings.stop_limit_s
        settled = started + self.settings.settle_s
        while _clock.monotonic() < limit and (self._job_by_id or _clock.monotonic() < settled):
            await asyncio.sleep(STOP_POLL_S)
        # Requests that arrive on open connections meanwhile are still served.
        closing = asyncio.ensure_future(close_callers())
        left_s = max(limit - _clock.monotonic(), 0.0)
        await asyncio.wait([closing], timeout=left_s)
        for job in list(self._job_by_id.values()):
            self._give_up(job, "stopping")
        await closing

    @property
    def is_ready(self) -> bool:
        """Tell whether callers should come here."""
        return (
            self.configuration is not None
            and not self._is_draining
            and any(each.is_open for each in self._scheduler.room_by_id.values())
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
        for link in list(self._incoming.values()):
            link.expire(now, DIALLER_SILENCE_S)
        self._follow_leader(now)
        self._apply(self._scheduler.advance(now))
        self._expire_lost_agents(now)
        for job in list(self._job_by_id.values()):
            if now > job.deadline - _pool_jobs.ANSWER_MARGIN_S:
                self._give_up(job, "deadline")
        self.metrics.show(
            jobs=len(self._job_by_id),
            queued=self._scheduler.queued,
            links=len(self.peers.link_by_id),
            configuration_version=self.configuration.version if self.configuration else 0,
        )

    def _reset_links(self, _pause_s: float) -> None:
        """Reset all links after a pause; what agents have stopped meanwhile is placed again."""
        self.peers.abort_all("this process was paused")
        for link in list(self._incoming.values()):
            link.abort("this process was paused")

    # Configuration.

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

    # Callers.

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
        own = self._waiting_by_route().get(route, 0)
        return own + self._leadership.waiting_elsewhere(route)

    def has_job(self, job_id: str) -> bool:
        """Tell whether a job is in work here."""
        return job_id in self._job_by_id

    async def submit(self, submission: _pool_jobs.Submission) -> _pool_jobs.Answer:
        """Run a job, or join it if it is in work; a caller that leaves cancels its job."""
        job_id = submission.job_id
        future = self._answer_by_id.get(job_id)
        if future is None:
            future = self._begin(submission)
        self._waiters_by_id[job_id] = self._waiters_by_id.get(job_id, 0) + 1
        try:
            return await asyncio.shield(future)
        except asyncio.CancelledError:
            if self._waiters_by_id.get(job_id) == 1 and job_id in self._job_by_id:
                self._finish(
                    self._job_by_id[job_id],
                    _pool_jobs.Answer(_pool_jobs.Outcome.CANCELLED, "caller_left"),
                )
            raise
        finally:
            self._leave(job_id)

    def cancel(self, job_id: str, *, tells_peers: bool = True) -> bool:
        """Cancel a job here, or have the other entries do so; tell whether it was here."""
        job = self._job_by_id.get(job_id)
        if job is not None:
            answer = _pool_jobs.Answer(_pool_jobs.Outcome.CANCELLED, "cancelled")
            self._finish(job, answer)
        elif tells_peers:
            for link in self._entry_links().values():
                link.send(_pool_wire.CancelJob(job_id))
        return job is not None

    def _leave(self, job_id: str) -> None:
        left = self._waiters_by_id.get(job_id, 0) - 1
        if left > 0:
            self._waiters_by_id[job_id] = left
        else:
            self._waiters_by_id.pop(job_id, None)

    def _begin(self, submission: _pool_jobs.Submission) -> asyncio.Future:
        now = _clock.monotonic()
        route = submission.route.name
        record = self._estimates.record("", route)
        expected_ms = [
            record.predict(each.estimated_ms) if record.samples else each.estimated_ms
            for each in submission.steps
        ]
        job = _pool_jobs.make(submission, expected_ms, now)
        future = asyncio.get_running_loop().create_future()
        self._job_by_id[job.id] = job
        self._answer_by_id[job.id] = future
        loguru.logger.bind(
            job=job.id,
            route=route,
            tasks=len(job.task_by_name),
            expected_ms=[round(each) for each in expected_ms],
            start_within_ms=round((job.latest_start - now) * 1000),
            wait_ms=round(submission.wait_s * 1000),
            leader=self._leadership.leader_id,
            configuration=self.configuration.version if self.configuration else 0,
        ).info("job taken")
        self._ask(job, job.unblock(), now)
        return future

    # Placement.

    def _ask(self, job: _pool_jobs.Job, tasks: list[_pool_jobs.Task], now: float) -> None:
        """Have tasks placed by the entry that schedules the pool."""
        if not tasks:
            return
        job.requests += 1
        request_id = f"{job.id}/{job.requests}"
        for task in tasks:
            task.request_id = request_id
        longest_s = max(each.expected_ms for each in tasks) / 1000
        ends_by = job.deadline - longest_s - _pool_jobs.ANSWER_MARGIN_S
        item = _waiting.Item(
            id=request_id,
            entry_id=self.settings.id,
            job_id=job.id,
            pool=job.submission.route.pool,
            priority=job.submission.route.priority,
            demands=sorted((job.demand(each) for each in tasks), key=lambda each: -each.cpu),
            latest_start=job.latest_start,
            ends_by=ends_by,
            has_started=job.has_ordered,
        )
        leader_id = self._leadership.leader_id
        link = self.peers.link_by_id.get(leader_id)
        if link is None:
            self._apply(self._scheduler.submit(item, now))
            return
        link.send(
            _pool_wire.PlaceTasks(
                request_id,
                job.id,
                item.pool,
                item.priority,
                round((item.latest_start - now) * 1000),
                round((item.ends_by - now) * 1000),
                item.has_started,
                [list(attrs.astuple(each)) for each in item.demands],
            )
        )

    def _follow_leader(self, now: float) -> None:
        """Choose the scheduling entry; ask the new one for all that waits at the old one."""
        before = self._leadership.leader_id
        changed = self._leadership.choose(
            now,
            self._entry_links(),
            is_available=not self._is_draining and self._has_agents(),
        )
        if not changed:
            return
        loguru.logger.bind(leader=self._leadership.leader_id).info("scheduling entry changed")
        for job in [each for each in self._job_by_id.values() if each.waiting()]:
            self._withdraw(job, before)
            self._ask(job, job.waiting(), now)
        self._beat_agents()

    def _apply(self, decisions: list[_scheduler.Placement | _scheduler.Refusal]) -> None:
        """Carry decisions of the own scheduler to the entries that asked for them."""
        for decision in decisions:
            item = decision.item
            log = loguru.logger.bind(job=item.job_id, entry=item.entry_id)
            log = log.bind(queued=self._scheduler.queued, cores=self._scheduler.cores(item.pool))
            match decision:
                case _scheduler.Placement(runner_by_task=runner_by_task):
                    log.bind(agents=list(runner_by_task.values())).info("tasks placed")
                    message = _pool_wire.Placed(item.id, item.job_id, runner_by_task)
                case _scheduler.Refusal(reason=reason, retry_after_s=retry_after_s):
                    log.bind(reason=reason, retry_after_s=round(retry_after_s, 1)).info("refused")
                    message = _pool_wire.PlaceRefused(
                        item.id, item.job_id, reason, round(retry_after_s * 1000)
                    )
            if item.entry_id == self.settings.id:
                self._take_decision(message)
            elif item.entry_id in self._incoming:
                self._incoming[item.entry_id].send(message)

    def _take_decision(self, message) -> None:
        job = self._job_by_id.get(message.job_id)
        if job is None:
            return
        match message:
            case _pool_wire.Placed():
                self._order(job, message)
            case _pool_wire.PlaceRefused():
                self._take_refusal(job, message)

    def _order(self, job: _pool_jobs.Job, placed: _pool_wire.Placed) -> None:
        now = _clock.monotonic()
        unreachable = []
        for name, agent_id in placed.agent_by_task.items():
            task = job.task_by_name.get(name)
            if task is None or task.phase is not _pool_jobs.Phase.WAITING:
                continue
            link = self.peers.link_by_id.get(agent_id)
            if link is None or agent_id in self._unsettled_agents:
                task.agent_id = agent_id
                job.put_back(task, avoids_agent=True)
                unreachable.append(task)
                continue
            if not job.has_ordered:
                self.metrics.first_start(now - job.arrived_at)
            order = job.order(task, agent_id, PATIENCE_MS)
            log = loguru.logger.bind(job=job.id, task=name, run=order.run, agent=agent_id)
            log.bind(after_ms=round((now - job.arrived_at) * 1000)).info("task ordered")
            link.send(order)
        if unreachable:
            self._ask(job, unreachable, now)

    def _take_refusal(self, job: _pool_jobs.Job, message: _pool_wire.PlaceRefused) -> None:
        if all(each.request_id != message.request_id for each in job.waiting()):
            return
        if job.has_ordered:
            self._give_up(job, message.reason)
            return
        retry_after_s = message.retry_after_ms / 1000
        answer = _pool_jobs.Answer(_pool_jobs.Outcome.REFUSED, message.reason, retry_after_s)
        self._finish(job, answer)

    # Ends.

    def _end_task(self, agent_id: str, message: _pool_wire.TaskEnded) -> None:
        job_id = message.task.split(".", 1)[0]
        job = self._job_by_id.get(job_id)
        task = job.task_by_name.get(message.task) if job else None
        if (
            task is None
            or task.phase is not _pool_jobs.Phase.ORDERED
            or task.agent_id != agent_id
            or task.run != message.run
        ):
            return
        match message.how:
            case "done":
                self._end_well(job, task, message.run_ms)
            case "failed":
                self._end_badly(job, task)
            case _:
                self._place_again(job, task, message.how)

    def _end_well(self, job: _pool_jobs.Job, task: _pool_jobs.Task, run_ms: float) -> None:
        task.phase = _pool_jobs.Phase.DONE
        step = job.submission.steps[task.step]
        record = self._estimates.record("", job.submission.route.name)
        self._estimates.learn(record, run_ms, step.estimated_ms)
        if job.is_done:
            self._finish(job, _pool_jobs.Answer(_pool_jobs.Outcome.COMPLETED))
        else:
            self._ask(job, job.unblock(), _clock.monotonic())

    def _end_badly(self, job: _pool_jobs.Job, task: _pool_jobs.Task) -> None:
        task.failures += 1
        if task.failures >= job.submission.route.attempts:
            answer = _pool_jobs.Answer(_pool_jobs.Outcome.FAILED, "task_failed")
            self._finish(job, answer)
        else:
            self._place_again(job, task, "failed")

    def _place_again(self, job: _pool_jobs.Job, task: _pool_jobs.Task, reason: str) -> None:
        now = _clock.monotonic()
        self.metrics.retried(reason)
        log = loguru.logger.bind(job=job.id, task=task.name, agent=task.agent_id, reason=reason)
        log.info("task is placed again")
        if reason == "old_run":
            task.run += _pool_jobs.OLD_RUN_STEP
        task.was_moved |= reason == "straggling"
        job.put_back(task, avoids_agent=reason not in ROOM_REASONS)
        if job.can_still_end(now):
            self._ask(job, [task], now)
        else:
            self._give_up(job, reason)

    def _give_up(self, job: _pool_jobs.Job, reason: str) -> None:
        """End a job that can't be completed; the caller is told whether it may have run."""
        outcome = _pool_jobs.Outcome.GIVEN_UP if job.has_ordered else _pool_jobs.Outcome.REFUSED
        self._finish(job, _pool_jobs.Answer(outcome, reason))

    def _finish(self, job: _pool_jobs.Job, answer: _pool_jobs.Answer) -> None:
        if self._job_by_id.pop(job.id, None) is None:
            return
        for task in job.ordered():
            link = self.peers.link_by_id.get(task.agent_id)
            if link is not None:
                link.send(_pool_wire.StopTask(task.name, task.run, answer.reason or "job ended"))
        if job.waiting():
            self._withdraw(job, self._leadership.leader_id)
        elapsed_s = _clock.monotonic() - job.arrived_at
        self.metrics.answered(answer.outcome.value, elapsed_s)
        if answer.reason:
            self.metrics.refused(answer.reason)
        log = loguru.logger.bind(job=job.id, outcome=answer.outcome.value, reason=answer.reason)
        log.bind(after_ms=round(elapsed_s * 1000)).info("job ended")
        future = self._answer_by_id.pop(job.id)
        if not future.done():
            future.set_result(answer)

    def _withdraw(self, job: _pool_jobs.Job, leader_id: str) -> None:
        link = self.peers.link_by_id.get(leader_id)
        self._scheduler.withdraw(self.settings.id, job.id)
        if link is not None:
            link.send(_pool_wire.Withdraw(job.id))

    # Links that this entry dialled.

    def open_to(self, node: _pool_peers.Node) -> _pool_wire.Open:
        """Return the first message for a node; an agent is told which tasks it should have."""
        own = self.settings
        tasks = []
        if node.role == _pool_wire.ROLE_AGENT:
            tasks = [task.name for _, task in self._tasks_at(node.id)]
        return _pool_wire.Open(
            _pool_wire.ROLE_ENTRY,
            own.id,
            own.incarnation,
            1,
            own.data_centre,
            own.cores,
            own.started_ms,
            tasks,
        )

    def opened(self, node: _pool_peers.Node, link: _link.Link) -> None:
        """Take a new link."""
        if node.role == _pool_wire.ROLE_AGENT:
            self._unsettled_agents.add(node.id)
            return
        self._share(link)

    def received(self, node: _pool_peers.Node, link: _link.Link, message) -> None:
        """Take a message of an agent, or an answer of an entry."""
        self._guard.check()
        if link.is_closed:
            return
        now = _clock.monotonic()
        match message:
            case _pool_wire.TaskEnded():
                self._end_task(node.id, message)
            case _pool_wire.RoomFreed():
                self._scheduler.ended(node.id, message.task, message.job_id, message.how, now)
                self._apply(self._scheduler.advance(now))
            case _pool_wire.RoomReport():
                self._take_room(node.id, message, now)
            case _pool_wire.RunnerState():
                self._take_state(node.id, message, now)
            case _pool_wire.Resumed():
                self._settle(node.id, link, message)
            case _pool_wire.Placed() | _pool_wire.PlaceRefused():
                self._take_decision(message)
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
            self._scheduler.remove_runner(node.id)
            self._lost_at_by_agent.setdefault(node.id, now)
        else:
            self._leadership.lost(node.id)
            self._follow_leader(now)

    def _settle(self, agent_id: str, link: _link.Link, message: _pool_wire.Resumed) -> None:
        """Compare the tasks that an agent has with those that it should have."""
        self._unsettled_agents.discard(agent_id)
        self._lost_at_by_agent.pop(agent_id, None)
        here = set(message.tasks)
        for job, task in self._tasks_at(agent_id):
            if task.name not in here and job.id in self._job_by_id:
                self._place_again(job, task, "agent_restarted")
        known = {task.name for _, task in self._tasks_at(agent_id)}
        for name in here - known:
            link.send(_pool_wire.StopTask(name, 0, "job ended"))

    def _expire_lost_agents(self, now: float) -> None:
        for agent_id, lost_at in list(self._lost_at_by_agent.items()):
            is_gone = now > lost_at + self.settings.bounds.gone_s
            for job, task in self._tasks_at(agent_id):
                if job.id not in self._job_by_id:
                    continue
                if is_gone:
                    self._place_again(job, task, "agent_lost")
                elif now > lost_at + RECONNECT_S and not self._can_outwait(job, task, lost_at):
                    self._give_up(job, "agent_lost")
            if is_gone:
                del self._lost_at_by_agent[agent_id]

    def _can_outwait(self, job: _pool_jobs.Job, task: _pool_jobs.Task, lost_at: float) -> bool:
        gone_at = lost_at + self.settings.bounds.gone_s
        return gone_at + task.expected_ms / 1000 < job.deadline - _pool_jobs.ANSWER_MARGIN_S

    def _tasks_at(self, agent_id: str) -> list[tuple[_pool_jobs.Job, _pool_jobs.Task]]:
        return [
            (job, task)
            for job in list(self._job_by_id.values())
            for task in job.ordered()
            if task.agent_id == agent_id
        ]

    def _take_room(self, agent_id: str, message: _pool_wire.RoomReport, now: float) -> None:
        held_by_task = {
            task: _room.Held(cpu, memory_mb, accelerators, now - _room.UNCONFIRMED_S, job_id)
            for task, job_id, cpu, memory_mb, accelerators in message.held
        }
        self._scheduler.report(agent_id, held_by_task, now)
        self._scheduler.slowed(agent_id, message.slowness)
        self._apply(self._scheduler.advance(now))

    def _take_state(self, agent_id: str, state: _pool_wire.RunnerState, now: float) -> None:
        room = _room.RunnerRoom(
            agent_id,
            state.pool,
            state.cpu,
            state.memory_mb,
            state.accelerators,
            tuple(state.labels),
            state.is_open,
            state.runner_id,
        )
        self._scheduler.set_runner(room)
        self._apply(self._scheduler.advance(now))

    # Links that other entries dialled.

    async def _serve_peer(self, socket) -> None:
        try:
            link = await _link.accept(socket, self.open_to(_OWN_ENTRY))
        except _link.LinkError as error:
            loguru.logger.bind(reason=str(error)).warning("link refused")
            socket.transport.abort()
            return
        peer_id = link.peer.node_id
        known = self._incoming.get(peer_id)
        if known is not None:
            known.abort("the entry opened a new link")
        self._incoming[peer_id] = link
        self._share(link)
        try:
            await link.serve(
                lambda message: self._handle_peer(peer_id, link, message),
                self._peer_beat,
                lambda: _link.Rhythm(PEER_BEAT_S, DIALLER_SILENCE_S),
            )
        finally:
            if self._incoming.get(peer_id) is link:
                del self._incoming[peer_id]
                self._scheduler.withdraw_entry(peer_id)

    def _handle_peer(self, peer_id: str, link: _link.Link, message) -> None:
        self._guard.check()
        if link.is_closed:
            return
        now = _clock.monotonic()
        match message:
            case _pool_wire.PlaceTasks():
                self._leadership.asked(now)
                item = _waiting.Item(
                    id=message.request_id,
                    entry_id=peer_id,
                    job_id=message.job_id,
                    pool=message.pool,
                    priority=message.priority,
                    demands=[_demand(row) for row in message.tasks],
                    latest_start=now + message.latest_start_ms / 1000,
                    ends_by=now + message.ends_by_ms / 1000,
                    has_started=message.has_started,
                )
                self._apply(self._scheduler.submit(item, now))
            case _pool_wire.Withdraw():
                self._scheduler.withdraw(peer_id, message.job_id)
            case _pool_wire.CancelJob():
                self.cancel(message.job_id, tells_peers=False)
            case _pool_wire.PeerBeat():
                pass
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
        return self._agent_beat() if node.role == _pool_wire.ROLE_AGENT else self._peer_beat()

    def rhythm(self, node: _pool_peers.Node) -> _link.Rhythm:
        """Return how often to beat towards a node, and when it counts as silent."""
        if node.role == _pool_wire.ROLE_ENTRY:
            return _link.Rhythm(DIALLER_BEAT_S, PEER_SILENCE_S)
        limit_s = self.settings.bounds.silence_s
        is_close = self._leadership.has_scheduled_for(limit_s, _clock.monotonic())
        silence_s = limit_s if is_close else AGENT_SILENCE_S
        return _link.Rhythm(limit_s / BEATS_PER_SILENCE, silence_s)

    def _agent_beat(self) -> _pool_wire.Beat:
        return _pool_wire.Beat(self._leadership.schedules(_clock.monotonic()))

    def _beat_agents(self) -> None:
        for node_id, link in self.peers.link_by_id.items():
            if self.peers.node_by_id[node_id].role == _pool_wire.ROLE_AGENT:
                link.send(self._agent_beat())

    def _peer_beat(self) -> _pool_wire.PeerBeat:
        return _pool_wire.PeerBeat(
            not self._is_draining and self._has_agents(),
            self.configuration.version if self.configuration else 0,
            self._waiting_by_route(),
        )

    def _has_agents(self) -> bool:
        return any(each.is_open for each in self._scheduler.room_by_id.values())

    def _entry_links(self) -> dict[str, _link.Link]:
        return {
            node_id: link
            for node_id, link in self.peers.link_by_id.items()
            if self.peers.node_by_id[node_id].role == _pool_wire.ROLE_ENTRY
        }

    def _waiting_by_route(self) -> dict[str, int]:
        count_by_route: dict[str, int] = {}
        for job in self._job_by_id.values():
            if not job.has_ordered:
                name = job.submission.route.name
                count_by_route[name] = count_by_route.get(name, 0) + 1
        return count_by_route


_OWN_ENTRY = _pool_peers.Node("", _pool_wire.ROLE_ENTRY, "")


def _demand(row: list) -> _room.Demand:
    demand = _room.Demand(*row)
    return attrs.evolve(demand, avoid=tuple(demand.avoid))
