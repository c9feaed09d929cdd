"""Steps for the error kinds and their responses."""

from behave import then

from daisyfall import errors


@then("every error kind has a response with a status between 400 and 599")
def check_statuses(context):
    assert set(errors.RESPONSES) == set(errors.Kind)
    wrong = {k: a.status for k, a in errors.RESPONSES.items() if not 400 <= a.status <= 599}
    assert not wrong, f"statuses outside 400 to 599: {wrong}"


@then("the error kinds of jobs with a started task say may have run")
def check_run_states(context):
    kinds = errors.Kind
    started = [kinds.CANCELLED_RUNNING, kinds.DEADLINE_PASSED_RUNNING, kinds.TASK_FAILED]
    started += [kinds.UPSTREAM_LOST, kinds.RESULT_LOST, kinds.START_UNKNOWN]
    for kind in started:
        assert errors.RESPONSES[kind].run is errors.ExecutionStatus.MAY_HAVE_RUN, kind
