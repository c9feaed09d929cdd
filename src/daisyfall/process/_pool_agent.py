"""Pool agent: runs the tasks of the entries on the leased runner beside it."""

import asyncio
import contextlib
from collections.abc import Callable

import attrs
import loguru

from daisyfall import _clock, _pool_wire
from daisyfall.connection import _link
from daisyfall.policy import _bounds
from daisyfall.process import _leased_runner, _lifecycle, _pool_metrics, _suspension
from daisyfall.request import _runs

TICK_S = 0.05
# Beats to the scheduling entry, of which several fit into its silence limit; the others only
# have to learn that the agent is gone.
BEATS_PER_SILENCE = 3
RELAXED_BEAT_S = 0.5
# Longest wait of a renewal for an end; the lease covers several.
HOLD_WAIT_MS = 100
IDLE_HOLD_WAIT_MS = 300
HOLD_RETRY_S = 0.01
# A call counts as unanswered after this many times its usual time, within these bounds.
USUAL_TIMES = 8.0
ANSWER_LIMITS_S = (0.05, 0.25)
ANSWER_SMOOTHING = 0.1
# A start order that is carried out late is rejected by the runner after this time.
START_LEASE_MS = 400
ROOM_REPORT_S = 0.3
# A runner that is silent for this many of its heartbeats takes no new tasks.
MISSED_HEARTBEATS = 3
# Added to a fencing token that is too low, in ms; tokens are start times of agents.
TOKEN_STEP = 60_000
# Without an answer for this long, leases are not renewed.
UNANSWERED_RENEWALS_S = 0.4
# A runner's port without a listener this many times in a row: its process is gone.
REFUSED_CONNECTIONS = 2
# Calls in a row without an answer after which the runner gets no new tasks for a while.
UNANSWERED_CALLS = 3
# Refused for this long after the runner says that it is unhealthy or does not answer.
UNHEALTHY_S = 0.5


@attrs.frozen
class AgentSettings:
    """Settings of a pool agent; times in seconds, `stop_limit_s` bounds a graceful stop."""

    id: str
    incarnation: str
    data_centre: str
    address: str
    port: int
    cores: float
    started_ms: int
    bounds: _bounds.Bounds
    heartbeat_s: float
    stop_limit_s: float


@attrs.define(eq=False)
class Session:
    """What an entry incarnation has here; it outlives a broken link for the silence limit."""

    entry: str
    link: _link.Link
    schedules: bool = False
    reported_at: float = 0.0


