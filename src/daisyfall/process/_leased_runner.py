"""Interface between a pool agent and its local runner, independent of the wire format.

A leased runner ends all its runs when their lease expires. Times in orders and answers are
milliseconds of the runner's own clock, which differs from the agent's.
"""

import enum
from typing import Protocol

import attrs


class CallOutcome(enum.Enum):
    """Outcome of a call to the runner: a start order or a lease renewal."""

    STARTED = "started"
    NO_ROOM = "no_room"
    LATE = "late"  # the lease in the order had expired
    FENCED = "fenced"  # the runner has seen a higher fencing token
    OLD_RUN = "old_run"  # the runner knows this run number or a higher one of the task
    UNHEALTHY = "unhealthy"  # the runner refused the call; nothing was done
    REJECTED = "rejected"  # the order is malformed
    REPLACED = "replaced"  # another incarnation answers at the address
    UNREACHABLE = "unreachable"  # no connection, so nothing was done
    UNANSWERED = "unanswered"  # the call may have taken effect, or may do so later


class RunOutcome(enum.Enum):
    """How a run ended, according to the runner."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"  # its lease expired
    BROKEN = "broken"


@attrs.frozen
class StartOrder:
    """Order to start one run; the runner rejects it after its lease has expired."""

    task: str
    run: int
    payload: str
    lease_until_ms: int
    token: int


@attrs.frozen
class RunnerIdentity:
    """What stays the same while a runner lives; `id` and `born_ms` identify its incarnation."""

    id: str
    born_ms: int
    pool: str
    address: str


@attrs.frozen
class RunnerHeartbeat:
    """One heartbeat of a runner; see `RunnerIdentity`."""

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

    @property
    def identity(self) -> RunnerIdentity:
        """Return the identity that the heartbeat claims."""
        return RunnerIdentity(self.id, self.born_ms, self.pool, self.address)

    def is_same_incarnation(self, other: "RunnerHeartbeat") -> bool:
        """Return whether both may be from one incarnation."""
        return self.id == other.id and not _differ(self.born_ms, other.born_ms)


@attrs.frozen
class RunProgress:
    """Progress of a run that the runner executes, in percent."""

    task: str
    run: int
    percent: float


@attrs.frozen
class EndedRun:
    """One ended run; `number` counts the ended runs of an incarnation from 1."""

    number: int
    task: str
    run: int
    outcome: RunOutcome


@attrs.frozen
class RunSnapshot:
    """Running and ended runs of the runner at `clock_ms`."""

    clock_ms: float
    born_ms: int
    running: tuple[RunProgress, ...]
    ended: tuple[EndedRun, ...]

    def is_of_other_incarnation(self, heartbeat: RunnerHeartbeat) -> bool:
        """Return whether a runner has answered that was restarted under the same id."""
        return _differ(self.born_ms, heartbeat.born_ms)


@attrs.frozen
class RenewalFailed:
    """A lease renewal that returned no snapshot, and why."""

    reason: CallOutcome


class LeasedRunner(Protocol):
    """Client of one incarnation of a runner; calls wait `timeout_s` for an answer."""

    async def start(self, order: StartOrder, timeout_s: float) -> tuple[CallOutcome, float]:
        """Start a run; return the outcome and the runner's clock in ms, 0 without an answer."""

    async def stop(self, task: str, run: int, token: int, timeout_s: float) -> bool:
        """Stop a run; return whether the runner confirmed the order."""

    async def renew_lease(
        self,
        lease_until_ms: int | None,
        token: int,
        acknowledged: int,
        wait_ms: int,
        timeout_s: float,
    ) -> RunSnapshot | RenewalFailed:
        """Renew the lease of all runs, acknowledge ended runs, and return a snapshot.

        Without `lease_until_ms` the lease is not renewed. Ended runs up to number `acknowledged`
        are dropped from the runner's list. The runner waits at most `wait_ms` for a run to end.
        """


def _differ(born_ms: int, other_born_ms: int) -> bool:
    """Return whether two births are of different incarnations; 0 is a birth that is not known."""
    return bool(born_ms and other_born_ms) and born_ms != other_born_ms
