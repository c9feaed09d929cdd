"""Wire protocol of the pool dispatcher, between entries and agents and between entries.

The messages use the codec of `_codec` and are sent in batches. Durations are in milliseconds,
`cpu` is in thousandths of a core, memory in MB. A task is named `job.step.index`.
"""

import attrs

from daisyfall import _codec

ROLE_ENTRY = "entry"
ROLE_AGENT = "agent"
ROLES = (ROLE_ENTRY, ROLE_AGENT)

PROTOCOL_VERSION = 1
# Revision of the messages.
REVISION = 3
# From this revision on, a link without work needs few heartbeats, and a heartbeat between entries
# tells when the next one is due.
RARE_HEARTBEATS_REVISION = 1
# From this revision on, agents report crashes of their runners.
CRASH_REPORTS_REVISION = 2
# From this revision on, entries and agents know evacuations of data centres.
EVACUATIONS_REVISION = 3


@_codec.message(50)
class Handshake:
    """First message of both sides; identifies the process.

    `cores` is the processor capacity of the process, `started_ms` its start time (Unix time). An
    entry lists in `tasks` those that it assumes to be at the agent. `revision` is the `REVISION`
    of the sender, 0 for builds that don't send it.
    """

    role: str
    node_id: str
    incarnation: str
    version: int
    data_centre: str
    cores: float
    started_ms: int
    tasks: list[str] = attrs.Factory(list)
    revision: int = 0


@_codec.message(51)
class Heartbeat:
    """Heartbeat between entry and agent.

    With `is_scheduling`, the entry is the scheduling one and asks the agent for
    `AllocationReport`s. `sent_ms` is the sender's monotonic clock, 0 if unknown.
    """

    is_scheduling: bool = False
    sent_ms: int = 0


@_codec.message(52)
class RunTask:
    """Entry to agent: run one task, after waiting at most `queue_timeout_ms` for capacity.

    `may_reschedule` allows the agent to end the task on a slow runner, so that the entry has it
    placed elsewhere. `run` numbers the attempts of a task. `sent_ms` is the entry's monotonic
    clock when the order was sent, 0 if unknown. On another rack than `preferred_rack` the task
    takes longer. `latest_start_ms` after the order was sent, a run elsewhere could still meet the
    objective of the job; 0 if none could. At most `max_per_runner` tasks of the step may be at the
    runner at a time, 0 for no limit.
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
    sent_ms: int = 0
    route: str = ""
    preferred_rack: str = ""
    latest_start_ms: int = 0
    max_per_runner: int = 0


@_codec.message(53)
class StopTask:
    """Entry to agent: stop a task whose result is no longer needed."""

    task: str
    run: int
    reason: str


@_codec.message(54)
class TaskEnded:
    """Agent to entry: a task ended or was refused.

    `outcome` is how its run ended, as in `_leased_runner`, or the reason of the refusal. The run
    took `remote_factor` times as long because it ran on another rack than the preferred one.
    """

    task: str
    run: int
    outcome: str
    run_ms: float
    remote_factor: float = 1.0


@_codec.message(55)
class Resumed:
    """Agent to entry, after the handshake: the entry's tasks that the agent still has."""

    tasks: list


@_codec.message(56)
class RunnerState:
    """Agent to entry: capacity of the agent's runner; `is_open` if it accepts tasks.

    A runner that leaves stays for at least `remaining_ms` after the message was sent, 0 if it
    stays or that isn't known.
    """

    runner_id: str
    pool: str
    cpu: int
    memory_mb: int
    accelerators: int
    labels: list
    is_open: bool
    remaining_ms: int = 0


@_codec.message(57)
class AllocationReport:
    """Agent to the scheduling entry: all allocations of capacity at its runner.

    `allocations` holds `[task, job, cpu, memory_mb, accelerators]` for each task. `slowness` is
    the present median ratio of measured to expected run times, 0 if unknown. `ends` holds, for each
    allocation, `[ms until its expected end, expected run ms]`. `speed` is the mean ratio of
    expected to measured run times over the last `samples` tasks of the runner. Older builds don't
    send these three.
    """

    allocations: list
    slowness: float
    ends: list = attrs.Factory(list)
    speed: float = 1.0
    samples: int = 0


@_codec.message(58)
class AllocationReleased:
    """Agent to the scheduling entry: a task ended and its capacity is free again.

    `slowdown` is its run time over the expected one if it is done, else 0.
    """

    task: str
    job_id: str
    outcome: str
    slowdown: float = 0.0


@_codec.message(59)
class RunnerCrashed:
    """Agent to all entries: its runner has crashed; sent again to an entry that connects.

    `crash_id` names the incarnation, which crashed `age_ms` before the message was sent. `runs`
    holds `[task, route, ms since its start, expected ms]` for each run there.
    """

    crash_id: str
    runs: list
    age_ms: int = 0


@_codec.message(60)
class PlaceTasks:
    """Entry to the scheduling entry: place the tasks of a job.

    `tasks` holds, for each task, the fields of `policy._runner_capacity.Demand`. By
    `latest_start_ms` the first task has to start, by `start_deadline_ms` the remaining ones; both
    count from the time at which the message is sent. By `late_deadline_ms` the first task has to
    start if the pool recovers from a loss. `served` is the expected work, in core seconds, that
    jobs of the route were given lately through this entry; it halves in
    `policy._fair_shares.HALF_LIFE_S`.
    """

    request_id: str
    job_id: str
    pool: str
    priority: int
    latest_start_ms: int
    start_deadline_ms: int
    has_started: bool
    tasks: list
    late_deadline_ms: int = 0
    route: str = ""
    served: float = 0.0


@_codec.message(61)
class TasksPlaced:
    """Scheduling entry to entry: the agents at which tasks of a request were placed."""

    request_id: str
    job_id: str
    agent_by_task: dict


@_codec.message(62)
class PlacementRefused:
    """Scheduling entry to entry: no further tasks of this request will be placed."""

    request_id: str
    job_id: str
    reason: str
    retry_after_ms: int


@_codec.message(63)
class CancelPlacement:
    """Entry to the scheduling entry: drop a job's tasks that wait for placement."""

    job_id: str


@_codec.message(64)
class PeerHeartbeat:
    """Heartbeat between entries; `waiting_by_route` counts jobs without a started task.

    `is_scheduling` tells that the sender regards itself as the scheduling entry,
    `follows_receiver` that it regards the receiver as the scheduling entry, `is_starting` that its
    process has just started. The next heartbeat is due after `interval_ms`.
    """

    is_available: bool
    configuration_version: int
    waiting_by_route: dict
    is_scheduling: bool = False
    follows_receiver: bool = False
    interval_ms: int = 100
    is_starting: bool = False


@_codec.message(65)
class ConfigurationUpdate:
    """Entry to entry: a configuration that is newer than the receiver's."""

    version: int
    document: bytes


@_codec.message(66)
class MembershipUpdate:
    """Entry to entry: the nodes that the sender knows, as `[id, role, address]`."""

    nodes: list


@_codec.message(67)
class CancelJob:
    """Entry to entry: a caller cancelled a job; the entry where it is in progress ends it."""

    job_id: str


@_codec.message(68)
class EvacuationUpdate:
    """Entry to entries and agents: the data centres that are or were evacuated.

    `rows` holds `[data centre, version, is evacuated]`; of two rows for a data centre, the one with
    the higher version of the store holds.
    """

    rows: list
