"""Wire protocol between entries and agents: messages as CBOR arrays `[tag, field, ...]`.

Fields are encoded by position. Later protocol versions only append fields to a
message: a missing field takes its default, and additional fields are ignored.
Names of durations end in their unit. A task result item is the list
`[buyer, job_id, index, outcome, value, run_ms]`.
"""

import hashlib
import hmac
from typing import Any

import attrs
import cbor2

MIN_VERSION = 1
MAX_VERSION = 1
MAX_MESSAGE_BYTES = 16 * 1024 * 1024

_CLASS_BY_TAG: dict[int, type] = {}
# What the codec raises for bytes that are no message; a deep nesting exhausts the stack.
_DECODE_ERRORS = (
    cbor2.CBORDecodeError,
    KeyError,
    TypeError,
    ValueError,
    RecursionError,
    OverflowError,
    MemoryError,
)


class WireError(Exception):
    """A received message can't be decoded or is not valid for its receiver."""


def message(tag: int):
    """Return a class decorator that registers a frozen message class under its wire tag."""

    def register(cls: type) -> type:
        message_class = attrs.frozen(cls)
        _CLASS_BY_TAG[tag] = message_class
        message_class.TAG = tag
        message_class.FIELDS = tuple(field.name for field in attrs.fields(message_class))
        return message_class

    return register


# Outcome codes of result items.
DONE = 0  # succeeded; the value is the result
FAILED = 1  # ran and failed; the value is the error text
NOT_STARTED = 2  # certainly not started; the value is the reason
LOST = 3  # may have started, but no result will follow; the value is the reason
EVICTED = 4  # finished, but the result was evicted from memory because of its size

# Values of `Hello.role`.
ROLE_AGENT = "agent"
ROLE_ENTRY = "entry"


@message(1)
class Challenge:
    """First message of the accepting side; the peer proves its knowledge of the shared key."""

    nonce: bytes
    min_version: int
    max_version: int


@message(2)
class Hello:
    """First message of the dialling side, in reply to a `Challenge`.

    `proof` is the HMAC of the nonce. Only agents set `rack` and `listed`; `listed` tells that
    this incarnation is registered in the table.
    """

    role: str
    node_id: str
    incarnation: str
    version: int
    proof: bytes
    data_centre: str
    address: str = ""
    rack: str = ""
    listed: bool = False


@message(3)
class Welcome:
    """Accepting side: the handshake succeeded."""

    node_id: str
    incarnation: str
    version: int


@message(4)
class Rejected:
    """Accepting side: the handshake failed and the connection is closed."""

    reason: str


@message(10)
class EntryHeartbeat:
    """Entry to agent, periodically: the known entries and the state that operators requested.

    `entries` holds `[id, url]` pairs; `desired_state` is started, draining or stopped.
    """

    entries: list
    lists_version: int
    desired_state: str


@message(11)
class Listed:
    """Entry to agent: this incarnation is registered in the table.

    `epochs` holds the epoch of each shard at the time of the registration.
    """

    incarnation: str
    epochs: dict = attrs.Factory(dict)


@message(12)
class Fence:
    """Entry to agent: refuse lower epochs of these shards and send a `FenceReport` for each.

    `epochs` maps each shard to its new epoch.
    """

    epochs: dict


@message(13)
class Start:
    """Entry to agent: start tasks of one job.

    `tasks` holds `[index, kind, payload, run_ms, memory_mb, accelerators]` for each task.
    """

    shard: int
    epoch: int
    incarnation: str
    buyer: str
    job_id: str
    digest: bytes
    task_count: int
    tasks: list


@message(14)
class Cancel:
    """Entry to agent: drop the unstarted tasks of jobs `[[buyer, job_id], ...]`.

    With `stop_running` the running tasks are stopped as well.
    """

    jobs: list
    stop_running: bool


@message(15)
class FetchResults:
    """Entry to agent: resend the results of a job's finished tasks."""

    buyer: str
    job_id: str


@message(16)
class Recall:
    """Entry to agent: return all tasks that have not started."""

    reason: str


@message(20)
class AgentStatus:
    """Agent to entry, periodically and on change: state, load and capacity of the agent."""

    slots: int
    running: int
    queued: int
    ready: bool
    draining: bool
    listed: bool
    memory_mb: int
    accelerators: int
    labels: list
    lists_version: int
    runner_id: str = ""


