"""Settings of a process: the data classes; durations and sizes carry their unit in the key."""

from typing import Annotated

import attrs

from daisyfall._validation import Choice, Pattern, Range

ROLES = ("entry", "agent")
POLICIES = ("random", "two_choices", "least_outstanding", "late_binding")
RUNNER_KINDS = ("http", "null")
LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")

# Ids and names are parts of table keys and of log lines.
Name = Annotated[str, Pattern(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", "1 to 64 of A-Za-z0-9._-")]
Url = Annotated[str, Pattern(r"https?://[^/\s]+/?", "http://host:port")]
HostPort = Annotated[str, Pattern(r"[^:/\s]+:[0-9]{1,5}", "host:port")]
Key = Annotated[str, Pattern(r"\S{16,}", "at least 16 characters without blanks")]
TokenHash = Annotated[str, Pattern(r"[^$\s]{8,}\$[0-9a-f]{64}", "salt$hash of daisyfallctl token")]
Port = Annotated[int, Range(0, 65_535)]
DurationMs = Annotated[int, Range(1, 3_600_000)]


@attrs.frozen
class Address:
    """Where a listener binds and how others reach it."""

    host: str = "127.0.0.1"
    port: Port = 0  # 0: a free one
    advertise_host: str = ""  # empty: the host

    @property
    def advertised(self) -> str:
        """Return `host:port` as others dial it."""
        return f"{self.advertise_host or self.host}:{self.port}"


@attrs.frozen
class TableSettings:
    """The platform's table and object store."""

    url: Url = "http://127.0.0.1:7100"
    timeout_ms: DurationMs = 1500
    objects_url: Url = "http://127.0.0.1:7101"
    objects_timeout_ms: DurationMs = 3000


@attrs.frozen
class LeaseSettings:
    """Leases, heartbeats and polls."""

    lease_ms: DurationMs = 2000
    margin_ms: DurationMs = 200
    renew_ms: DurationMs = 500
    poll_ms: DurationMs = 250
    heartbeat_ms: DurationMs = 1000
    heartbeat_limit_ms: DurationMs = 3000
    fence_timeout_ms: DurationMs = 1000


@attrs.frozen
class JobSettings:
    """Memory of jobs and the queue."""

    # Deadlines are at most half the retention time, and lists accept deadlines up to 300 s.
    retention_ms: Annotated[int, Range(600_000, 3_600_000)] = 600_000
    clock_skew_ms: DurationMs = 5_000
    clock_tolerance_ms: DurationMs = 1_000
    answer_memory_mb: Annotated[int, Range(1, 65_536)] = 64
    queue_tasks: Annotated[int, Range(1, 10_000_000)] = 100_000
    shard_count: Annotated[int, Range(1, 65_536)] = 16


@attrs.frozen
class RoutingSettings:
    """Choice of upstream, retries and the removal of bad runners."""

    policy: Annotated[str, Choice(POLICIES)] = "late_binding"
    # Shortest time between two reports of an agent's load to an entry; 0: with results and
    # heartbeats only. Each report counts as a wasted message.
    load_report_ms: Annotated[int, Range(0, 10_000)] = 0
    agent_queue_ms: Annotated[int, Range(0, 10_000)] = 4
    retry_budget_percent: Annotated[int, Range(0, 100)] = 10
    retry_backoff_ms: DurationMs = 20
    far_distance_ms: DurationMs = 1  # one way to an upstream in another data centre
    # More than half would let one bad job take most upstreams out of service.
    removed_share_percent: Annotated[int, Range(0, 50)] = 33
    # In order of admission, or by when each task has to start for its job to end at its ideal
    # time, within a bounded burst of one buyer.
    job_order: Annotated[str, Choice(("fifo", "slack"))] = "slack"


@attrs.frozen
class HttpSettings:
    """Limits towards callers."""

    body_limit_kb: Annotated[int, Range(1, 16_384)] = 8192
    header_limit_kb: Annotated[int, Range(1, 1024)] = 16
    request_timeout_ms: DurationMs = 5000
    stop_grace_ms: DurationMs = 2000  # a stopping entry takes requests until the balancer knows
    connections_per_buyer: Annotated[int, Range(1, 65_536)] = 512


@attrs.frozen
class RunnerSettings:
    """The runner beside an agent; `kind` is http, or null for a runner that answers at once."""

    kind: Annotated[str, Choice(RUNNER_KINDS)] = "http"
    slots: Annotated[int, Range(1, 4096)] = 8
    connections: Annotated[int, Range(1, 65_536)] = 64
    memory_mb: Annotated[int, Range(1, 16_777_216)] = 65536
    accelerators: Annotated[int, Range(0, 1024)] = 0
    announce_limit_ms: DurationMs = 3000
    drain_limit_ms: DurationMs = 30_000


@attrs.frozen
class LogSettings:
    """Form and level of the log lines."""

    json: bool = False
    level: Annotated[str, Choice(LEVELS)] = "INFO"


@attrs.frozen
class Settings:
    """All settings of one process; `role` is entry or agent."""

    role: Annotated[str, Choice(ROLES)]
    id: Name
    data_centre: Name
    rack: str = ""
    http: Address = Address()  # callers and operators (entry), runner announcements (agent)
    peer: Address = Address()  # agents and entries (entry only)
    entries: list[HostPort] = attrs.Factory(list)  # agent: addresses of the balancer, host:port
    secrets_file: str = ""  # YAML with `keys` and `operator_tokens`, relative to the settings file
    # Shared keys; the first one is used, all are accepted.
    keys: list[Key] = attrs.field(factory=list, repr=False)
    # Salted hashes, `salt$hash`.
    operator_tokens: list[TokenHash] = attrs.field(factory=list, repr=False)
    labels: list[Name] = attrs.Factory(list)
    table: TableSettings = TableSettings()
    lease: LeaseSettings = LeaseSettings()
    jobs: JobSettings = JobSettings()
    routing: RoutingSettings = RoutingSettings()
    limits: HttpSettings = HttpSettings()
    runner: RunnerSettings = RunnerSettings()
    log: LogSettings = LogSettings()
