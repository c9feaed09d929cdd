"""Steps for odd entries of other writers in lists and on ports."""

import json

from behave import given, then, when

from daisyfall.platform import _node_table, _store


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
