"""Age of received messages, from the sender's monotonic clock in them.

A message may be held up by a pause of its sender or by the network while the connection stays
open. The clocks of the two hosts differ by an unknown offset, which is estimated from the
messages that arrived fastest; an age is therefore the delay beyond the shortest recent one.
"""

import math

# The shortest delay is taken from the last one to two windows, so that clocks may drift.
WINDOW_S = 30.0


class MessageAge:
    """Measures the age of the messages of one sender."""

    def __init__(self) -> None:
        self._shortest_ms = math.inf
        self._previous_shortest_ms = math.inf
        self._window_started_at = -math.inf

    def measure_s(self, sent_ms: int, now: float) -> float:
        """Return how many seconds a message that arrives now was held up; add it to the window.

        `sent_ms` is the sender's clock; 0 means that it is unknown, and its age counts as 0.
        """
        if not sent_ms:
            return 0.0
        if now - self._window_started_at > WINDOW_S:
            self._previous_shortest_ms, self._shortest_ms = self._shortest_ms, math.inf
            self._window_started_at = now
        delay_ms = now * 1000 - sent_ms
        self._shortest_ms = min(self._shortest_ms, delay_ms)
        return (delay_ms - min(self._shortest_ms, self._previous_shortest_ms)) / 1000
