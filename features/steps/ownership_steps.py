"""Steps on the pure decisions of ownership."""

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
# With the entries a and b, shard 0 is a's or b's by the hash; this one belongs to `a`.
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


@step("the ownership lease was renewed at {sent:g} s")
def renew(context, sent):
    if not hasattr(context, "lease"):
        context.lease = _ownership.Lease(LEASE, MARGIN)
    context.lease.extend(sent)


@when("the ownership lease is dropped")
def drop(context):
    context.lease.drop()


@then("the ownership lease is {state} at {now:g} s")
def check_lease(context, state, now):
    assert context.lease.valid(now) is (state == "valid"), context.lease


@when("the ownership lease is extended at {sent:g} s with answers {answers} at {now:g} s")
def extend(context, sent, answers, now):
    granted = {(each.split()[0], "one"): each.split()[1] == "yes" for each in answers.split(",")}
    peers = {("p", "one"), ("q", "one")}
    _ownership.PeerLeaseExtension(context.lease).apply(granted, peers, sent, now)


# Rows and plans.


@step('the ownership rows name owner "b" with sequence {sequence} at {now:g} s')
def observe_owner(context, sequence, now):
    entries = [entry("a", sequence=int(now * 10))]
    if sequence != "none":
        entries.append(entry("b", sequence=int(sequence)))
    view_of(context).observe(entries, [shard(SHARD, "b")], now)


@given('the ownership rows name owner "a" of incarnation "old" at {now:g} s')
def observe_former_self(context, now):
    view_of(context).observe([entry("a")], [shard(SHARD, "a", "old")], now)


@given("the ownership shard row is {row} at {now:g} s")
def observe_shard(context, row, now):
    shards = [] if row == "absent" else [shard(SHARD, "")]
    view_of(context).observe([entry("a")], shards, now)


@given('the ownership entry "a" is {state}')
def observe_state(context, state):
    shards = list(context.view.shard_by_number.values())
    context.view.observe([entry("a", state=state)], shards, 0.0)


@then('the ownership plan of "a" at {now:g} s takes {expected}')
def check_plan(context, now, expected):
    # The planner's own row changes with each of its renewals; the other rows stay as they are.
    rows = dict(context.view.entry_by_id)
    rows["a"] = attrs.evolve(rows["a"], sequence=rows["a"].sequence + 1)
    context.view.observe(list(rows.values()), list(context.view.shard_by_number.values()), now)
    plan = _ownership.plan_acquisitions(context.view, SHARD + 1, "a", "one", now)
    found = [
        f"epoch {each.epoch} {'by' if each.forced else 'without'} force"
        for each in plan
        if each.shard == SHARD
    ]
    assert found == ([] if expected == "nothing" else [expected]), plan


@given('the ownership rows name owner "a" and the entry "b" from 0 s to {now:g} s')
def observe_pair(context, now):
    for number in range(math.floor(now / POLL) + 1):
        entries = [entry("a", sequence=number), entry("b", sequence=number)]
        view_of(context).observe(entries, [shard(B_SHARD, "a")], number * POLL)


@then('the ownership handovers of "a" at {now:g} s are {expected}')
def check_handovers(context, now, expected):
    plan = _ownership.plan_handovers(context.view, [SHARD, B_SHARD], "a", now)
    wanted = [_ownership.Handover(B_SHARD, "b")] if expected == "some to b" else []
    assert plan == wanted, plan


@given('the ownership rows name a silent entry "b" that owns {owned} from 0 s to {now:g} s')
def observe_silent(context, owned, now):
    shards = [shard(SHARD, "b")] if owned == "a shard" else []
    for number in range(math.floor(now / POLL) + 1):
        entries = [entry("a", sequence=number), entry("b")]
        view_of(context).observe(entries, shards, number * POLL)


@then('the ownership removals of "a" at {now:g} s are {expected}')
def check_removals(context, now, expected):
    found = [each.id for each in _ownership.plan_removals(context.view, "a", now)]
    assert found == ([] if expected == "none" else [expected]), found


# Promises.


@step('the ownership promise to "{holder}" of {duration:g} s is asked at {now:g} s')
def ask(context, holder, duration, now):
    context.granted = promises_of(context).grant((holder, "one"), duration, now)


@given('the ownership query about "{holder}" was answered at {now:g} s')
def query_promise(context, holder, now):
    promises_of(context).query_promise((holder, "one"), now)


