"""Time bounds that keep two runs of one task apart, in seconds on the steady clock.

The chain of bounds: an agent that hears nothing from an entry stops that entry's tasks; if a
stop is not confirmed it withholds the lease renewal, and the runner ends the task by itself.
The sum is shorter than the time after which a caller sends a lost job again, so the second
attempt can start without asking who ran the first one.
"""

import attrs

# Longest lease that is asked for; several renewals fit into it.
LONGEST_LEASE_S = 0.55
# Parts of the caller's resend time that the silence limit and the lease may take.
SILENCE_PART = 0.34
LEASE_PART = 0.42
LONGEST_SILENCE_S = 0.45
# A runner's clock may be this much slow (the platform's protocol page).
CLOCK_DRIFT = 1.02
# Times that a runner's stop takes at most, until a stop counts as not confirmed.
STOPS_PER_LIMIT = 2
STOPPING_MARGIN_S = 0.01
# Covers timers that fire late and messages on their way.
MARGIN_S = 0.06


@attrs.frozen
class Bounds:
    """Limits of one deployment; `gone_s` is the sum after which a task can't run any more."""

    lease_s: float
    heartbeat_timeout_s: float
    stop_timeout_s: float

    @property
    def max_stopping_s(self) -> float:
        """Return the time that a run may go on, in none of the lists, after its stop began."""
        return self.stop_timeout_s / STOPS_PER_LIMIT * CLOCK_DRIFT + STOPPING_MARGIN_S

    @property
    def fenced_after_s(self) -> float:
        """Return the time from an entry's last heartbeat to the certain end of its tasks."""
        return (
            self.heartbeat_timeout_s + self.stop_timeout_s + self.lease_s * CLOCK_DRIFT + MARGIN_S
        )


def derive(longest_lease_s: float, stop_timeout_s: float, resend_s: float) -> Bounds:
    """Return the bounds for a runner's longest lease, its stop time and the callers' resend time.

    Raises `ValueError` if the resend time leaves no room for them.
    """
    bounds = Bounds(
        lease_s=min(LONGEST_LEASE_S, longest_lease_s, LEASE_PART * resend_s),
        heartbeat_timeout_s=min(LONGEST_SILENCE_S, SILENCE_PART * resend_s),
        stop_timeout_s=STOPS_PER_LIMIT * stop_timeout_s,
    )
    if bounds.fenced_after_s > resend_s:
        raise ValueError(
            f"a task may run {bounds.fenced_after_s:.2f} s after its entry was lost, "
            f"but callers send again after {resend_s:.2f} s"
        )
    return bounds
