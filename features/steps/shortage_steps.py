"""Steps for the choice under shortage: replays of loads on the scheduler."""

import collections
import itertools
import random
import zlib

import attrs
import hypothesis
import pool_policy_steps as policy
import shortage_replay
from behave import given, step, then, when
from hypothesis import strategies

from daisyfall import _codec, _pool_wire
from daisyfall.policy import _fair_shares, _job_queue, _runner_capacity
from daisyfall.process import _placement_service, _pool_entry

FIRST = (
    shortage_replay.Kind("ingest", 0, 8, 2800, 0.12, 99),
    shortage_replay.Kind("regroup", 2, 4, 2800, 1.8, 18.7),
    shortage_replay.Kind("alert", 1, 2, 2800, 0.4, 300),
)
SECOND = (
    shortage_replay.Kind("spend", 0, 8, 4900, 0.102, 90.5, 1.6, (3, 7), 0.55),
    shortage_replay.Kind("session", 2, 4, 4900, 1.52, 16.5, swing=0.55),
    shortage_replay.Kind("dup", 1, 2, 4900, 0.34, 264, 1.8, (4, 8), 0.55),
)


PRIORITY_WEIGHTS = (4, 2, 1)


@given("{count:d} runners of {cores} cores")
def set_runners(context, count, cores):
    sizes = itertools.cycle(int(each) * 1000 for each in cores.split())
    context.runner_cpus = list(itertools.islice(sizes, count))
    context.data_centres = ("",)


def prepare(context, kinds, length_s):
    context.replays = [
        shortage_replay.Replay(
            context.runner_cpus,
            kinds,
            length_s=length_s,
            seed=seed,
            data_centres=context.data_centres,
        )
        for seed in (1, 2)
    ]


@given("jobs as at the first customer for {length:g} s")
def set_first(context, length):
    prepare(context, FIRST, length)


@given(
    "jobs as at the first customer for {length:g} s, from 3 s to 7 s "
    "{longest:g} times the long and {shortest:g} times the short ones"
)
def set_burst(context, length, longest, shortest):
    factor = {"regroup": longest, "ingest": shortest, "alert": 1}
    prepare(
        context,
        [attrs.evolve(each, burst=factor[each.name], burst_s=(3, 7)) for each in FIRST],
        length,
    )


@given(
    "jobs as at the second customer for {length:g} s, with a swing of 0.55 and bursts of two kinds"
)
def set_second(context, length):
    prepare(context, SECOND, length)


@given("all runners are lost from {lost:g} s to {returned:g} s")
def lose_runners(context, lost, returned):
    context.returned_at = returned + 0.005 * len(context.runner_cpus)
    for replay in context.replays:
        replay.lose_runners(lost, returned)


@when("they are replayed")
def run_replay(context):
    context.jobs = [job for replay in context.replays for job in replay.run()]
    for name, count in shortage_replay.tally(context.jobs).items():
        print(name, dict(count))


def share(jobs, predicate):
    return sum(map(predicate, jobs)) / max(len(jobs), 1)


def is_in_time(job):
    return job.verdict == "in time"


def served_by(jobs, key):
    """Return the share of the jobs in time, by a key of the jobs."""
    jobs_by_key = collections.defaultdict(list)
    for job in jobs:
        jobs_by_key[key(job)].append(job)
    return {each: share(found, is_in_time) for each, found in jobs_by_key.items()}


@then("the most urgent kind is served at least as well as each other kind")
def check_urgent(context):
    served = served_by(context.jobs, lambda job: job.kind.priority)
    assert served[0] == max(served.values()), served


@then("no job is refused while enough CPU is free for all of it")
def check_room(context):
    refused = [job for job in context.jobs if job.verdict == "refused"]
    wrong = [job.id for job in refused if job.room_when_refused >= len(job.task_run_s)]
    assert not wrong, wrong


def check_refused_by(jobs, limit_of):
    late = [job.id for job in jobs if job.reason and job.refused_at > limit_of(job)]
    assert not late, late


def latest_refusal(job):
    """The scheduler refuses what has expired at its next round."""
    return job.batch.latest_start + 2 * _pool_entry.TICK_S


@then("no job waits past its latest start before it is refused")
def check_waits(context):
    unstarted = [job for job in context.jobs if not job.started]
    check_refused_by(unstarted, latest_refusal)


@then("no job waits past 45% of its time before it is refused")
def check_late_waits(context):
    unstarted = [job for job in context.jobs if not job.started]
    check_refused_by(unstarted, lambda job: job.batch.late_deadline + 2 * _pool_entry.TICK_S)


