"""Messages of the pool dispatcher between entries and agents, and between entries.

They use the codec of `_wire` and travel in batches. Durations are in milliseconds, `cpu` is in
thousandths of a core. A task's name is `job.step.index`.
"""

import attrs

from daisyfall import _wire

ROLE_ENTRY = "entry"
ROLE_AGENT = "agent"


@_wire.message(50)
class Handshake:
    """First message of both sides; `tasks` are those that an entry believes to be at the agent.

    `cores` is the processor time that the process may use, `started_ms` its start (Unix time).
    """

    role: str
    node_id: str
    incarnation: str
    version: int
    data_centre: str
    cores: float
    started_ms: int
    tasks: list = attrs.Factory(list)


@_wire.message(51)
class Heartbeat:
    """Heartbeat; an entry that schedules asks agents for their room."""

    is_scheduling: bool = False


@_wire.message(52)
class RunTask:
    """Entry to agent: run one task; it may wait `patience_ms` for room.

    `may_move` allows the agent to end it on a slow runner so that it is placed elsewhere.
    """

    task: str
    run: int
    job_id: str
    payload: str
    cpu: int
    memory_mb: int
    accelerators: int
    expected_ms: float
    queue_timeout_ms: int
    may_reschedule: bool = False


@_wire.message(53)
class StopTask:
    """Entry to agent: the result is not wanted any more."""

    task: str
    run: int
    reason: str


@_wire.message(54)
class TaskEnded:
    """Agent to entry: `how` is an end of `_leased_runner` or a refusal."""

    task: str
    run: int
    outcome: str
    run_ms: float


@_wire.message(55)
class Resumed:
    """Agent to entry after an Open: the entry's tasks that are still here."""

    tasks: list


@_wire.message(56)
class RunnerState:
    """Agent to entry: the runner beside the agent; `is_open` tells whether it takes tasks."""

    runner_id: str
    pool: str
    cpu: int
    memory_mb: int
    accelerators: int
    labels: list
    is_open: bool


@_wire.message(57)
class AllocationReport:
    """Agent to the scheduling entry: all that holds room, `[task, job, cpu, MB, accelerators]`.

    `slowness` is the median of run times over the expected ones, 0 if unknown.
    """

    allocations: list
    slowness: float


@_wire.message(58)
class AllocationReleased:
    """Agent to the scheduling entry: a task's room is free again."""

    task: str
    job_id: str
    outcome: str


@_wire.message(60)
class PlaceTasks:
    """Entry to the scheduling entry; `tasks` holds the fields of `policy._room.Demand`."""

    request_id: str
    job_id: str
    pool: str
    priority: int
    latest_start_ms: int
    ends_by_ms: int
    has_started: bool
    tasks: list


@_wire.message(61)
class TasksPlaced:
    """Scheduling entry to entry: agent by task."""

    request_id: str
    job_id: str
    agent_by_task: dict


@_wire.message(62)
class PlacementRefused:
    """Scheduling entry to entry: nothing more is placed for this request."""

    request_id: str
    job_id: str
    reason: str
    retry_after_ms: int


@_wire.message(63)
class CancelPlacement:
    """Entry to the scheduling entry: drop what waits of a job."""

    job_id: str


@_wire.message(64)
class PeerHeartbeat:
    """Heartbeat between entries; `waiting_by_route` counts jobs of which no task has started.

    `schedules` tells that the sender takes itself for the scheduling entry, `follows_you` that
    it takes the receiver for it.
    """

    is_available: bool
    configuration_version: int
    waiting_by_route: dict
    is_scheduling: bool = False
    follows_receiver: bool = False


@_wire.message(65)
class ConfigurationUpdate:
    """Entry to entry: a newer configuration than the other one has."""

    version: int
    document: bytes


@_wire.message(66)
class MembershipUpdate:
    """Entry to entry: the nodes that it knows, `[id, role, address]` each."""

    nodes: list


@_wire.message(67)
class CancelJob:
    """Entry to entry: a caller cancelled a job; whoever has it ends it."""

    job_id: str
