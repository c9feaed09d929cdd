"""Bulkheads: routes whose tasks crash runners are confined to some of the runners.

Answers a route of which some jobs crash each runner that starts them. Which ones is known only
afterwards, so for a while all tasks of the route stay on the share of the runners that the route
has of the work: it can crash only those, and the other routes keep the rest.
"""

import math
import zlib
from collections.abc import Iterable

from daisyfall.policy import _decaying_sum

# A route is confined for this long after a task of it was given up for crashes.
CONFINEMENT_S = 10.0
# Arriving work counts half after this time.
WORK_HALF_LIFE_S = 10.0
UPDATE_INTERVAL_S = 0.5


class Confinement:
    """The confined routes of one pool, each with a bulkhead: the ids of the runners that it keeps.

    `reserved` holds the runners of all bulkheads.
    """

    def __init__(self) -> None:
        # Core seconds that arrived.
        self._work_by_route: dict[str, _decaying_sum.DecayingSum] = {}
        self._confined_until_by_route: dict[str, float] = {}
        self._updated_at = float("-inf")
        self._bulkhead_by_route: dict[str, frozenset[str]] = {}
        self.reserved: frozenset[str] = frozenset()

    def record_work(self, route: str, core_seconds: float, now: float) -> None:
        """Add the work of an arriving batch."""
        work = self._work_by_route.get(route)
        if work is None:
            work = self._work_by_route[route] = _decaying_sum.DecayingSum(WORK_HALF_LIFE_S)
        work.add(core_seconds, now)

    def confine(self, route: str, now: float) -> None:
        """Confine a route from the next update on, or for longer."""
        self._confined_until_by_route[route] = now + CONFINEMENT_S
        self._updated_at = float("-inf")

    def bulkhead(self, route: str) -> frozenset[str] | None:
        """Return the runners to which a route is confined, None if it isn't."""
        return self._bulkhead_by_route.get(route)

    def update(self, runner_ids: Iterable[str], now: float) -> None:
        """Bring the bulkheads up to date, at most once in `UPDATE_INTERVAL_S`."""
        if not self._confined_until_by_route or now - self._updated_at < UPDATE_INTERVAL_S:
            return
        self._updated_at = now
        self._confined_until_by_route = {
            route: until for route, until in self._confined_until_by_route.items() if until > now
        }
        ids = list(runner_ids)
        self._bulkhead_by_route = {
            route: self._choose_bulkhead(route, ids, now)
            for route in self._confined_until_by_route
            if route in self._work_by_route
        }
        self.reserved = frozenset().union(*self._bulkhead_by_route.values())

    def _choose_bulkhead(self, route: str, runner_ids: list[str], now: float) -> frozenset[str]:
        """Return the first runners in an order that is the route's own and hardly ever changes."""
        total = sum(work.at(now) for work in self._work_by_route.values())
        share = self._work_by_route[route].at(now) / total if total else 1.0
        ordered = sorted(runner_ids, key=lambda each: zlib.crc32(f"{route}/{each}".encode()))
        return frozenset(ordered[: max(1, math.ceil(share * len(ordered)))])
