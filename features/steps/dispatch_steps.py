"""Steps on the dispatcher: agents, plans and time are tables and numbers, nothing waits."""

import dispatch_bench
import parse
from behave import given, register_type, then, when

from daisyfall.request import _work


@parse.with_pattern(r"[\d, ]+")
def read_numbers(text):
    return [int(each) for each in text.split(", ")]


register_type(Numbers=read_numbers)


@given("the dispatcher has {count:d} agents with {slots:d} slots")
def make_dispatcher(context, count, slots):
    context.bench = dispatch_bench.Bench(**getattr(context, "settings", {}))
    for number in range(count):
        context.bench.add_upstream(f"agent{number}", slots=slots, rack=f"rack{number // 3}")


@given('the dispatcher orders jobs by "{order}"')
def set_order(context, order):
    context.settings = {"job_order": order}


@given('the dispatcher has learnt that kind "{kind}" takes {run_ms:g} ms')
def learn(context, kind, run_ms):
    context.bench.learn(kind, run_ms)


@given('the dispatcher gives "{buyer}" the limit {limit} {value:g}')
def set_limit(context, buyer, limit, value):
    context.bench.set_plan(buyer, **{limit: value if limit == "starts_per_second" else int(value)})


@when('the dispatcher admits a job "{job}" of "{buyer}" with {count:d} tasks')
def admit(context, job, buyer, count):
    context.bench.admit(job, buyer, dispatch_bench.tasks(count))


@when('the dispatcher admits a job "{job}" of "{buyer}" with tasks of {times:Numbers} ms')
def admit_times(context, job, buyer, times):
    new = [_work.Task(at, f"new{run_ms}", None, run_ms) for at, run_ms in enumerate(times)]
    context.bench.admit(job, buyer, new)


@when("the dispatcher hears that {count:d} tasks are done")
def report_done(context, count):
    for _ in range(count):
        context.bench.report(context.bench.open[0])
        context.bench.send()


@then("the dispatcher has {count:d} tasks in flight, at most {most:d} at each agent")
def check_in_flight(context, count, most):
    agents = [agent for agent, _, _ in context.bench.open]
    assert len(agents) == count, f"{len(agents)} in flight, expected {count}"
    counts = {agent: agents.count(agent) for agent in agents}
    assert max(counts.values()) <= most, f"{counts} in flight, expected at most {most} each"


@then('the dispatcher has sent {count:d} tasks of "{job}"')
def check_sent_of(context, count, job):
    check_about(context, count, job, 0)


@then('the dispatcher has sent {count:d} tasks of "{job}", give or take {slack:d}')
def check_about(context, count, job, slack):
    sent = sum(1 for _, key, _ in context.bench.sent if key[1] == job)
    assert abs(sent - count) <= slack, f"sent {sent} of {job}, expected {count} +- {slack}"


@then("the dispatcher has sent the tasks of {times:Numbers} ms in this order")
def check_order(context, times):
    sent = [task.run_ms for _, _, task in context.bench.sent]
    assert sent == times, f"sent {sent}, expected {times}"


@when(
    'the dispatcher admits a job "{job}" of "{buyer}" with {count:d} tasks'
    " that need {need:d} accelerators"
)
def admit_accelerators(context, *, job, buyer, count, need):
    context.bench.admit(job, buyer, dispatch_bench.tasks(count, accelerators=need))


@when(
    'the dispatcher admits a job "{job}" of "{buyer}" with {count:d} tasks that need {memory:d} MB'
)
def admit_memory(context, *, job, buyer, count, memory):
    context.bench.admit(job, buyer, dispatch_bench.tasks(count, memory_mb=memory))


@when("the dispatcher hears that {count:d} tasks are done, {ms:d} ms apart")
def report_slowly(context, count, ms):
    for _ in range(count):
        context.bench.now += ms / 1000.0
        report_done(context, 1)


@when('the dispatcher admits a job "{job}" of "{buyer}" with {count:d} tasks that have {ms:d} ms')
def admit_deadline(context, *, job, buyer, count, ms):
    context.bench.admit(job, buyer, dispatch_bench.tasks(count), ms)


@when("{ms:d} ms pass for the dispatcher")
def let_pass(context, ms):
    context.bench.now += ms / 1000.0
    context.bench.send()


@given("the dispatcher has taken over the shard")
def take_over(context):
    context.bench.dispatcher.activated(0, context.bench.now)


@given('the dispatcher adopts {count:d} tasks of "{buyer}" at "{agent}"')
def adopt(context, count, buyer, agent):
    context.bench.dispatcher.adopt((buyer, "earlier"), list(range(count)), agent, None)


