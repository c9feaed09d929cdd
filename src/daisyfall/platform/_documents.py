"""Decoding of the platform's documents: configuration and submitted jobs."""

import math
import reprlib

import orjson

from daisyfall.request import _pool_jobs
from daisyfall.version import _routes

JOB_ID_LENGTH = 16
MAX_TASKS = 1_900
DEFAULT_BODY_LIMIT_BYTES = 262_144
_HEX = frozenset("0123456789abcdefABCDEF")


class DocumentError(ValueError):
    """A document is invalid; the text names the field, its value and the expected one."""


class UnsupportedError(Exception):
    """A job uses a feature that is not implemented; the text names the feature."""


def decode_configuration(document: bytes) -> _routes.Configuration:
    """Decode the operator's configuration; raise `DocumentError`."""
    body = _load(document)
    limits = body.get("Limits") or {}
    if not isinstance(limits, dict):
        raise DocumentError(f"Limits is {reprlib.repr(limits)}, expected an object")
    return _routes.Configuration(
        version=_integer(body, "Version"),
        routes=tuple(_decode_route(row) for row in _list(body, "Routes")),
        body_limit_bytes=_integer(limits, "MaxBodyBytes", 0) or DEFAULT_BODY_LIMIT_BYTES,
    )


def decode_submission(
    document: bytes, job_id: str, route: _routes.Route, wait_s: float
) -> _pool_jobs.Submission:
    """Decode a submitted job; raise `DocumentError` or `UnsupportedError`."""
    if len(job_id) != JOB_ID_LENGTH or not _HEX.issuperset(job_id):
        raise DocumentError(f"the id is {job_id[:40]!r}, expected 16 hexadecimal digits")
    body = _load(document)
    payload = body.get("Specification", "")
    if not isinstance(payload, str):
        raise DocumentError(f"Specification is {reprlib.repr(payload)}, expected a text")
    _check_supported(body, route)
    rows = _list(body, "Steps")
    steps = tuple(_decode_step(row, number) for number, row in enumerate(rows))
    tasks = sum(step.count for step in steps)
    if not 1 <= tasks <= MAX_TASKS:
        raise DocumentError(f"the job has {tasks} tasks, expected 1 to {MAX_TASKS}")
    return _pool_jobs.Submission(job_id, route, payload, steps, wait_s)


def _check_supported(body: dict, route: _routes.Route) -> None:
    # Other jobs have to be stored, since they outlive their request. Only jobs whose request is
    # answered at their end are implemented.
    if not body.get("BestEffort"):
        raise UnsupportedError("stored jobs")
    for name in ("LongRunning", "Repetitions"):
        if body.get(name):
            raise UnsupportedError(name)
    if route.needs_advice:
        raise UnsupportedError("queues with advice")


def _decode_step(row: object, number: int) -> _pool_jobs.Step:
    if not isinstance(row, dict):
        raise DocumentError(f"step {number} is {reprlib.repr(row)}, expected an object")
    for name in ("Gang", "SameRack", "Fills", "LongRunning", "MayMiss"):
        if row.get(name):
            raise UnsupportedError(name)
    after = row.get("After") or []
    # Dependencies on earlier steps only, so that there can't be a cycle.
    if not isinstance(after, list) or not all(
        isinstance(index, int) and 0 <= index < number for index in after
    ):
        raise DocumentError(
            f"After of step {number} is {reprlib.repr(after)}, expected earlier steps"
        )
    return _pool_jobs.Step(
        count=_integer(row, "Count", 1),
        cpu=_integer(row, "Cpu", 0),
        memory_mb=_integer(row, "MemMb", 0),
        accelerators=_integer(row, "Gpu", 0),
        estimated_ms=_number(row, "EstimatedMs", 0.0),
        after=tuple(after),
        label=_string(row, "Requirements"),
        preferred_rack=_string(row, "Affinity"),
        max_per_runner=_integer(row, "AntiAffinity", 0),
    )


def _decode_route(row: object) -> _routes.Route:
    if not isinstance(row, dict):
        raise DocumentError(f"a route is {reprlib.repr(row)}, expected an object")
    return _routes.Route(
        name=_string(row, "Name"),
        host=_string(row, "Host"),
        prefix=_string(row, "PathPrefix"),
        # A service is served by the runner pool of the same name.
        pool=_string(row, "Service"),
        priority=_integer(row, "Priority", 0),
        max_attempts=max(1, _integer(row, "MaxAttempts", 1)),
        stretch=max(1.0, _number(row, "Stretch", 1.0)),
        target_latency_ms=_number(row, "TargetLatencyMs", 0.0),
        timeout_ms=_number(row, "TimeoutMs", 0.0),
        needs_advice=bool(row.get("Advice")),
    )


def _load(document: bytes) -> dict:
    try:
        body = orjson.loads(document)
    except ValueError as error:
        raise DocumentError(f"the body is not JSON: {error}") from error
    if not isinstance(body, dict):
        raise DocumentError(f"the body is a {type(body).__name__}, expected an object")
    return body


def _list(body: dict, name: str) -> list:
    rows = body.get(name)
    if not isinstance(rows, list):
        raise DocumentError(f"{name} is {reprlib.repr(rows)}, expected a list")
    return rows


def _integer(body: dict, name: str, default: int | None = None) -> int:
    value = body.get(name, default)
    if value is None:
        value = default
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise DocumentError(
            f"{name} is {reprlib.repr(value)}, expected a whole number of 0 or more"
        )
    return value


def _number(body: dict, name: str, default: float) -> float:
    value = body.get(name)
    if value is None:
        return default
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value) or value < 0:
        raise DocumentError(f"{name} is {reprlib.repr(value)}, expected a number of 0 or more")
    return float(value)


def _string(body: dict, name: str) -> str:
    value = body.get(name)
    if value is None:
        return ""
    if not isinstance(value, str):
        raise DocumentError(f"{name} is {reprlib.repr(value)}, expected a text")
    return value
