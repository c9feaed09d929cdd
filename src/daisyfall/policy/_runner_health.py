"""Health of one runner, by outlier detection and a circuit breaker.

A runner that fails tasks of several jobs in a row is ejected: it gets no tasks for a time that
grows with each ejection, then one task as a probe, and more once the probe succeeds. A slow
runner stays in use; the placement prefers faster ones.
"""

import enum

import attrs

# Failure score that ejects a runner: failures of this many jobs without a success in between.
EJECTION_SCORE = 3
# Faults of the runner itself (stalled task, unanswered order) count more than a failed task.
FAULT_WEIGHT = 1.5
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
# Weights of the exponential moving average of the slowness: for a new measurement, and for the
# return to 1.0 when there is none. A runner that gets no tasks because it was slow is therefore
# tried again after some seconds.
SLOWNESS_SMOOTHING = 0.5
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


@attrs.define(slots=True, eq=False)
class RunnerHealth:
    """Failure score, slowness and circuit breaker state of one runner.

    `next_probe_at` is when a runner that is not healthy may get its next task.
    """

    state: State = State.HEALTHY
    failure_score: float = 0.0
    slowness: float = 1.0
    ejection_s: float = MIN_EJECTION_S
    next_probe_at: float = 0.0
    _last_failed_job: str = ""

    def accepts_tasks(self, now: float) -> bool:
        """Return whether one more task may be placed on the runner."""
        match self.state:
            case State.HEALTHY:
                return True
            case State.EJECTED | State.PROBING:
                return now >= self.next_probe_at

    def record_placement(self, now: float) -> None:
        """Record that a task was placed; on an ejected runner it is the probe."""
        if self.state is not State.HEALTHY:
            self.state = State.PROBING
            self.next_probe_at = now + PROBE_TIMEOUT_S

    def record_success(self) -> None:
        """Record a task that succeeded."""
        self.failure_score = 0.0
        if self.state is State.PROBING:
            self.state = State.HEALTHY
            self.ejection_s = MIN_EJECTION_S

    def record_failure(self, job_id: str, now: float, *, may_eject: bool = True) -> None:
        """Record a failed task.

        Consecutive failures of one job count once, since they indicate a fault of the job.
        """
        if job_id != self._last_failed_job:
            self._last_failed_job = job_id
            self._add_failure(1.0, now, may_eject)

    def record_fault(self, now: float, *, may_eject: bool = True) -> None:
        """Record a fault of the runner: an unanswered order or a task without progress."""
        self._add_failure(FAULT_WEIGHT, now, may_eject)

    def update_slowness(self, slowdown: float) -> None:
        """Add the median of run times over the expected ones, 0 if it is not known."""
        if slowdown <= 0:
            self.slowness += SLOWNESS_DECAY * (1.0 - self.slowness)
            return
        slowdown = min(max(slowdown, MIN_SLOWNESS), MAX_SLOWNESS)
        self.slowness += SLOWNESS_SMOOTHING * (slowdown - self.slowness)

    def _add_failure(self, weight: float, now: float, may_eject: bool) -> None:
        self.failure_score += weight
        if self.state is State.PROBING:
            self.ejection_s = min(2 * self.ejection_s, MAX_EJECTION_S)
            self._eject(now)
        elif self.state is State.HEALTHY and self.failure_score >= EJECTION_SCORE and may_eject:
            self._eject(now)

    def _eject(self, now: float) -> None:
        self.state = State.EJECTED
        self.next_probe_at = now + self.ejection_s
