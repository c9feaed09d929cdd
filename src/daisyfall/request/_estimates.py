"""Run-time estimates and outcome counts per buyer and kind of task.

If the measured run times of a kind are the declared ones times a steady factor, its run time is
estimated by the declared time and that factor, otherwise by the mean.
"""

import math

import attrs

# Lower limit of an estimate: shorter tasks cost mostly their messages. It also bounds the length
# of the queue at an agent, which is derived from run times.
MIN_RUN_MS = 0.02
# Lower limit of the run time by which tasks of a kind without statistics are ordered and placed:
# most tasks take at least this.
DEFAULT_RUN_MS = 50.0
_SMOOTHING = 0.05
_CLIP_MIN_SAMPLES = 8
_CLIP_FACTOR = 8.0
_MAX_KINDS = 20_000
_OUTCOME_WINDOW = 128.0
# Samples with a declared time before the mean may be used instead of the declared times.
_FACTOR_MIN_SAMPLES = 8


@attrs.define(slots=True, eq=False)
class KindStats:
    """Statistics of one kind: run times in ms, and outcomes, which are halved after each window.

    `log_run` and `log_factor` are moving averages of the logarithms of the run time and of the
    run time over the declared one; their `_error` fields are mean absolute deviations.
    """

    mean_ms: float = MIN_RUN_MS
    samples: int = 0
    successes: float = 0.0
    failures: float = 0.0
    failures_by_agent: dict[str, float] = attrs.Factory(dict)
    log_run: float = 0.0
    log_run_error: float = 0.0
    log_factor: float = 0.0
    log_factor_error: float = 0.0
    declared_samples: int = 0  # samples with a declared run time

    def predict(self, declared_ms: float) -> float:
        """Return the expected run time in ms of a task with this declared run time."""
        # A mean of few samples orders tasks no better than their declared times do.
        has_few_samples = self.declared_samples < _FACTOR_MIN_SAMPLES
        if declared_ms <= 0 or not (has_few_samples or self.log_factor_error < self.log_run_error):
            return self.mean_ms
        return max(MIN_RUN_MS, declared_ms * math.exp(self.log_factor))

    def add_success(self, run_ms: float, declared_ms: float) -> None:
        """Add the run time of a task that succeeded."""
        if declared_ms > 0:
            self._add_factor(max(run_ms, MIN_RUN_MS), declared_ms)
        self.samples += 1
        # A single straggler must not distort the estimate of the whole kind.
        if self.samples > _CLIP_MIN_SAMPLES and run_ms > _CLIP_FACTOR * self.mean_ms:
            run_ms = _CLIP_FACTOR * self.mean_ms
        weight = 1.0 / self.samples if self.samples < 1 / _SMOOTHING else _SMOOTHING
        self.mean_ms += weight * (run_ms - self.mean_ms)
        self.mean_ms = max(self.mean_ms, MIN_RUN_MS)
        self.successes += 1.0
        if self.successes > _OUTCOME_WINDOW:
            self._halve()

    def _add_factor(self, run_ms: float, declared_ms: float) -> None:
        self.declared_samples += 1
        weight = max(1.0 / self.declared_samples, _SMOOTHING)
        log_run = math.log(run_ms)
        log_factor = log_run - math.log(declared_ms)
        if self.declared_samples > 1:
            self.log_run_error += weight * (abs(log_run - self.log_run) - self.log_run_error)
            error = abs(log_factor - self.log_factor)
            self.log_factor_error += weight * (error - self.log_factor_error)
        self.log_run += weight * (log_run - self.log_run)
        self.log_factor += weight * (log_factor - self.log_factor)

    def add_failure(self, agent_id: str) -> None:
        """Add a task that failed at an agent."""
        self.failures += 1.0
        self.failures_by_agent[agent_id] = self.failures_by_agent.get(agent_id, 0.0) + 1.0
        if self.failures > _OUTCOME_WINDOW:
            self._halve()

    def _halve(self) -> None:
        self.successes /= 2.0
        self.failures /= 2.0
        halved = {agent: count / 2.0 for agent, count in self.failures_by_agent.items()}
        self.failures_by_agent = {agent: count for agent, count in halved.items() if count > 0.5}


class Estimates:
    """Statistics by buyer and kind; beyond a limit the oldest kind is evicted."""

    def __init__(self) -> None:
        self._stats_by_kind: dict[tuple[str, str], KindStats] = {}
        self._overall = KindStats()

    def find(self, buyer: str, kind: str) -> KindStats | None:
        """Return the statistics of a kind, None if there are none."""
        return self._stats_by_kind.get((buyer, kind))

    def expected_ms(self, buyer: str, kind: str, declared_ms: float) -> float:
        """Return the expected run time of a task, the declared one if its kind has not run yet."""
        stats = self.find(buyer, kind)
        return stats.predict(declared_ms) if stats and stats.samples else declared_ms

    def kind_stats(self, buyer: str, kind: str) -> KindStats:
        """Return the statistics of a kind, which are created if there are none."""
        key = (buyer, kind)
        stats = self._stats_by_kind.get(key)
        if stats is None:
            if len(self._stats_by_kind) >= _MAX_KINDS:
                del self._stats_by_kind[next(iter(self._stats_by_kind))]
            stats = self._stats_by_kind[key] = KindStats()
        return stats

    def counted_ms(self, declared_ms: float) -> float:
        """Return the run time to count in the queue for a task whose kind has no statistics.

        Declared times are inaccurate. Before anything was measured they are ignored, so that no
        job is refused because of them; afterwards the mean of all tasks caps them.
        """
        if not self._overall.samples:
            return MIN_RUN_MS
        return max(min(declared_ms, self._overall.mean_ms), MIN_RUN_MS)

    def learn(self, kind_stats: KindStats, run_ms: float, declared_ms: float) -> None:
        """Add the measured run time of a task that succeeded."""
        kind_stats.add_success(run_ms, declared_ms)
        self._overall.add_success(run_ms, 0)
