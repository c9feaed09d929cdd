"""Error kinds and the response to each.

Every refusal or failure that a caller, an operator or another process of the
system can see has one `Kind`. `RESPONSES` maps each kind to its HTTP status, to
whether the job may have run, and to the retry rule. The counter
`daisyfall_refusals_total` has the kind as a label.
"""

import enum

import attrs


class ExecutionStatus(enum.Enum):
    """Whether any task of the job may have run."""

    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"


class Retry(enum.Enum):
    """Whether the caller may retry the request, and with which job id."""

    NEVER = "never"
    SAME_ID = "same id"
    NEW_ID = "new id"


class Kind(enum.Enum):
    """Error kinds, one for each reason for which a request is refused or fails."""

    # Invalid requests.
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    TOO_SLOW = "too_slow"
    INVALID_FIELD = "invalid_field"
    UNAUTHORIZED = "unauthorized"
    NOT_FOUND = "not_found"
    ID_EXPIRED = "id_expired"
    ID_IN_FUTURE = "id_in_future"
    ID_CONFLICT = "id_conflict"
    IMPOSSIBLE = "impossible"
    # Limits and load.
    LIMIT_JOB_SIZE = "limit_job_size"
    LIMIT_DEADLINE = "limit_deadline"
    LIMIT_RATE = "limit_rate"
    LIMIT_IN_FLIGHT = "limit_in_flight"
    LIMIT_CONNECTIONS = "limit_connections"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    # Availability.
    STARTING = "starting"
    STOPPING = "stopping"
    NO_OWNER = "no_owner"
    LISTS_UNAVAILABLE = "lists_unavailable"
    TABLE_UNAVAILABLE = "table_unavailable"
    NO_UPSTREAM = "no_upstream"
    # Outcomes of accepted jobs.
    CANCELLED = "cancelled"
    CANCELLED_RUNNING = "cancelled_running"
    DEADLINE_PASSED = "deadline_passed"
    DEADLINE_PASSED_RUNNING = "deadline_passed_running"
    TASK_FAILED = "task_failed"
    UPSTREAM_LOST = "upstream_lost"
    RESULT_LOST = "result_lost"
    START_UNKNOWN = "start_unknown"
    RETRIES_USED_UP = "retries_used_up"
    RETRIES_USED_UP_RUNNING = "retries_used_up_running"
    OUTCOME_UNKNOWN = "outcome_unknown"
    # Changes by operators.
    VERSION_CONFLICT = "version_conflict"
    LISTS_INVALID = "lists_invalid"
    WRITE_UNKNOWN = "write_unknown"
    # Communication between processes, and internal faults.
    PROTOCOL = "protocol"
    INTERNAL = "internal"


@attrs.frozen
class Response:
    """Response to one error kind; `retry_after_ms` is a hint to the caller, 0 for none."""

    status: int
    run: ExecutionStatus
    retry: Retry
    summary: str
    retry_after_ms: int = 0


_NOT, _MAY = ExecutionStatus.NOT_RUN, ExecutionStatus.MAY_HAVE_RUN

