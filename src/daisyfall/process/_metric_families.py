"""Base of the metrics classes: name prefix, exposition format, and bounded label values."""

import prometheus_client as prometheus

from daisyfall.process import _metric_labels

# The creation times are not used and would double the size of each scrape.
prometheus.disable_created_metrics()


class MetricFamilies:
    """Base of the classes that hold the metrics of one process.

    A metric has at most `max_label_values` distinct label values; further ones, and those that
    are too long, are counted as `OTHER`.
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
        value = _metric_labels.bounded(value, known_values, self._max_label_values)
        known_values.add(value)
        return metric.labels(value)

    def _counter(self, name: str, help_text: str, *labels: str) -> prometheus.Counter:
        return prometheus.Counter(
            _metric_labels.PREFIX + name, help_text, labels, registry=self.registry
        )

    def _gauge(self, name: str, help_text: str, *labels: str) -> prometheus.Gauge:
        return prometheus.Gauge(
            _metric_labels.PREFIX + name, help_text, labels, registry=self.registry
        )

    def _histogram(
        self, name: str, help_text: str, buckets: tuple[float, ...], *labels: str
    ) -> prometheus.Histogram:
        return prometheus.Histogram(
            _metric_labels.PREFIX + name, help_text, labels, buckets=buckets, registry=self.registry
        )
