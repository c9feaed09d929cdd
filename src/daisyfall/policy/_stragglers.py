"""Slowdown of the tasks on one runner, and which of them are stragglers to reschedule.

Detects runners that become slow while their health checks pass. The slowdown is a run time over
the expected one. Declared run times of single tasks are inaccurate, so a runner counts as slow
only by the median of its tasks. A task is rescheduled only if a fresh run elsewhere would end
much earlier, and only once, so that a slow pool doesn't churn.
"""

import collections
import statistics

import attrs

# Progress is measured over at least this time, since runners report it in whole percents.
MIN_WINDOW_S = 0.2
# Progress in percent that is assumed for a window in which it was rounded down to none.
MIN_PROGRESS_PERCENT = 0.5
# Ended tasks count towards the median this long.
SAMPLE_RETENTION_S = 2.0
MIN_SAMPLES = 4
SLOW_RUNNER_SLOWDOWN = 2.5
# The remaining time has to exceed a fresh run by this factor and by the ms of stop, placement and
# start.
RESCHEDULE_FACTOR = 1.5
RESCHEDULE_COST_MS = 80.0
MAX_SLOWDOWN = 20.0


@attrs.define(slots=True, eq=False)
class TaskProgress:
    """Progress of one running task; `slowdown` is 0 if unknown."""

    expected_ms: float
    window_start: float
    percent: float = 0.0
    window_start_percent: float = 0.0
    slowdown: float = 0.0

    def update(self, percent: float, now: float) -> None:
        """Update the slowdown by the progress that the runner reports."""
        self.percent = percent
        elapsed_s = now - self.window_start
        if elapsed_s >= MIN_WINDOW_S and self.expected_ms > 0:
            progress = max(percent - self.window_start_percent, MIN_PROGRESS_PERCENT)
            total_ms = elapsed_s * 1000 * 100 / progress
            self.slowdown = min(total_ms / self.expected_ms, MAX_SLOWDOWN)
            self.window_start, self.window_start_percent = now, percent

    @property
    def remaining_ms(self) -> float:
        """Return the expected remaining run time at the present slowdown."""
        return (100 - self.percent) / 100 * self.expected_ms * self.slowdown

    def should_reschedule(self) -> bool:
        """Return whether a fresh run on a runner of usual speed would end much earlier."""
        return self.remaining_ms > RESCHEDULE_FACTOR * self.expected_ms + RESCHEDULE_COST_MS


class RunnerSlowdown:
    """Slowdown of the tasks that run on one runner or ended there recently."""

    def __init__(self) -> None:
        self._ended: collections.deque[tuple[float, float]] = collections.deque(maxlen=16)

    def add_ended(self, slowdown: float, now: float) -> None:
        """Add the slowdown of a task that ended."""
        self._ended.append((now, min(slowdown, MAX_SLOWDOWN)))

    def median(self, running: list[TaskProgress], now: float) -> float:
        """Return the median slowdown, 0 with too few samples."""
        samples = [progress.slowdown for progress in running if progress.slowdown]
        samples += [slowdown for at, slowdown in self._ended if now - at < SAMPLE_RETENTION_S]
        return statistics.median(samples) if len(samples) >= MIN_SAMPLES else 0.0
