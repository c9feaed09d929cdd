"""What the metrics of all processes have in common: names, exposition, and bounded labels."""

import prometheus_client as prometheus

# The creation times would double the size of each scrape and nothing reads them.
prometheus.disable_created_metrics()

LONGEST_LABEL_CHARACTERS = 48
OTHER = "other"


class MetricFamilies:
    """Base of the classes that hold the metrics of one process.

    A label's value beyond `most_values` distinct ones of a metric is counted as `OTHER`, so
    that texts from other processes can't grow the memory of this one.
    """

    def __init__(self, most_values: int):
        self.registry = prometheus.CollectorRegistry()
        self._most_values = most_values
        self._values_by_metric: dict[str, set[str]] = {}

    def render(self) -> bytes:
        """Return the exposition format."""
        return prometheus.generate_latest(self.registry)

    def _bounded(self, metric, value: str):
        seen = self._values_by_metric.setdefault(metric._name, set())
        if value not in seen:
            if len(seen) >= self._most_values or len(value) > LONGEST_LABEL_CHARACTERS:
                value = OTHER
            seen.add(value)
        return metric.labels(value)

    def _counter(self, name: str, text: str, *labels: str) -> prometheus.Counter:
        return prometheus.Counter(f"daisyfall_{name}", text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str, *labels: str) -> prometheus.Gauge:
        return prometheus.Gauge(f"daisyfall_{name}", text, labels, registry=self.registry)

    def _histogram(
        self, name: str, text: str, buckets: tuple[float, ...], *labels: str
    ) -> prometheus.Histogram:
        return prometheus.Histogram(
            f"daisyfall_{name}", text, labels, buckets=buckets, registry=self.registry
        )
