"""Steps on takeovers from the scheduling entry."""

import asyncio

from behave import then, when

from daisyfall_standins import takeover


@when("the takeover tool plays each fault of the scheduling entry {rounds:d} time")
def play(context, rounds):
    context.takeovers = asyncio.run(takeover.run(rounds))


@then("every takeover took at most {slowest:d} ms, and the median at most {median:d} ms")
def check_silences(context, slowest, median):
    found = context.takeovers
    assert found["takeovers"] == 2 * len(takeover.FAULTS), found
    assert found["without_a_start"] == 0, found
    assert found["slowest_ms"] <= slowest, found
    assert found["median_ms"] <= median, found


@then("no task ran twice at the same time during the takeovers")
def check_twice(context):
    assert context.takeovers["run_twice"] == [], context.takeovers
