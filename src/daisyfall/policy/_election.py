"""Election of the entry that schedules the pools.

The election only affects how well tasks are placed, never whether a task runs twice: each entry
starts the tasks of its own jobs, and agents accept only what fits on their runner. Entries may
therefore disagree for a moment, and no consensus through the store is needed.
"""

import attrs

# A candidate that returns has to be reachable this long before it is elected again, so that
# a flapping link doesn't change the scheduling entry again and again.
STABLE_AFTER_S = 2.0


@attrs.frozen
class Candidate:
    """An entry as another one sees it; `cores` is its CPU quota.

    `is_scheduling` tells that it considers itself the scheduling entry, `is_starting` that its
    process has just started.
    """

    id: str
    cores: float
    started_ms: int
    reachable_for_s: float
    is_available: bool
    is_scheduling: bool = False
    is_starting: bool = False


def choose(candidates: list[Candidate], current_id: str) -> str:
    """Return the id of the entry that schedules, `""` if none is available.

    The entry with the most cores wins, then the one that has run longest. The current one is kept
    while it is available, unless a better candidate is stable or already schedules. If all
    processes have just started, those that have no runner yet take part too: otherwise each runner
    that announces itself could change the choice.
    """
    is_first_choice = all(candidate.is_starting for candidate in candidates)
    available = [candidate for candidate in candidates if candidate.is_available or is_first_choice]
    if not available:
        return ""
    by_id = {candidate.id: candidate for candidate in available}
    eligible = [
        candidate
        for candidate in available
        if candidate.id == current_id
        or candidate.is_scheduling
        or candidate.reachable_for_s >= STABLE_AFTER_S
    ]
    if current_id not in by_id:
        eligible = eligible or available
    return min(eligible, key=_sort_key).id


def rank(candidates: list[Candidate], own_id: str) -> int:
    """Return how many candidates, available or just started, rank above the one with this id."""
    own = next(candidate for candidate in candidates if candidate.id == own_id)
    return sum(
        (candidate.is_available or candidate.is_starting) and _sort_key(candidate) < _sort_key(own)
        for candidate in candidates
    )


def _sort_key(candidate: Candidate) -> tuple:
    return (-round(candidate.cores, 2), candidate.started_ms, candidate.id)
