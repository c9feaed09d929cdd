"""Steps on the runs at one runner; time is a number that the steps advance."""

from behave import given, step, then, when

from daisyfall import _pool_wire
from daisyfall.policy import _bounds
from daisyfall.process import _leased_runner
from daisyfall.request import _runs

PATIENCE_MS = 100
EXPECTED_MS = 500.0
START_LEASE_S = 0.46


def order_of(task, cpu, may_reschedule=False):
    job = task.split(".")[0]
    return _pool_wire.RunTask(
        task, 1, job, "{}", cpu, 10, 0, EXPECTED_MS, PATIENCE_MS, may_reschedule
    )


@given("the runs at a runner of {cpu:d} and {memory:d} MB")
def make_runs(context, cpu, memory):
    context.now = 50.0
    context.runs = _runs.Runs(_bounds.derive(1.0, 0.05, 1.3))
    context.runs.capacity = (cpu, memory, 0)
    context.told = []
    context.last = None


def tell(context, ends):
    context.told += [f"{each.order.task}:{each.how}" for each in ends]


def start_queued(context):
    started = context.runs.pop_startable(context.now)
    if started:
        context.last = started[-1]
    return started


@when("entry {entry} orders task {task} of {cpu:d}")
def give_order(context, entry, task, cpu):
    refused = context.runs.accept(order_of(task, cpu), entry, context.now)
    tell(context, [refused] if refused else [])
    start_queued(context)


@when("its start is confirmed")
def confirm_start(context):
    context.now += 0.002
    context.runs.started(context.last, context.now)


@when("its start is not answered")
def leave_unanswered(context):
    context.runs.unanswered(context.last, context.now + START_LEASE_S)


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


def apply_snapshot(context, running, ended, seconds):
    context.now += seconds
    context.reading = _leased_runner.RunSnapshot(context.now * 1000, 1, running, ended)
    tell(context, context.runs.apply_snapshot(context.reading, context.now, context.now + 0.001))
    context.now += 0.001


@when("{seconds:g} s pass at the agent")
def wait(context, seconds):
    context.now += seconds
    tell(context, context.runs.pop_expired(context.now))


@when("entry {entry} is lost")
def lose_entry(context, entry):
    context.runs.lose_entry(entry)


@when("the runner is replaced")
def replace_runner(context):
    tell(context, context.runs.clear(_runs.LOST, context.now))


@then("the ends told are {ends}")
def check_ends(context, ends):
    assert context.told == ends.split(), context.told


@then("no end is told")
def check_no_end(context):
    assert not context.told, context.told


@then("an order of {cpu:d} starts")
def check_starts(context, cpu):
    context.runs.accept(order_of("new.0.0", cpu), "e", context.now)
    assert [each.task for each in start_queued(context)] == ["new.0.0"]


@then("an order of {cpu:d} doesn't start")
def check_waits(context, cpu):
    context.runs.accept(order_of("new.0.0", cpu), "e", context.now)
    assert not start_queued(context)
    context.runs.stop("new.0.0", "e", 1, "test")


@then("nothing starts")
def check_nothing_starts(context):
    assert not start_queued(context)


@then("task {task} of entry {entry} starts")
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


@then("entry {entry} resumes with {tasks} and finds {here} here and {ends} ended")
def check_resume(context, entry, tasks, here, ends):
    found, ended = context.runs.resumed(entry, tasks.split(), context.now)
    assert found == here.split(), found
    told = [f"{each.order.task}:{each.how}" for each in ended]
    assert told == ([] if ends == "nothing" else ends.split()), told


@then("the unknown runs are {tasks}")
def check_orphans(context, tasks):
    assert [each.task for each in context.runs.orphans(context.reading)] == tasks.split()


@when("entry {entry} orders tasks {tasks} that may move, and {other} that may not")
def give_orders(context, entry, tasks, other):
    for task in [*tasks.split(), other]:
        context.runs.accept(order_of(task, 1000, may_reschedule=task != other), entry, context.now)
    for run in start_queued(context):
        context.runs.started(run, context.now)


@when("all progress to {percent:d} percent within {seconds:g} s")
def progress_all(context, percent, seconds):
    running = [_leased_runner.RunProgress(task, 1, percent) for task in context.runs.run_by_task]
    apply_snapshot(context, tuple(running), (), seconds)
    context.runs.mark_stragglers(context.now)


@when(
    "{task} progresses to {percent:d} percent and the others to {rest:d} percent "
    "within {seconds:g} s"
)
def progress_apart(context, task, percent, rest, seconds):
    running = [
        _leased_runner.RunProgress(each, 1, percent if each == task else rest)
        for each in context.runs.run_by_task
    ]
    apply_snapshot(context, tuple(running), (), seconds)
    context.runs.mark_stragglers(context.now)


@then("stops of {tasks} are due")
def check_stops(context, tasks):
    assert [each.task for each in context.runs.due_stops(context.now)] == tasks.split()
