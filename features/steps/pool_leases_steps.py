"""Steps for the leases at an agent's runner; the fake runner confirms starts but no stops."""

import asyncio

import attrs
import event_loop
import pool_stand_ins
from behave import given, then, when

from daisyfall import _clock, _pool_wire
from daisyfall.process import (
    _call_health,
    _leased_runner,
    _runner_session,
)
from daisyfall.request import _run

BOUNDS = pool_stand_ins.BOUNDS


def order_of(task):
    return _pool_wire.RunTask(task, 1, task.split(".")[0], "{}", 1000, 10, 0, 5000.0, 1000)


def accept_order(context, task, entry):
    context.session.runs.accept(order_of(task), entry, _clock.monotonic())
    context.session.start_queued()


@given("an agent whose runner runs a task of entry e and confirms no stop")
def make_session(context):
    context.next_runner = None

    def connect(heartbeat):
        context.runner = context.next_runner or pool_stand_ins.FakeRunner(
            heartbeat, confirms_stops=False
        )
        return context.runner

    async def start_session():
        context.ends, context.crashes = [], []
        context.session = pool_stand_ins.new_session(
            connect,
            on_runs_ended=context.ends.extend,
            on_crashed=lambda crash_id, runs: context.crashes.append((crash_id, runs)),
        )
        context.session.handle_heartbeat(pool_stand_ins.runner_heartbeat())
        await pool_stand_ins.wait_available(context.session)
        accept_order(context, "j.0.0", "e")
        await asyncio.sleep(0.05)
        assert context.runner.started == ["j.0.0"]

    event_loop.run(context, start_session())


@when("entry e is lost and the time-out of the stop passes")
def lose_entry(context):
    async def lose():
        context.session.runs.lose_entry("e")
        context.session.send_stops(_clock.monotonic())
        await asyncio.sleep(BOUNDS.stop_timeout_s + 0.03)

    event_loop.run(context, lose())


def order(context, task, entry):
    async def accept():
        accept_order(context, task, entry)
        await asyncio.sleep(0.05)

    event_loop.run(context, accept())


@when("entry f orders a task")
def order_task(context):
    order(context, "k.0.0", "f")


@then("the runner receives no start order for that task")
def check_no_start(context):
    assert context.runner.started == ["j.0.0"], context.runner.started


@then("the agent assumes that the runs continue for the lease of the last start order")
def check_lease(context):
    min_lease_until = context.runner.ordered_at + _runner_session.START_LEASE_MS / 1000
    assert context.session.lease.until >= min_lease_until


@when("the runner lists the task as end 7")
def list_end(context):
    context.runner.ended = (_leased_runner.EndedRun(7, "j.0.0", 1, _leased_runner.RunOutcome.DONE),)
    event_loop.run(context, asyncio.sleep(0.1))
    assert context.runner.acknowledged == 7, context.runner.acknowledged


@when("the runner restarts under its id")
def restart_runner(context):
    context.runner.restart()
    event_loop.run(context, asyncio.sleep(0.2))


@when("the runner restarts under its id and then gets an order of entry f")
def restart_before_order(context):
    async def restart():
        # The clock of a runner that has run for long is far ahead of that of the next one.
        await asyncio.sleep(0.3)
        context.runner.restart()
        accept_order(context, "k.0.0", "f")
        await asyncio.sleep(0.15)
        assert context.runner.started == ["k.0.0"], context.runner.started

    event_loop.run(context, restart())


@when("the runner announces itself again and lists the task of entry f")
def announce_and_list(context):
    event_loop.run(context, announce_restarted(context))
    event_loop.run(context, asyncio.sleep(0.2))


async def announce_restarted(context):
    """Announce the restarted runner; return as soon as it is in use."""
    # The same process answers the next client of the agent.
    context.next_runner = context.runner
    heartbeat = attrs.evolve(
        pool_stand_ins.runner_heartbeat(life=2), id="i-1", born_ms=context.runner.born_ms
    )
    context.session.handle_heartbeat(heartbeat)
    async with asyncio.timeout(1.0):
        while context.session.heartbeat.born_ms != heartbeat.born_ms:
            await asyncio.sleep(0)


@when("the runner announces itself again and then answers nothing for {seconds:g} s")
def announce_and_fall_silent(context, seconds):
    async def fall_silent():
        await announce_restarted(context)
        context.runner.failure = _leased_runner.CallOutcome.UNANSWERED
        await asyncio.sleep(seconds)

    event_loop.run(context, fall_silent())