@then("fewer than {percent:g}% of the jobs are refused after a quarter of their objective")
def check_held(context, percent):
    def is_held(job):
        return bool(job.reason) and job.refused_at - job.arrived_at > job.objective_s / 4

    held = share(context.jobs, is_held)
    assert held < percent / 100, held


@then("fewer than {percent:g}% of the jobs are late")
def check_late(context, percent):
    late = share(context.jobs, lambda job: job.verdict == "late")
    assert late < percent / 100, late


@then("the value to callers, weighted by priority, is at least {least:g} of all")
def check_value(context, least):
    # A late answer has a fifth of the value.
    worth = {"in time": 1.0, "late": 0.2}
    total = sum(PRIORITY_WEIGHTS[job.kind.priority] for job in context.jobs)
    value = sum(
        PRIORITY_WEIGHTS[job.kind.priority] * worth.get(job.verdict, 0.0) for job in context.jobs
    )
    print("value", value / total)
    assert value / total >= least, value / total


@then("at least {percent:g}% of the jobs that arrive {after:g} s after the return are in time")
def check_return(context, percent, after):
    jobs = [job for job in context.jobs if job.arrived_at > context.returned_at + after]
    assert share(jobs, is_in_time) >= percent / 100, shortage_replay.tally(jobs)


@then("all jobs are in time")
def check_all(context):
    assert share(context.jobs, is_in_time) == 1.0, shortage_replay.tally(context.jobs)


@then("the placements are the {count:d} of the rule before, with checksum {checksum}")
def check_placements(context, count, checksum):
    placed = context.replays[0].placements
    found = f"{zlib.crc32(repr(placed).encode()):08x}"
    assert (len(placed), found) == (count, checksum), (len(placed), found)


# Random loads.

KINDS = strategies.lists(
    strategies.builds(
        shortage_replay.Kind,
        name=strategies.sampled_from("abcd"),
        priority=strategies.integers(0, 2),
        tasks=strategies.integers(1, 8),
        cpu=strategies.sampled_from([1000, 2800, 7000]),
        run_s=strategies.sampled_from([0.05, 0.12, 0.4, 1.2]),
        per_s=strategies.floats(5, 60),
    ),
    min_size=2,
    max_size=4,
    unique_by=lambda kind: kind.name,
)
POOLS = strategies.lists(strategies.sampled_from([8000, 16000, 32000]), min_size=1, max_size=8)


@when("{count:d} random loads are replayed")
def replay_random(context, count):
    context.replays = []

    @hypothesis.settings(max_examples=count, derandomize=True, database=None, deadline=None)
    @hypothesis.given(POOLS, KINDS, strategies.integers(0, 99))
    def replay(runner_cpus, kinds, seed):
        played = shortage_replay.Replay(runner_cpus, kinds, length_s=1.5, seed=seed)
        played.checks_order = True
        played.run()
        context.replays.append(played)

    replay()
    context.jobs = [job for played in context.replays for job in played.job_by_id.values()]
    assert any(job.reason for job in context.jobs)


@then("no refused job had a started task")
def check_unstarted(context):
    # A started job is given up only once it can't meet its deadline.
    check = [job for job in context.jobs if job.started and job.reason]
    early = [job.id for job in check if job.refused_at < job.batch.start_deadline]
    assert not early, early


@then("no task starts while a more urgent job waits that could use its CPU")
def check_overtaken(context):
    overtaken = [pair for played in context.replays for pair in played.overtaken]
    assert not overtaken, [(other.id, job.id) for other, job in overtaken[:5]]


# Fairness.


@given(
    "jobs of one kind at {load:d}% of the capacity for {length:g} s, from data centres of which "
    "one asks for most"
)
def set_unequal(context, load, length):
    context.data_centres = ("a", "b", *("c",) * 4)
    kind = FIRST[0]
    per_s = load / 100 * sum(context.runner_cpus) / (kind.tasks * kind.cpu * kind.run_s)
    prepare(context, [attrs.evolve(kind, per_s=per_s)], length)


def by_size(jobs):
    """Return the largest tenth of the jobs and the fifth below it."""
    ordered = sorted(jobs, key=lambda job: -sum(job.task_run_s) * job.cpu)
    tenth = len(ordered) // 10
    return {"tenth": ordered[:tenth], "fifth": ordered[tenth : 3 * tenth]}


