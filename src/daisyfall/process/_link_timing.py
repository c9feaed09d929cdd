"""Heartbeat timing of the links between entries and agents.

Only two kinds of links need to notice a lost peer at once: those of the scheduling entry, which
has to know the capacity of all runners, and those with tasks, since an agent stops the tasks of
a lost entry. The number of both grows with the entries plus the agents plus the running tasks,
whereas the number of all links is the product of entries and agents.
"""

from daisyfall import _pool_wire
from daisyfall.connection import _link
from daisyfall.policy import _bounds

# Several, since an agent stops the tasks of an entry whose heartbeats time out: one that falls due
# while the process is busy, or that another message replaced, must not use up the timeout.
HEARTBEATS_PER_TIMEOUT = 3
# Other entries with tasks at an agent only have to notice that the connection is lost.
AGENT_HEARTBEAT_INTERVAL_S = 0.5
AGENT_TIMEOUT_S = 1.5
# Links without tasks.
IDLE = _link.HeartbeatTiming(5.0, 12.0)


def to_entry(
    bounds: _bounds.Bounds, *, is_scheduling: bool, has_tasks: bool, revision: int
) -> _link.HeartbeatTiming:
    """Return an agent's timing of the link to an entry; `revision` is that of the entry."""
    timeout_s = bounds.heartbeat_timeout_s
    if is_scheduling:
        return _link.HeartbeatTiming(timeout_s / HEARTBEATS_PER_TIMEOUT, timeout_s)
    if has_tasks or revision < _pool_wire.RARE_HEARTBEATS_REVISION:
        return _link.HeartbeatTiming(AGENT_HEARTBEAT_INTERVAL_S, timeout_s)
    return IDLE


def to_agent(
    bounds: _bounds.Bounds, *, is_scheduling: bool, has_tasks: bool, revision: int
) -> _link.HeartbeatTiming:
    """Return an entry's timing of the link to an agent; `revision` is that of the agent.

    `is_scheduling` tells that agents know that the entry schedules, so that it gets frequent
    heartbeats and may place no tasks at an agent that is lost.
    """
    timeout_s = bounds.heartbeat_timeout_s
    interval_s = timeout_s / HEARTBEATS_PER_TIMEOUT
    if is_scheduling:
        return _link.HeartbeatTiming(interval_s, timeout_s)
    if has_tasks or revision < _pool_wire.RARE_HEARTBEATS_REVISION:
        return _link.HeartbeatTiming(interval_s, AGENT_TIMEOUT_S)
    return IDLE
