"""Lease of all runs at one runner, and the estimate of the runner's clock that it needs."""

from daisyfall.policy import _bounds

# A runner's clock that is further behind its estimate was started anew.
MAX_CLOCK_LAG_MS = 100


def expiry(seconds: float, now: float) -> float:
    """Return when a lease that is requested now has expired, even on a slow clock."""
    return now + seconds * _bounds.CLOCK_DRIFT + _bounds.MARGIN_S


class RunnerLease:
    """Tells when the runs have ended at the latest; times in seconds on the monotonic clock.

    The runner ends all runs by `until` unless the lease is extended.
    """

    def __init__(self) -> None:
        self.until = 0.0
        self._clock_offset_ms = 0.0

    def extend(self, seconds: float, now: float) -> int:
        """Record that a lease is requested; return its end in ms of the runner's clock.

        The estimate of that clock is never ahead of it.
        """
        self.until = max(self.until, expiry(seconds, now))
        return int(now * 1000 + self._clock_offset_ms) + int(seconds * 1000)

    def is_clock_reset(self, clock_ms: float, now: float) -> bool:
        """Return whether an answer to a call that was sent now is from a later incarnation.

        It may answer under the id of the former one; its clock starts anew. `clock_ms` is the clock
        in the answer, 0 if unknown.
        """
        return 0 < clock_ms < now * 1000 + self._clock_offset_ms - MAX_CLOCK_LAG_MS

    def sync_clock(self, clock_ms: float, now: float) -> None:
        """Update the estimate by the clock in an answer that has just arrived."""
        self._clock_offset_ms = clock_ms - now * 1000

    def has_expired(self, now: float) -> bool:
        """Return whether the runner has ended all runs that started before."""
        return now > self.until