@then(
    "each data centre, the largest tenth and the next fifth of the jobs are served within "
    "each {window:g} s"
)
def check_starved(context, window):
    groups = by_size(context.jobs)
    for job in context.jobs:
        groups.setdefault(job.batch.data_centre, []).append(job)
    for name, jobs in groups.items():
        served = {int(job.arrived_at // window) for job in jobs if is_in_time(job)}
        assert served == {int(job.arrived_at // window) for job in context.jobs}, (name, served)


@then("the largest tenth and the next fifth are served at least half as often as all")
def check_sizes(context):
    served = share(context.jobs, is_in_time)
    shares = {name: share(jobs, is_in_time) for name, jobs in by_size(context.jobs).items()}
    print("all", served, shares)
    assert min(shares.values()) >= served / 2, (served, shares)


@then("the data centres that ask for less are served better than the one that asks for most")
def check_data_centres(context):
    served = served_by(context.jobs, lambda job: job.batch.data_centre)
    print(served)
    assert min(served["a"], served["b"]) > served["c"], served


# Returning callers.


@when("they are replayed and the refused callers return as told")
def replay_returns(context):
    for replay in context.replays:
        replay.callers_return = True
    run_replay(context)
    context.returned = [job for job in context.jobs if job.id.endswith("+")]
    assert len(context.returned) > 50, len(context.returned)


@then("no tenth of a second gets more than a fifth of the returning callers")
def check_spread(context):
    counts = collections.Counter(int(job.arrived_at * 10) for job in context.returned)
    assert max(counts.values()) <= len(context.returned) / 5, counts


@then("the most urgent refused callers return first")
def check_first_return(context):
    waits = collections.defaultdict(list)
    for job in context.jobs:
        if job.reason and not job.id.endswith("+"):
            waits[job.kind.priority].append(job.retry_after_s)
    means = {each: sum(times) / len(times) for each, times in waits.items()}
    print("mean time until the return", means)
    assert len(means) == 3 and means[0] == min(means.values()), means


@then("at least {percent:d}% of the returning jobs are in time")
def check_returned(context, percent):
    found = share(context.returned, is_in_time)
    assert found >= percent / 100, (found, shortage_replay.tally(context.returned))


# Messages.


def batch_of(route, entry="e", served=0.0, priority=1):
    demand = _runner_capacity.Demand("j.0.0", "j", 1000, 10, expected_ms=10_000.0)
    times = {"latest_start": 0.0, "start_deadline": 0.0}
    return _job_queue.TaskBatch(
        f"{route}1", entry, "j", "pool", priority, [demand], route=route, served=served, **times
    )


@given("a new scheduling entry that hears that route a was given {first:g} core seconds lately")
def learn_shares(context, first):
    context.shares = _fair_shares.FairShares()
    for route, served in (("a", first), ("b", 5.0)):
        context.shares.record_request(batch_of(route, served=served), 1.0)


@when("routes a and b each ask for {count:d} jobs")
def ask(context, count):
    for route in ("a", "b") * count:
        context.shares.record_request(batch_of(route, served=5.0), 1.1)


@then("route b is favoured and route a isn't")
def check_favoured(context):
    found = {route: context.shares.is_under_share(batch_of(route), 1.2) for route in ("a", "b")}
    assert found == {"a": False, "b": True}, found


@given("a scheduling entry whose only runner is full, with a report {form}")
def report(context, form):
    context.decisions = []
    service = _placement_service.PlacementService(
        random.Random(1), lambda _, decision: context.decisions.append(decision)
    )
    service.update_runner("r1", _pool_wire.RunnerState("r1", "pool", 1000, 100, 0, [], True), "dc")
    ends = [[100, 400.0]] if "ends" in form else []
    message = _pool_wire.AllocationReport([["x.0.0", "x", 1000, 10, 0]], 0.0, ends)
    service.sync_allocations("r1", _codec.decode(_codec.encode(message)))
    context.service = service


@when("another entry asks for a task that has to start within {ms:d} ms")
def ask_for_task(context, ms):
    demand = _runner_capacity.Demand("j.0.0", "j", 1000, 10, expected_ms=100.0)
    row = list(attrs.astuple(demand))
    message = _pool_wire.PlaceTasks("j/1", "j", "pool", 0, ms, ms, False, [row])
    context.service.submit_request("e", _codec.decode(_codec.encode(message)), "dc")


@then("it {is_refused} refused")
def check_request(context, is_refused):
    assert bool(context.decisions) == (is_refused == "is"), context.decisions


@then("the pool is short of runners with {count:d} refused job")
def check_short(context, count):
    assert context.scheduler.refused_by_short_pool() == {policy.POOL: count}


@step("the pool isn't short of runners")
def check_not_short(context):
    assert not context.scheduler.refused_by_short_pool()
