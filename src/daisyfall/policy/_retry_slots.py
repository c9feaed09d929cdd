"""Retry hints that spread returning callers.

Answers the callers that were refused in a burst: with hints that don't know of each other they
all return into the same moment and are refused again. Each refused job is booked into the first
slot of the future that still has spare CPU for its work.
"""

import math

# Shortest and longest delay after which a refused caller is asked to retry.
RETRY_AFTER_S = (0.5, 10.0)
SLOT_S = 0.25
# Jobs are booked into at least this share of the CPU, however much arrives at the moment.
MIN_SPARE_SHARE = 0.1
# Share of a slot that jobs leave free for more urgent ones that are booked later.
URGENT_SHARE = 0.5


class RetrySlots:
    """Core seconds of the refused jobs that were asked to return, by slot and priority."""

    def __init__(self) -> None:
        self._work_by_priority_by_slot: dict[int, dict[int, float]] = {}

    def book(
        self,
        priority: int,
        core_seconds: float,
        *,
        spare_cores: float,
        earliest_s: float,
        jitter: float,
        now: float,
    ) -> float:
        """Book a refused job; return after how many seconds its caller should retry.

        `spare_cores` are not used by jobs of this or a more urgent priority. The job returns
        after `earliest_s` at the earliest, `jitter` (0 to 1) places it within its slot.
        """
        shortest, longest = RETRY_AFTER_S
        capacity = spare_cores * SLOT_S * (URGENT_SHARE if priority else 1.0)
        earliest_s = min(max(earliest_s, shortest), longest - SLOT_S)
        first = math.ceil((now + earliest_s) / SLOT_S)
        last = int((now + longest) / SLOT_S) - 1
        self._forget(int(now / SLOT_S))
        for slot in range(first, last + 1):
            work_by_priority = self._work_by_priority_by_slot.get(slot, {})
            booked = sum(work for each, work in work_by_priority.items() if each <= priority)
            if not booked or booked + core_seconds <= capacity:
                work_by_priority[priority] = work_by_priority.get(priority, 0.0) + core_seconds
                self._work_by_priority_by_slot[slot] = work_by_priority
                return (slot + jitter) * SLOT_S - now
        return longest - (1.0 - jitter) * SLOT_S

    def _forget(self, slot: int) -> None:
        for past in [each for each in self._work_by_priority_by_slot if each < slot]:
            del self._work_by_priority_by_slot[past]
