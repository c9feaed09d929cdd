"""Metrics of the pool dispatcher; labels take values of closed lists only."""

from daisyfall.process import _metric_families

# Bounds of histograms in seconds, from one network hop to the longest deadline.
_SECONDS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
# Distinct values of one label; more than any closed list of reasons has.
MAX_LABEL_VALUES = 40


class PoolMetrics(_metric_families.MetricFamilies):
    """All metrics of one entry or agent."""

    def __init__(self):
        super().__init__(MAX_LABEL_VALUES)
        self._answers = self._counter("pool_answers", "Answers to callers by outcome", "outcome")
        self._retries = self._counter("pool_retries", "Tasks placed again by reason", "reason")
        self._refusals = self._counter("pool_refusals", "Jobs refused by reason", "reason")
        self._ends = self._counter("pool_task_ends", "Task ends at this agent", "how")
        self._starts = self._counter("pool_start_answers", "Answers to start orders", "answer")
        self._holds = self._counter("pool_failed_renewals", "Failed lease renewals", "reason")
        self._store_errors = self._counter("pool_store_errors", "Failed store calls", "reason")
        self._latency = self._histogram(
            "pool_answer_seconds", "Time to the answer", _SECONDS, "outcome"
        )
        self._first_start = self._histogram(
            "pool_first_start_seconds", "Time to the first order", _SECONDS
        )
        self._gauges = self._gauge("pool_state", "State by quantity", "quantity")
        self._dropped_lines = self._counter("pool_dropped_log_lines", "Log lines over the budget")

    def observe_answer(self, outcome: str, seconds: float) -> None:
        """Count one answer and its time since the request was read."""
        self._bounded(self._answers, outcome).inc()
        self._bounded(self._latency, outcome).observe(seconds)

    def observe_first_start(self, seconds: float) -> None:
        """Record the time from a request to the first order of a task."""
        self._first_start.observe(seconds)

    def count_retries(self, reason: str) -> None:
        """Count one task that is placed again."""
        self._bounded(self._retries, reason).inc()

    def count_refusal(self, reason: str) -> None:
        """Count one refused job."""
        self._bounded(self._refusals, reason).inc()

    def count_task_end(self, how: str) -> None:
        """Count one end of a task, refusals of the agent included."""
        self._bounded(self._ends, how).inc()

    def count_start_answer(self, answer: str) -> None:
        """Count one answer of the runner to a start order."""
        self._bounded(self._starts, answer).inc()

    def count_renewal_failure(self, reason: str) -> None:
        """Count one failed renewal of the leases."""
        self._bounded(self._holds, reason).inc()

    def count_store_error(self, reason: str) -> None:
        """Count one failed call to the store."""
        self._bounded(self._store_errors, reason).inc()

    def count_dropped_lines(self, count: int) -> None:
        """Count log lines that were over the budget."""
        self._dropped_lines.inc(count)

    def set_state(self, **value_by_quantity: float) -> None:
        """Set gauges such as `queued` or `configuration_version`."""
        for quantity, value in value_by_quantity.items():
            self._gauges.labels(quantity).set(value)
