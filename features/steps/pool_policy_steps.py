"""Steps on the decisions of the pool dispatcher; time is a number that the steps advance."""

import heapq
import random
import time

from behave import given, step, then, when

from daisyfall import _pool_wire
from daisyfall.policy import _bounds, _election, _job_queue, _runner_capacity, _scheduler
from daisyfall.process import _leadership, _pool_entry

POOL = "pool"
TASK_MS = 100.0
SOON_S = 1.0


@when(
    "bounds are derived for a lease of {lease:g} s, a stop time of {stop:g} s "
    "and a resend time of {resend:g} s"
)
def derive_bounds(context, lease, stop, resend):
    context.resend = resend
    try:
        context.bounds = _bounds.derive(lease, stop, resend)
    except ValueError as error:
        assert f"{resend:.2f}" in str(error)
        context.bounds = None


@then("the tasks are gone within the resend time: {fits}")
def check_bounds(context, fits):
    assert (context.bounds is not None) == (fits == "yes")
    if context.bounds is not None:
        assert context.bounds.fenced_after_s <= context.resend
        assert context.bounds.lease_s > 0.2 and context.bounds.heartbeat_timeout_s > 0.2


@given("the scheduling candidates {candidates}")
def set_candidates(context, candidates):
    context.candidates = []
    for text in candidates.split():
        name, cores, started, heard, available = text.split(":")
        context.candidates.append(
            _election.Candidate(name, float(cores), int(started), float(heard), available == "yes")
        )


@then("with {current} scheduling the choice is {choice}")
def check_choice(context, current, choice):
    found = _election.choose(context.candidates, "" if current == "none" else current)
    assert found == ("" if choice == "none" else choice), found


class FakeLink:
    """A link of an entry that has been open since `opened_at`."""

    def __init__(self, name, opened_at):
        self.opened_at = opened_at
        self.peer = _pool_wire.Handshake("entry", name, "1", 1, "dc", 1.0, 10)


def hear(context, name, *, schedules=False):
    link = FakeLink(name, context.now)
    context.links = {name: link}
    context.leadership.heard(name, link, _pool_wire.PeerHeartbeat(True, 1, {}, schedules))


def choose(context, after_s):
    context.now += after_s
    context.leadership.choose(context.now, context.links, is_available=True)
    return context.leadership.leader_id


def start_entry(context):
    context.now = 100.0
    context.links = {}
    context.leadership = _leadership.Leadership("b", 1.0, 20, context.now)


@given("an entry b that starts beside an entry a of the same strength that started before it")
def start_beside(context):
    start_entry(context)
    context.now += 0.1
    hear(context, "a")


@given("an entry b that has run for {seconds:g} s")
def run_alone(context, seconds):
    start_entry(context)
    assert choose(context, seconds) == "b"


@when("entry a that ranks before it is heard for the first time")
def hear_a(context):
    hear(context, "a")


@when("entry a that ranks before it and schedules is heard for the first time")
def hear_scheduling(context):
    hear(context, "a", schedules=True)


@then("entry b lets a schedule within 0.2 s of its start")
def check_joined(context):
    assert choose(context, 0.05) == "a"


@then("entry b lets a schedule still after {seconds:g} s")
@then("entry b lets a schedule after {seconds:g} s more")
def check_follows(context, seconds):
    assert choose(context, seconds - getattr(context, "waited", 0.0)) == "a"


@then("entry b schedules itself for {seconds:g} s more")
def check_keeps(context, seconds):
    context.waited = seconds
    assert choose(context, seconds) == "b"


def add_runner(context, name, cpu):
    room = _runner_capacity.RunnerCapacity(name, POOL, cpu, 64_000, 0, ("a", "r1"), True)
    context.scheduler.update_runner(room)
    context.scheduler.sync_allocations(name, {}, context.now)


