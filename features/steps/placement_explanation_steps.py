"""Steps for the explanation of placements, with a scheduler alone and with processes."""

import asyncio
import copy
import json
import random
import subprocess
import sys

import event_loop
from behave import given, step, then, when

from daisyfall.platform import _node_process
from daisyfall.policy import _job_queue, _placement_explanation, _runner_capacity, _scheduler
from daisyfall_standins import platform_world

POOL = "p"
NOW = 1000.0
ROUTE = "route /orders/"
STEPS = '[{"Count":2,"Cpu":1000,"EstimatedMs":200},{"Count":1,"After":[0]}]'


def batch(job, tasks, cpu, label=""):
    demands = [
        _runner_capacity.Demand(f"{job}.0.{index}", job, cpu, 10, expected_ms=100.0, label=label)
        for index in range(tasks)
    ]
    return _job_queue.TaskBatch(
        f"{job}/1", "e", job, POOL, 0, demands, NOW + 1.0, NOW + 5.0, route="r"
    )


@given("a pool of {count:d} explained runners of {cores:d} cores, of which {state}")
def make_pool(context, count, cores, state):
    context.scheduler = _scheduler.Scheduler(random.Random(1))
    for number in range(count):
        name = f"a{number}"
        is_last = number == count - 1
        is_open = not (is_last and state == "one is closed")
        runner = _runner_capacity.RunnerCapacity(
            name, POOL, cores * 1000, 1000, 0, ("rack-1",), is_open
        )
        context.scheduler.update_runner(runner)
        if not (is_last and state == "one has no report"):
            busy = _runner_capacity.Allocation(cores * 1000, 10, 0, NOW, "other")
            allocations = {f"other.0.{number}": busy} if state == "all are busy" else {}
            context.scheduler.sync_allocations(name, allocations, NOW)
    if state == "one failed jobs":
        for number in range(8):
            context.scheduler.record_task_end("a2", f"f{number}.0.0", f"f{number}", "failed", NOW)


@step("{count:d} jobs of {cores:d} cores are queued there before")
def queue_jobs(context, count, cores):
    # As if all were queued at once: admission control would refuse the later ones.
    for number in range(count):
        queued = batch(f"q{number}", 1, cores * 1000)
        context.scheduler._batch_by_id[queued.id] = queued
        queued.latest_start = NOW + 0.5
        context.scheduler._get_pool(POOL).queue.add(queued)


@when('a job of {tasks:d} tasks of {cpu:d} cores with label "{label}" is explained')
@when('a job of {tasks:d} tasks of {cpu:d} cores with label "" is explained')
def explain(context, tasks, cpu, label=""):
    context.before = copy.deepcopy(context.scheduler)
    context.batch = batch("explained", tasks, cpu * 1000, label)
    context.explanation = _placement_explanation.explain(context.scheduler, context.batch, NOW)


@then('the explanation says {outcome} with reason "{reason}"')
@then('the explanation says {outcome} with reason ""')
def check_outcome(context, outcome, reason=""):
    found = context.explanation
    assert (found.outcome, found.reason) == (outcome, reason), found


@step("it counts {obstacles} for a task that doesn't start")
def check_obstacles(context, obstacles):
    found = {
        ", ".join(f"{why}={number}" for why, number in sorted(each.count_by_obstacle.items()))
        for each in context.explanation.tasks
        if not each.runner
    }
    assert found == (set() if obstacles == "nothing" else {obstacles}), found


def state_of(scheduler):
    """Return what a decision could change."""
    pool = scheduler._get_pool(POOL).runners
    return (
        {
            runner_id: (sorted(runner.allocation_by_task), runner.free_cpu, runner.health.state)
            for runner_id, runner in scheduler.runner_by_id.items()
        },
        [(each.id, each.has_started) for each in scheduler._get_pool(POOL).queue.batches],
        sorted(scheduler._batch_by_id),
        (
            pool.free_cpu,
            pool.healthy_cpu,
            pool._returned_cpu,
            list(pool._order.by_falling_free_cpu()),
        ),
        pool.confinement._work_by_route,
        scheduler._rng.getstate(),
    )


@step("the scheduler is unchanged and decides the same")
def check_unchanged(context):
    assert state_of(context.scheduler) == state_of(context.before)
    runner_by_task, reason = {}, ""
    for decision in context.scheduler.submit(context.batch, NOW):
        match decision:
            case _scheduler.Placement(_, placed):
                runner_by_task |= placed
            case _scheduler.Refusal(_, refused_for, _):
                reason = refused_for
    explained = {each.task: each.runner for each in context.explanation.tasks if each.runner}
    assert (explained, context.explanation.reason) == (runner_by_task, reason)


def run_explain(context, entry, route, options):
    address = f"{context.deployment._entry_ips[entry]}:{_node_process.METRICS_PORT}"
    command = [sys.executable, "-m", "daisyfall.ctl", "placement", "explain", address, route]
    call = asyncio.to_thread(
        subprocess.run, [*command, *options], capture_output=True, text=True, check=False
    )
    return event_loop.run(context, call)


@when('an operator explains "{options}" at both entries')
def explain_at_both(context, options):
    options = [*options.split(), "--json"]
    context.results = [run_explain(context, entry, ROUTE, options) for entry in range(2)]


@then("one entry explains it, and the other names it with its address")
def check_both(context):
    statuses = sorted(each.returncode for each in context.results)
    assert statuses == [0, 3], context.results
    context.leader = [each.returncode for each in context.results].index(0)
    other = json.loads(context.results[1 - context.leader].stdout)
    leader_ip = context.deployment._entry_ips[context.leader]
    assert other["address"] == f"{leader_ip}:{_node_process.METRICS_PORT}", other
    assert f"entry-{context.leader} schedules" in other["error"]["detail"], other


@step('{started:d} tasks would start and {waiting:d} would wait as "{why}"')
def check_tasks(context, started, waiting, why):
    tasks = json.loads(context.results[context.leader].stdout)["tasks"]
    count, obstacle = why.split()
    held = [each for each in tasks if not each["agent"]]
    assert (len(tasks) - len(held), len(held)) == (started, waiting), tasks
    assert all(each["runners"] == {obstacle: int(count)} for each in held), held


@when("an operator explains a job of {wait_ms:d} ms for host and path at the scheduling entry")
def explain_at_leader(context, wait_ms):
    path = f"{platform_world.HOST_NAME}{platform_world.PATH_PREFIX}0123"
    options = [f"--steps={STEPS}", f"--wait-ms={wait_ms}"]
    context.result = run_explain(context, context.leader, path, options)


@then("the text says that {count} tasks are blocked, and that it is refused as {reason}")
def check_text(context, count, reason):
    rows = [line.split() for line in context.result.stdout.splitlines()]
    expected = [["blocked", "tasks", count], ["outcome", "refused"], ["reason", reason]]
    assert all(row in rows for row in expected), context.result
