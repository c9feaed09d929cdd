"""Steps for runners of uneven speed; the clock is simulated."""

import random

import attrs
import hypothesis
import pool_stand_ins
import runner_replay
from behave import given, step, then, when
from hypothesis import strategies

from daisyfall import _pool_wire
from daisyfall.policy import (
    _candidates,
    _job_queue,
    _runner_capacity,
    _runner_speed,
    _scheduler,
)
from daisyfall.process import _leased_runner
from daisyfall.request import _runs

POOL = "pool"
CPU = 4000
CPU_BY_KIND = {"a": 64_000, "b": 96_000}
REMOTE_FACTOR = 2.0


def add_runner(context, name, kind, rack, *, speed=1.0, samples=32, free=60, incarnation="1"):
    cpu = CPU_BY_KIND[kind]
    runner = _runner_capacity.RunnerCapacity(
        name, POOL, cpu, 256_000, 0, (kind, rack), True, incarnation
    )
    context.scheduler.update_runner(runner)
    busy_cpu = cpu - 1000 * free
    busy = _runner_capacity.Allocation(busy_cpu, 1, 0, context.now, "busy")
    busy_by_task = {f"busy.0.{name}": busy} if busy_cpu else {}
    context.scheduler.sync_allocations(name, busy_by_task, context.now)
    context.scheduler.update_speed(name, 0.0, context.now, speed=speed, samples=samples)


def make_scheduler(context):
    context.now, context.jobs = 100.0, 0
    context.scheduler = _scheduler.Scheduler(random.Random(1), REMOTE_FACTOR)


@given("the uneven runners {runners}")
def add_runners(context, runners):
    make_scheduler(context)
    for text in runners.split():
        name, kind, rack, speed, free = text.split(":")
        add_runner(context, name, kind, rack, speed=float(speed), free=int(free))


def pool_runners(context):
    return context.scheduler._get_pool(POOL).runners


def submit(context, tasks, *, ms=100.0, slack_ms=0.0, rack="", avoid=()):
    """Submit a job; return the runners of its tasks."""
    context.jobs += 1
    job = f"j{context.jobs}"
    demands = [
        _runner_capacity.Demand(
            f"{job}.0.{index}", job, CPU, 1, 0, ms, preferred_rack=rack, avoid=avoid
        )
        for index in range(tasks)
    ]
    latest = context.now + slack_ms / 1000
    batch = _job_queue.TaskBatch(
        job, "e", job, POOL, 0, demands, latest, latest + 9, has_started=True
    )
    decisions = context.scheduler.submit(batch, context.now)
    placed = [each for each in decisions if isinstance(each, _scheduler.Placement)]
    context.placed = {t: r for each in placed for t, r in each.runner_by_task.items()}
    return list(context.placed.values())


@when("a task of {ms:d} ms arrives whose job may end {slack:d} ms later, near {rack}")
def arrive(context, ms, slack, rack):
    rack = "" if rack == "none" else rack
    context.choice = submit(context, 1, ms=ms, slack_ms=slack, rack=rack)


@then("it is placed on {choice}")
def check_choice(context, choice):
    assert context.choice == ([] if choice == "none" else [choice]), context.choice


@when("a job of {tasks:d} tasks of {ms:d} ms arrives that may end {slack:d} ms later")
def arrive_job(context, tasks, ms, slack):
    context.choice = submit(context, tasks, ms=ms, slack_ms=slack)


@then("each of its tasks is on a runner of its own: y z x")
def check_together(context):
    assert context.choice == ["y", "z", "x"], context.choice


@when("a job of 2 tasks of {ms:d} ms arrives, of which one runs on a runner of speed 1.0 already")
def choose_second(context, ms):
    for name in ("y", "z"):
        context.scheduler.sync_allocations(name, {}, context.now + 9)
    candidates = _candidates.Candidates(pool_runners(context), context.now)
    for name in ("y", "z"):
        busy = _runner_capacity.Allocation(50_000, 1, 0, context.now, "busy")
        context.scheduler.sync_allocations(name, {"b": busy}, context.now + 9)
    demand = _runner_capacity.Demand("k.0.1", "k", CPU, 1, 0, ms)
    context.choice = [candidates.choose(demand, "", 0.0, each).id for each in (0.0, ms)]


@then("the other one may run on x")
def check_second(context):
    assert context.choice == ["y", "x"], context.choice


