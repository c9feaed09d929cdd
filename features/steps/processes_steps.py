"""Steps for the library that runs daemons and stand-ins as processes."""

import pathlib
import subprocess
import sys
import tempfile

import yaml
from behave import given, then, when

from daisyfall.process import _settings_load
from daisyfall_standins import cluster, processes


@given("the fleet runs a table and two runners")
def start_fleet(context):
    context.fleet = processes.Fleet()
    context.add_cleanup(context.fleet.stop_all)
    context.fleet.start_table()
    context.fleet_runner = context.fleet.start_runner("runner-1", "")
    context.fleet.start_runner("runner-2", "")
    context.fleet.wait_ready()


@when("the fleet's first runner is {state:w}")
def change_state(context, state):
    process = context.fleet_runner
    assert process.usage().rss_mb > 1, process.usage()
    match state:
        case "paused":
            process.pause()
        case "killed":
            process.kill()
        case "terminated":
            assert process.terminate() == 0, process.log_tail()


@when("the fleet's first runner starts a task, is killed, restarted and starts the task again")
def start_twice(context):
    process = context.fleet_runner
    task = {"task_id": "roca/1/0", "kind": "load", "payload": {"token": "t", "run_ms": 0}}
    for _ in range(2):
        process.wait_ready()
        status, answer = cluster.call("POST", f"{process.url}/v1/tasks", task)
        assert (status, answer) == (200, {"result": task["payload"]}), answer
        process.kill()
        context.fleet.restart(process)


@then("the fleet counts that task as started twice")
def check_duplicate_start(context):
    stand_ins = context.fleet.process_by_name
    runners = [context.fleet_runner, stand_ins["runner-2"]]
    counts = cluster.Cluster(context.fleet, stand_ins["table"], None, runners=runners).starts()
    assert counts.duplicate_ids == ["roca/1/0", "t"] and counts.total == 2, counts


@when("the fleet ends")
def end_fleet(context):
    context.fleet.stop_all()


@then("no process of the fleet is left")
def check_no_process_left(context):
    processes_left = [
        each.name
        for each in context.fleet.process_by_name.values()
        if each.popen.returncode is None or pathlib.Path(f"/proc/{each.pid}/status").exists()
    ]
    assert not processes_left, processes_left


@then("the fleet reports the log of a daemon with invalid settings")
def check_reported_log(context):
    with processes.Fleet() as fleet:
        process = fleet.start_daemon("entry-1", {"http": {"port": 1}, "role": "cook"})
        try:
            process.wait_ready()
        except processes.ProcessError as error:
            assert "cook" in str(error), error
        else:
            raise AssertionError("a daemon with invalid settings became ready")


@then("the fleet generates settings for an entry and an agent that daisyfalld accepts")
def check_generated_settings(context):
    with processes.Fleet() as fleet, tempfile.TemporaryDirectory() as folder:
        table, objects = fleet.start_table(), fleet.start_object_store()
        entry = fleet.entry_settings("entry-1", table, objects)
        agent = fleet.agent_settings("agent-1", table, objects, entries=["127.0.0.1:7201"])
        for settings in (entry, agent):
            path = pathlib.Path(folder) / "settings.yaml"
            path.write_text(yaml.safe_dump(settings))
            assert _settings_load.load(str(path), []).id == settings["id"]


CHOOSE_PORT = """
import random, sys
from daisyfall_standins import processes
random.seed(7)
print(processes.free_port(), flush=True)
sys.stdin.read()
"""


@when("two processes choose a port in the same order of preference")
def choose_ports(context):
    context.ports = []
    for _ in range(2):
        chooser = subprocess.Popen(
            [sys.executable, "-c", CHOOSE_PORT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        context.add_cleanup(chooser.communicate)
        context.ports.append(int(chooser.stdout.readline()))


@then("their ports differ")
def check_ports(context):
    first, second = context.ports
    assert first != second, context.ports