@message(21)
class FenceReport:
    """Agent to entry: the jobs of a shard, `[[buyer, job_id, digest, count, started, finished]]`.

    `started` and `finished` are bit sets of task indices, encoded as integers. A long report
    is split into several messages; `last` marks the final one.
    """

    shard: int
    epoch: int
    incarnation: str
    jobs: list
    last: bool


@message(22)
class Results:
    """Agent to entry: task result items, and the agent's load once they are counted."""

    items: list
    running: int
    queued: int


@message(23)
class StartRefused:
    """Agent to entry: a `Start` message was refused; none of its tasks will be started by it."""

    shard: int
    epoch: int
    buyer: str
    job_id: str
    indices: list
    reason: str
    seen_epoch: int


@message(25)
class AgentStopped:
    """Agent to entry, last message: this incarnation will not start any more tasks.

    `latest_id_ms` is the latest timestamp in the ids of the jobs that it has started, in ms
    since the Unix epoch; 1 if there were none.
    """

    incarnation: str
    latest_id_ms: int


@message(24)
class Cancelled:
    """Agent to entry: the unstarted tasks that were dropped for a `Cancel`.

    `jobs` holds `[buyer, job_id, [index, ...]]` for each job.
    """

    jobs: list


@message(30)
class Submit:
    """Entry to owner: a validated job submission; `tasks` as in `Start`."""

    request_id: int
    buyer: str
    job_id: str
    deadline_left_ms: int
    tasks: list
    wait: bool


@message(31)
class OperationRequest:
    """Entry to entry: an operation on a job, or the peer's lists.

    `operation` is status, answer, explain or cancel (sent to the job's owner), or lists.
    """

    request_id: int
    operation: str
    buyer: str
    job_id: str
    wait_ms: int = 0


@message(32)
class PromiseRequest:
    """Owner to peer: asks it to promise not to take over from this owner for the duration."""

    request_id: int
    owner_id: str
    owner_incarnation: str
    duration_ms: int
    # A promise made by another incarnation of the peer would be missed by the `PromiseQuery`
    # of an entry that wants to take over.
    peer_incarnation: str


@message(33)
class PromiseQuery:
    """Sent to a peer before a takeover: asks how long its promise still protects this owner."""

    request_id: int
    owner_id: str
    owner_incarnation: str
    peer_incarnation: str


@message(34)
class Reply:
    """Response to a request of another entry; `error` is empty or `[kind, error body]`."""

    request_id: int
    body: Any
    error: list


@message(35)
class Ping:
    """Heartbeat between entries, answered by a `Reply` with the peer's lists version.

    `shards_released` tells the peer that the sender has released its shards.
    """

    request_id: int
    lists_version: int
    shards_released: bool = False


def encode(message: Any) -> bytes:
    """Encode a message as CBOR."""
    return cbor2.dumps([message.TAG, *[getattr(message, name) for name in message.FIELDS]])


def decode(data: bytes) -> Any:
    """Decode one message; raise `WireError` if `data` is not a valid message."""
    try:
        return _decode_array(cbor2.loads(data))
    except _DECODE_ERRORS as error:
        raise WireError(f"{len(data)} bytes are not a known message: {error}") from error


def encode_batch(messages: list[Any]) -> bytes:
    """Encode several messages as one frame."""
    arrays = [
        [message.TAG, *[getattr(message, name) for name in message.FIELDS]] for message in messages
    ]
    return cbor2.dumps(arrays)


def decode_batch(data: bytes) -> list[Any]:
    """Decode a frame of `encode_batch`; raise `WireError` if it is not valid."""
    try:
        return [_decode_array(array) for array in cbor2.loads(data)]
    except _DECODE_ERRORS as error:
        raise WireError(f"{len(data)} bytes are not a batch of messages: {error}") from error


def _decode_array(array: list) -> Any:
    tag, *values = array
    message_class = _CLASS_BY_TAG[tag]
    return message_class(*values[: len(message_class.FIELDS)])


def compute_proof(key: str, nonce: bytes) -> bytes:
    """Return the HMAC that proves knowledge of the shared key to the sender of the nonce."""
    return hmac.digest(key.encode(), nonce, hashlib.sha256)


def verify_proof(keys: list[str], nonce: bytes, proof: bytes) -> bool:
    """Return whether the proof matches an accepted key; compares in constant time."""
    matches = [hmac.compare_digest(compute_proof(key, nonce), proof) for key in keys]
    return any(matches)