@given("a scheduler with runners {runners}")
def make_scheduler(context, runners):
    context.now = 100.0
    context.scheduler = _scheduler.Scheduler(random.Random(1))
    context.decisions = []
    for text in runners.split():
        name, cpu = text.split(":")
        add_runner(context, name, int(cpu))


@given("a scheduler with {count:d} runners of {cpu:d}")
def make_large_scheduler(context, count, cpu):
    make_scheduler(context, " ".join(f"r{number}:{cpu}" for number in range(count)))


def submit(context, job, tasks, cpu=1000, within_s=SOON_S, *, priority=1, **changes):
    demands = [
        _runner_capacity.Demand(f"{job}.0.{index}", job, cpu, 10, expected_ms=TASK_MS, **changes)
        for index in range(tasks)
    ]
    batch = _job_queue.TaskBatch(
        id=f"{job}/1",
        entry_id="e",
        job_id=job,
        pool=POOL,
        priority=priority,
        demands=demands,
        latest_start=context.now + within_s,
        start_deadline=context.now + within_s + 5,
    )
    made = context.scheduler.submit(batch, context.now)
    context.decisions += made
    return made


def placed_tasks(context, job):
    placements = [
        each
        for each in context.decisions
        if isinstance(each, _scheduler.Placement) and each.batch.job_id == job
    ]
    return [pair for each in placements for pair in each.runner_by_task.items()]


def refusals(context, job):
    return [
        each.reason
        for each in context.decisions
        if isinstance(each, _scheduler.Refusal) and each.batch.job_id == job
    ]


@when("tasks of jobs {jobs} fail at {runner}")
def fail_tasks(context, jobs, runner):
    for job in jobs.split(", "):
        context.scheduler.record_task_end(runner, f"{job}.0.0", job, "failed", context.now)


def takes_task(context, runner):
    health = context.scheduler.runner_by_id[runner].health
    return health.accepts_tasks(context.now)


@then("{runner} takes no task before {seconds:g} s have passed")
def check_out(context, runner, seconds):
    assert not takes_task(context, runner)
    context.now += seconds - 0.05
    assert not takes_task(context, runner)
    context.now -= seconds - 0.05


@then("after {seconds:g} s {runner} takes a single task")
def check_probe(context, seconds, runner):
    context.now += seconds
    assert takes_task(context, runner)
    room = context.scheduler.runner_by_id[runner]
    room.allocate(_runner_capacity.Demand("probe.0.0", "probe", 100, 1), context.now)
    assert not takes_task(context, runner)


@then("after that task is done {runner} takes any task")
def check_back(context, runner):
    context.scheduler.record_task_end(runner, "probe.0.0", "probe", "done", context.now)
    assert takes_task(context, runner)


@then("{runner} takes any task")
def check_in(context, runner):
    assert takes_task(context, runner)


@then("{count:d} runners take any task")
def count_in(context, count):
    names = context.scheduler.runner_by_id
    assert sum(takes_task(context, name) for name in names) == count


@given("{runner} is {times:g} times slow")
def slow_down(context, runner, times):
    for _ in range(20):
        context.scheduler.update_slowness(runner, times)


@step("job {job} of {tasks:d} tasks of {cpu:d} arrives")
def arrive(context, job, tasks, cpu):
    context.job = job
    submit(context, job, tasks, cpu)


@when("job {job} of {tasks:d} tasks of {cpu:d} arrives that has to start within {within:g} s")
def arrive_urgent(context, job, tasks, cpu, within):
    submit(context, job, tasks, cpu, within)


@when("job {job} of priority {priority:d} arrives that has to start within {within:g} s")
def arrive_of_route(context, job, priority, within):
    submit(context, job, 1, within_s=within, priority=priority)


@when("job {job} of {tasks:d} tasks of {cpu:d} with at most {most:d} per runner arrives")
def arrive_apart(context, job, tasks, cpu, most):
    context.job = job
    submit(context, job, tasks, cpu, max_per_runner=most)


