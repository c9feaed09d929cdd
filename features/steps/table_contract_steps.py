"""Steps for the table contract: `HttpTable` against the stand-in table."""

import asyncio
import time

import aiohttp
import event_loop
from behave import given, then, when

from daisyfall.process import _table
from daisyfall_standins import _store_faults, table

TIMEOUT_SECONDS = 30.0
SHORT_TIMEOUT_SECONDS = 0.1
# Far above the client's timeout, so that the reply can't arrive first.
SLOW_MS = 60_000
RATE = 300.0
PAIRS = 3000
VALUES_SEEN = 5


def connect(context, name, timeout_seconds=TIMEOUT_SECONDS):
    client = _table.HttpTable(context.table_url, timeout_seconds, client=name)
    event_loop.at_end(context, client.close)
    return client


def write(key, value):
    return [_table.Write(key, value)]


def read_all(context):
    """Return the rows from the stand-in's memory, since a fault may affect its HTTP API."""
    return context.table_server.stand_in.rows.read(table.ReadRequest(prefixes=[""]))


async def effect_of(call):
    try:
        await call
    except _table.TableError as error:
        return error.effect.value
    return "success"


@given('the table with a client "{name}"')
def start_table(context, name):
    settings = table.Settings(write_ms=1.0, writes_per_second=RATE, reads_per_second=RATE)
    context.table_server = event_loop.start(context, table.start(settings))
    context.table_url = context.table_server.url
    context.table_client = connect(context, name)


@given("the table holds the rows {names}")
def write_rows(context, names):
    keys = [name.strip('"') for name in names.split(" and ")]
    writes = [_table.Write(key, "old") for key in keys]
    context.table_versions = event_loop.run(context, context.table_client.transact([], writes))


@given("the table fault {mode:w}")
def set_fault(context, mode):
    if mode == "slow":
        context.table_client = connect(context, "entry-1", SHORT_TIMEOUT_SECONDS)
    if mode == "stopped":
        event_loop.run(context, context.table_server.stop())
        return
    fault = _store_faults.Fault(mode=_store_faults.FaultMode(mode), delay_ms=SLOW_MS)
    context.table_server.stand_in.faults.fault = fault


@given('the table fault down for the client "{name}"')
def set_client_fault(context, name):
    put_fault(context, {"mode": "down", "clients": [name]})


@given("the table fault down for half of the requests")
def set_partial_fault(context):
    put_fault(context, {"mode": "down", "share": 0.5})


def put_fault(context, body):
    async def put():
        async with aiohttp.ClientSession() as session:
            return (await session.put(f"{context.table_url}/v1/fault", json=body)).status

    assert event_loop.run(context, put()) == 200


@when('the table row "{key}" is written, deleted and written again')
def rewrite(context, key):
    context.table_seen = [
        event_loop.run(context, context.table_client.transact([], write(key, value)))[key]
        for value in (1, None, 1)
    ]


@then("the table returned version 0 for the delete and a higher version afterwards")
def check_versions(context):
    first, deleted, second = context.table_seen
    assert deleted == 0 < first < second, context.table_seen


@when('the table client writes "a" and "b" after checking {a:w} "a" and {b:w} "b"')
def transact_checked(context, a, b):
    checks = []
    for key, state in (("a", a), ("b", b)):
        current = context.table_versions[key]
        version = {"current": current, "stale": current + 1, "absent": 0}[state]
        checks.append(_table.Check(key, version))
    context.table_conflicts = []
    try:
        writes = [*write("a", "new"), *write("b", "new")]
        event_loop.run(context, context.table_client.transact(checks, writes))
    except _table.ConflictError as error:
        context.table_conflicts = error.keys


@then('the table reports conflicts on "{keys}"')
@then('the table reports conflicts on ""')
def check_conflicts(context, keys=""):
    assert context.table_conflicts == keys.split(), context.table_conflicts


@then("the table shows {state:w} values")
def check_values(context, state):
    values = [row["value"] for row in read_all(context).values()]
    assert values == [state, state], values


