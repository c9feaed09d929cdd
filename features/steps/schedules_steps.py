"""Steps that run the random schedules in a process of their own.

The order of sets of strings depends on PYTHONHASHSEED, which only a new process can set.
"""

import json
import os
import pathlib
import subprocess
import sys

from behave import then, when

SCRIPT = pathlib.Path(__file__).parent.parent / "schedules.py"
LIMIT_SECONDS = 300.0
FIELD_BY_RULE = {
    "listing agents before their first use": "list_agents",
    "clock skew in the id horizon": "horizon_skew",
    "asking every peer of the owner": "ask_every_peer",
    "checking the lease and the epoch of a start": "check_starts",
    "a higher epoch after shards were given up": "raise_epoch",
}


def search(context, rule):
    finished = subprocess.run(
        [sys.executable, str(SCRIPT), rule],
        env=os.environ | {"PYTHONHASHSEED": "0"},
        capture_output=True,
        text=True,
        timeout=LIMIT_SECONDS,
        check=False,
    )
    assert finished.returncode == 0, finished.stderr[-3000:]
    context.found = json.loads(finished.stdout)
    shown = {key: value for key, value in context.found.items() if key != "schedule"}
    print(f"schedules: {shown}")


@when("the ownership schedules run with every rule in force")
def search_all(context):
    search(context, "none")


@when("the ownership schedules run without the rule on {rule}")
def search_without(context, rule):
    search(context, FIELD_BY_RULE[rule])


@then("the ownership schedules find no fault")
def check_none(context):
    assert not context.found["faults"], context.found
    # Schedules that start or complete nothing would prove nothing.
    assert context.found["starts"] > context.found["schedules"], context.found
    assert context.found["complete"] > context.found["schedules"], context.found


@then("the ownership schedules find a double start")
def check_found(context):
    faults = context.found["faults"]
    assert any(fault.startswith("started twice") for fault in faults), context.found
