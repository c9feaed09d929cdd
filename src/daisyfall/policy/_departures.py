"""Runners that leave: when they go, and which of their tasks have to end elsewhere.

Answers runners that are taken away at short notice, several at once. A runner that leaves gets no
new tasks. It tells how long it stays at least; a task that can't end by then is stopped and
placed again while another runner can still end it in time, instead of being lost with the runner.
"""

import math

# Runners tell the remaining time in whole ms and with the delay of their heartbeats, so a moment
# of departure that differs by less is the same one.
MOMENT_TOLERANCE_S = 0.15
# Time for the stop of a task, its placement and its start elsewhere.
MOVE_COST_S = 0.08
# A runner stays.
NEVER = math.inf


def leaves_at(previous: float, remaining_ms: int, now: float, *, is_draining: bool) -> float:
    """Return when a runner leaves at the earliest, `NEVER` if it stays or doesn't tell.

    The moment that was known before is kept if the new one is the same but for delays.
    """
    if not is_draining or remaining_ms <= 0:
        return NEVER
    found = now + remaining_ms / 1000
    return previous if abs(found - previous) < MOMENT_TOLERANCE_S else found


def remaining_ms(leaves_at: float, now: float) -> int:
    """Return the time until a runner leaves, at least 1 ms, or 0 if that is not known."""
    return 0 if leaves_at == NEVER else max(1, round((leaves_at - now) * 1000))


def must_move(ends_at: float, leaves_at: float, latest_start: float, now: float) -> bool:
    """Return whether a task has to be placed elsewhere, as its runner leaves before it ends.

    `latest_start` is when another run has to start to meet the objective of its job. After that
    the task stays, since the runner may stay for longer than it tells.
    """
    return leaves_at < ends_at and now + MOVE_COST_S <= latest_start
