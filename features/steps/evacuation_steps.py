"""Steps for the evacuation of data centres."""

import asyncio
import contextlib
import random

import attrs
import event_loop
import loguru
import pool_path_steps
import pool_stand_ins
from behave import given, step, then, when

from daisyfall import _clock, _pool_wire
from daisyfall.platform import _operator_rows, _store
from daisyfall.policy import _runner_capacity, _scheduler
from daisyfall.process import _pool_entry, _pool_metrics, _pool_peers, _pool_settings
from daisyfall.request import _pool_jobs
from daisyfall.version import _routes
from daisyfall_standins import fault_injection

JOB = "0123456789abcdef"
ROUTE = _routes.Route("r", "h", "/", pool_stand_ins.POOL, 0, 2, 3.0, 400.0, 0.0)
TELL = _pool_wire.EvacuationUpdate


def connect(context, role, name, data_centre, revision=_pool_wire.REVISION):
    handshake = pool_stand_ins.handshake(role, name, revision=revision)
    link = pool_stand_ins.FakeLink(attrs.evolve(handshake, data_centre=data_centre))
    link.is_closed = False
    node = _pool_peers.Node(name, role, "127.0.0.1:1")
    context.entry.peers.node_by_id[name] = node
    context.entry.peers.link_by_id[name] = link
    context.entry.on_opened(node, link)
    return link


def receive(context, name, message):
    peers = context.entry.peers
    context.entry.on_message(peers.node_by_id[name], peers.link_by_id[name], message)


@given("an entry with agent a in z1, agent b in z2 and a peer entry p")
def make_entry(context):
    settings = _pool_settings.EntrySettings(
        id="e",
        incarnation="i",
        data_centre="z1",
        address="",
        port=0,
        cores=1.0,
        started_ms=1,
        bounds=pool_stand_ins.BOUNDS,
        max_drain_s=1.0,
        drain_delay_s=0.0,
        data_centres=("z2",),
    )
    context.metrics = _pool_metrics.PoolMetrics()
    context.entry = _pool_entry.PoolEntry(
        settings,
        lambda text: _routes.Configuration(int(text), (), 1),
        context.metrics,
        random.Random(1),
    )
    context.rows = _operator_rows.OperatorRows(context.entry.shared)
    context.lines = []
    handler = loguru.logger.add(lambda line: context.lines.append(line.record))
    context.add_cleanup(loguru.logger.remove, handler)
    context.link_by_name = {"p": connect(context, "entry", "p", "z1")}
    for name, data_centre, cpu in (("a", "z1", 8000), ("b", "z2", 4000)):
        context.link_by_name[name] = connect(context, "agent", name, data_centre)
        state = _pool_wire.RunnerState("i-1", pool_stand_ins.POOL, cpu, 64_000, 0, [], True)
        receive(context, name, state)
        receive(context, name, _pool_wire.AllocationReport([], 0.0))
        receive(context, name, _pool_wire.Resumed([]))


def row_of(text):
    key, _, rest = text.partition("@")
    version, _, value = rest.partition("=")
    key = key if key == "config" else f"evacuate/{key}"
    return _store.Row(key, None if value == "-" else value.encode(), int(version))


def states_of(texts):
    rows = [text.replace("=", "@").split("@") for text in texts]
    return TELL([[name, int(version), answer == "yes"] for name, version, answer in rows])


@when('it learns "{events}"')
def learn(context, events):
    for event in events.split("; "):
        kind, *texts = event.split()
        match kind:
            case "feed":
                context.rows.update([row_of(text) for text in texts], None)
            case "peer":
                receive(context, "p", states_of(texts))
            case "agent":
                connect(context, "agent", "c", texts[-1])
            case _:
                version = int(kind.removeprefix("read@"))
                context.rows.update([row_of(text) for text in texts], version)


@then('the evacuated data centres are "{names}"')
def check_evacuated(context, names):
    expected = set() if names == "none" else set(names.split())
    assert context.entry.shared.evacuated == expected, context.entry.shared.evacuated


@then('"{key}" is logged once')
def check_logged(context, key):
    found = [each for each in context.lines if each["extra"].get("key") == key]
    assert len(found) == 1, found


