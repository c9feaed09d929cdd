"""Steps for the pool scheduling policies; the clock is simulated and advanced by the steps."""

import heapq
import random
import time

import attrs
import pool_stand_ins
from behave import given, step, then, when

from daisyfall import _pool_wire
from daisyfall.policy import _bounds, _election, _job_queue, _runner_capacity, _scheduler
from daisyfall.process import _leadership, _pool_entry
from daisyfall.request import _pool_jobs

POOL = "pool"
TASK_MS = 100.0
DEFAULT_START_WITHIN_S = 1.0


@when(
    "the timeouts are derived from a lease of {lease:g} s, a stop time of {stop:g} s "
    "and a resend time of {resend:g} s"
)
def derive_bounds(context, lease, stop, resend):
    context.resend = resend
    try:
        context.bounds = _bounds.derive(lease, stop, resend)
    except ValueError as error:
        assert f"{resend:.2f}" in str(error)
        context.bounds = None


@then("the tasks have ended within the resend time: {fits}")
def check_bounds(context, fits):
    assert (context.bounds is not None) == (fits == "yes")
    if context.bounds is not None:
        assert context.bounds.fenced_after_s <= context.resend
        assert context.bounds.lease_s > 0.2 and context.bounds.heartbeat_timeout_s > 0.2


@given("the election candidates {candidates}")
def set_candidates(context, candidates):
    context.candidates = []
    for text in candidates.split():
        name, cores, started, heard, available = text.split(":")
        context.candidates.append(
            _election.Candidate(name, float(cores), int(started), float(heard), available == "yes")
        )


@then("with {current} as the current leader the election chooses {choice}")
def check_choice(context, current, choice):
    found = _election.choose(context.candidates, "" if current == "none" else current)
    assert found == ("" if choice == "none" else choice), found


def link_to(name, opened_at, started_ms=10):
    handshake = pool_stand_ins.handshake("entry", name, started_ms=started_ms)
    return pool_stand_ins.FakeLink(handshake, opened_at)


def receive_heartbeat(context, name, *, schedules=False, started_ms=10, starts=False):
    link = link_to(name, context.now, started_ms)
    context.links = {**context.links, name: link}
    heartbeat = _pool_wire.PeerHeartbeat(not starts, 1, {}, schedules, is_starting=starts)
    context.leadership.record_heartbeat(name, link, heartbeat)


def choose_leader(context, after_s):
    context.now += after_s
    context.leadership.choose(context.now, context.links, is_available=True)
    return context.leadership.leader_id


def start_entry(context):
    context.now = 100.0
    context.links = {}
    context.leadership = _leadership.Leadership("b", 1.0, 20, context.now)


@given("an entry b that starts together with an entry a of as many cores that started first")
def start_second(context):
    start_entry(context)
    context.leadership.set_registered({"a", "b"}, context.now)
    context.now += 0.1
    receive_heartbeat(context, "a")


@given("an entry z that starts together with {names}, which rank in this order")
def start_together(context, names):
    context.now = 100.0
    context.links = {}
    context.names = names.split()
    context.leadership = _leadership.Leadership("z", 1.0, 99, context.now)
    context.leadership.set_registered({"z", *context.names}, context.now)
    context.leaders = []


@when("their first heartbeats arrive in the order {names}, {seconds:g} s apart, before any runner")
def receive_in_order(context, names, seconds):
    for name in names.split():
        receive_heartbeat(context, name, started_ms=context.names.index(name) + 1, starts=True)
        context.now += seconds
        if context.leadership.choose(context.now, context.links, is_available=False):
            context.leaders.append(context.leadership.leader_id)


@when("each of them announces its first runner, the last one first")
def announce_runners(context):
    for name in reversed(context.names):
        heartbeat = _pool_wire.PeerHeartbeat(True, 1, {}, name == "a", is_starting=True)
        context.leadership.record_heartbeat(name, context.links[name], heartbeat)
        context.now += 0.05
        if context.leadership.choose(context.now, context.links, is_available=True):
            context.leaders.append(context.leadership.leader_id)


@when("{seconds:g} s pass without another heartbeat")
def pass_without_heartbeat(context, seconds):
    context.now += seconds
    if context.leadership.choose(context.now, context.links, is_available=True):
        context.leaders.append(context.leadership.leader_id)


@then("entry z has changed its leader once, to {name}")
def check_one_change(context, name):
    assert context.leaders == [name], context.leaders


@then("entry z follows no one, and asks no one to follow it")
def check_undecided(context):
    assert not context.leaders
    assert not context.leadership.is_leader
    assert not context.leadership.is_scheduling(context.now)


