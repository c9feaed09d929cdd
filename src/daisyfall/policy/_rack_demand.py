"""Racks that many tasks prefer, as their data is there.

Answers a rack that suddenly gets much of the traffic. Its runners are kept for the tasks that
prefer it while other racks have room: a task that has to run far from its data takes longer, and
so the load of one rack would otherwise slow all others.
"""

from collections.abc import Callable

import attrs

from daisyfall.policy import _decaying_sum

HALF_LIFE_S = 0.5
UPDATE_INTERVAL_S = 0.1
# A rack is in demand if the work that prefers it needs this share of its capacity.
DEMAND_SHARE = 0.5


@attrs.define(slots=True, eq=False)
class RackDemand:
    """Work that prefers each rack of one pool; `racks` are those in demand."""

    racks: frozenset[str] = frozenset()
    # Core seconds that arrived.
    _work_by_rack: dict[str, _decaying_sum.DecayingSum] = attrs.Factory(dict)
    _updated_at: float = float("-inf")

    def record(self, rack: str, core_seconds: float, now: float) -> None:
        """Add the work of a task that prefers a rack."""
        work = self._work_by_rack.get(rack)
        if work is None:
            work = self._work_by_rack[rack] = _decaying_sum.DecayingSum(HALF_LIFE_S)
        work.add(core_seconds, now)

    def update(self, cores_of: Callable[[str], float], now: float) -> None:
        """Bring `racks` up to date, at most once in `UPDATE_INTERVAL_S`.

        `cores_of` returns the cores of a rack.
        """
        if not self._work_by_rack or now - self._updated_at < UPDATE_INTERVAL_S:
            return
        self._updated_at = now
        self._work_by_rack = {
            rack: work
            for rack, work in self._work_by_rack.items()
            if now - work.updated_at < 10 * HALF_LIFE_S
        }
        self.racks = frozenset(
            rack
            for rack, work in self._work_by_rack.items()
            if work.rate(now) > DEMAND_SHARE * cores_of(rack)
        )
