"""Steps for odd entries of other writers in lists and on ports."""

import json
import types

import aiohttp
import event_loop
import pool_adapter_steps
import yarl
from aiohttp import test_utils
from behave import given, then, when

from daisyfall import _codec, _wire, errors
from daisyfall.platform import _documents, _node_table, _runner_api, _store
from daisyfall.process import _pool_metrics, _runner
from daisyfall.request import _submission
from daisyfall.version import _routes

JOB_ID = "0190163d-8694-739b-aea5-966c26f8ad91"


def nested(depth):
    return "[" * depth + "]" * depth


DOCUMENTS = {
    "a role nested 1000 deep": f'{{"role":{nested(1000)},"address":"127.0.0.1:9"}}',
    "an address nested 1000 deep": f'{{"role":"agent","address":{nested(1000)}}}',
    "an object nested 100000 deep": '{"role":' * 100_000 + "1" + "}" * 100_000,
}


class RecordingPeers:
    """Peers that record the nodes they were given."""

    def __init__(self):
        self.nodes = []

    def set_nodes(self, nodes):
        self.nodes = nodes

    def redial(self, _node_id):
        pass


def add_row(context, key, value):
    context.version += 1
    encoded = value if value is None else value.encode()
    context.row_by_key[key] = _store.Row(key, encoded, context.version)
    return context.row_by_key[key]


def node_row(role, address):
    return json.dumps({"role": role, "address": address})


@given("an entry's table of nodes with entry {node_id} at {address}")
def make_table(context, node_id, address):
    context.version, context.row_by_key, context.errors = 0, {}, []
    context.peers = RecordingPeers()
    context.node_table = _node_table.NodeTable(context.peers, context.errors.append)
    context.node_table.update([add_row(context, node_id, node_row("entry", address))], 1)


@when("another writer adds {document} under {key}, and agent {node_id} is added at {address}")
def add_rows(context, document, key, node_id, address):
    odd = add_row(context, key, DOCUMENTS.get(document, document))
    context.node_table.update([odd, add_row(context, node_id, node_row("agent", address))], None)


@when("all rows are read again")
def read_again(context):
    context.node_table.update(list(context.row_by_key.values()), context.version)


@when("the row of {key} is removed")
def remove_row(context, key):
    context.node_table.update([add_row(context, key, None)], None)


@then("the entry knows {nodes}")
def check_nodes(context, nodes):
    found = sorted(f"{node.role} {node.id} at {node.address}" for node in context.peers.nodes)
    assert found == sorted(nodes.split(", ")), found


@then("{count:d} unreadable row is counted")
def check_count(context, count):
    assert context.errors == [_node_table.UNREADABLE_ROW] * count, context.errors


def post_heartbeat(context, runner_id, document):
    """Post a heartbeat to an agent's API; keep its status, and what was passed on."""
    context.passed_on = []
    context.metrics = _pool_metrics.PoolMetrics()
    agent = types.SimpleNamespace(
        handle_heartbeat=context.passed_on.append, metrics=context.metrics
    )

    async def post():
        server = test_utils.TestServer(_runner_api.build(agent))
        async with server, aiohttp.ClientSession() as session:
            url = f"{server.make_url('/instances')}/{runner_id}/heartbeat"
            async with session.post(yarl.URL(url, encoded=True), data=document) as answer:
                context.status = answer.status

    event_loop.run(context, post())


@when("another writer sends a heartbeat with {field} {value} to an agent")
def send_heartbeat(context, field, value):
    document = nested(1000) if value == "nested 1000 deep" else value
    others = json.dumps(
        {
            name: pool_adapter_steps.HEARTBEAT[name]
            for name in pool_adapter_steps.HEARTBEAT
            if name != field
        }
    )
    post_heartbeat(context, "i-1", f'{others[:-1]},"{field}":{document}}}')


@when("another writer sends a heartbeat of the runner {runner_id} to an agent")
def send_heartbeat_of(context, runner_id):
    runner_id = "i" * 300 if runner_id == "300 characters" else runner_id
    post_heartbeat(context, runner_id, json.dumps(pool_adapter_steps.HEARTBEAT))


@when("a runner sends a heartbeat to its agent")
def send_valid_heartbeat(context):
    post_heartbeat(context, "i-1", json.dumps(pool_adapter_steps.HEARTBEAT))


@then("it is acknowledged, left out and counted as invalid")
def check_left_out(context):
    assert context.status == 200, context.status
    assert not context.passed_on, context.passed_on
    assert b'pool_ignored_heartbeats_total{reason="invalid"} 1.0' in context.metrics.render()


@then("it is acknowledged and passed on")
def check_passed_on(context):
    assert context.status == 200, context.status
    assert [each.id for each in context.passed_on] == ["i-1"]


@when("the adapter decodes a job whose {field} is nested {depth:d} deep")
def decode_job(context, field, depth):
    document = nested(depth)
    if field != "Steps":
        document = f'[{{"Count":1,"{field}":{document}}}]'
    route = _routes.Route("r", "h", "/", "p", 0, 1, 1.0, 0.0, 0.0)
    context.error = None
    try:
        body = f'{{"BestEffort":true,"Steps":{document}}}'.encode()
        _documents.decode_submission(body, "0" * _documents.JOB_ID_LENGTH, route, 1.0)
    except _documents.DocumentError as error:
        context.error = error


@then("the job is rejected as malformed")
def check_rejected(context):
    assert context.error is not None


@when("a job with a payload nested {depth:d} deep is submitted to daisyfalld")
def submit_payload(context, depth):
    job = f'"job_id":"{JOB_ID}","deadline_ms":1000'
    body = f'{{{job},"tasks":[{{"kind":"k","payload":{nested(depth)}}}]}}'
    context.submission, context.kind = None, ""
    try:
        context.submission = _submission.parse("b", body.encode())
    except errors.DispatchError as error:
        context.kind = error.kind.value


@then("it is accepted, and its message can be decoded")
def check_accepted(context):
    (task,) = context.submission.tasks
    message = _wire.Submit(1, "b", JOB_ID, 1000, [task.as_wire()], True)
    assert _codec.decode_batch(_codec.encode_batch([message])) == [message]


@then("it is rejected as {kind}")
def check_kind(context, kind):
    assert context.kind == kind, context.kind


@when("a runner of daisyfalld answers 200 with a body nested {depth:d} deep")
def answer_deeply(context, depth):
    context.outcome = _runner._parse_outcome(200, nested(depth).encode())


@then("its task is lost")
def check_lost(context):
    assert isinstance(context.outcome, _runner.Lost), context.outcome
