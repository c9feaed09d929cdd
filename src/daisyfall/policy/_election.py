"""Choice of the entry that schedules a pool.

The choice only affects how well tasks are placed, never whether a task runs twice: entries
order the starts of their own jobs, and agents admit what their runner can hold. Entries may
therefore disagree for a moment, and no agreement through the store is needed.
"""

import attrs

# A candidate that comes back has to be heard this long before it takes over again, so that
# a flapping link doesn't move the scheduling to and fro.
STABLE_AFTER_S = 2.0


@attrs.frozen
class Candidate:
    """An entry as another one sees it; `cores` is the processor time that it may use.

    `schedules` tells that it takes itself for the scheduling entry.
    """

    id: str
    cores: float
    started_ms: int
    reachable_for_s: float
    is_available: bool
    schedules: bool = False


def choose(candidates: list[Candidate], current_id: str) -> str:
    """Return the id of the entry that schedules, `""` if none is available.

    The strongest entry wins, then the one that runs longest. The current one is kept while it
    is available, unless a candidate ranks before it that is settled or already schedules.
    """
    available = [each for each in candidates if each.is_available]
    if not available:
        return ""
    by_id = {each.id: each for each in available}
    eligible = [
        each
        for each in available
        if each.id == current_id or each.schedules or each.reachable_for_s >= STABLE_AFTER_S
    ]
    if current_id not in by_id:
        eligible = eligible or available
    return min(eligible, key=_rank).id


def _rank(candidate: Candidate) -> tuple:
    return (-round(candidate.cores, 2), candidate.started_ms, candidate.id)