def kinds(link):
    return [type(message) for message in link.sent]


@then("p is told of evacuations, then of a configuration")
def check_told(context):
    sent = kinds(context.link_by_name["p"])
    assert sent.index(TELL) < sent.index(_pool_wire.ConfigurationUpdate), sent


@then("a new link of each role is told of evacuations first")
def check_first(context):
    for role in _pool_wire.ROLES:
        link = connect(context, role, f"new-{role}", "z2")
        assert [["z1", 7, True]] in [message.rows for message in link.sent[:1]], link.sent


@then("a new link to a node of an older build is not told of evacuations")
def check_old(context):
    for role in _pool_wire.ROLES:
        assert TELL not in kinds(connect(context, role, f"old-{role}", "z2", revision=2))


def submit(context, cpu):
    job = _pool_jobs.Submission(JOB, ROUTE, "{}", (_pool_jobs.Step(1, cpu, 10, 0, 100.0),), 20.0)

    async def start():
        context.answer = context.entry._jobs.start_job(job)
        await asyncio.sleep(0)

    event_loop.run(context, start())


def orders(context, name):
    return kinds(context.link_by_name[name]).count(_pool_wire.RunTask)


async def follow_peer(context):
    # The peer has scheduled for longer than this entry runs.
    receive(context, "p", _pool_wire.PeerHeartbeat(True, 1, {}, is_scheduling=True))
    context.entry._update_leader(_clock.monotonic())
    assert context.entry._leadership.leader_id == "p"


async def lose_peer(context):
    context.entry.peers.link_by_id.pop("p")
    context.entry.on_closed(context.entry.peers.node_by_id["p"], context.link_by_name["p"])
    # Placements are requested again in a task.
    await asyncio.sleep(0.01)


@when('it learns "{events}" and then {event}')
def learn_and_submit(context, events, event):
    learn(context, events)
    if event != "a job arrives":
        event_loop.run(context, follow_peer(context))
    submit(context, 1000)
    if "is lost" in event:
        event_loop.run(context, lose_peer(context))
    elif "places on a" in event:
        for agent in "ab":
            request = context.link_by_name["p"].sent[-1]
            placed = {request.tasks[0][0]: agent}
            receive(context, "p", _pool_wire.TasksPlaced(request.request_id, JOB, placed))


@then("the task is ordered at b only")
def check_ordered(context):
    assert (orders(context, "a"), orders(context, "b")) == (0, 1), context.link_by_name["p"].sent


@step("it was placed again {count:d} times")
def check_retries(context, count):
    labels = {"reason": "evacuated"}
    retries = context.metrics.registry.get_sample_value("daisyfall_pool_retries_total", labels)
    assert (retries or 0) == count, retries


class PagedStore(_store.Store):
    """Store client that reads a table in two pages, and is told that the history is lost."""

    async def _call(self, _method, path, _timeout_s, params):
        await asyncio.sleep(0)
        if path == "/rows-feed":
            raise _store.StoreError(str(_store.GONE_STATUS))
        row = {"Key": "k", "Value": "e30=", "VersionNumber": 1}
        is_last = "From" in params
        return {"rows": [row], "HasMore": not is_last, "VersionNumber": 9 if is_last else 7}


@when("a table of two pages is read, and read again as its history is lost")
def read_pages(context):
    context.reads = []
    store = PagedStore("127.0.0.1:1", None, random.Random(1), lambda _reason: None)

    async def run():
        watch = store.watch("t", _store.WatchTiming(0.0), lambda *read: context.reads.append(read))
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(watch, 0.5)

    event_loop.run(context, run())


@then("both reads have all rows as of the version of the first page")
def check_reads(context):
    found = [(len(rows), version) for rows, version in context.reads]
    assert found[:2] == [(2, 7), (2, 7)], found


@when('a job that needs {cpu:d} CPU arrives {order} the evacuation of "{names}"')
def submit_around(context, cpu, order, names):
    if order == "before":
        busy = [["x.0.0", "x", 1000, 10, 0]]
        receive(context, "a", _pool_wire.AllocationReport(busy, 0.0))
        submit(context, cpu)
        assert not context.answer.done()
    learn(context, "feed " + " ".join(f"{name}@5={{}}" for name in names.split()))
    if order == "after":
        submit(context, cpu)