@given("an entry b that has been the only entry for {seconds:g} s")
def run_alone(context, seconds):
    start_entry(context)
    assert choose_leader(context, seconds) == "b"


@when("a first heartbeat arrives from a higher-ranked entry a")
def receive_first(context):
    receive_heartbeat(context, "a")


@when("a first heartbeat arrives from a higher-ranked entry a that is the leader")
def receive_leader(context):
    receive_heartbeat(context, "a", schedules=True)


@then("entry b follows entry a within 0.2 s")
def check_follows_at_once(context):
    assert choose_leader(context, 0.05) == "a"


@then("entry b still follows entry a after {seconds:g} s")
@then("entry b follows entry a after {seconds:g} s more")
def check_follows(context, seconds):
    assert choose_leader(context, seconds - getattr(context, "waited", 0.0)) == "a"


@then("entry b remains the leader for {seconds:g} s more")
def check_remains(context, seconds):
    context.waited = seconds
    assert choose_leader(context, seconds) == "b"


@given("an entry that starts as number {number:d} of {count:d} equal entries")
def start_among_equals(context, number, count):
    context.now = 100.0
    context.leadership = _leadership.Leadership(f"e{number}", 1.0, number, context.now)
    context.links = {}
    for other in range(1, count + 1):
        if other != number:
            link = link_to(f"e{other}", context.now, other)
            context.links[f"e{other}"] = link
            context.leadership.record_heartbeat(
                f"e{other}", link, _pool_wire.PeerHeartbeat(True, 1, {})
            )
    choose_leader(context, _election.STABLE_AFTER_S)


def interval_to(context, peer, revision):
    return context.leadership.heartbeat_timing_from(peer, revision).interval_s


@then("it sends heartbeats to a peer that doesn't follow it every {seconds:g} s")
def check_interval(context, seconds):
    assert interval_to(context, "e9", _pool_wire.REVISION) == seconds


@then("it sends heartbeats to a peer that follows it every {seconds:g} s")
def check_follower_interval(context, seconds):
    context.leadership.set_follower("e8", is_follower=True)
    assert interval_to(context, "e8", _pool_wire.REVISION) == seconds


@then("it sends heartbeats to a peer of an older build every {seconds:g} s")
def check_old_interval(context, seconds):
    assert interval_to(context, "e9", 0) == seconds


@when("peer {number:d} declares an interval of {seconds:g} s")
def declare_interval(context, number, seconds):
    peer = f"e{number}"
    heartbeat = _pool_wire.PeerHeartbeat(True, 1, {}, interval_ms=round(seconds * 1000))
    context.leadership.record_heartbeat(peer, context.links[peer], heartbeat)


@then("the heartbeat timeout of peer {number:d} is {seconds:g} s")
@then("the heartbeat timeout of peer {number:d}, the leader, is {seconds:g} s")
def check_peer_timeout(context, number, seconds):
    timing = context.leadership.heartbeat_timing_to(f"e{number}")
    assert round(timing.heartbeat_timeout_s, 2) == seconds, timing


def add_runner(context, name, cpu):
    runner = _runner_capacity.RunnerCapacity(name, POOL, cpu, 64_000, 0, ("a", "r1"), True)
    context.scheduler.update_runner(runner)
    context.scheduler.sync_allocations(name, {}, context.now)


@given("agent {name} has reported no allocations and has no runner yet")
def report_without_runner(context, name):
    runner = _runner_capacity.RunnerCapacity(name, "", 0, 0, 0, (), False)
    context.scheduler.update_runner(runner)
    context.scheduler.sync_allocations(name, {}, context.now)


@when("the runner of {name} with a capacity of {cpu:d} announces itself")
def announce_runner(context, name, cpu):
    runner = _runner_capacity.RunnerCapacity(
        name, POOL, cpu, 64_000, 0, ("a", "r1"), True, incarnation="i-1"
    )
    context.scheduler.update_runner(runner)


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


def submit(
    context,
    job,
    tasks,
    cpu=1000,
    within_s=DEFAULT_START_WITHIN_S,
    *,
    priority=1,
    late_within_s=0.0,
    route="",
    **changes,
):
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
        late_deadline=context.now + late_within_s,
        route=route,
    )
    decisions = context.scheduler.submit(batch, context.now)
    context.decisions += decisions
    return decisions


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


def accepts_task(context, runner):
    health = context.scheduler.runner_by_id[runner].health
    return health.accepts_tasks(context.now)


