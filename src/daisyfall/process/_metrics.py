"""Prometheus metrics of one process; the number of values of each label is bounded.

All names of metrics are defined in this module and listed in `docs/metrics.md`.
"""

from collections.abc import Callable

import prometheus_client as prometheus

from daisyfall import errors
from daisyfall.process import _metric_families

# Most distinct values of one label. Exceeds the number of reasons that any label can have.
MAX_LABEL_VALUES = 32

OUTCOMES = ("done", "failed", "not_started", "lost", "evicted")
TABLE_OPERATIONS = ("read", "transact")
TABLE_ERRORS = ("unavailable", "unknown", "conflict")
UPSTREAM_STATES = ("ready", "not_ready")

_TIME_BUCKETS = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
# Buckets are finest around the targets: 1.05 at p50 and 1.3 at p99.
_RATIO_BUCKETS = (1.0, 1.02, 1.05, 1.1, 1.2, 1.3, 1.5, 2.0, 3.0, 5.0, 10.0)


class Metrics(_metric_families.MetricFamilies):
    """All metrics of one process."""

    def __init__(self):
        super().__init__(MAX_LABEL_VALUES)
        prometheus.ProcessCollector(registry=self.registry)
        self._create_counters()
        self._create_histograms()
        self._create_gauges()
        self._create_agent_metrics()

    def _create_counters(self) -> None:
        self._refusals = self._counter("refusals", "Refusals and failures by error kind", "kind")
        self._retries = self._counter("retries", "Tasks sent again by reason", "reason")
        self._wasted_messages = self._counter(
            "wasted_messages", "Wasted messages by reason", "reason"
        )
        self._task_starts = self._counter("starts", "Task starts ordered or executed")
        self._results = self._counter("results", "Task results by outcome", "outcome")
        self._table_errors = self._counter("table_errors", "Failed table calls by effect", "effect")
        self._epochs_activated = self._counter(
            "epochs_activated", "Shard epochs activated by this process"
        )
        for kind in errors.Kind:
            self._refusals.labels(kind.value)
        for outcome in OUTCOMES:
            self._with_label(self._results, outcome)
        for effect in TABLE_ERRORS:
            self._with_label(self._table_errors, effect)

    def _create_histograms(self) -> None:
        self._queue_time = self._histogram(
            "queue_seconds",
            "Time from the admission of a job to each of its start messages",
            _TIME_BUCKETS,
        )
        self._response_ratio = self._histogram(
            "response_over_ideal", "Response time of complete jobs over the ideal", _RATIO_BUCKETS
        )
        self._table_time = self._histogram(
            "table_seconds", "Time of one table call by operation", _TIME_BUCKETS, "operation"
        )
        for operation in TABLE_OPERATIONS:
            self._with_label(self._table_time, operation)

    def _create_gauges(self) -> None:
        self._lists_version = self._gauge("lists_version", "Version of the lists in force here")
        self._known_epochs = self._gauge("epochs", "Shards of which this process knows an epoch")
        self._owned_shards = self._gauge("owned_shards", "Shards that this entry owns")
        self._roster_size = self._gauge("roster_size", "Entries in the roster")
        self._lease_margin = self._gauge(
            "lease_margin_seconds", "Time until the lease runs out; negative without a lease"
        )
        self._upstreams = self._gauge("upstreams", "Upstreams by state", "state")
        self._jobs = self._gauge("jobs", "Jobs in memory, finished ones included")
        for state in UPSTREAM_STATES:
            self._with_label(self._upstreams, state)

    def _create_agent_metrics(self) -> None:
        self._starts_refused = self._counter(
            "starts_refused", "Start messages refused by an agent, by reason", "reason"
        )
        self._link_failures = self._counter(
            "link_failures", "Links to entries that failed, by step", "step"
        )
        self._links = self._gauge("links", "Live links to entries")
        self._ledger = self._gauge("ledger", "Jobs, results and bytes in the ledger", "what")
        self._tasks = self._gauge("agent_tasks", "Tasks at the agent, by state", "state")

    def count_refusal(self, kind: errors.Kind) -> None:
        """Count one refusal or failure."""
        self._refusals.labels(kind.value).inc()

    def count_retries(self, reason: str, tasks: int = 1) -> None:
        """Count tasks that are sent again because they certainly did not start."""
        self._with_label(self._retries, reason).inc(tasks)

    def count_wasted_messages(self, reason: str, messages: int = 1) -> None:
        """Count messages other than starts, results, submissions, answers and heartbeats."""
        self._with_label(self._wasted_messages, reason).inc(messages)

    def count_task_starts(self, tasks: int) -> None:
        """Count task starts."""
        self._task_starts.inc(tasks)

    def count_results(self, outcome: str, tasks: int = 1) -> None:
        """Count task results."""
        self._with_label(self._results, outcome).inc(tasks)

    def observe_queue_time(self, seconds: float) -> None:
        """Record the time between a job's admission and one of its start messages."""
        self._queue_time.observe(seconds)

    def observe_response_ratio(self, ratio: float) -> None:
        """Record the ratio of a complete job's response time to its ideal response time."""
        self._response_ratio.observe(ratio)

    def observe_table_call(self, operation: str, seconds: float) -> None:
        """Record the duration of one table call, `read` or `transact`."""
        self._with_label(self._table_time, operation).observe(seconds)

    def count_table_error(self, effect: str) -> None:
        """Count a failed table call: `unavailable`, `unknown` or `conflict`."""
        self._with_label(self._table_errors, effect).inc()

    def count_epoch_activation(self) -> None:
        """Count one shard epoch that this process activated."""
        self._epochs_activated.inc()

    def set_lists_version(self, version: int) -> None:
        """Set the version of the lists that this process uses."""
        self._lists_version.set(version)

    def set_known_epochs(self, count: int) -> None:
        """Set the number of shards whose epoch this process knows."""
        self._known_epochs.set(count)

    def set_owned_shards(self, count: int) -> None:
        """Set the number of shards that this entry owns."""
        self._owned_shards.set(count)

    def set_roster_size(self, count: int) -> None:
        """Set the number of entries in the roster."""
        self._roster_size.set(count)

    def track_lease_margin(self, remaining_seconds: Callable[[], float]) -> None:
        """Compute the lease margin with this function at each scrape, so that it is never stale."""
        self._lease_margin.set_function(remaining_seconds)

    def set_upstreams(self, count_by_state: dict[str, int]) -> None:
        """Set the number of upstreams by state; missing states are set to 0."""
        for state in {*UPSTREAM_STATES, *count_by_state}:
            self._with_label(self._upstreams, state).set(count_by_state.get(state, 0))

    def set_jobs_in_memory(self, count: int) -> None:
        """Set the number of jobs in memory."""
        self._jobs.set(count)

    def count_refused_start(self, reason: str) -> None:
        """Count one start message that an agent refused."""
        self._with_label(self._starts_refused, reason).inc()

    def count_link_failure(self, step: str) -> None:
        """Count one link that could not be opened or that violated the protocol."""
        self._with_label(self._link_failures, step).inc()

    def set_links(self, count: int) -> None:
        """Set the number of open links to entries."""
        self._links.set(count)

    def set_agent_state(self, ledger_sizes: dict[str, int], running: int, queued: int) -> None:
        """Set the sizes of the ledger and the number of running and queued tasks."""
        for quantity, value in ledger_sizes.items():
            self._with_label(self._ledger, quantity).set(value)
        self._tasks.labels("running").set(running)
        self._tasks.labels("queued").set(queued)
