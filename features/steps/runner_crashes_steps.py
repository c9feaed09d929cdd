"""Steps for the tasks that crash their runners."""

import asyncio
import json

import event_loop
from behave import step, then, when

from daisyfall import _pool_wire
from daisyfall.policy import _runner_crashes
from daisyfall_standins import leased_runner

TASK = "0123456789abcdef.0.0"


def crashes_of(context):
    if "crashes" not in context:
        context.crashes = _runner_crashes.RunnerCrashes()
        context.now = 0.0
        context.given_up = []
    return context.crashes


def crash_of(runner, tasks):
    runs = []
    for text in tasks.split():
        task, _, times = text.partition(":")
        run_ms, _, expected_ms = times.partition("/")
        run = _runner_crashes.CrashedRun(task, "r", float(run_ms), float(expected_ms or 0))
        runs.append(run)
    return _runner_crashes.Crash(f"{runner}/1", tuple(runs))


@step("{runner:w} crashes with {tasks}")
def crash(context, runner, tasks):
    given_up = crashes_of(context).record(crash_of(runner, tasks), context.now)
    context.given_up += [run.task for run in given_up]


@step("it is reported late that {runner:w} crashed before all of them with {tasks}")
def crash_late(context, runner, tasks):
    context.given_up += crashes_of(context).record(crash_of(runner, tasks), context.now - 10.0)


@then("{task:w} counts as given up, and {other:w} does not")
def check_now(context, task, other):
    assert context.crashes.is_given_up(task)
    assert not context.crashes.is_given_up(other)


@step("{seconds:d} s pass without a crash")
def wait(context, seconds):
    context.now += seconds


@then("no task is given up")
def check_none(context):
    assert not context.given_up, context.given_up


@then("only {tasks} is given up")
@then("only {tasks} are given up")
def check_given_up(context, tasks):
    assert sorted(context.given_up) == sorted(tasks.split()), context.given_up
    assert all(context.crashes.is_given_up(task) for task in context.given_up)


@when("{count:d} runners crash with different tasks")
def crash_many(context, count):
    for number in range(count):
        crash(context, f"runner{number}", f"a{number}:10 b{number}:20")


@then("at most {count:d} crashes are remembered")
def check_bounded(context, count):
    assert len(context.crashes) <= count
    assert len(context.crashes._run_by_crash_by_task) <= 2 * count


@when("the runner crashes under the task")
def crash_runner(context):
    context.world.runner.restart()
    event_loop.run(context, asyncio.sleep(0.2))


@when("a later entry connects")
def connect_later(context):
    event_loop.run(context, context.world.dial("later"))
    event_loop.run(context, asyncio.sleep(0.1))


@then("all entries are told of the crash, and entry e before the end of its task")
def check_told(context):
    for entry in context.world.entries.values():
        (crash,) = entry.messages(_pool_wire.RunnerCrashed)
        assert [row[0] for row in crash.runs] == [TASK], crash
    (end,) = context.entry.messages(_pool_wire.TaskEnded)
    assert end.outcome == "crashed", end
    received = context.entry.received
    (crash,) = context.entry.messages(_pool_wire.RunnerCrashed)
    assert received.index(crash) < received.index(end)


@then("entry e is told of the end of its task only")
def check_not_told(context):
    assert context.entry.messages(_pool_wire.TaskEnded)
    assert not context.entry.messages(_pool_wire.RunnerCrashed)


@when("a stand-in is ordered a task that crashes it, and another one when that is due")
def crash_stand_in(context):
    context.log = leased_runner.ExecutionLog()
    context.runner = leased_runner.FakeLeasedRunner("p", 8000, 16_000, context.log)

    async def order():
        for task, crashes in (("a.0.0.0", True), ("b.0.0.0", False)):
            specification = json.dumps({"ms": 1, "crashes": crashes})
            body = {"Task": task, "Run": 1, "DeadlineMs": 5000, "Specification": specification}
            await context.runner._handle_start(body)
            await asyncio.sleep(0.01)

    event_loop.run(context, order())


@then("the stand-in has crashed once and executed only the first task")
def check_stand_in(context):
    assert context.log.crashes_by_task == {"a.0.0.0": 1}
    assert list(context.log.starts_by_task) == ["a.0.0.0"], context.log.starts_by_task
