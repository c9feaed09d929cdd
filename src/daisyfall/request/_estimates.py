"""What was learnt per buyer and kind: run times, and how many tasks ended well or failed.

A kind whose declared run times follow the measured ones by a steady factor is
estimated by the declared time and that factor, any other one by its mean.
"""

import math

import attrs

# Below this a task costs mostly its messages; it also bounds the queue derived from run times.
MIN_RUN_MS = 0.02
# A kind that is not learnt is placed as if it took at least this: most tasks do.
DEFAULT_RUN_MS = 50.0
_SMOOTHING = 0.05
_CLIP_AFTER = 8
_CLIP_FACTOR = 8.0
_MAX_KINDS = 20_000
_WINDOW = 128.0
# Samples before the declared times of a kind can be disbelieved.
_FACTOR_AFTER = 8


@attrs.define(slots=True, eq=False)
class Record:
    """One kind: mean run time in ms and its samples; outcomes, halved after each window."""

    mean_ms: float = MIN_RUN_MS
    samples: int = 0
    done: float = 0.0
    failed: float = 0.0
    failed_by_agent: dict[str, float] = attrs.Factory(dict)
    log_run: float = 0.0
    log_run_error: float = 0.0
    log_factor: float = 0.0
    log_factor_error: float = 0.0
    declared: int = 0  # samples with a declared run time

    def predict(self, declared_ms: float) -> float:
        """Return the expected run time in ms of a task with this declared run time."""
        # A mean of a few samples orders tasks no better than their declared times do.
        young = self.declared < _FACTOR_AFTER
        if declared_ms <= 0 or not (young or self.log_factor_error < self.log_run_error):
            return self.mean_ms
        return max(MIN_RUN_MS, declared_ms * math.exp(self.log_factor))

    def add(self, run_ms: float, declared_ms: float) -> None:
        """Add a task that ended well and move the mean towards its run time."""
        if declared_ms > 0:
            self._add_factor(max(run_ms, MIN_RUN_MS), declared_ms)
        self.samples += 1
        # A straggler's single result must not move the estimate of the whole kind.
        if self.samples > _CLIP_AFTER and run_ms > _CLIP_FACTOR * self.mean_ms:
            run_ms = _CLIP_FACTOR * self.mean_ms
        weight = 1.0 / self.samples if self.samples < 1 / _SMOOTHING else _SMOOTHING
        self.mean_ms += weight * (run_ms - self.mean_ms)
        self.mean_ms = max(self.mean_ms, MIN_RUN_MS)
        self.done += 1.0
        if self.done > _WINDOW:
            self._halve()

    def _add_factor(self, run_ms: float, declared_ms: float) -> None:
        self.declared += 1
        weight = max(1.0 / self.declared, _SMOOTHING)
        log_run = math.log(run_ms)
        log_factor = log_run - math.log(declared_ms)
        if self.declared > 1:
            self.log_run_error += weight * (abs(log_run - self.log_run) - self.log_run_error)
            error = abs(log_factor - self.log_factor)
            self.log_factor_error += weight * (error - self.log_factor_error)
        self.log_run += weight * (log_run - self.log_run)
        self.log_factor += weight * (log_factor - self.log_factor)

    def add_failure(self, agent_id: str) -> None:
        """Add a task that failed at an agent."""
        self.failed += 1.0
        self.failed_by_agent[agent_id] = self.failed_by_agent.get(agent_id, 0.0) + 1.0
        if self.failed > _WINDOW:
            self._halve()

    def _halve(self) -> None:
        self.done /= 2.0
        self.failed /= 2.0
        halved = {agent: count / 2.0 for agent, count in self.failed_by_agent.items()}
        self.failed_by_agent = {agent: count for agent, count in halved.items() if count > 0.5}


class Estimates:
    """Records by (buyer, kind), bounded in number; the oldest kinds go first."""

    def __init__(self) -> None:
        self._by_kind: dict[tuple[str, str], Record] = {}
        self._overall = Record()

    def find(self, buyer: str, kind: str) -> Record | None:
        """Return what was learnt of a kind, None if nothing."""
        return self._by_kind.get((buyer, kind))

    def kind_stats(self, buyer: str, kind: str) -> Record:
        """Return the record of a kind, a new one if nothing was learnt."""
        key = (buyer, kind)
        found = self._by_kind.get(key)
        if found is None:
            if len(self._by_kind) >= _MAX_KINDS:
                del self._by_kind[next(iter(self._by_kind))]
            found = self._by_kind[key] = Record()
        return found

    def counted_ms(self, declared_ms: float) -> float:
        """Return the time to count in the queue for a task whose kind is not learnt.

        Declared times are far off, so they refuse nobody before anything was measured, and
        the mean of all tasks caps them afterwards.
        """
        if not self._overall.samples:
            return MIN_RUN_MS
        return max(min(declared_ms, self._overall.mean_ms), MIN_RUN_MS)

    def learn(self, kind_stats: Record, run_ms: float, declared_ms: float) -> None:
        """Add the measured run time of one task that ended well."""
        kind_stats.add(run_ms, declared_ms)
        self._overall.add(run_ms, 0)
