"""Pool agent: runs the tasks of the entries on the leased runner beside it."""

import asyncio

import attrs
import loguru

from daisyfall import _clock, _pool_wire
from daisyfall.connection import _link
from daisyfall.process import (
    _leased_runner,
    _lifecycle,
    _pool_metrics,
    _pool_settings,
    _runner_session,
    _suspension,
)
from daisyfall.request import _runs

TICK_S = 0.05
# Beats to the scheduling entry, of which several fit into its silence limit; the others only
# have to learn that the agent is gone.
BEATS_PER_SILENCE = 3
RELAXED_BEAT_S = 0.5
ROOM_REPORT_S = 0.3


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
        settings: _pool_settings.AgentSettings,
        connect_runner: _runner_session.Connect,
        metrics: _pool_metrics.PoolMetrics,
    ):
        self.settings = settings
        self.metrics = metrics
        self._sessions: dict[str, Session] = {}
        self._runner = _runner_session.RunnerSession(
            settings.bounds, settings.heartbeat_s, settings.started_ms, connect_runner, metrics
        )
        self._runs = self._runner.runs
        self._sent_state: _pool_wire.RunnerState | None = None
        self._guard = _suspension.Guard(self._forget_all)
        self._lifecycle = _lifecycle.Lifecycle(self._send_changed_state)
        self._runner.attach(self._tell, self._send_changed_state, self._guard.check)

    # Life of the process.

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then finish what runs."""
        settings = self.settings
        server = _link.listen(
            self._serve_entry,
            lambda: settings.open(_pool_wire.ROLE_AGENT, []),
            settings.address,
            settings.port,
        )
        async with server:
            ticker = asyncio.create_task(self._tick_forever())
            loguru.logger.bind(port=settings.port).info("agent started")
            await stop.wait()
            await self._drain()
            ticker.cancel()
        loguru.logger.info("agent stopped")

    async def _drain(self) -> None:
        self._lifecycle.drain()
        self._tell(self._runs.reject_queued(_runs.DRAINING))
        ends_at = _clock.monotonic() + self.settings.stop_limit_s
        while self._runs.run_by_task and _clock.monotonic() < ends_at:
            await asyncio.sleep(TICK_S)
        for run in self._runs.run_by_task.values():
            run.stop_reason = run.stop_reason or _runs.DRAINING
        await asyncio.sleep(2 * self.settings.bounds.stop_timeout_s)
        self._lifecycle.finish_draining()

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._guard.check()
            self._tick(_clock.monotonic())

    def _tick(self, now: float) -> None:
        self._expire_sessions(now)
        self._tell(self._runs.pop_expired(now))
        self._runner.send_stops(now)
        self._report_room(now)
        self._send_changed_state()
        self._runner.start_queued()

    def _forget_all(self, _pause_s: float) -> None:
        """Drop all orders after a pause: their senders have given them up."""
        for session in list(self._sessions.values()):
            session.link.abort("this process was paused")
            self._drop_session(session)

    # Entries.

    async def _serve_entry(self, link: _link.Link) -> None:
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
        heartbeat_timeout_s = self.settings.bounds.heartbeat_timeout_s
        interval_s = (
            heartbeat_timeout_s / BEATS_PER_SILENCE if session.schedules else RELAXED_BEAT_S
        )
        return _link.Rhythm(interval_s, heartbeat_timeout_s)

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
            session.link.expire(now, self.settings.bounds.heartbeat_timeout_s)
            if now - session.link.last_heard > self.settings.bounds.heartbeat_timeout_s:
                self._drop_session(session)

    def _drop_session(self, session: Session) -> None:
        self._sessions.pop(session.entry, None)
        runs = self._runs.lose_entry(session.entry)
        if runs:
            bound = loguru.logger.bind(entry=session.entry, tasks=[each.task for each in runs])
            bound.warning("stopping the tasks of a lost entry")
        self._runner.send_stops(_clock.monotonic())

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
            self._tell([_runs.RunEnd(order, session.entry, reason, 0.0)])
            return
        refused = self._runs.accept(order, session.entry, now)
        if refused is not None:
            self._tell([refused])
        self._runner.send_stops(now)
        self._runner.start_queued()

    def _stop(self, session: Session, message: _pool_wire.StopTask) -> None:
        run = self._runs.stop(message.task, session.entry, message.run, message.reason)
        if run is not None:
            loguru.logger.bind(task=message.task, reason=message.reason).info("stopping task")
            self._runner.send_stops(_clock.monotonic())
        self._runner.start_queued()

    def _tell(self, ends: list[_runs.RunEnd]) -> None:
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

    def _send_end(self, session: Session, ended: _runs.RunEnd) -> None:
        order = ended.order
        session.link.send(_pool_wire.TaskEnded(order.task, order.run, ended.how, ended.run_ms))

    def _report_room(self, now: float) -> None:
        allocations = None
        for session in self._sessions.values():
            if session.schedules and now - session.reported_at >= ROOM_REPORT_S:
                if allocations is None:
                    allocations = _pool_wire.RoomReport(
                        self._runs.allocations(), self._runs.slowness(now)
                    )
                session.reported_at = now
                session.link.send(allocations)

    # The runner.

    def take_report(self, report: _leased_runner.RunnerReport) -> None:
        """Take a heartbeat of the runner."""
        self._runner.take_report(report)

    def forget_runner(self, runner_id: str) -> None:
        """Take the runner's word that it leaves."""
        self._runner.forget_runner(runner_id)

    def _closed_reason(self, now: float) -> str:
        """Return why no task is taken, `""` if tasks are taken."""
        if not self._lifecycle.takes_work:
            return _runs.DRAINING
        return self._runner.closed_reason(now)

    def _state(self) -> _pool_wire.RunnerState:
        report = self._runner.report
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
