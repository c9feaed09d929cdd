"""Base of the metrics classes: name prefix, exposition format, and bounded label values."""

import prometheus_client as prometheus

# The creation times are not used and would double the size of each scrape.
prometheus.disable_created_metrics()

MAX_LABEL_LENGTH = 48
OTHER = "other"


class MetricFamilies:
    """Base of the classes that hold the metrics of one process.

    A metric has at most `max_label_values` distinct label values; further ones, and those that
    are too long, are counted as `OTHER`. This bounds the memory that values received from
    other processes can use.
    """

    def __init__(self, max_label_values: int):
        self.registry = prometheus.CollectorRegistry()
        self._max_label_values = max_label_values
        self._values_by_metric: dict[str, set[str]] = {}
        self._internal_errors = self._counter(
            "internal_errors", "Unexpected errors that were passed over", "where"
        )

    def count_internal_error(self, where: str) -> None:
        """Count one unexpected error that did not end the process."""
        self._with_label(self._internal_errors, where).inc()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus exposition format."""
        return prometheus.generate_latest(self.registry)

    def _with_label(self, metric, value: str):
        known_values = self._values_by_metric.setdefault(metric._name, set())
        if value not in known_values:
            if len(known_values) >= self._max_label_values or len(value) > MAX_LABEL_LENGTH:
                value = OTHER
            known_values.add(value)
        return metric.labels(value)

    def _counter(self, name: str, help_text: str, *labels: str) -> prometheus.Counter:
        return prometheus.Counter(f"daisyfall_{name}", help_text, labels, registry=self.registry)

    def _gauge(self, name: str, help_text: str, *labels: str) -> prometheus.Gauge:
        return prometheus.Gauge(f"daisyfall_{name}", help_text, labels, registry=self.registry)

    def _histogram(
        self, name: str, help_text: str, buckets: tuple[float, ...], *labels: str
    ) -> prometheus.Histogram:
        return prometheus.Histogram(
            f"daisyfall_{name}", help_text, labels, buckets=buckets, registry=self.registry
        )
