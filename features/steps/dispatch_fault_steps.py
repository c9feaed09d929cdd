"""Steps that run jobs on faulty runners, in virtual time."""

import heapq
import re

import dispatch_harness
from behave import given, then, when

from daisyfall import _wire

JOB_GAP_S = 0.03


def simulate_task(fault, agent, kind):
    """Return the outcome of a task, None if it is not reported, and its run time in ms."""
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


def simulate_jobs(harness, jobs, size, fault):
    """Submit jobs of two kinds, one every 30 ms, and report their tasks when these end."""
    harness.rounds = getattr(harness, "rounds", 0) + 1
    pending_ends = harness.ends = getattr(harness, "ends", [])
    scheduled_count = len(harness.unreported)
    for number in range(jobs):
        kind = "bad" if number % 3 == 0 else "label"
        harness.admit(f"r{harness.rounds}-{number}", "ana", dispatch_harness.tasks(size, kind))
        next_job_at = harness.now + JOB_GAP_S
        while True:
            for item in harness.unreported[scheduled_count:]:
                outcome, run_ms = simulate_task(fault, item[0], item[2].kind)
                if outcome is not None:
                    order = (harness.now + run_ms / 1000.0, item[1], item[2].index)
                    heapq.heappush(pending_ends, (*order, item, outcome, run_ms))
            scheduled_count = len(harness.unreported)
            due = [pending_ends[0][0]] if pending_ends else []
            wakeup = harness.dispatcher.next_wakeup(harness.now)
            due += [wakeup] if wakeup is not None and wakeup > harness.now else []
            if min([next_job_at, *due]) >= next_job_at:
                break
            harness.now = min(due)
            while pending_ends and pending_ends[0][0] <= harness.now:
                report_end(harness, *heapq.heappop(pending_ends)[3:])
            scheduled_count = len(harness.unreported)
            harness.send()
        harness.now = next_job_at


def report_end(harness, item, outcome, run_ms):
    """Report the end of a task; a failed task ends its job."""
    _, key, task = item
    if outcome == _wire.NOT_STARTED:
        harness.unreported.remove(item)
        harness.dispatcher.not_started(key, task.index, "connect", harness.now)
        return
    harness.report(item, outcome, run_ms)
    if outcome == _wire.FAILED:
        harness.dispatcher.remove_job(key)


def ejected_agents(harness):
    """Return the reason of each agent that is ejected or being probed."""
    health = harness.dispatcher.snapshot()["health_by_agent"]
    return {
        agent: each["reason"] for agent, each in health.items() if each["state"] in ("out", "probe")
    }


@given('the dispatcher adds an agent "{agent}" with {slots:d} slots that becomes usable later')
def add_usable_later(context, agent, slots):
    for usable in (False, True):
        context.harness.add_upstream(agent, slots=slots, usable=usable)


@then('the dispatcher has sent {count:d} tasks to "{agent}"')
def check_sent_to(context, count, agent):
    sent = sum(1 for each, _, _ in context.harness.sent if each == agent)
    assert sent == count, f"sent {sent} tasks to {agent}, expected {count}"


@when("the dispatcher runs {jobs:d} jobs of {size:d} tasks while {fault}")
def run_jobs(context, *, jobs, size, fault):
    simulate_jobs(context.harness, jobs, size, fault)


@when('the dispatcher loses and regains "{agent}" {count:d} times')
def lose_and_regain(context, agent, count):
    for _ in range(count):
        context.harness.dispatcher.remove_upstream(agent)
        context.harness.add_upstream(agent)
        context.harness.now += 0.5


@then('the dispatcher has ejected "{agent:S}" as "{reason:S}"')
def check_ejected(context, agent, reason):
    found = ejected_agents(context.harness)
    assert found == {agent: reason}, f"ejected: {found}, expected {agent} as {reason}"


@then('the dispatcher has ejected "" as ""')
def check_none_ejected(context):
    assert not ejected_agents(context.harness), (
        f"ejected: {ejected_agents(context.harness)}, expected none"
    )


@then("the dispatcher has ejected {count:d} agents")
def check_ejected_count(context, count):
    found = ejected_agents(context.harness)
    assert len(found) == count, f"ejected: {found}, expected {count}"


@then('the dispatcher recalls the queued work of "{agent:S}"')
def check_recalls(context, agent):
    found = context.harness.dispatcher.pop_recalls(context.harness.now)
    assert found == [agent], f"recalls {found}, expected {agent}"


@then('the dispatcher recalls the queued work of ""')
def check_no_recalls(context):
    assert not context.harness.dispatcher.pop_recalls(context.harness.now)


@then('the dispatcher has sent at most {count:d} tasks to "{agent}"')
def check_sent_at_most(context, count, agent):
    sent = sum(1 for each, _, _ in context.harness.sent if each == agent)
    assert sent <= count, f"sent {sent} tasks to {agent}, expected at most {count}"


@then('the dispatcher sends no task to "{agent}" within {ms:d} ms')
def check_sends_nothing(context, agent, ms):
    harness = context.harness
    harness.sent.clear()
    simulate_jobs(harness, int(ms / 1000.0 / JOB_GAP_S), 4, "no runner is at fault")
    check_sent_at_most(context, 0, agent)


@then(
    "the dispatcher resends a refused task after"
    " {low:d} to {high:d}, {low2:d} to {high2:d} and {low3:d} to {high3:d} ms"
)
def check_backoff(context, **bounds):
    harness = context.harness
    for suffix in ("", "2", "3"):
        _, key, task = harness.unreported.pop()
        assert harness.dispatcher.not_started(key, task.index, "connect", harness.now)
        harness.send()
        assert not harness.unreported, "the task was sent again without a backoff"
        began = harness.now
        while not harness.unreported:
            harness.now = max(harness.now + 1e-6, harness.dispatcher.next_wakeup(harness.now))
            harness.send()
        waited = (harness.now - began) * 1000.0
        low, high = bounds[f"low{suffix}"], bounds[f"high{suffix}"]
        assert low <= waited <= high, f"waited {waited} ms, expected {low} to {high} ms"


@then(
    "the dispatcher limits retries to a budget of {floor:d} plus {percent:d} percent of the starts"
)
def check_budget(context, floor, percent):
    harness = context.harness
    harness.admit("many", "ana", dispatch_harness.tasks(200))
    began, retries, was_retried = harness.now, 0, True
    while was_retried:
        assert retries <= 200, "no refusal was given up"
        _, key, task = harness.unreported.pop()
        was_retried = harness.dispatcher.not_started(key, task.index, "connect", harness.now)
        retries += was_retried
        while not harness.unreported:
            harness.now += 0.01
            harness.send()
    retries += 3  # the retries of the backoff step
    most = floor + len(harness.sent) * percent / 100.0 + (harness.now - began)
    assert floor <= retries <= most, f"{retries} retries, expected {floor} to {most}"