@when('{clients:d} table clients each add 1 to the row "n" {times:d} times with compare-and-set')
def increment_concurrently(context, clients, times):
    context.table_conflicts = 0
    # All clients read before any of them writes, so that every run has conflicts.
    barrier = asyncio.Barrier(clients)

    async def no_wait():
        pass

    async def increment_once(client, wait):
        row = (await client.read(["n"], [])).get("n", _table.ABSENT)
        await wait()
        await client.transact([_table.Check("n", row.version)], write("n", (row.value or 0) + 1))

    async def increment_all(client):
        done, wait = 0, barrier.wait
        while done < times:
            try:
                await increment_once(client, wait)
                done += 1
            except _table.ConflictError:
                context.table_conflicts += 1
            wait = no_wait

    async def run_clients():
        names = [f"entry-{number}" for number in range(clients)]
        await asyncio.gather(*[increment_all(connect(context, name)) for name in names])

    event_loop.run(context, run_clients())


@then('the table row "{key}" holds {value:d}')
def check_row(context, key, value):
    assert read_all(context)[key]["value"] == value, read_all(context)


@then("the table counts {writes:d} writes and as many conflicts as the clients saw")
def check_stats(context, writes):
    async def get():
        async with aiohttp.ClientSession() as session:
            return await (await session.get(f"{context.table_url}/v1/stats")).json()

    stats = event_loop.run(context, get())
    assert stats["writes"] == writes, stats
    assert stats["conflicts"] == context.table_conflicts > 0, (stats, context.table_conflicts)


@when('a table client reads "x/" while another writes "x/1" and "x/2" together')
def read_while_writing(context):
    context.table_seen = []

    async def write_pairs():
        for number in range(PAIRS):
            await context.table_client.transact([], [*write("x/1", number), *write("x/2", number)])

    async def read_until_changed():
        values = set()
        while len(values) < VALUES_SEEN:
            rows = await context.table_client.read([], ["x/"])
            context.table_seen.append(rows)
            values |= {row.value for row in rows.values()}

    async def run_both():
        writer = asyncio.create_task(write_pairs())
        await read_until_changed()
        writer.cancel()

    event_loop.run(context, asyncio.wait_for(run_both(), TIMEOUT_SECONDS))


@then('the table showed equal values of "x/1" and "x/2" in each read')
def check_snapshots(context):
    non_empty = [rows for rows in context.table_seen if rows]
    inconsistent = [
        rows for rows in non_empty if len({row.value for row in rows.values()}) > 1 or len(rows) < 2
    ]
    assert not inconsistent, inconsistent


@then('the table client reads keys "{keys}" and prefix "{prefix}" as "{expected}"')
def check_read(context, keys, prefix, expected):
    rows = event_loop.run(context, context.table_client.read(keys.split(), [prefix]))
    assert sorted(rows) == expected.split(), rows
    assert all(row.version > 0 and row.value == "old" for row in rows.values()), rows


@when("the table client makes a {call:w}")
def call_table(context, call):
    client = context.table_client
    pending_call = client.read(["a"], []) if call == "read" else client.transact([], write("a", 1))
    context.table_effect = event_loop.run(context, effect_of(pending_call))


@then("the table client reports {effect:w}")
def check_effect(context, effect):
    assert context.table_effect == effect, context.table_effect


@then("the table shows the write as {state:w}")
def check_applied(context, state):
    found = "applied" if "a" in read_all(context) else "absent"
    assert found == state, found


@then('the table refuses "{refused}" and serves "{served}"')
def check_clients(context, refused, served):
    effects = [
        event_loop.run(context, effect_of(connect(context, name).read(["a"], [])))
        for name in (refused, served)
    ]
    assert effects == ["unavailable", "success"], effects


@then("the table refuses some of {count:d} reads and serves the others")
def check_failure_share(context, count):
    async def read_all_times():
        return [await effect_of(context.table_client.read(["a"], [])) for _ in range(count)]

    effects = event_loop.run(context, read_all_times())
    assert set(effects) == {"unavailable", "success"}, effects


@when("{clients:d} table clients make a {call:w} at once")
def make_calls(context, clients, call):
    client = context.table_client

    async def call_once(number):
        if call == "read":
            return await effect_of(client.read(["a"], []))
        return await effect_of(client.transact([], write(f"k/{number}", 1)))

    async def call_all():
        started = time.monotonic()
        effects = await asyncio.gather(*[call_once(number) for number in range(clients)])
        return effects, time.monotonic() - started

    context.table_effects, context.table_seconds = event_loop.run(context, call_all())


@then("the table served all of them, no faster than its rate limit")
def check_rate(context):
    assert set(context.table_effects) == {"success"}, context.table_effects
    min_seconds = (len(context.table_effects) - 1) / RATE
    # Timers may fire up to one clock tick early.
    assert context.table_seconds > min_seconds * 0.9, (context.table_seconds, min_seconds)
