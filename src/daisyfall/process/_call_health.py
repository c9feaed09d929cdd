"""How a runner answers calls: their time limit, and whether it gets tasks at present."""

# A call times out after this multiple of the mean latency, clamped to the range.
TIMEOUT_FACTOR = 8.0
TIMEOUT_RANGE_S = (0.05, 0.25)
LATENCY_SMOOTHING = 0.1
# After this many unanswered calls in a row, no tasks are started for UNHEALTHY_PAUSE_S.
UNANSWERED_CALLS_UNTIL_PAUSE = 3
# How long no tasks are started after the runner was unhealthy, unreachable or unresponsive.
UNHEALTHY_PAUSE_S = 0.5


class CallHealth:
    """Latency and failures of the calls to one runner; times in seconds."""

    def __init__(self) -> None:
        self._mean_latency_s = 0.0
        self._unanswered_calls = 0
        self._paused_until = 0.0

    @property
    def timeout_s(self) -> float:
        """Return how long to wait for an answer."""
        min_timeout_s, max_timeout_s = TIMEOUT_RANGE_S
        return min(max(min_timeout_s, TIMEOUT_FACTOR * self._mean_latency_s), max_timeout_s)

    def is_paused(self, now: float) -> bool:
        """Return whether no tasks are started for the moment."""
        return now < self._paused_until

    def record_latency(self, latency_s: float) -> None:
        """Record how long a start order took."""
        self._mean_latency_s += LATENCY_SMOOTHING * (latency_s - self._mean_latency_s)

    def record_answer(self) -> None:
        """Record that the runner has answered."""
        self._unanswered_calls = 0

    def record_unanswered(self, now: float) -> bool:
        """Record a call without an answer; return whether the starts are paused for it.

        A single lost answer does not mean that the runner is unhealthy.
        """
        self._unanswered_calls += 1
        if self._unanswered_calls < UNANSWERED_CALLS_UNTIL_PAUSE:
            return False
        self.pause(now)
        return True

    def pause(self, now: float) -> None:
        """Start no tasks for a while."""
        self._paused_until = now + UNHEALTHY_PAUSE_S
