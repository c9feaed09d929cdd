"""Steps for the pure ownership decisions."""

import asyncio
import math

import attrs
from behave import given, step, then, when

from daisyfall import _ids
from daisyfall.process import _agent_rows, _membership, _ownership, _settings, _unreachable_agents

LEASE = 2.0
MARGIN = 0.2
EPOCH = 4
POLL = 0.5
# Of the entries a and b, the rendezvous hash prefers a for SHARD and b for B_SHARD.
SHARD = next(n for n in range(100) if _ids.rendezvous_winner(str(n), ["a", "b"]) == "a")
B_SHARD = next(n for n in range(100) if _ids.rendezvous_winner(str(n), ["a", "b"]) == "b")


def entry(entry_id, incarnation="one", sequence=1, state=_ownership.ACTIVE):
    return _ownership.EntryRecord(entry_id, incarnation, sequence, "", "", "dc", state)


def shard(number, owner, incarnation="one"):
    return _ownership.ShardRecord(number, EPOCH, owner, incarnation if owner else "", 0)


def view_of(context):
    if not hasattr(context, "view"):
        context.view = _ownership.ClusterView(LEASE, MARGIN)
    return context.view


def promises_of(context):
    if not hasattr(context, "promises"):
        context.promises = _ownership.GrantedPromises(LEASE, MARGIN)
    return context.promises


# Leases.


@step("the ownership lease was renewed by a request sent at {sent:g} s")
def renew_lease(context, sent):
    if not hasattr(context, "lease"):
        context.lease = _ownership.Lease(LEASE, MARGIN)
    context.lease.extend(sent)


@when("the ownership lease is dropped")
def drop_lease(context):
    context.lease.drop()


@then("the ownership lease is {state} at {now:g} s")
def check_lease(context, state, now):
    assert context.lease.valid(now) is (state == "valid"), context.lease


@when("the ownership lease extension sent at {sent:g} s gets the replies {replies} at {now:g} s")
def extend_lease(context, sent, replies, now):
    granted = {(each.split()[0], "one"): each.split()[1] == "yes" for each in replies.split(",")}
    peers = {("p", "one"), ("q", "one")}
    _ownership.PeerLeaseExtension(context.lease).apply(granted, peers, sent, now)


# Rows, and the acquisitions, handovers and removals planned from them.


@step('the ownership rows read at {now:g} s name owner "b" with sequence {sequence}')
def observe_owner(context, sequence, now):
    entries = [entry("a", sequence=int(now * 10))]
    if sequence != "none":
        entries.append(entry("b", sequence=int(sequence)))
    view_of(context).observe(entries, [shard(SHARD, "b")], now)


@given('the ownership rows read at {now:g} s name owner "a" of incarnation "old"')
def observe_earlier_incarnation(context, now):
    view_of(context).observe([entry("a")], [shard(SHARD, "a", "old")], now)


@given("the ownership shard row read at {now:g} s is {row}")
def observe_shard(context, row, now):
    shards = [] if row == "absent" else [shard(SHARD, "")]
    view_of(context).observe([entry("a")], shards, now)


@given('the ownership entry "a" is {state}')
def observe_state(context, state):
    shards = list(context.view.shard_by_number.values())
    context.view.observe([entry("a", state=state)], shards, 0.0)


@then('the ownership plan of "a" at {now:g} s acquires {expected}')
def check_plan(context, now, expected):
    # Entry "a" keeps renewing its own row; the other rows stay as they are.
    rows = dict(context.view.entry_by_id)
    rows["a"] = attrs.evolve(rows["a"], sequence=rows["a"].sequence + 1)
    context.view.observe(list(rows.values()), list(context.view.shard_by_number.values()), now)
    plan = _ownership.plan_acquisitions(context.view, SHARD + 1, "a", "one", now)
    actual = [
        f"epoch {each.epoch} ({'forced' if each.forced else 'not forced'})"
        for each in plan
        if each.shard == SHARD
    ]
    assert actual == ([] if expected == "nothing" else [expected]), plan


@given('the ownership rows name owner "a" and entry "b" in each poll from 0 s to {now:g} s')
def observe_registered_entry(context, now):
    for number in range(math.floor(now / POLL) + 1):
        entries = [entry("a", sequence=number), entry("b", sequence=number)]
        view_of(context).observe(entries, [shard(B_SHARD, "a")], number * POLL)


@then('the ownership handovers of "a" at {now:g} s are {expected}')
def check_handovers(context, now, expected):
    plan = _ownership.plan_handovers(context.view, [SHARD, B_SHARD], "a", now)
    expected_plan = [_ownership.Handover(B_SHARD, "b")] if expected == "one to b" else []
    assert plan == expected_plan, plan


@given('the ownership row of entry "b" that owns {owned} is not renewed from 0 s to {now:g} s')
def observe_expired_entry(context, owned, now):
    shards = [shard(SHARD, "b")] if owned == "a shard" else []
    for number in range(math.floor(now / POLL) + 1):
        entries = [entry("a", sequence=number), entry("b")]
        view_of(context).observe(entries, shards, number * POLL)