class PoolAgent:
    """One agent; `connect_runner` makes the client of a reported runner incarnation."""

    def __init__(
        self,
        settings: AgentSettings,
        connect_runner: Callable[[_leased_runner.RunnerReport], _leased_runner.LeasedRunner],
        metrics: _pool_metrics.PoolMetrics,
    ):
        self.settings = settings
        self.metrics = metrics
        self._connect_runner = connect_runner
        self._sessions: dict[str, Session] = {}
        self._runs = _runs.Runs(settings.bounds)
        self._report: _leased_runner.RunnerReport | None = None
        self._reported_at = 0.0
        self._runner: _leased_runner.LeasedRunner | None = None
        self._is_held = False
        self._clock_offset_ms = 0.0
        self._answered_at = 0.0
        self._lease_until = 0.0
        self._failed_holds = 0
        self._unanswered = 0
        self._answer_s = 0.0
        self._token = settings.started_ms
        self._unhealthy_until = 0.0
        self._sent_state: _pool_wire.RunnerState | None = None
        self._tasks: set[asyncio.Task] = set()
        self._hold_task: asyncio.Task | None = None
        self._guard = _suspension.Guard(self._forget_all)
        self._lifecycle = _lifecycle.Lifecycle(self._send_changed_state)

    # Life of the process.

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then finish what runs."""
        server = _link.listen(self._serve_entry, self.settings.address, self.settings.port)
        async with server:
            ticker = asyncio.create_task(self._tick_forever())
            loguru.logger.bind(port=self.settings.port).info("agent started")
            await stop.wait()
            await self._drain()
            ticker.cancel()
        loguru.logger.info("agent stopped")

    async def _drain(self) -> None:
        self._lifecycle.drain()
        self._tell(self._runs.drop_queue(_runs.DRAINING))
        ends_at = _clock.monotonic() + self.settings.stop_limit_s
        while self._runs.by_task and _clock.monotonic() < ends_at:
            await asyncio.sleep(TICK_S)
        for run in self._runs.by_task.values():
            run.why = run.why or _runs.DRAINING
        await asyncio.sleep(2 * self.settings.bounds.stop_s)
        self._lifecycle.finish_draining()

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._guard.check()
            self._tick(_clock.monotonic())

    def _tick(self, now: float) -> None:
        self._expire_sessions(now)
        self._tell(self._runs.overdue(now))
        self._send_stops(now)
        self._report_room(now)
        self._send_changed_state()
        self._start_queued()

    def _forget_all(self, _pause_s: float) -> None:
        """Drop all orders after a pause: their senders have given them up."""
        for session in list(self._sessions.values()):
            session.link.abort("this process was paused")
            self._drop_session(session)

    # Entries.

    async def _serve_entry(self, socket) -> None:
        try:
            link = await _link.accept(socket, self._open())
        except _link.LinkError as error:
            loguru.logger.bind(reason=str(error)).warning("link refused")
            socket.transport.abort()
            return
        session = self._resume(link)
        try:
            await link.serve(
                lambda message: self._handle(session, message),
                _pool_wire.Beat,
                lambda: self._rhythm(session),
            )
        finally:
            loguru.logger.bind(entry=session.entry, reason=link.close_reason).info("entry lost")

    def _rhythm(self, session: Session) -> _link.Rhythm:
        silence_s = self.settings.bounds.silence_s
        interval_s = silence_s / BEATS_PER_SILENCE if session.schedules else RELAXED_BEAT_S
        return _link.Rhythm(interval_s, silence_s)

    def _open(self) -> _pool_wire.Open:
        own = self.settings
        return _pool_wire.Open(
            _pool_wire.ROLE_AGENT,
            own.id,
            own.incarnation,
            1,
            own.data_centre,
            own.cores,
            own.started_ms,
        )

    def _resume(self, link: _link.Link) -> Session:
        self._guard.check()
        entry = f"{link.peer.node_id}/{link.peer.incarnation}"
        for known in list(self._sessions.values()):
            if known.entry == entry:
                known.link.abort("the entry opened a new link")
            elif known.entry.startswith(f"{link.peer.node_id}/"):
                known.link.abort("the entry was restarted")
                self._drop_session(known)
        session = self._sessions[entry] = Session(entry, link)
        here, ends = self._runs.resumed(entry, link.peer.tasks, _clock.monotonic())
        for ended in ends:
            self._send_end(session, ended)
        link.send(_pool_wire.Resumed(here))
        link.send(self._state())
        loguru.logger.bind(entry=entry, tasks=len(here)).info("entry connected")
        return session

    def _expire_sessions(self, now: float) -> None:
        for session in list(self._sessions.values()):
            session.link.expire(now, self.settings.bounds.silence_s)
            if now - session.link.last_heard > self.settings.bounds.silence_s:
                self._drop_session(session)

    def _drop_session(self, session: Session) -> None:
        self._sessions.pop(session.entry, None)
        runs = self._runs.lose_entry(session.entry)
        if runs:
            bound = loguru.logger.bind(entry=session.entry, tasks=[each.task for each in runs])
            bound.warning("stopping the tasks of a lost entry")
        self._send_stops(_clock.monotonic())

    def _handle(self, session: Session, message) -> None:
        self._guard.check()
        if session.link.is_closed:
            return
        match message:
            case _pool_wire.RunTask():
                self._accept(session, message)
            case _pool_wire.StopTask():
                self._stop(session, message)
            case _pool_wire.Beat():
                if message.schedules and not session.schedules:
                    session.reported_at = 0.0
                session.schedules = message.schedules
                if message.schedules:
                    self._report_room(_clock.monotonic())
            case _:
                loguru.logger.bind(kind=type(message).__name__).warning("unexpected message")

    def _accept(self, session: Session, order: _pool_wire.RunTask) -> None:
        now = _clock.monotonic()
        reason = self._closed_reason(now)
        if reason:
            self._tell([_runs.Ended(order, session.entry, reason, 0.0)])
            return
        refused = self._runs.accept(order, session.entry, now)
        if refused is not None:
            self._tell([refused])
        self._send_stops(now)
        self._start_queued()

    def _stop(self, session: Session, message: _pool_wire.StopTask) -> None:
        run = self._runs.stop(message.task, session.entry, message.run, message.reason)
        if run is not None:
            loguru.logger.bind(task=message.task, reason=message.reason).info("stopping task")
            self._send_stops(_clock.monotonic())
        self._start_queued()

    def _tell(self, ends: list[_runs.Ended]) -> None:
        for ended in ends:
            loguru.logger.bind(
                task=ended.order.task,
                run=ended.order.run,
                entry=ended.entry,
                how=ended.how,
                run_ms=round(ended.run_ms),
                expected_ms=round(ended.order.expected_ms),
            ).info("task ended")
            self.metrics.task_ended(ended.how)
            session = self._sessions.get(ended.entry)
            if session is not None:
                self._send_end(session, ended)
            order = ended.order
            freed = _pool_wire.RoomFreed(order.task, order.job_id, ended.how)
            for each in self._sessions.values():
                if each.schedules:
                    each.link.send(freed)

    def _send_end(self, session: Session, ended: _runs.Ended) -> None:
        order = ended.order
        session.link.send(_pool_wire.TaskEnded(order.task, order.run, ended.how, ended.run_ms))

    def _report_room(self, now: float) -> None:
        held = None
        for session in self._sessions.values():
            if session.schedules and now - session.reported_at >= ROOM_REPORT_S:
                if held is None:
                    held = _pool_wire.RoomReport(self._runs.held(), self._runs.slowness(now))
                session.reported_at = now
                session.link.send(held)

    # The runner.

    def take_report(self, report: _leased_runner.RunnerReport) -> None:
        """Take a heartbeat of the runner; an older one than the last is ignored."""
        known = self._report
        if known is not None:
            if report.born_ms < known.born_ms:
                return
            is_same = report.born_ms == known.born_ms and report.id == known.id
            if is_same and report.sequence <= known.sequence:
                return
            if not is_same or report.address != known.address:
                self._replace_runner(report)
        else:
            self._replace_runner(report)
        self._report = report
        self._reported_at = _clock.monotonic()
        self._runs.capacity = (report.cpu, report.memory_mb, report.accelerators)
        if report.is_draining and (known is None or not known.is_draining):
            loguru.logger.bind(runner=report.id).info("runner is draining")
            self._tell(self._runs.drop_queue(_runs.DRAINING))
        self._send_changed_state()

    def forget_runner(self, runner_id: str) -> None:
        """Take the runner's word that it leaves."""
        if self._report is not None and self._report.id == runner_id:
            self._report = attrs.evolve(self._report, is_draining=True)
            self._send_changed_state()

    def _replace_runner(self, report: _leased_runner.RunnerReport) -> None:
        log = loguru.logger.bind(runner=report.id, born_ms=report.born_ms, cpu=report.cpu)
        log.info("new runner incarnation")
        self._drop_runner()
        self._runner = self._connect_runner(report)
        self._hold_task = asyncio.create_task(self._hold_forever(self._runner))

    def _drop_runner(self) -> None:
        if self._hold_task is not None:
            self._hold_task.cancel()
        self._is_held = False
        self._runner = None
        now = _clock.monotonic()
        self._tell(self._runs.clear(_runs.LOST, now))
        self._tell(self._runs.drop_queue(_runs.LOST))

    def _closed_reason(self, now: float) -> str:
        """Return why no task is taken, `""` if tasks are taken."""
        if not self._lifecycle.takes_work:
            return _runs.DRAINING
        if self._report is None or self._runner is None or not self._is_held:
            return _runs.NO_RUNNER
        if self._report.is_draining:
            return _runs.DRAINING
        if now - self._reported_at > MISSED_HEARTBEATS * self.settings.heartbeat_s:
            return _runs.NO_RUNNER
        return _runs.UNHEALTHY if now < self._unhealthy_until else ""

    def _state(self) -> _pool_wire.RunnerState:
        report = self._report
        if report is None:
            return _pool_wire.RunnerState("", "", 0, 0, 0, [], False)
        return _pool_wire.RunnerState(
            report.id,
            report.pool,
            report.cpu,
            report.memory_mb,
            report.accelerators,
            list(report.labels),
            not self._closed_reason(_clock.monotonic()),
        )

    def _send_changed_state(self) -> None:
        state = self._state()
        if state != self._sent_state:
            self._sent_state = state
            for session in self._sessions.values():
                session.link.send(state)

    def _start_queued(self) -> None:
        if self._runner is None or self._closed_reason(_clock.monotonic()):
            return
        for run in self._runs.startable(_clock.monotonic()):
            self._spawn(self._start(self._runner, run))

    def _runner_ms(self) -> int:
        """Return the runner's clock as far as known; never ahead of it."""
        return int(_clock.monotonic() * 1000 + self._clock_offset_ms)

    async def _start(self, runner: _leased_runner.LeasedRunner, run: _runs.Run) -> None:
        order = run.order
        sent_at = _clock.monotonic()
        lease_until_ms = self._runner_ms() + START_LEASE_MS
        answer, clock_ms = await runner.start(
            _leased_runner.StartOrder(
                order.task, run.number, order.payload, lease_until_ms, self._token
            ),
            self._answer_limit_s(),
        )
        if runner is not self._runner:
            return
        now = _clock.monotonic()
        self._read_clock(clock_ms)
        log = loguru.logger.bind(task=order.task, run=run.number, answer=answer.value)
        log.bind(after_ms=round((now - sent_at) * 1000)).info("start ordered")
        self.metrics.start_answered(answer.value)
        self._answer_s += ANSWER_SMOOTHING * (now - sent_at - self._answer_s)
        match answer:
            case _leased_runner.Start.STARTED:
                self._runs.started(run, now)
            case _leased_runner.Start.UNANSWERED:
                lease_s = START_LEASE_MS / 1000 * _bounds.CLOCK_DRIFT + _bounds.MARGIN_S
                self._runs.unanswered(run, sent_at + lease_s)
                self._note_refusal(answer, now)
                await self._settle_order(runner, run)
            case _:
                self._note_refusal(answer, now)
                self._end(run, answer.value, now)
        self._send_stops(now)

    async def _settle_order(self, runner: _leased_runner.LeasedRunner, run: _runs.Run) -> None:
        """Find out at once what became of an order without an answer.

        Once the runner has confirmed a stop it rejects the order, so its next lists tell.
        """
        run.stop_sent_at = _clock.monotonic()
        await self._stop_run(runner, run)
        if runner is not self._runner:
            return
        asked_at = _clock.monotonic()
        reading = await runner.hold(
            None, self._token, self._runs.acknowledged, 0, self._answer_limit_s()
        )
        if runner is self._runner and isinstance(reading, _leased_runner.Reading):
            self._take_reading(runner, reading, asked_at)

    def _answer_limit_s(self) -> float:
        shortest, longest = ANSWER_LIMITS_S
        return min(max(shortest, USUAL_TIMES * self._answer_s), longest)

    def _note_refusal(self, answer: _leased_runner.Start, now: float) -> None:
        match answer:
            case _leased_runner.Start.FENCED:
                self._token += TOKEN_STEP
                loguru.logger.bind(token=self._token).warning("fencing token was too low")
            case _leased_runner.Start.UNHEALTHY | _leased_runner.Start.UNREACHABLE:
                self._pause_orders(now)
            case _leased_runner.Start.UNANSWERED:
                # Single lost answers say nothing about the runner.
                self._unanswered += 1
                if self._unanswered >= UNANSWERED_CALLS:
                    self._pause_orders(now)

    def _pause_orders(self, now: float) -> None:
        self._unhealthy_until = now + UNHEALTHY_S
        self._send_changed_state()

    def _end(self, run: _runs.Run, how: str, now: float) -> None:
        ended = self._runs.finish(run, how, now)
        if ended is not None:
            self._tell([ended])

    def _send_stops(self, now: float) -> None:
        if self._runner is not None:
            for run in self._runs.to_stop(now):
                self._spawn(self._stop_run(self._runner, run))

    async def _stop_run(self, runner: _leased_runner.LeasedRunner, run: _runs.Run) -> None:
        is_confirmed = await runner.stop(run.task, run.number, self._token, self._answer_limit_s())
        if is_confirmed:
            self._runs.stop_confirmed(run, _clock.monotonic())

    def _read_clock(self, clock_ms: float) -> None:
        """Take over the runner's clock from an answer that has just arrived."""
        if clock_ms:
            self._unanswered = 0
            self._clock_offset_ms = clock_ms - _clock.monotonic() * 1000

    async def _hold_forever(self, runner: _leased_runner.LeasedRunner) -> None:
        """Renew the lease and read the lists until the runner is replaced."""
        while runner is self._runner:
            asked_at = _clock.monotonic()
            wait_ms = HOLD_WAIT_MS if self._runs.by_task else IDLE_HOLD_WAIT_MS
            lease_until_ms = None
            if self._may_renew(asked_at):
                lease_s = self.settings.bounds.lease_s
                lease_until_ms = self._runner_ms() + int(lease_s * 1000)
                self._lease_until = asked_at + lease_s * _bounds.CLOCK_DRIFT + _bounds.MARGIN_S
            reading = await runner.hold(
                lease_until_ms,
                self._token,
                self._runs.acknowledged,
                wait_ms if self._is_held else 0,
                self._answer_limit_s(),
            )
            if runner is not self._runner:
                return
            match reading:
                case _leased_runner.Reading():
                    self._take_reading(runner, reading, asked_at)
                case _leased_runner.HoldFailed():
                    await self._note_failed_hold(reading)

    def _take_reading(
        self, runner: _leased_runner.LeasedRunner, reading: _leased_runner.Reading, asked_at: float
    ) -> None:
        now = _clock.monotonic()
        self._guard.check()
        self._read_clock(reading.clock_ms)
        self._answered_at = now
        self._failed_holds = 0
        if not self._is_held:
            self._is_held = True
            loguru.logger.bind(running=len(reading.running)).info("runner answers")
        self._tell(self._runs.read(reading, asked_at, now))
        self._runs.mark_stragglers(now)
        for orphan in self._runs.orphans(reading):
            loguru.logger.bind(task=orphan.task, run=orphan.run).warning("stopping an unknown run")
            self._spawn(runner.stop(orphan.task, orphan.run, self._token, self._answer_limit_s()))
        self._send_changed_state()
        self._start_queued()

    def _may_renew(self, now: float) -> bool:
        """Tell whether the runs may go on.

        The renewal is withheld while the runner does not answer, so that there is a time after
        which its runs have ended even if it carries out late what it left unanswered.
        """
        is_answering = now - self._answered_at < UNANSWERED_RENEWALS_S
        return self._is_held and is_answering and not self._runs.must_withhold(now)

    async def _note_failed_hold(self, failed: _leased_runner.HoldFailed) -> None:
        now = _clock.monotonic()
        self._failed_holds += 1
        self._note_refusal(failed.reason, now)
        self.metrics.hold_failed(failed.reason.value)
        is_gone = (
            failed.reason is _leased_runner.Start.UNREACHABLE
            and self._failed_holds >= REFUSED_CONNECTIONS
        )
        if is_gone or now > self._lease_until:
            if self._runs.by_task:
                log = loguru.logger.bind(reason=failed.reason.value, tasks=len(self._runs.by_task))
                log.warning("runner is lost with its tasks")
            self._is_held = False
            self._tell(self._runs.lose_runner(now))
        await asyncio.sleep(HOLD_RETRY_S)

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)

    def _finish_task(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        with contextlib.suppress(asyncio.CancelledError):
            if task.exception() is not None:
                loguru.logger.opt(exception=task.exception()).error("a call to the runner failed")
