"""Steps that run jobs over runners with faults, in virtual time."""

import heapq
import re

import dispatch_bench
from behave import given, then, when

from daisyfall import _wire

JOB_GAP_S = 0.03


def decide(fault, agent, kind):
    """Return what a task does at an agent: outcome, or None for no report, and its ms."""
    named = agent in re.findall(r"agent\d", fault) or fault.startswith("every runner")
    if "fails at every runner" in fault and kind == "bad":
        return _wire.FAILED, 1.0
    if not named:
        return _wire.DONE, 100.0
    if "slower" in fault:
        return _wire.DONE, 500.0
    if "starts no task" in fault:
        return _wire.NOT_STARTED, 1.0
    return (None, 0.0) if "reports nothing" in fault else (_wire.FAILED, 1.0)


def run(bench, jobs, size, fault):
    """Run jobs of two kinds, one every 30 ms, and the reports of their tasks."""
    bench.rounds = getattr(bench, "rounds", 0) + 1
    ends = bench.ends = getattr(bench, "ends", [])
    known = len(bench.open)
    for number in range(jobs):
        kind = "bad" if number % 3 == 0 else "label"
        bench.admit(f"r{bench.rounds}-{number}", "ana", dispatch_bench.tasks(size, kind))
        until = bench.now + JOB_GAP_S
        while True:
            for item in bench.open[known:]:
                outcome, run_ms = decide(fault, item[0], item[2].kind)
                if outcome is not None:
                    order = (bench.now + run_ms / 1000.0, item[1], item[2].index)
                    heapq.heappush(ends, (*order, item, outcome, run_ms))
            known = len(bench.open)
            due = [ends[0][0]] if ends else []
            wakeup = bench.dispatcher.next_wakeup(bench.now)
            due += [wakeup] if wakeup is not None and wakeup > bench.now else []
            if min([until, *due]) >= until:
                break
            bench.now = min(due)
            while ends and ends[0][0] <= bench.now:
                end(bench, *heapq.heappop(ends)[3:])
            known = len(bench.open)
            bench.send()
        bench.now = until


def end(bench, item, outcome, run_ms):
    """Report the end of one task; a failure ends its job."""
    _, key, task = item
    if outcome == _wire.NOT_STARTED:
        bench.open.remove(item)
        bench.dispatcher.not_started(key, task.index, "connect", bench.now)
        return
    bench.report(item, outcome, run_ms)
    if outcome == _wire.FAILED:
        bench.dispatcher.remove_job(key)


def states(bench):
    """Return the agents that are taken out or are on probation, with the reason."""
    health = bench.dispatcher.snapshot()["health_by_agent"]
    return {
        agent: each["reason"] for agent, each in health.items() if each["state"] in ("out", "probe")
    }


@given('the dispatcher hears of a new agent "{agent}" with {slots:d} slots that is usable later')
def add_later(context, agent, slots):
    for usable in (False, True):
        context.bench.add_upstream(agent, slots=slots, usable=usable)


@then('the dispatcher has sent {count:d} tasks to "{agent}"')
def check_sent_to(context, count, agent):
    sent = sum(1 for each, _, _ in context.bench.sent if each == agent)
    assert sent == count, f"sent {sent} tasks to {agent}, expected {count}"


@when("the dispatcher runs {jobs:d} jobs of {size:d} tasks while {fault}")
def run_jobs(context, *, jobs, size, fault):
    run(context.bench, jobs, size, fault)


@when('the dispatcher sees "{agent}" go and return {count:d} times')
def flap(context, agent, count):
    for _ in range(count):
        context.bench.dispatcher.remove_upstream(agent)
        context.bench.add_upstream(agent)
        context.bench.now += 0.5


@then('the dispatcher has taken out "{agent:S}" as "{reason:S}"')
def check_out(context, agent, reason):
    found = states(context.bench)
    assert found == {agent: reason}, f"taken out: {found}, expected {agent} as {reason}"


@then('the dispatcher has taken out "" as ""')
def check_none_out(context):
    assert not states(context.bench), f"taken out: {states(context.bench)}, expected none"


@then("the dispatcher has taken out {count:d} agents")
def check_out_count(context, count):
    found = states(context.bench)
    assert len(found) == count, f"taken out: {found}, expected {count}"


@then('the dispatcher recalls the queued work of "{agent:S}"')
def check_recalls(context, agent):
    found = context.bench.dispatcher.pop_recalls(context.bench.now)
    assert found == [agent], f"recalls {found}, expected {agent}"


@then('the dispatcher recalls the queued work of ""')
def check_no_recalls(context):
    assert not context.bench.dispatcher.pop_recalls(context.bench.now)


@then('the dispatcher has sent at most {count:d} tasks to "{agent}"')
def check_few(context, count, agent):
    sent = sum(1 for each, _, _ in context.bench.sent if each == agent)
    assert sent <= count, f"sent {sent} tasks to {agent}, expected at most {count}"


@then('the dispatcher sends no task to "{agent}" within {ms:d} ms')
def check_quiet(context, agent, ms):
    bench = context.bench
    bench.sent.clear()
    run(bench, int(ms / 1000.0 / JOB_GAP_S), 4, "no runner is at fault")
    check_few(context, 0, agent)


@then(
    "the dispatcher sends a refused task again after"
    " {low:d} to {high:d}, {low2:d} to {high2:d} and {low3:d} to {high3:d} ms"
)
def check_backoff(context, **bounds):
    bench = context.bench
    for suffix in ("", "2", "3"):
        _, key, task = bench.open.pop()
        assert bench.dispatcher.not_started(key, task.index, "connect", bench.now)
        bench.send()
        assert not bench.open, "the task was sent again without a backoff"
        began = bench.now
        while not bench.open:
            bench.now = max(bench.now + 1e-6, bench.dispatcher.next_wakeup(bench.now))
            bench.send()
        waited = (bench.now - began) * 1000.0
        low, high = bounds[f"low{suffix}"], bounds[f"high{suffix}"]
        assert low <= waited <= high, f"waited {waited} ms, expected {low} to {high} ms"


@then("the dispatcher gives up refused tasks within its floor of {floor:d} and {percent:d} percent")
def check_budget(context, floor, percent):
    bench = context.bench
    bench.admit("many", "ana", dispatch_bench.tasks(200))
    began, used, again = bench.now, 0, True
    while again:
        assert used <= 200, "no refusal was given up"
        _, key, task = bench.open.pop()
        again = bench.dispatcher.not_started(key, task.index, "connect", bench.now)
        used += again
        while not bench.open:
            bench.now += 0.01
            bench.send()
    used += 3  # those of the backoff
    most = floor + len(bench.sent) * percent / 100.0 + (bench.now - began)
    assert floor <= used <= most, f"{used} retries, expected {floor} to {most}"
