"""Settings of a process: the data classes; durations and sizes carry their unit in the key."""

import attrs


@attrs.frozen
class Address:
    """Where a listener binds and how others reach it."""

    host: str = "127.0.0.1"
    port: int = 0
    advertise_host: str = ""  # empty: the host

    @property
    def advertised(self) -> str:
        """Return `host:port` as others dial it."""
        return f"{self.advertise_host or self.host}:{self.port}"


@attrs.frozen
class TableSettings:
    """The platform's table and object store."""

    url: str = "http://127.0.0.1:7100"
    timeout_ms: int = 1500
    objects_url: str = "http://127.0.0.1:7101"
    objects_timeout_ms: int = 3000


@attrs.frozen
class LeaseSettings:
    """Leases, heartbeats and polls."""

    lease_ms: int = 2000
    margin_ms: int = 200
    renew_ms: int = 500
    poll_ms: int = 500
    heartbeat_ms: int = 1000
    heartbeat_limit_ms: int = 3000
    fence_timeout_ms: int = 1000


@attrs.frozen
class JobSettings:
    """Memory of jobs and the queue."""

    retention_ms: int = 600_000
    clock_skew_ms: int = 5_000
    clock_tolerance_ms: int = 1_000
    answer_memory_mb: int = 64
    queue_tasks: int = 100_000
    shard_count: int = 16


@attrs.frozen
class RoutingSettings:
    """Choice of upstream, retries and the removal of bad runners."""

    policy: str = "late_binding"
    agent_queue_ms: int = 4
    retry_budget_percent: int = 10
    retry_backoff_ms: int = 20
    removed_share_percent: int = 33
    job_order: str = "fifo"  # between the jobs of one buyer: fifo or slack


@attrs.frozen
class HttpSettings:
    """Limits towards callers."""

    body_limit_kb: int = 8192
    header_limit_kb: int = 16
    request_timeout_ms: int = 5000
    connections_per_buyer: int = 512


@attrs.frozen
class RunnerSettings:
    """The runner beside an agent; `kind` is http, or null for a runner that answers at once."""

    kind: str = "http"
    slots: int = 8
    connections: int = 64
    memory_mb: int = 65536
    accelerators: int = 0
    announce_limit_ms: int = 3000
    drain_limit_ms: int = 30_000


@attrs.frozen
class LogSettings:
    """Form and level of the log lines."""

    json: bool = False
    level: str = "INFO"


@attrs.frozen
class Settings:
    """All settings of one process; `role` is entry or agent."""

    role: str
    id: str
    data_centre: str
    rack: str = ""
    http: Address = Address()  # callers and operators (entry), runner announcements (agent)
    peer: Address = Address()  # agents and entries (entry only)
    entries: list[str] = attrs.Factory(list)  # agent: addresses of the balancer, host:port
    keys: list[str] = attrs.Factory(list)  # shared keys; the first one is used, all are accepted
    operator_tokens: list[str] = attrs.Factory(list)  # salted hashes, `salt$hash`
    labels: list[str] = attrs.Factory(list)
    table: TableSettings = TableSettings()
    lease: LeaseSettings = LeaseSettings()
    jobs: JobSettings = JobSettings()
    routing: RoutingSettings = RoutingSettings()
    limits: HttpSettings = HttpSettings()
    runner: RunnerSettings = RunnerSettings()
    log: LogSettings = LogSettings()
