"""Steps for the links between entries and an agent."""

import asyncio
import itertools

import event_loop
import pool_agent_world
import pool_stand_ins
import websockets
from behave import given, step, then, when

from daisyfall import _clock, _codec, _pool_wire
from daisyfall.connection import _link, _message_age
from daisyfall.process import (
    _entry_heartbeats,
    _leadership,
    _link_timing,
    _pool_peers,
    _ticker,
)

TASK = "0123456789abcdef.0.0"
FRAMES = {
    "bytes that are not CBOR": b"\xff\xff\xff",
    "a text frame": "hello",
    "a number in place of a batch": _codec.cbor2.dumps(7),
    "a message with an unknown tag": _codec.cbor2.dumps([[9999, 1]]),
    "a message without its fields": _codec.cbor2.dumps([[52]]),
    "deeply nested lists": b"\x81" * 100_000 + b"\x00",
    "an order whose task is a list": _codec.cbor2.dumps(
        [[52, ["x"], 1, "j", "{}", 1, 1, 0, 1.0, 100]]
    ),
    "an order whose capacity is a text": _codec.cbor2.dumps(
        [[52, TASK, 1, "j", "{}", "much", 1, 0, 1.0, 100]]
    ),
    "an order whose payload is a map": _codec.cbor2.dumps(
        [[52, TASK, 1, "j", {}, 1, 1, 0, 1.0, "soon"]]
    ),
    "a handshake whose id is a list": _codec.encode(
        _pool_wire.Handshake("entry", ["x"], "life", 1, "dc", 1.0, 1)
    ),
    "a handshake whose tasks is a map": _codec.encode(
        _pool_wire.Handshake("entry", "x", "life", 1, "dc", 1.0, 1, {})
    ),
    "an order": _codec.encode(_pool_wire.RunTask(TASK, 1, "j", "{}", 1, 1, 0, 1.0, 100)),
}


@given("a pool agent with one scheduling entry")
def start_agent(context):
    context.world = event_loop.run(context, pool_agent_world.AgentWorld().start())
    event_loop.at_end(context, context.world.stop)
    event_loop.run(context, context.world.dial("leader", schedules=True))


@when("{count:d} other entries are connected for {seconds:g} s")
def connect_entries(context, count, seconds):
    async def connect():
        entries = [await context.world.dial(f"other-{number}") for number in range(count)]
        await asyncio.sleep(1)
        before = [len(entry.received) + entry.heartbeats_sent for entry in entries]
        await asyncio.sleep(seconds)
        after = [len(entry.received) + entry.heartbeats_sent for entry in entries]
        context.rates = [(b - a) / seconds for a, b in zip(before, after, strict=True)]

    event_loop.run(context, connect())


@then("the agent and each of them exchange at most {limit:g} message a second")
def check_rates(context, limit):
    assert max(context.rates) <= limit, context.rates
    assert min(context.rates) > 0, "without any heartbeat a dead link would stay open"


def heartbeats_from_agent(entry):
    return len(entry.messages(_pool_wire.Heartbeat)) + len(
        entry.messages(_pool_wire.AllocationReport)
    )


@then("the scheduling entry and the agent have sent each other {count:d} heartbeats or more")
def check_exchanged(context, count):
    leader = context.world.entries["leader"]
    assert leader.heartbeats_sent >= count, leader.heartbeats_sent
    assert heartbeats_from_agent(leader) >= count, heartbeats_from_agent(leader)


@then("at most a third as many timers of the agent have fired")
def check_timers(context):
    leader = context.world.entries["leader"]
    agent = context.world.agent
    (session,) = agent._session_by_entry.values()
    fired = agent.ticker.fired + session.link.timers_fired
    assert fired <= leader.heartbeats_sent / 3, (fired, leader.heartbeats_sent)


@when("the scheduling entry falls silent for {seconds:g} s")
def silence_leader(context, seconds):
    leader = context.world.entries["leader"]
    context.received_at = []

    async def listen():
        leader.fall_silent()
        ends_at = _clock.monotonic() + seconds
        seen = len(leader.received)
        while _clock.monotonic() < ends_at:
            await asyncio.sleep(0.005)
            if len(leader.received) > seen:
                seen = len(leader.received)
                context.received_at.append(_clock.monotonic())

    event_loop.run(context, asyncio.sleep(0.5))
    event_loop.run(context, listen())


