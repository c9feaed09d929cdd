"""Steps on a cluster of processes with faults.

One cluster serves all scenarios of a feature. A step that names `the owner` means
the entry that owned the buyer's jobs at the start of the scenario, `the other` an
entry that did not.
"""

import time

import fault_world
import parse
from behave import given, register_type, step, then, when

from daisyfall_standins import cluster as clusters


@parse.with_pattern(r"(?:the )?(?:owner|other|[a-z]+-[0-9])")
def parse_process(text):
    return text.removeprefix("the ")


register_type(Process=parse_process)
_world_by_feature: dict[str, fault_world.World] = {}


def close_world(name):
    _world_by_feature.pop(name).close()


@given("the cluster has {entries:d} entries and {agents:d} agents in service")
def prepare(context, entries, agents):
    name = context.feature.filename
    world = _world_by_feature.get(name)
    if world is None:
        world = fault_world.World(entries, agents)
        _world_by_feature[name] = world
        context.add_cleanup(close_world, name, layer="feature")
    else:
        world.begin()
    context.world = world


# Jobs.


@when(
    'the cluster gets job "{name}" of {tasks:d} tasks of {run_ms:d} ms through the {entry:Process}'
)
def submit(context, name, tasks, run_ms, entry):
    world = context.world
    world.submit(world.new_job(name, tasks, run_ms), world.process(entry))


@step('the cluster gets job "{name}" again through the {entry:Process}')
def submit_again(context, name, entry):
    world = context.world
    world.submit(world.job_by_name[name], world.process(entry))


@step('the cluster gets job "{name}" again through the {entry:Process} until it is settled')
def resubmit(context, name, entry):
    world = context.world
    world.resubmit(world.job_by_name[name], world.process(entry))


@step('the cluster gets job "{name}" with other content through the {entry:Process}')
def submit_conflict(context, name, entry):
    world = context.world
    job = world.job_by_name[name]
    tasks = [task | {"kind": "changed"} for task in job.body["tasks"]]
    context.conflict = world.post(job, job.body | {"tasks": tasks}, world.process(entry))


@then("the cluster refuses that with {kind}")
def check_conflict(context, kind):
    assert context.conflict.kind == kind, context.conflict


@step('the cluster has started {count:d} tasks of job "{name}"')
def wait_started(context, count, name):
    world = context.world
    job = world.job_by_name[name]
    try:
        world.wait(f"{count} starts of {name}", lambda: world.started(job) >= count)
    except AssertionError as error:
        done = [each.result() for each in job.attempts if each.done()]
        raise AssertionError(f"{error}; {world.started(job)} started, answers {done}") from error


@step('the cluster has started no task of job "{name}"')
def check_not_started(context, name):
    world = context.world
    assert world.started(world.job_by_name[name]) == 0


@when('the cluster caller of job "{name}" leaves the {entry:Process} once {count:d} tasks run')
def submit_and_leave(context, name, entry, count):
    # `?wait=0` ends the caller's connection while the job goes on.
    world = context.world
    job = world.new_job(name, 4, 800)
    world.submit(job, world.process(entry), "?wait=0")
    assert job.answers()[0].status == 202, job.answers()
    wait_started(context, count, name)


@when('the cluster caller cancels job "{name}" through the {entry:Process}')
def cancel(context, name, entry):
    world = context.world
    job = world.job_by_name[name]
    path = f"/v1/jobs/{job.body['job_id']}"
    answer = world.caller("DELETE", job, world.process(entry), path)
    assert answer.status == 200, answer


@then('the cluster answers job "{name}" completely')
def check_complete(context, name):
    answer = context.world.job_by_name[name].answers()[-1]
    assert answer.run == "complete", answer


@then('the cluster answers every attempt at job "{name}" completely')
def check_all_complete(context, name):
    answers = context.world.job_by_name[name].answers()
    assert all(answer.run == "complete" for answer in answers), (
        f"{answers}\n{context.world.entry_logs()}"
    )


@then('the cluster fails job "{name}" as {run}')
def check_failed(context, name, run):
    answer = context.world.job_by_name[name].answers()[-1]
    assert answer.run == run, answer


