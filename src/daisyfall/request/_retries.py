"""Retry budget by reason, and backoff, for tasks that provably did not start."""

import heapq
import random

import attrs

from daisyfall.process import _settings

# Reasons for which nothing is wrong with the upstream: a deliberate stop of queued work.
RECALLED = "recalled"
EPOCH = "epoch"
DRAINING = "draining"
CANCELLED = "cancelled"
DELIBERATE = frozenset({RECALLED, EPOCH, DRAINING, CANCELLED})

# Starts are few at first, so each reason may always use this many, and then one each second.
_FLOOR = 20.0
_FLOOR_PER_S = 1.0
_CAP = 2000.0
_MAX_REASONS = 32
_OTHER = "other"
_MAX_BACKOFF_MS = 1000.0
_JITTER = (0.5, 1.5)


@attrs.define(slots=True)
class _Budget:
    tokens: float
    starts: int
    at: float


class Retries:
    """The budget of repeated starts, and the tasks that wait for their backoff."""

    def __init__(self, settings: _settings.RoutingSettings, rng: random.Random) -> None:
        self._share = settings.retry_budget_percent / 100.0
        self._backoff_ms = settings.retry_backoff_ms
        self._rng = rng
        self._budget_by_reason: dict[str, _Budget] = {}
        self._starts = 0
        self._heap: list[tuple[float, int, object, int]] = []
        self._sequence = 0
        self.count_by_reason: dict[str, int] = {}

    def count_starts(self, count: int) -> None:
        """Add starts, each of which adds its share to every reason's budget."""
        self._starts += count

    def take(self, reason: str, now: float) -> bool:
        """Use one retry of a reason's budget; return whether there was one.

        A deliberate stop hands queued work back once, so it needs no budget; with one, a
        drain of a well-filled agent would fail the jobs that it hands back.
        """
        if reason in DELIBERATE:
            self.count_by_reason[reason] = self.count_by_reason.get(reason, 0) + 1
            return True
        if reason not in self._budget_by_reason and len(self._budget_by_reason) >= _MAX_REASONS:
            reason = _OTHER
        budget = self._budget_by_reason.get(reason)
        if budget is None:
            budget = self._budget_by_reason[reason] = _Budget(_FLOOR, self._starts, now)
        earned = (self._starts - budget.starts) * self._share
        earned += max(0.0, now - budget.at) * _FLOOR_PER_S
        budget.tokens = min(_CAP, budget.tokens + earned)
        budget.starts = self._starts
        budget.at = max(budget.at, now)
        if budget.tokens < 1.0:
            return False
        budget.tokens -= 1.0
        self.count_by_reason[reason] = self.count_by_reason.get(reason, 0) + 1
        return True

    def backoff_s(self, reason: str, attempt: int) -> float:
        """Return the wait before a repeated start; a deliberate stop needs none at first."""
        if reason in DELIBERATE and attempt <= 1:
            return 0.0
        delay_ms = min(self._backoff_ms * 2.0 ** (attempt - 1), _MAX_BACKOFF_MS)
        return delay_ms * self._rng.uniform(*_JITTER) / 1000.0

    def delay(self, until: float, job: object, index: int) -> None:
        """Remember a task that may start again at a time."""
        self._sequence += 1
        heapq.heappush(self._heap, (until, self._sequence, job, index))

    def due(self, now: float) -> list[tuple[object, int]]:
        """Return the jobs and indices whose backoff has ended."""
        found = []
        while self._heap and self._heap[0][0] <= now:
            _, _, job, index = heapq.heappop(self._heap)
            found.append((job, index))
        return found

    def next_due(self) -> float | None:
        """Return the time at which the next backoff ends."""
        return self._heap[0][0] if self._heap else None
