"""What the pool agent asks of the runner beside it, without the names on the wire.

A leased runner ends whatever holds no lease. Its clock is its own; all its times are in
milliseconds of that clock.
"""

import enum
from typing import Protocol

import attrs


class CallOutcome(enum.Enum):
    """Answer of the runner to a start order."""

    STARTED = "started"
    NO_ROOM = "no_room"
    LATE = "late"  # the lease in the order had passed
    FENCED = "fenced"  # another agent with a higher token gives the orders
    OLD_RUN = "old_run"  # a run with this number or a higher one was there
    UNHEALTHY = "unhealthy"  # nothing was done
    REJECTED = "rejected"  # the order is malformed
    REPLACED = "replaced"  # another incarnation answers at the address
    UNREACHABLE = "unreachable"  # no connection, so nothing was done
    UNANSWERED = "unanswered"  # it may have been done, or be done later


class RunOutcome(enum.Enum):
    """How a run ended, as the runner lists it."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"


@attrs.frozen
class StartOrder:
    """Order to start one run; the runner refuses it once its lease has passed."""

    task: str
    run: int
    payload: str
    lease_until_ms: int
    token: int


@attrs.frozen
class RunnerHeartbeat:
    """One heartbeat of a runner; `born_ms` and `id` name its incarnation."""

    id: str
    born_ms: int
    pool: str
    address: str
    cpu: int
    memory_mb: int
    accelerators: int
    labels: tuple[str, ...]
    is_draining: bool
    remaining_ms: int
    sequence: int


@attrs.frozen
class RunProgress:
    """One run on the runner; `percent` is its progress."""

    task: str
    run: int
    percent: float


@attrs.frozen
class EndedRun:
    """One ended run; `number` counts the ends of an incarnation from 1."""

    number: int
    task: str
    run: int
    outcome: RunOutcome


@attrs.frozen
class RunSnapshot:
    """Lists of runs at one moment of the runner's clock."""

    clock_ms: float
    born_ms: int
    running: tuple[RunProgress, ...]
    ended: tuple[EndedRun, ...]


@attrs.frozen
class RenewalFailed:
    """A renewal without lists; `reason` is a `Start` value that says why."""

    reason: CallOutcome


class LeasedRunner(Protocol):
    """Calls to one incarnation of a runner; `limit_s` is how long an answer may take."""

    async def start(self, order: StartOrder, timeout_s: float) -> tuple[CallOutcome, float]:
        """Order a run; return the answer and the runner's clock (0 without one)."""

    async def stop(self, task: str, run: int, token: int, timeout_s: float) -> bool:
        """Order an end; tell whether the runner confirmed it."""

    async def renew_lease(
        self,
        lease_until_ms: int | None,
        token: int,
        acknowledged: int,
        wait_ms: int,
        timeout_s: float,
    ) -> RunSnapshot | RenewalFailed:
        """Renew the lease of all runs, acknowledge ends, and read both lists."""