@then("the agent has sent it a heartbeat at least every {seconds:g} s")
def check_gaps(context, seconds):
    times = context.received_at
    assert len(times) >= 2, times
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert max(gaps) <= seconds, gaps


@when("entry e connects")
def connect_entry(context):
    context.entry = event_loop.run(context, context.world.dial("e"))


@when("entry e of an older build connects")
def connect_old_entry(context):
    context.entry = event_loop.run(context, context.world.dial("e", revision=0))


@step("entry e sends nothing for {seconds:g} s")
@step("{seconds:g} s pass for the agent")
def wait(context, seconds):
    event_loop.run(context, asyncio.sleep(seconds))


@then("the link of entry e is open")
def check_open(context):
    assert not context.entry.link.is_closed, context.entry.link.close_reason


@when("entry e orders a task and falls silent")
def order_and_fall_silent(context):
    async def order():
        context.entry.order(TASK)
        await asyncio.sleep(0.05)
        assert context.world.runner.started == [TASK], context.world.runner.started
        context.entry.fall_silent()
        await asyncio.sleep(1.0)

    event_loop.run(context, order())


@then("the agent stops the task at most {seconds:g} s after that")
def check_stopped(context, seconds):
    stopped_at = context.world.runner.stopped_at_by_task.get(TASK)
    assert stopped_at is not None, "the task runs on"
    assert stopped_at - context.entry.last_sent_at <= seconds


@when("entry e orders a task")
def order_task(context):
    order_held_up(context, 0.0)


@when("entry e orders a task that was held up for {seconds:g} s")
def order_held_up(context, seconds):
    async def order():
        context.entry.order(TASK, held_up_s=seconds)
        await asyncio.sleep(0.1)

    event_loop.run(context, order())


@then("the agent has not stopped the task")
def check_not_stopped(context):
    assert not context.world.runner.stopped_at_by_task
    assert context.world.runner.running == [TASK]


@then("the agent refuses the task as delayed")
def check_refused(context):
    ends = context.entry.messages(_pool_wire.TaskEnded)
    assert [(end.task, end.outcome) for end in ends] == [(TASK, "delayed")], ends


@then("the runner has not started it")
def check_not_started(context):
    assert not context.world.runner.started


@then("the runner has started it")
def check_started(context):
    assert context.world.runner.started == [TASK]


@then("entry e has received at least {count:d} heartbeats")
def check_heartbeats(context, count):
    assert len(context.entry.messages(_pool_wire.Heartbeat)) >= count, context.entry.received


@then("without heartbeats its link ends within {seconds:g} s")
def check_timed_out(context, seconds):
    context.entry.fall_silent()
    event_loop.run(context, asyncio.sleep(seconds))
    assert context.entry.link.is_closed


@when("a peer sends the agent {frame}")
def send_frame(context, frame):
    event_loop.run(context, context.world.send_raw(FRAMES[frame]))


def connect_raw(context):
    """Return a connection to the agent that isn't yet a link."""
    return websockets.connect(
        f"ws://{pool_agent_world.ADDRESS}:{context.world.port}", compression=None, proxy=None
    )


@when("a peer opens a link with {frame}")
def open_with(context, frame):
    async def open_link():
        async with connect_raw(context) as socket:
            await socket.send(FRAMES[frame])
            async with asyncio.timeout(2):
                while True:
                    await socket.recv()

    try:
        event_loop.run(context, open_link())
    except websockets.ConnectionClosed:
        return
    raise AssertionError("the link was accepted")


# First bytes of a masked binary frame of 2**40 bytes.
TOO_LARGE = b"\x82\xff" + (2**40).to_bytes(8, "big") + b"mask"


