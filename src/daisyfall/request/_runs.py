"""Runs at one runner, as its agent knows them; pure, times in seconds on the steady clock.

A run holds room from its start order until its end is listed by the runner, or until the
runner confirmed a stop, or until the lease in an unanswered order has passed.
"""

import collections
import enum

import attrs

from daisyfall import _pool_wire
from daisyfall.policy import _bounds, _pace
from daisyfall.process import _leased_runner

# Ends are told again to an entry that resumes its link within this time.
REMEMBER_ENDS_S = 5.0
MOST_REMEMBERED = 2_000
MOST_QUEUED = 500
# A stop order with this number means whatever run of the task is there.
ANY_RUN = 0
# A task stands still if its progress stays for this part of its expected time, and this long.
STALL_PART = 0.5
SHORTEST_STALL_S = 0.35


class Phase(enum.Enum):
    """State of a run that may hold room."""

    STARTING = "starting"
    RUNNING = "running"
    UNANSWERED = "unanswered"
    STOPPING = "stopping"


@attrs.define(slots=True, eq=False)
class Run:
    """One run; `entry` is the id and incarnation of the entry that ordered it."""

    order: _pool_wire.RunTask
    entry: str
    number: int
    phase: Phase
    ordered_at: float
    lease_until: float = 0.0
    started_at: float = 0.0
    progress: _pace.TaskProgress | None = None
    moved_at: float = 0.0
    missed_at: float = 0.0
    stop_reason: str = ""
    stop_since: float = 0.0
    stop_sent_at: float = 0.0

    @property
    def task(self) -> str:
        """Return the task's name."""
        return self.order.task


@attrs.define(slots=True, eq=False)
class Queued:
    """An order that waits for room until `until`."""

    order: _pool_wire.RunTask
    entry: str
    until: float


@attrs.frozen
class RunEnd:
    """An end to tell to an entry; `how` is an end of the runner or a reason of the agent."""

    order: _pool_wire.RunTask
    entry: str
    how: str
    run_ms: float


# Reasons of the agent beside the runner's own ends.
NO_RUNNER = "no_runner"
NO_ROOM = "no_room"
DRAINING = "draining"
UNHEALTHY = "unhealthy"
UNANSWERED = "unanswered"
STALLED = "stalled"
STRAGGLING = "straggling"
LOST = "lost"
CANCELLED = "cancelled"


