"""Steps for the measurement tool: its arithmetic, report page, relay and callers."""

import asyncio
import contextlib
import html
import json
import math
import pathlib
import tempfile

import event_loop
from behave import given, then, when

from daisyfall_standins import _analysis, _report, link, load, processes

BUYER = load.Buyer("roca", "secret")


def read_points(text):
    return [tuple(float(value) for value in pair.split(",")) for pair in text.split()]


def new_record(outcome, response_ms=1.0, **changes):
    record = load.JobRecord("id", BUYER.name, ["token"], 100.0, response_ms=response_ms, **changes)
    record.outcome = load.Outcome(outcome)
    return record


@when('the measurement fits a line to "{points}"')
def fit_line(context, points):
    context.linear_fit = _analysis.linear_fit(read_points(points))


@then(
    "the measurement's line has slope {slope:g}, intercept {intercept:g} and residual {residual:g}"
)
def check_line(context, slope, intercept, residual):
    found = (context.linear_fit.slope, context.linear_fit.intercept, context.linear_fit.residual)
    for value, expected in zip(found, (slope, intercept, residual), strict=True):
        assert math.isclose(value, expected, abs_tol=1e-9), context.linear_fit


@then('the measurement refuses to fit a line to "{points}"')
def check_refused(context, points):
    try:
        found = _analysis.linear_fit(read_points(points))
    except ValueError as error:
        assert "found 2" in str(error), error
    else:
        raise AssertionError(f"two points were fitted: {found}")


@when("the measurement reads a counter as {before:g} and then as {after:g}")
def read_counter(context, before, after):
    context.increase = _analysis.counter_increases({"forward": after}, {"forward": before})


@then("the measurement counts an increase of {increase:g}")
def check_increase(context, increase):
    assert context.increase.get("forward", 0) == increase, context.increase


@then('the measurement\'s longest gap between answers at "{times}" seconds is {gap:g} seconds')
def check_gap(context, times, gap):
    assert _analysis.longest_gap([float(each) for each in times.split()]) == gap


@then(
    "the measurement's slowest resubmission of jobs broken at {broken:g} and ended at "
    '"{times}" seconds is {slowest:g} seconds'
)
def check_resubmission(context, broken, times, slowest):
    records = [new_record("complete", ended_seconds=50.0)]
    records += [
        new_record("complete", ended_seconds=float(each), first_broken_seconds=broken)
        for each in times.split()
    ]
    assert _analysis.slowest_resubmission(records) == slowest


@when('the measurement summarizes complete jobs of 100 ms that took "{times}" ms')
def summarize_complete(context, times):
    context.records = [new_record("complete", float(each)) for each in times.split()]


@when("the measurement summarizes a failed job that took {time:g} ms")
def summarize_failed(context, time):
    context.records.append(new_record("failed", time))


@then("the measurement's response over ideal is {p50:g} at p50 and {most:g} at most")
def check_ratios(context, p50, most):
    found = _analysis.response_ratios(context.records)
    # The histogram keeps three digits.
    assert math.isclose(found.p50, p50, rel_tol=0.002), found
    assert math.isclose(found.max, most, rel_tol=0.002), found


def read_jobs(text):
    """Return jobs from `at_ms:run_ms,run_ms ...`."""
    jobs = []
    for part in text.split():
        at, _, runs = part.partition(":")
        tasks = [load.Task("k", {"token": "", "run_ms": float(run)}, 1) for run in runs.split(",")]
        jobs.append(load.Job(float(at) / 1000, BUYER, 1000, tasks))
    return jobs


@then(
    'the measurement\'s model of jobs "{jobs}" on {slots:d} slots has {most:g} over ideal at most'
)
def check_model(context, jobs, slots, most):
    found = _analysis.simulate_ratios(read_jobs(jobs), slots, 0.0)
    assert math.isclose(found.max, most, rel_tol=0.002), found


@then(
    'the measurement\'s jobs "{jobs}" offer a load of {share:g} to {slots:d} slots in '
    "{seconds:g} seconds"
)
def check_offered(context, jobs, share, slots, seconds):
    assert _analysis.offered_load(read_jobs(jobs), seconds, slots) == share


@when("the measurement has a job recorded as {outcome:w} whose task started {starts:d} times")
def record_job(context, outcome, starts):
    refused = int(outcome == "refused")
    context.records = [new_record(outcome, refused=refused, attempts=1)]
    context.starts = {"token": starts} if starts else {}


