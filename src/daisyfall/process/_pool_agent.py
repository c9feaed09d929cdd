"""Pool agent: runs tasks for the entries on the leased runner of its host."""

import asyncio
import collections

import attrs
import loguru

from daisyfall import _clock, _pool_wire
from daisyfall.connection import _link, _message_age
from daisyfall.policy import _departures, _evacuations
from daisyfall.process import (
    _leased_runner,
    _lifecycle,
    _link_timing,
    _pause_detector,
    _pool_metrics,
    _pool_settings,
    _runner_callbacks,
    _runner_candidates,
    _runner_session,
    _ticker,
)
from daisyfall.request import _run

TICK_S = 0.1
# Without tasks; short enough for the pause detector.
IDLE_TICK_S = 0.18
# A heartbeat of the scheduling entry replaces a tick if the last one is this old.
MIN_TICK_S = 0.04
# While an order waits for capacity or a stop for its confirmation.
PENDING_TICK_S = 0.05
ALLOCATION_REPORT_INTERVAL_S = 0.3
# How many of its runner's last crashes an agent reports to an entry that connects.
MAX_REPORTED_CRASHES = 30


@attrs.define(eq=False)
class EntrySession:
    """Session of an entry incarnation; after a lost link it lasts for the heartbeat timeout.

    `age` measures how long the entry's messages were held up.
    """

    entry: str
    link: _link.Link
    age: _message_age.MessageAge
    is_scheduling: bool = False
    reported_at: float = 0.0


