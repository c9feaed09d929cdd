"""Steps for the confinement of routes whose tasks crash runners."""

import itertools

import pool_policy_steps as policy
from behave import given, step, then, when

from daisyfall.policy import _scheduler

TASK_CPU = 1000
LONG_S = 60.0


@given("a pool of {count:d} runners that have room for {tasks:d} tasks each")
def make_pool(context, count, tasks):
    policy.make_large_scheduler(context, count, tasks * TASK_CPU)
    # Runners that have just come back idle are a recovery.
    policy.keep_runners(context, 2.0)
    context.numbers = itertools.count()


@step("{seconds:g} s pass for the pool")
def wait(context, seconds):
    policy.pass_time(context, seconds)


def submit(context, route, tasks):
    """Submit a job of a route; return the scheduler's decisions."""
    job = f"job{next(context.numbers)}"
    return policy.submit(context, job, tasks, TASK_CPU, LONG_S, route=route)


def place(context, route, tasks):
    """Return the runners of the tasks of one job that are placed at once."""
    (placement,) = submit(context, route, tasks) or [None]
    return list(placement.runner_by_task.values()) if placement else []


def bring_work(context, work_by_route):
    """Submit jobs whose tasks end at once, so many that later ones hardly change the shares."""
    for route, tasks in list(work_by_route.items()) * 40:
        (placement,) = submit(context, route, tasks)
        for task, runner_id in placement.runner_by_task.items():
            job_id = placement.batch.job_id
            context.scheduler.record_task_end(runner_id, task, job_id, "done", context.now)


@given("route a brings a fifth of the work and route b the rest")
def bring_fifth(context):
    bring_work(context, {"a": 10, "b": 40})


@given("route a brings all the work")
def bring_all(context):
    wait(context, 1000.0)
    bring_work(context, {"a": 10})


@when("route a is confined")
def confine(context):
    context.scheduler.confine("a", context.now)
    wait(context, 0.1)


@then("{tasks:d} tasks of route a are placed on at most {count:d} runners")
def check_bulkhead(context, tasks, count):
    context.bulkhead = set(place(context, "a", tasks))
    assert 0 < len(context.bulkhead) <= count, context.bulkhead


@then("{tasks:d} tasks of route b are placed on none of these")
def check_apart(context, tasks):
    placed = place(context, "b", tasks)
    assert len(placed) == tasks and not context.bulkhead & set(placed), placed


@then("{tasks:d} tasks of route {route:w} are placed")
def check_placed(context, tasks, route):
    assert len(place(context, route, tasks)) == tasks


@then("of {tasks:d} tasks of route a, {count:d} are placed and the others wait")
def check_wait(context, tasks, count):
    assert len(place(context, "a", tasks)) == count
    assert context.scheduler.queued == 1


@when("the runners of route a crash")
def crash_bulkhead(context):
    for runner_id in set(place(context, "a", 24)):
        policy.open_runner(context, runner_id, is_open=False)
        context.scheduler.sync_allocations(runner_id, {}, context.now)
    wait(context, 1.0)


@then("no task of route a is placed")
def check_none_placed(context):
    assert not any(
        isinstance(decision, _scheduler.Placement) for decision in submit(context, "a", 3)
    )


@then("a job of route a is refused at once, with a retry hint")
def check_refused(context):
    (refusal,) = submit(context, "a", 3)
    assert refusal.reason == _scheduler.WOULD_START_LATE and refusal.retry_after_s > 0, refusal
