"""Steps for an agent with fake entries and a fake runner: set-up, task starts, outcomes."""

import ast

import agent_world
from behave import given, step, then, when

from daisyfall import _wire


def numbers(text):
    return [] if text == "none" else [int(each) for each in text.split(",")]


def entry_of(context, entry_id):
    return context.world.entry_by_id[entry_id]


async def set_up_agent(world, entry_id, *, listed=True, slots=8, lease=None, **runner):
    entry = world.entry_by_id[entry_id]
    await world.start_agent(entry, lease or {}, **runner)
    if runner.get("kind") != "null":
        status, body = await world.announce(world.runner.announcement(slots=slots))
        assert status == 200, body
    if listed:
        await world.list_agent(entry)
        await entry.wait_status(ready=True)


@given('an agent fixture with entry "{entry_id}"')
def create_fixture(context, entry_id):
    context.world = agent_world.World()
    context.add_cleanup(context.world.close)
    context.world.run(context.world.add_entry(entry_id))


@given('an agent with an announced runner, listed by "{entry_id}"')
def start_agent(context, entry_id):
    context.world.run(set_up_agent(context.world, entry_id))


@given('an agent with a runner of {slots:d} slots that blocks its tasks, listed by "{entry_id}"')
def start_blocking_agent(context, slots, entry_id):
    context.world.runner.mode = "hold"
    context.world.run(set_up_agent(context.world, entry_id, slots=slots))


@given('an agent with the null runner, listed by "{entry_id}"')
def start_null_agent(context, entry_id):
    context.world.run(set_up_agent(context.world, entry_id, kind="null"))


@given('an agent not listed by "a", with {part} {setting} = {value:d}')
def start_unlisted_agent(context, part, setting, value):
    options = {setting: value} if part == "runner" else {part: {setting: value}}
    context.world.run(set_up_agent(context.world, "a", listed=False, **options))


@step('agent entry "{entry_id}" starts tasks {indices} of job "{job}"')
def send_start(context, entry_id, indices, job):
    message = context.world.start_message(job, numbers(indices))
    context.world.run(entry_of(context, entry_id).send(message))


@step(
    'agent entry "{entry_id}" sends a start with {field} = {value} '
    'for tasks {indices} of job "{job}"'
)
def send_start_with(context, entry_id, indices, job, *, field, value):
    changes = {field: ast.literal_eval(value)}
    message = context.world.start_message(job, numbers(indices), **changes)
    context.world.run(entry_of(context, entry_id).send(message))


@when("the agent runner is set to {mode}")
def set_mode(context, mode):
    context.world.runner.mode = mode
    if mode == "absent":
        context.world.run(context.world.runner.stop())


@when("the agent runner has started {count:d} tasks")
def wait_started(context, count):
    context.world.run(context.world.runner.wait_started(count))


@when("the agent runner unblocks its tasks")
def unblock_tasks(context):
    context.world.runner.gate.set()


@when("the agent runner stops announcing itself")
def stop_announcing(context):
    # Expires the watchdog directly, since a short time-out would race with slow steps. Another
    # scenario tests the time-out.
    async def expire():
        context.world.agent.runner_watchdog.expire()

    context.world.run(expire())


@when("the agent runner announces itself with {field} = {value}")
def announce_with(context, field, value):
    body = context.world.runner.announcement(**{field: ast.literal_eval(value)})
    context.answer = context.world.run(context.world.announce(body))


@step('agent entry "{entry_id}" cancels job "{job}" and {rest} running tasks')
@step('agent entry "{entry_id}" cancels job "{job}" and lets running tasks finish')
def send_cancel(context, entry_id, job, rest="lets"):
    message = _wire.Cancel([[agent_world.BUYER, context.world.job(job)]], rest == "stops")
    context.world.run(entry_of(context, entry_id).send(message))


@when('agent entry "{entry_id}" sends a recall')
def send_recall(context, entry_id):
    context.world.run(entry_of(context, entry_id).send(_wire.Recall("bad health")))


@step('agent entry "{entry_id}" receives outcome {outcome} for tasks {indices} of job "{job}"')
def check_outcomes(context, entry_id, outcome, indices, job):
    code, expected = getattr(_wire, outcome), numbers(indices)
    entry, job_id = entry_of(context, entry_id), context.world.job(job)

    def arrived():
        items = entry.items(job_id)
        return all(index in items and items[index][3] == code for index in expected)

    context.world.run(entry.wait_for(arrived, f"{outcome} for tasks {indices}"))


@then(
    'agent entry "{entry_id}" receives outcome {outcome} for tasks {indices} of job "{job}" '
    "with value {value}"
)
def check_values(context, entry_id, outcome, indices, *, job, value):
    check_outcomes(context, entry_id, outcome, indices, job)
    items = entry_of(context, entry_id).items(context.world.job(job))
    values = [str(items[index][4]) for index in numbers(indices)]
    assert all(value in each for each in values), f"expected {value}, found {values}"


@then('agent entry "{entry_id}" is told that tasks {indices} of job "{job}" were cancelled')
def check_cancelled(context, entry_id, indices, job):
    entry = entry_of(context, entry_id)
    message = context.world.run(entry.wait_message(_wire.Cancelled))
    expected = [[agent_world.BUYER, context.world.job(job), numbers(indices)]]
    assert message.jobs == expected, message
    assert len(entry.all(_wire.Cancelled)) == 1


@then('agent entry "{entry_id}" receives a refusal of tasks {indices} because of {reason}')
def check_refusal(context, entry_id, indices, reason):
    def matches(message):
        return (message.indices, message.reason) == (numbers(indices), reason)

    entry = entry_of(context, entry_id)
    context.world.run(entry.wait_message(_wire.StartRefused, matches))


@step('agent entry "{entry_id}" receives a status with {field} = {value}')
def check_status(context, entry_id, field, value):
    expected = {field: ast.literal_eval(value)}
    context.world.run(entry_of(context, entry_id).wait_status(**expected))


@then("the agent runner was called {count:d} times")
def check_calls(context, count):
    called_task_ids = context.world.runner.called_task_ids
    assert len(called_task_ids) == count, f"expected {count} calls, found {called_task_ids}"


@then("the agent runner never ran more than {count:d} tasks at once")
def check_max_running(context, count):
    assert context.world.runner.max_running == count


@then("the agent runner sees the requests closed")
def check_requests_closed(context):
    world = context.world
    world.run(world.wait_until(lambda: world.runner.running == 0, "closed requests"))


@then('the agent answers the announcement with status {status:d} and field "{field}"')
def check_announcement(context, status, field):
    found, body = context.answer
    assert (found, body["error"]["field"]) == (status, field), context.answer
