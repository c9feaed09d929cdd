"""Evidence on one runner: failures, unanswered orders, slow and stalled tasks.

A runner that fails tasks of several jobs in a row is left out and comes back by one real
task at a time. A slow one stays in use as long as its tasks can still end in time.
"""

import enum

import attrs

# Failures of different jobs without a success in between that take a runner out.
OUT_JOBS = 3
# Faults of the runner itself (stalled task, unanswered order) count more than a failed task.
FAULT_WEIGHT = 1.5
FIRST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 8.0
# Weight of a new slowness reading, and of the usual pace when there is none: a runner that
# gets no tasks because it was slow is tried again after some seconds.
SMOOTHING = 0.5
RECOVERY = 0.3
# A probe that has not ended after this time does not keep the next one away.
PROBE_LIMIT_S = 4.0
LOWEST_SLOWNESS = 0.5
HIGHEST_SLOWNESS = 20.0


class State(enum.Enum):
    """How far a runner may be used."""

    IN = "in"
    OUT = "out"
    PROBE = "probe"


@attrs.define(slots=True, eq=False)
class Evidence:
    """What speaks against one runner."""

    state: State = State.IN
    strikes: float = 0.0
    slowness: float = 1.0
    pause_s: float = FIRST_PAUSE_S
    until: float = 0.0
    _last_job: str = ""

    def accepts_tasks(self, now: float) -> bool:
        """Tell whether the runner may get one more task at time `now`."""
        match self.state:
            case State.IN:
                return True
            case State.OUT | State.PROBE:
                return now >= self.until

    def placed(self, now: float) -> None:
        """Note that a task was placed; on a runner that was out it is the probe."""
        if self.state is not State.IN:
            self.state = State.PROBE
            self.until = now + PROBE_LIMIT_S

    def succeeded(self) -> None:
        """Note a task that ended well."""
        self.strikes = 0.0
        if self.state is State.PROBE:
            self.state = State.IN
            self.pause_s = FIRST_PAUSE_S

    def failed(self, job_id: str, now: float, *, may_leave_out: bool = True) -> None:
        """Note a task that failed; several tasks of one job speak against the job instead."""
        if job_id != self._last_job:
            self._last_job = job_id
            self._strike(1.0, now, may_leave_out)

    def faulted(self, now: float, *, may_leave_out: bool = True) -> None:
        """Note an order that the runner left unanswered, or a task that stands still."""
        self._strike(FAULT_WEIGHT, now, may_leave_out)

    def update_slowness(self, pace: float) -> None:
        """Take the median of run times over the expected ones, 0 if it is not known."""
        if pace <= 0:
            self.slowness += RECOVERY * (1.0 - self.slowness)
            return
        pace = min(max(pace, LOWEST_SLOWNESS), HIGHEST_SLOWNESS)
        self.slowness += SMOOTHING * (pace - self.slowness)

    def _strike(self, weight: float, now: float, may_leave_out: bool) -> None:
        self.strikes += weight
        if self.state is State.PROBE:
            self.pause_s = min(2 * self.pause_s, LONGEST_PAUSE_S)
            self._leave_out(now)
        elif self.state is State.IN and self.strikes >= OUT_JOBS and may_leave_out:
            self._leave_out(now)

    def _leave_out(self, now: float) -> None:
        self.state = State.OUT
        self.until = now + self.pause_s
