"""Steps for the jobs of an entry; the links to agents only record the messages that are sent."""

import asyncio
import random

import attrs
import event_loop
import pool_stand_ins
from behave import given, step, then, when

from daisyfall import _clock, _pool_wire
from daisyfall.process import _pool_metrics
from daisyfall.request import _job_callbacks, _pool_job_manager, _pool_jobs
from daisyfall.version import _routes

ROUTE = _routes.Route("r", "h", "/", "p", 0, 2, 3.0, 400.0, 0.0)
STEP = _pool_jobs.Step(1, 1000, 10, 0, 100.0)
WAIT_S = 20.0


def link_to(incarnation):
    return pool_stand_ins.FakeLink(pool_stand_ins.handshake("agent", "a", incarnation=incarnation))


def submit_job(context, job_id, step=STEP):
    submission = _pool_jobs.Submission(job_id, ROUTE, "{}", (step,), WAIT_S)

    async def submit():
        return context.manager.start_job(submission)

    return event_loop.run(context, submit())


def start_job(context, job_id):
    submit_job(context, job_id)
    request = context.placed.pop()
    task = request.demands[0].task
    context.manager.handle_placement_reply(_pool_wire.TasksPlaced(request.id, job_id, {task: "a"}))
    return task


def make_manager(context):
    metrics = _pool_metrics.PoolMetrics()
    context.manager = _pool_job_manager.PoolJobManager(
        "e", pool_stand_ins.BOUNDS, metrics, random.Random(1)
    )
    context.placed = []
    context.link = link_to("life-1")
    context.dialled = []
    context.manager.set_callbacks(
        _job_callbacks.JobCallbacks(
            place=context.placed.append,
            withdraw=lambda _job: None,
            link_to=lambda _agent: context.link,
            describe=dict,
            on_dispatch=lambda _agent: None,
            dial=context.dialled.append,
        )
    )
    context.now = _clock.monotonic()


@given("an entry whose job has a task at agent a")
def run_task(context):
    make_manager(context)
    context.task = start_job(context, "job1")
    assert context.link.sent


@given("an entry whose job waits for a placement")
def wait_for_placement(context):
    make_manager(context)
    submit_job(context, "job1")
    context.first_request = context.placed.pop()
    context.task = context.first_request.demands[0].task


@when("the job is sent again after its route has moved to pool q")
def send_again(context):
    moved = attrs.evolve(ROUTE, pool="q")
    submission = _pool_jobs.Submission("job1", moved, "{}", (STEP,), WAIT_S)

    async def submit():
        context.waiting = asyncio.create_task(context.manager.submit(submission))
        await asyncio.sleep(0)

    event_loop.run(context, submit())


@when("its task ends as done in the old pool")
def end_task(context):
    (order,) = context.link.sent
    context.manager.handle_task_ended("a", _pool_wire.TaskEnded(order.task, order.run, "done", 1.0))


@when("the placement in the old pool arrives")
def place_in_old_pool(context):
    request = context.first_request
    placement = _pool_wire.TasksPlaced(request.id, request.job_id, {context.task: "a"})
    context.manager.handle_placement_reply(placement)


@then("no task is ordered")
def check_not_ordered(context):
    assert not context.link.sent, context.link.sent


@step("its task is placed again in pool q")
def check_new_pool(context):
    assert not context.waiting.done(), context.waiting
    (request,) = context.placed
    assert (request.pool, request.demands[0].task) == ("q", context.task), request


@when("another job has a task at agent a")
def start_another(context):
    start_job(context, "job2")


@when("the link to agent a breaks")
def break_link(context):
    context.link = None
    context.manager.agent_disconnected("a", "life-1", context.now)


@when("it opens and breaks again after {seconds:g} s, before the agent has told its tasks")
def flap_link(context, seconds):
    context.now += seconds
    context.manager.mark_unreconciled("a")
    context.link = link_to("life-1")
    context.manager.expire(context.now)
    break_link(context)


@when("agent a reconnects after {seconds:g} s as {which} incarnation {presence} the task")
def reconnect(context, seconds, which, presence):
    context.now += seconds
    context.link = link_to("life-1" if which == "the same" else "life-2")
    context.manager.mark_unreconciled("a")
    present = [context.task] if presence == "with" else []
    context.manager.reconcile_tasks("a", context.link, _pool_wire.Resumed(present))


def placed_after(context, seconds):
    context.now += seconds
    context.manager.expire(context.now)
    return [each.demands[0].task for each in context.placed]


@then("no task is placed again after {seconds:g} s more")
def check_none_placed(context, seconds):
    assert not placed_after(context, seconds), context.placed


@step("the task is placed again after {seconds:g} s more")
@step("only the task of the first job is placed again after {seconds:g} s more")
def check_placed_again(context, seconds):
    assert placed_after(context, seconds) == [context.task], context.placed


@when("the entry must exit in {seconds:g} s")
def set_shutdown_deadline(context, seconds):
    context.manager.limits.set_shutdown_deadline(_clock.monotonic() + seconds)


@then("a job of {ms:d} ms is accepted")
def check_accepted(context, ms):
    answer = submit_job(context, f"short{ms}", attrs.evolve(STEP, estimated_ms=float(ms)))
    assert not answer.done()
    assert context.placed.pop().job_id == f"short{ms}"


@then("a job of {ms:d} ms is refused as {reason}, with a retry hint")
def check_refused(context, ms, reason):
    answer = submit_job(context, f"long{ms}", attrs.evolve(STEP, estimated_ms=float(ms)))
    assert answer.done() and not context.placed, context.placed
    found = answer.result()
    assert (found.outcome, found.reason) == (_pool_jobs.Outcome.REFUSED, reason), found
    assert found.retry_after_s > 0


@when("it is placed at agent a, to which no link is open")
def place_without_link(context):
    context.link = None
    placed = _pool_wire.TasksPlaced(context.first_request.id, "job1", {context.task: "a"})
    context.manager.handle_placement_reply(placed)


@then("agent a is dialled and the task not placed elsewhere yet")
def check_held(context):
    assert context.dialled == ["a"]
    assert not context.placed


@when("the link to agent a opens")
def open_link(context):
    context.link = link_to("life-1")
    context.manager.mark_unreconciled("a")
    context.manager.reconcile_tasks("a", context.link, _pool_wire.Resumed([]))


@then("the task is ordered at agent a")
def check_ordered(context):
    (order,) = context.link.sent
    assert (order.task, order.run) == (context.task, 1), order


@then("after {seconds:g} s it is placed elsewhere, once")
def check_placed_elsewhere(context, seconds):
    for after_s in (seconds, seconds + 1):
        context.manager.expire(_clock.monotonic() + after_s)
    (request,) = context.placed
    assert request.demands[0].avoid == ("a",), request.demands
