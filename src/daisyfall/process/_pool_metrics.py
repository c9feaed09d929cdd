"""Prometheus metrics of the pool dispatcher; labels take values of fixed sets only."""

from collections.abc import Callable

from daisyfall.process import _deferred_metrics

# Histogram buckets in seconds, from one network hop to the longest deadline.
_TIME_BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
# Most distinct values of one label. Exceeds the number of reasons that any label can have.
MAX_LABEL_VALUES = 40


class PoolMetrics(_deferred_metrics.DeferredMetrics):
    """All metrics of one entry or agent."""

    def __init__(self):
        super().__init__(MAX_LABEL_VALUES)
        self._answers = self._counter("pool_answers", "Answers to callers by outcome", "outcome")
        self._retries = self._counter("pool_retries", "Tasks placed again by reason", "reason")
        self._refusals = self._counter("pool_refusals", "Jobs refused by reason", "reason")
        self._task_ends = self._counter("pool_task_ends", "Task ends at this agent", "how")
        self._start_answers = self._counter(
            "pool_start_answers", "Answers to start orders", "answer"
        )
        self._renewal_failures = self._counter(
            "pool_failed_renewals", "Failed lease renewals", "reason"
        )
        self._ignored_heartbeats = self._counter(
            "pool_ignored_heartbeats", "Runners' heartbeats that are not used", "reason"
        )
        self._store_errors = self._counter("pool_store_errors", "Failed store calls", "reason")
        self._link_errors = self._counter(
            "pool_link_errors", "Rejected handshakes and messages of peers", "reason"
        )
        self._latency = self._histogram(
            "pool_answer_seconds", "Time to the answer", _TIME_BUCKETS, "outcome"
        )
        self._first_start = self._histogram(
            "pool_first_start_seconds", "Time to the first order", _TIME_BUCKETS
        )
        self._state = self._gauges("pool_state", "State by quantity", "quantity", dict)
        self._dropped_lines = self._counter("pool_dropped_log_lines", "Log lines over the budget")

    def observe_answer(self, outcome: str, seconds: float) -> None:
        """Count one answer and record the time since its request was read."""
        self._answers.add(outcome)
        self._latency.observe(seconds, outcome)

    def observe_first_start(self, seconds: float) -> None:
        """Record the time between a request and the first start order of its tasks."""
        self._first_start.observe(seconds)

    def count_retries(self, reason: str) -> None:
        """Count one task that is placed again after a failed attempt."""
        self._retries.add(reason)

    def count_refusal(self, reason: str) -> None:
        """Count one refused job."""
        self._refusals.add(reason)

    def count_task_end(self, outcome: str) -> None:
        """Count one ended task; refusals by the agent are included."""
        self._task_ends.add(outcome)

    def count_start_answer(self, answer: str) -> None:
        """Count one answer of the runner to a start order."""
        self._start_answers.add(answer)

    def count_renewal_failure(self, reason: str) -> None:
        """Count one failed lease renewal."""
        self._renewal_failures.add(reason)

    def count_ignored_heartbeat(self, reason: str) -> None:
        """Count one heartbeat that names no runner to use, or another one than that in use."""
        self._ignored_heartbeats.add(reason)

    def count_store_error(self, reason: str) -> None:
        """Count one failed call to the store."""
        self._store_errors.add(reason)

    def count_link_error(self, reason: str) -> None:
        """Count one rejected handshake or message of a peer."""
        self._link_errors.add(reason)

    def count_dropped_lines(self, count: int) -> None:
        """Count dropped log lines."""
        self._dropped_lines.add("", count)

    def set_state_source(self, describe: Callable[[], dict[str, float]]) -> None:
        """Set the function that returns gauges such as `queued` or `configuration_version`."""
        self._state.read = describe
