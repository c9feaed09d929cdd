"""Validation of both lists together, before either is accepted."""

import hashlib
import json

import attrs

from daisyfall import _validation, errors
from daisyfall.version import _lists


@attrs.frozen
class _PlannedBuyer:
    """One buyer in the plans document, where its name is the key."""

    plan: _lists.Name
    salt: _lists.Salt
    token_hash: _lists.Digest


@attrs.frozen
class _Plans:
    """The plans document: `{"buyers": {name: {plan, salt, token_hash}}}`."""

    buyers: dict[_lists.Name, _PlannedBuyer]


@attrs.frozen
class _Allowances:
    """The allowances document: `{"plans": {name: {starts_per_second, ...}}}`."""

    plans: dict[_lists.Name, _lists.Allowance]


def build(version: int, plans: dict, allowances: dict) -> _lists.Lists:
    """Return the validated lists; raise `DispatchError` (`lists_invalid`) with all problems.

    The error's value contains each problem as `{"path", "value", "expected"}`.
    """
    parsed_plans, plan_problems = _validation.structure(_Plans, plans)
    parsed_allowances, allowance_problems = _validation.structure(_Allowances, allowances)
    problems = [_qualified(problem, "plans") for problem in plan_problems]
    problems += [_qualified(problem, "allowances") for problem in allowance_problems]
    problems += _cross_check(plans, allowances)
    if problems:
        raise _invalid_lists_error(problems)
    buyer_by_name = {
        name: _lists.Buyer(name, buyer.plan, buyer.salt, buyer.token_hash)
        for name, buyer in parsed_plans.buyers.items()
    }
    return _lists.Lists(version, digest(plans, allowances), buyer_by_name, parsed_allowances.plans)


def digest(plans: dict, allowances: dict) -> str:
    """Return the hex SHA-256 of the canonical JSON of both documents."""
    document = {"plans": plans, "allowances": allowances}
    text = json.dumps(document, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return hashlib.sha256(text.encode()).hexdigest()


def _qualified(problem: _validation.Problem, name: str) -> _validation.Problem:
    path = name if problem.path == "(document)" else f"{name}.{problem.path}"
    is_secret = problem.path.rpartition(".")[2] in ("salt", "token_hash")
    value = "<redacted>" if is_secret and problem.value != "nothing" else problem.value
    return attrs.evolve(problem, path=path, value=value)


def _dict_at(document: object, key: str) -> dict:
    value = document.get(key) if isinstance(document, dict) else None
    return value if isinstance(value, dict) else {}


def _cross_check(plans: dict, allowances: dict) -> list[_validation.Problem]:
    """Check the rules that involve both documents or several keys, as far as they are readable."""
    known_plans = _dict_at(allowances, "plans")
    problems = []
    for name, buyer in _dict_at(plans, "buyers").items():
        plan = buyer.get("plan") if isinstance(buyer, dict) else None
        if isinstance(plan, str) and plan not in known_plans:
            expected = (
                f"a plan of the allowances: {', '.join(map(str, known_plans)) or 'none is there'}"
            )
            problems.append(_validation.Problem(f"plans.buyers.{name}.plan", repr(plan), expected))
    for name, allowance in known_plans.items():
        if isinstance(allowance, dict):
            problems += _cross_check_plan(f"allowances.plans.{name}", allowance)
    return problems


def _cross_check_plan(path: str, allowance: dict) -> list[_validation.Problem]:
    problems = []
    in_flight, slots = allowance.get("tasks_in_flight"), allowance.get("slots")
    if _is_count(in_flight) and _is_count(slots) and slots > in_flight:
        problems.append(
            _validation.Problem(
                f"{path}.slots", str(slots), f"at most tasks_in_flight ({in_flight})"
            )
        )
    largest_job = allowance.get("largest_job_tasks")
    # A job with more tasks than may be in flight could never be admitted.
    if _is_count(in_flight) and _is_count(largest_job) and largest_job > in_flight:
        expected = f"at most tasks_in_flight ({in_flight})"
        problems.append(
            _validation.Problem(f"{path}.largest_job_tasks", str(largest_job), expected)
        )
    for key in ("data_centres", "upstream_labels"):
        names = allowance.get(key)
        if isinstance(names, list) and len({str(name) for name in names}) < len(names):
            problem = _validation.Problem(
                f"{path}.{key}", _validation.format_value(names), "each name once"
            )
            problems.append(problem)
    return problems


def _is_count(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _invalid_lists_error(problems: list[_validation.Problem]) -> errors.DispatchError:
    first = problems[0]
    more = f" (and {len(problems) - 1} more)" if len(problems) > 1 else ""
    return errors.DispatchError(
        errors.Kind.LISTS_INVALID,
        f"the lists break a rule: {first}{more}",
        field=first.path,
        value=[
            {"path": problem.path, "value": problem.value, "expected": problem.expected}
            for problem in problems
        ],
        expected=first.expected,
    )
