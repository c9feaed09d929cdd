"""A pool agent's session with its local runner: incarnations, start and stop orders, leases."""

import asyncio

import attrs
import loguru

from daisyfall import _clock
from daisyfall.policy import _bounds, _departures
from daisyfall.process import (
    _background_tasks,
    _call_health,
    _fencing_token,
    _leased_runner,
    _pool_metrics,
    _runner_callbacks,
    _runner_candidates,
    _runner_lease,
)
from daisyfall.request import _run, _runs

# A lease renewal is a long poll: the runner answers when a run ends, at the latest after this
# time. A lease lasts for several renewals.
RENEWAL_WAIT_MS = 100
IDLE_RENEWAL_WAIT_MS = 300
RENEWAL_RETRY_S = 0.01
# By how much a timer of the event loop may fire early.
TIMER_ERROR_S = 0.002
# Interval of calls to a runner that was restarted under its id, until it announces itself.
RESTARTED_RETRY_S = 0.1
# The runner rejects a start order that it processes later than this after it was sent.
START_LEASE_MS = 400
# A runner without a heartbeat for more than this many intervals gets no new tasks.
MAX_MISSED_HEARTBEATS = 3
# The lease is not renewed if the runner has not answered a renewal for this long.
MAX_ANSWER_AGE_S = 0.4