@then("{runner} accepts no task for {seconds:g} s")
def check_ejected(context, runner, seconds):
    assert not accepts_task(context, runner)
    context.now += seconds - 0.05
    assert not accepts_task(context, runner)
    context.now -= seconds - 0.05


@then("after {seconds:g} s {runner} accepts a single task as a probe")
def check_probe(context, seconds, runner):
    context.now += seconds
    assert accepts_task(context, runner)
    capacity = context.scheduler.runner_by_id[runner]
    capacity.allocate(_runner_capacity.Demand("probe.0.0", "probe", 100, 1), context.now)
    assert not accepts_task(context, runner)


@then("after the probe has succeeded {runner} accepts tasks again")
def check_restored(context, runner):
    context.scheduler.record_task_end(runner, "probe.0.0", "probe", "done", context.now)
    assert accepts_task(context, runner)


@then("{runner} accepts tasks")
def check_accepts(context, runner):
    assert accepts_task(context, runner)


@then("{count:d} runners accept tasks")
def check_accepting_count(context, count):
    names = context.scheduler.runner_by_id
    assert sum(accepts_task(context, name) for name in names) == count


@given("{runner} takes {times:g} times the expected run times")
def slow_down(context, runner, times):
    for _ in range(20):
        context.scheduler.update_speed(runner, times, context.now)


@step("job {job} of {tasks:d} tasks of {cpu:d} arrives")
def arrive(context, job, tasks, cpu):
    context.job = job
    submit(context, job, tasks, cpu)


@when("job {job} of {tasks:d} tasks of {cpu:d} arrives with its latest start in {within:g} s")
def arrive_with_start(context, job, tasks, cpu, within):
    submit(context, job, tasks, cpu, within)


@when("job {job} of priority {priority:d} arrives with its latest start in {within:g} s")
def arrive_of_route(context, job, priority, within):
    submit(context, job, 1, within_s=within, priority=priority)


@when("job {job} of {tasks:d} tasks of {cpu:d} with at most {limit:d} per runner arrives")
def arrive_with_limit(context, job, tasks, cpu, limit):
    context.job = job
    submit(context, job, tasks, cpu, max_per_runner=limit)


@when("job {job} of {tasks:d} tasks of {cpu:d} that require label {label} arrives")
def arrive_labelled(context, job, tasks, cpu, label):
    submit(context, job, tasks, cpu, label=label)


@when("job {job} of {tasks:d} tasks of {cpu:d} arrives {late:g} s after its latest start")
def arrive_late(context, job, tasks, cpu, late):
    context.job = job
    submit(context, job, tasks, cpu, -late, late_within_s=1.0)
    context.decisions += context.scheduler.advance(context.now)


@when("a retry for job {job} arrives that avoids {runner}")
def arrive_avoiding(context, job, runner):
    context.job = job
    submit(context, job, 1, avoid=(runner,))


@then("its tasks are placed on {runners}")
def check_runners(context, runners):
    found = [runner for _, runner in placed_tasks(context, context.job)]
    assert found == runners.split(), found


@when("{runner} reports no allocations after {seconds:g} s")
def report_empty(context, runner, seconds):
    context.now += seconds
    context.scheduler.sync_allocations(runner, {}, context.now)


@then("{runner} has capacity for {cpu:d}")
def check_capacity(context, runner, cpu):
    assert context.scheduler.runner_by_id[runner].fits(
        _runner_capacity.Demand("x.0.0", "x", cpu, 1)
    )


@then("{runner} has no capacity for {cpu:d}")
def check_no_capacity(context, runner, cpu):
    assert not context.scheduler.runner_by_id[runner].fits(
        _runner_capacity.Demand("x.0.0", "x", cpu, 1)
    )


@when("the capacity of all runners becomes {cpu:d}")
def resize_runners(context, cpu):
    for runner in list(context.scheduler.runner_by_id.values()):
        context.scheduler.update_runner(attrs.evolve(runner, cpu=cpu))
    pass_time(context, 0.0)


@when("{count:d} tasks of job {job} end at {runner}")
def end_tasks(context, count, job, runner):
    tasks = [task for task, placed_on in placed_tasks(context, job) if placed_on == runner]
    for task in tasks[:count]:
        context.scheduler.record_task_end(runner, task, job, "done", context.now)


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


@then("their retry hints differ and are between {low:g} s and {high:g} s")
def check_hints(context, low, high):
    hints = [
        each.retry_after_s for each in context.decisions if isinstance(each, _scheduler.Refusal)
    ]
    assert len(set(hints)) > len(hints) // 2
    assert all(low <= each <= high for each in hints)


