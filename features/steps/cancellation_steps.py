"""Steps for the cancellation of a job whose entry is frozen."""

import asyncio
import contextlib

import aiohttp
import event_loop
from behave import then, when

WAIT_S = 8.0


@when("one job of 2 tasks of 6000 ms is sent to entry 0, which is then frozen for {seconds:g} s")
def freeze_entry(context, seconds):
    deployment = context.deployment
    context.job, context.body = deployment.new_job(2, 6000)
    entry = deployment.fleet.process_by_name["entry-0"]

    async def post():
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            await deployment.post(0, context.job, context.body, WAIT_S)

    async def resume():
        await asyncio.sleep(seconds)
        entry.resume()

    async def start():
        context.posting = asyncio.create_task(post())
        await asyncio.sleep(0.5)
        assert sum(deployment.execution_log.running_by_task.values()) == 2
        entry.pause()
        context.resuming = asyncio.create_task(resume())

    event_loop.run(context, start())


@when("the job is cancelled at entry 1 {seconds:g} s after the start of that")
def cancel_elsewhere(context, seconds):
    async def cancel():
        await asyncio.sleep(seconds)
        assert await context.deployment.delete(1, context.job) == 200

    event_loop.run(context, cancel())


@then(
    "all tasks have ended {seconds:g} s after entry 0 goes on, "
    "and none starts in {later_s:g} s more"
)
def check_ended(context, seconds, later_s):
    log = context.deployment.execution_log

    async def wait():
        await context.resuming
        await asyncio.sleep(seconds)
        running = {task: count for task, count in log.running_by_task.items() if count}
        starts = dict(log.starts_by_task)
        await asyncio.sleep(later_s)
        context.posting.cancel()
        assert not running, running
        assert log.starts_by_task == starts, (starts, log.starts_by_task)

    event_loop.run(context, wait())


@then("the job is answered as cancelled when it is sent again to entry 0 or 1")
def check_answer(context):
    for entry in (0, 1):
        post = context.deployment.post(entry, context.job, context.body, WAIT_S)
        status, reply, _ = event_loop.run(context, post)
        assert (status, reply) == (410, {"Error": "cancelled"}), (status, reply)
