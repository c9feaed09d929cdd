"""Steps for the logs and metrics of the pool dispatcher."""

import contextlib
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import threading
import time

import documents
import loguru
from behave import given, then, when

from daisyfall.process import _decision_log, _pool_metrics

LOGGING_TIMEOUT_S = 60.0


def line(second, process, text, **fields):
    record = {"at": f"2026-01-01T00:00:{second:06.3f}+00:00", "level": "INFO", "text": text}
    return json.dumps({**record, "process": process, "role": "x", **fields})


@given("log files of an entry and an agent about jobs {first} and {second}")
def write_logs(context, first, second):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    entry = [
        line(1.0, "entry-1", "job taken", job=first),
        line(1.1, "entry-1", "job taken", job=second),
        line(1.2, "entry-1", "tasks ordered", job=first, runs={f"{first}.0.0/1": "a"}),
        line(3.0, "entry-1", "job ended", job=first, outcome="refused"),
    ]
    agent = [
        "not a log line",
        f"host-2 {line(2.0, 'agent-1', 'start not confirmed', task=first + '.0.0')}",
    ]
    (context.folder / "entry.log").write_text("\n".join(entry))
    (context.folder / "agent.log").write_text("\n".join(agent))


def explain(context, job, files):
    command = [sys.executable, "-m", "daisyfall.ctl", "explain", job, *map(str, files)]
    context.result = subprocess.run(command, capture_output=True, text=True, check=False)


@when("the operator explains job {job} from {file}")
def explain_from(context, job, file):
    explain(context, job, logs(context) if file == "the logs" else [context.folder / file])


@when("the operator explains job {job}")
def explain_from_logs(context, job):
    explain(context, job, logs(context))


def logs(context):
    return [context.folder / "agent.log", context.folder / "entry.log"]


@then("the exit status is {status:d}")
def check_status(context, status):
    assert context.result.returncode == status, context.result


@then("the output contains, in this order, {texts}")
def check_output(context, texts):
    output = context.result.stdout
    positions = [output.find(text.strip('"')) for text in texts.split('", "')]
    assert -1 not in positions and positions == sorted(positions), output


@then("the output doesn't contain {job}")
def check_other(context, job):
    assert job not in context.result.stdout


@then("the error is one line that contains {text}")
def check_line(context, text):
    lines = context.result.stderr.strip().splitlines()
    assert len(lines) == 1 and text in lines[0], context.result.stderr


def open_log(context, descriptor):
    context.dropped = []
    os.set_blocking(descriptor, False)
    loguru.logger.remove()
    context.sink = _decision_log.Sink(descriptor, context.dropped.append)
    loguru.logger.add(context.sink.write, format="{message}")
    context.add_cleanup(loguru.logger.remove)


@given("a log to a pipe that is not read")
def open_pipe(context):
    reader, writer = os.pipe()
    context.reader = reader
    context.add_cleanup(os.close, reader)
    context.add_cleanup(os.close, writer)
    open_log(context, writer)


@given("a log to a file")
def open_file(context):
    descriptor, path = tempfile.mkstemp()
    context.file = pathlib.Path(path)
    context.add_cleanup(context.file.unlink)
    context.add_cleanup(os.close, descriptor)
    open_log(context, descriptor)


@when("{count:d} lines are logged as {level}")
def write_lines(context, count, level):
    context.count = count
    write = loguru.logger.warning if level == "warnings" else loguru.logger.info

    def log():
        started = time.thread_time()
        for number in range(count):
            write("a line", number=number)
        context.cpu_s = time.thread_time() - started

    # The pipe is not read, so a blocking write would never return.
    context.logging = threading.Thread(target=log, daemon=True)
    context.logging.start()
    context.logging.join(LOGGING_TIMEOUT_S)


@then("logging never blocked, and took less than {seconds:g} s of processor time")
def check_time(context, seconds):
    assert not context.logging.is_alive()
    assert context.cpu_s < seconds, context.cpu_s


@then("each line was written, is pending or was counted as dropped")
def check_dropped(context):
    os.set_blocking(context.reader, False)
    read = b""
    with contextlib.suppress(BlockingIOError):
        while chunk := os.read(context.reader, 65_536):
            read += chunk
    kept_count = (read + context.sink.unwritten).count(b"\n")
    assert sum(context.dropped) > 0
    assert kept_count + sum(context.dropped) == context.count, (kept_count, sum(context.dropped))


def read_lines(context, level):
    found = [json.loads(each) for each in context.file.read_text().splitlines()]
    return [each for each in found if each["level"] == level]


@then("between {low:d} and {high:d} information lines are in the file")
def check_rate_limit(context, low, high):
    count = len(read_lines(context, "INFO"))
    assert low <= count <= high, count


@then("{count:d} warnings are in the file")
def check_warnings(context, count):
    assert len(read_lines(context, "WARNING")) == count


@then("the dropped lines are counted and the next line states their number")
def check_dropped_report(context):
    stated = sum(each.get("dropped_before", 0) for each in read_lines(context, "WARNING"))
    stated += sum(each.get("dropped_before", 0) for each in read_lines(context, "INFO"))
    assert stated == sum(context.dropped) > 0, (stated, sum(context.dropped))


@then("docs/metrics.md lists exactly the metrics of the pool dispatcher")
def check_metrics_page(_context):
    metrics = _pool_metrics.PoolMetrics()
    expected = []
    for family in metrics.registry.collect():
        name = f"{family.name}_total" if family.type == "counter" else family.name
        expected.append((name, family.type))
    documents.compare(documents.read("docs/metrics.md", ["pool metric", "type"]), expected)
