"""Settings of pool entries and agents, as the platform's node module builds them."""

import attrs

from daisyfall import _pool_wire
from daisyfall.policy import _bounds


@attrs.frozen(kw_only=True)
class PoolSettings:
    """Settings that entries and agents share; times in seconds.

    `cores` is the CPU time that the process may use, in cores; `started_ms` is its start in Unix
    time; `max_drain_s` is the longest time that a graceful stop may take. A task takes
    `remote_factor` times as long away from its preferred rack; 1.0 if that isn't known.
    """

    id: str
    incarnation: str
    data_centre: str
    address: str
    port: int
    cores: float
    started_ms: int
    bounds: _bounds.Bounds
    max_drain_s: float
    remote_factor: float = 1.0

    def handshake(self, role: str, tasks: list[str]) -> _pool_wire.Handshake:
        """Return the first message of a link."""
        return _pool_wire.Handshake(
            role,
            self.id,
            self.incarnation,
            _pool_wire.PROTOCOL_VERSION,
            self.data_centre,
            self.cores,
            self.started_ms,
            tasks,
            _pool_wire.REVISION,
        )


@attrs.frozen(kw_only=True)
class EntrySettings(PoolSettings):
    """Settings of an entry; it stops listening no earlier than `drain_delay_s` after the signal.

    By then, callers are no longer sent to it. `data_centres` names those of the deployment.
    """

    drain_delay_s: float
    data_centres: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class AgentSettings(PoolSettings):
    """Settings of an agent; `heartbeat_s` is the heartbeat interval of its runner."""

    heartbeat_s: float
