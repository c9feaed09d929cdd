"""Jobs that an entry answers before they are complete, by the limits of `policy/_entry_limits`."""

import collections
import math
import random
from collections.abc import Iterable, Iterator

import loguru

from daisyfall.policy import _entry_limits
from daisyfall.request import _pool_jobs

# Run times vary: an entry that shuts down accepts a job only if this many times its expected
# time is left.
SHUTDOWN_TIME_FACTOR = 1.5
# Retry hint for the jobs that it refuses; other entries can serve them at once.
SHUTDOWN_RETRY_AFTER_S = 1.0
STOPPING = "stopping"
DEADLINE = "deadline"
# Time between two looks of an entry at its jobs.
CHECK_INTERVAL_S = 0.04
# The entry has stopped refusing jobs on arrival once it has accepted all jobs for this time.
REFUSALS_END_S = 1.0

Ended = tuple[_pool_jobs.Job, _pool_jobs.Answer]


class JobLimits:
    """Tracks the jobs that wait for their first start, and decides which are answered early.

    The caller ends the jobs that the methods return. A job is refused only if nothing of it has
    been dispatched; otherwise it is given up, as it may have run.
    """

    def __init__(self, rng: random.Random, now: float):
        self._rng = rng
        self._admission = _entry_limits.AdmissionLimit(now)
        self._reply_times = _entry_limits.ReplyTimes()
        self._waiting_by_id: dict[str, _pool_jobs.Job] = {}
        self._shutdown_deadline = math.inf
        self._refusals = 0
        self._refused_at = -math.inf

    @property
    def waiting(self) -> int:
        """Return the number of jobs without a dispatched task."""
        return len(self._waiting_by_id)

    def set_shutdown_deadline(self, deadline: float) -> None:
        """Refuse new jobs that can't end before this time (monotonic clock, in seconds)."""
        self._shutdown_deadline = deadline

    def observe(self, now: float, lag_s: float) -> None:
        """Record by how much the event loop is behind its timers; called periodically."""
        self._admission.observe(now, len(self._waiting_by_id), lag_s)
        if self._refusals and now - self._refused_at > REFUSALS_END_S:
            log = loguru.logger.bind(refused=self._refusals)
            log.info("entry accepts all jobs again")
            self._refusals = 0

    def add(self, job: _pool_jobs.Job, now: float) -> Ended | None:
        """Add a new job; return the job that is refused for it, which may be the new one."""
        ended = self.refusal_for(job, now)
        if ended is not None and ended[1].reason == _entry_limits.ENTRY_FULL:
            self._note_refusal(now)
        if ended is None or ended[0] is not job:
            self._admission.record_arrival(job.late_deadline - now)
            self._waiting_by_id[job.id] = job
        return ended

    def refusal_for(self, job: _pool_jobs.Job, now: float) -> Ended | None:
        """Return the job that is to be refused if this one arrives; without any effect."""
        if now + SHUTDOWN_TIME_FACTOR * job.critical_path_s > self._shutdown_deadline:
            return job, _refused(STOPPING, SHUTDOWN_RETRY_AFTER_S)
        if now + job.critical_path_s > job.answer_by:
            return job, _refused(_entry_limits.OUT_OF_TIME, 0.0)
        waiting = len(self._waiting_by_id) + 1
        if waiting <= self._admission.max_waiting():
            return None
        least_urgent = max([*self._waiting_by_id.values(), job], key=urgency)
        after_s = self._admission.retry_after_s(
            waiting,
            least_urgent.submission.route.priority,
            least_urgent.latest_start - now,
            self._rng.random(),
        )
        return least_urgent, _refused(_entry_limits.ENTRY_FULL, after_s)

    def record_placement(self, job: _pool_jobs.Job, now: float) -> None:
        """Record a placement that arrived for a job."""
        if not job.has_dispatched:
            self._reply_times.record(now - job.requested_at, now)

    def record_start(self, job: _pool_jobs.Job) -> None:
        """Record that a task of a job is dispatched."""
        if self._waiting_by_id.pop(job.id, None) is not None:
            self._admission.record_start()

    def remove(self, job: _pool_jobs.Job) -> None:
        """Remove a job that has ended."""
        self._waiting_by_id.pop(job.id, None)

    def due(self, jobs: Iterable[_pool_jobs.Job], now: float) -> Iterator[Ended]:
        """Yield the jobs for which waiting on can't help, with their answers."""
        reply_s = self._reply_times.allowance_s(now)
        for job in jobs:
            if now > job.answer_by:
                yield job, give_up(job, DEADLINE)
            elif now + job.critical_path_s > job.answer_by and (
                now + job.remaining_s(now) > job.answer_by
            ):
                yield job, give_up(job, _entry_limits.OUT_OF_TIME)
            elif not job.has_dispatched and now > _reply_due_at(job, reply_s):
                after_s = _entry_limits.spread_s(reply_s, self._rng.random())
                yield job, _refused(_entry_limits.NO_REPLY, after_s)

    def waiting_by_route(self) -> dict[str, int]:
        """Return, by route, the number of jobs without a dispatched task."""
        names = (job.submission.route.name for job in self._waiting_by_id.values())
        return dict(collections.Counter(names))

    def _note_refusal(self, now: float) -> None:
        if not self._refusals:
            limit = round(self._admission.max_waiting())
            log = loguru.logger.bind(waiting=self.waiting, limit=limit)
            log.warning("entry refuses jobs on arrival")
        self._refusals += 1
        self._refused_at = now


def give_up(job: _pool_jobs.Job, reason: str) -> _pool_jobs.Answer:
    """Return the answer for a job that can't be completed; it tells whether it may have run."""
    outcome = _pool_jobs.Outcome.GIVEN_UP if job.has_dispatched else _pool_jobs.Outcome.REFUSED
    return _pool_jobs.Answer(outcome, reason)


def urgency(job: _pool_jobs.Job) -> tuple[int, float]:
    """Return the position of a job among those that wait, the most urgent first."""
    return (job.submission.route.priority, job.latest_start)


def _refused(reason: str, retry_after_s: float) -> _pool_jobs.Answer:
    return _pool_jobs.Answer(_pool_jobs.Outcome.REFUSED, reason, retry_after_s)


def _reply_due_at(job: _pool_jobs.Job, reply_s: float) -> float:
    half_time = job.answer_by - CHECK_INTERVAL_S - job.submission.wait_s / 2
    return _entry_limits.reply_due_at(
        job.requested_at, job.latest_start, job.late_deadline, half_time, reply_s
    )
