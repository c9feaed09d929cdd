"""Steps for takeovers from the scheduling entry."""

import asyncio

from behave import then, when

from daisyfall_standins import takeover


@when("the takeover tool injects each fault into the scheduling entry {rounds:d} time")
def run_takeovers(context, rounds):
    context.takeovers = asyncio.run(takeover.run(rounds))


@then("every takeover took at most {max_ms:d} ms, and the median at most {max_median_ms:d} ms")
def check_durations(context, max_ms, max_median_ms):
    found = context.takeovers
    assert found["takeovers"] == 2 * len(takeover.FAULTS), found
    assert found["without_a_start"] == 0, found
    assert found["slowest_ms"] <= max_ms, found
    assert found["median_ms"] <= max_median_ms, found


@then("no task had two concurrent runs during the takeovers")
def check_concurrent_runs(context):
    assert context.takeovers["run_twice"] == [], context.takeovers