@then("no other choice would end earlier, whatever the runners are")
def check_property(context):
    runner = strategies.tuples(
        strategies.sampled_from(("a", "b")),
        strategies.integers(0, 2),
        strategies.floats(0.5, 2.0),
        strategies.integers(0, 60),
    )

    def check(rows, slack_ms, rack):
        make_scheduler(context)
        for number, (kind, of_rack, speed, free) in enumerate(rows):
            add_runner(context, f"r{number}", kind, f"k{of_rack}", speed=speed, free=free)
        demand = _runner_capacity.Demand("j.0.0", "j", CPU, 1, 0, 500.0, preferred_rack=rack)
        candidates = _candidates.Candidates(pool_runners(context), context.now)
        chosen = candidates.choose(demand, "", slack_ms)
        runners = [each for each in context.scheduler.runner_by_id.values() if each.fits(demand)]
        assert (chosen is None) == (not runners)
        if chosen is not None:
            first_ms = min(candidates.run_ms(each, demand) for each in runners)
            limit_ms = first_ms + 2 * _candidates.SLACK_SHARE * slack_ms
            assert chosen.fits(demand) and candidates.run_ms(chosen, demand) <= limit_ms + 1e-6

    hypothesis.settings(max_examples=200, derandomize=True, database=None, deadline=None)(
        hypothesis.given(
            strategies.lists(runner, min_size=1, max_size=8),
            strategies.floats(0, 500),
            strategies.sampled_from(("", "k0", "k9")),
        )(check)
    )()


@when("many tasks that prefer {rack} have arrived")
def record_demand(context, rack):
    demand = _runner_capacity.Demand("k.0.0", "k", 60_000, 1, 0, 1000.0, preferred_rack=rack)
    pool_runners(context).record_demands([demand], context.now)
    context.scheduler.advance(context.now)


@given("{name} has no room")
def fill(context, name):
    busy = _runner_capacity.Allocation(64_000, 1, 0, context.now, "busy")
    context.scheduler.sync_allocations(name, {"busy.0.0": busy}, context.now)


@when("{count:d} tasks take {slowdown:g} times the expected run time")
def measure(context, count, slowdown):
    context.meter = _runner_speed.SpeedMeter()
    for _ in range(count):
        context.meter.add(slowdown)


@then("the measured speed is {speed:g}")
def check_measured(context, speed):
    assert round(context.meter.speed, 2) == speed, context.meter.speed


@given("{count:d} runners of kind b with a speed of {speed:g}, measured in {samples:d} tasks")
def add_kind(context, count, speed, samples):
    make_scheduler(context)
    for number in range(count):
        add_runner(context, f"r{number}", "b", "r1", speed=speed, samples=samples)


@when("a runner of kind b joins")
def join(context):
    add_runner(context, "new", "b", "r1", samples=0)


@when("it reports a speed of {speed:g}, measured in {samples:d} tasks")
def report_speed(context, speed, samples):
    context.scheduler.update_speed("new", 0.0, context.now, speed=speed, samples=samples)


@when("another incarnation takes its place")
def replace(context):
    runner = context.scheduler.runner_by_id["new"]
    context.scheduler.update_runner(attrs.evolve(runner, incarnation="2"))


@then("its speed is between {low:g} and {high:g}")
def check_speed(context, low, high):
    speed = pool_runners(context).speeds.speed("new")
    assert low <= speed <= high, speed


@then("the pool counts as {cores:d} cores")
def check_cores(context, cores):
    assert round(context.scheduler.cores(POOL)) == cores, context.scheduler.cores(POOL)


def order(task, ms, *, may_move=True, rack="", latest_ms=0):
    return _pool_wire.RunTask(
        task, 1, "j", "", 100, 1, 0, float(ms), 100, may_move, 0, "", rack, latest_ms
    )


def start_runs(context, orders, started_at=50.0):
    context.runs = _runs.Runs(pool_stand_ins.BOUNDS, REMOTE_FACTOR)
    context.runs.capacity, context.runs.labels = (64_000, 1000, 0), ("a", "r1")
    context.now, context.percent = started_at, 0
    for each in orders:
        context.runs.accept(each, "e", context.now)
    for run in context.runs.pop_startable(context.now):
        context.runs.started(run, context.now)


def list_progress(context, seconds, late_s=0.0):
    context.now += seconds
    running = tuple(
        _leased_runner.RunProgress(task, 1, context.percent) for task in context.runs.run_by_task
    )
    snapshot = _leased_runner.RunSnapshot(context.now * 1000, 1, running, ())
    context.runs.apply_snapshot(snapshot, context.now, context.now + late_s)
    context.now += late_s
    context.runs.mark_rescheduled(context.now)


@given("{count:d} tasks of {ms:d} ms run after {ended:d} tasks ended in time")
def run_after_others(context, count, ms, ended, rack=""):
    start_runs(context, [order(f"e.0.{number}", ms) for number in range(ended)])
    earlier = context.runs
    start_runs(context, [order(f"j.0.{number}", ms, rack=rack) for number in range(count)])
    for run in list(earlier.run_by_task.values()):
        context.runs.run_by_task[run.task] = run
        context.runs.finish(run, "done", run.started_at + ms / 1000)
    context.now += ms / 1000
    for run in context.runs.run_by_task.values():
        run.started_at = run.progressed_at = run.progress.started_at = context.now


