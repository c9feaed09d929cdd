"""Agents that may hold starts of an earlier owner and can't be asked (rules 5 and 6)."""

import attrs

from daisyfall.process import _ownership

Holder = _ownership.Holder


@attrs.frozen
class Ending:
    """How an agent's incarnation has ended; times in ms since the Unix epoch, 0 for unknown.

    `latest_id_ms` is the latest time in the ids of the jobs that it has started.
    """

    at_ms: int = 0
    latest_id_ms: int = 0


RUNNING = Ending()
Listed = dict[Holder, Ending]  # the agents that may hold starts of jobs


def may_start_unreported(holding: _ownership.Holding, id_time_ms: int) -> bool:
    """Tell whether a task that no agent reports may be started (rule 6)."""
    return all(id_time_ms > horizon for horizon in holding.horizon_by_missing.values())


def horizons(
    missing: set[Holder], listed: Listed, now_ms: int, heartbeat_ms: int, skew_ms: int
) -> dict[Holder, int]:
    """Return the id time up to which each missing agent may have started jobs.

    A job can't have been started by an agent that ended before it was submitted. One that
    stopped gracefully has said up to which id it started jobs. To one that was replaced, an
    owner may send until its heartbeat limit; `skew_ms` covers the callers' and entries' clocks.
    """
    horizon_by_holder = {}
    for holder in missing:
        ending = listed[holder]
        last_ms = min(now_ms, ending.at_ms + heartbeat_ms) if ending.at_ms else now_ms
        horizon_by_holder[holder] = ending.latest_id_ms or last_ms + skew_ms
    return horizon_by_holder


def unfenced(missing: set[Holder], listed: Listed, now_ms: int, heartbeat_ms: int) -> set[Holder]:
    """Return the missing agents that could still take orders of an earlier owner."""
    return {
        holder
        for holder in missing
        if not listed[holder].at_ms or now_ms <= listed[holder].at_ms + heartbeat_ms
    }