RESPONSES: dict[Kind, Response] = {
    Kind.MALFORMED: Response(400, _NOT, Retry.NEVER, "the body is not a JSON object"),
    Kind.TOO_LARGE: Response(413, _NOT, Retry.NEVER, "the request is larger than the limit"),
    Kind.TOO_SLOW: Response(408, _NOT, Retry.SAME_ID, "the request was sent too slowly"),
    Kind.INVALID_FIELD: Response(400, _NOT, Retry.NEVER, "a field is unknown, missing or wrong"),
    Kind.UNAUTHORIZED: Response(401, _NOT, Retry.NEVER, "unknown buyer or wrong credential"),
    Kind.NOT_FOUND: Response(404, _NOT, Retry.NEVER, "no such job or resource is known"),
    Kind.ID_EXPIRED: Response(
        410, _NOT, Retry.NEW_ID, "the job id is older than the retention time"
    ),
    Kind.ID_IN_FUTURE: Response(400, _NOT, Retry.NEW_ID, "the time in the job id is in the future"),
    Kind.ID_CONFLICT: Response(409, _NOT, Retry.NEW_ID, "the job id was used with other content"),
    Kind.IMPOSSIBLE: Response(
        422, _NOT, Retry.NEVER, "no upstream could ever run a task of the job"
    ),
    Kind.LIMIT_JOB_SIZE: Response(422, _NOT, Retry.NEVER, "the job has more tasks than the plan"),
    Kind.LIMIT_DEADLINE: Response(422, _NOT, Retry.NEVER, "the deadline is beyond the plan's"),
    Kind.LIMIT_RATE: Response(429, _NOT, Retry.SAME_ID, "the plan's task starts are used up", 250),
    Kind.LIMIT_IN_FLIGHT: Response(429, _NOT, Retry.SAME_ID, "too many tasks are in flight", 250),
    Kind.LIMIT_CONNECTIONS: Response(429, _NOT, Retry.SAME_ID, "too many open requests", 100),
    Kind.QUEUE_FULL: Response(503, _NOT, Retry.SAME_ID, "the queue is full", 500),
    Kind.DEADLINE_UNREACHABLE: Response(
        503, _NOT, Retry.NEW_ID, "the job can't meet its deadline under the present load", 500
    ),
    Kind.STARTING: Response(503, _NOT, Retry.SAME_ID, "the process is starting", 500),
    Kind.STOPPING: Response(503, _NOT, Retry.SAME_ID, "the process is stopping", 100),
    Kind.NO_OWNER: Response(503, _NOT, Retry.SAME_ID, "no entry owns the buyer's jobs now", 500),
    Kind.LISTS_UNAVAILABLE: Response(503, _NOT, Retry.SAME_ID, "no lists are known yet", 1000),
    Kind.TABLE_UNAVAILABLE: Response(503, _NOT, Retry.SAME_ID, "the table can't be reached", 1000),
    Kind.NO_UPSTREAM: Response(503, _NOT, Retry.SAME_ID, "no upstream takes work now", 500),
    Kind.CANCELLED: Response(410, _NOT, Retry.NEW_ID, "the job was cancelled before any start"),
    Kind.CANCELLED_RUNNING: Response(
        410, _MAY, Retry.NEW_ID, "the job was cancelled after a start"
    ),
    Kind.DEADLINE_PASSED: Response(504, _NOT, Retry.NEW_ID, "the deadline passed before any start"),
    Kind.DEADLINE_PASSED_RUNNING: Response(
        504, _MAY, Retry.NEVER, "the deadline passed after a task had started"
    ),
    Kind.TASK_FAILED: Response(502, _MAY, Retry.NEW_ID, "a task ran and failed"),
    Kind.UPSTREAM_LOST: Response(502, _MAY, Retry.NEVER, "an upstream was lost with a task on it"),
    Kind.RESULT_LOST: Response(502, _MAY, Retry.NEVER, "a task finished but its result is gone"),
    Kind.START_UNKNOWN: Response(
        502,
        _MAY,
        Retry.SAME_ID,
        "an earlier owner may have started a task at a lost upstream",
        1000,
    ),
    Kind.RETRIES_USED_UP: Response(
        503, _NOT, Retry.SAME_ID, "upstreams refused a task and the retry budget is used up", 1000
    ),
    Kind.RETRIES_USED_UP_RUNNING: Response(
        502, _MAY, Retry.NEVER, "upstreams refused a task after another one had started"
    ),
    Kind.OUTCOME_UNKNOWN: Response(
        504, _MAY, Retry.SAME_ID, "the owning entry was lost before it answered", 500
    ),
    Kind.VERSION_CONFLICT: Response(409, _NOT, Retry.NEVER, "another edit was accepted first"),
    Kind.LISTS_INVALID: Response(422, _NOT, Retry.NEVER, "the lists break a rule"),
    Kind.WRITE_UNKNOWN: Response(
        504, _MAY, Retry.SAME_ID, "the table did not say whether the write took effect", 1000
    ),
    Kind.PROTOCOL: Response(400, _NOT, Retry.NEVER, "a message breaks the internal protocol"),
    Kind.INTERNAL: Response(500, _MAY, Retry.SAME_ID, "unexpected internal error"),
}


class DispatchError(Exception):
    """A refusal or failure of one kind.

    For an invalid field, `field` names it, and `value` and `expected` describe the mismatch.
    """

    def __init__(self, kind: Kind, detail: str = "", *, field: str = "", value="", expected=""):
        super().__init__(detail or RESPONSES[kind].summary)
        self.kind = kind
        self.detail = detail or RESPONSES[kind].summary
        self.field = field
        self.value = value
        self.expected = expected

    def as_body(self) -> dict:
        """Return the `error` object of the caller protocol."""
        response = RESPONSES[self.kind]
        body = {
            "kind": self.kind.value,
            "detail": self.detail,
            "run": response.run.value,
            "retry": response.retry.value,
            "retry_after_ms": response.retry_after_ms,
        }
        if self.field:
            body |= {"field": self.field, "value": self.value, "expected": self.expected}
        return body


def invalid_field(field: str, value: object, expected: str) -> DispatchError:
    """Return the error for an invalid field, with its value and the expected one."""
    detail = f"{field} is {value}, expected {expected}"
    return DispatchError(Kind.INVALID_FIELD, detail, field=field, value=value, expected=expected)
