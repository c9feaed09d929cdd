"""Steps for the limits of an entry, on a simulated clock; the last ones use real processes."""

import asyncio
import itertools
import random
import time
from unittest import mock

import attrs
import event_loop
import loguru
import pool_stand_ins
import pool_work_steps
from behave import given, step, then, when

from daisyfall import _clock, _pool_wire
from daisyfall.connection import _loop_turns
from daisyfall.policy import _entry_limits
from daisyfall.process import _placement_service, _pool_metrics
from daisyfall.request import _job_callbacks, _job_limits, _pool_job_manager, _pool_jobs
from daisyfall_standins import fault_injection

TICK_S = 0.04
CORES_PER_RUNNER = 16
WAIT_S = 4.0
MAX_WAIT_S = 3.0
STEP_S = 0.01
# Until when arriving jobs are of use; that is 45% of their callers' time.
SLACK_S = 0.5
TARGET_S = pool_work_steps.ROUTE.target_latency_ms / 1000


def set_clock(context, now=1000.0):
    """Replace the clock by `context.now` for the scenario."""
    context.now = now
    patch = mock.patch.object(_clock, "monotonic", lambda: context.now)
    patch.start()
    context.add_cleanup(patch.stop)


def busy_limit(context, waiting, slack, rate, *, seconds=1.0, lag=0.0):
    """Return a limit after a time with `waiting` jobs, of which `rate` a second were started."""
    limit = _entry_limits.AdmissionLimit(context.now)
    for _ in range(waiting):
        limit.record_arrival(slack)
    for _ in range(round(seconds / TICK_S)):
        for _ in range(round(rate * TICK_S)):
            limit.record_start()
        context.now += TICK_S
        limit.observe(context.now, waiting, lag)
    return limit


@given("an entry at which {waiting:d} jobs wait, with {slack:g} s until they are of no use")
def have_waiting(context, waiting, slack):
    set_clock(context)
    context.waiting, context.slack = waiting, slack


@when("{rate:d} of them a second are started for {seconds:g} s while its loop lags by {lag:g} s")
def start_some(context, rate, seconds, lag):
    context.admission = busy_limit(
        context, context.waiting, context.slack, rate, seconds=seconds, lag=lag
    )


@then("at most {limit} jobs may wait")
def check_limit(context, limit):
    assert context.admission.max_waiting() == float(limit), context.admission.max_waiting()


@given("an entry that may let {limit:d} jobs wait")
def limit_waiting(context, limit):
    set_clock(context)
    context.limits = _job_limits.JobLimits(random.Random(3), context.now)
    context.limits._admission = busy_limit(context, 100, SLACK_S, limit / SLACK_S)
    context.lines = []
    sink = loguru.logger.add(context.lines.append, format="{message}")
    context.add_cleanup(loguru.logger.remove, sink)


@when("{count:d} jobs of two routes arrive at the same time")
def arrive_together(context, count):
    context.refused = []
    for index in range(count):
        route = attrs.evolve(pool_work_steps.ROUTE, priority=index % 2, name=f"r{index % 2}")
        # Later jobs are less urgent, as they take longer.
        one = attrs.evolve(pool_work_steps.STEP, estimated_ms=10.0 + index)
        submission = _pool_jobs.Submission(f"job{index}", route, "{}", (one,), SLACK_S / 0.45)
        job = _pool_jobs.new_job(submission, [one.estimated_ms], context.now)
        ended = context.limits.add(job, context.now)
        if ended is not None:
            context.refused.append(ended)
            context.limits.remove(ended[0])


@then("the {count:d} least urgent of the less urgent route are refused as {reason} at once")
def check_least_urgent(context, count, reason):
    assert {answer.reason for _, answer in context.refused} == {reason}, context.refused
    assert len(context.refused) == count, len(context.refused)
    assert {job.submission.route.priority for job, _ in context.refused} == {1}


