"""Steps for the ledger of an agent; the steps advance a simulated clock."""

import ast

import hypothesis
from behave import given, step, then, when
from hypothesis import strategies

from daisyfall import _wire
from daisyfall.request import _ledger

SHARD = 3
KEY = ("roca", "job")


def numbers(text):
    return [] if text == "none" else [int(each) for each in text.split(",")]


def start_of(indices, **changes):
    tasks = [[index, "mix", None, 50, 0, 0] for index in indices]
    fields = {"shard": SHARD, "epoch": 5, "incarnation": "now", "buyer": KEY[0]}
    fields |= {"job_id": KEY[1], "digest": b"d", "task_count": 4, "tasks": tasks}
    return _wire.Start(**(fields | changes))


def read_report(ledger):
    """Return the started and finished indices of the job, and the epoch."""
    report = ledger.report(SHARD)[-1]
    rows = {row[1]: row for row in report.jobs}
    bitmaps = rows[KEY[1]][4:6] if KEY[1] in rows else [0, 0]
    return [[i for i in range(8) if bits >> i & 1] for bits in bitmaps], report.epoch


@given("an agent ledger with a retention time of {seconds:d} s and {limit:d} bytes for results")
def make_ledger(context, seconds, limit):
    context.ledger = _ledger.Ledger("now", seconds, limit)
    context.now = 1000.0


@given("the agent ledger accepted tasks {indices} at epoch {epoch:d}")
def accept_tasks(context, indices, epoch):
    start = start_of(numbers(indices), epoch=epoch)
    answer = context.ledger.accept(start, "a", context.now)
    assert [task[0] for task in answer.tasks] == numbers(indices)


@step("the agent ledger task {index:d} is {state}")
def set_task_state(context, index, state):
    ledger = context.ledger
    if state == "withdrawn":
        ledger.withdraw(KEY, index)
    if state in ("started", "finished"):
        assert ledger.mark_started(KEY, index, 5, context.now)
    if state == "finished":
        ledger.finish([*KEY, index, _wire.DONE, "result", 50], context.now)


@given("the agent ledger finished task {index:d} with {size:d} bytes")
def finish_with_size(context, index, size):
    assert context.ledger.mark_started(KEY, index, 5, context.now)
    context.ledger.finish([*KEY, index, _wire.DONE, "x" * size, 50], context.now)


@given("the agent ledger finished a task of another job with {size:d} bytes")
def finish_other_job(context, size):
    context.ledger.accept(start_of([0], job_id="other"), "a", context.now)
    assert context.ledger.mark_started((KEY[0], "other"), 0, 5, context.now)
    item = [KEY[0], "other", 0, _wire.DONE, "x" * size, 50]
    context.ledger.finish(item, context.now)


@when("the agent ledger gets a start of tasks {indices} with {field} = {value}")
def get_start(context, indices, field, value):
    changes = {field: ast.literal_eval(value)}
    closed = changes.pop("closed", "")
    start = start_of(numbers(indices), **changes)
    context.answer = context.ledger.accept(start, "a", context.now, closed)


@when('the agent ledger is fenced at epoch {epoch:d} by "{entry}"')
def fence_by(context, epoch, entry):
    context.ledger.fence(SHARD, epoch, entry)


@when("the agent ledger is fenced at epoch {epoch:d}")
def fence(context, epoch):
    fence_by(context, epoch, "b")


@when("{seconds:d} s pass for the agent ledger")
def pass_time(context, seconds):
    context.now += seconds
    context.ledger.expire(context.now)


@then("the agent ledger refuses tasks {indices} because of {reason}, having seen epoch {epoch:d}")
def check_refusal(context, indices, reason, epoch):
    answer = context.answer
    assert isinstance(answer, _ledger.Refused), answer
    found = (answer.indices, answer.reason, answer.seen_epoch)
    assert found == (numbers(indices), reason, epoch), found


@then("the agent ledger accepts only tasks {indices} and resends results of {repeated}")
def check_acceptance(context, indices, repeated):
    answer = context.answer
    assert isinstance(answer, _ledger.Accepted), answer
    assert [task[0] for task in answer.tasks] == numbers(indices), answer
    assert [item[2] for item in answer.repeated] == numbers(repeated), answer


@then("the agent ledger resends outcome {outcome}")
def check_repeated(context, outcome):
    assert [item[3] for item in context.answer.repeated] == [getattr(_wire, outcome)]


@then("the agent ledger reports started {started} and finished {finished} at epoch {epoch:d}")
def check_report(context, started, finished, epoch):
    found = read_report(context.ledger)
    assert found == ([numbers(started), numbers(finished)], epoch), found


@then("the agent ledger does not start task {index:d} of epoch {epoch:d}")
def check_no_start(context, index, epoch):
    assert not context.ledger.mark_started(KEY, index, epoch, context.now)


@then('the agent ledger sends results to "{entry}"')
def check_owner(context, entry):
    assert context.ledger.owner_of(SHARD) == entry


OPERATIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["start", "fence", "begin", "finish", "withdraw", "expire"]),
        strategies.integers(0, 2),  # task index
        strategies.integers(1, 4),  # epoch
    ),
    max_size=40,
)


@then("no sequence of agent ledger operations starts a task twice")
def check_sequences(_context):
    hypothesis.settings(max_examples=500, derandomize=True, database=None, deadline=None)(
        hypothesis.given(OPERATIONS)(check_sequence)
    )()


def check_sequence(operations):
    ledger = _ledger.Ledger("now", 600, 100_000)
    started, running, highest = set(), set(), 0
    for step_number, (operation, index, epoch) in enumerate(operations):
        now = float(step_number)
        match operation:
            case "start":
                ledger.accept(start_of([index], epoch=epoch), "a", now)
                highest = max(highest, epoch)
            case "fence":
                ledger.fence(SHARD, epoch, "b")
                highest = max(highest, epoch)
            case "begin" if ledger.mark_started(KEY, index, epoch, now):
                assert index not in started, f"task {index} started twice"
                assert epoch == highest, f"started at epoch {epoch}, seen {highest}"
                started.add(index)
                running.add(index)
            case "finish" if index in running:
                ledger.finish([*KEY, index, _wire.DONE, None, 1], now)
                running.discard(index)
            case "withdraw" if index in running:
                ledger.withdraw(KEY, index)
                running.discard(index)
                started.discard(index)
            case "expire":
                ledger.expire(now)
        (reported, finished), _epoch = read_report(ledger)
        assert started <= set(reported), f"reported {reported}, started {started}"
        assert set(finished) == started - running, f"finished {finished}"
