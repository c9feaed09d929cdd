"""Metrics whose Prometheus library is imported when they are first read.

The import takes a tenth of the processor time of a start, during which nothing is served. Until
then, and afterwards, a metric is a plain number by label value.
"""

import bisect
from collections.abc import Callable, Iterator

import attrs

from daisyfall.process import _metric_labels


@attrs.define(eq=False, repr=False)
class Counter:
    """Counter with at most one label, which has at most `max_label_values` and `OTHER`."""

    name: str
    help_text: str
    label: str = ""
    max_label_values: int = 1
    count_by_value: dict[str, float] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Count from 0; a metric with a label has no sample before its first count."""
        self.count_by_value = {} if self.label else {"": 0.0}

    def add(self, value: str = "", count: float = 1.0) -> None:
        """Count under a label value."""
        value = _metric_labels.bounded(value, self.count_by_value, self.max_label_values)
        self.count_by_value[value] = self.count_by_value.get(value, 0.0) + count


@attrs.define(eq=False, repr=False)
class Histogram:
    """Histogram in seconds with at most one label; its values must be of a fixed set."""

    name: str
    help_text: str
    bounds: tuple[float, ...]
    label: str = ""
    _counts_by_value: dict[str, list[int]] = attrs.field(init=False)
    _sum_by_value: dict[str, float] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Start without values; a histogram with a label has no sample before its first value."""
        self._counts_by_value = {} if self.label else {"": [0] * (len(self.bounds) + 1)}

    def observe(self, seconds: float, value: str = "") -> None:
        """Add a measured time under a label value."""
        counts = self._counts_by_value.get(value)
        if counts is None:
            counts = self._counts_by_value[value] = [0] * (len(self.bounds) + 1)
        counts[bisect.bisect_left(self.bounds, seconds)] += 1
        self._sum_by_value[value] = self._sum_by_value.get(value, 0.0) + seconds

    def rows(self) -> Iterator[tuple[str, list[tuple[str, float]], float]]:
        """Yield, for each label value, the cumulative buckets and the sum."""
        for value, counts in self._counts_by_value.items():
            total = 0
            buckets = []
            for bound, count in zip((*self.bounds, float("inf")), counts, strict=True):
                total += count
                buckets.append(("+Inf" if bound == float("inf") else str(bound), total))
            yield value, buckets, self._sum_by_value.get(value, 0.0)


@attrs.define(eq=False, repr=False)
class Gauges:
    """Gauges by quantity; `read` returns their present values."""

    name: str
    help_text: str
    label: str
    read: Callable[[], dict[str, float]]


class DeferredMetrics:
    """Base of a class that holds the metrics of one process, in the order of their creation."""

    def __init__(self, max_label_values: int):
        self._max_label_values = max_label_values
        self._metrics: list[Counter | Histogram | Gauges] = []
        self._registry = None
        self._internal_errors = self._counter(
            "internal_errors", "Unexpected errors that were passed over", "where"
        )

    @property
    def registry(self):
        """Return the Prometheus registry of all metrics."""
        if self._registry is None:
            import prometheus_client

            self._registry = prometheus_client.CollectorRegistry()
            self._registry.register(self)
        return self._registry

    def count_internal_error(self, where: str) -> None:
        """Count one unexpected error that did not end the process."""
        self._internal_errors.add(where)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus exposition format."""
        registry = self.registry
        import prometheus_client

        return prometheus_client.generate_latest(registry)

    def collect(self):
        """Yield the metric families, as Prometheus expects of a collector."""
        from prometheus_client import core

        for metric in self._metrics:
            labels = [metric.label] if metric.label else []
            match metric:
                case Counter():
                    family = core.CounterMetricFamily(metric.name, metric.help_text, labels=labels)
                    for value, count in metric.count_by_value.items():
                        family.add_metric([value] if labels else [], count)
                case Histogram():
                    family = core.HistogramMetricFamily(
                        metric.name, metric.help_text, labels=labels
                    )
                    for value, buckets, total in metric.rows():
                        family.add_metric([value] if labels else [], buckets, total)
                case Gauges():
                    family = core.GaugeMetricFamily(metric.name, metric.help_text, labels=labels)
                    for value, quantity in metric.read().items():
                        family.add_metric([value], quantity)
            yield family

    def _counter(self, name: str, help_text: str, label: str = "") -> Counter:
        return self._add(
            Counter(_metric_labels.PREFIX + name, help_text, label, self._max_label_values)
        )

    def _histogram(
        self, name: str, help_text: str, bounds: tuple[float, ...], label: str = ""
    ) -> Histogram:
        return self._add(Histogram(_metric_labels.PREFIX + name, help_text, bounds, label))

    def _gauges(self, name: str, help_text: str, label: str, read) -> Gauges:
        return self._add(Gauges(_metric_labels.PREFIX + name, help_text, label, read))

    def _add(self, metric):
        self._metrics.append(metric)
        return metric