@then('the cluster fails job "{name}" with {kind}')
def check_failed_kind(context, name, kind):
    answer = context.world.job_by_name[name].answers()[-1]
    assert answer.kind == kind, answer


@then('the cluster settles job "{name}" as complete or failed')
def check_settled(context, name):
    answer = context.world.job_by_name[name].answers()[-1]
    assert answer.run in ("complete", "not run", "may have run"), answer


# Load.


@when("the cluster runs a load of {jobs:d} jobs within {seconds:d} s")
def start_load(context, jobs, seconds):
    context.world.start_load(jobs, seconds, (20.0, 150.0))


@step("the cluster has started {count:d} tasks of the load")
def wait_load_started(context, count):
    world = context.world
    total = world.starts().total
    world.wait(f"{count} starts", lambda: world.starts().total >= total + count)


@then("the cluster completes every job of the load")
def check_load_complete(context):
    records = context.world.end_load()
    bad = [each for each in records if each.outcome.value != "complete"]
    logs = context.world.entry_logs() if bad else ""
    assert records and not bad, f"{len(bad)} of {len(records)}: {bad[:3]}\n{logs}"


@then("the cluster completes every job of the load without a broken connection")
def check_load_unbroken(context):
    check_load_complete(context)
    broken = [each for each in context.world.records if each.broken]
    assert not broken, broken[:3]


@then("the cluster settles every job of the load")
def check_load_settled(context):
    records = context.world.end_load()
    bad = [each for each in records if each.outcome.value in ("unanswered", "wrong")]
    assert records and not bad, f"{len(bad)} of {len(records)}: {bad[:3]}"


@then("the cluster keeps its guarantees")
def check_guarantees(context):
    world = context.world
    world.check_guarantees()
    try:
        world.wait("no work is left", world.idle)
    except AssertionError as error:
        raise AssertionError(f"{error}: {world.describe()}") from error


# Faults of processes.


@step("the cluster loses {name:Process}")
def kill(context, name):
    context.world.process(name).kill()


@step("the cluster loses every entry")
def kill_entries(context):
    for entry in context.world.cluster.entries:
        entry.kill()


@step("the cluster gets every entry back")
def restart_entries(context):
    world = context.world
    for entry in world.cluster.entries:
        world.fleet.restart(entry)
    for entry in world.cluster.entries:
        entry.wait_ready()


@step("the cluster gets {name:Process} back")
def restart(context, name):
    world = context.world
    world.fleet.restart(world.process(name))


@step("the cluster pauses {name:Process}")
def pause(context, name):
    context.world.process(name).pause()


@step("the cluster resumes {name:Process}")
def resume(context, name):
    context.world.process(name).resume()


@when("the cluster stops {name:Process} gracefully")
def stop(context, name):
    context.stopped = context.world.process(name)
    context.stopped.popen.terminate()


@then("the cluster sees it end with status 0")
def check_stopped(context):
    status = context.stopped.wait_exit(fault_world.STATE_LIMIT_SECONDS)
    assert status == 0, f"status {status}\n{context.stopped.log_tail()}"


@step("the cluster has moved the buyer to {name:Process}")
def wait_moved(context, name):
    world = context.world
    target = world.process(name)
    shard = fault_world.shard_of(world.buyer)
    world.wait(f"{target.name} owns shard {shard}", lambda: shard in world.status(target)["shards"])


@step("the cluster has no ready {name}")
def wait_unready(context, name):
    process = context.world.process(name)
    context.world.wait(f"{process.name} is not ready", lambda: not process.is_ready())


@step("the cluster has a ready {name}")
def wait_ready(context, name):
    context.world.process(name).wait_ready(fault_world.STATE_LIMIT_SECONDS)


@step("the cluster passes {count:d} lease times")
def wait_leases(context, count):
    # A fault has to last longer than a lease of 2 s; nothing is decided by this time.
    time.sleep(count * fault_world.LEASE_SECONDS)


# Faults of the platform and of runners.


