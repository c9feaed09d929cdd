"""Agents that may have started tasks of an earlier owner and can't be reached."""

import attrs

from daisyfall.process import _ownership

InstanceId = _ownership.InstanceId


@attrs.frozen
class Termination:
    """How an agent's incarnation has ended; times in ms since the Unix epoch, 0 for unknown.

    `latest_id_ms` is the latest time in the ids of the jobs that it has started.
    """

    at_ms: int = 0
    latest_id_ms: int = 0


RUNNING = Termination()
ListedAgents = dict[InstanceId, Termination]  # agents that may have started tasks


def may_start_unreported(owned_shard: _ownership.OwnedShard, id_time_ms: int) -> bool:
    """Return whether a task that no agent has reported as started may be started.

    It may if its job is newer than all jobs of which an unreachable agent may have started tasks.
    """
    return all(id_time_ms > horizon for horizon in owned_shard.horizon_by_missing.values())


def horizons(
    missing: set[InstanceId], listed: ListedAgents, now_ms: int, heartbeat_ms: int, skew_ms: int
) -> dict[InstanceId, int]:
    """Return, for each missing agent, the latest id time of jobs that it may have started.

    A job can't have been started by an agent that ended before it was submitted. One that
    stopped gracefully has reported the latest id time of its jobs. To one that was replaced, an
    owner may send until its heartbeat limit; `skew_ms` covers the callers' and entries' clocks.
    """
    horizon_by_agent = {}
    for agent in missing:
        ending = listed[agent]
        last_ms = min(now_ms, ending.at_ms + heartbeat_ms) if ending.at_ms else now_ms
        horizon_by_agent[agent] = ending.latest_id_ms or last_ms + skew_ms
    return horizon_by_agent


def unfenced(
    missing: set[InstanceId], listed: ListedAgents, now_ms: int, heartbeat_ms: int
) -> set[InstanceId]:
    """Return the missing agents that could still accept tasks from an earlier owner."""
    return {
        agent
        for agent in missing
        if not listed[agent].at_ms or now_ms <= listed[agent].at_ms + heartbeat_ms
    }
