"""Parsing and validation of a job submission, and the digest of its content."""

import hashlib
from typing import Any

import attrs
import cbor2

from daisyfall import _ids, _json, errors
from daisyfall.request import _work

MAX_TASKS = 1900
MAX_DEADLINE_MS = 24 * 3600 * 1000
MAX_KIND_CHARS = 100
# The codec of the messages to agents allows 400 levels, those of the message included.
MAX_PAYLOAD_DEPTH = 200
JOB_FIELDS = {"job_id", "deadline_ms", "tasks"}
TASK_FIELDS = {"kind", "payload", "run_ms", "memory_mb", "accelerators"}
NUMBER_LIMITS = {
    "run_ms": (0, MAX_DEADLINE_MS),
    "memory_mb": (0, 1 << 24),
    "accelerators": (0, 1024),
}


@attrs.frozen(eq=False)
class Submission:
    """One valid submission; `id_time_ms` is the time in the job id (Unix epoch).

    `digest` covers the tasks, so that a reused id with other content is detected.
    """

    buyer: str
    job_id: str
    id_time_ms: int
    deadline_ms: int
    tasks: list[_work.Task]
    digest: bytes

    @property
    def key(self) -> _work.JobKey:
        """Return the job's key."""
        return (self.buyer, self.job_id)


def parse(buyer: str, body: bytes) -> Submission:
    """Return the submission in a request body; raise `DispatchError` naming the invalid field."""
    try:
        document = _json.loads(body)
    except ValueError as error:
        raise errors.DispatchError(
            errors.Kind.MALFORMED,
            str(error),
            field="body",
            value=body[:40].decode(errors="replace"),
            expected="a JSON object",
        ) from error
    if not isinstance(document, dict):
        raise errors.invalid_field("body", type(document).__name__, "a JSON object")
    _check_keys("", document, JOB_FIELDS, JOB_FIELDS)
    deadline_ms = _integer("deadline_ms", document["deadline_ms"], 1, MAX_DEADLINE_MS)
    tasks = document["tasks"]
    if not isinstance(tasks, list) or not 1 <= len(tasks) <= MAX_TASKS:
        actual = len(tasks) if isinstance(tasks, list) else type(tasks).__name__
        raise errors.invalid_field("tasks", actual, f"a list of 1 to {MAX_TASKS} tasks")
    parsed = [_parse_task(index, task) for index, task in enumerate(tasks)]
    return build(buyer, document["job_id"], deadline_ms, parsed)


def build(buyer: str, job_id: Any, deadline_ms: int, tasks: list[_work.Task]) -> Submission:
    """Return the submission of tasks that are already validated."""
    try:
        id_time_ms = _ids.job_id_time_ms(job_id)
    except (ValueError, TypeError, AttributeError) as error:
        raise errors.invalid_field(
            "job_id", str(job_id), "a UUIDv7 in lower-case canonical form"
        ) from error
    content = cbor2.dumps([task.as_wire() for task in tasks], canonical=True)
    digest = hashlib.blake2b(content, digest_size=16).digest()
    return Submission(buyer, job_id, id_time_ms, deadline_ms, tasks, digest)


def from_wire(buyer: str, job_id: str, deadline_ms: int, items: list) -> Submission:
    """Return the submission in a `Submit` message."""
    return build(buyer, job_id, deadline_ms, [_work.Task(*item) for item in items])


def check_id_time(id_time_ms: int, now_ms: int, retention_ms: int, skew_ms: int) -> None:
    """Raise `DispatchError` for an id older than the retention time or too far in the future."""
    if id_time_ms > now_ms + skew_ms:
        raise errors.DispatchError(
            errors.Kind.ID_IN_FUTURE,
            field="job_id",
            value=id_time_ms,
            expected=f"a time of at most {now_ms + skew_ms} ms",
        )
    if id_time_ms < now_ms - retention_ms:
        raise errors.DispatchError(
            errors.Kind.ID_EXPIRED,
            field="job_id",
            value=id_time_ms,
            expected=f"a time of at least {now_ms - retention_ms} ms",
        )


def _parse_task(index: int, task: Any) -> _work.Task:
    path = f"tasks[{index}]"
    if not isinstance(task, dict):
        raise errors.invalid_field(path, type(task).__name__, "an object")
    _check_keys(path + ".", task, {"kind", "payload"}, TASK_FIELDS)
    kind = task["kind"]
    if not isinstance(kind, str) or not 0 < len(kind) <= MAX_KIND_CHARS:
        raise errors.invalid_field(
            f"{path}.kind", str(kind)[:40], f"a string of 1 to {MAX_KIND_CHARS}"
        )
    numbers = [
        _integer(f"{path}.{field}", task.get(field, 0), low, high)
        for field, (low, high) in NUMBER_LIMITS.items()
    ]
    if _depth(task["payload"]) > MAX_PAYLOAD_DEPTH:
        raise errors.invalid_field(
            f"{path}.payload", "nested too deeply", f"at most {MAX_PAYLOAD_DEPTH} levels"
        )
    return _work.Task(index, kind, task["payload"], *numbers)


def _depth(document: Any) -> int:
    """Return how many levels of lists and objects a document has."""
    depth, level = 0, [document]
    while level := [each for each in level if isinstance(each, list | dict)]:
        depth += 1
        level = [
            item for each in level for item in (each.values() if isinstance(each, dict) else each)
        ]
    return depth


def _check_keys(prefix: str, mapping: dict, required: set[str], known: set[str]) -> None:
    if not mapping.keys() <= known:
        unknown = min(mapping.keys() - known)
        raise errors.invalid_field(prefix + unknown, "present", f"only {', '.join(sorted(known))}")
    if not required <= mapping.keys():
        missing = min(required - mapping.keys())
        raise errors.invalid_field(prefix + missing, "missing", "a value")


def _integer(field: str, value: Any, low: int, high: int) -> int:
    if type(value) is not int or not low <= value <= high:
        raise errors.invalid_field(field, str(value)[:40], f"an integer from {low} to {high}")
    return value
