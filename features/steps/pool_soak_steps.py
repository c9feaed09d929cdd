"""Steps for the soak test with faults."""

import json
import subprocess
import sys

from behave import then, when

TIMEOUT_S = 120
STATISTICS = (
    "seed",
    "faults",
    "jobs",
    "complete",
    "refused",
    "failed",
    "run_twice",
    "lost",
    "partial",
    "not_run_but_ran",
    "crashed_many",
    "evacuated_start",
    "slowest_evacuation_s",
    "config_went_back",
    "slowest_recovery_s",
)


@when("the soak test runs seed {seed:d} for {seconds:d} s")
def run_soak(context, seed, seconds):
    command = [sys.executable, "-m", "daisyfall_standins.soak"]
    command += [f"--seed={seed}", f"--seconds={seconds}"]
    context.result = subprocess.run(
        command, capture_output=True, text=True, timeout=TIMEOUT_S, check=False
    )


@when("the soak test is started with {argument}")
def start_soak(context, argument):
    command = [sys.executable, "-m", "daisyfall_standins.soak", argument]
    context.result = subprocess.run(command, capture_output=True, text=True, check=False)


@then("the soak test reports no violated invariant")
def check_invariants(context):
    assert context.result.returncode == 0, context.result.stdout[-3000:] + context.result.stderr


@then("the last line of the soak test contains all statistics")
def check_statistics(context):
    found = json.loads(context.result.stdout.splitlines()[-1])
    assert set(STATISTICS) <= set(found), found
    assert found["faults"] > 0 and found["complete"] > 0, found