@then("it is refused as evacuated, and no task was ordered")
def check_refused(context):
    answer = context.answer.result()
    assert (answer.outcome, answer.reason) == (_pool_jobs.Outcome.REFUSED, "evacuated"), answer
    assert orders(context, "a") + orders(context, "b") == 0


@given("a runner of {cpu:d} whose data centre was {reason}")
def return_runner(context, cpu, reason):
    context.scheduler = scheduler = _scheduler.Scheduler(random.Random(1))
    runner = _runner_capacity.RunnerCapacity(
        "r", "p", cpu, 64_000, 0, (), is_open=True, data_centre="z1"
    )
    scheduler.update_runner(runner)
    if reason.startswith("evacuated"):
        # The last evacuation ends at 100 s.
        durations_s = [float(text.split()[0]) for text in reason.split("for ")[1:]]
        for number, duration_s in enumerate(durations_s):
            ended_at = 100.0 - sum(durations_s[number + 1 :])
            scheduler.set_evacuated(frozenset({"z1"}), ended_at - duration_s)
            scheduler.set_evacuated(frozenset(), ended_at)
    else:
        scheduler.mark_runner_unreachable("r")
        scheduler.update_runner(attrs.evolve(runner, is_open=True))
    scheduler.sync_allocations("r", {}, 100.0)


@then("it has room for {cpu:d} after {seconds:g} s")
def check_room(context, cpu, seconds):
    context.scheduler.advance(100.0 + seconds)
    runner = context.scheduler.runner_by_id["r"]
    assert (runner.free_cpu, context.scheduler.cores("p")) == (cpu, cpu / 1000), runner


@when("the agent has a queued order")
def queue_order(context):
    async def order():
        link, now_ms = context.entry.link, round(context.entry.last_sent_at * 1000)
        link.send(_pool_wire.RunTask("q.0.0", 1, "q", "{}", 16_000, 1, 0, 9.0, 5000, True, now_ms))
        await asyncio.sleep(0.1)

    event_loop.run(context, order())


@when('the agent is told "{state}"')
def tell_agent(context, state):
    async def tell():
        context.world.entries["leader"].link.send(states_of([state]))
        await asyncio.sleep(0.1)
        context.entry.order("f.0.0")
        await asyncio.sleep(0.1)

    event_loop.run(context, tell())


@then("the agent has refused all but the running task as evacuated")
def check_agent_refused(context):
    ends = {end.task: end.outcome for end in context.entry.messages(_pool_wire.TaskEnded)}
    assert ends == {"q.0.0": "evacuated", "f.0.0": "evacuated"}, ends
    assert len(context.world.runner.running) == 1


@then("entry e sees the runner {state}")
def check_state(context, state):
    assert context.entry.messages(_pool_wire.RunnerState)[-1].is_open == (state == "open")


@when("the operator evacuates z1 for {seconds:g} s under load, and after {after:g} s {fault}")
def evacuate_under_load(context, seconds, after, fault):
    async def inject(text, delay_s):
        await asyncio.sleep(delay_s)
        await fault_injection.inject(context.deployment, text)

    async def inject_both():
        operator = inject(f"the operator evacuates z1 for {seconds} s", 1.0)
        await asyncio.gather(operator, inject(fault, 1.0 + after))

    load = pool_path_steps.run_load(context.deployment, 100, (3, 100), seconds + 1, inject_both())
    context.outcomes = event_loop.run(context, load)


@then("no task started in z1 later than {seconds:g} s after the request")
def check_delays(context, seconds):
    delays_s = context.deployment.operator.delays_s()
    assert max(delays_s, default=0.0) <= seconds, delays_s


@step("tasks start in z1 again")
def check_taken_back(context):
    starts = context.deployment.execution_log.starts
    before = len(starts)
    event_loop.run(context, pool_path_steps.run_load(context.deployment, 30, (3, 100), 1.5))
    assert "z1" in [data_centre for _, data_centre in starts[before:]], starts[before:]