@then('the ownership removals of "a" at {now:g} s are {expected}')
def check_removals(context, now, expected):
    actual = [each.id for each in _ownership.plan_removals(context.view, "a", now)]
    assert actual == ([] if expected == "none" else [expected]), actual


# Promises not to take over.


@step('the ownership promise to "{owner}" for {duration:g} s is requested at {now:g} s')
def request_promise(context, owner, duration, now):
    context.granted = promises_of(context).grant((owner, "one"), duration, now)


@given('the ownership promise to "{owner}" was queried at {now:g} s')
def query_promise(context, owner, now):
    promises_of(context).query_promise((owner, "one"), now)


@then('the ownership promise to "{owner}" queried at {now:g} s has {left:g} s left')
def check_query(context, owner, now, left):
    actual = context.promises.query_promise((owner, "one"), now)
    assert math.isclose(actual, left, abs_tol=1e-9), actual


@then("the ownership promise is {answer}")
def check_promise(context, answer):
    assert context.granted is (answer == "granted")


# Agents and unreported tasks.


@given("the ownership horizon is {horizon:d} ms and the unreachable agents are {missing}")
def set_horizon(context, horizon, missing):
    horizons = {} if missing == "none" else {(missing, "one"): horizon}
    context.owned_shard = _ownership.OwnedShard(
        SHARD, EPOCH, 1, active=True, horizon_by_missing=horizons
    )


@given(
    "the ownership agent {agent} is unreachable, ended at {ended:d} ms "
    "with job ids up to {latest:d} ms"
)
def set_unreachable_agent(context, agent, ended, latest):
    now = 100_000
    instance_id = (agent, "one")
    listed = {instance_id: _unreachable_agents.Termination(ended, latest)}
    horizons = _unreachable_agents.horizons(
        {instance_id}, listed, now, heartbeat_ms=3000, skew_ms=6000
    )
    context.owned_shard = _ownership.OwnedShard(
        SHARD, EPOCH, 1, active=True, horizon_by_missing=horizons
    )
    context.unfenced = _unreachable_agents.unfenced({instance_id}, listed, now, heartbeat_ms=3000)


@then("the ownership takeover by fencing every agent {expected}")
def check_unfenced(context, expected):
    assert bool(context.unfenced) is (expected == "waits"), context.unfenced


@then("the ownership rule says to {expected} an unreported task with id time {id_time:d} ms")
def check_unreported(context, id_time, expected):
    actual = _unreachable_agents.may_start_unreported(context.owned_shard, id_time)
    assert actual is (expected == "start")


@given('the ownership agent row was superseded by incarnation "new" at {at_ms:d} ms')
def supersede_agent(context, at_ms):
    old = _agent_rows.AgentRecord("x", "old")
    context.agent_row = old.superseded_by("new", at_ms, 600)


@then(
    "the ownership agent rows at {now:d} ms with retention {retention:d} ms "
    "list incarnations {expected}"
)
def check_listed(context, now, retention, expected):
    actual = _agent_rows.listed_incarnations([context.agent_row], now, retention)
    ending_by_incarnation = {
        "old": _unreachable_agents.Termination(1000),
        "new": _unreachable_agents.RUNNING,
    }
    expected_listed = {("x", each): ending_by_incarnation[each] for each in expected.split(",")}
    assert actual == expected_listed, actual


# Restarts under the same id.


@given('the ownership row of "b" had peers "{peer}" under incarnation "{incarnation}"')
def row_with_peers(context, peer, incarnation):
    context.row = attrs.evolve(entry("b", incarnation), peers=((peer, "x"),))


@when('the ownership row of "b" is replaced by incarnation "{incarnation}" with peers "{peer}"')
def replace_incarnation(context, incarnation, peer):
    former = context.row.former_of_successor(incarnation)
    context.row = attrs.evolve(entry("b", incarnation), peers=((peer, "x"),), former=former)


@then('the ownership peers of "b" under incarnation "{incarnation}" are "{peer}"')
def check_peers(context, incarnation, peer):
    assert context.row.peers_of(incarnation) == ((peer, "x"),)


@then('the ownership peers of "b" under incarnation "{incarnation}" are ""')
def check_no_peers(context, incarnation):
    assert context.row.peers_of(incarnation) == ()


class _RecordingTable:
    """A table that records the keys of deleted rows."""

    def __init__(self):
        self.deleted = []

    async def transact(self, _checks, writes):
        self.deleted += [write.key for write in writes if write.value is None]
        return {write.key: 0 for write in writes}


@given("the ownership entry stops with its shards {shards}")
def stop_entry(context, shards):
    context.recording_table = _RecordingTable()
    identity = _membership.EntryIdentity("a", "one", "", "", "dc")
    membership = _membership.Membership(
        identity, context.recording_table, _settings.LeaseSettings()
    )
    record = _ownership.ShardRecord(SHARD, EPOCH, "a", "one", 0, 1)
    membership.view.shard_by_number[SHARD] = record
    if shards == "all released":
        membership.view.mark_released(SHARD, 2)
    asyncio.run(membership.deregister())


@then("the ownership row of the stopped entry is {action}")
def check_row(context, action):
    expected = {"kept": [], "deleted": ["entries/a"]}[action]
    assert context.recording_table.deleted == expected, context.recording_table.deleted
