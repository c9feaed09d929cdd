"""Whether an entry stays in the balancer's rotation for new callers.

Answers a scheduling entry whose processor is saturated. It places the tasks of all entries, so each
caller of its own delays the callers of the others; these can be served by any other entry.
"""

import math

# The entry leaves the rotation above this mean lag of its event loop and returns below the other.
# Jobs of the shortest kinds have some tens of milliseconds until their latest start.
LEAVE_LAG_S = 0.03
RETURN_LAG_S = 0.01
# Time over which the lag is averaged, so that one long iteration doesn't count.
LAG_AVERAGE_S = 0.5
# Shortest time out of the rotation. The balancer takes about as long to notice a change.
MIN_OUT_S = 3.0


class Rotation:
    """State of one entry; times are in seconds on the monotonic clock."""

    def __init__(self, now: float) -> None:
        self.is_in = True
        self._lag_s = 0.0
        self._observed_at = now
        self._left_at = -math.inf

    def observe(self, now: float, lag_s: float, *, may_leave: bool) -> bool:
        """Add a measurement of the event loop's lag; return whether the state has changed.

        Without `may_leave` (the entry doesn't schedule, or no other one is available) it stays in
        the rotation.
        """
        weight = 1.0 - math.exp(-max(now - self._observed_at, 0.0) / LAG_AVERAGE_S)
        self._lag_s += weight * (lag_s - self._lag_s)
        self._observed_at = now
        was_in = self.is_in
        if not may_leave:
            self.is_in = True
        elif self.is_in and self._lag_s > LEAVE_LAG_S:
            self.is_in = False
            self._left_at = now
        elif now - self._left_at > MIN_OUT_S and self._lag_s < RETURN_LAG_S:
            self.is_in = True
        return self.is_in != was_in