@then("the measurement's audit counts {found:w}")
def check_audit(context, found):
    counts = _analysis.audit(context.records, context.starts)
    expected = [] if found == "nothing" else [found]
    assert [name for name, count in counts.items() if count] == expected, counts


async def start_relay(context, port):
    server = await link.start(link.Route(port, 1.0))
    event_loop.at_end(context, close, server)


async def close(server):
    server.close()


async def echo(reader, writer, ended):
    while data := await reader.read(1000):
        writer.write(data)
    writer.close()
    ended.set()


@given("the measurement's relay in front of an echoing server")
def start_echo_server(context):
    async def serve():
        context.echo_ended = asyncio.Event()
        return await asyncio.start_server(
            lambda reader, writer: echo(reader, writer, context.echo_ended), "127.0.0.1", 0
        )

    server = event_loop.run(context, serve())
    event_loop.at_end(context, close, server)
    context.port = server.sockets[0].getsockname()[1]
    event_loop.run(context, start_relay(context, context.port))


@given("the measurement's relay in front of a port without a server")
def start_relay_without_server(context):
    context.port = processes.free_port()
    event_loop.run(context, start_relay(context, context.port))


@when("the measurement sends {count:d} chunks through the relay and closes")
def send_chunks(context, count):
    async def exchange():
        reader, writer = await asyncio.open_connection(link.RELAY_HOST, context.port)
        for number in range(count):
            writer.write(number.to_bytes(4, "big"))
            await asyncio.sleep(0)
        context.echoed = await reader.readexactly(4 * count)
        writer.write_eof()
        context.rest = await reader.read()
        writer.close()
        # The server's side must be closed too; otherwise each caller would leak a connection.
        await context.echo_ended.wait()

    context.expected = b"".join(number.to_bytes(4, "big") for number in range(count))
    event_loop.run(context, exchange())


@then("the measurement reads all bytes in order and then the end")
def check_chunks(context):
    assert context.echoed == context.expected
    assert context.rest == b"", context.rest


@then("the measurement's caller gets no bytes and the end of the connection")
def check_connection_ended(context):
    async def read():
        reader, writer = await asyncio.open_connection(link.RELAY_HOST, context.port)
        data = b""
        with contextlib.suppress(ConnectionResetError):
            data = await reader.read()
        writer.close()
        return data

    assert event_loop.run(context, read()) == b""


@given('the measurement\'s callers know owner "{owner}" after an answer')
def update_known_owner(context, owner):
    shape = load.LoadShape(buyers=[BUYER])
    context.callers = load.LoadGenerator(shape, ["http://turn"], follow_owner=True)
    context.callers.update_known_owner(BUYER.name, owner, retry=False)
    context.owner = owner


@when("the measurement's next attempt ends as {end:w}")
def finish_attempt(context, end):
    match end:
        case "complete":
            context.callers.update_known_owner(BUYER.name, context.owner, retry=False)
        case "cut":
            context.callers.update_known_owner(BUYER.name, None, retry=True)
        case "retry":
            context.callers.update_known_owner(BUYER.name, context.owner, retry=True)


@then("the measurement's callers send the buyer's next job to {place}")
def check_next_entry(context, place):
    expected = {"the owner": f"http://{context.owner}", "the next turn": "http://turn"}[place]
    assert context.callers.select_entry(BUYER.name) == expected


@given('the measurement\'s file of runs "{first}", "{second}" and "{third}"')
def write_runs(context, first, second, third):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.runs = pathlib.Path(folder.name) / "runs.jsonl"
    context.names = [first, second, third]
    common = {"deployment": "salinas", "policy": "random", "seed": 1}
    response_ratios = {
        "response_over_ideal": {"p50": 1.0, "p99": 2.0},
        "wasted_messages_per_task": 0.1,
    }
    lines = [json.dumps(common | response_ratios | {"scenario": name}) for name in (first, second)]
    lines.append(json.dumps(common | {"scenario": third}))
    context.runs.write_text("\n".join(lines))


@when("the measurement writes its page")
def write_page(context):
    path = context.runs.with_suffix(".html")
    _report.write(str(path), _report.read(str(context.runs)))
    context.page = path.read_text()


@then("the measurement's page names all runs, has {count:d} charts and loads nothing")
def check_page(context, count):
    for name in context.names:
        assert html.escape(name) in context.page, name
    assert "<b>" not in context.page
    assert context.page.count("<figure>") == count
    assert " src=" not in context.page and "xlink:href" not in context.page
