"""Settings of pool entries and agents, as their composition root makes them."""

import attrs

from daisyfall import _pool_wire
from daisyfall.policy import _bounds

PROTOCOL_VERSION = 1


@attrs.frozen(kw_only=True)
class PoolSettings:
    """What entries and agents have in common; times in seconds.

    `cores` is the processor time that the process may use, `started_ms` its start in Unix time,
    `stop_limit_s` the bound of a graceful stop.
    """

    id: str
    incarnation: str
    data_centre: str
    address: str
    port: int
    cores: float
    started_ms: int
    bounds: _bounds.Bounds
    stop_limit_s: float

    def open(self, role: str, tasks: list[str]) -> _pool_wire.Handshake:
        """Return the first message of a link."""
        return _pool_wire.Handshake(
            role,
            self.id,
            self.incarnation,
            PROTOCOL_VERSION,
            self.data_centre,
            self.cores,
            self.started_ms,
            tasks,
        )


@attrs.frozen(kw_only=True)
class EntrySettings(PoolSettings):
    """Settings of an entry; after `settle_s` from a stop signal callers no longer come."""

    settle_s: float


@attrs.frozen(kw_only=True)
class AgentSettings(PoolSettings):
    """Settings of an agent; `heartbeat_s` is the interval of its runner's heartbeats."""

    heartbeat_s: float
