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
        self._add_agent_metrics()

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

    # Agent.

    def _add_agent_metrics(self) -> None:
        self._starts_refused = self._counter(
            "starts_refused", "start messages refused by an agent, by reason", ["reason"]
        )
        self._link_failures = self._counter(
            "link_failures", "links to entries that failed, by step", ["step"]
        )
        self._links = self._gauge("links", "live links to entries")
        self._ledger = self._gauge("ledger", "jobs, results and bytes in the ledger", ["what"])
        self._tasks = self._gauge("agent_tasks", "tasks at the agent, by state", ["state"])

    def start_refused(self, reason: str) -> None:
        """Count one start message that an agent refused."""
        self._starts_refused.labels(reason).inc()

    def link_failed(self, step: str) -> None:
        """Count one link that could not be opened or broke the protocol."""
        self._link_failures.labels(step).inc()

    def links(self, count: int) -> None:
        """Show the number of live links to entries."""
        self._links.set(count)

    def agent(self, value_by_what: dict[str, int], running: int, queued: int) -> None:
        """Show the ledger's sizes and the tasks at the agent."""
        for what, value in value_by_what.items():
            self._ledger.labels(what).set(value)
        self._tasks.labels("running").set(running)
        self._tasks.labels("queued").set(queued)

    def _gauge(self, name: str, text: str, labels: list[str] | None = None) -> prometheus.Gauge:
        return prometheus.Gauge(f"daisyfall_{name}", text, labels or [], registry=self.registry)