@when("job {job} of {tasks:d} tasks of {cpu:d} that require label {label} arrives")
def arrive_labelled(context, job, tasks, cpu, label):
    submit(context, job, tasks, cpu, label=label)


@when("a task of job {job} that avoids {runner} arrives")
def arrive_avoiding(context, job, runner):
    context.job = job
    submit(context, job, 1, avoid=(runner,))


@then("its tasks go to {runners}")
def check_runners(context, runners):
    found = [runner for _, runner in placed_tasks(context, context.job)]
    assert found == runners.split(), found


@when("{runner} reports nothing held after {seconds:g} s")
def report_empty(context, runner, seconds):
    context.now += seconds
    context.scheduler.sync_allocations(runner, {}, context.now)


@then("{runner} has room for {cpu:d}")
def check_room(context, runner, cpu):
    assert context.scheduler.runner_by_id[runner].fits(
        _runner_capacity.Demand("x.0.0", "x", cpu, 1)
    )


@then("{runner} has no room for {cpu:d}")
def check_no_room(context, runner, cpu):
    assert not context.scheduler.runner_by_id[runner].fits(
        _runner_capacity.Demand("x.0.0", "x", cpu, 1)
    )


@when("the task of job {job} ends")
def end_task(context, job):
    (task, runner) = placed_tasks(context, job)[0]
    context.decisions += context.scheduler.record_task_end(runner, task, job, "done", context.now)


@when("{seconds:g} s pass")
def pass_time(context, seconds):
    context.now += seconds
    context.decisions += context.scheduler.advance(context.now)


@then("job {job} is placed")
def check_placed(context, job):
    assert placed_tasks(context, job)


@then("job {job} is not placed")
def check_not_placed(context, job):
    assert not placed_tasks(context, job)


@then("job {job} is refused as {reason}")
def check_refused(context, job, reason):
    assert refusals(context, job) == [reason], refusals(context, job)


@then("job {job} is not refused")
def check_not_refused(context, job):
    assert not refusals(context, job)


@when("{count:d} jobs arrive that are refused")
def arrive_refused(context, count):
    for number in range(count):
        submit(context, f"x{number}", 2, within_s=0.01)


@then("their hints to come back differ and lie between {least:g} s and {most:g} s")
def check_hints(context, least, most):
    hints = [
        each.retry_after_s for each in context.decisions if isinstance(each, _scheduler.Refusal)
    ]
    assert len(set(hints)) > len(hints) // 2
    assert all(least <= each <= most for each in hints)


# Replay of load through the scheduler, without processes.

STRETCH = 1.6
AIM_S = 0.06


class Replay:
    """Feeds arrivals and ends in the order of time; keeps when each job ended."""

    def __init__(self, context):
        self.context = context
        self.events = []
        self.left_by_job = {}
        self.arrived_by_job = {}
        self.ended_by_job = {}
        self.refused_by_job = {}
        self.advanced_at = 0.0
        self.starts = 0
        self.cpu_s = 0.0
        self.most_queued = 0
        self.source = random.Random(7)

    def arrive(self, at, job):
        heapq.heappush(self.events, (at, "arrive", job, ""))

    def play(self, tasks, cpu, task_s):
        scheduler = self.context.scheduler
        while self.events:
            now, kind, job, place = heapq.heappop(self.events)
            if kind == "arrive":
                self.arrived_by_job[job] = now
                self.left_by_job[job] = tasks
                batch = self.batch(job, now, (tasks, cpu, task_s))
                self.apply(self.timed(scheduler.submit, batch, now), now, task_s)
            else:
                task, runner = place
                placed = self.timed(scheduler.record_task_end, runner, task, job, "done", now)
                self.apply(placed, now, task_s)
                self.left_by_job[job] -= 1
                if not self.left_by_job[job]:
                    self.ended_by_job[job] = now
            if now - self.advanced_at >= _pool_entry.TICK_S:
                self.advanced_at = now
                self.apply(self.timed(scheduler.advance, now), now, task_s)
            self.most_queued = max(self.most_queued, scheduler.queued)

    def timed(self, decide, *arguments):
        started = time.thread_time()
        decisions = decide(*arguments)
        self.cpu_s += time.thread_time() - started
        return decisions

    def batch(self, job, now, shape):
        tasks, cpu, task_s = shape
        objective_s = STRETCH * task_s + AIM_S
        demands = [
            _runner_capacity.Demand(f"{job}.0.{index}", job, cpu, 10, expected_ms=task_s * 1000)
            for index in range(tasks)
        ]
        latest = now + objective_s - task_s
        return _job_queue.TaskBatch(job, "e", job, POOL, 0, demands, latest, now + 10)

    def apply(self, decisions, now, task_s):
        for each in decisions:
            if isinstance(each, _scheduler.Refusal):
                self.refused_by_job[each.batch.job_id] = now
                continue
            self.starts += len(each.runner_by_task)
            for pair in each.runner_by_task.items():
                end = now + task_s * self.source.uniform(0.9, 1.1)
                heapq.heappush(self.events, (end, "end", each.batch.job_id, pair))


