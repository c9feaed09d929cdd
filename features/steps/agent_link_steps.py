"""Steps for the links of an agent, for fences, and for draining and stopping."""

import asyncio
import os
import signal
import types

import agent_tasks_steps as tasks
import agent_world
from behave import given, step, then, when

from daisyfall import _codec, _wire
from daisyfall.connection import _entry_link
from daisyfall.process import _agent


@given('an agent link to another entry "{entry_id}"')
@when('agent entry "{entry_id}" joins the roster of "a"')
def add_entry(context, entry_id):
    async def join(world):
        first = world.entry_by_id["a"]
        entry = await world.add_entry(entry_id)
        first.roster = {each.id: f"ws://127.0.0.1:{each.port}" for each in (first, entry)}
        await first.send_roster()
        await entry.wait_status(listed=True)

    context.world.run(join(context.world))


@when('the roster of "a" names entry "{entry_id}" at the address of "a"')
def name_other_entry(context, entry_id):
    entry = tasks.entry_of(context, "a")
    entry.roster = {entry_id: f"127.0.0.1:{entry.port}"}
    context.world.run(entry.send_roster())


@step('agent entry "{entry_id}" fences the shard at epoch {epoch:d}')
def send_fence(context, entry_id, epoch):
    entry = tasks.entry_of(context, entry_id)
    entry.discard_received(_wire.FenceReport)
    context.world.run(entry.send(_wire.Fence({agent_world.SHARD: epoch})))


@step('agent entry "{entry_id}" fetches the results of job "{job}"')
def send_fetch(context, entry_id, job):
    message = _wire.FetchResults(agent_world.BUYER, context.world.job(job))
    context.world.run(tasks.entry_of(context, entry_id).send(message))


@when('agent entry "{entry_id}" lists incarnation "{incarnation}"')
def send_listed(context, entry_id, incarnation):
    context.world.run(tasks.entry_of(context, entry_id).send(_wire.Listed(incarnation)))


@when('agent entry "{entry_id}" announces desired state {desired_state}')
def send_desired_state(context, entry_id, desired_state):
    context.world.run(tasks.entry_of(context, entry_id).send_roster(desired_state))


@when('agent entry "{entry_id}" sends an invalid frame: {case}')
def send_invalid(context, entry_id, case):
    world, entry = context.world, tasks.entry_of(context, entry_id)
    frames = {
        "bytes that can't be decoded": b"\xff\x00",
        "a message type for entries": _codec.encode(_wire.Cancelled([])),
        "a start with an invalid field": _codec.encode(world.start_message("j", [], tasks=7)),
    }
    world.run(entry.socket.send(frames[case]))


@when('the link of agent entry "{entry_id}" is cut')
def cut_link(context, entry_id):
    context.world.run(tasks.entry_of(context, entry_id).cut())


@when('the link of agent entry "{entry_id}" is cut and reconnects are refused')
def cut_and_refuse(context, entry_id):
    world = context.world
    entry = tasks.entry_of(context, entry_id)
    entry.refuses_connections = True
    world.run(entry.cut())
    lost = lambda: entry_id not in world.agent.status()["links"]  # noqa: E731
    world.run(world.wait_until(lost, "the lost link"))


@when('agent entry "{entry_id}" accepts a reconnect')
def accept_reconnect(context, entry_id):
    entry = tasks.entry_of(context, entry_id)
    entry.refuses_connections = False
    context.world.run(entry.wait_for(lambda: entry.socket is not None, "a link"))


@when("the agent has finished its tasks")
def wait_idle(context):
    world = context.world

    def is_idle():
        status = world.agent.status()
        return status["running"] == status["queued"] == 0

    world.run(world.wait_until(is_idle, "an idle agent"))


@when("the agent is told to stop")
def begin_stop(context):
    world = context.world
    world.stopping = world.loop.create_task(world.agent.stop())
    world.run(asyncio.sleep(0))


@given("the agent has a drain limit of {limit_ms:d} ms")
def set_drain_limit(context, limit_ms):
    context.world.set_drain_limit(limit_ms)


@then("the agent has not stopped")
def check_running(context):
    # Time in which a faulty agent would stop.
    context.world.run(asyncio.sleep(0.1))
    assert not context.world.stopping.done()


@then("the agent stops")
def check_stopped(context):
    context.world.run(context.world.stop_agent())
    assert context.world.agent.status()["state"] == "stopped"


@then("the agent is draining")
def check_draining(context):
    world = context.world
    # The agent handles entry b's desired state before it answers the fetch sent after it.
    send_fetch(context, "b", "unknown")
    check_empty_answer(context, "b")
    assert world.agent.status()["state"] == "draining", world.agent.status()


