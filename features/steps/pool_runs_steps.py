"""Steps for the agent's state of the runs at its runner; the clock is simulated by the steps."""

import attrs
import pool_stand_ins
from behave import given, step, then, when

from daisyfall import _pool_wire
from daisyfall.process import _leased_runner
from daisyfall.request import _run, _runs

QUEUE_TIMEOUT_MS = 100
EXPECTED_MS = 500.0
START_LEASE_S = 0.46


def order_of(task, cpu, may_reschedule=False):
    job = task.split(".")[0]
    return _pool_wire.RunTask(
        task, 1, job, "{}", cpu, 10, 0, EXPECTED_MS, QUEUE_TIMEOUT_MS, may_reschedule
    )


@given("an agent whose runner has a capacity of {cpu:d} and {memory:d} MB")
def make_runs(context, cpu, memory):
    context.now = 50.0
    context.runs = _runs.Runs(pool_stand_ins.BOUNDS)
    context.runs.capacity = (cpu, memory, 0)
    context.reported = []
    context.last_started = None


def record_ends(context, ends):
    context.reported += [f"{each.order.task}:{each.how}" for each in ends]


def start_queued(context):
    started = context.runs.pop_startable(context.now)
    if started:
        context.last_started = started[-1]
    return started


@when("entry {entry} orders task {task} of {cpu:d}")
def send_order(context, entry, task, cpu):
    refused = context.runs.accept(order_of(task, cpu), entry, context.now)
    record_ends(context, [refused] if refused else [])
    start_queued(context)


@when("entry e orders tasks {tasks} of {cpu:d}, of which {limit:d} of a step may run here")
def send_limited_orders(context, tasks, cpu, limit):
    for task in tasks.split(" and "):
        order = attrs.evolve(order_of(task, cpu), max_per_runner=limit)
        refused = context.runs.accept(order, "e", context.now)
        record_ends(context, [refused] if refused else [])
        start_queued(context)


@when("its start is confirmed")
def confirm_start(context):
    context.now += 0.002
    context.runs.started(context.last_started, context.now)


@when("its start is not answered")
def lose_answer(context):
    context.runs.unanswered(context.last_started, context.now + START_LEASE_S)


@when("the stop of {task} is confirmed")
def confirm_stop(context, task):
    context.now += 0.002
    context.runs.stop_confirmed(context.runs.run_by_task[task], context.now)


@when("the runner lists end {number:d} of {task} as {how}")
def list_end(context, number, task, how):
    run = context.runs.run_by_task.get(task)
    ended = _leased_runner.EndedRun(
        number, task, run.number if run else 1, _leased_runner.RunOutcome(how)
    )
    apply_snapshot(context, (), (ended,), 0.01)


@when("the runner lists nothing running, asked {seconds:g} s later")
def list_nothing(context, seconds):
    apply_snapshot(context, (), (), seconds)


@when("the runner lists {task} at {percent:d} percent, asked {seconds:g} s later")
def list_running(context, task, percent, seconds):
    apply_snapshot(context, (_leased_runner.RunProgress(task, 1, percent),), (), seconds)


@when("the runner lists nothing running, asked {seconds:g} s ago")
def list_nothing_late(context, seconds):
    snapshot = _leased_runner.RunSnapshot(context.now * 1000, 1, (), ())
    record_ends(context, context.runs.apply_snapshot(snapshot, context.now - seconds, context.now))


@then("a stop of {task} is due after it was moved")
def move_run(context, task):
    context.runs.stop(task, "e", 1, _run.STRAGGLING)
    assert [each.task for each in context.runs.due_stops(context.now)] == [task]


def apply_snapshot(context, running, ended, seconds):
    context.now += seconds
    context.snapshot = _leased_runner.RunSnapshot(context.now * 1000, 1, running, ended)
    record_ends(
        context, context.runs.apply_snapshot(context.snapshot, context.now, context.now + 0.001)
    )
    context.now += 0.001


@when("{seconds:g} s pass at the agent")
def wait(context, seconds):
    context.now += seconds
    record_ends(context, context.runs.pop_expired(context.now))


@when("entry {entry} is lost")
def lose_entry(context, entry):
    context.runs.lose_entry(entry)


@when("the runner is replaced")
def replace_runner(context):
    record_ends(context, context.runs.clear(_run.LOST, context.now))


@then("the reported ends are {ends}")
def check_ends(context, ends):
    assert context.reported == ends.split(), context.reported


@then("no end is reported")
def check_no_end(context):
    assert not context.reported, context.reported


@then("a new task of {cpu:d} is started")
def check_started(context, cpu):
    context.runs.accept(order_of("new.0.0", cpu), "e", context.now)
    assert [each.task for each in start_queued(context)] == ["new.0.0"]


@then("a new task of {cpu:d} is not started")
def check_not_started(context, cpu):
    context.runs.accept(order_of("new.0.0", cpu), "e", context.now)
    assert not start_queued(context)
    context.runs.stop("new.0.0", "e", 1, "test")


@then("no task is started")
def check_none_started(context):
    assert not start_queued(context)


@then("task {task} of entry {entry} is started")
def check_start_of(context, task, entry):
    assert [(each.task, each.entry) for each in start_queued(context)] == [(task, entry)]


@then("no stop is due")
def check_no_stop(context):
    assert not context.runs.due_stops(context.now)


@step("a stop of {task} is due")
def check_stop(context, task):
    assert [each.task for each in context.runs.due_stops(context.now)] == [task]


@then("the lease may be renewed")
def check_renewal(context):
    assert not context.runs.must_withhold_lease(context.now)


@then("the lease may not be renewed")
def check_no_renewal(context):
    assert context.runs.must_withhold_lease(context.now)


@then(
    "entry {entry} reconnects with tasks {tasks} "
    "and is sent {present} as present and {ends} as ended"
)
def check_reconnection(context, entry, tasks, present, ends):
    found, ended = context.runs.resumed(entry, tasks.split(), context.now)
    assert found == present.split(), found
    reported = [f"{each.order.task}:{each.how}" for each in ended]
    assert reported == ([] if ends == "nothing" else ends.split()), reported


@then("the unexpected runs are {tasks}")
def check_orphans(context, tasks):
    assert [each.task for each in context.runs.orphans(context.snapshot)] == tasks.split()


@when("entry {entry} orders tasks {tasks} that may be rescheduled, and {other} that may not")
def send_orders(context, entry, tasks, other):
    for task in [*tasks.split(), other]:
        context.runs.accept(order_of(task, 1000, may_reschedule=task != other), entry, context.now)
    for run in start_queued(context):
        context.runs.started(run, context.now)


@when("all progress to {percent:d} percent within {seconds:g} s")
def progress_all(context, percent, seconds):
    running = [_leased_runner.RunProgress(task, 1, percent) for task in context.runs.run_by_task]
    apply_snapshot(context, tuple(running), (), seconds)
    context.runs.mark_rescheduled(context.now)


@when(
    "{task} progresses to {percent:d} percent and the others to {other_percent:d} percent "
    "within {seconds:g} s"
)
def progress_differently(context, task, percent, other_percent, seconds):
    running = [
        _leased_runner.RunProgress(each, 1, percent if each == task else other_percent)
        for each in context.runs.run_by_task
    ]
    apply_snapshot(context, tuple(running), (), seconds)
    context.runs.mark_rescheduled(context.now)


@then("stops of {tasks} are due")
def check_stops(context, tasks):
    assert [each.task for each in context.runs.due_stops(context.now)] == tasks.split()