@given("tasks that take {ms:d} ms")
def set_run_time(context, ms):
    context.task_s = ms / 1000


@when("jobs of {tasks:d} tasks of {cpu:d} arrive at {share:d}% of the capacity for {seconds:g} s")
def plan_burst(context, tasks, cpu, share, seconds):
    context.shape = (tasks, cpu, context.task_s)
    context.replay = Replay(context)
    context.burst_ends = context.now + seconds
    plan(context, context.now, seconds, share, "burst")


def plan(context, start, seconds, share, name):
    tasks, cpu, task_s = context.shape
    capacity = sum(each.cpu for each in context.scheduler.runner_by_id.values())
    per_second = capacity * share / 100 / (tasks * cpu * task_s)
    for number in range(int(per_second * seconds)):
        context.replay.arrive(start + number / per_second, f"{name}{number}")


@when("at {share:d}% of the capacity for {seconds:g} s after that")
def plan_rest(context, share, seconds):
    plan(context, context.burst_ends, seconds, share, "rest")
    # Room reports would come from agents; here every end is seen, so they add nothing.
    context.replay.play(*context.shape)


def in_aim(context, jobs):
    _, _, task_s = context.shape
    replay = context.replay
    objective_s = STRETCH * task_s + AIM_S
    good = [
        job
        for job in jobs
        if job in replay.ended_by_job
        and replay.ended_by_job[job] - replay.arrived_by_job[job] <= objective_s
    ]
    return len(good) / len(jobs)


@then("at least {share:d}% of the jobs of the burst end within their objective")
def check_burst(context, share):
    jobs = [job for job in context.replay.arrived_by_job if job.startswith("burst")]
    assert in_aim(context, jobs) >= share / 100, in_aim(context, jobs)


@then(
    "at least {share:d}% of the jobs that arrive {seconds:g} s after the burst "
    "end within their objective"
)
def check_rest(context, share, seconds):
    replay = context.replay
    after = context.burst_ends + seconds
    jobs = [job for job, at in replay.arrived_by_job.items() if at >= after]
    assert in_aim(context, jobs) >= share / 100, in_aim(context, jobs)


@then("no job waits longer than its objective")
def check_waits(context):
    _, _, task_s = context.shape
    objective_s = STRETCH * task_s + AIM_S
    replay = context.replay
    waits = [at - replay.arrived_by_job[job] for job, at in replay.refused_by_job.items()]
    assert max(waits, default=0.0) <= objective_s


@then("at least {count:d} jobs have waited for room at the same time")
def check_waited(context, count):
    assert context.replay.most_queued >= count, context.replay.most_queued


@then("placing took at most {most_us:d} us of processor time for each start")
def check_cost(context, most_us):
    replay = context.replay
    assert replay.cpu_s / replay.starts * 1e6 <= most_us, (replay.cpu_s, replay.starts)
