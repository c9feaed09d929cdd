"""Steps for runners that leave; the clock is simulated, but for the messages of an agent."""

import asyncio

import attrs
import event_loop
import pool_stand_ins
import runner_speed_steps as speed
from behave import given, then, when

from daisyfall import _pool_wire
from daisyfall.policy import _departures


@given("a task of {ms:d} ms that is at {percent:d} percent after {seconds:g} s on a runner")
def run_task(context, ms, percent, seconds, *, may_move=True):
    context.order = (ms, may_move)
    context.progress = (percent, seconds)


@given(
    "a task of {ms:d} ms that may not be moved is at {percent:d} percent after 0.2 s on a runner"
)
def run_fixed_task(context, ms, percent):
    run_task(context, ms, percent, 0.2, may_move=False)


@when("the runner tells that it leaves in {remaining:d} ms")
def tell_departure(context, remaining):
    context.remaining_ms = remaining


@when("the job could start again until {latest:d} ms after its order")
def apply_departure(context, latest):
    ms, may_move = context.order
    speed.start_runs(context, [speed.order("j.0.0", ms, may_move=may_move, latest_ms=latest)])
    context.runs.leaves_at = _departures.leaves_at(
        _departures.NEVER, context.remaining_ms, context.now + 0.2, is_draining=True
    )
    context.percent, seconds = context.progress
    speed.list_progress(context, seconds)


@then("the task is ended as leaving: {moves}")
def check_moved(context, moves):
    stops = [each.stop_reason for each in context.runs.due_stops(context.now)]
    assert stops == (["leaving"] if moves == "yes" else []), stops


@when("a runner tells 2000 ms, 0.1 s later 1900 ms and 0.1 s later 1810 ms")
def tell_moments(context):
    context.moments = [_departures.NEVER]
    for number, remaining in enumerate((2000, 1900, 1810)):
        tell_moment(context, remaining, 0.1 * number)


@when("the runner tells 2000 ms to its agent, 0.1 s later 1900 ms and 0.1 s later 1800 ms")
def drain_runner(context):
    async def drain():
        for number in range(3):
            heartbeat = pool_stand_ins.runner_heartbeat(sequence=2 + number, is_draining=True)
            remaining_ms = 2000 - 100 * number
            heartbeat = attrs.evolve(heartbeat, remaining_ms=remaining_ms)
            context.world.agent.handle_heartbeat(heartbeat)
            await asyncio.sleep(0.1)

    event_loop.run(context, drain())


@then("the entry is told once that the runner takes no tasks and leaves in 2000 ms")
def check_told(context):
    states = context.world.entries["leader"].messages(_pool_wire.RunnerState)
    leaving = [each for each in states if each.remaining_ms]
    assert [(each.is_open, each.remaining_ms > 1950) for each in leaving] == [(False, True)], states


@when("it tells {remaining:d} ms")
def tell_moment(context, remaining, now=0.3):
    previous = context.moments[-1]
    context.moments.append(_departures.leaves_at(previous, remaining, now, is_draining=True))


@then("its departure has changed {times}")
def check_changes(context, times):
    changes = sum(a != b for a, b in zip(context.moments, context.moments[1:], strict=False))
    assert changes == {"once": 1, "twice": 2}[times], context.moments


@when("x leaves in {remaining:d} ms")
def leave(context, remaining):
    close(context, "x", remaining)


def close(context, name, remaining_ms):
    runner = context.scheduler.runner_by_id[name]
    leaves_at = context.now + remaining_ms / 1000
    context.scheduler.update_runner(attrs.evolve(runner, is_open=False, leaves_at=leaves_at))


@when("another incarnation of x joins")
def rejoin(context):
    speed.add_runner(context, "x", "a", "r1", incarnation="2")
    assert context.scheduler.runner_by_id["x"].leaves_at == _departures.NEVER


@given("{count:d} runners of 60 cores")
def add_equal(context, count):
    speed.make_scheduler(context)
    for number in range(count):
        speed.add_runner(context, f"r{number}", "a", f"k{number // 4}")


@when("{count:d} of them leave and {tasks:d} of their tasks are placed again")
def leave_together(context, count, tasks):
    for number in range(count):
        close(context, f"r{number}", 2000)
    context.choice = [
        speed.submit(context, 1, avoid=(f"r{each % count}",))[0] for each in range(tasks)
    ]


@then("each of the other {count:d} gets at most {limit:d} of them")
def check_spread(context, count, limit):
    shares = [context.choice.count(name) for name in set(context.choice)]
    assert len(shares) == count and max(shares) <= limit, shares