@then('the ownership query about "{holder}" at {now:g} s returns {left:g} s')
def check_query(context, holder, now, left):
    found = context.promises.query_promise((holder, "one"), now)
    assert math.isclose(found, left, abs_tol=1e-9), found


@then("the ownership promise is {answer}")
def check_promise(context, answer):
    assert context.granted is (answer == "granted")


# Agents and unreported tasks.


@given("the ownership horizon is {horizon:d} ms and the missing agents are {missing}")
def hold(context, horizon, missing):
    horizons = {} if missing == "none" else {(missing, "one"): horizon}
    context.owned_shard = _ownership.OwnedShard(
        SHARD, EPOCH, 1, active=True, horizon_by_missing=horizons
    )


@given("the ownership agent {agent} is missing, ended at {ended:d} ms with ids up to {latest:d} ms")
def miss_agent(context, agent, ended, latest):
    now = 100_000
    holder = (agent, "one")
    listed = {holder: _unreachable_agents.Termination(ended, latest)}
    horizons = _unreachable_agents.horizons({holder}, listed, now, heartbeat_ms=3000, skew_ms=6000)
    context.owned_shard = _ownership.OwnedShard(
        SHARD, EPOCH, 1, active=True, horizon_by_missing=horizons
    )
    context.unfenced = _unreachable_agents.unfenced({holder}, listed, now, heartbeat_ms=3000)


@then("the ownership fence path {expected} for the agent")
def check_unfenced(context, expected):
    assert bool(context.unfenced) is (expected == "waits"), context.unfenced


@then("the ownership rule lets an unreported task with id time {id_time:d} ms {expected}")
def check_unreported(context, id_time, expected):
    found = _unreachable_agents.may_start_unreported(context.owned_shard, id_time)
    assert found is (expected == "start")


@given("the ownership agent row was superseded at {at_ms:d} ms")
def supersede(context, at_ms):
    old = _agent_rows.AgentRecord("x", "old")
    context.agent_row = old.superseded_by("new", at_ms, 600)


@then("the ownership listed incarnations at {now:d} ms with retention {keep:d} ms are {expected}")
def check_listed(context, now, keep, expected):
    found = _agent_rows.listed_incarnations([context.agent_row], now, keep)
    ending_by_incarnation = {
        "old": _unreachable_agents.Termination(1000),
        "new": _unreachable_agents.RUNNING,
    }
    wanted = {("x", each): ending_by_incarnation[each] for each in expected.split(",")}
    assert found == wanted, found


# Restarts under the same id.


@given('the ownership row of "b" had peers "{peer}" under incarnation "{incarnation}"')
def row_with_peers(context, peer, incarnation):
    context.row = attrs.evolve(entry("b", incarnation), peers=((peer, "x"),))


@when('the ownership row of "b" passes to incarnation "{incarnation}" with peers "{peer}"')
def pass_row(context, incarnation, peer):
    former = context.row.former_of_successor(incarnation)
    context.row = attrs.evolve(entry("b", incarnation), peers=((peer, "x"),), former=former)


@then('the ownership peers of "b" under "{incarnation}" are "{peer}"')
def check_peers(context, incarnation, peer):
    assert context.row.peers_of(incarnation) == ((peer, "x"),)


@then('the ownership peers of "b" under "{incarnation}" are ""')
def check_no_peers(context, incarnation):
    assert context.row.peers_of(incarnation) == ()


class _WrittenKeys:
    """A table that notes the keys of what is deleted."""

    def __init__(self):
        self.deleted = []

    async def transact(self, _checks, writes):
        self.deleted += [write.key for write in writes if write.value is None]
        return {write.key: 0 for write in writes}


@given("the ownership entry stops with {rows} of its shards")
def stop_entry(context, rows):
    context.written = _WrittenKeys()
    identity = _membership.EntryIdentity("a", "one", "", "", "dc")
    membership = _membership.Membership(identity, context.written, _settings.LeaseSettings())
    record = _ownership.ShardRecord(SHARD, EPOCH, "a", "one", 0, 1)
    membership.view.shard_by_number[SHARD] = record
    if rows == "the release":
        membership.view.mark_released(SHARD, 2)
    asyncio.run(membership.deregister())


@then("the ownership row of the entry that stops is {action}")
def check_row(context, action):
    expected = {"kept": [], "deleted": ["entries/a"]}[action]
    assert context.written.deleted == expected, context.written.deleted
