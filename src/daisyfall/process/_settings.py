"""Settings of a process as data classes; keys of durations and sizes end with their unit."""

from typing import Annotated

import attrs

from daisyfall._validation import Choice, Pattern, Range

ROLES = ("entry", "agent")
POLICIES = ("random", "two_choices", "least_outstanding", "late_binding")
RUNNER_KINDS = ("http", "null")
LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")

# Ids and names occur in table keys and in log lines.
Name = Annotated[str, Pattern(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", "1 to 64 of A-Za-z0-9._-")]
Url = Annotated[str, Pattern(r"https?://[^/\s]+/?", "http://host:port")]
HostPort = Annotated[str, Pattern(r"[^:/\s]+:[0-9]{1,5}", "host:port")]
Key = Annotated[str, Pattern(r"\S{16,}", "at least 16 characters without blanks")]
TokenHash = Annotated[str, Pattern(r"[^$\s]{8,}\$[0-9a-f]{64}", "salt$hash of daisyfallctl token")]
Port = Annotated[int, Range(0, 65_535)]
DurationMs = Annotated[int, Range(1, 3_600_000)]


@attrs.frozen
class Address:
    """Address that a server listens on, and the address that others connect to."""

    host: str = "127.0.0.1"
    port: Port = 0  # 0: any free port
    advertise_host: str = ""  # empty: same as host

    @property
    def advertised(self) -> str:
        """Return the `host:port` that others connect to."""
        return f"{self.advertise_host or self.host}:{self.port}"


@attrs.frozen
class TableSettings:
    """Addresses and timeouts of the platform's table and object store."""

    url: Url = "http://127.0.0.1:7100"
    timeout_ms: DurationMs = 1500
    objects_url: Url = "http://127.0.0.1:7101"
    objects_timeout_ms: DurationMs = 3000


@attrs.frozen
class LeaseSettings:
    """Times of leases, heartbeats and polls."""

    lease_ms: DurationMs = 2000
    margin_ms: DurationMs = 200
    renew_ms: DurationMs = 500
    poll_ms: DurationMs = 250
    heartbeat_ms: DurationMs = 1000
    heartbeat_limit_ms: DurationMs = 3000
    fence_timeout_ms: DurationMs = 1000


@attrs.frozen
class JobSettings:
    """Retention of jobs, clock tolerances, and limits of the queue."""

    # At least 600 s: deadlines are at most half the retention time, and lists allow up to 300 s.
    retention_ms: Annotated[int, Range(600_000, 3_600_000)] = 600_000
    clock_skew_ms: DurationMs = 5_000
    clock_tolerance_ms: DurationMs = 1_000
    answer_memory_mb: Annotated[int, Range(1, 65_536)] = 64
    queue_tasks: Annotated[int, Range(1, 10_000_000)] = 100_000
    shard_count: Annotated[int, Range(1, 65_536)] = 16


@attrs.frozen
class RoutingSettings:
    """Selection of upstreams, retries, and ejection of failing runners."""

    policy: Annotated[str, Choice(POLICIES)] = "late_binding"
    # Minimum time between two load reports of an agent to an entry; with 0 the load is sent with
    # results and heartbeats only. Load reports are counted as wasted messages.
    load_report_ms: Annotated[int, Range(0, 10_000)] = 0
    agent_queue_ms: Annotated[int, Range(0, 10_000)] = 4
    retry_budget_percent: Annotated[int, Range(0, 100)] = 10
    retry_backoff_ms: DurationMs = 20
    far_distance_ms: DurationMs = 1  # one-way latency to an upstream in another data centre
    # Largest share of upstreams that may be ejected. Above 50 % a single job whose tasks all
    # fail could eject most upstreams.
    removed_share_percent: Annotated[int, Range(0, 50)] = 33
    # Order of queued jobs: `fifo` is the order of admission; `slack` sorts by the time at which a
    # task must start for its job to meet its ideal end time, with a bounded burst per buyer.
    job_order: Annotated[str, Choice(("fifo", "slack"))] = "slack"


@attrs.frozen
class HttpSettings:
    """Limits of the HTTP API for callers."""

    body_limit_kb: Annotated[int, Range(1, 16_384)] = 8192
    header_limit_kb: Annotated[int, Range(1, 1024)] = 16
    request_timeout_ms: DurationMs = 5000
    # A stopping entry accepts requests for this long, until the load balancer has noticed.
    stop_grace_ms: DurationMs = 2000
    connections_per_buyer: Annotated[int, Range(1, 65_536)] = 512


@attrs.frozen
class RunnerSettings:
    """The local runner of an agent; kind `null` is a built-in runner that executes nothing."""

    kind: Annotated[str, Choice(RUNNER_KINDS)] = "http"
    slots: Annotated[int, Range(1, 4096)] = 8
    connections: Annotated[int, Range(1, 65_536)] = 64
    memory_mb: Annotated[int, Range(1, 16_777_216)] = 65536
    accelerators: Annotated[int, Range(0, 1024)] = 0
    announce_limit_ms: DurationMs = 3000
    drain_limit_ms: DurationMs = 30_000


@attrs.frozen
class LogSettings:
    """Format and level of log lines."""

    json: bool = False
    level: Annotated[str, Choice(LEVELS)] = "INFO"


@attrs.frozen
class Settings:
    """All settings of one process."""

    role: Annotated[str, Choice(ROLES)]
    id: Name
    data_centre: Name
    rack: str = ""
    http: Address = Address()  # callers and operators (entry), runner announcements (agent)
    peer: Address = Address()  # agents and entries (entry only)
    entries: list[HostPort] = attrs.Factory(list)  # addresses of the load balancer (agent only)
    # YAML file with `keys` and `operator_tokens`; the path is relative to the settings file.
    secrets_file: str = ""
    # Shared keys of all processes: the first one is used to authenticate, all are accepted.
    keys: list[Key] = attrs.field(factory=list, repr=False)
    # Salted hashes of operator tokens, in the form `salt$hash`.
    operator_tokens: list[TokenHash] = attrs.field(factory=list, repr=False)
    labels: list[Name] = attrs.Factory(list)
    table: TableSettings = TableSettings()
    lease: LeaseSettings = LeaseSettings()
    jobs: JobSettings = JobSettings()
    routing: RoutingSettings = RoutingSettings()
    limits: HttpSettings = HttpSettings()
    runner: RunnerSettings = RunnerSettings()
    log: LogSettings = LogSettings()