# Simulation of a load on the scheduler, without processes.

TARGET_SLOWDOWN = 1.6
CALLER_WAIT_S = 1.5
TARGET_MARGIN_S = 0.06


class LoadSimulation:
    """Passes arrivals and ends of tasks to the scheduler in order of time; records each job."""

    def __init__(self, context):
        self.context = context
        self.events = []
        self.remaining_by_job = {}
        self.arrived_at_by_job = {}
        self.ended_at_by_job = {}
        self.refused_at_by_job = {}
        self.advanced_at = 0.0
        self.starts = 0
        self.cpu_s = 0.0
        self.max_queued = 0
        self.rng = random.Random(7)

    def arrive(self, at, job):
        heapq.heappush(self.events, (at, "arrive", job, ""))

    def run(self, tasks, cpu, task_s):
        scheduler = self.context.scheduler
        while self.events:
            now, kind, job, placement = heapq.heappop(self.events)
            if kind == "return":
                open_runner(self.context, job, is_open=True)
            elif kind == "arrive":
                self.arrived_at_by_job[job] = now
                self.remaining_by_job[job] = tasks
                batch = self.batch(job, now, (tasks, cpu, task_s))
                self.apply(self.timed(scheduler.submit, batch, now), now, task_s)
            else:
                task, runner = placement
                decisions = self.timed(scheduler.record_task_end, runner, task, job, "done", now)
                self.apply(decisions, now, task_s)
                self.remaining_by_job[job] -= 1
                if not self.remaining_by_job[job]:
                    self.ended_at_by_job[job] = now
            if now - self.advanced_at >= _pool_entry.TICK_S:
                self.advanced_at = now
                self.apply(self.timed(scheduler.advance, now), now, task_s)
            self.max_queued = max(self.max_queued, scheduler.queued)

    def timed(self, decide, *arguments):
        started = time.thread_time()
        decisions = decide(*arguments)
        self.cpu_s += time.thread_time() - started
        return decisions

    def batch(self, job, now, workload):
        tasks, cpu, task_s = workload
        target_latency_s = TARGET_SLOWDOWN * task_s + TARGET_MARGIN_S
        demands = [
            _runner_capacity.Demand(f"{job}.0.{index}", job, cpu, 10, expected_ms=task_s * 1000)
            for index in range(tasks)
        ]
        latest = now + target_latency_s - task_s
        late_deadline = now + _pool_jobs.MAX_LATE_WAIT_FRACTION * CALLER_WAIT_S
        return _job_queue.TaskBatch(
            job, "e", job, POOL, 0, demands, latest, now + 10, late_deadline=late_deadline
        )

    def apply(self, decisions, now, task_s):
        for each in decisions:
            if isinstance(each, _scheduler.Refusal):
                self.refused_at_by_job[each.batch.job_id] = now
                continue
            self.starts += len(each.runner_by_task)
            for pair in each.runner_by_task.items():
                end = now + task_s * self.rng.uniform(0.9, 1.1)
                heapq.heappush(self.events, (end, "end", each.batch.job_id, pair))


def open_runner(context, name, *, is_open):
    scheduler = context.scheduler
    scheduler.update_runner(attrs.evolve(scheduler.runner_by_id[name], is_open=is_open))


@given("the runners have been there for {seconds:g} s")
def keep_runners(context, seconds):
    for _ in range(round(seconds / _pool_entry.TICK_S)):
        context.now += _pool_entry.TICK_S
        context.scheduler.advance(context.now)


@given("all runners are gone")
def close_runners(context):
    for name in context.scheduler.runner_by_id:
        open_runner(context, name, is_open=False)


@when("the runners return busy from {start:g} s to {end:g} s")
def return_busy(context, start, end):
    scheduler = context.scheduler
    for name, runner in scheduler.runner_by_id.items():
        busy = _runner_capacity.Allocation(runner.cpu, 10, 0, context.now + 0.3, "other")
        scheduler.sync_allocations(name, {f"other.0.{name}": busy}, context.now)
    return_runners(context, start, end)


@when("the runners return one after the other from {start:g} s to {end:g} s")
def return_runners(context, start, end):
    simulation, names = context.simulation, list(context.scheduler.runner_by_id)
    for number, name in enumerate(names):
        at = context.now + start + (end - start) * number / len(names)
        heapq.heappush(simulation.events, (at, "return", name, ""))


@given("tasks that take {ms:d} ms")
def set_run_time(context, ms):
    context.task_s = ms / 1000


