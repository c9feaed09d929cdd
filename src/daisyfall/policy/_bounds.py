"""Timeouts that prevent two concurrent runs of one task, in seconds on the monotonic clock.

They run one after the other: an agent whose entry's heartbeats time out stops that entry's
tasks; if a stop is not confirmed in time, the agent stops renewing the lease, and the runner
ends the task when the lease expires. The sum is shorter than the time after which a caller
resends a lost job, so the second attempt can start without finding out who ran the first one.
"""

import attrs

# Longest lease that is requested; long enough for several renewals.
MAX_LEASE_S = 0.55
# Fractions of the callers' resend time that the heartbeat timeout and the lease may take.
HEARTBEAT_TIMEOUT_FRACTION = 0.34
LEASE_FRACTION = 0.42
MAX_HEARTBEAT_TIMEOUT_S = 0.45
# Factor by which a runner's clock may be slow, by the protocol of the platform.
CLOCK_DRIFT = 1.02
# A stop counts as not confirmed after this many times the longest duration of a runner's stop.
STOP_TIMEOUT_FACTOR = 2
STOP_MARGIN_S = 0.01
# Covers timers that fire late and messages in transit.
MARGIN_S = 0.06


@attrs.frozen
class Bounds:
    """Timeouts of one deployment."""

    lease_s: float
    heartbeat_timeout_s: float
    stop_timeout_s: float

    @property
    def max_stopping_s(self) -> float:
        """Return how long a run that is being stopped may be missing from the runner's lists."""
        return self.stop_timeout_s / STOP_TIMEOUT_FACTOR * CLOCK_DRIFT + STOP_MARGIN_S

    @property
    def fenced_after_s(self) -> float:
        """Return how long an entry's tasks can run at most after its last heartbeat."""
        return (
            self.heartbeat_timeout_s + self.stop_timeout_s + self.lease_s * CLOCK_DRIFT + MARGIN_S
        )


def derive(longest_lease_s: float, longest_stop_s: float, resend_s: float) -> Bounds:
    """Return the timeouts for a runner's longest lease and stop, and the callers' resend time.

    Raises `ValueError` if their sum exceeds the resend time.
    """
    bounds = Bounds(
        lease_s=min(MAX_LEASE_S, longest_lease_s, LEASE_FRACTION * resend_s),
        heartbeat_timeout_s=min(MAX_HEARTBEAT_TIMEOUT_S, HEARTBEAT_TIMEOUT_FRACTION * resend_s),
        stop_timeout_s=STOP_TIMEOUT_FACTOR * longest_stop_s,
    )
    if bounds.fenced_after_s > resend_s:
        raise ValueError(
            f"a task may run {bounds.fenced_after_s:.2f} s after its entry was lost, "
            f"but callers send again after {resend_s:.2f} s"
        )
    return bounds
