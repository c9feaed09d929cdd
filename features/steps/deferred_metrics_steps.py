"""Steps for the metrics whose library is imported late."""

import subprocess
import sys

import prometheus_client
from behave import given, then, when

from daisyfall.process import _deferred_metrics

BOUNDS = (0.1, 1.0)
TIMES = (0.05, 0.1, 0.7, 3.0)
UNUSED_AT_START = ("prometheus_client", "websockets.asyncio")


@given("a counter, a histogram and gauges, with and without a label, as plain numbers")
def make_metrics(context):
    metrics = context.metrics = _deferred_metrics.DeferredMetrics(2)
    context.counters = [metrics._counter("a", "help a", "why"), metrics._counter("b", "help b")]
    context.histograms = [
        metrics._histogram("c", "help c", BOUNDS, "kind"),
        metrics._histogram("d", "help d", BOUNDS),
    ]
    metrics._gauges("e", "help e", "quantity", lambda: {"jobs": 3})


@when("they have counted")
def count(context):
    labelled, plain = context.counters
    labelled.add("x")
    labelled.add("x")
    plain.add("", 5)
    labelled_times, plain_times = context.histograms
    for seconds in TIMES:
        labelled_times.observe(seconds, "ok")
        plain_times.observe(seconds)


@then("they are rendered as by the classes of the Prometheus library")
def check_rendering(context):
    prometheus_client.disable_created_metrics()
    registry = prometheus_client.CollectorRegistry()

    def expect(kind, name, help_text, *labels, **options):
        return kind(f"daisyfall_{name}", help_text, labels, registry=registry, **options)

    errors = "Unexpected errors that were passed over"
    expect(prometheus_client.Counter, "internal_errors", errors, "where")
    expect(prometheus_client.Counter, "a", "help a", "why").labels("x").inc(2)
    expect(prometheus_client.Counter, "b", "help b").inc(5)
    labelled = expect(prometheus_client.Histogram, "c", "help c", "kind", buckets=BOUNDS)
    plain = expect(prometheus_client.Histogram, "d", "help d", buckets=BOUNDS)
    for seconds in TIMES:
        labelled.labels("ok").observe(seconds)
        plain.observe(seconds)
    expect(prometheus_client.Gauge, "e", "help e", "quantity").labels("jobs").set(3)
    expected = prometheus_client.generate_latest(registry).decode()
    assert context.metrics.render().decode() == expected, expected


@then("a counter has at most {count:d} label values besides other")
def check_bounded(context, count):
    labelled, _ = context.counters
    for value in ("y", "z", "w", "v" * 100):
        labelled.add(value)
    assert set(labelled.count_by_value) == {"x", "y", "other"}
    assert labelled.count_by_value["other"] == 3
    assert len(labelled.count_by_value) - 1 <= count


@when("the modules of an {role} are imported in a new process")
def import_role(context, role):
    imports = f"import sys; from daisyfall.platform import node, _{role}_node"
    code = f"{imports}; print(*sys.modules)"
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, timeout=60
    )
    context.modules = set(result.stdout.split())


@then("none is there that only a scrape or another role needs")
def check_modules(context):
    found = context.modules.intersection(UNUSED_AT_START)
    assert not found, found
    assert "daisyfall.connection._message_socket" in context.modules