@step("the hints are at least {least:g} s, differ, and are earlier for the more urgent route")
def check_hints(context, least):
    hints = [answer.retry_after_s for _, answer in context.refused]
    assert min(hints) >= least and len(set(hints)) == len(hints), hints
    urgent = context.limits._admission.retry_after_s(40, 0, 0.4, 1.0)
    assert (
        urgent <= min(hints) * 1.5 < context.limits._admission.retry_after_s(40, 2, 0.4, 0.0) * 1.5
    )


@step("the log says once that the entry refuses, and once that it accepts again")
def check_lines(context):
    for _ in range(3):
        context.now += 1.0
        context.limits.observe(context.now, 0.0)
    texts = [line.strip() for line in context.lines]
    assert texts == ["entry refuses jobs on arrival", "entry accepts all jobs again"], texts


def start(context, wait_s, *steps):
    """Start a job at an entry whose clock is simulated."""
    set_clock(context)
    pool_work_steps.make_manager(context)
    context.withdrawn = []
    callbacks = attrs.evolve(context.manager._callbacks, withdraw=context.withdrawn.append)
    context.manager.set_callbacks(callbacks)
    submission = _pool_jobs.Submission("job1", pool_work_steps.ROUTE, "{}", steps, wait_s)

    async def submit():
        context.answer = context.manager.start_job(submission)

    event_loop.run(context, submit())
    context.arrived_at = context.now


def place(context, count):
    request = context.placed[0]
    tasks = [demand.task for demand in request.demands][:count]
    placement = _pool_wire.TasksPlaced(request.id, "job1", dict.fromkeys(tasks, "a"))
    context.manager.handle_placement_reply(placement)


@given("an entry whose job with {wait:g} s of its caller's time left waits for a placement")
def start_waiting(context, wait):
    start(context, wait, pool_work_steps.STEP)


@given("an entry whose job with {wait:g} s of its caller's time left has one of two tasks started")
def start_one_of_two(context, wait):
    start(context, wait, attrs.evolve(pool_work_steps.STEP, count=2))
    place(context, 1)


@given("an entry whose job with {wait:g} s of its caller's time left has its only task started")
def start_only_task(context, wait):
    start(context, wait, pool_work_steps.STEP)
    place(context, 1)


@given(
    "an entry whose job with {wait:g} s of its caller's time left has a running step and one of "
    "{ms:d} ms to come"
)
def start_first_step(context, wait, ms):
    second = attrs.evolve(pool_work_steps.STEP, estimated_ms=float(ms), after=(0,))
    start(context, wait, pool_work_steps.STEP, second)
    place(context, 1)


def advance_to(context, seconds):
    while context.now < context.arrived_at + seconds - 1e-9:
        context.now = min(context.now + TICK_S / 4, context.arrived_at + seconds)
        context.manager.expire(context.now)


@then("the job is still waiting after {seconds:g} s")
def check_waiting(context, seconds):
    advance_to(context, seconds)
    assert not context.answer.done(), context.answer.result()


@step("the job is {outcome} as {reason} after {seconds:g} s, and {effect}")
def check_ended(context, outcome, reason, seconds, effect):
    advance_to(context, seconds)
    found = context.answer.result()
    assert (found.outcome.value, found.reason) == (outcome, reason), found
    match effect:
        case "its request withdrawn":
            assert context.withdrawn == ["job1"], context.withdrawn
        case "nothing was requested":
            assert not context.placed, context.placed
        case "its task stopped":
            assert isinstance(context.link.sent[-1], _pool_wire.StopTask), context.link.sent
        case _:
            raise ValueError(effect)


@when("the placement arrives")
def place_late(context):
    place(context, 1)


@when("replies took {times} s lately")
def record_replies(context, times):
    context.replies = _entry_limits.ReplyTimes()
    for reply_s in times.split(", ") if times != "nothing" else []:
        context.replies.record(float(reply_s), 10.0)


@then("{seconds:g} s are allowed for a reply")
def check_allowance(context, seconds):
    assert context.replies.allowance_s(10.5) == seconds, context.replies.allowance_s(10.5)
    after = 10.5 + _entry_limits.RETENTION_S
    assert context.replies.allowance_s(after) == _entry_limits.MIN_REPLY_S