@given('the dispatcher has {count:d} tasks of "{buyer}" ahead')
def queue_ahead(context, count, buyer):
    if count:
        context.bench.admit("ahead", buyer, dispatch_bench.tasks(count), 60_000)


@when(
    'the dispatcher is asked for {count:d} tasks of "{buyer}" that need {memory:d} MB'
    " and {accelerators:d} accelerators in {ms:d} ms"
)
def ask(context, *, count, buyer, memory, accelerators, ms):
    new = dispatch_bench.tasks(count, memory_mb=memory, accelerators=accelerators)
    context.bench.sent.clear()
    context.bench.admit("asked", buyer, new, ms, send=False)


@given('the dispatcher loses "{first}", "{second}" and "{third}"')
def lose(context, first, second, third):
    for agent_id in (first, second, third):
        context.bench.dispatcher.remove_upstream(agent_id)


@given("the dispatcher has {count:d} agents without accelerators")
def add_plain(context, count):
    for number in range(count):
        context.bench.add_upstream(f"plain{number}", accelerators=0)


@then('the dispatcher answers "{kind}"')
def check_answer(context, kind):
    error = context.bench.error
    found = error.kind.value if error else "accepted"
    assert found == kind, f"answered {found} ({error}), expected {kind}"


@then('the dispatcher explains that "{job}" of "{buyer}" waits for "{reason}"')
def check_reason(context, job, buyer, reason):
    found = context.bench.dispatcher.explain((buyer, job), context.bench.now)["waits_for"]
    assert found == reason, f"waits for {found!r}, expected {reason!r}"


@then("the dispatcher wants to be called again after {ms:d} ms")
def check_wakeup(context, ms):
    found = (context.bench.dispatcher.next_wakeup(context.bench.now) - context.bench.now) * 1000.0
    assert abs(found - ms) < 1.0, f"next wakeup in {found} ms, expected {ms} ms"


@then(
    'the dispatcher says that "{job}" of "{buyer}" expired,'
    " with {unsent:d} tasks unsent and {sent:d} sent"
)
def check_expired(context, *, job, buyer, unsent, sent):
    bench = context.bench
    assert bench.dispatcher.pop_expired(bench.now) == [(buyer, job)]
    never, in_flight = bench.dispatcher.remove_job((buyer, job))
    counts = (len(never), sum(len(each) for each in in_flight.values()))
    assert counts == (unsent, sent), f"unsent and sent: {counts}, expected {(unsent, sent)}"


@given('the dispatcher adopts tasks {indices:Numbers} of job "{job}" of "{buyer}" at "{agent}"')
def adopt(context, indices, job, buyer, agent):
    context.bench.set_plan(buyer)
    context.bench.dispatcher.adopt((buyer, job), indices, agent, None)


@when('the dispatcher joins job "{job}" of "{buyer}" with 3 tasks, of which 2 was not reported')
def join(context, job, buyer):
    bench = context.bench
    tasks = [_work.Task(index, "label", f"payload {index}", 100) for index in range(3)]
    work = _work.Work(buyer, job, 0, tasks, bench.now + 20.0)
    bench.dispatcher.join(work)
    rest = _work.Work(buyer, job, 0, tasks[2:], work.deadline)
    bench.dispatcher.admit(rest, bench.now, admitted=True)
    bench.now += 0.1  # the rate bucket of a new owner is empty
    context.assignments = bench.dispatcher.assign(bench.now)


@when('the dispatcher hears that task {index:d} of job "{job}" of "{buyer}" did not start')
def hear_not_started(context, index, job, buyer):
    bench = context.bench
    assert bench.dispatcher.not_started((buyer, job), index, "draining", bench.now)
    context.assignments += bench.dispatcher.assign(bench.now)


@then('the dispatcher has sent exactly tasks {indices:Numbers} of job "{job}" with their payloads')
def check_payloads(context, indices, job):
    sent = [task for each in context.assignments for task in each.tasks]
    assert {each.work.job_id for each in context.assignments} == {job}, context.assignments
    assert sorted(task.index for task in sent) == indices, sent
    assert all(task.payload == f"payload {task.index}" for task in sent), sent


@then('the dispatcher keeps nothing of job "{job}" of "{buyer}" that is joined after its end')
def check_ended_join(context, job, buyer):
    # Guards against a count of jobs that never returns to its start level after a takeover.
    bench = context.bench
    before = bench.dispatcher.snapshot()
    bench.dispatcher.join(
        _work.Work(buyer, job, 0, [_work.Task(0, "label", None, 100)], bench.now + 20.0)
    )
    assert bench.dispatcher.snapshot() == before, bench.dispatcher.snapshot()
