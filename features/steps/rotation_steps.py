"""Steps for the readiness of a scheduling entry whose processor is saturated."""

from behave import given, then, when

from daisyfall.policy import _rotation
from daisyfall.process import _pool_entry


@given("an entry that {role}")
def make_rotation(context, role):
    context.now = 100.0
    context.rotation = _rotation.Rotation(context.now)
    context.may_leave = role == "schedules"


@when("its event loop lags by {lags}")
def observe_lags(context, lags):
    context.states = []
    for text in lags.split(", "):
        lag_ms, _, _, seconds, _ = text.split()
        for _ in range(round(float(seconds) / _pool_entry.TICK_S)):
            context.now += _pool_entry.TICK_S
            lag_s = float(lag_ms) / 1000
            context.rotation.observe(context.now, lag_s, may_leave=context.may_leave)
        context.states.append("yes" if context.rotation.is_in else "no")


@then("it is in the rotation: {states}")
def check_states(context, states):
    assert context.states == states.split(), context.states
