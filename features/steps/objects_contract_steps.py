"""Steps for the object store contract: `HttpObjectStore` against the stand-in."""

import event_loop
from behave import given, then, when

from daisyfall.process import _object_store
from daisyfall_standins import _store_faults, objects

TIMEOUT_SECONDS = 30.0
SHORT_TIMEOUT_SECONDS = 0.1
# Far above the client's timeout, so that the reply can't arrive first.
SLOW_MS = 60_000


def connect(context, name, timeout_seconds):
    client = _object_store.HttpObjectStore(context.objects_server.url, timeout_seconds, name)
    event_loop.at_end(context, client.close)
    context.objects_client = client


@given('the object store with a client "{name}"')
def start_object_store(context, name):
    settings = objects.Settings(write_ms=1.0)
    context.objects_server = event_loop.start(context, objects.start(settings))
    connect(context, name, TIMEOUT_SECONDS)


@given("the object store fault {mode:w}")
def set_fault(context, mode):
    if mode == "slow":
        connect(context, "entry-1", SHORT_TIMEOUT_SECONDS)
    if mode == "stopped":
        event_loop.run(context, context.objects_server.stop())
        return
    fault = _store_faults.Fault(mode=_store_faults.FaultMode(mode), delay_ms=SLOW_MS)
    context.objects_server.stand_in.faults.fault = fault


@when('the object store client puts "{name}" with data "{first}" and then "{second}"')
def put(context, name, first, second):
    for data in (first, second):
        event_loop.run(context, context.objects_client.put(name, data.encode()))


@then('the object store client reads "{name}" as "{data}"')
def check_data(context, name, data):
    found = event_loop.run(context, context.objects_client.get(name))
    assert found == data.encode(), found


@then('the object store client lists "{prefix}" as "{name}"')
@then('the object store client lists "{prefix}" as ""')
def check_names(context, prefix, name=""):
    found = event_loop.run(context, context.objects_client.names(prefix))
    assert found == ([name] if name else []), found


@then('the object store client finds no "{name}"')
def check_absent(context, name):
    assert event_loop.run(context, context.objects_client.get(name)) is None


@when("the object store client makes a {call:w}")
def make_call(context, call):
    client = context.objects_client

    async def call_once():
        try:
            match call:
                case "put":
                    await client.put("lists/1", b"data")
                case "get":
                    await client.get("lists/1")
                case "list":
                    await client.names("lists/")
        except _object_store.ObjectStoreError as error:
            return error.effect.value
        return "success"

    context.objects_effect = event_loop.run(context, call_once())


@then("the object store client reports {effect:w}")
def check_effect(context, effect):
    assert context.objects_effect == effect, context.objects_effect


@then("the object store shows the put as {state:w}")
def check_stored(context, state):
    names = context.objects_server.stand_in.data_by_name
    found = "stored" if "lists/1" in names else "absent"
    assert found == state, names
