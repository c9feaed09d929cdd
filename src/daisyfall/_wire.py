"""Messages between entries and agents of the product's own interface, encoded by `_codec`.

Names of durations end in their unit. A task result item is the list
`[buyer, job_id, index, outcome, value, run_ms]`.
"""

import hashlib
import hmac
from typing import Any

import attrs

from daisyfall import _codec

MIN_VERSION = 1
MAX_VERSION = 1

# Outcome codes of result items.
DONE = 0  # succeeded; the value is the result
FAILED = 1  # ran and failed; the value is the error text
NOT_STARTED = 2  # certainly not started; the value is the reason
LOST = 3  # may have started, but no result will follow; the value is the reason
EVICTED = 4  # finished, but the result was evicted from memory because of its size

# Values of `Hello.role`.
ROLE_AGENT = "agent"
ROLE_ENTRY = "entry"


@_codec.message(1)
class Challenge:
    """First message of the accepting side; the peer proves its knowledge of the shared key."""

    nonce: bytes
    min_version: int
    max_version: int


@_codec.message(2)
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


@_codec.message(3)
class Welcome:
    """Accepting side: the handshake succeeded."""

    node_id: str
    incarnation: str
    version: int


@_codec.message(4)
class Rejected:
    """Accepting side: the handshake failed and the connection is closed."""

    reason: str


@_codec.message(10)
class EntryHeartbeat:
    """Entry to agent, periodically: the known entries and the state that operators requested.

    `entries` holds `[id, url]` pairs; `desired_state` is started, draining or stopped.
    """

    entries: list
    lists_version: int
    desired_state: str


@_codec.message(11)
class Listed:
    """Entry to agent: this incarnation is registered in the table.

    `epochs` holds the epoch of each shard at the time of the registration.
    """

    incarnation: str
    epochs: dict = attrs.Factory(dict)


@_codec.message(12)
class Fence:
    """Entry to agent: refuse lower epochs of these shards and send a `FenceReport` for each.

    `epochs` maps each shard to its new epoch.
    """

    epochs: dict


@_codec.message(13)
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


@_codec.message(14)
class Cancel:
    """Entry to agent: drop the unstarted tasks of jobs `[[buyer, job_id], ...]`.

    With `stop_running` the running tasks are stopped as well.
    """

    jobs: list
    stop_running: bool


@_codec.message(15)
class FetchResults:
    """Entry to agent: resend the results of a job's finished tasks."""

    buyer: str
    job_id: str


@_codec.message(16)
class Recall:
    """Entry to agent: return all tasks that have not started."""

    reason: str


@_codec.message(20)
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


@_codec.message(21)
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


@_codec.message(22)
class Results:
    """Agent to entry: task result items, and the agent's load once they are counted."""

    items: list
    running: int
    queued: int


@_codec.message(23)
class StartRefused:
    """Agent to entry: a `Start` message was refused; none of its tasks will be started by it."""

    shard: int
    epoch: int
    buyer: str
    job_id: str
    indices: list
    reason: str
    seen_epoch: int


@_codec.message(25)
class AgentStopped:
    """Agent to entry, last message: this incarnation will not start any more tasks.

    `latest_id_ms` is the latest timestamp in the ids of the jobs that it has started, in ms
    since the Unix epoch; 1 if there were none.
    """

    incarnation: str
    latest_id_ms: int


@_codec.message(24)
class Cancelled:
    """Agent to entry: the unstarted tasks that were dropped for a `Cancel`.

    `jobs` holds `[buyer, job_id, [index, ...]]` for each job.
    """

    jobs: list


@_codec.message(30)
class Submit:
    """Entry to owner: a validated job submission; `tasks` as in `Start`."""

    request_id: int
    buyer: str
    job_id: str
    deadline_left_ms: int
    tasks: list
    wait: bool


@_codec.message(31)
class OperationRequest:
    """Entry to entry: an operation on a job, or the peer's lists.

    `operation` is status, answer, explain or cancel (sent to the job's owner), or lists.
    """

    request_id: int
    operation: str
    buyer: str
    job_id: str
    wait_ms: int = 0


@_codec.message(32)
class PromiseRequest:
    """Owner to peer: asks it to promise not to take over from this owner for the duration."""

    request_id: int
    owner_id: str
    owner_incarnation: str
    duration_ms: int
    # A promise made by another incarnation of the peer would be missed by the `PromiseQuery`
    # of an entry that wants to take over.
    peer_incarnation: str


@_codec.message(33)
class PromiseQuery:
    """Sent to a peer before a takeover: asks how long its promise still protects this owner."""

    request_id: int
    owner_id: str
    owner_incarnation: str
    peer_incarnation: str


@_codec.message(34)
class Reply:
    """Response to a request of another entry; `error` is empty or `[kind, error body]`."""

    request_id: int
    body: Any
    error: list


@_codec.message(35)
class Ping:
    """Heartbeat between entries, answered by a `Reply` with the peer's lists version.

    `shards_released` tells the peer that the sender has released its shards.
    """

    request_id: int
    lists_version: int
    shards_released: bool = False


def compute_proof(key: str, nonce: bytes) -> bytes:
    """Return the HMAC that proves knowledge of the shared key to the sender of the nonce."""
    return hmac.digest(key.encode(), nonce, hashlib.sha256)


def verify_proof(keys: list[str], nonce: bytes, proof: bytes) -> bool:
    """Return whether the proof matches an accepted key; compares in constant time."""
    matches = [hmac.compare_digest(compute_proof(key, nonce), proof) for key in keys]
    return any(matches)
