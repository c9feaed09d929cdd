"""Retry budget by reason, and backoff, for tasks that are known not to have started."""

import heapq
import random

import attrs

from daisyfall.process import _settings

# Reasons that are no fault of the upstream: queued tasks were handed back on purpose.
RECALLED = "recalled"
EPOCH = "epoch"
DRAINING = "draining"
CANCELLED = "cancelled"
DELIBERATE_STOPS = frozenset({RECALLED, EPOCH, DRAINING, CANCELLED})

# While there are few starts, a budget that is a share of them allows hardly any retries. Each
# reason therefore begins with this many, and gets one per second besides.
_INITIAL_TOKENS = 20.0
_TOKENS_PER_S = 1.0
_MAX_TOKENS = 2000.0
_MAX_REASONS = 32
_OTHER_REASONS = "other"
_MAX_BACKOFF_MS = 1000.0
_JITTER = (0.5, 1.5)


@attrs.define(slots=True)
class _Budget:
    tokens: float
    starts: int
    updated_at: float


class Retries:
    """The retry budgets, and the tasks that wait for their backoff."""

    def __init__(self, settings: _settings.RoutingSettings, rng: random.Random) -> None:
        self._retries_per_start = settings.retry_budget_percent / 100.0
        self._backoff_ms = settings.retry_backoff_ms
        self._rng = rng
        self._budget_by_reason: dict[str, _Budget] = {}
        self._starts = 0
        self._delayed_heap: list[tuple[float, int, object, int]] = []
        self._sequence = 0
        self.count_by_reason: dict[str, int] = {}

    def count_starts(self, count: int) -> None:
        """Count starts; each adds a share of a retry to the budget of every reason."""
        self._starts += count

    def try_take(self, reason: str, now: float) -> bool:
        """Take one retry from a reason's budget; return whether there was one.

        A deliberate stop hands a queued task back only once, so it needs no budget; with one,
        draining an agent with a long queue would fail the jobs that it hands back.
        """
        if reason in DELIBERATE_STOPS:
            self.count_by_reason[reason] = self.count_by_reason.get(reason, 0) + 1
            return True
        if reason not in self._budget_by_reason and len(self._budget_by_reason) >= _MAX_REASONS:
            reason = _OTHER_REASONS
        budget = self._budget_by_reason.get(reason)
        if budget is None:
            budget = self._budget_by_reason[reason] = _Budget(_INITIAL_TOKENS, self._starts, now)
        earned = (self._starts - budget.starts) * self._retries_per_start
        earned += max(0.0, now - budget.updated_at) * _TOKENS_PER_S
        budget.tokens = min(_MAX_TOKENS, budget.tokens + earned)
        budget.starts = self._starts
        budget.updated_at = max(budget.updated_at, now)
        if budget.tokens < 1.0:
            return False
        budget.tokens -= 1.0
        self.count_by_reason[reason] = self.count_by_reason.get(reason, 0) + 1
        return True

    def backoff_s(self, reason: str, attempt: int) -> float:
        """Return the delay before a retry, none for the first after a deliberate stop."""
        if reason in DELIBERATE_STOPS and attempt <= 1:
            return 0.0
        delay_ms = min(self._backoff_ms * 2.0 ** (attempt - 1), _MAX_BACKOFF_MS)
        return delay_ms * self._rng.uniform(*_JITTER) / 1000.0

    def add_delayed(self, until: float, job: object, index: int) -> None:
        """Add a task that may be retried from a time on."""
        self._sequence += 1
        heapq.heappush(self._delayed_heap, (until, self._sequence, job, index))

    def pop_due(self, now: float) -> list[tuple[object, int]]:
        """Remove and return the tasks whose backoff has ended, as jobs and indices."""
        due = []
        while self._delayed_heap and self._delayed_heap[0][0] <= now:
            _, _, job, index = heapq.heappop(self._delayed_heap)
            due.append((job, index))
        return due

    def next_due(self) -> float | None:
        """Return when the next backoff ends."""
        return self._delayed_heap[0][0] if self._delayed_heap else None
