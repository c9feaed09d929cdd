"""Steps for the runner contract: the agent's HTTP client against the stand-in runner."""

import asyncio
import collections
import time

import aiohttp
import attrs
import event_loop
from aiohttp import web
from behave import given, then, when

from daisyfall.process import _announcement, _runner
from daisyfall.request import _task_queue, _work
from daisyfall_standins import runner

# Upper bound for waits on expected events; a passing test never waits this long.
TIMEOUT_SECONDS = 20.0
RUN_MS = 10
POLL_SECONDS = 0.005


def connect(context):
    target = _runner.HttpTarget(context.runner_server.url, 64, TIMEOUT_SECONDS)

    async def new_adapter():
        return _runner.connect(target)

    adapter = event_loop.run(context, new_adapter())
    event_loop.at_end(context, adapter.close)
    return adapter


def new_task(name):
    task = _work.Task(0, "load", {"token": name, "run_ms": RUN_MS}, RUN_MS)
    return _task_queue.QueuedTask(("roca", name), 0, 1, task)


async def wait_until(condition):
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not condition():
            await asyncio.sleep(POLL_SECONDS)


async def put_fault(context, body):
    async with aiohttp.ClientSession() as session:
        reply = await session.put(f"{context.runner_server.url}/v1/fault", json=body)
        assert reply.status == 200, await reply.text()


def run_tasks(context, names, concurrent_call=None):
    """Run tasks and a coroutine concurrently; store the outcomes and the elapsed time."""

    async def run_all():
        started = time.monotonic()
        calls = [context.runner_adapter.run(new_task(name)) for name in names]
        outcomes, _ = await asyncio.gather(
            asyncio.gather(*calls), concurrent_call or asyncio.sleep(0)
        )
        return outcomes, (time.monotonic() - started) * 1000

    context.runner_outcomes, context.runner_ms = event_loop.run(context, run_all())


def start_counts(context):
    return context.runner_server.stand_in.starts


@given("the stand-in runner with {slots:d} slots and {connections:d} connections")
def start_runner(context, slots, connections):
    settings = runner.Settings(slots=slots, connections=connections, announce_ms=20.0)
    context.runner_settings = settings
    context.runner_server = event_loop.start(context, runner.start(settings))
    context.runner_adapter = connect(context)


@given("the stand-in runner has the fault {name:w}")
def set_fault(context, name):
    if name == "stopped":
        event_loop.run(context, context.runner_server.stop())
    elif name != "none":
        event_loop.run(context, put_fault(context, {name: True}))


@given("the stand-in runner has the fault {name:w} with value {value:d}")
def set_fault_value(context, name, value):
    event_loop.run(context, put_fault(context, {name: value}))


@when("the stand-in runner gets {count:d} tasks at once")
def run_several(context, count):
    run_tasks(context, [f"task-{number}" for number in range(count)])


@when('the stand-in runner gets the task "{name}" {times:d} times')
def run_repeatedly(context, name, times):
    run_tasks(context, [name] * times)


@when('the stand-in runner gets the task "{name}" and the fault is cleared after its start')
def run_and_clear(context, name):
    async def clear():
        await wait_until(lambda: start_counts(context).running)
        await put_fault(context, {})

    run_tasks(context, [name], clear())


@when('the stand-in runner gets the task "{name}" and stops after its start')
def run_and_stop(context, name):
    async def stop():
        await wait_until(lambda: start_counts(context).running)
        await context.runner_server.stop()

    run_tasks(context, [name], stop())


@when(
    "the stand-in runner gets {count:d} tasks at once"
    " and the fault is cleared after {refused:d} refusals"
)
def run_and_clear_refused(context, count, refused):
    async def clear():
        await wait_until(lambda: start_counts(context).refused == refused)
        await put_fault(context, {})

    run_tasks(context, [f"task-{number}" for number in range(count)], clear())


@when('the stand-in runner gets the task "{name}" and its caller disconnects after the start')
def run_and_disconnect(context, name):
    async def disconnect():
        call = asyncio.create_task(context.runner_adapter.run(new_task(name)))
        await wait_until(lambda: start_counts(context).running)
        call.cancel()

    event_loop.run(context, disconnect())


@then("the stand-in runner has no task running")
def check_stopped(context):
    event_loop.run(context, wait_until(lambda: start_counts(context).running == 0))


@then("the stand-in runner answered each task with its own payload")
def check_results(context):
    for number, outcome in enumerate(context.runner_outcomes):
        assert outcome.value == {"token": f"task-{number}", "run_ms": RUN_MS}, outcome


@then("the stand-in runner counts {count:d} starts, none of them twice")
@then('the stand-in runner counts {count:d} starts, "{name}" more than once')
def check_starts(context, count, name=""):
    async def get():
        async with aiohttp.ClientSession() as session:
            return await (await session.get(f"{context.runner_server.url}/v1/starts?ids=1")).json()

    reported = event_loop.run(context, get())
    assert reported["total"] == count, reported
    assert reported["repeated"] == ([f"roca/{name}/0"] if name else []), reported
    assert sum(reported["count_by_token"].values()) == count, reported


@then("the stand-in runner's outcome is {outcome:w} after {count:d} starts")
def check_outcome(context, outcome, count):
    found = [type(each).__name__ for each in context.runner_outcomes]
    assert found == [outcome], context.runner_outcomes
    assert start_counts(context).count_by_id.total() == count, start_counts(context).count_by_id


@then(
    "the stand-in runner's outcomes are {done:d} Done and {refused:d} NotStarted"
    " after {count:d} starts"
)
def check_outcomes(context, done, refused, count):
    found = collections.Counter(type(each).__name__ for each in context.runner_outcomes)
    assert found == {"Done": done, "NotStarted": refused}, context.runner_outcomes
    assert start_counts(context).count_by_id.total() == count, start_counts(context).count_by_id


@then("the stand-in runner never ran more than {slots:d} tasks")
def check_slots(context, slots):
    assert start_counts(context).most_running == slots, start_counts(context).most_running
    assert {type(each).__name__ for each in context.runner_outcomes} == {"Done"}


@then("the stand-in runner took at least {min_ms:d} ms")
def check_time(context, min_ms):
    # Timers may fire up to one clock tick early.
    assert context.runner_ms >= min_ms * 0.9, context.runner_ms


@given("a fake agent that the stand-in runner announces itself to")
def start_fake_agent(context):
    context.runner_announced = []

    async def record_announcement(request):
        context.runner_announced.append(_announcement.parse(await request.json()))
        return web.json_response({})

    async def start():
        application = web.Application()
        application.router.add_post("/v1/announce", record_announcement)
        site_runner = web.AppRunner(application, access_log=None)
        await site_runner.setup()
        await web.TCPSite(site_runner, "127.0.0.1", 0).start()
        return site_runner

    site_runner = event_loop.run(context, start())
    event_loop.at_end(context, site_runner.cleanup)
    url = f"http://127.0.0.1:{site_runner.addresses[0][1]}"
    settings = attrs.evolve(context.runner_settings, agent_url=url)
    context.runner_server = event_loop.start(context, runner.start(settings))


@then("the stand-in runner announces its url, slots and connections {times:d} times")
def check_announcements(context, times):
    event_loop.run(context, wait_until(lambda: len(context.runner_announced) >= times))
    for each in context.runner_announced:
        found = (each.url, each.slots, each.connections)
        assert found == (context.runner_server.url, 2, 4), each