class PoolAgent:
    """One agent process; `connect_runner` creates the client for a runner incarnation."""

    def __init__(
        self,
        settings: _pool_settings.AgentSettings,
        connect_runner: _runner_candidates.ConnectRunner,
        metrics: _pool_metrics.PoolMetrics,
    ):
        self.settings = settings
        self.metrics = metrics
        self._session_by_entry: dict[str, EntrySession] = {}
        self._runner = _runner_session.RunnerSession(
            settings.bounds,
            settings.heartbeat_s,
            settings.started_ms,
            connect_runner,
            metrics,
            remote_factor=settings.remote_factor,
        )
        self._runs = self._runner.runs
        self._evacuations = _evacuations.Evacuations([settings.data_centre])
        self._is_evacuated = False
        # The last state that was sent, and the departure of the runner in it.
        self._sent_state: tuple[_pool_wire.RunnerState, float] | None = None
        self._was_slow = False
        self._crashes: collections.deque[tuple[float, _pool_wire.RunnerCrashed]] = (
            collections.deque(maxlen=MAX_REPORTED_CRASHES)
        )
        self._pause_detector = _pause_detector.PauseDetector(self._drop_all_sessions)
        self._lifecycle = _lifecycle.Lifecycle(self._send_changed_state)
        self.ticker = _ticker.DeferrableTicker(
            self._tick, self._tick_interval_s, metrics.count_internal_error, "tick"
        )
        self._runner.set_callbacks(
            _runner_callbacks.RunnerCallbacks(
                on_runs_ended=self._report_ends,
                on_availability_changed=self._report_changes,
                check_pause=self._pause_detector.check,
                on_crashed=self._report_crash,
            )
        )

    # Life cycle.

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then finish the running tasks."""
        settings = self.settings
        server = _link.listen(
            self._serve_entry,
            lambda: settings.handshake(_pool_wire.ROLE_AGENT, []),
            settings.address,
            settings.port,
            self.metrics.count_link_error,
        )
        async with server:
            self.ticker.start()
            loguru.logger.bind(port=settings.port).info("agent started")
            await stop.wait()
            await self._drain()
            self.ticker.stop()
        loguru.logger.info("agent stopped")

    async def _drain(self) -> None:
        self._lifecycle.drain()
        self._report_ends(self._runs.reject_queued(_run.DRAINING))
        deadline = _clock.monotonic() + self.settings.max_drain_s
        while self._runs.run_by_task and _clock.monotonic() < deadline:
            await asyncio.sleep(TICK_S)
        for run in self._runs.run_by_task.values():
            run.stop_reason = run.stop_reason or _run.DRAINING
        await asyncio.sleep(2 * self.settings.bounds.stop_timeout_s)
        self._lifecycle.finish_draining()

    def _tick_interval_s(self) -> float:
        if self._runs.has_pending_orders:
            return PENDING_TICK_S
        return TICK_S if self._runs.run_by_task else IDLE_TICK_S

    def _tick(self) -> None:
        self._pause_detector.check()
        now = _clock.monotonic()
        self._expire_sessions(now)
        self._report_ends(self._runs.pop_expired(now))
        self._runner.send_stops(now)
        self._report_allocations(now)
        self._report_changes()
        self._runner.start_queued()

    def _drop_all_sessions(self, _pause_s: float) -> None:
        """Drop all tasks after a pause, as their entries no longer expect them to run."""
        for session in list(self._session_by_entry.values()):
            session.link.abort("this process was paused")
            self._drop_session(session)

    # Entries.

    async def _serve_entry(self, link: _link.Link) -> None:
        session = self._open_session(link)
        try:
            await link.serve(lambda message: self._handle(session, message), _pool_wire.Heartbeat)
        finally:
            loguru.logger.bind(entry=session.entry, reason=link.close_reason).info(
                "entry disconnected"
            )

    def _update_timing(self, session: EntrySession, *, has_tasks: bool) -> None:
        session.link.set_timing(
            _link_timing.to_entry(
                self.settings.bounds,
                is_scheduling=session.is_scheduling,
                has_tasks=has_tasks,
                revision=session.link.peer.revision,
            )
        )

    def _open_session(self, link: _link.Link) -> EntrySession:
        self._pause_detector.check()
        entry = f"{link.peer.node_id}/{link.peer.incarnation}"
        age = _message_age.MessageAge()
        for previous in list(self._session_by_entry.values()):
            if previous.entry == entry:
                previous.link.abort("the entry opened a new link")
                age = previous.age
            elif previous.entry.startswith(f"{link.peer.node_id}/"):
                previous.link.abort("the entry was restarted")
                self._drop_session(previous)
        session = self._session_by_entry[entry] = EntrySession(entry, link, age)
        # Before the ends of the runs, so that no task is placed again that has to be given up.
        now = _clock.monotonic()
        for crashed_at, crash in self._crashes:
            age_ms = round((now - crashed_at) * 1000)
            self._send_crash(session, attrs.evolve(crash, age_ms=age_ms))
        present, ends = self._runs.resumed(entry, link.peer.tasks, _clock.monotonic())
        for ended in ends:
            self._send_end(session, ended)
        self._update_timing(session, has_tasks=bool(present))
        link.send(_pool_wire.Resumed(present))
        link.send(self._state(now))
        loguru.logger.bind(entry=entry, tasks=len(present)).info("entry connected")
        return session

    def _expire_sessions(self, now: float) -> None:
        """Drop the sessions of lost entries; relax the timing of those whose tasks have ended."""
        timeout_s = self.settings.bounds.heartbeat_timeout_s
        busy_entries = self._runs.entries_with_tasks()
        for session in list(self._session_by_entry.values()):
            link = session.link
            if link.expire(now) or (link.is_closed and now - link.last_received_at > timeout_s):
                self._drop_session(session)
            else:
                self._update_timing(session, has_tasks=session.entry in busy_entries)

    def _drop_session(self, session: EntrySession) -> None:
        self._session_by_entry.pop(session.entry, None)
        runs = self._runs.lose_entry(session.entry)
        if runs:
            log = loguru.logger.bind(entry=session.entry, tasks=[run.task for run in runs])
            log.warning("stopping the tasks of a lost entry")
        self._runner.send_stops(_clock.monotonic())

    def _handle(self, session: EntrySession, message) -> None:
        self._pause_detector.check()
        if session.link.is_closed:
            return
        match message:
            case _pool_wire.RunTask():
                self._accept(session, message)
                self._update_timing(session, has_tasks=True)
                self.ticker.hasten()
            case _pool_wire.StopTask():
                self._stop(session, message)
                self.ticker.hasten()
            case _pool_wire.Heartbeat():
                self._handle_heartbeat(session, message)
            case _pool_wire.EvacuationUpdate():
                self._handle_evacuations(message)
            case _:
                loguru.logger.bind(kind=type(message).__name__).warning("unexpected message")

    def _handle_heartbeat(self, session: EntrySession, message: _pool_wire.Heartbeat) -> None:
        now = _clock.monotonic()
        session.age.measure_s(message.sent_ms, now)
        if message.is_scheduling != session.is_scheduling:
            session.is_scheduling = message.is_scheduling
            session.reported_at = 0.0
            has_tasks = session.entry in self._runs.entries_with_tasks()
            self._update_timing(session, has_tasks=has_tasks)
        if message.is_scheduling:
            self._report_allocations(now)
            # In the same wake-up, for which no timer is needed then.
            session.link.answer_heartbeat(now)
            self.ticker.run_if_due(MIN_TICK_S)

    def _handle_evacuations(self, message: _pool_wire.EvacuationUpdate) -> None:
        """Close the runner when its data centre is evacuated; running tasks go on."""
        self._evacuations.merge([_evacuations.State(*row) for row in message.rows])
        is_evacuated = self.settings.data_centre in self._evacuations.in_force
        if is_evacuated == self._is_evacuated:
            return
        self._is_evacuated = is_evacuated
        log = loguru.logger.bind(data_centre=self.settings.data_centre)
        log.bind(running=len(self._runs.run_by_task), queued=self._runs.queued).info(
            "data centre is evacuated" if is_evacuated else "data centre is taken back"
        )
        if is_evacuated:
            self._report_ends(self._runs.reject_queued(_run.EVACUATED))
        self._send_changed_state()

    def _accept(self, session: EntrySession, order: _pool_wire.RunTask) -> None:
        now = _clock.monotonic()
        reason = self._unavailable_reason(now)
        if session.age.measure_s(order.sent_ms, now) > self.settings.bounds.heartbeat_timeout_s:
            # Its entry was paused or cut off meanwhile, and the caller may have sent the job again.
            reason = _run.DELAYED
        if reason:
            self._report_ends([_run.RunEnd(order, session.entry, reason, 0.0)])
            return
        refused = self._runs.accept(order, session.entry, now)
        if refused is not None:
            self._report_ends([refused])
        self._runner.send_stops(now)
        self._runner.start_queued()

    def _stop(self, session: EntrySession, message: _pool_wire.StopTask) -> None:
        run = self._runs.stop(message.task, session.entry, message.run, message.reason)
        if run is not None:
            loguru.logger.bind(task=message.task, reason=message.reason).info("stopping task")
            self._runner.send_stops(_clock.monotonic())
        self._runner.start_queued()

    def _report_ends(self, ends: list[_run.RunEnd]) -> None:
        for ended in ends:
            loguru.logger.bind(
                task=ended.order.task,
                run=ended.order.run,
                entry=ended.entry,
                how=ended.how,
                run_ms=round(ended.run_ms),
                expected_ms=round(ended.order.expected_ms),
            ).info("task ended")
            self.metrics.count_task_end(ended.how)
            session = self._session_by_entry.get(ended.entry)
            if session is not None:
                self._send_end(session, ended)
            order = ended.order
            released = _pool_wire.AllocationReleased(
                order.task, order.job_id, ended.how, ended.slowdown
            )
            for open_session in self._session_by_entry.values():
                if open_session.is_scheduling:
                    open_session.link.send(released)

    def _report_crash(self, crash_id: str, runs: list[list]) -> None:
        """Report a crash of the runner to all entries, before the ends of its runs."""
        log = loguru.logger.bind(crash=crash_id, tasks=[row[0] for row in runs])
        log.warning("runner crashed with its tasks")
        crash = _pool_wire.RunnerCrashed(crash_id, runs)
        self._crashes.append((_clock.monotonic(), crash))
        for session in self._session_by_entry.values():
            self._send_crash(session, crash)

    def _send_crash(self, session: EntrySession, crash: _pool_wire.RunnerCrashed) -> None:
        if session.link.peer.revision >= _pool_wire.CRASH_REPORTS_REVISION:
            session.link.send(crash)

    def _send_end(self, session: EntrySession, ended: _run.RunEnd) -> None:
        order = ended.order
        message = _pool_wire.TaskEnded(
            order.task, order.run, ended.how, ended.run_ms, ended.remote_factor
        )
        session.link.send(message)

    def _report_allocations(self, now: float) -> None:
        report = None
        for session in self._session_by_entry.values():
            if session.is_scheduling and now - session.reported_at >= ALLOCATION_REPORT_INTERVAL_S:
                if report is None:
                    report = _pool_wire.AllocationReport(
                        self._runs.allocations(),
                        self._runs.slowness(now),
                        self._runs.expected_ends(now),
                        self._runs.speed.speed,
                        self._runs.speed.samples,
                    )
                session.reported_at = now
                session.link.send(report)

    # The runner.

    def handle_heartbeat(self, heartbeat: _leased_runner.RunnerHeartbeat) -> None:
        """Handle a heartbeat of the runner."""
        self._runner.handle_heartbeat(heartbeat)

    def handle_deregistration(self, runner_id: str) -> None:
        """Handle the deregistration of the runner."""
        self._runner.handle_deregistration(runner_id)

    def _unavailable_reason(self, now: float) -> str:
        """Return the reason for which no task is accepted, `""` if tasks are accepted."""
        if not self._lifecycle.accepts_work:
            return _run.DRAINING
        if self._is_evacuated:
            return _run.EVACUATED
        return self._runner.unavailable_reason(now)

    def _state(self, now: float) -> _pool_wire.RunnerState:
        heartbeat = self._runner.heartbeat
        if heartbeat is None:
            return _pool_wire.RunnerState("", "", 0, 0, 0, [], False)
        return _pool_wire.RunnerState(
            heartbeat.id,
            heartbeat.pool,
            heartbeat.cpu,
            heartbeat.memory_mb,
            heartbeat.accelerators,
            list(heartbeat.labels),
            not self._unavailable_reason(now),
            _departures.remaining_ms(self._runs.leaves_at, now),
        )

    def _report_changes(self) -> None:
        """Send the state of the runner if it has changed; report at once when it turns slow."""
        self._send_changed_state()
        now = _clock.monotonic()
        is_slow = self._runs.is_slow(now)
        if is_slow == self._was_slow:
            return
        self._was_slow = is_slow
        log = loguru.logger.bind(slowness=round(self._runs.slowness(now), 1))
        log.info("runner is slow" if is_slow else "runner is no longer slow")
        if is_slow:
            for session in self._session_by_entry.values():
                session.reported_at = 0.0
            self._report_allocations(now)

    def _send_changed_state(self) -> None:
        now = _clock.monotonic()
        state, leaves_at = self._state(now), self._runs.leaves_at
        # The remaining time counts down by itself.
        lasting = (attrs.evolve(state, remaining_ms=0), leaves_at)
        if lasting != self._sent_state:
            self._sent_state = lasting
            for session in self._session_by_entry.values():
                session.link.send(state)
