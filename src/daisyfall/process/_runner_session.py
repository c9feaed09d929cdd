"""The runner beside a pool agent: its incarnations, the orders to it, and its leases."""

import asyncio
import contextlib
from collections.abc import Callable

import attrs
import loguru

from daisyfall import _clock
from daisyfall.policy import _bounds
from daisyfall.process import _leased_runner, _pool_metrics
from daisyfall.request import _runs

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


Connect = Callable[[_leased_runner.RunnerReport], _leased_runner.LeasedRunner]


class RunnerSession:
    """Calls to the present incarnation of the runner.

    `tell` gets the ends of runs, `changed` is called when the runner may take tasks or not,
    `check_pause` before anything that arrived is acted on. The fencing token is raised if the
    runner knows a higher one. All runs have ended by `lease_until` unless it is extended.
    """

    def __init__(
        self,
        bounds: _bounds.Bounds,
        heartbeat_s: float,
        token: int,
        connect: Connect,
        metrics: _pool_metrics.PoolMetrics,
    ):
        self.runs = _runs.Runs(bounds)
        self.report: _leased_runner.RunnerReport | None = None
        self._bounds = bounds
        self._heartbeat_s = heartbeat_s
        self._token = token
        self._connect_runner = connect
        self._metrics = metrics
        self._reported_at = 0.0
        self._runner: _leased_runner.LeasedRunner | None = None
        self._is_held = False
        self._clock_offset_ms = 0.0
        self._answered_at = 0.0
        self.lease_until = 0.0
        self._failed_holds = 0
        self._unanswered = 0
        self._answer_s = 0.0
        self._unhealthy_until = 0.0
        self._tasks: set[asyncio.Task] = set()
        self._hold_task: asyncio.Task | None = None

    def attach(
        self,
        tell: Callable[[list[_runs.RunEnd]], None],
        changed: Callable[[], None],
        check_pause: Callable[[], None],
    ) -> None:
        """Set what is called at each event; before the first report."""
        self._tell = tell
        self._changed = changed
        self._check_pause = check_pause

    def closed_reason(self, now: float) -> str:
        """Return why the runner gets no task, `""` if it gets tasks."""
        if self.report is None or self._runner is None or not self._is_held:
            return _runs.NO_RUNNER
        if self.report.is_draining:
            return _runs.DRAINING
        if now - self._reported_at > MISSED_HEARTBEATS * self._heartbeat_s:
            return _runs.NO_RUNNER
        return _runs.UNHEALTHY if now < self._unhealthy_until else ""

    def take_report(self, report: _leased_runner.RunnerReport) -> None:
        """Take a heartbeat of the runner; an older one than the last is ignored."""
        known = self.report
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
        self.report = report
        self._reported_at = _clock.monotonic()
        self.runs.capacity = (report.cpu, report.memory_mb, report.accelerators)
        if report.is_draining and (known is None or not known.is_draining):
            loguru.logger.bind(runner=report.id).info("runner is draining")
            self._tell(self.runs.reject_queued(_runs.DRAINING))
        self._changed()

    def forget_runner(self, runner_id: str) -> None:
        """Take the runner's word that it leaves."""
        if self.report is not None and self.report.id == runner_id:
            self.report = attrs.evolve(self.report, is_draining=True)
            self._changed()

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
        self._tell(self.runs.clear(_runs.LOST, now))
        self._tell(self.runs.reject_queued(_runs.LOST))

    def start_queued(self) -> None:
        """Order the starts of queued tasks that fit now."""
        now = _clock.monotonic()
        # A start's lease covers all that runs there, so it would undo a withheld renewal.
        if self._runner is None or self.closed_reason(now) or not self._may_renew(now):
            return
        for run in self.runs.pop_startable(now):
            self._spawn(self._start(self._runner, run))

    def _runner_ms(self) -> int:
        """Return the runner's clock as far as known; never ahead of it."""
        return int(_clock.monotonic() * 1000 + self._clock_offset_ms)

    async def _start(self, runner: _leased_runner.LeasedRunner, run: _runs.Run) -> None:
        order = run.order
        sent_at = _clock.monotonic()
        lease_until_ms = self._runner_ms() + START_LEASE_MS
        lease_s = START_LEASE_MS / 1000 * _bounds.CLOCK_DRIFT + _bounds.MARGIN_S
        self.lease_until = max(self.lease_until, sent_at + lease_s)
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
        self._metrics.start_answered(answer.value)
        self._answer_s += ANSWER_SMOOTHING * (now - sent_at - self._answer_s)
        match answer:
            case _leased_runner.Start.STARTED:
                self.runs.started(run, now)
            case _leased_runner.Start.UNANSWERED:
                self.runs.unanswered(run, sent_at + lease_s)
                self._note_refusal(answer, now)
                await self._settle_order(runner, run)
            case _:
                self._note_refusal(answer, now)
                self._end(run, answer.value, now)
        self.send_stops(now)

    async def _settle_order(self, runner: _leased_runner.LeasedRunner, run: _runs.Run) -> None:
        """Find out at once what became of an order without an answer.

        Once the runner has confirmed a stop it rejects the order, so its next lists tell.
        """
        run.stop_sent_at = _clock.monotonic()
        await self._stop_run(runner, run)
        if runner is not self._runner:
            return
        # A run that the stop has met is in no list until it has ended, so one look is not enough.
        for pause_s in (0.0, self._bounds.max_stopping_s):
            await asyncio.sleep(pause_s)
            asked_at = _clock.monotonic()
            reading = await runner.hold(
                None, self._token, self.runs.acknowledged, 0, self._answer_limit_s()
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
        self._changed()

    def _end(self, run: _runs.Run, how: str, now: float) -> None:
        ended = self.runs.finish(run, how, now)
        if ended is not None:
            self._tell([ended])

    def send_stops(self, now: float) -> None:
        """Order the stops that are due."""
        if self._runner is not None:
            for run in self.runs.due_stops(now):
                self._spawn(self._stop_run(self._runner, run))

    async def _stop_run(self, runner: _leased_runner.LeasedRunner, run: _runs.Run) -> None:
        is_confirmed = await runner.stop(run.task, run.number, self._token, self._answer_limit_s())
        if is_confirmed:
            self.runs.stop_confirmed(run, _clock.monotonic())

    def _read_clock(self, clock_ms: float) -> None:
        """Take over the runner's clock from an answer that has just arrived."""
        if clock_ms:
            self._unanswered = 0
            self._clock_offset_ms = clock_ms - _clock.monotonic() * 1000

    async def _hold_forever(self, runner: _leased_runner.LeasedRunner) -> None:
        """Renew the lease and read the lists until the runner is replaced."""
        while runner is self._runner:
            asked_at = _clock.monotonic()
            wait_ms = HOLD_WAIT_MS if self.runs.run_by_task else IDLE_HOLD_WAIT_MS
            lease_until_ms = None
            if self._may_renew(asked_at):
                lease_s = self._bounds.lease_s
                lease_until_ms = self._runner_ms() + int(lease_s * 1000)
                until = asked_at + lease_s * _bounds.CLOCK_DRIFT + _bounds.MARGIN_S
                self.lease_until = max(self.lease_until, until)
            reading = await runner.hold(
                lease_until_ms,
                self._token,
                self.runs.acknowledged,
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
        self._check_pause()
        self._read_clock(reading.clock_ms)
        self._answered_at = now
        self._failed_holds = 0
        if not self._is_held:
            self._is_held = True
            loguru.logger.bind(running=len(reading.running)).info("runner answers")
        self._tell(self.runs.apply_snapshot(reading, asked_at, now))
        self.runs.mark_stragglers(now)
        for orphan in self.runs.orphans(reading):
            loguru.logger.bind(task=orphan.task, run=orphan.run).warning("stopping an unknown run")
            self._spawn(runner.stop(orphan.task, orphan.run, self._token, self._answer_limit_s()))
        self._changed()
        self.start_queued()

    def _may_renew(self, now: float) -> bool:
        """Tell whether the runs may go on.

        The renewal is withheld while the runner does not answer, so that there is a time after
        which its runs have ended even if it carries out late what it left unanswered.
        """
        is_answering = now - self._answered_at < UNANSWERED_RENEWALS_S
        return self._is_held and is_answering and not self.runs.must_withhold_lease(now)

    async def _note_failed_hold(self, failed: _leased_runner.HoldFailed) -> None:
        now = _clock.monotonic()
        self._failed_holds += 1
        self._note_refusal(failed.reason, now)
        self._metrics.hold_failed(failed.reason.value)
        is_gone = (
            failed.reason is _leased_runner.Start.UNREACHABLE
            and self._failed_holds >= REFUSED_CONNECTIONS
        )
        if is_gone or now > self.lease_until:
            if self.runs.run_by_task:
                log = loguru.logger.bind(
                    reason=failed.reason.value, tasks=len(self.runs.run_by_task)
                )
                log.warning("runner is lost with its tasks")
            self._is_held = False
            self._tell(self.runs.lose_runner(now))
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
