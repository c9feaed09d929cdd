"""Steps for the verdict of a test run."""

from behave import given, then, use_step_matcher, when

from daisyfall_standins import verdict

use_step_matcher("re")


@given(r'the scenarios ended as "(?P<statuses>[^"]*)"')
def set_statuses(context, statuses):
    context.statuses = dict(each.split(":") for each in statuses.split())


@when(r'the verdict has "(?P<red>[^"]*)" as known failures and "(?P<flaky>[^"]*)" as flaky')
def evaluate(context, red, flaky):
    context.judged = verdict.evaluate(context.statuses, red.split(), flaky.split())


@then(r'the verdict\'s problems are "(?P<problems>[^"]*)"')
def check_problems(context, problems):
    assert context.judged[1] == ([problems] if problems else []), context.judged


use_step_matcher("parse")