@step("the cluster's table is {mode}")
def set_table(context, mode):
    world = context.world
    fault = {
        "down": {"mode": "down"},
        "up": {},
        "slow": {"mode": "slow", "delay_ms": 1000},
        "losing half of the replies": {"mode": "lost_reply", "share": 0.5},
        "losing replies": {"mode": "lost_reply"},
        "unreachable for the owner": {
            "mode": "drop",
            "clients": [world.role_by_name["owner"].name],
        },
    }[mode]
    world.set_fault(world.cluster.table, fault)


@step("the cluster's object store is down")
def set_objects_down(context):
    context.world.set_fault(context.world.cluster.objects, {"mode": "down"})


@step("the cluster's {name:Process} {fault} everything")
def set_runner(context, name, fault):
    switches = {
        "refuses": {"refuse": True},
        "resets": {"reset": True},
        "hangs on": {"hang": True},
        "fails": {"fail_everything": True},
        "serves": {},
    }[fault]
    world = context.world
    world.set_fault(world.process(name), switches)


@when("the cluster operator sets {name:Process} to {wish}")
def set_wish(context, name, wish):
    world = context.world
    world.wish(world.process(name), wish)
    context.wished_at = time.monotonic()


@then("the cluster starts nothing at {name:Process} after {seconds:d} s")
def check_drained(context, name, seconds):
    world = context.world
    time.sleep(max(0.0, context.wished_at + seconds - time.monotonic()))
    url = f"{world.process(name).url}/v1/starts"
    before = clusters.call("GET", url)[1]["total"]
    world.end_load()
    after = clusters.call("GET", url)[1]["total"]
    assert after == before, f"{after - before} starts at {name} later than {seconds} s"


# Lists.


@when("the cluster operators apply lists at both entries at the same time")
def race_lists(context):
    world = context.world
    urls = [f"{entry.url}/v1/lists" for entry in world.cluster.entries]
    base = world.cluster.call("GET", urls[0])[1]["version"]
    answers = world.together(
        [
            lambda url=url, slots=slots: world.cluster.call(
                "PUT", url, world.lists_body(base, slots)
            )
            for slots, url in enumerate(urls, start=5000)
        ]
    )
    context.lists_base = base
    context.lists_answers = answers


@then("the cluster accepts exactly one of them everywhere")
def check_race(context):
    world = context.world
    statuses = sorted(status for status, _ in context.lists_answers)
    assert statuses == [200, 409], context.lists_answers
    expected = context.lists_base + 1
    won = [slots for slots, (status, _) in enumerate(context.lists_answers, 5000) if status == 200]
    for entry in world.cluster.entries:
        url = f"{entry.url}/v1/lists"
        world.wait(
            f"version {expected} at {entry.name}",
            lambda url=url: world.cluster.call("GET", url)[1].get("version") == expected,
        )
        found = world.cluster.call("GET", url)[1]["allowances"]["plans"]["all"]["slots"]
        assert found == won[0], f"slots {found} at {entry.name}, accepted {won}"


@step("the cluster watches the lists version at every entry")
def watch_versions(context):
    context.world.watch_versions()


@when("the cluster operator applies lists at {name:Process}")
def apply_lists(context, name):
    world = context.world
    url = f"{world.process(name).url}/v1/lists"

    def accepted():
        # An operator who read an older version gets a conflict, reads again and applies again.
        base = world.cluster.call("GET", url)[1]["version"]
        status, answer = world.cluster.call("PUT", url, world.lists_body(base, 6000 + base))
        assert status in (200, 409), answer
        context.lists_version = answer.get("version")
        return status == 200

    world.wait(f"lists accepted at {name}", accepted)


@then("the cluster has these lists in force at every entry")
def check_lists(context):
    world = context.world
    for entry in world.cluster.entries:
        url = f"{entry.url}/v1/lists"
        world.wait(
            f"version {context.lists_version} at {entry.name}",
            lambda url=url: (
                world.cluster.call("GET", url)[1].get("version") == context.lists_version
            ),
        )


@then("the cluster's lists version never went back")
def check_versions(context):
    seen = context.world.end_watch()
    for name, versions in seen.items():
        assert versions == sorted(versions), f"{name}: {versions}"
    assert all(seen.values()), seen
