"""Steps for the validation, the diff and the tokens of the lists."""

import pathlib
from unittest import mock

import documents
from behave import given, then, when

from daisyfall import _validation, errors
from daisyfall.process import _settings_load
from daisyfall.version import _lists, _lists_check, _lists_diff

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


def build_lists(lists_documents: dict) -> _lists.Lists:
    return _lists_check.build(1, lists_documents["plans"], lists_documents["allowances"])


def find_problems(context) -> list[dict]:
    try:
        build_lists(context.documents)
    except errors.DispatchError as error:
        assert error.kind is errors.Kind.LISTS_INVALID
        return error.value
    raise AssertionError("the lists were accepted")


@given('the lists of the example "{deployment}"')
def read_example(context, deployment):
    folder = EXAMPLES / deployment
    names = ("plans", "allowances")
    context.documents = {name: _validation.read_yaml(folder / f"{name}.yaml") for name in names}
    context.before = context.documents
    context.tokens = _validation.read_yaml(folder / "tokens.yaml")
    context.settings = _settings_load.load(folder / "entry.yaml", [], {})
    build_lists(context.documents)


@when('the lists change "{text}"')
def apply_change(context, text):
    context.documents = documents.change(context.documents, text)


@then('the lists are rejected at "{path}", found "{found}", expected "{expected}"')
def check_rejection(context, path, found, expected):
    matching = [x for x in find_problems(context) if x["path"] == path]
    assert matching, find_problems(context)
    assert found in matching[0]["value"], matching
    assert expected in matching[0]["expected"], matching


@then("the lists are rejected with {count:d} problems")
def check_count(context, count):
    assert len(find_problems(context)) == count, find_problems(context)


def reverse(value: object) -> object:
    if not isinstance(value, dict):
        return value
    return {key: reverse(value[key]) for key in reversed(value)}


@then("the lists with all keys reversed have the same digest")
def check_digest(context):
    assert build_lists(reverse(context.documents)).digest == build_lists(context.documents).digest


@then('the lists have another digest after "{text}"')
def check_other_digest(context, text):
    assert (
        build_lists(documents.change(context.documents, text)).digest
        != build_lists(context.documents).digest
    )


@then('the lists diff is "{line}"')
def check_diff(context, line):
    assert _lists_diff.diff(context.before, context.before) == []
    lines = _lists_diff.diff(context.before, context.documents)
    assert lines == [line], lines


@then("the lists accept each example token for its own buyer")
def check_tokens(context):
    lists = build_lists(context.documents)
    for name, token in context.tokens["buyers"].items():
        # The second call is answered from the cache.
        assert _lists.verify_token(lists, token) is lists.buyer_by_name[name]
        assert _lists.verify_token(lists, token) is lists.buyer_by_name[name]
    assert len(context.tokens["buyers"]) == len(lists.buyer_by_name)


@then("the lists reject each example token with another buyer's name or secret")
def check_other_names(context):
    lists = build_lists(context.documents)
    tokens = context.tokens["buyers"]
    for name in tokens:
        for token in tokens.values():
            secret = token.partition(".")[2]
            if token != tokens[name]:
                assert _lists.verify_token(lists, f"{name}.{secret}") is None
        assert _lists.verify_token(lists, f"{tokens[name]}x") is None


@then("the lists accept the example operator token against the example settings")
def check_operator(context):
    hashes = context.settings.operator_tokens
    for token in context.tokens["operators"].values():
        assert _lists.verify_operator(hashes, token)
        assert not _lists.verify_operator(hashes, f"{token}x")
    assert not _lists.verify_operator(hashes, "")


@then('the lists reject the bearer text "{bearer}"')
def check_bearer_rejected(context, bearer):
    assert _lists.verify_token(build_lists(context.documents), bearer) is None


def count_comparisons(lists: _lists.Lists, bearer: str) -> list:
    """Return the lengths of the operands of each comparison made for a bearer text."""
    compare, lengths = _lists.hmac.compare_digest, []

    def record(found, expected):
        lengths.append((len(found), len(expected)))
        return compare(found, expected)

    with mock.patch.object(_lists.hmac, "compare_digest", record):
        assert _lists.verify_token(lists, bearer) is None
    return lengths


@then('the lists compare as often for "{unknown}" as for "{known}"')
def check_comparisons(context, unknown, known):
    lists = build_lists(context.documents)
    assert count_comparisons(lists, unknown) == count_comparisons(lists, known) == [(64, 64)]


@when('the lists have verified the token of "{name}"')
def verify(context, name):
    assert _lists.verify_token(build_lists(context.documents), context.tokens["buyers"][name])


@then('the lists reject the token of "{name}"')
def check_token_rejected(context, name):
    assert (
        _lists.verify_token(build_lists(context.documents), context.tokens["buyers"][name]) is None
    )


@then("the lists cache nothing after 1000 wrong tokens")
def check_cache(context):
    lists = build_lists(context.documents)
    for number in range(1000):
        assert _lists.verify_token(lists, f"andina-brands.{number}") is None
    assert not lists._buyer_by_token