class Runs:
    """All runs and queued orders at one incarnation of a runner."""

    def __init__(self, bounds: _bounds.Bounds) -> None:
        self._bounds = bounds
        self.run_by_task: dict[str, Run] = {}
        self._queue: list[Queued] = []
        self._ends: collections.deque[tuple[float, RunEnd]] = collections.deque(
            maxlen=MOST_REMEMBERED
        )
        self.acknowledged = 0
        self.capacity = (0, 0, 0)
        self._slowdown = _pace.RunnerSlowdown()

    @property
    def queued(self) -> int:
        """Return the number of orders that wait for room."""
        return len(self._queue)

    def accept(self, order: _pool_wire.RunTask, entry: str, now: float) -> RunEnd | None:
        """Queue an order; return the refusal if there is no place for it."""
        known = self.run_by_task.get(order.task)
        if known is not None and known.entry == entry and known.order.run == order.run:
            return None
        if any(each.order.task == order.task and each.entry == entry for each in self._queue):
            return None
        if len(self._queue) >= MOST_QUEUED or not self._could_hold(order):
            return RunEnd(order, entry, NO_ROOM, 0.0)
        if known is not None:
            known.stop_reason = known.stop_reason or CANCELLED
        self._queue.append(Queued(order, entry, now + order.patience_ms / 1000))
        return None

    def pop_startable(self, now: float) -> list[Run]:
        """Return the queued orders that fit now, as runs that hold their room."""
        started = []
        for queued in list(self._queue):
            if queued.order.task in self.run_by_task or not self._fits(queued.order):
                continue
            self._queue.remove(queued)
            run = Run(queued.order, queued.entry, queued.order.run, Phase.STARTING, now)
            self.run_by_task[run.task] = run
            started.append(run)
        return started

    def pop_expired(self, now: float) -> list[RunEnd]:
        """Drop orders that waited too long and return their refusals."""
        late = [each for each in self._queue if now > each.until]
        self._queue = [each for each in self._queue if now <= each.until]
        return [RunEnd(each.order, each.entry, NO_ROOM, 0.0) for each in late]

    def reject_queued(self, how: str) -> list[RunEnd]:
        """Refuse all that waits."""
        queue, self._queue = self._queue, []
        return [RunEnd(each.order, each.entry, how, 0.0) for each in queue]

    def started(self, run: Run, now: float) -> None:
        """Note that the runner confirmed a start."""
        if run.phase in (Phase.STARTING, Phase.UNANSWERED):
            run.phase = Phase.RUNNING
            run.started_at = run.moved_at = now
            run.progress = _pace.TaskProgress(run.order.expected_ms, now)

    def unanswered(self, run: Run, lease_until: float) -> None:
        """Note that a start order got no answer; it may be executed until its lease passes."""
        if run.phase is Phase.STARTING:
            run.phase = Phase.UNANSWERED
            run.lease_until = lease_until
            run.stop_reason = run.stop_reason or UNANSWERED

    def finish(self, run: Run, how: str, now: float) -> RunEnd | None:
        """Remove a run and return its end; None if it was removed before."""
        if self.run_by_task.get(run.task) is not run:
            return None
        del self.run_by_task[run.task]
        run_ms = (now - run.started_at) * 1000 if run.started_at else 0.0
        is_own_end = how in (_leased_runner.End.DONE.value, _leased_runner.End.FAILED.value)
        ended = RunEnd(run.order, run.entry, how if is_own_end else run.stop_reason or how, run_ms)
        self._ends.append((now, ended))
        if how == _leased_runner.End.DONE.value and run.order.expected_ms > 0:
            self._slowdown.add_ended(run_ms / run.order.expected_ms, now)
        return ended

    def stop(self, task: str, entry: str, number: int, stop_reason: str) -> Run | None:
        """Mark a run for stopping, or drop it from the queue; return the run to stop."""
        self._queue = [
            each
            for each in self._queue
            if not (
                each.order.task == task
                and each.entry == entry
                and number in (ANY_RUN, each.order.run)
            )
        ]
        run = self.run_by_task.get(task)
        if run is None or run.entry != entry or number not in (ANY_RUN, run.order.run):
            return None
        run.stop_reason = run.stop_reason or stop_reason
        return run

    def lose_entry(self, entry: str) -> list[Run]:
        """Drop what an entry ordered; return its runs, which have to be stopped."""
        self._queue = [each for each in self._queue if each.entry != entry]
        runs = [each for each in self.run_by_task.values() if each.entry == entry]
        for run in runs:
            run.stop_reason = run.stop_reason or CANCELLED
        return runs

    def due_stops(self, now: float) -> list[Run]:
        """Return the runs for which a stop order is due, first time or again."""
        due = [
            each
            for each in self.run_by_task.values()
            if each.stop_reason
            and each.phase is not Phase.STARTING
            and now - each.stop_sent_at >= self._bounds.stop_timeout_s
        ]
        for run in due:
            run.stop_sent_at = now
            run.stop_since = run.stop_since or now
            if run.phase is Phase.RUNNING:
                run.phase = Phase.STOPPING
        return due

    def stop_confirmed(self, run: Run, now: float) -> None:
        """Note that the runner confirmed a stop; it rejects an unanswered order from now on."""
        if run.phase is Phase.UNANSWERED:
            run.lease_until = min(run.lease_until, now)

    def resumed(self, entry: str, tasks: list[str], now: float) -> tuple[list[str], list[RunEnd]]:
        """Match an entry's list after it reconnected: what is here, and ends it may have missed."""
        wanted = set(tasks)
        for run in self.run_by_task.values():
            if run.entry == entry and run.task not in wanted:
                run.stop_reason = run.stop_reason or CANCELLED
        here = [each.task for each in self.run_by_task.values() if each.entry == entry]
        here += [each.order.task for each in self._queue if each.entry == entry]
        ends = [
            ended for at, ended in self._ends if ended.entry == entry and now - at < REMEMBER_ENDS_S
        ]
        return here, ends

    def apply_snapshot(
        self, reading: _leased_runner.Reading, asked_at: float, now: float
    ) -> list[RunEnd]:
        """Take over the runner's lists that were asked for at `asked_at`; return new ends."""
        ends = self._read_ended(reading, now)
        running_by_task = {each.task: each for each in reading.running}
        for run in list(self.run_by_task.values()):
            listed = running_by_task.get(run.task)
            if listed is not None and listed.run == run.number:
                self.started(run, now)
                self._read_progress(run, listed, now)
            elif run.phase is not Phase.STARTING and run.started_at < asked_at:
                ends += self._miss(run, asked_at, now)
        return [each for each in ends if each is not None]

    def orphans(self, reading: _leased_runner.Reading) -> list[_leased_runner.Running]:
        """Return listed runs that this agent did not order, or ordered under another number."""
        return [
            each
            for each in reading.running
            if each.task not in self.run_by_task or self.run_by_task[each.task].number != each.run
        ]

    def slowness(self, now: float) -> float:
        """Return the runner's median pace, 0 with too few samples."""
        running = [
            each.progress for each in self.run_by_task.values() if each.phase is Phase.RUNNING
        ]
        return self._slowdown.median(running, now)

    def mark_stragglers(self, now: float) -> None:
        """Mark the tasks of a slow runner that are better run elsewhere for stopping."""
        if self.slowness(now) < _pace.SLOW_RUNNER_SLOWDOWN:
            return
        for run in self.run_by_task.values():
            if (
                run.phase is Phase.RUNNING
                and not run.stop_reason
                and run.order.may_move
                and run.progress.should_reschedule()
            ):
                run.stop_reason = STRAGGLING

    def must_withhold_lease(self, now: float) -> bool:
        """Tell whether the lease may not be renewed because a stop was not confirmed in time."""
        return any(
            each.stop_reason == CANCELLED
            and each.stop_since > 0
            and now - each.stop_since > self._bounds.stop_timeout_s
            for each in self.run_by_task.values()
        )

    def clear(self, how: str, now: float) -> list[RunEnd]:
        """End all runs, because the runner's incarnation is gone; counts start anew."""
        ends = [self.finish(run, how, now) for run in list(self.run_by_task.values())]
        self.acknowledged = 0
        return [each for each in ends if each is not None]

    def lose_runner(self, now: float) -> list[RunEnd]:
        """End all runs whose leases have passed; the runner's counts go on if it answers again."""
        ends = [
            self.finish(run, LOST, now)
            for run in list(self.run_by_task.values())
            if run.phase is not Phase.STARTING
        ]
        return [each for each in ends if each is not None]

    def held(self) -> list[list]:
        """Return `[task, job, cpu, MB, accelerators]` of all that holds or waits for room."""
        orders = [each.order for each in self.run_by_task.values()]
        orders += [each.order for each in self._queue]
        return [[o.task, o.job_id, o.cpu, o.memory_mb, o.accelerators] for o in orders]

    def _read_ended(self, reading: _leased_runner.Reading, now: float) -> list[RunEnd | None]:
        ends = []
        for row in reading.ended:
            if row.number <= self.acknowledged:
                continue
            self.acknowledged = row.number
            run = self.run_by_task.get(row.task)
            if run is not None and run.number == row.run:
                ends.append(self.finish(run, row.end.value, now))
        return ends

    def _read_progress(self, run: Run, listed: _leased_runner.Running, now: float) -> None:
        run.missed_at = 0.0
        if listed.percent != run.progress.percent:
            run.moved_at = now
        run.progress.update(listed.percent, now)
        limit_s = max(SHORTEST_STALL_S, STALL_PART * run.order.expected_ms / 1000)
        if run.phase is Phase.RUNNING and not run.stop_reason and now - run.moved_at > limit_s:
            run.stop_reason = STALLED

    def _miss(self, run: Run, asked_at: float, now: float) -> list[RunEnd | None]:
        """Note that a list lacks a run; return its end once it can't be stopping any more.

        A run that is being stopped is in neither list until it has ended.
        """
        run.missed_at = run.missed_at or asked_at
        if asked_at - run.missed_at <= self._bounds.max_stopping_s:
            return []
        if run.phase is not Phase.UNANSWERED:
            return [self.finish(run, LOST, now)]
        return [self.finish(run, UNANSWERED, now)] if asked_at > run.lease_until else []

    def _could_hold(self, order: _pool_wire.RunTask) -> bool:
        cpu, memory_mb, accelerators = self.capacity
        return (
            order.cpu <= cpu and order.memory_mb <= memory_mb and order.accelerators <= accelerators
        )

    def _fits(self, order: _pool_wire.RunTask) -> bool:
        cpu, memory_mb, accelerators = self.capacity
        for run in self.run_by_task.values():
            cpu -= run.order.cpu
            memory_mb -= run.order.memory_mb
            accelerators -= run.order.accelerators
        return (
            order.cpu <= cpu and order.memory_mb <= memory_mb and order.accelerators <= accelerators
        )
