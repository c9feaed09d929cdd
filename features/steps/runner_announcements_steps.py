"""Steps for the heartbeats of runners and of other writers at an agent."""

import asyncio

import attrs
import event_loop
import pool_stand_ins
from behave import given, then, when

from daisyfall import _clock, _pool_wire
from daisyfall.process import _leased_runner, _runner_session
from daisyfall.request import _run

HEARTBEAT_S = 0.1
# Longer than a probe of an announced runner, shorter than a lease.
SETTLE_S = 0.25
BIRTH_BY_CHANGE = {
    "a birth before that of the runner": 0.5,
    "a birth after that of the runner": 2,
    "no birth": 0,
}


class Machine:
    """A machine's agent and the runners that answer there, by address."""

    def __init__(self):
        self.runner_by_address: dict[str, pool_stand_ins.FakeRunner] = {}
        self.id_by_address: dict[str, str] = {}
        self.ends: list[_run.RunEnd] = []
        self.sequence = 1
        self.add_runner(pool_stand_ins.runner_heartbeat())

    def add_runner(self, heartbeat):
        self.runner_by_address[heartbeat.address] = pool_stand_ins.FakeRunner(heartbeat)
        self.id_by_address[heartbeat.address] = heartbeat.id

    def connect(self, heartbeat):
        if self.id_by_address.get(heartbeat.address) == heartbeat.id:
            return self.runner_by_address[heartbeat.address]
        absent = pool_stand_ins.FakeRunner(heartbeat)
        is_other = heartbeat.address in self.runner_by_address
        outcomes = _leased_runner.CallOutcome
        absent.failure = outcomes.REPLACED if is_other else outcomes.UNREACHABLE
        return absent

    def start_agent(self):
        self.session = pool_stand_ins.new_session(
            self.connect, heartbeat_s=HEARTBEAT_S, on_runs_ended=self.ends.extend
        )

    async def beat(self, seconds):
        """Send the heartbeats of the true runner for a time."""
        until = _clock.monotonic() + seconds
        while _clock.monotonic() < until:
            self.sequence += 1
            self.session.handle_heartbeat(pool_stand_ins.runner_heartbeat(sequence=self.sequence))
            await asyncio.sleep(HEARTBEAT_S / 2)


@given("an agent that uses runner i-1 and runs a task there")
def start_machine(context):
    async def start():
        machine = context.machine = Machine()
        machine.start_agent()
        machine.session.handle_heartbeat(pool_stand_ins.runner_heartbeat())
        await pool_stand_ins.wait_available(machine.session)
        order = _pool_wire.RunTask("j.0.0", 1, "j", "{}", 1000, 10, 0, 5000.0, 1000)
        machine.session.runs.accept(order, "e", _clock.monotonic())
        machine.session.start_queued()
        await machine.beat(0.1)
        assert machine.runner_by_address["127.0.0.1:1"].started == ["j.0.0"]

    event_loop.run(context, start())


@when("a heartbeat announces {runner_id} with {change}")
def announce(context, runner_id, change):
    name, _, value = change.partition(" ")
    # The highest number that a writer can choose.
    fields = {"id": runner_id, "sequence": 2**53}
    if name in ("address", "pool"):
        fields[name] = value
    elif change in BIRTH_BY_CHANGE:
        fields["born_ms"] = BIRTH_BY_CHANGE[change]
    if runner_id != "i-1":
        fields["born_ms"] = 2

    async def send():
        heartbeat = attrs.evolve(pool_stand_ins.runner_heartbeat(), **fields)
        context.machine.session.handle_heartbeat(heartbeat)
        await context.machine.beat(SETTLE_S)

    event_loop.run(context, send())


@then("no run has ended and runner {runner_id} of pool {pool} is in use")
def check_kept(context, runner_id, pool):
    assert not context.machine.ends, context.machine.ends
    check_in_use(context, runner_id, pool)


