"""Messages between the system's own processes, as CBOR arrays `[tag, field, ...]`.

A later protocol version adds fields only at the end of a message: a field that
is missing takes its default, one that is not known is ignored. Durations carry
their unit in the field name. A task result item is the list
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

_BY_TAG: dict[int, type] = {}


class WireError(Exception):
    """A message that can't be decoded."""


def message(tag: int):
    """Return a class decorator that makes a frozen message with this tag."""

    def register(cls: type) -> type:
        frozen = attrs.frozen(cls)
        _BY_TAG[tag] = frozen
        frozen.TAG = tag
        frozen.FIELDS = tuple(field.name for field in attrs.fields(frozen))
        return frozen

    return register


# Outcomes of one task, as they stand in result items.
DONE = 0  # ran; the value is the result
FAILED = 1  # ran and failed; the value is the error text
NOT_STARTED = 2  # provably did not start; the value is the reason
LOST = 3  # may have started, no result will come; the value is the reason
EVICTED = 4  # finished, but the result was dropped for its size

# Roles in a Hello.
ROLE_AGENT = "agent"
ROLE_ENTRY = "entry"


@message(1)
class Challenge:
    """First message of the accepting side; the peer proves that it holds the shared key."""

    nonce: bytes
    min_version: int
    max_version: int


@message(2)
class Hello:
    """First message of the dialling side; the last fields describe an agent's upstream."""

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
    """The connection is accepted."""

    node_id: str
    incarnation: str
    version: int


@message(4)
class Rejected:
    """The connection is refused and closed."""

    reason: str


@message(10)
class EntryHeartbeat:
    """Entry to agent, every heartbeat: the entries `[[id, url], ...]` and the operators' wish."""

    entries: list
    lists_version: int
    desired_state: str


@message(11)
class Listed:
    """Entry to agent: the table lists this incarnation; `epochs` is by shard, at that time."""

    incarnation: str
    epochs: dict = attrs.Factory(dict)


@message(12)
class Fence:
    """Entry to agent: refuse lower epochs of these shards and report; `epochs` is by shard."""

    epochs: dict


@message(13)
class Start:
    """Entry to agent: start tasks of one job.

    `tasks` holds `[index, kind, payload, run_ms, memory_mb, accelerators]` each.
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
    """Entry to agent: drop what has not started of jobs `[[buyer, job_id], ...]`."""

    jobs: list
    stop_running: bool


@message(15)
class FetchResults:
    """Entry to agent: send the finished results of a job again."""

    buyer: str
    job_id: str


@message(16)
class Recall:
    """Entry to agent: hand back everything that has not started."""

    reason: str


@message(20)
class AgentStatus:
    """Agent to entry, every heartbeat and on change."""

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

    `started` and `finished` are integers with one bit for each task index; `last`
    ends the report.
    """

    shard: int
    epoch: int
    incarnation: str
    jobs: list
    last: bool


@message(22)
class Results:
    """Agent to entry: task result items, with the agent's load after them."""

    items: list
    running: int
    queued: int


@message(23)
class StartRefused:
    """Agent to entry: nothing of this start message was or will be started."""

    shard: int
    epoch: int
    buyer: str
    job_id: str
    indices: list
    reason: str
    seen_epoch: int


@message(25)
class AgentStopped:
    """Agent to entry, last message: this incarnation starts nothing any more.

    `latest_id_ms` is the latest time in the ids of the jobs that it has started, in ms since
    the Unix epoch; 1 if there were none.
    """

    incarnation: str
    latest_id_ms: int


@message(24)
class Cancelled:
    """Agent to entry: what had not started, `[[buyer, job_id, [index, ...]], ...]`."""

    jobs: list


@message(30)
class Submit:
    """Entry to owner: a submission that was checked; `tasks` as in `Start`."""

    request: int
    buyer: str
    job_id: str
    deadline_left_ms: int
    tasks: list
    wait: bool


@message(31)
class OperationRequest:
    """Entry to owner: `operation` is status, answer, explain or cancel."""

    request: int
    operation: str
    buyer: str
    job_id: str
    wait_ms: int = 0


@message(32)
class PromiseRequest:
    """Owner to peer: promise not to take over from this owner for the duration."""

    request: int
    owner_id: str
    owner_incarnation: str
    duration_ms: int
    peer_incarnation: str  # a promise of another incarnation would not be known to a taker


@message(33)
class PromiseQuery:
    """Taker to peer: ask how long a promise of the peer still covers this owner."""

    request: int
    owner_id: str
    owner_incarnation: str
    peer_incarnation: str


@message(34)
class Reply:
    """Answer to a request of a peer; `error` holds `[kind, detail]` or nothing."""

    request: int
    body: Any
    error: list


@message(35)
class Ping:
    """Heartbeat between entries; the answer is a `Reply` with the peer's lists version."""

    request: int
    lists_version: int
    shards_released: bool = False


def encode(message: Any) -> bytes:
    """Return the CBOR form of a message."""
    return cbor2.dumps([message.TAG, *[getattr(message, name) for name in message.FIELDS]])


def decode(data: bytes) -> Any:
    """Return the message in `data`; raise `WireError` if it is not one."""
    try:
        return _build(cbor2.loads(data))
    except (cbor2.CBORDecodeError, KeyError, TypeError, ValueError) as error:
        raise WireError(f"{len(data)} bytes are not a known message: {error}") from error


def encode_batch(messages: list[Any]) -> bytes:
    """Return one frame that holds several messages."""
    rows = [[each.TAG, *[getattr(each, name) for name in each.FIELDS]] for each in messages]
    return cbor2.dumps(rows)


def decode_batch(data: bytes) -> list[Any]:
    """Return the messages of a frame made by `encode_batch`; raise `WireError` if it is none."""
    try:
        return [_build(row) for row in cbor2.loads(data)]
    except (cbor2.CBORDecodeError, KeyError, TypeError, ValueError) as error:
        raise WireError(f"{len(data)} bytes are not a batch of messages: {error}") from error


def _build(row: list) -> Any:
    tag, *values = row
    cls = _BY_TAG[tag]
    return cls(*values[: len(cls.FIELDS)])


def prove(key: str, nonce: bytes) -> bytes:
    """Return the proof of the shared key for a challenge."""
    return hmac.digest(key.encode(), nonce, hashlib.sha256)


def verify(keys: list[str], nonce: bytes, proof: bytes) -> bool:
    """Tell whether the proof matches one of the accepted keys, in constant time for each."""
    matches = [hmac.compare_digest(prove(key, nonce), proof) for key in keys]
    return any(matches)
