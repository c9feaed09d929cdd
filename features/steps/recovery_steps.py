"""Steps for the recovery from a loss of all processes."""

import asyncio
import contextlib

import event_loop
import pool_agent_world
import pool_stand_ins
import websockets
from behave import given, then, when

from daisyfall import _clock, _codec, _pool_wire
from daisyfall.connection import _link
from daisyfall.process import _dial_order, _pool_peers
from daisyfall_standins import processes, recovery

ADDRESS = pool_agent_world.ADDRESS


@when("all entries and agents are killed under load and started again")
def lose_all(context):
    recoveries, context.run_twice = asyncio.run(recovery.run(4, until_undisturbed=True))
    # On a machine that is busy all the time, the least disturbed round is judged.
    context.recovery = min(recoveries, key=lambda each: each.waited_share)


@then("the first task starts at most {limit_ms:d} ms after the first heartbeat of a runner")
def check_first_start(context, limit_ms):
    assert context.recovery.first_start_s * 1000 <= limit_ms, context.recovery


@then("of the jobs sent later than 1 s after that heartbeat at least {share:g} are in time")
def check_in_time(context, share):
    assert recovery.RECOVERED_AFTER_S == 1.0
    assert context.recovery.jobs > 0 and context.recovery.in_time_share >= share, context.recovery


@then("no task had two concurrent runs")
def check_run_twice(context):
    assert context.run_twice == [], context.run_twice


def make_peers(context):
    context.handler = pool_stand_ins.RecordingHandler()
    context.peers = _pool_peers.PoolPeers("e", context.handler)
    event_loop.run(context, asyncio.sleep(0))
    event_loop.at_end(context, context.peers.close)


@given("{entries:d} entries and {agents:d} agents that are dialled, of which none answers")
def dial_many(context, entries, agents):
    make_peers(context)
    context.ends = []

    async def never_answer(address, _handshake, _count_error):
        ended = asyncio.get_running_loop().create_future()
        context.ends.append(ended)
        await ended
        raise _link.LinkError(address)

    original = _link.dial
    _link.dial = never_answer
    context.add_cleanup(lambda: setattr(_link, "dial", original))
    nodes = [_pool_peers.Node(f"agent-{n}", "agent", "127.0.0.1:1") for n in range(agents)]
    nodes += [_pool_peers.Node(f"entry-{n}", "entry", "127.0.0.1:1") for n in range(entries)]

    async def dial():
        context.peers.add_nodes(nodes)
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    context.nodes = nodes
    event_loop.run(context, dial())


@then("{count:d} dials run, of the {entries:d} entries and {agents:d} agents")
def check_first_dials(context, count, entries, agents):
    assert count == entries + agents == _dial_order.MAX_DIALS
    dialled = context.handler.dialled
    assert len(dialled) == count, dialled
    assert sum(name.startswith("entry") for name in dialled) == entries, dialled


@when("a task waits for {name}")
def need(context, name):
    async def redial():
        context.peers.redial(name)
        await asyncio.sleep(0)

    event_loop.run(context, redial())


@when("one of the dials ends")
def end_dial(context):
    async def end():
        context.dialled_before = len(context.handler.dialled)
        context.ends[0].set_result(None)
        await asyncio.sleep(0.002)

    event_loop.run(context, end())


@then("{name} is dialled next")
def check_next(context, name):
    assert context.handler.dialled[context.dialled_before] == name, context.handler.dialled


@then("all have been dialled within {seconds:g} s")
def check_all_dialled(context, seconds):
    event_loop.run(context, asyncio.sleep(seconds))
    assert set(context.handler.dialled) == {node.id for node in context.nodes}


@given("an entry that has tried to reach a node in vain for {seconds:g} s")
def dial_in_vain(context, seconds):
    make_peers(context)
    context.port = processes.free_port()

    async def dial():
        node = _pool_peers.Node("a", "agent", f"{ADDRESS}:{context.port}")
        context.peers.add_nodes([node])
        await asyncio.sleep(seconds)

    event_loop.run(context, dial())
    assert not context.handler.opened


@given('an entry that has tried to reach a node at "{address}" for {seconds:g} s')
def dial_invalid(context, address, seconds):
    make_peers(context)

    async def dial():
        context.peers.add_nodes([_pool_peers.Node("a", "agent", address)])
        await asyncio.sleep(seconds)

    event_loop.run(context, dial())


@then("it has tried more than once")
def check_tried_again(context):
    assert len(context.handler.dialled) > 1, context.handler.dialled


@when("the node starts and is announced")
def start_node(context):
    async def serve(link):
        await link.serve(lambda _message: None, _pool_wire.Heartbeat)

    async def start():
        context.listener = _link.listen(
            serve,
            lambda: pool_stand_ins.handshake("agent", "a"),
            ADDRESS,
            context.port,
            lambda _reason: None,
        )
        await context.listener.__aenter__()
        context.announced_at = _clock.monotonic()
        context.peers.redial("a")
        await asyncio.sleep(0.3)

    event_loop.run(context, start())
    event_loop.at_end(context, context.listener.__aexit__, None, None, None)


@then("its link is open within {seconds:g} s")
def check_opened(context, seconds):
    assert context.handler.opened_at, "the link is not open"
    assert context.handler.opened_at - context.announced_at <= seconds


@given("a server of the websockets library that answers the handshake and echoes messages")
def serve_websockets(context):
    async def echo(socket):
        await socket.recv()
        await socket.send(_codec.encode(pool_stand_ins.handshake("agent", "a")))
        async for message in socket:
            half = len(message) // 2
            await socket.send([message[:half], message[half:]])

    async def start():
        context.server = await websockets.serve(echo, ADDRESS, 0, compression=None)

    async def stop():
        context.server.close()

    event_loop.run(context, start())
    event_loop.at_end(context, stop)


@when("an entry dials it and sends a message that comes back in parts")
def dial_websockets(context):
    context.sent = _pool_wire.StopTask("job.0.0", 1, "cancelled")
    context.received = []

    async def exchange():
        port = context.server.sockets[0].getsockname()[1]
        handshake = pool_stand_ins.handshake("entry", "e")
        link = await _link.dial(f"{ADDRESS}:{port}", handshake, lambda _reason: None)
        task = asyncio.create_task(link.serve(context.received.append, _pool_wire.Heartbeat))
        link.send(context.sent)
        async with asyncio.timeout(2):
            while not context.received:
                await asyncio.sleep(0.005)
        link.abort("the test ends")
        with contextlib.suppress(asyncio.CancelledError):
            await task

    event_loop.run(context, exchange())


@then("the entry receives the message")
def check_echo(context):
    assert context.received == [context.sent], context.received


@given("an agent with which {count:d} links are open in this process")
def open_links(context, count):
    async def open_all():
        world = await pool_agent_world.AgentWorld().start()
        before = len(asyncio.all_tasks())
        for number in range(count):
            await world.dial(f"entry-{number}")
        await asyncio.sleep(0.1)
        context.more_tasks = len(asyncio.all_tasks()) - before
        await world.stop()

    event_loop.run(context, open_all())


@then("{count:d} more tasks run than without them")
def check_tasks(context, count):
    assert context.more_tasks == count, context.more_tasks