@given("{count:d} far tasks of {ms:d} ms run after {ended:d} tasks ended in time")
def run_far(context, count, ms, ended):
    run_after_others(context, count, ms, ended, "r9")


@step("each gets on by {percent:d} percent in {seconds:g} s")
def get_on(context, percent, seconds):
    for _ in range(2):
        context.percent += percent
        list_progress(context, seconds)


@step("each gets on by {percent:d} percent in {seconds:g} s, and the answer is {late:g} s late")
def get_on_late(context, percent, seconds, late):
    context.percent += percent
    list_progress(context, seconds, late)


@then("the runner counts as slow: {is_slow}")
def check_slow(context, is_slow):
    assert context.runs.is_slow(context.now) == (is_slow == "yes"), context.runs.slowness(
        context.now
    )


@then("{count:d} tasks are moved")
def check_moves(context, count):
    stops = [each.stop_reason for each in context.runs.due_stops(context.now)]
    assert stops == ["straggling"] * count, stops


@when("{runner:w} turns slow")
def turn_slow(context, runner):
    context.scheduler.update_speed(runner, 8.0, context.now, samples=32)


@step("{seconds:g} s pass for the runners")
def pass_time(context, seconds):
    context.now += seconds
    context.scheduler.update_speed("x", 0.0, context.now, samples=32)
    context.scheduler.advance(context.now)


@step("x gets {count:d} tasks")
@step("x gets {count:d} task")
def check_share(context, count):
    found = submit(context, 12, avoid=("y",)).count("x")
    context.scheduler.withdraw_entry("e")
    assert found == min(count, 12), found


@then("x gets {count:d} tasks once these are done")
def check_next_share(context, count):
    end_tasks(context, 1.0)
    check_share(context, count)


def end_tasks(context, slowdown):
    context.now += 0.1
    for task, runner in context.placed.items():
        job = task.partition(".")[0]
        context.scheduler.record_task_end(runner, task, job, "done", context.now, slowdown=slowdown)


@when("it ends after {times:g} times the expected run time")
def end_slow(context, times):
    end_tasks(context, times)


@given("3 tasks run on x")
def run_earlier(context):
    submit(context, 3)
    context.earlier = list(context.placed)


@when("tasks fail on x, and each time one of the 3 tasks ends well")
def fail_between(context):
    for task in context.earlier:
        submit(context, 1)
        (failing,) = context.placed
        for each, how in ((failing, "failed"), (task, "done")):
            job = each.partition(".")[0]
            context.scheduler.record_task_end("x", each, job, how, context.now)


def leave_unanswered(context, tasks):
    for task in tasks:
        job = task.partition(".")[0]
        context.scheduler.record_task_end("x", task, job, "unanswered", context.now)


@when("the orders of the 3 tasks are unanswered")
def fail_earlier(context):
    leave_unanswered(context, context.earlier)


@when("the orders of these are unanswered")
def fail_placed(context):
    leave_unanswered(context, context.placed)


@when("a later order is unanswered")
def fail_later(context):
    submit(context, 1)
    fail_placed(context)


@given("a replay of 60 runners of speeds 1.0, 1.0 and 1.3 at {load:d}% load")
def start_replay(context, load):
    context.replay = runner_replay.Replay(
        [(1.0, 1.0, 1.3)[each % 3] for each in range(60)], load / 100
    )
    context.replay.run(2.0)


@when("9 of its runners turn {times:g} times slower for {seconds:g} s")
def slow_down(context, times, seconds):
    replay = context.replay
    context.late_before, context.slowed_at = len(replay.late), replay.now
    slowed = list(replay.runner_by_id.values())[::7]
    assert len(slowed) == 9
    for factor, duration_s in ((times, seconds), (1.0, 2.0)):
        for runner in slowed:
            runner.slowdown = factor
        replay.run(duration_s)


@then("no job was late before that")
def check_before(context):
    assert not context.late_before


@then("of the jobs that arrived since, at most {count:d} for each slow runner were late")
def check_late(context, count):
    arrivals = context.replay.arrival_by_job
    late = [job for job in context.replay.late if arrivals[job] > context.slowed_at]
    assert len(late) <= 9 * count, len(late)


@when("{share:d}% of the jobs of a route prefer the same rack for {seconds:g} s")
def prefer_rack(context, share, seconds):
    context.replay.hot_share = share / 100
    context.replay.run(seconds)


def late_jobs(context, *, hot):
    rack_by_job = context.replay.rack_by_job
    return [job for job in context.replay.late if (rack_by_job[job] == "rack0") == hot]


@then("no job that prefers another rack is late")
def check_other_racks(context):
    assert not late_jobs(context, hot=False), late_jobs(context, hot=False)


@then("at most {percent:d}% of the jobs that prefer the rack are late")
def check_rack(context, percent):
    count = list(context.replay.rack_by_job.values()).count("rack0")
    assert len(late_jobs(context, hot=True)) <= count * percent / 100, count
