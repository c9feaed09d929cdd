"""Steps on an agent between fake entries and a fake runner."""

import agent_world
import aiohttp
from behave import given, step, then

from daisyfall import _wire


def numbers(text: str) -> list[int]:
    return [int(each) for each in text.split(",") if each]


async def announce(world: agent_world.World, body: object) -> tuple[int, dict]:
    url = f"http://127.0.0.1:{world.agent.http_port}/v1/announce"
    async with aiohttp.ClientSession() as session, session.post(url, json=body) as response:
        return response.status, await response.json()


@given('an agent world with entry "{entry_id}"')
def make_world(context, entry_id):
    context.world = agent_world.World()
    context.add_cleanup(context.world.close)
    context.world.run(context.world.add_entry(entry_id))


@given('an agent with an announced runner, listed by "{entry_id}"')
def start_agent(context, entry_id):
    start_agent_with(context, entry_id)


def start_agent_with(context, entry_id, **announcement):
    async def prepare(world):
        entry = world.entry_by_id[entry_id]
        # Longer than a scenario, so that one announcement is enough.
        await world.start_agent([f"127.0.0.1:{entry.port}"], {}, announce_limit_ms=60_000)
        status, body = await announce(world, world.runner.announcement(**announcement))
        assert status == 200, body
        await world.list_agent(entry)
        await entry.wait_message(_wire.AgentStatus, lambda status: status.ready)

    context.world.run(prepare(context.world))


@step('agent entry "{entry_id}" starts tasks {indices} of job "{job}"')
def send_start(context, entry_id, indices, job):
    world = context.world
    message = world.start_message(job, numbers(indices))
    world.run(world.entry_by_id[entry_id].send(message))


@step('agent entry "{entry_id}" fences the shard at epoch {epoch:d}')
def send_fence(context, entry_id, epoch):
    world = context.world
    world.epoch = epoch
    world.run(world.entry_by_id[entry_id].send(_wire.Fence({3: epoch})))


@step('agent entry "{entry_id}" receives outcome {outcome} for tasks {indices} of job "{job}"')
def check_outcomes(context, entry_id, outcome, indices, job):
    world = context.world
    expected = numbers(indices)
    entry = world.entry_by_id[entry_id]
    items = world.run(entry.wait_items(world.job(job), len(expected)))
    outcomes = {index: items[index][3] for index in sorted(items)}
    assert outcomes == {index: getattr(_wire, outcome) for index in expected}, items


@then("the agent runner started {count:d} tasks")
def check_started(context, count):
    started = context.world.runner.started
    assert len(started) == count == len(set(started)), started


@step(
    'agent entry "{entry_id}" receives a report at epoch {epoch:d} '
    'with tasks {indices} of job "{job}" started'
)
def check_report(context, entry_id, epoch, indices, job):
    world = context.world
    entry = world.entry_by_id[entry_id]
    report = world.run(entry.wait_message(_wire.FenceReport, lambda report: report.epoch == epoch))
    started = {row[1]: int.from_bytes(row[4], "little") for row in report.jobs}
    expected = sum(1 << index for index in numbers(indices))
    assert started.get(world.job(job), 0) == expected, report