@when("a peer opens a link and {action}")
def open_and_end(context, action):
    async def open_link():
        async with connect_raw(context) as socket:
            await socket.send(_codec.encode(pool_stand_ins.handshake("entry", "raw")))
            await socket.recv()
            context.sessions = len(context.world.agent._session_by_entry)
            if action == "closes it":
                await socket.close()
            else:
                socket.transport.write(TOO_LARGE)
            async with asyncio.timeout(2):
                await socket.wait_closed()

    event_loop.run(context, open_link())


@then("the agent has closed the connection and counts no link error")
def check_closed_without_error(context):
    assert context.world.count("pool_link_errors") == 0
    assert context.world.count("internal_errors") == 0
    assert context.sessions == 2
    sessions = context.world.agent._session_by_entry.values()
    (raw,) = [each for each in sessions if each.entry.startswith("raw/")] or [None]
    assert raw is None or raw.link.is_closed


@then("the agent counts a link error")
def check_counted(context):
    assert context.world.count("pool_link_errors") == 1


@then("entry e can connect and have a task run")
def check_still_serves(context):
    connect_entry(context)
    order_task(context)
    check_started(context)


class RaisingHandler(pool_stand_ins.RecordingHandler):
    """Handler of an entry's links that raises at the first message."""

    def on_message(self, _node, _link, _message):
        if self.opened == 1:
            raise RuntimeError("a mistake in the handler")


@given("an entry's links, whose handler raises at the first message")
def make_peers(context):
    context.handler = RaisingHandler()


@when("the node has accepted a link and sent a message")
def accept_links(context):
    async def serve(link):
        link.set_timing(_link.HeartbeatTiming(0.05, 5.0))
        await link.serve(lambda _message: None, _pool_wire.Heartbeat)

    async def run():
        context.listener = _link.listen(
            serve,
            lambda: pool_stand_ins.handshake("agent", "a"),
            pool_agent_world.ADDRESS,
            0,
            lambda _reason: None,
        )
        server = await context.listener.__aenter__()
        port = server.sockets[0].getsockname()[1]
        context.peers = _pool_peers.PoolPeers("e", context.handler)
        address = f"{pool_agent_world.ADDRESS}:{port}"
        context.peers.add_nodes([_pool_peers.Node("a", "agent", address)])

    async def close():
        await context.peers.close()
        await context.listener.__aexit__(None, None, None)

    event_loop.run(context, run())
    event_loop.at_end(context, close)


@then("it is dialled again within {seconds:g} s")
def check_dialled_again(context, seconds):
    event_loop.run(context, asyncio.sleep(seconds))
    assert context.handler.opened == 2, context.handler.opened
    assert context.handler.errors == ["unhandled"]


@given("periodic work, {kind}, that raises the first time")
def make_periodic_work(context, kind):
    context.done, context.errors = 0, []

    def work():
        context.done += 1
        if context.done == 1:
            raise RuntimeError("a mistake in the work")

    async def work_later():
        await asyncio.sleep(0)
        work()

    action = work_later if kind == "a coroutine" else work

    async def start():
        context.ticker = asyncio.create_task(
            _ticker.run_forever(action, lambda: 0.01, context.errors.append, "work")
        )

    event_loop.run(context, start())


@when("the work goes on for {seconds:g} s")
def pass_time(context, seconds):
    event_loop.run(context, asyncio.sleep(seconds))


@then("it was done again, and the error was counted")
def check_done_again(context):
    assert context.done > 2
    assert context.errors == ["work"]
    context.ticker.cancel()


@given("periodic work every {seconds:g} s that other wake-ups may replace")
def make_deferrable(context, seconds):
    context.interval_s, context.errors = seconds, []

    def work():
        raise RuntimeError("a mistake in the work")

    context.deferrable = _ticker.DeferrableTicker(
        work, lambda: context.interval_s, context.errors.append, "work"
    )


@when("its interval becomes {seconds:g} s and it is hastened")
def hasten(context, seconds):
    async def run():
        context.deferrable.start()
        context.interval_s = seconds
        context.deferrable.hasten()
        await asyncio.sleep(0.5)
        context.deferrable.stop()

    event_loop.run(context, run())