@then("an agent link sends {count:d} results of {size:d} bytes in frames below the limit")
def check_frames(context, count, size):
    async def split():
        handler = types.SimpleNamespace(load=lambda: (0, 0))
        link = _entry_link.EntryLink(None, "a", 1.0, handler)
        return link._encode_results(
            [["roca", "job", index, 0, "x" * size, 1] for index in range(count)]
        )

    frames = context.world.run(split())
    assert max(len(frame) for frame in frames) <= _codec.MAX_MESSAGE_BYTES
    indices = [item[2] for frame in frames for item in _codec.decode(frame).items]
    assert indices == list(range(count)), indices


@then("an agent process exits on SIGTERM")
def check_signal(context):
    world = context.world
    entry = tasks.entry_of(context, "a")

    async def run_and_end():
        process = asyncio.create_task(_agent.run(world.settings(entry, {})))
        await entry.wait_for(lambda: entry.socket is not None, "a link")
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.wait_for(process, agent_world.TIMEOUT_SECONDS)

    world.run(run_and_end())
    world.run(entry.wait_status(draining=True))


@then(
    'agent entry "{entry_id}" receives a fence report at epoch {epoch:d} '
    'with started {started} and finished {finished} of job "{job}"'
)
def check_report(context, entry_id, epoch, started, *, finished, job):
    entry = tasks.entry_of(context, entry_id)
    report = context.world.run(entry.wait_message(_wire.FenceReport))
    rows = {row[1]: row for row in report.jobs}
    found = rows.get(context.world.job(job), [0] * 6)[4:6]
    expected = [sum(1 << i for i in tasks.numbers(each)) for each in (started, finished)]
    assert (report.epoch, found) == (epoch, expected), report


@then('agent entry "{entry_id}" has received no result of job "{job}"')
def check_no_result(context, entry_id, job):
    items = tasks.entry_of(context, entry_id).items(context.world.job(job))
    assert not items, items


@then('agent entry "{entry_id}" receives an empty result message')
def check_empty_answer(context, entry_id):
    entry = tasks.entry_of(context, entry_id)
    context.world.run(entry.wait_message(_wire.Results, lambda message: not message.items))


@then('agent entry "{entry_id}" has received {count:d} {what}')
def check_count(context, entry_id, count, what):
    entry = tasks.entry_of(context, entry_id)

    def arrived():
        return len(entry.hellos if what == "hellos" else entry.all(_wire.AgentStatus)) >= count

    context.world.run(entry.wait_for(arrived, f"{count} {what}"))


@when('agent entry "{entry_id}" delays its handshakes until two connections are open')
def delay_handshakes(context, entry_id):
    entry = tasks.entry_of(context, entry_id)
    entry.handshake_threshold = entry.connection_count + 2
    context.hellos = len(entry.hellos)


@then('agent entry "{entry_id}" keeps one link')
def check_one_link(context, entry_id):
    entry = tasks.entry_of(context, entry_id)

    def is_single():
        return len(entry.hellos) >= context.hellos + 2 and entry.open_links == 1

    context.world.run(entry.wait_for(is_single, "one link after two more handshakes"))


@then('agent entry "{entry_id}" sees the slots of the runner go from {first:d} to {last:d}')
def check_slots(context, entry_id, first, last):
    entry = tasks.entry_of(context, entry_id)

    def went():
        slots = [status.slots for status in entry.all(_wire.AgentStatus)]
        return first in slots and slots[-1] == last

    context.world.run(entry.wait_for(went, f"{first} slots, then {last}"))


@then('the agent has links to "{entry_ids}"')
def check_links(context, entry_ids):
    world = context.world
    expected = entry_ids.split(",")
    world.run(world.wait_until(lambda: world.agent.status()["links"] == expected, entry_ids))


@then("the agent counts {count:d} link failure at the protocol step")
def check_link_failures(context, count):
    world = context.world
    registry = world.agent.metrics.registry

    def has_failed():
        name, labels = "daisyfall_link_failures_total", {"step": "protocol"}
        return (registry.get_sample_value(name, labels) or 0) >= count

    world.run(world.wait_until(has_failed, "a protocol failure"))


@then(
    'agent entry "{entry_id}" receives {count:d} results of job "{job}" '
    "in fewer than {most:d} messages"
)
def check_batches(context, entry_id, count, job, most):
    entry, job_id = tasks.entry_of(context, entry_id), context.world.job(job)
    arrived = lambda: len(entry.items(job_id)) == count  # noqa: E731
    context.world.run(entry.wait_for(arrived, f"{count} results"))
    assert len(entry.all(_wire.Results)) < most
