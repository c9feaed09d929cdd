"""State of the runs at one runner, kept by its agent.

No I/O: the caller passes events and the time, in seconds on the monotonic clock. A run uses
capacity from its start order until the runner lists its end or has confirmed a stop, or, if the
order was not answered, until the lease in the order has expired.
"""

import collections
import itertools
import math
from collections.abc import Callable

from daisyfall import _pool_wire
from daisyfall.policy import (
    _bounds,
    _departures,
    _runner_capacity,
    _runner_health,
    _runner_speed,
    _stragglers,
)
from daisyfall.process import _leased_runner
from daisyfall.request import _run

# An entry that reconnects within this time is sent the ends of its runs again.
END_RETENTION_S = 5.0
MAX_REMEMBERED_ENDS = 2_000
MAX_QUEUED_ORDERS = 500
# A stop order with this number applies to any run of the task.
ANY_RUN = 0
# A task is stalled if it makes no progress for this fraction of its expected run time, and for
# at least this long.
STALL_FRACTION = 0.5
MIN_STALL_S = 0.35


class Runs:
    """All runs and queued orders at one incarnation of a runner.

    `acknowledged` is the number of the last end that was taken from the runner's list. `labels` are
    those of the runner, and `leaves_at` is when it goes. A task takes `remote_factor` times as
    long away from its preferred rack.
    """

    def __init__(self, bounds: _bounds.Bounds, remote_factor: float = 1.0) -> None:
        self._bounds = bounds
        self._remote_factor = remote_factor
        self.labels: tuple[str, ...] = ()
        self.leaves_at = _departures.NEVER
        self.speed = _runner_speed.SpeedMeter()
        self.run_by_task: dict[str, _run.Run] = {}
        self._queue: list[_run.QueuedOrder] = []
        self._ends: collections.deque[tuple[float, _run.RunEnd]] = collections.deque(
            maxlen=MAX_REMEMBERED_ENDS
        )
        self.acknowledged = 0
        self.capacity = (0, 0, 0)
        self._slowdown = _stragglers.RunnerSlowdown()

    @property
    def queued(self) -> int:
        """Return the number of queued orders."""
        return len(self._queue)

    @property
    def has_pending_orders(self) -> bool:
        """Return whether an order waits for capacity or a run is being stopped."""
        return bool(self._queue) or any(run.stop_reason for run in self.run_by_task.values())

    def entries_with_tasks(self) -> set[str]:
        """Return the entries that have a queued order, or a run that isn't being stopped."""
        entries = {queued.entry for queued in self._queue}
        entries.update(run.entry for run in self.run_by_task.values() if not run.stop_reason)
        return entries

    def accept(self, order: _pool_wire.RunTask, entry: str, now: float) -> _run.RunEnd | None:
        """Queue a start order; return the refusal if the queue is full or the task can't fit."""
        known = self.run_by_task.get(order.task)
        if known is not None and known.entry == entry and known.order.run == order.run:
            return None
        if any(queued.order.task == order.task and queued.entry == entry for queued in self._queue):
            return None
        is_full = len(self._queue) >= MAX_QUEUED_ORDERS
        if is_full or not _runner_capacity.has_room(self.capacity, order):
            return _run.RunEnd(order, entry, _run.NO_ROOM, 0.0)
        tasks = itertools.chain(self.run_by_task, (each.order.task for each in self._queue))
        if _runner_capacity.is_at_step_limit(order.task, order.max_per_runner, tasks):
            return _run.RunEnd(order, entry, _run.STEP_LIMIT, 0.0)
        if known is not None:
            known.stop_reason = known.stop_reason or _run.CANCELLED
        self._queue.append(_run.QueuedOrder(order, entry, now + order.queue_timeout_ms / 1000))
        return None

    def pop_startable(self, now: float) -> list[_run.Run]:
        """Remove the queued orders that fit now, and return them as runs that use capacity."""
        started = []
        for queued in list(self._queue):
            if queued.order.task in self.run_by_task or not self._fits(queued.order):
                continue
            self._queue.remove(queued)
            run = _run.Run(queued.order, queued.entry, queued.order.run, _run.Phase.STARTING, now)
            rack = run.order.preferred_rack
            if rack and rack not in self.labels:
                run.remote_factor = self._remote_factor
            self.run_by_task[run.task] = run
            started.append(run)
        return started

    def pop_expired(self, now: float) -> list[_run.RunEnd]:
        """Remove the orders that waited too long, and return their refusals."""
        expired = [queued for queued in self._queue if now > queued.expires_at]
        self._queue = [queued for queued in self._queue if now <= queued.expires_at]
        return [_run.RunEnd(queued.order, queued.entry, _run.NO_ROOM, 0.0) for queued in expired]

    def reject_queued(self, how: str) -> list[_run.RunEnd]:
        """Remove all queued orders, and return their refusals."""
        queue, self._queue = self._queue, []
        return [_run.RunEnd(queued.order, queued.entry, how, 0.0) for queued in queue]

    def started(self, run: _run.Run, now: float) -> None:
        """Record that the runner has confirmed a start."""
        if run.phase in (_run.Phase.STARTING, _run.Phase.UNANSWERED):
            run.phase = _run.Phase.RUNNING
            run.started_at = run.progressed_at = now
            run.progress = _stragglers.TaskProgress(run.expected_ms, now)

    def unanswered(self, run: _run.Run, lease_until: float) -> None:
        """Record an unanswered start order; it may take effect until its lease expires."""
        if run.phase is _run.Phase.STARTING:
            run.phase = _run.Phase.UNANSWERED
            run.lease_until = lease_until
            run.stop_reason = run.stop_reason or _run.UNANSWERED

    def finish(self, run: _run.Run, how: str, now: float) -> _run.RunEnd | None:
        """Remove a run and return its end; None if it was removed before."""
        if self.run_by_task.get(run.task) is not run:
            return None
        del self.run_by_task[run.task]
        run_ms = (now - run.started_at) * 1000 if run.started_at else 0.0
        is_runner_outcome = how in (_run.DONE, _leased_runner.RunOutcome.FAILED.value)
        outcome = how if is_runner_outcome else run.stop_reason or how
        ended = _run.RunEnd(run.order, run.entry, outcome, run_ms, run.remote_factor)
        self._ends.append((now, ended))
        if ended.slowdown:
            self._slowdown.add_ended(ended.slowdown, now)
            self.speed.add(ended.slowdown)
        return ended

    def stop(self, task: str, entry: str, number: int, stop_reason: str) -> _run.Run | None:
        """Remove an order from the queue, or mark its run for stopping and return it."""
        for queued in list(self._queue):
            is_meant = queued.order.task == task and queued.entry == entry
            if is_meant and number in (ANY_RUN, queued.order.run):
                self._queue.remove(queued)
        run = self.run_by_task.get(task)
        if run is None or run.entry != entry or number not in (ANY_RUN, run.order.run):
            return None
        run.stop_reason = run.stop_reason or stop_reason
        return run

    def lose_entry(self, entry: str) -> list[_run.Run]:
        """Remove an entry's orders from the queue; mark its runs for stopping and return them."""
        self._queue = [queued for queued in self._queue if queued.entry != entry]
        runs = [run for run in self.run_by_task.values() if run.entry == entry]
        for run in runs:
            run.stop_reason = run.stop_reason or _run.CANCELLED
        return runs

    def due_stops(self, now: float) -> list[_run.Run]:
        """Return the runs for which a stop order has to be sent, for the first time or again."""
        due = [
            run
            for run in self.run_by_task.values()
            if run.stop_reason
            and run.phase is not _run.Phase.STARTING
            and now - run.stop_sent_at >= self._bounds.stop_timeout_s
        ]
        for run in due:
            run.stop_sent_at = now
            run.stop_since = run.stop_since or now
            if run.phase is _run.Phase.RUNNING:
                run.phase = _run.Phase.STOPPING
        return due

    def stop_confirmed(self, run: _run.Run, now: float) -> None:
        """Record that the runner has confirmed a stop; it now rejects an unanswered start order."""
        if run.phase is _run.Phase.UNANSWERED:
            run.lease_until = min(run.lease_until, now)

    def resumed(
        self, entry: str, tasks: list[str], now: float
    ) -> tuple[list[str], list[_run.RunEnd]]:
        """Reconcile with the tasks of an entry that reconnected; cancel runs that it doesn't list.

        Return the tasks that run or wait here, and the ends that the entry may have missed.
        """
        wanted = set(tasks)
        for run in self.run_by_task.values():
            if run.entry == entry and run.task not in wanted:
                run.stop_reason = run.stop_reason or _run.CANCELLED
        present = [run.task for run in self.run_by_task.values() if run.entry == entry]
        present += [queued.order.task for queued in self._queue if queued.entry == entry]
        ends = [
            ended
            for ended_at, ended in self._ends
            if ended.entry == entry and now - ended_at < END_RETENTION_S
        ]
        return present, ends

    def apply_snapshot(
        self, snapshot: _leased_runner.RunSnapshot, asked_at: float, now: float
    ) -> list[_run.RunEnd]:
        """Update the runs by the runner's lists, requested at `asked_at`; return the new ends."""
        ends = self._apply_ended(snapshot, now)
        progress_by_task = {progress.task: progress for progress in snapshot.running}
        for run in list(self.run_by_task.values()):
            run_progress = progress_by_task.get(run.task)
            if run_progress is not None and run_progress.run == run.number:
                self.started(run, now)
                self._apply_progress(run, run_progress, now, snapshot.clock_ms / 1000 or now)
            elif run.phase is not _run.Phase.STARTING and run.started_at < asked_at:
                ends += self._record_missing(run, asked_at, now)
        return [end for end in ends if end is not None]

    def orphans(self, snapshot: _leased_runner.RunSnapshot) -> list[_leased_runner.RunProgress]:
        """Return the listed runs that the agent doesn't know, or knows under another number."""
        return [
            listed
            for listed in snapshot.running
            if listed.task not in self.run_by_task
            or self.run_by_task[listed.task].number != listed.run
        ]

    def slowness(self, now: float) -> float:
        """Return the present median slowdown of the runner's tasks, 0 if unknown."""
        return _stragglers.median(self._slowdowns(now))

    def is_slow(self, now: float) -> bool:
        """Return whether the runner's tasks take far longer than expected at present."""
        return self.slowness(now) >= _runner_health.SLOW_RUNNER_SLOWNESS

    def mark_rescheduled(self, now: float) -> None:
        """Mark the runs for stopping that are to be placed elsewhere.

        These are the stragglers on a slow runner, and what can't end before the runner leaves.
        """
        has_samples = len(self._slowdowns(now)) >= _stragglers.MIN_SAMPLES
        min_windows = 0 if has_samples else _stragglers.MIN_SLOW_WINDOWS
        is_slow = self.is_slow(now)
        for run in self.run_by_task.values():
            is_straggler = (
                is_slow
                and run.may_move
                and run.progress.slow_windows >= min_windows
                and run.progress.should_reschedule()
            )
            if is_straggler:
                run.stop_reason = _run.STRAGGLING
            elif self.leaves_at != _departures.NEVER and run.may_move and run.progress.slowdown:
                ends_at = now + run.progress.remaining_ms / 1000
                latest_start = run.ordered_at + run.order.latest_start_ms / 1000
                if _departures.must_move(ends_at, self.leaves_at, latest_start, now):
                    run.stop_reason = _run.LEAVING

    def _slowdowns(self, now: float) -> list[float]:
        running = [
            run.progress for run in self.run_by_task.values() if run.phase is _run.Phase.RUNNING
        ]
        return self._slowdown.samples(running, now)

    def must_withhold_lease(self, now: float) -> bool:
        """Return whether the lease may not be renewed, as a stop was not confirmed in time."""
        return any(
            run.stop_reason == _run.CANCELLED
            and run.stop_since > 0
            and now - run.stop_since > self._bounds.stop_timeout_s
            for run in self.run_by_task.values()
        )

    def reopen_orders(self) -> None:
        """Wait anew for the outcome of open start orders, as the runner is back under its id.

        The next incarnation may carry them out; their leases, on the clock of the former one, bound
        nothing there. Their runs end once it has confirmed a stop and its lists lack them.
        """
        for run in self.run_by_task.values():
            if run.phase in (_run.Phase.STARTING, _run.Phase.UNANSWERED):
                run.phase = _run.Phase.UNANSWERED
                run.stop_reason = run.stop_reason or _run.UNANSWERED
                run.lease_until = math.inf
                run.missing_since = run.stop_sent_at = 0.0

    def clear(self, how: str, now: float, *, keeps_orders: bool = False) -> list[_run.RunEnd]:
        """End all runs because another incarnation is used; its end numbers start anew.

        With `keeps_orders`, those go on whose start order it may carry out.
        """
        ends = self._end_all(how, now, lambda run: keeps_orders and run.may_start(now))
        self.acknowledged = 0
        self.leaves_at = _departures.NEVER
        self.speed = _runner_speed.SpeedMeter()
        return ends

    def lose_runner(self, how: str, now: float) -> list[_run.RunEnd]:
        """End all runs that have started, because the runner crashed or their leases expired.

        The runner's end numbers continue if it answers again.
        """
        return self._end_all(how, now, lambda run: run.may_start(now))

    def _end_all(
        self, how: str, now: float, is_kept: Callable[[_run.Run], bool]
    ) -> list[_run.RunEnd]:
        runs = [run for run in self.run_by_task.values() if not is_kept(run)]
        return [end for run in runs if (end := self.finish(run, how, now)) is not None]

    def crashed_runs(self, crashed_at: float) -> list[list]:
        """Return the rows of a `RunnerCrashed` message."""
        rows = []
        for run in self.run_by_task.values():
            run_ms = max(crashed_at - (run.started_at or run.ordered_at), 0.0) * 1000
            rows.append([run.task, run.order.route, run_ms, run.order.expected_ms])
        return rows

    def allocations(self) -> list[list]:
        """Return `[task, job, cpu, MB, accelerators]` of all runs and queued orders."""
        orders = [run.order for run in self.run_by_task.values()]
        orders += [queued.order for queued in self._queue]
        return [
            [order.task, order.job_id, order.cpu, order.memory_mb, order.accelerators]
            for order in orders
        ]

    def expected_ends(self, now: float) -> list[list]:
        """Return `[ms until the expected end, expected run ms]`, in the order of `allocations`."""
        ends = [
            (run.order.expected_ms, now - (run.started_at or run.ordered_at))
            for run in self.run_by_task.values()
        ]
        ends += [(queued.order.expected_ms, 0.0) for queued in self._queue]
        return [[round(expected_ms - ran_s * 1000), expected_ms] for expected_ms, ran_s in ends]

    def _apply_ended(
        self, snapshot: _leased_runner.RunSnapshot, now: float
    ) -> list[_run.RunEnd | None]:
        ends = []
        for listed_end in snapshot.ended:
            if listed_end.number <= self.acknowledged:
                continue
            self.acknowledged = listed_end.number
            run = self.run_by_task.get(listed_end.task)
            if run is not None and run.number == listed_end.run:
                ends.append(self.finish(run, listed_end.outcome.value, now))
        return ends

    def _apply_progress(
        self,
        run: _run.Run,
        run_progress: _leased_runner.RunProgress,
        now: float,
        runner_clock: float,
    ) -> None:
        run.missing_since = 0.0
        if run_progress.percent != run.progress.percent:
            run.progressed_at = now
        run.progress.update(run_progress.percent, now, runner_clock)
        limit_s = max(MIN_STALL_S, STALL_FRACTION * run.expected_ms / 1000)
        if (
            run.phase is _run.Phase.RUNNING
            and not run.stop_reason
            and now - run.progressed_at > limit_s
        ):
            run.stop_reason = _run.STALLED

    def _record_missing(
        self, run: _run.Run, asked_at: float, now: float
    ) -> list[_run.RunEnd | None]:
        """Record that a run is not listed; return its end if it can't be stopping any more.

        A run that is being stopped is in neither of the runner's lists until it has ended. An
        answer may have been on its way for long, so the time counts from the arrival of the first
        lists without the run to the request of the last ones.
        """
        is_unanswered = run.phase is _run.Phase.UNANSWERED
        if is_unanswered and asked_at <= run.lease_until:
            # The order may still take effect.
            return []
        if not run.missing_since:
            run.missing_since = now
        if asked_at - run.missing_since <= self._bounds.max_stopping_s:
            return []
        return [self.finish(run, _run.UNANSWERED if is_unanswered else _run.LOST, now)]

    def _fits(self, order: _pool_wire.RunTask) -> bool:
        cpu, memory_mb, accelerators = self.capacity
        for run in self.run_by_task.values():
            cpu -= run.order.cpu
            memory_mb -= run.order.memory_mb
            accelerators -= run.order.accelerators
        return _runner_capacity.has_room((cpu, memory_mb, accelerators), order)