@then("it is done within 0.5 s, although it raises, and the error is counted")
def check_hastened(context):
    assert context.deferrable.fired >= 2, context.deferrable.fired
    assert set(context.errors) == {"work"}, context.errors


def receive(context, seconds_later, delay_ms):
    context.now += seconds_later
    sent_ms = round(context.now * 1000 - delay_ms - context.offset_ms)
    return context.age.measure_s(sent_ms, context.now) * 1000


@given("messages of a sender whose clock differs by {seconds:d} s")
def make_age(context, seconds):
    context.now = round(_clock.monotonic()) + 10_000.0
    context.offset_ms = seconds * 1000
    context.age = _message_age.MessageAge()


@then("one that takes {late:d} ms after others of {usual:d} ms has an age of {age:d} ms")
def check_age(context, late, usual, age):
    for _ in range(3):
        assert receive(context, 1.0, usual) <= 1
    assert round(receive(context, 1.0, late)) == age


@then("after two windows of {usual:d} ms, one that takes {late:d} ms has an age of {age:d} ms")
def check_age_after_windows(context, usual, late, age):
    for _ in range(3):
        receive(context, _message_age.WINDOW_S + 1, usual)
    assert round(receive(context, 1.0, late)) == age


@then("a message without a time has an age of 0 ms")
def check_unknown_age(context):
    assert context.age.measure_s(0, context.now) == 0


@given("an entry with links to {count:d} agents that follows another entry")
def make_heartbeats(context, count):
    context.now = _clock.monotonic()
    leadership = context.leadership = _leadership.Leadership("e", 1.0, 5, context.now - 10)
    leader = pool_stand_ins.FakeLink(pool_stand_ins.handshake("entry", "leader"))
    leadership.record_heartbeat("leader", leader, _pool_wire.PeerHeartbeat(True, 1, {}, True))
    leadership.choose(context.now, {"leader": leader}, is_available=True)
    assert leadership.leader_id == "leader"
    peers = _pool_peers.PoolPeers("e", None)
    names = [f"agent-{number}" for number in range(count)]
    context.links = {
        name: pool_stand_ins.FakeLink(pool_stand_ins.handshake("agent", name)) for name in names
    }
    for name, link in context.links.items():
        peers.node_by_id[name] = _pool_peers.Node(name, "agent", "127.0.0.1:1")
        peers.link_by_id[name] = link
    context.busy_agents = set()
    context.heartbeats = _entry_heartbeats.EntryHeartbeats(
        bounds=pool_stand_ins.BOUNDS,
        leadership=leadership,
        peers=peers,
        incoming_by_id={},
        describe=lambda: _entry_heartbeats.EntryState(True, 1, {}),
        has_tasks_at=context.busy_agents.__contains__,
    )
    context.heartbeats.update(context.now)


def frequent_links(context):
    return [name for name, link in context.links.items() if link.timing != _link_timing.IDLE]


def update_for(context, seconds):
    for link in context.links.values():
        link.sent.clear()
    for _ in range(round(seconds / 0.2)):
        context.now += 0.2
        context.heartbeats.update(context.now)


@when("another entry asks it to place tasks")
def ask_for_placement(context):
    assert not frequent_links(context)
    context.leadership.record_request(context.now)
    update_for(context, 0.4)


@then("each agent is told once that it schedules, and its link has frequent heartbeats")
def check_told(context):
    for link in context.links.values():
        assert len(link.sent) == 1, link.sent
    assert len(frequent_links(context)) == len(context.links)


@then("after {seconds:g} s without such a request each agent is told once that it doesn't")
def check_told_again(context, seconds):
    update_for(context, seconds)
    for link in context.links.values():
        assert [message.is_scheduling for message in link.sent] == [False], link.sent
    assert not frequent_links(context)


@when("it is about to send a task to {agent}")
def expect_agent(context, agent):
    context.busy_agents.add(agent)
    context.heartbeats.update_agent(agent)


@then("only the link of {agent} has frequent heartbeats")
def check_only(context, agent):
    assert frequent_links(context) == [agent]


@then("after that task has ended no link has")
def check_none(context):
    context.busy_agents.clear()
    update_for(context, 0.4)
    assert not frequent_links(context)
