"""Steps for the dispatcher: agents, plans and the clock are simulated, so nothing sleeps."""

import dispatch_harness
import parse
from behave import given, register_type, then, when

from daisyfall.request import _work


@parse.with_pattern(r"[\d, ]+")
def read_numbers(text):
    return [int(each) for each in text.split(", ")]


register_type(Numbers=read_numbers)


@given("the dispatcher has {count:d} agents with {slots:d} slots")
def make_dispatcher(context, count, slots):
    context.harness = dispatch_harness.DispatcherHarness(**getattr(context, "settings", {}))
    for number in range(count):
        context.harness.add_upstream(f"agent{number}", slots=slots, rack=f"rack{number // 3}")


@given('the dispatcher orders jobs by "{order}"')
def set_order(context, order):
    context.settings = {"job_order": order}


@given('the dispatcher has learnt that kind "{kind}" takes {run_ms:g} ms')
def learn(context, kind, run_ms):
    context.harness.learn(kind, run_ms)


@given('the dispatcher\'s plan for "{buyer}" sets {limit} to {value:g}')
def set_limit(context, buyer, limit, value):
    context.harness.set_plan(
        buyer, **{limit: value if limit == "starts_per_second" else int(value)}
    )


@when('the dispatcher admits a job "{job}" of "{buyer}" with {count:d} tasks')
def admit(context, job, buyer, count):
    context.harness.admit(job, buyer, dispatch_harness.tasks(count))


@when('the dispatcher admits a job "{job}" of "{buyer}" with tasks of {times:Numbers} ms')
def admit_times(context, job, buyer, times):
    new = [_work.Task(at, f"new{run_ms}", None, run_ms) for at, run_ms in enumerate(times)]
    context.harness.admit(job, buyer, new)


@when("the dispatcher receives reports of {count:d} completed tasks")
def report_done(context, count):
    for _ in range(count):
        context.harness.report(context.harness.unreported[0])
        context.harness.send()


@then("the dispatcher has {count:d} tasks in flight, at most {most:d} at each agent")
def check_in_flight(context, count, most):
    agents = [agent for agent, _, _ in context.harness.unreported]
    assert len(agents) == count, f"{len(agents)} in flight, expected {count}"
    counts = {agent: agents.count(agent) for agent in agents}
    assert max(counts.values()) <= most, f"{counts} in flight, expected at most {most} each"


@then('the dispatcher has sent {count:d} tasks of "{job}"')
def check_sent_of(context, count, job):
    check_sent_about(context, count, job, 0)


@then('the dispatcher has sent {count:d} tasks of "{job}", plus or minus {slack:d}')
def check_sent_about(context, count, job, slack):
    sent = sum(1 for _, key, _ in context.harness.sent if key[1] == job)
    assert abs(sent - count) <= slack, f"sent {sent} of {job}, expected {count} +- {slack}"


@then("the dispatcher has sent the tasks of {times:Numbers} ms in this order")
def check_order(context, times):
    sent = [task.run_ms for _, _, task in context.harness.sent]
    assert sent == times, f"sent {sent}, expected {times}"


@when(
    'the dispatcher admits a job "{job}" of "{buyer}" with {count:d} tasks'
    " that need {need:d} accelerators"
)
def admit_accelerators(context, *, job, buyer, count, need):
    context.harness.admit(job, buyer, dispatch_harness.tasks(count, accelerators=need))


@when(
    'the dispatcher admits a job "{job}" of "{buyer}" with {count:d} tasks that need {memory:d} MB'
)
def admit_memory(context, *, job, buyer, count, memory):
    context.harness.admit(job, buyer, dispatch_harness.tasks(count, memory_mb=memory))


@when("the dispatcher receives reports of {count:d} completed tasks, {ms:d} ms apart")
def report_at_intervals(context, count, ms):
    for _ in range(count):
        context.harness.now += ms / 1000.0
        report_done(context, 1)


@when(
    'the dispatcher admits a job "{job}" of "{buyer}" with {count:d} tasks'
    " and a deadline of {ms:d} ms"
)
def admit_deadline(context, *, job, buyer, count, ms):
    context.harness.admit(job, buyer, dispatch_harness.tasks(count), ms)


@when("the dispatcher's clock advances by {ms:d} ms")
def advance_clock(context, ms):
    context.harness.now += ms / 1000.0
    context.harness.send()


@given("the dispatcher has taken over the shard")
def take_over(context):
    context.harness.dispatcher.activated(0, context.harness.now)


@given('the dispatcher adopts {count:d} tasks of "{buyer}" at "{agent}"')
def adopt(context, count, buyer, agent):
    context.harness.dispatcher.adopt((buyer, "earlier"), list(range(count)), agent, None)


