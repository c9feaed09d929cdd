"""Steps that run the random schedules in a subprocess.

The order of sets of strings depends on PYTHONHASHSEED, which can be set only for a new process.
"""

import json
import os
import pathlib
import subprocess
import sys

from behave import then, when

SCRIPT = pathlib.Path(__file__).parent.parent / "schedules.py"
TIMEOUT_SECONDS = 300.0
RULE_FIELD_BY_NAME = {
    "listing an agent's incarnation before its first use": "list_agents",
    "adding the clock skew to the job id horizon": "horizon_skew",
    "querying every peer of the owner for its promise": "ask_every_peer",
    "checking the lease and the epoch before a start": "check_starts",
    "raising the epoch after shards were relinquished": "raise_epoch",
}


def run_schedules(context, rule):
    finished = subprocess.run(
        [sys.executable, str(SCRIPT), rule],
        env=os.environ | {"PYTHONHASHSEED": "0"},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
        check=False,
    )
    assert finished.returncode == 0, finished.stderr[-3000:]
    context.summary = json.loads(finished.stdout)
    printed = {key: value for key, value in context.summary.items() if key != "schedule"}
    print(f"schedules: {printed}")


@when("the ownership schedules run with all rules enabled")
def run_with_all_rules(context):
    run_schedules(context, "none")


@when("the ownership schedules run with the rule disabled: {rule}")
def run_without_rule(context, rule):
    run_schedules(context, RULE_FIELD_BY_NAME[rule])


@then("the ownership schedules find no violated guarantee")
def check_no_violations(context):
    assert not context.summary["faults"], context.summary
    # Schedules that start or complete too few tasks would not test the guarantees.
    assert context.summary["starts"] > context.summary["schedules"], context.summary
    assert context.summary["complete"] > context.summary["schedules"], context.summary


@then("the ownership schedules find a double start")
def check_double_start(context):
    faults = context.summary["faults"]
    assert any(fault.startswith("started twice") for fault in faults), context.summary
