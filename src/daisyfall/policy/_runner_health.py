"""Health of one runner, by outlier detection and a circuit breaker.

A runner that fails tasks of several jobs in a row, or on which tasks are far behind, is ejected:
it gets no tasks for a time that grows with each ejection, then one task as a probe. Once the probe
has succeeded it gets work back step by step: at most two tasks at a time, then four, and so on. If
too many runners are ejected already, another one stays in use; the placement prefers faster ones.
"""

import enum

import attrs

# Failure score that ejects a runner: failures of this many jobs without a success in between.
EJECTION_SCORE = 3
# Faults of the runner itself (stalled task, unanswered order) count more than a failed task.
FAULT_WEIGHT = 1.5
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
# Tasks at a time that a runner gets after its probe. The number is doubled after as many successes,
# until it exceeds the last of these.
RETURN_LIMITS = (2, 8)
# A runner on which tasks take this many times as long as expected is slow.
SLOW_RUNNER_SLOWNESS = 2.5
# Share by which the slowness returns to 1.0 at each report without a measurement. A runner that
# gets no tasks because it was slow is therefore tried again after some seconds.
SLOWNESS_DECAY = 0.3
# The next probe is allowed after this time even if the last one has not ended.
PROBE_TIMEOUT_S = 4.0
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 20.0


class State(enum.Enum):
    """State of the circuit breaker of a runner."""

    HEALTHY = "in"
    EJECTED = "out"
    PROBING = "probe"
    RETURNING = "returning"


@attrs.define(slots=True, eq=False)
class RunnerHealth:
    """Failure score, slowness and circuit breaker state of one runner.

    `next_probe_at` is when a runner that is not healthy may get its next task. `task_limit` is how
    many tasks a returning runner may have, 0 for no limit.
    """

    state: State = State.HEALTHY
    failure_score: float = 0.0
    slowness: float = 1.0
    ejection_s: float = MIN_EJECTION_S
    next_probe_at: float = 0.0
    task_limit: int = 0
    _last_failed_job: str = ""
    # Tasks that were placed before say nothing about the runner's present state.
    _counts_from: float = float("-inf")
    _successes: int = 0

    @property
    def is_in_use(self) -> bool:
        """Return whether the runner gets more than single probes."""
        return self.state in (State.HEALTHY, State.RETURNING)

    def accepts_tasks(self, now: float) -> bool:
        """Return whether one more task may be placed on the runner."""
        return self.is_in_use or now >= self.next_probe_at

    def record_placement(self, now: float) -> None:
        """Record that a task was placed; on an ejected runner it is the probe."""
        if not self.is_in_use:
            self.state = State.PROBING
            self.next_probe_at = now + PROBE_TIMEOUT_S
            self._counts_from = now

    def record_success(self, placed_at: float = float("inf")) -> None:
        """Record a task that succeeded and was placed at `placed_at`."""
        if placed_at < self._counts_from:
            return
        self.failure_score = 0.0
        match self.state:
            case State.PROBING:
                self.state = State.RETURNING
                self.slowness = 1.0
                self.task_limit, self._successes = RETURN_LIMITS[0], 0
            case State.RETURNING:
                self._successes += 1
                if self._successes >= self.task_limit:
                    self._raise_limit()

    def record_slow_task(self, placed_at: float, now: float) -> None:
        """Record a task that took far longer than expected; a probe has failed by that.

        Elsewhere a single slow task may be due to its estimate.
        """
        if self.state is State.PROBING and placed_at >= self._counts_from:
            self._eject(now, may_eject=True)

    def record_failure(self, job_id: str, now: float, *, may_eject: bool = True) -> None:
        """Record a failed task.

        Consecutive failures of one job count once, since they indicate a fault of the job.
        """
        if job_id != self._last_failed_job:
            self._last_failed_job = job_id
            self._add_failure(1.0, now, may_eject)

    def record_fault(
        self, now: float, *, placed_at: float = float("inf"), may_eject: bool = True
    ) -> None:
        """Record a fault of the runner: an unanswered order or a task without progress.

        Tasks placed before a fault became known may have failed for the same short disturbance,
        so they count with it as one.
        """
        if self.failure_score and placed_at < self._counts_from:
            return
        self._add_failure(FAULT_WEIGHT, now, may_eject)

    def update_slowness(self, slowdown: float, now: float, *, may_eject: bool = True) -> None:
        """Set the median of run times over the expected ones, 0 if it is not known."""
        if slowdown <= 0:
            self.slowness += SLOWNESS_DECAY * (1.0 - self.slowness)
            return
        self.slowness = min(max(slowdown, MIN_SLOWNESS), MAX_SLOWNESS)
        if self.is_slow and self.state is not State.EJECTED:
            self._eject(now, may_eject=may_eject)

    @property
    def is_slow(self) -> bool:
        """Return whether tasks take far longer than expected."""
        return self.slowness >= SLOW_RUNNER_SLOWNESS

    def _add_failure(self, weight: float, now: float, may_eject: bool) -> None:
        if not self.failure_score:
            self._counts_from = max(self._counts_from, now)
        self.failure_score += weight
        is_probe = self.state is State.PROBING
        if is_probe or (self.is_in_use and self.failure_score >= EJECTION_SCORE):
            self._eject(now, may_eject=may_eject)

    def _eject(self, now: float, *, may_eject: bool) -> None:
        """Eject the runner if it is not in use anyway, or if `may_eject`."""
        if self.is_in_use and not may_eject:
            return
        if self.state is not State.HEALTHY:
            self.ejection_s = min(2 * self.ejection_s, MAX_EJECTION_S)
        self.state = State.EJECTED
        self.task_limit = 0
        self.next_probe_at = now + self.ejection_s

    def _raise_limit(self) -> None:
        self.task_limit, self._successes = 2 * self.task_limit, 0
        if self.task_limit > RETURN_LIMITS[1]:
            self.state = State.HEALTHY
            self.task_limit = 0
            self.ejection_s = MIN_EJECTION_S
