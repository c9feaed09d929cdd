"""Steps on the jobs of an entry; agents are links that only record what is sent."""

import attrs
import event_loop
from behave import given, step, then, when

from daisyfall import _clock, _pool_wire
from daisyfall.policy import _bounds
from daisyfall.process import _pool_metrics
from daisyfall.request import _pool_job_manager, _pool_jobs
from daisyfall.version import _routes

ROUTE = _routes.Route("r", "h", "/", "p", 0, 2, 3.0, 400.0, 0.0)
STEP = _pool_jobs.Step(1, 1000, 10, 0, 100.0)
WAIT_S = 20.0


class FakeLink:
    """A link to one life of an agent."""

    def __init__(self, incarnation):
        self.peer = _pool_wire.Handshake("agent", "a", incarnation, 1, "dc", 1.0, 0)
        self.sent = []

    def send(self, message):
        self.sent.append(message)


def take(context, job_id, step=STEP):
    submission = _pool_jobs.Submission(job_id, ROUTE, "{}", (step,), WAIT_S)

    async def submit():
        return context.work.start_job(submission)

    return event_loop.run(context, submit())


def start_job(context, job_id):
    take(context, job_id)
    item = context.placed.pop()
    task = item.demands[0].task
    context.work.handle_placement_reply(_pool_wire.TasksPlaced(item.id, job_id, {task: "a"}))
    return task


@given("an entry whose job has a task at agent a")
def make_work(context):
    bounds = _bounds.derive(1.0, 0.05, 1.3)
    context.work = _pool_job_manager.PoolJobManager("e", bounds, _pool_metrics.PoolMetrics())
    context.placed = []
    context.link = FakeLink("life-1")
    context.work.set_callbacks(
        place=context.placed.append,
        withdraw=lambda _job: None,
        link_to=lambda _agent: context.link,
        describe=dict,
    )
    context.now = _clock.monotonic()
    context.task = start_job(context, "job1")
    assert context.link.sent


@when("another job has a task at agent a")
def order_another(context):
    start_job(context, "job2")


@when("the link to agent a breaks")
def break_link(context):
    context.link = None
    context.work.agent_disconnected("a", context.now)


@when("agent a is back after {seconds:g} s as {life} incarnation {presence} the task")
def come_back(context, seconds, life, presence):
    context.now += seconds
    context.link = FakeLink("life-1" if life == "the same" else "life-2")
    context.work.mark_unreconciled("a")
    here = [context.task] if presence == "with" else []
    context.work.reconcile_tasks("a", context.link, _pool_wire.Resumed(here))


def placed_after(context, seconds):
    context.now += seconds
    context.work.expire(context.now)
    return [each.demands[0].task for each in context.placed]


@then("nothing is placed again after {seconds:g} s more")
def check_nothing(context, seconds):
    assert not placed_after(context, seconds), context.placed


@step("the task is placed again after {seconds:g} s more")
@step("only the first job's task is placed again after {seconds:g} s more")
def check_again(context, seconds):
    assert placed_after(context, seconds) == [context.task], context.placed


@when("the entry has {seconds:g} s left until it ends")
def set_end(context, seconds):
    context.work.set_shutdown_deadline(_clock.monotonic() + seconds)


@then("a job of {ms:d} ms is taken")
def check_taken(context, ms):
    answer = take(context, f"short{ms}", attrs.evolve(STEP, estimated_ms=float(ms)))
    assert not answer.done()
    assert context.placed.pop().job_id == f"short{ms}"


@then("a job of {ms:d} ms is refused as {reason}, with a hint to come back")
def check_refused(context, ms, reason):
    answer = take(context, f"long{ms}", attrs.evolve(STEP, estimated_ms=float(ms)))
    assert answer.done() and not context.placed, context.placed
    found = answer.result()
    assert (found.outcome, found.reason) == (_pool_jobs.Outcome.REFUSED, reason), found
    assert found.retry_after_s > 0
