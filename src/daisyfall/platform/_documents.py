"""Documents of the platform decoded into own types: the configuration and submitted jobs."""

import json
import math

import attrs

from daisyfall.request import _pool_jobs
from daisyfall.version import _routes

ID_CHARACTERS = 16
MOST_TASKS = 1_900
DEFAULT_BODY_LIMIT_BYTES = 262_144
_HEX = frozenset("0123456789abcdefABCDEF")


class DocumentError(ValueError):
    """A document breaks its format; the text names field, value found and value expected."""


class UnsupportedError(Exception):
    """A job of a kind that is not built yet; the text names it."""


def decode_configuration(document: bytes) -> _routes.Configuration:
    """Decode the operator's configuration; raise `DocumentError`."""
    body = _load(document)
    limits = body.get("Limits") or {}
    return _routes.Configuration(
        version=_whole(body, "Version"),
        routes=tuple(_decode_route(each) for each in _rows(body, "Routes")),
        body_limit_bytes=int(limits.get("MaxBodyBytes") or DEFAULT_BODY_LIMIT_BYTES),
    )


def decode_submission(
    document: bytes, job_id: str, route: _routes.Route, wait_s: float
) -> _pool_jobs.Submission:
    """Decode a submitted job; raise `DocumentError` or `UnsupportedError`."""
    if len(job_id) != ID_CHARACTERS or not _HEX.issuperset(job_id):
        raise DocumentError(f"the id is {job_id[:40]!r}, expected 16 hexadecimal digits")
    body = _load(document)
    payload = body.get("Specification", "")
    if not isinstance(payload, str):
        raise DocumentError(f"Specification is {payload!r}, expected a text")
    _check_supported(body, route)
    rows = _rows(body, "Steps")
    steps = tuple(_decode_step(row, number) for number, row in enumerate(rows))
    tasks = sum(each.count for each in steps)
    if not 1 <= tasks <= MOST_TASKS:
        raise DocumentError(f"the job has {tasks} tasks, expected 1 to {MOST_TASKS}")
    return _pool_jobs.Submission(job_id, route, payload, steps, wait_s)


def _check_supported(body: dict, route: _routes.Route) -> None:
    # A job that has to be stored outlives its request; only jobs answered at their end are built.
    if not body.get("BestEffort"):
        raise UnsupportedError("stored jobs")
    for name in ("LongRunning", "Repetitions"):
        if body.get(name):
            raise UnsupportedError(name)
    if route.needs_advice:
        raise UnsupportedError("queues with advice")


def _decode_step(row: object, number: int) -> _pool_jobs.Step:
    if not isinstance(row, dict):
        raise DocumentError(f"step {number} is {row!r}, expected an object")
    for name in ("Gang", "SameRack", "Fills", "LongRunning", "MayMiss"):
        if row.get(name):
            raise UnsupportedError(name)
    after = row.get("After") or []
    # Steps may only follow earlier ones, so that their order has no cycle.
    if not isinstance(after, list) or not all(
        isinstance(each, int) and 0 <= each < number for each in after
    ):
        raise DocumentError(f"After of step {number} is {after!r}, expected earlier steps")
    return _pool_jobs.Step(
        count=_whole(row, "Count", 1),
        cpu=_whole(row, "Cpu", 0),
        memory_mb=_whole(row, "MemMb", 0),
        accelerators=_whole(row, "Gpu", 0),
        estimated_ms=_number(row, "EstimatedMs", 0.0),
        after=tuple(after),
        label=_text(row, "Requirements"),
        preferred_rack=_text(row, "Affinity"),
        max_per_runner=_whole(row, "AntiAffinity", 0),
    )


def _decode_route(row: object) -> _routes.Route:
    if not isinstance(row, dict):
        raise DocumentError(f"a route is {row!r}, expected an object")
    return _routes.Route(
        name=_text(row, "Name"),
        host=_text(row, "Host"),
        prefix=_text(row, "PathPrefix"),
        # The service names the pool of runners.
        pool=_text(row, "Service"),
        priority=_whole(row, "Priority", 0),
        attempts=max(1, _whole(row, "MaxAttempts", 1)),
        stretch=max(1.0, _number(row, "Stretch", 1.0)),
        objective_ms=_number(row, "TargetLatencyMs", 0.0),
        timeout_ms=_number(row, "TimeoutMs", 0.0),
        needs_advice=bool(row.get("Advice")),
    )


def _load(document: bytes) -> dict:
    try:
        body = json.loads(document)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f"the body is not JSON: {error}") from error
    if not isinstance(body, dict):
        raise DocumentError(f"the body is a {type(body).__name__}, expected an object")
    return body


def _rows(body: dict, name: str) -> list:
    rows = body.get(name)
    if not isinstance(rows, list):
        raise DocumentError(f"{name} is {rows!r}, expected a list")
    return rows


def _whole(body: dict, name: str, default: int | None = None) -> int:
    value = body.get(name, default)
    if value is None:
        value = default
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise DocumentError(f"{name} is {value!r}, expected a whole number of 0 or more")
    return value


def _number(body: dict, name: str, default: float) -> float:
    value = body.get(name)
    if value is None:
        return default
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value) or value < 0:
        raise DocumentError(f"{name} is {value!r}, expected a number of 0 or more")
    return float(value)


def _text(body: dict, name: str) -> str:
    value = body.get(name)
    if value is None:
        return ""
    if not isinstance(value, str):
        raise DocumentError(f"{name} is {value!r}, expected a text")
    return value


@attrs.frozen
class NodeRow:
    """Row of a process in the table of nodes."""

    role: str
    address: str

    def encode(self) -> bytes:
        """Return the row's value."""
        return json.dumps({"role": self.role, "address": self.address}).encode()

    @staticmethod
    def decode(value: bytes) -> "NodeRow | None":
        """Return the row, None if it is not one."""
        try:
            body = json.loads(value)
            return NodeRow(str(body["role"]), str(body["address"]))
        except (ValueError, KeyError, TypeError):
            return None