@then("runner {runner_id} of pool {pool} is in use")
def check_in_use(context, runner_id, pool):
    session = context.machine.session
    found = (session.heartbeat.id, session.heartbeat.pool)
    assert found == (runner_id, pool), session.heartbeat
    assert session.unavailable_reason(_clock.monotonic()) == ""


@when("the runner is draining according to its own heartbeat")
def drain(context):
    async def send():
        heartbeat = pool_stand_ins.runner_heartbeat(
            sequence=context.machine.sequence + 1, is_draining=True
        )
        context.machine.session.handle_heartbeat(heartbeat)

    event_loop.run(context, send())


@then("the runner takes no tasks")
def check_draining(context):
    reason = context.machine.session.unavailable_reason(_clock.monotonic())
    assert reason == _run.DRAINING, reason


@when("the runner has seen a higher fencing token")
def raise_runner_token(context):
    context.machine.runner_by_address["127.0.0.1:1"].fencing_token = 2


@when("the agent is restarted with a lower fencing token")
def restart_with_lower_token(context):
    raise_runner_token(context)
    context.machine.start_agent()


@when("the agent is restarted and first hears of {runner_id} at {address}")
def restart_with_address(context, runner_id, address):
    restart(context, id=runner_id, address=address, born_ms=2)


@when("the agent is restarted and first hears of {runner_id} in pool {pool}")
def restart_with_pool(context, runner_id, pool):
    restart(context, id=runner_id, pool=pool)


def restart(context, **fields):
    async def start():
        context.machine.start_agent()
        heartbeat = attrs.evolve(pool_stand_ins.runner_heartbeat(), sequence=2**53, **fields)
        context.machine.session.handle_heartbeat(heartbeat)
        await asyncio.sleep(SETTLE_S)

    event_loop.run(context, start())


@when("another writer sends the runner's heartbeat with the highest number")
def send_highest_number(context):
    async def send():
        heartbeat = attrs.evolve(pool_stand_ins.runner_heartbeat(), sequence=2**53)
        context.machine.session.handle_heartbeat(heartbeat)

    event_loop.run(context, send())


@when("the runner announces itself")
def announce_true(context):
    event_loop.run(context, context.machine.beat(SETTLE_S))


@when("the runner announces itself for the time of the missed heartbeats")
def announce_true_for_long(context):
    seconds = _runner_session.MAX_MISSED_HEARTBEATS * HEARTBEAT_S + SETTLE_S
    event_loop.run(context, context.machine.beat(seconds))


@when("runner i-2 answers at the address and announces itself")
def replace_runner(context):
    start_runner(context, "127.0.0.1:1")


@when("runner i-2 answers at {address} and announces itself")
def start_elsewhere(context, address):
    start_runner(context, address)


def start_runner(context, address):
    async def start():
        heartbeat = attrs.evolve(pool_stand_ins.runner_heartbeat(life=2), address=address)
        context.machine.add_runner(heartbeat)
        if address == "127.0.0.1:1":
            context.machine.session.handle_heartbeat(heartbeat)
            await asyncio.sleep(SETTLE_S)
            return
        context.machine.session.handle_heartbeat(heartbeat)
        await context.machine.beat(SETTLE_S)

    event_loop.run(context, start())


@then("the task has ended as crashed and runner {runner_id} of pool {pool} is in use")
def check_replaced(context, runner_id, pool):
    ends = [(end.order.task, end.how) for end in context.machine.ends]
    assert ends == [("j.0.0", _run.CRASHED)], ends
    check_in_use(context, runner_id, pool)


@when("runner i-1 falls silent until its lease has expired")
def silence_runner(context):
    async def wait():
        runner = context.machine.runner_by_address["127.0.0.1:1"]
        runner.failure = _leased_runner.CallOutcome.UNANSWERED
        heartbeat = attrs.evolve(pool_stand_ins.runner_heartbeat(life=2), address="127.0.0.1:2")
        for sequence in range(2, 22):
            context.machine.session.handle_heartbeat(attrs.evolve(heartbeat, sequence=sequence))
            await asyncio.sleep(HEARTBEAT_S)

    event_loop.run(context, wait())
