"""Runs and start orders at one runner, and their ends."""

import enum

import attrs

from daisyfall import _pool_wire
from daisyfall.policy import _stragglers
from daisyfall.process import _leased_runner


class Phase(enum.Enum):
    """State of a run that may use capacity; `UNANSWERED`: its start order was not answered."""

    STARTING = "starting"
    RUNNING = "running"
    UNANSWERED = "unanswered"
    STOPPING = "stopping"


@attrs.define(slots=True, eq=False)
class Run:
    """One run; `entry` is the id and incarnation of the entry that ordered it.

    `missing_since` is when the first lists without the run arrived, 0 if it is listed. A
    `stop_reason` marks the run for stopping. `remote_factor` is how much longer the task
    takes here than on its preferred rack.
    """

    order: _pool_wire.RunTask
    entry: str
    number: int
    phase: Phase
    ordered_at: float
    lease_until: float = 0.0
    started_at: float = 0.0
    progress: _stragglers.TaskProgress | None = None
    progressed_at: float = 0.0
    missing_since: float = 0.0
    stop_reason: str = ""
    stop_since: float = 0.0
    stop_sent_at: float = 0.0
    remote_factor: float = 1.0

    @property
    def task(self) -> str:
        """Return the task's name."""
        return self.order.task

    @property
    def expected_ms(self) -> float:
        """Return the expected run time here, on a runner of usual speed."""
        return self.order.expected_ms * self.remote_factor

    @property
    def may_move(self) -> bool:
        """Return whether the run may be ended here so that its task is placed elsewhere."""
        return self.phase is Phase.RUNNING and not self.stop_reason and self.order.may_reschedule

    def may_start(self, now: float) -> bool:
        """Return whether the runner may still carry out the start order."""
        is_unanswered = self.phase is Phase.UNANSWERED and now <= self.lease_until
        return is_unanswered or self.phase is Phase.STARTING


@attrs.define(slots=True, eq=False)
class QueuedOrder:
    """A start order that waits for capacity until `expires_at`."""

    order: _pool_wire.RunTask
    entry: str
    expires_at: float


@attrs.frozen
class RunEnd:
    """The end of a run, to be reported to its entry.

    `how` is an outcome that the runner listed, or one of the agent's reasons below.
    """

    order: _pool_wire.RunTask
    entry: str
    how: str
    run_ms: float
    remote_factor: float = 1.0

    @property
    def slowdown(self) -> float:
        """Return the run time over the expected one if the task is done, else 0."""
        if self.how != DONE or not self.order.expected_ms:
            return 0.0
        return self.run_ms / (self.order.expected_ms * self.remote_factor)


DONE = _leased_runner.RunOutcome.DONE.value
# The agent's reasons for the end of a run or the refusal of an order.
NO_RUNNER = "no_runner"
NO_ROOM = "no_room"
STEP_LIMIT = "step_limit"  # as many tasks of the step as allowed are at the runner
DELAYED = "delayed"  # the order was held up on its way
EVACUATED = "evacuated"  # the runner's data centre is evacuated
DRAINING = "draining"
UNHEALTHY = "unhealthy"
UNANSWERED = "unanswered"
STALLED = "stalled"
STRAGGLING = "straggling"
LEAVING = "leaving"  # the runner leaves before the task would end
LOST = "lost"
CRASHED = "crashed"  # the runner crashed, or was replaced without leaving
CANCELLED = "cancelled"
