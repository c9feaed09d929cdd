"""Steps for entries and agents as processes, with stand-ins for the platform."""

import asyncio
import json
import time

import event_loop
from behave import given, step, then, when

from daisyfall_standins import fault_injection, platform_world, processes

WAIT_S = 4.0


@given("a platform deployment of {entries:d} entries and {agents:d} agents")
@given(
    "a platform deployment of {entries:d} entries and {agents:d} agents in {count:d} data centres"
)
def start_deployment(context, entries, agents, count=1):
    fleet = processes.Fleet()
    context.add_cleanup(fleet.stop_all)
    context.deployment = platform_world.World(fleet, entries, agents, 11, count)
    event_loop.run(context, context.deployment.__aenter__())
    event_loop.at_end(context, context.deployment.__aexit__)
    event_loop.run(context, context.deployment.wait_ready())
    event_loop.run(context, asyncio.sleep(platform_world.LEADER_STABLE_S))


async def run_load(deployment, count, workload, seconds, fault=None):
    """Send jobs of `workload` (tasks, ms) evenly over `seconds`; return their outcomes."""
    calls = []
    injection = asyncio.create_task(fault) if fault else None
    for _ in range(count):
        job, body = deployment.new_job(*workload)
        calls.append(asyncio.create_task(deployment.submit_with_retries(job, body, WAIT_S)))
        await asyncio.sleep(seconds / count)
    outcomes = await asyncio.gather(*calls)
    if injection:
        await injection
    return outcomes


@when("{count:d} jobs of {tasks:d} tasks of {ms:d} ms arrive within {seconds:g} s")
def send_load(context, count, tasks, ms, seconds):
    context.outcomes = event_loop.run(
        context, run_load(context.deployment, count, (tasks, ms), seconds)
    )


@then("all jobs are completed")
def check_all(context):
    assert set(context.outcomes) == {"completed"}, context.outcomes


@then("at least {share:d}% of the jobs are completed")
def check_share(context, share):
    completed = context.outcomes.count("completed")
    assert completed >= share / 100 * len(context.outcomes), (completed, len(context.outcomes))


@step("no invariant is violated")
def check_invariants(context):
    violations = context.deployment.violations()
    assert not any(violations.values()), violations
    assert not context.deployment.unexpected_exits, context.deployment.unexpected_exits


@when("{count:d} jobs of 3 tasks of 100 ms arrive within {seconds:g} s, and after 1 s {fault}")
def send_load_with_fault(context, count, seconds, fault):
    async def inject():
        await asyncio.sleep(1.0)
        await fault_injection.inject(context.deployment, fault)

    context.outcomes = event_loop.run(
        context, run_load(context.deployment, count, (3, 100), seconds, inject())
    )


@step("nearly all later jobs are completed")
def check_later_jobs(context):
    outcomes = event_loop.run(context, run_load(context.deployment, 20, (2, 50), 1.0))
    assert outcomes.count("completed") >= 19, outcomes


@when("all nodes are killed and started again")
def kill_all(context):
    fleet = context.deployment.fleet
    for process in fleet.process_by_name.values():
        process.kill()
    for process in list(fleet.process_by_name.values()):
        fleet.restart(process)
    event_loop.run(context, context.deployment.wait_ready())
    event_loop.run(context, asyncio.sleep(platform_world.LEADER_STABLE_S))


@when("one job of {tasks:d} tasks of {ms:d} ms is sent twice at the same time")
def send_twice(context, tasks, ms):
    context.job, body = context.deployment.new_job(tasks, ms)

    async def both():
        post = context.deployment.post
        return await asyncio.gather(*(post(0, context.job, body, WAIT_S) for _ in range(2)))

    context.replies = event_loop.run(context, both())


@then("both callers get 200 completed")
def check_both(context):
    assert [(status, body["State"]) for status, body, _ in context.replies] == [
        (200, "completed")
    ] * 2


@then("each of its tasks started once")
def check_once(context):
    starts = context.deployment.execution_log.starts_by_task
    assert set(starts.values()) == {1}, starts


@when("a job with {change} is sent to {path}")
def send_changed(context, change, path):
    _, body = context.deployment.new_job(1, 50)
    if change != "nothing":
        name, _, value = change.partition("=")
        body[name] = json.loads(value)
    ip = f"http://{context.deployment._entry_ips[0]}:{platform_world.CALLER_PORT}"

    async def send():
        headers = {"Host": platform_world.HOST_NAME}
        async with context.deployment.session.post(
            f"{ip}{path}", json=body, headers=headers
        ) as reply:
            return reply.status, await reply.text()

    context.reply = event_loop.run(context, send())


@then("the answer is {status:d} and contains {text}")
def check_refusal(context, status, text):
    assert context.reply[0] == status, context.reply
    assert text in context.reply[1], context.reply


@then("no task was started")
def check_no_start(context):
    assert not context.deployment.execution_log.starts_by_task


