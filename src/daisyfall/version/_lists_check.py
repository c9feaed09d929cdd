"""Check of both lists together, before any of it is accepted."""

import hashlib
import json

import attrs

from daisyfall import _validation, errors
from daisyfall.version import _lists


@attrs.frozen
class _PlannedBuyer:
    """One buyer as it stands in the plans; the name is its key."""

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
    """Return the checked lists; raise `DispatchError` (`lists_invalid`) with all problems.

    The error's value holds every problem as `{"path", "value", "expected"}`.
    """
    found_plans, plan_problems = _validation.structure(_Plans, plans)
    found_allowances, allowance_problems = _validation.structure(_Allowances, allowances)
    problems = [_placed(problem, "plans") for problem in plan_problems]
    problems += [_placed(problem, "allowances") for problem in allowance_problems]
    problems += _cross_check(plans, allowances)
    if problems:
        raise _refusal(problems)
    buyer_by_name = {
        name: _lists.Buyer(name, buyer.plan, buyer.salt, buyer.token_hash)
        for name, buyer in found_plans.buyers.items()
    }
    return _lists.Lists(version, digest(plans, allowances), buyer_by_name, found_allowances.plans)


def digest(plans: dict, allowances: dict) -> str:
    """Return the hex SHA-256 over the canonical JSON of both documents."""
    document = {"plans": plans, "allowances": allowances}
    text = json.dumps(document, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return hashlib.sha256(text.encode()).hexdigest()


def _placed(problem: _validation.Problem, name: str) -> _validation.Problem:
    path = name if problem.path == "(document)" else f"{name}.{problem.path}"
    secret = problem.path.rpartition(".")[2] in ("salt", "token_hash")
    value = "<redacted>" if secret and problem.value != "nothing" else problem.value
    return attrs.evolve(problem, path=path, value=value)


def _mapping(document: object, key: str) -> dict:
    found = document.get(key) if isinstance(document, dict) else None
    return found if isinstance(found, dict) else {}


def _cross_check(plans: dict, allowances: dict) -> list[_validation.Problem]:
    """Check what involves both documents, or several keys, on whatever can be read of them."""
    known = _mapping(allowances, "plans")
    problems = []
    for name, buyer in _mapping(plans, "buyers").items():
        plan = buyer.get("plan") if isinstance(buyer, dict) else None
        if isinstance(plan, str) and plan not in known:
            expected = f"a plan of the allowances: {', '.join(map(str, known)) or 'none is there'}"
            problems.append(_validation.Problem(f"plans.buyers.{name}.plan", repr(plan), expected))
    for name, allowance in known.items():
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
    largest = allowance.get("largest_job_tasks")
    # A job that is larger than what may be in flight could never be admitted.
    if _is_count(in_flight) and _is_count(largest) and largest > in_flight:
        expected = f"at most tasks_in_flight ({in_flight})"
        problems.append(_validation.Problem(f"{path}.largest_job_tasks", str(largest), expected))
    for key in ("data_centres", "upstream_labels"):
        names = allowance.get(key)
        if isinstance(names, list) and len({str(each) for each in names}) < len(names):
            problem = _validation.Problem(
                f"{path}.{key}", _validation.format_value(names), "each name once"
            )
            problems.append(problem)
    return problems


def _is_count(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _refusal(problems: list[_validation.Problem]) -> errors.DispatchError:
    first = problems[0]
    more = f" (and {len(problems) - 1} more)" if len(problems) > 1 else ""
    return errors.DispatchError(
        errors.Kind.LISTS_INVALID,
        f"the lists break a rule: {first}{more}",
        field=first.path,
        value=[
            {"path": each.path, "value": each.value, "expected": each.expected} for each in problems
        ],
        expected=first.expected,
    )