@then("only the task of entry e has ended, as crashed")
def check_only_crashed(context):
    ends = [(each.order.task, each.how) for each in context.ends]
    assert ends == [("j.0.0", _run.CRASHED)], ends


@when("the runner answers and confirms stops")
def answer_and_confirm(context):
    context.runner.failure = None
    confirm_stops(context)


@when("the runner confirms stops")
def confirm_stops(context):
    async def tick():
        for _ in range(10):
            context.session.send_stops(_clock.monotonic())
            await asyncio.sleep(0.05)

    context.runner.confirms_stops = True
    event_loop.run(context, tick())


@then("the task of entry f has ended as unanswered")
def check_unanswered(context):
    ends = [(each.order.task, each.how) for each in context.ends]
    assert ends == [("j.0.0", _run.CRASHED), ("k.0.0", _run.UNANSWERED)], ends


@then("the agent acknowledges no end to the restarted runner")
def check_nothing_acknowledged(context):
    assert context.runner.acknowledged == 0, context.runner.acknowledged


@then("no task is started until the runner announces itself")
def check_waits_for_announcement(context):
    order(context, "m.0.0", "e")
    assert context.runner.started == [], context.runner.started


def announce(context, **properties):
    context.session.handle_heartbeat(pool_stand_ins.runner_heartbeat(**properties))


@when("the runner is draining")
def drain(context):
    announce(context, sequence=2, is_draining=True)


@when("another incarnation of the runner announces itself")
def replace_runner(context):
    async def replace():
        announce(context, life=2)
        await asyncio.sleep(0.1)

    event_loop.run(context, replace())


@when("the runner refuses connections for {seconds:g} s")
def refuse_connections(context, seconds):
    context.runner.failure = _leased_runner.CallOutcome.UNREACHABLE
    event_loop.run(context, asyncio.sleep(seconds))


@when("the runner refuses connections until its lease has expired")
def refuse_until_expiry(context):
    lose_runs(context, _leased_runner.CallOutcome.UNREACHABLE)


@then("the task has ended no earlier than the lease")
def check_end_with_lease(context):
    assert [each.how for each in context.ends] == [_run.CRASHED], context.ends
    assert context.runs_ended_at >= context.session.lease.until


@when("another runner answers at the address")
def answer_as_another(context):
    context.runner.failure = _leased_runner.CallOutcome.REPLACED
    event_loop.run(context, asyncio.sleep(0.1))
    assert [each.how for each in context.ends] == [_run.CRASHED], context.ends


@then("no run has ended and no crash is reported")
def check_nothing_lost(context):
    assert not context.ends, context.ends
    assert not context.crashes, context.crashes


@when("the runner answers again with its task")
def answer_with_task(context):
    context.runner.failure = None
    event_loop.run(context, asyncio.sleep(0.1))


@when("entry f orders a task after the pause for unhealthy runners")
def order_after_pause(context):
    event_loop.run(context, asyncio.sleep(_call_health.UNHEALTHY_PAUSE_S))
    order(context, "k.0.0", "f")


@when("the runner is silent until its lease has expired")
def be_silent(context):
    lose_runs(context, _leased_runner.CallOutcome.UNANSWERED)


def lose_runs(context, failure):
    async def wait():
        async with asyncio.timeout(2.0):
            while context.session.runs.run_by_task:
                await asyncio.sleep(0.005)
        context.runs_ended_at = _clock.monotonic()

    context.runner.failure = failure
    event_loop.run(context, wait())


@when("the runner answers again")
def answer_again(context):
    context.runner.failure = None
    context.runner.running = []
    event_loop.run(context, asyncio.sleep(0.1))


@then("a crash with the task is reported once")
def check_crash(context):
    (crash,) = context.crashes
    crash_id, ((task, _route, run_ms, expected_ms),) = crash
    assert (crash_id, task) == ("i-1/1", "j.0.0"), crash
    assert 0 < run_ms < expected_ms == 5000.0, crash


@then("no crash is reported")
def check_no_crash(context):
    assert not context.crashes, context.crashes


@when("the runner lists a run that the agent doesn't know")
def list_unknown(context):
    context.runner.running.append("x.0.0")
    event_loop.run(context, asyncio.sleep(0.05))


@when("that run has ended")
def end_unknown(context):
    context.runner.running.remove("x.0.0")
    event_loop.run(context, asyncio.sleep(0.3))


@then("the task of entry f is started")
def check_started(context):
    assert context.runner.started == ["j.0.0", "k.0.0"], context.runner.started