class RunnerSession:
    """Starts, stops and tracks runs at the current incarnation of the runner.

    Raises its fencing token if the runner has seen a higher one.
    """

    def __init__(
        self,
        bounds: _bounds.Bounds,
        heartbeat_s: float,
        token: int,
        connect: _runner_candidates.ConnectRunner,
        metrics: _pool_metrics.PoolMetrics,
        *,
        remote_factor: float = 1.0,
    ):
        self.runs = _runs.Runs(bounds, remote_factor)
        self.heartbeat: _leased_runner.RunnerHeartbeat | None = None
        self._bounds = bounds
        self._heartbeat_timeout_s = MAX_MISSED_HEARTBEATS * heartbeat_s
        self._token = _fencing_token.Token(token)
        self._metrics = metrics
        self._heartbeat_at = 0.0
        self._runner: _leased_runner.LeasedRunner | None = None
        self._is_connected = False
        self._last_answer_at = 0.0
        # When the first renewal since the last answer failed, 0 if none has.
        self._silent_since = 0.0
        self.lease = _runner_lease.RunnerLease()
        self._health = _call_health.CallHealth()
        # Until then, runs that the agent doesn't know may use capacity.
        self._unknown_runs_until = 0.0
        # What ran on a runner that fell silent, until it is known whether it crashed.
        self._lost_runs: list[list] = []
        self._candidates = _runner_candidates.RunnerCandidates(
            connect,
            self._token,
            self._heartbeat_timeout_s,
            self._consider_runner,
            metrics,
        )
        self._calls = _background_tasks.BackgroundTasks("a call to the runner")
        self._renewal_task: asyncio.Task | None = None

    def set_callbacks(self, callbacks: _runner_callbacks.RunnerCallbacks) -> None:
        """Set the callbacks into the agent; called before the first heartbeat."""
        self._callbacks = callbacks

    def unavailable_reason(self, now: float) -> str:
        """Return the reason why the runner gets no tasks, `""` if it is available."""
        if self.heartbeat is None or self._runner is None or not self._is_connected:
            return _run.NO_RUNNER
        if self.heartbeat.is_draining:
            return _run.DRAINING
        if not self._is_heartbeat_recent(now):
            return _run.NO_RUNNER
        return _run.UNHEALTHY if self._health.is_paused(now) else ""

    def _is_heartbeat_recent(self, now: float) -> bool:
        return now - self._heartbeat_at <= self._heartbeat_timeout_s

    def handle_heartbeat(self, heartbeat: _leased_runner.RunnerHeartbeat) -> None:
        """Apply a heartbeat of the runner in use, or find out whether another one is to be used."""
        if self.heartbeat is None or heartbeat.identity != self.heartbeat.identity:
            self._candidates.announce(heartbeat)
            return
        # The last one's number is not trusted for long, as it may be of another writer.
        is_recent = self._is_heartbeat_recent(_clock.monotonic())
        if heartbeat.sequence > self.heartbeat.sequence or not is_recent:
            self._apply_heartbeat(heartbeat)

    def _consider_runner(
        self, heartbeat: _leased_runner.RunnerHeartbeat, runner: _leased_runner.LeasedRunner
    ) -> bool:
        """Use a runner that answers at its address; return False if the one in use is not gone."""
        now = _clock.monotonic()
        current = self.heartbeat
        match _runner_candidates.replacement(
            current,
            heartbeat,
            is_current_heard=self._is_heartbeat_recent(now),
            is_current_lost=not self._is_connected and self.lease.has_expired(now),
        ):
            case _runner_candidates.Replacement.KEEP:
                return False
            case _runner_candidates.Replacement.UPDATE:
                self._apply_heartbeat(heartbeat)
                return True
        is_same_id = current is not None and heartbeat.id == current.id
        if is_same_id:
            self.runs.reopen_orders()
        if current is not None and not heartbeat.is_same_incarnation(current):
            self._handle_crash()
        log = loguru.logger.bind(runner=heartbeat.id, cpu=heartbeat.cpu)
        log.bind(born_ms=heartbeat.born_ms).info("new runner incarnation")
        self._disconnect_runner(keeps_orders=is_same_id)
        self._runner = runner
        self._apply_heartbeat(heartbeat)
        self._renewal_task = asyncio.create_task(self._renew_forever(runner))
        return True

    def _apply_heartbeat(self, heartbeat: _leased_runner.RunnerHeartbeat) -> None:
        previous, self.heartbeat = self.heartbeat, heartbeat
        self._heartbeat_at = _clock.monotonic()
        self.runs.capacity = (heartbeat.cpu, heartbeat.memory_mb, heartbeat.accelerators)
        self.runs.labels = heartbeat.labels
        self.runs.leaves_at = _departures.leaves_at(
            self.runs.leaves_at,
            heartbeat.remaining_ms,
            self._heartbeat_at,
            is_draining=heartbeat.is_draining,
        )
        if heartbeat.is_draining and (previous is None or not previous.is_draining):
            log = loguru.logger.bind(runner=heartbeat.id, remaining_ms=heartbeat.remaining_ms)
            log.info("runner is draining")
            self._callbacks.on_runs_ended(self.runs.reject_queued(_run.DRAINING))
        self._callbacks.on_availability_changed()

    def handle_deregistration(self, runner_id: str) -> None:
        """Stop using the runner, which has deregistered."""
        if self.heartbeat is not None and self.heartbeat.id == runner_id:
            self.heartbeat = attrs.evolve(self.heartbeat, is_draining=True)
            self._callbacks.on_availability_changed()

    def _disconnect_runner(self, *, keeps_orders: bool) -> None:
        if self._renewal_task is not None:
            self._renewal_task.cancel()
        self._is_connected = False
        self._runner = None
        now = _clock.monotonic()
        self._lost_runs = []
        self._callbacks.on_runs_ended(self.runs.clear(_run.LOST, now, keeps_orders=keeps_orders))
        self._callbacks.on_runs_ended(self.runs.reject_queued(_run.LOST))

    def _handle_crash(self) -> None:
        """End the runs of a runner that is gone, and report them as crashed unless it has left."""
        now = _clock.monotonic()
        if self.heartbeat.is_draining:
            self._callbacks.on_runs_ended(self.runs.lose_runner(_run.LOST, now))
            return
        runs = self._lost_runs + self.runs.crashed_runs(self._silent_since or now)
        self._lost_runs = []
        if runs:
            self._callbacks.on_crashed(f"{self.heartbeat.id}/{self.heartbeat.born_ms}", runs)
        self._callbacks.on_runs_ended(self.runs.lose_runner(_run.CRASHED, now))

    def start_queued(self) -> None:
        """Send start orders for the queued tasks that fit into the free capacity."""
        now = _clock.monotonic()
        if self._runner is None or self.unavailable_reason(now) or now < self._unknown_runs_until:
            return
        # A start order renews the lease of all runs at the runner.
        if not self._may_renew_lease(now):
            return
        for run in self.runs.pop_startable(now):
            self._calls.spawn(self._start_run(self._runner, run))

    async def _start_run(self, runner: _leased_runner.LeasedRunner, run: _run.Run) -> None:
        order = run.order
        sent_at = _clock.monotonic()
        lease_s = START_LEASE_MS / 1000
        lease_until_ms = self.lease.extend(lease_s, sent_at)
        answer, clock_ms = await runner.start(
            _leased_runner.StartOrder(
                order.task, run.number, order.payload, lease_until_ms, self._token.value
            ),
            self._health.timeout_s,
        )
        if runner is not self._runner:
            return
        now = _clock.monotonic()
        if self.lease.is_clock_reset(clock_ms, sent_at):
            # The run is at the next incarnation, whose lists are not read yet.
            answer = _leased_runner.CallOutcome.UNANSWERED
        else:
            self._sync_clock(clock_ms)
        if answer is not _leased_runner.CallOutcome.STARTED:
            # The end of a run tells when it began.
            log = loguru.logger.bind(task=order.task, run=run.number, answer=answer.value)
            log.bind(after_ms=round((now - sent_at) * 1000)).info("start not confirmed")
        self._metrics.count_start_answer(answer.value)
        self._health.record_latency(now - sent_at)
        match answer:
            case _leased_runner.CallOutcome.STARTED:
                self.runs.started(run, now)
            case _leased_runner.CallOutcome.UNANSWERED:
                self.runs.unanswered(run, _runner_lease.expiry(lease_s, sent_at))
                self._handle_failed_call(answer, now)
                await self._resolve_unanswered_start(runner, run)
            case _:
                self._handle_failed_call(answer, now)
                self._end_run(run, answer.value, now)
        self.send_stops(now)

    async def _resolve_unanswered_start(
        self, runner: _leased_runner.LeasedRunner, run: _run.Run
    ) -> None:
        """Determine without delay whether an unanswered start order was executed.

        After the runner has confirmed a stop it rejects the start order, so its next lists show
        whether the run had started.
        """
        run.stop_sent_at = _clock.monotonic()
        await self._stop_run(runner, run)
        if runner is not self._runner:
            return
        # A run that is being stopped is in neither list until it has ended, so the lists are
        # read a second time.
        for delay_s in (0.0, self._bounds.max_stopping_s + TIMER_ERROR_S):
            await asyncio.sleep(delay_s)
            requested_at = _clock.monotonic()
            snapshot = await runner.renew_lease(
                None, self._token.value, self.runs.acknowledged, 0, self._health.timeout_s
            )
            if runner is self._runner and isinstance(snapshot, _leased_runner.RunSnapshot):
                self._apply_snapshot(runner, snapshot, requested_at)

    def _handle_failed_call(self, answer: _leased_runner.CallOutcome, now: float) -> None:
        match answer:
            case _leased_runner.CallOutcome.FENCED:
                self._token.increase()
            case _leased_runner.CallOutcome.UNHEALTHY | _leased_runner.CallOutcome.UNREACHABLE:
                self._health.pause(now)
                self._callbacks.on_availability_changed()
            case _leased_runner.CallOutcome.UNANSWERED:
                if self._health.record_unanswered(now):
                    self._callbacks.on_availability_changed()

    def _end_run(self, run: _run.Run, outcome: str, now: float) -> None:
        ended = self.runs.finish(run, outcome, now)
        if ended is not None:
            self._callbacks.on_runs_ended([ended])

    def send_stops(self, now: float) -> None:
        """Send the stop orders that are due."""
        if self._runner is not None:
            for run in self.runs.due_stops(now):
                self._calls.spawn(self._stop_run(self._runner, run))

    async def _stop_run(self, runner: _leased_runner.LeasedRunner, run: _run.Run) -> None:
        is_confirmed = await runner.stop(
            run.task, run.number, self._token.value, self._health.timeout_s
        )
        if is_confirmed:
            self.runs.stop_confirmed(run, _clock.monotonic())

    def _sync_clock(self, clock_ms: float) -> None:
        """Update the clock offset from an answer that has just arrived."""
        if clock_ms:
            self._health.record_answer()
            self.lease.sync_clock(clock_ms, _clock.monotonic())

    async def _renew_forever(self, runner: _leased_runner.LeasedRunner) -> None:
        """Renew the lease and read the lists of runs until the runner is replaced."""
        while runner is self._runner:
            requested_at = _clock.monotonic()
            wait_ms = RENEWAL_WAIT_MS if self.runs.run_by_task else IDLE_RENEWAL_WAIT_MS
            lease_until_ms = None
            if self._may_renew_lease(requested_at):
                lease_until_ms = self.lease.extend(self._bounds.lease_s, requested_at)
            snapshot = await runner.renew_lease(
                lease_until_ms,
                self._token.value,
                self.runs.acknowledged,
                wait_ms if self._is_connected else 0,
                self._health.timeout_s,
            )
            if runner is not self._runner:
                return
            try:
                match snapshot:
                    case _leased_runner.RunSnapshot() if snapshot.is_of_other_incarnation(
                        self.heartbeat
                    ):
                        if self._is_connected:
                            self.runs.reopen_orders()
                        self._lose_incarnation()
                        await asyncio.sleep(RESTARTED_RETRY_S)
                    case _leased_runner.RunSnapshot():
                        self._apply_snapshot(runner, snapshot, requested_at)
                    case _leased_runner.RenewalFailed():
                        await self._handle_failed_renewal(snapshot)
            except Exception as error:
                # Without renewals all runs would end and the runner get no tasks for good.
                loguru.logger.opt(exception=error).error("the lists of runs were not applied")
                self._metrics.count_internal_error("runner")
                await asyncio.sleep(RENEWAL_RETRY_S)

    def _apply_snapshot(
        self,
        runner: _leased_runner.LeasedRunner,
        snapshot: _leased_runner.RunSnapshot,
        requested_at: float,
    ) -> None:
        now = _clock.monotonic()
        self._callbacks.check_pause()
        if snapshot.is_of_other_incarnation(self.heartbeat):
            return
        self._sync_clock(snapshot.clock_ms)
        self._last_answer_at, self._silent_since = now, 0.0
        self._lost_runs = []
        if not self._is_connected:
            self._is_connected = True
            loguru.logger.bind(running=len(snapshot.running)).info("runner answers")
        self._callbacks.on_runs_ended(self.runs.apply_snapshot(snapshot, requested_at, now))
        self.runs.mark_rescheduled(now)
        for orphan in self.runs.orphans(snapshot):
            self._unknown_runs_until = now + self._bounds.max_stopping_s
            loguru.logger.bind(task=orphan.task, run=orphan.run).warning("stopping an unknown run")
            self._calls.spawn(
                runner.stop(orphan.task, orphan.run, self._token.value, self._health.timeout_s)
            )
        self._callbacks.on_availability_changed()
        self.start_queued()

    def _lose_incarnation(self) -> None:
        """End the runs of an incarnation that is gone, until a heartbeat announces the next one.

        The end numbers of the next one start anew, so those of the last may not be acknowledged
        to it.
        """
        if self._is_connected:
            loguru.logger.bind(runner=self.heartbeat.id).warning("runner was restarted")
        self._is_connected = False
        self.runs.acknowledged = 0
        self._handle_crash()
        self._callbacks.on_availability_changed()

    def _may_renew_lease(self, now: float) -> bool:
        """Return whether the lease of the runs may be renewed.

        The renewal is withheld while the runner does not answer. This bounds the time by which
        its runs have ended, even if it processes unanswered calls late.
        """
        is_answering = now - self._last_answer_at < MAX_ANSWER_AGE_S
        return self._is_connected and is_answering and not self.runs.must_withhold_lease(now)

    async def _handle_failed_renewal(self, failure: _leased_runner.RenewalFailed) -> None:
        """Handle a renewal without lists: the runner may only be cut off, and its runs go on.

        They have ended when another incarnation answers at the address, or with their lease.
        """
        now = _clock.monotonic()
        reason = failure.reason
        self._silent_since = self._silent_since or now
        self._handle_failed_call(reason, now)
        self._metrics.count_renewal_failure(reason.value)
        if reason is _leased_runner.CallOutcome.REPLACED:
            self._lose_incarnation()
            await asyncio.sleep(RESTARTED_RETRY_S)
            return
        if self.lease.has_expired(now):
            if self.runs.run_by_task:
                log = loguru.logger.bind(reason=reason.value, tasks=len(self.runs.run_by_task))
                log.warning("runner is lost with its tasks")
            self._is_connected = False
            if reason is _leased_runner.CallOutcome.UNREACHABLE:
                self._handle_crash()
            else:
                self._lost_runs += self.runs.crashed_runs(self._silent_since)
                self._callbacks.on_runs_ended(self.runs.lose_runner(_run.LOST, now))
        await asyncio.sleep(RENEWAL_RETRY_S)
