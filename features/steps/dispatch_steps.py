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