@given('the dispatcher has already admitted {count:d} tasks of "{buyer}"')
def admit_before(context, count, buyer):
    if count:
        context.harness.admit("ahead", buyer, dispatch_harness.tasks(count), 60_000)


@when(
    'the dispatcher is asked to admit {count:d} tasks of "{buyer}" that need {memory:d} MB'
    " and {accelerators:d} accelerators within {ms:d} ms"
)
def request_admission(context, *, count, buyer, memory, accelerators, ms):
    new = dispatch_harness.tasks(count, memory_mb=memory, accelerators=accelerators)
    context.harness.sent.clear()
    context.harness.admit("asked", buyer, new, ms, send=False)


@given('the dispatcher loses "{first}", "{second}" and "{third}"')
def lose(context, first, second, third):
    for agent_id in (first, second, third):
        context.harness.dispatcher.remove_upstream(agent_id)


@given("the dispatcher has {count:d} agents without accelerators")
def add_without_accelerators(context, count):
    for number in range(count):
        context.harness.add_upstream(f"plain{number}", accelerators=0)


@then('the dispatcher answers "{kind}"')
def check_answer(context, kind):
    error = context.harness.error
    found = error.kind.value if error else "accepted"
    assert found == kind, f"answered {found} ({error}), expected {kind}"


@then('the dispatcher explains that "{job}" of "{buyer}" waits for "{reason}"')
def check_reason(context, job, buyer, reason):
    found = context.harness.dispatcher.explain((buyer, job), context.harness.now)["waits_for"]
    assert found == reason, f"waits for {found!r}, expected {reason!r}"


@then("the dispatcher's next wakeup is in {ms:d} ms")
def check_wakeup(context, ms):
    found = (
        context.harness.dispatcher.next_wakeup(context.harness.now) - context.harness.now
    ) * 1000.0
    assert abs(found - ms) < 1.0, f"next wakeup in {found} ms, expected {ms} ms"


@then(
    'the dispatcher reports "{job}" of "{buyer}" as expired,'
    " with {unsent:d} tasks unsent and {sent:d} sent"
)
def check_expired(context, *, job, buyer, unsent, sent):
    harness = context.harness
    assert harness.dispatcher.pop_expired(harness.now) == [(buyer, job)]
    unsent_indices, in_flight = harness.dispatcher.remove_job((buyer, job))
    counts = (len(unsent_indices), sum(len(each) for each in in_flight.values()))
    assert counts == (unsent, sent), f"unsent and sent: {counts}, expected {(unsent, sent)}"


@given('the dispatcher adopts tasks {indices:Numbers} of job "{job}" of "{buyer}" at "{agent}"')
def adopt_tasks(context, indices, job, buyer, agent):
    context.harness.set_plan(buyer)
    context.harness.dispatcher.adopt((buyer, job), indices, agent, None)


@when(
    'the dispatcher joins job "{job}" of "{buyer}" with 3 tasks, of which no agent reported task 2'
)
def join(context, job, buyer):
    harness = context.harness
    tasks = [_work.Task(index, "label", f"payload {index}", 100) for index in range(3)]
    work = _work.Work(buyer, job, 0, tasks, harness.now + 20.0)
    harness.dispatcher.join(work)
    rest = _work.Work(buyer, job, 0, tasks[2:], work.deadline)
    harness.dispatcher.admit(rest, harness.now, admitted=True)
    harness.now += 0.1  # the rate bucket of a new owner is empty
    context.assignments = harness.dispatcher.assign(harness.now)


@when('the dispatcher is told that task {index:d} of job "{job}" of "{buyer}" did not start')
def hear_not_started(context, index, job, buyer):
    harness = context.harness
    assert harness.dispatcher.not_started((buyer, job), index, "draining", harness.now)
    context.assignments += harness.dispatcher.assign(harness.now)


@then('the dispatcher has sent exactly tasks {indices:Numbers} of job "{job}" with their payloads')
def check_payloads(context, indices, job):
    sent = [task for each in context.assignments for task in each.tasks]
    assert {each.work.job_id for each in context.assignments} == {job}, context.assignments
    assert sorted(task.index for task in sent) == indices, sent
    assert all(task.payload == f"payload {task.index}" for task in sent), sent


@then('the dispatcher keeps no state of job "{job}" of "{buyer}" that is joined after it ended')
def check_ended_join(context, job, buyer):
    # Guards against a leak: joining an ended job after a takeover must not add it again.
    harness = context.harness
    before = harness.dispatcher.snapshot()
    harness.dispatcher.join(
        _work.Work(buyer, job, 0, [_work.Task(0, "label", None, 100)], harness.now + 20.0)
    )
    assert harness.dispatcher.snapshot() == before, harness.dispatcher.snapshot()
