"""Steps for metrics and log lines."""

import io
import json

import documents
from behave import given, then, when
from loguru import logger

from daisyfall import errors
from daisyfall.process import _log, _metric_labels, _metrics, _settings


def values_by_label(metrics: _metrics.Metrics, sample: str, label: str) -> dict[str, float]:
    return {
        each.labels[label]: each.value
        for family in metrics.registry.collect()
        for each in family.samples
        if each.name == sample
    }


@when("the metrics count {count:d} distinct retry reasons")
def count_reasons(context, count):
    context.metrics = _metrics.Metrics()
    for number in range(count):
        context.metrics.count_retries(f"reason {number}")


@then("the metrics hold {distinct:d} retry reasons and a sum of {total:d}")
def check_reasons(context, distinct, total):
    found = values_by_label(context.metrics, "daisyfall_retries_total", "reason")
    assert len(found) == distinct, found
    assert sum(found.values()) == total, found


@then("the metrics count a reason of {length:d} characters as other")
def check_long_reason(context, length):
    metrics = _metrics.Metrics()
    metrics.count_wasted_messages("x" * length)
    found = values_by_label(metrics, "daisyfall_wasted_messages_total", "reason")
    assert found == {_metric_labels.OTHER: 1}, found


def parse_counts(text: str) -> dict[str, int]:
    return {name: int(count) for name, count in (x.split(": ") for x in text.split(", "))}


@when('the metrics show upstreams "{first}" and then "{second}"')
def set_upstream_counts(context, first, second):
    context.metrics = _metrics.Metrics()
    context.metrics.set_upstreams(parse_counts(first))
    context.metrics.set_upstreams(parse_counts(second))


@then('the metrics sample "{sample}" with state "{state}" is {value:d}')
def check_sample(context, sample, state, value):
    assert values_by_label(context.metrics, sample, "state")[state] == value


@when(
    "the metrics take the lease margin from a function that returns {first:g} and then {second:g}"
)
def track_lease_margin(context, first, second):
    context.metrics = _metrics.Metrics()
    context.metrics.track_lease_margin(iter([first, second]).__next__)


@then("the metrics show a lease margin of {first:g} and then {second:g}")
def check_lease(context, first, second):
    for value in (first, second):
        assert f"daisyfall_lease_margin_seconds {value}" in context.metrics.render().decode()


@then("the metrics table in docs/metrics.md matches the code")
def check_metrics_document(context):
    found = documents.read("docs/metrics.md", ["metric", "type", "labels"])
    expected = [
        (names[0], metric._type, ", ".join(metric._labelnames) or "-")
        for metric, names in _metrics.Metrics().registry._collector_to_names.items()
        if names
    ]
    documents.compare([(x.removesuffix("_total"), *rest) for x, *rest in found], expected)


@then("the error kinds table in docs/callers.md matches the code")
def check_error_document(context):
    columns = ["kind", "status", "run", "retry", "hint (ms)", "meaning"]
    found = documents.read("docs/callers.md", columns)
    expected = [
        (
            kind.value,
            str(answer.status),
            answer.run.value,
            answer.retry.value,
            str(answer.retry_after_ms or "-"),
            answer.summary,
        )
        for kind, answer in errors.RESPONSES.items()
    ]
    documents.compare(found, expected)


@given('a log of form "{form}" with the key "{key}"')
def make_log(context, form, key):
    context.stream, context.key = io.StringIO(), key
    log = _settings.LogSettings(json=form == "json")
    settings = _settings.Settings("entry", "entry-7", "quay", keys=[key], log=log)
    _log.configure(settings, context.stream)
    context.add_cleanup(logger.remove)


@when('the log gets a line about job "{job}" with every kind of secret')
def write_line(context, job):
    bound = logger.bind(job=job, token="hunter2", operator_token="hunter2", salt="hunter2")
    bound = bound.bind(reason=f"refused Bearer hunter2 and {context.key}")
    bound.info("header 'Authorization: Bearer hunter2'\nwith key {}", context.key)


@when('the log gets an error raised where a variable holds "{secret}"')
def write_error(context, secret):
    try:
        password = secret
        assert password / 0 if password is None else 1 / 0
    except ZeroDivisionError:
        logger.exception("unexpected")


@then('the log has one line with "{first}" and "{second}"')
def check_line(context, first, second):
    text = context.stream.getvalue()
    assert text.count("\n") == 1, text
    assert first in text and second in text, text
    if text.startswith("{"):
        assert json.loads(text)["process"] == "entry-7"


@then('the log does not contain "{first}" or "{second}"')
def check_secrets(context, first, second):
    text = context.stream.getvalue()
    assert first not in text and second not in text, text