class Returning:
    """An entry and its scheduler after a power loss, with runners that end tasks on time."""

    def __init__(self, context):
        self.context = context
        self.ends = []
        self.answer_by_job = {}
        self.submission_by_job = {}
        self.ended_at_by_job = {}
        self.started_jobs = set()
        rng = random.Random(7)
        self.manager = _pool_job_manager.PoolJobManager(
            "e", pool_stand_ins.BOUNDS, _pool_metrics.PoolMetrics(), rng
        )
        self.scheduler = _placement_service.PlacementService(rng, self.deliver)
        self.is_scheduled = False
        self.manager.set_callbacks(
            _job_callbacks.JobCallbacks(
                place=lambda batch: self.is_scheduled and self.scheduler.submit(batch),
                withdraw=lambda job: self.scheduler.withdraw("e", job),
                link_to=lambda agent: AgentLink(self, agent),
                describe=dict,
                on_dispatch=lambda _agent: None,
                dial=lambda _agent: None,
            )
        )

    def deliver(self, _entry, decision):
        self.manager.handle_placement_reply(decision)

    async def submit(self, submission):
        self.submission_by_job[submission.job_id] = submission
        self.answer_by_job[submission.job_id] = self.manager.start_job(submission)

    def advance(self):
        """Let `STEP_S` pass."""
        now = self.context.now = self.context.now + STEP_S
        for at, agent, order in [each for each in self.ends if each[0] <= now]:
            self.ends.remove((at, agent, order))
            released = _pool_wire.AllocationReleased(order.task, order.job_id, "done")
            self.scheduler.record_task_end(agent, released)
            done = _pool_wire.TaskEnded(order.task, order.run, "done", order.expected_ms)
            self.manager.handle_task_ended(agent, done)
        self.scheduler.advance()
        self.manager.limits.observe(now, 0.0)
        self.manager.expire(now)
        for job, answer in self.answer_by_job.items():
            if answer.done():
                self.ended_at_by_job.setdefault(job, now)

    def return_runners(self, cores):
        self.is_scheduled = True
        for number in range(cores // CORES_PER_RUNNER):
            agent = f"a{number}"
            state = _pool_wire.RunnerState(agent, "p", CORES_PER_RUNNER * 1000, 64_000, 0, [], True)
            self.scheduler.update_runner(agent, state, "dc")
            self.scheduler.sync_allocations(agent, _pool_wire.AllocationReport([], 0.0))
        for job in self.manager.waiting_job_ids():
            self.manager.request_placement_again(job, self.context.now)


class AgentLink(pool_stand_ins.FakeLink):
    """Link to an agent that runs each task for its expected time."""

    def __init__(self, world, agent):
        super().__init__(pool_stand_ins.handshake("agent", agent))
        self.world, self.agent = world, agent

    def send(self, message):
        if isinstance(message, _pool_wire.RunTask):
            self.world.started_jobs.add(message.job_id)
            end = self.world.context.now + message.expected_ms / 1000
            self.world.ends.append((end, self.agent, message))


@given(
    "{count:d} callers of jobs of {shortest:d} ms to {longest:d} ms that come at once to an entry "
    "that has just started"
)
def return_callers(context, count, shortest, longest):
    set_clock(context)
    context.world = Returning(context)
    rng = random.Random(5)
    context.arrived_at = context.now
    for number in range(count):
        run_ms = rng.uniform(shortest, longest)
        tasks = attrs.evolve(pool_work_steps.STEP, count=4, estimated_ms=run_ms)
        wait_s = rng.uniform(1.2, MAX_WAIT_S)
        submission = _pool_jobs.Submission(
            f"job{number}", pool_work_steps.ROUTE, "{}", (tasks,), wait_s
        )
        event_loop.run(context, context.world.submit(submission))


@when("nobody schedules for {seconds:g} s, and then runners of {cores:d} cores come back")
def come_back(context, seconds, cores):
    for number in range(round(MAX_WAIT_S / STEP_S) + 1):
        if number == round(seconds / STEP_S):
            context.world.return_runners(cores)
        context.world.advance()


@then("at least {count:d} jobs are completed")
def check_completed(context, count):
    answers = [answer.result() for answer in context.world.answer_by_job.values()]
    completed = [each for each in answers if each.outcome is _pool_jobs.Outcome.COMPLETED]
    assert len(completed) >= count, len(completed)


@step("every other job is refused by its latest start or half of its time, with nothing run")
def check_refusals(context):
    world = context.world
    for job, answer in world.answer_by_job.items():
        outcome = answer.result().outcome
        if outcome is _pool_jobs.Outcome.COMPLETED:
            continue
        assert outcome is _pool_jobs.Outcome.REFUSED, (job, answer.result())
        assert job not in world.started_jobs, job
        submission = world.submission_by_job[job]
        held_s = world.ended_at_by_job[job] - context.arrived_at
        run_s = submission.steps[0].estimated_ms / 1000
        latest_start_s = (pool_work_steps.ROUTE.stretch - 1) * run_s + TARGET_S
        useful_s = max(submission.wait_s / 2, min(latest_start_s, submission.wait_s - run_s))
        assert held_s <= useful_s + STEP_S, (job, held_s, useful_s)


@when("{count:d} pieces of work of {ms:d} ms each are ready at the same time")
def do_work(context, count, ms):
    set_clock(context)
    context.order, context.done_by_iteration = [], [0]

    async def work(turns, number):
        await turns.wait()
        context.now += ms / 1000
        context.order.append(number)

    async def run():
        turns = _loop_turns.LoopTurns()
        tasks = [asyncio.create_task(work(turns, number)) for number in range(count)]
        while not all(task.done() for task in tasks):
            await asyncio.sleep(0)
            context.done_by_iteration.append(len(context.order))

    event_loop.run(context, run())


@then("each iteration of the event loop takes at most {ms:d} ms of {each_ms:d} ms pieces")
def check_iterations(context, ms, each_ms):
    pairs = itertools.pairwise(context.done_by_iteration)
    assert max(after - before for before, after in pairs) <= ms / each_ms, context.order


@step("the work was done in the order of its arrival")
def check_order(context):
    assert context.order == sorted(context.order), context.order


@when(
    "{count:d} jobs of 4 tasks of {ms:d} ms of callers with 4 s arrive within 3 s, and "
    "after 1 s {fault}"
)
def send_timed_load(context, count, ms, fault):
    deployment = context.deployment

    async def post(number):
        job, body = deployment.new_job(4, ms)
        sent_at = time.monotonic()
        # Callers of the two entries that are not lost.
        status, reply, _ = await deployment.post(1 + number % 2, job, body, WAIT_S)
        context.replies.append((status, reply, time.monotonic() - sent_at))
        deployment._record_answer(job, "completed" if status == 200 else "refused")
        if status not in (200, 503):
            deployment.results.maybe_accepted.add(job)

    async def inject():
        await asyncio.sleep(1.0)
        await fault_injection.inject(deployment, fault)

    async def run():
        injection = asyncio.create_task(inject())
        calls = []
        for number in range(count):
            calls.append(asyncio.create_task(post(number)))
            await asyncio.sleep(3.0 / count)
        await asyncio.gather(*calls, injection)

    context.replies = []
    event_loop.run(context, run())


@then("every refusal comes within half of its caller's time")
def check_refused_in_time(context):
    refused = [(reply, held_s) for status, reply, held_s in context.replies if status == 503]
    assert refused, context.replies
    late = [each for each in refused if each[1] > WAIT_S / 2]
    assert not late, late


@step("no caller was held to its deadline")
def check_not_held(context):
    held = [each for each in context.replies if each[0] != 200 and each[2] > WAIT_S - 0.1]
    assert not held, held