@when("one failing job of {tasks:d} tasks of {ms:d} ms is sent")
def send_failing(context, tasks, ms):
    job, body = context.deployment.new_job(tasks, ms, fails=True)
    context.reply = event_loop.run(context, context.deployment.post(0, job, body, WAIT_S))


@when("a job with a step of 2 tasks and a dependent step is sent")
def send_steps(context):
    job, body = context.deployment.new_job(3, 100)
    first = body["Steps"][0]
    body["Steps"] = [{**first, "Count": 2}, {**first, "Count": 1, "After": [0]}]
    context.job = job
    context.sent_at = time.monotonic()
    context.reply = event_loop.run(context, context.deployment.post(0, job, body, WAIT_S))


@then("the second step started after the first had ended")
def check_step_order(context):
    events = context.deployment.execution_log.events
    first_ends = [events.index(("end", f"{context.job}.0.0.{n}")) for n in range(2)]
    assert events.index(("start", f"{context.job}.0.1.0")) > max(first_ends), events


@then("the answer is {status:d} {state}")
def check_answer(context, status, state):
    found, body, _ = context.reply
    assert found == status, context.reply
    assert state in (body.get("State"), body.get("Error")), context.reply


@when("one job of 2 tasks of 3000 ms is sent to entry 0 and cancelled at entry 1")
def send_and_cancel(context):
    job, body = context.deployment.new_job(2, 3000)

    async def both():
        posting = asyncio.create_task(context.deployment.post(0, job, body, WAIT_S))
        await asyncio.sleep(0.5)
        assert await context.deployment.delete(1, job) == 200
        return await posting

    context.reply = event_loop.run(context, both())


@when("one job of 2 tasks of 3000 ms is sent and its caller disconnects")
def send_and_disconnect(context):
    job, body = context.deployment.new_job(2, 3000)

    async def disconnect():
        posting = asyncio.create_task(context.deployment.post(0, job, body, WAIT_S))
        await asyncio.sleep(0.5)
        assert any(context.deployment.execution_log.running_by_task.values())
        posting.cancel()

    event_loop.run(context, disconnect())


@then("all tasks have ended after {seconds:g} s")
def check_idle(context, seconds):
    event_loop.run(context, asyncio.sleep(seconds))
    running = context.deployment.execution_log.running_by_task
    assert not any(running.values()), running


@when("a route {prefix} is added to the configuration")
def add_route(context, prefix):
    context.deployment.configure(prefixes=[prefix])


async def serves(deployment, entry, prefix):
    status, _ = await deployment.get(entry, prefix)
    return status == 200


@then("every entry serves {prefix} within {seconds:g} s")
def check_route_served(context, prefix, seconds):
    async def wait():
        async with asyncio.timeout(seconds):
            for entry in range(2):
                while not await serves(context.deployment, entry, prefix):
                    await asyncio.sleep(0.05)

    event_loop.run(context, wait())


@when("the store loses the answers to all calls in progress")
def lose_answers(context):
    context.deployment.store.lose_pending_answers()


@when("the route is removed and the store truncates the history of its feed")
def remove_route(context):
    context.deployment.configure()
    context.deployment.store.truncate_history()


@then("no entry serves {prefix} after {seconds:g} s")
def check_route_removed(context, prefix, seconds):
    async def check():
        await asyncio.sleep(seconds)
        for _ in range(20):
            for entry in range(2):
                assert not await serves(context.deployment, entry, prefix)

    event_loop.run(context, check())


@when("the store goes down and entry 1 is killed and started again")
def restart_without_store(context):
    context.deployment.store.fault = "down"
    process = context.deployment.fleet.process_by_name["entry-1"]
    process.kill()
    context.deployment.fleet.restart(process)


@then("entry {entry:d} is ready within {seconds:g} s")
def check_ready(context, entry, seconds):
    async def wait():
        async with asyncio.timeout(seconds):
            while not await context.deployment.is_ready(entry):
                await asyncio.sleep(0.05)

    event_loop.run(context, wait())


@when("entry 0 is sent a job whose task crashes its runner {when} in its run")
def send_crashing(context, when):
    context.job, context.body = context.deployment.new_job(1, 30, crashes=True)
    context.body["Steps"][0]["EstimatedMs"] = {"early": 1000, "late": 30}[when]
    post = context.deployment.post(0, context.job, context.body, WAIT_S)
    context.reply = event_loop.run(context, post)


@then("{count:d} runners have crashed")
def check_crashes(context, count):
    assert sum(context.deployment.execution_log.crashes_by_task.values()) == count


@when("entry 0 is killed and the job is sent again to entry 1")
def resend_after_kill(context):
    context.deployment.fleet.process_by_name["entry-0"].kill()
    post = context.deployment.post(1, context.job, context.body, WAIT_S)
    context.reply = event_loop.run(context, post)
