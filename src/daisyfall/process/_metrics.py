"""Metrics of one process; labels take bounded values only."""

import prometheus_client as prometheus

from daisyfall import errors


class Metrics:
    """The registry of one process and the counters in it."""

    def __init__(self):
        self.registry = prometheus.CollectorRegistry()
        self._refusals = self._counter("refusals", "refusals and failures by error kind", ["kind"])
        self._retries = self._counter("retries", "tasks sent again by reason", ["reason"])
        self._wasted = self._counter("wasted_messages", "wasted messages by reason", ["reason"])
        self._starts = self._counter("starts", "task starts ordered or executed", [])
        self._results = self._counter("results", "task results by outcome", ["outcome"])
        for kind in errors.Kind:
            self._refusals.labels(kind.value)

    def refused(self, kind: errors.Kind) -> None:
        """Count one refusal or failure."""
        self._refusals.labels(kind.value).inc()

    def retried(self, reason: str, tasks: int = 1) -> None:
        """Count tasks that are sent again because they provably did not start."""
        self._retries.labels(reason).inc(tasks)

    def wasted(self, reason: str, messages: int = 1) -> None:
        """Count messages that are no start, result, submission, answer or heartbeat."""
        self._wasted.labels(reason).inc(messages)

    def started(self, tasks: int) -> None:
        """Count task starts."""
        self._starts.inc(tasks)

    def finished(self, outcome: str, tasks: int = 1) -> None:
        """Count task results."""
        self._results.labels(outcome).inc(tasks)

    def render(self) -> bytes:
        """Return the exposition format."""
        return prometheus.generate_latest(self.registry)

    def _counter(self, name: str, text: str, labels: list[str]) -> prometheus.Counter:
        return prometheus.Counter(f"daisyfall_{name}", text, labels, registry=self.registry)