@when("jobs of {tasks:d} tasks of {cpu:d} arrive at {share:d}% of the capacity for {seconds:g} s")
def schedule_burst(context, tasks, cpu, share, seconds):
    context.workload = (tasks, cpu, context.task_s)
    context.simulation = LoadSimulation(context)
    context.burst_end = context.now + seconds
    schedule_arrivals(context, context.now, seconds, share, "burst")


def schedule_arrivals(context, start, seconds, share, name):
    tasks, cpu, task_s = context.workload
    capacity = sum(each.cpu for each in context.scheduler.runner_by_id.values())
    per_second = capacity * share / 100 / (tasks * cpu * task_s)
    for number in range(int(per_second * seconds)):
        context.simulation.arrive(start + number / per_second, f"{name}{number}")


@when("at {share:d}% of the capacity for {seconds:g} s after that")
def run_burst_and_rest(context, share, seconds):
    schedule_arrivals(context, context.burst_end, seconds, share, "rest")


def ended_simulation(context):
    """Play the load once; return the simulation.

    Allocation reports of agents are not simulated: the scheduler is told the end of each task.
    """
    context.simulation.run(*context.workload)
    return context.simulation


def share_in_time(context, jobs):
    _, _, task_s = context.workload
    simulation = ended_simulation(context)
    target_latency_s = TARGET_SLOWDOWN * task_s + TARGET_MARGIN_S
    in_time = [
        job
        for job in jobs
        if job in simulation.ended_at_by_job
        and simulation.ended_at_by_job[job] - simulation.arrived_at_by_job[job] <= target_latency_s
    ]
    return len(in_time) / len(jobs)


@then("at least {share:d}% of the jobs of the burst end within their target latency")
def check_burst(context, share):
    jobs = [job for job in ended_simulation(context).arrived_at_by_job if job.startswith("burst")]
    assert share_in_time(context, jobs) >= share / 100, share_in_time(context, jobs)


@then(
    "at least {share:d}% of the jobs that arrive {seconds:g} s after the burst "
    "end within their target latency"
)
def check_rest(context, share, seconds):
    simulation = ended_simulation(context)
    after = context.burst_end + seconds
    jobs = [job for job, at in simulation.arrived_at_by_job.items() if at >= after]
    assert share_in_time(context, jobs) >= share / 100, share_in_time(context, jobs)


@then("no job waits longer than its target latency before it is refused")
def check_waits(context):
    _, _, task_s = context.workload
    target_latency_s = TARGET_SLOWDOWN * task_s + TARGET_MARGIN_S
    simulation = ended_simulation(context)
    waits = [
        at - simulation.arrived_at_by_job[job] for job, at in simulation.refused_at_by_job.items()
    ]
    assert max(waits, default=0.0) <= target_latency_s


@then("at least {share:d}% of the jobs of the burst are served")
def check_served(context, share):
    simulation = ended_simulation(context)
    jobs = [job for job in simulation.arrived_at_by_job if job.startswith("burst")]
    served = sum(job in simulation.ended_at_by_job for job in jobs)
    assert served >= len(jobs) * share / 100, (served, len(jobs))


@then("no job waits longer than {share:d}% of its time before it is refused")
def check_late_waits(context, share):
    simulation = ended_simulation(context)
    waits = [
        at - simulation.arrived_at_by_job[job] for job, at in simulation.refused_at_by_job.items()
    ]
    # The scheduler refuses what has expired at its next round.
    limit = CALLER_WAIT_S * share / 100 + 2 * _pool_entry.TICK_S
    assert max(waits, default=0.0) <= limit, max(waits)


@then("at least {count:d} jobs have waited for capacity at the same time")
def check_waited(context, count):
    assert ended_simulation(context).max_queued >= count, ended_simulation(context).max_queued


@then("placing took at most {max_us:d} us of processor time per started task")
def check_cost(context, max_us):
    simulation = ended_simulation(context)
    assert simulation.cpu_s / simulation.starts * 1e6 <= max_us, (
        simulation.cpu_s,
        simulation.starts,
    )


@when("the examined runners are counted")
def count_examined(context):
    context.examined = 0
    fits = _runner_capacity.RunnerCapacity.fits

    def counted_fits(runner, demand):
        context.examined += 1
        return fits(runner, demand)

    _runner_capacity.RunnerCapacity.fits = counted_fits
    context.add_cleanup(setattr, _runner_capacity.RunnerCapacity, "fits", fits)


@then("placing examined at most {limit:d} runners for each started task")
def check_examined(context, limit):
    simulation = ended_simulation(context)
    examined = context.examined / simulation.starts
    assert 0 < examined <= limit, examined
