"""Steps for a cluster of processes with faults.

All scenarios of a feature use the same cluster. In the steps, `the owner` is the entry
that owned the buyer's jobs at the start of the scenario, and `the other` is another entry.
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
        world.start_scenario()
    context.world = world


# Jobs.


@when(
    'a cluster caller submits job "{name}" of {tasks:d} tasks of {run_ms:d} ms '
    "to the {entry:Process}"
)
def submit(context, name, tasks, run_ms, entry):
    world = context.world
    world.submit(world.new_job(name, tasks, run_ms), world.process(entry))


@step('a cluster caller resubmits job "{name}" to the {entry:Process}')
def submit_again(context, name, entry):
    world = context.world
    world.submit(world.job_by_name[name], world.process(entry))


@step('a cluster caller resubmits job "{name}" to the {entry:Process} until it is settled')
def resubmit(context, name, entry):
    world = context.world
    world.resubmit(world.job_by_name[name], world.process(entry))


@step('a cluster caller submits job "{name}" with other content to the {entry:Process}')
def submit_conflict(context, name, entry):
    world = context.world
    job = world.job_by_name[name]
    tasks = [task | {"kind": "changed"} for task in job.body["tasks"]]
    context.conflict = world.post(job, job.body | {"tasks": tasks}, world.process(entry))


@then("the cluster rejects that submission with {kind}")
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


@when(
    'a cluster caller submits job "{name}" to the {entry:Process} '
    "and disconnects once {count:d} tasks have started"
)
def submit_and_leave(context, name, entry, count):
    # With `?wait=0` the caller's connection ends while the job is still running.
    world = context.world
    job = world.new_job(name, 4, 800)
    world.submit(job, world.process(entry), "?wait=0")
    assert job.answers()[0].status == 202, job.answers()
    wait_started(context, count, name)


@when('a cluster caller cancels job "{name}" at the {entry:Process}')
def cancel(context, name, entry):
    world = context.world
    job = world.job_by_name[name]
    path = f"/v1/jobs/{job.body['job_id']}"
    answer = world.send_request("DELETE", job, world.process(entry), path)
    assert answer.status == 200, answer


@then('the cluster completes job "{name}"')
def check_complete(context, name):
    answer = context.world.job_by_name[name].answers()[-1]
    assert answer.run == "complete", answer


@then('the cluster completes every attempt of job "{name}"')
def check_all_complete(context, name):
    answers = context.world.job_by_name[name].answers()
    assert all(answer.run == "complete" for answer in answers), (
        f"{answers}\n{context.world.entry_logs()}"
    )


@then('the cluster reports job "{name}" as {run}')
def check_failed(context, name, run):
    answer = context.world.job_by_name[name].answers()[-1]
    assert answer.run == run, answer


@then('the cluster reports job "{name}" failed with {kind}')
def check_failed_kind(context, name, kind):
    answer = context.world.job_by_name[name].answers()[-1]
    assert answer.kind == kind, answer


@then('the cluster settles job "{name}" as complete or failed')
def check_settled(context, name):
    answer = context.world.job_by_name[name].answers()[-1]
    assert answer.run in ("complete", "not run", "may have run"), answer


# Load.


@when("the cluster receives a load of {jobs:d} jobs within {seconds:d} s")
def start_load(context, jobs, seconds):
    context.world.start_load(jobs, seconds, (20.0, 150.0))


@step("the cluster has started {count:d} tasks of the load")
def wait_load_started(context, count):
    world = context.world
    total = world.starts().total
    world.wait(f"{count} starts", lambda: world.starts().total >= total + count)


@then("the cluster completes every job of the load")
def check_load_complete(context):
    records = context.world.wait_load()
    failed = [each for each in records if each.outcome.value != "complete"]
    logs = context.world.entry_logs() if failed else ""
    assert records and not failed, f"{len(failed)} of {len(records)}: {failed[:3]}\n{logs}"


@then("the cluster completes every job of the load without a broken connection")
def check_load_unbroken(context):
    check_load_complete(context)
    broken = [each for each in context.world.records if each.broken]
    assert not broken, broken[:3]


@then("the cluster settles every job of the load")
def check_load_settled(context):
    records = context.world.wait_load()
    failed = [each for each in records if each.outcome.value in ("unanswered", "wrong")]
    assert records and not failed, f"{len(failed)} of {len(records)}: {failed[:3]}"


@then("the cluster keeps its guarantees")
def check_guarantees(context):
    world = context.world
    world.check_guarantees()
    try:
        world.wait("no work is left", world.is_idle)
    except AssertionError as error:
        raise AssertionError(f"{error}: {world.describe_remaining_work()}") from error


# Faults of processes.


@step("in the cluster {name:Process} is killed")
def kill(context, name):
    context.world.process(name).kill()


@step("every entry of the cluster is killed")
def kill_entries(context):
    for entry in context.world.cluster.entries:
        entry.kill()


@step("every entry of the cluster is restarted")
def restart_entries(context):
    world = context.world
    for entry in world.cluster.entries:
        world.fleet.restart(entry)
    for entry in world.cluster.entries:
        entry.wait_ready()


@step("in the cluster {name:Process} is restarted")
def restart(context, name):
    world = context.world
    world.fleet.restart(world.process(name))


@step("in the cluster {name:Process} is paused")
def pause(context, name):
    context.world.process(name).pause()


@step("in the cluster {name:Process} is resumed")
def resume(context, name):
    context.world.process(name).resume()


@when("in the cluster {name:Process} is stopped gracefully")
def stop(context, name):
    context.stopped = context.world.process(name)
    context.stopped.popen.terminate()


@then("the stopped cluster process exits with status 0")
def check_exit_status(context):
    status = context.stopped.wait_exit(fault_world.STATE_TIMEOUT_SECONDS)
    assert status == 0, f"status {status}\n{context.stopped.log_tail()}"


@step("the cluster has moved the buyer's shard to {name:Process}")
def wait_shard_moved(context, name):
    world = context.world
    target = world.process(name)
    shard = fault_world.shard_of(world.buyer)
    world.wait(f"{target.name} owns shard {shard}", lambda: shard in world.status(target)["shards"])


@step("in the cluster {name:Process} is not ready")
def wait_unready(context, name):
    process = context.world.process(name)
    context.world.wait(f"{process.name} is not ready", lambda: not process.is_ready())


@step("in the cluster {name:Process} is ready")
def wait_ready(context, name):
    context.world.process(name).wait_ready(fault_world.STATE_TIMEOUT_SECONDS)


@step("the cluster runs for {count:d} lease times")
def wait_leases(context, count):
    # The fault has to last longer than a lease of 2 s; no check depends on the exact time.
    time.sleep(count * fault_world.LEASE_SECONDS)


# Faults of the platform and of runners.


@step("the cluster's table is {mode}")
def set_table_fault(context, mode):
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
def set_object_store_down(context):
    context.world.set_fault(context.world.cluster.objects, {"mode": "down"})


@step("the cluster's {name:Process} {fault} every request")
def set_runner_fault(context, name, fault):
    faults = {
        "refuses": {"refuse": True},
        "resets": {"reset": True},
        "hangs on": {"hang": True},
        "fails": {"fail_everything": True},
        "serves": {},
    }[fault]
    world = context.world
    world.set_fault(world.process(name), faults)


@when("the cluster operator sets {name:Process} to {state}")
def set_desired_state(context, name, state):
    world = context.world
    world.set_desired_state(world.process(name), state)
    context.state_set_at = time.monotonic()


@then("the cluster starts no task at {name:Process} after {seconds:d} s")
def check_no_starts(context, name, seconds):
    world = context.world
    time.sleep(max(0.0, context.state_set_at + seconds - time.monotonic()))
    url = f"{world.process(name).url}/v1/starts"
    before = clusters.call("GET", url)[1]["total"]
    world.wait_load()
    after = clusters.call("GET", url)[1]["total"]
    assert after == before, f"{after - before} starts at {name} later than {seconds} s"


# Lists.


@when("the cluster operators edit the lists at both entries at the same time")
def edit_lists_concurrently(context):
    world = context.world
    urls = [f"{entry.url}/v1/lists" for entry in world.cluster.entries]
    base = world.cluster.call("GET", urls[0])[1]["version"]
    answers = world.call_concurrently(
        [
            lambda url=url, slots=slots: world.cluster.call(
                "PUT", url, world.lists_body(base, slots)
            )
            for slots, url in enumerate(urls, start=5000)
        ]
    )
    context.lists_base = base
    context.lists_answers = answers


@then("the cluster accepts exactly one of the edits and applies it at every entry")
def check_one_edit_accepted(context):
    world = context.world
    statuses = sorted(status for status, _ in context.lists_answers)
    assert statuses == [200, 409], context.lists_answers
    expected = context.lists_base + 1
    accepted = [
        slots for slots, (status, _) in enumerate(context.lists_answers, 5000) if status == 200
    ]
    for entry in world.cluster.entries:
        url = f"{entry.url}/v1/lists"
        world.wait(
            f"version {expected} at {entry.name}",
            lambda url=url: world.cluster.call("GET", url)[1].get("version") == expected,
        )
        found = world.cluster.call("GET", url)[1]["allowances"]["plans"]["all"]["slots"]
        assert found == accepted[0], f"slots {found} at {entry.name}, accepted {accepted}"


@step("the cluster records the lists version at every entry")
def record_versions(context):
    context.world.watch_versions()


@when("the cluster operator applies lists at {name:Process}")
def apply_lists(context, name):
    world = context.world
    url = f"{world.process(name).url}/v1/lists"

    def accepted():
        # An operator who read an outdated version gets a conflict, reads again and retries.
        base = world.cluster.call("GET", url)[1]["version"]
        status, answer = world.cluster.call("PUT", url, world.lists_body(base, 6000 + base))
        assert status in (200, 409), answer
        context.lists_version = answer.get("version")
        return status == 200

    world.wait(f"lists accepted at {name}", accepted)


@then("the cluster applies these lists at every entry")
def check_lists_applied(context):
    world = context.world
    for entry in world.cluster.entries:
        url = f"{entry.url}/v1/lists"
        world.wait(
            f"version {context.lists_version} at {entry.name}",
            lambda url=url: (
                world.cluster.call("GET", url)[1].get("version") == context.lists_version
            ),
        )


@then("the cluster's lists version never decreased")
def check_versions_never_decreased(context):
    seen = context.world.end_watch()
    for name, versions in seen.items():
        assert versions == sorted(versions), f"{name}: {versions}"
    assert all(seen.values()), seen
