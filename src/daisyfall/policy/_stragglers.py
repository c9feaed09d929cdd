"""Slowdown of the tasks on one runner, and which of them are stragglers to reschedule.

Detects runners that become slow while their health checks pass. The slowdown is a run time over
the expected one. Declared run times of single tasks are inaccurate, so a runner counts as slow
only by the median of its tasks: by what each of those that run has done since it was last seen,
so that tasks which ran before the runner became slow don't hide it. A task is rescheduled only if
a fresh run elsewhere would end much earlier, and only once, so that a slow pool doesn't churn.
"""

import collections
import statistics

import attrs

from daisyfall.policy import _runner_health

# Progress is measured over at least this time, shorter than the interval of a runner's reports, and
# over this share of the expected run time if that is longer, since it is in whole percents.
MIN_WINDOW_S = 0.09
MIN_WINDOW_SHARE = 0.025
# Progress in percent that is assumed for a window in which it was rounded down to none.
MIN_PROGRESS_PERCENT = 0.5
# Ended tasks count towards the median this long.
SAMPLE_RETENTION_S = 0.2
# Weight of the expected speed in the median, in samples: a single task has to be much slower than
# expected for its runner to count as slow.
PRIOR_SAMPLES = 0.5
# A run is only stopped as a straggler if this many tasks show that the runner is slow, or if it
# runs alone and has been slow in this many windows in a row.
MIN_SAMPLES = 2
MIN_SLOW_WINDOWS = 3
# The remaining time has to exceed a fresh run by this factor and by the ms of stop, placement and
# start.
RESCHEDULE_FACTOR = 1.5
RESCHEDULE_COST_MS = 80.0
MAX_SLOWDOWN = 20.0


@attrs.define(slots=True, eq=False)
class TaskProgress:
    """Progress of one running task; `slowdown` is 0 if unknown, `slow_windows` in a row were slow.

    Windows are measured by the runner's clock, since answers may be late; the first one begins
    when the start was confirmed, at `started_at`, which is of the agent's clock.
    """

    expected_ms: float
    started_at: float
    percent: float = 0.0
    slowdown: float = 0.0
    slow_windows: int = 0
    _window_start_percent: float = 0.0
    _window_start: float = -1.0

    def update(self, percent: float, now: float, runner_clock: float) -> None:
        """Update the slowdown by the progress that the runner reports."""
        self.percent = percent
        is_first = self._window_start < 0
        elapsed_s = now - self.started_at if is_first else runner_clock - self._window_start
        window_s = max(MIN_WINDOW_S, MIN_WINDOW_SHARE * self.expected_ms / 1000)
        if elapsed_s >= window_s and self.expected_ms > 0:
            progress = max(percent - self._window_start_percent, MIN_PROGRESS_PERCENT)
            total_ms = elapsed_s * 1000 * 100 / progress
            self.slowdown = min(total_ms / self.expected_ms, MAX_SLOWDOWN)
            is_slow = self.slowdown >= _runner_health.SLOW_RUNNER_SLOWNESS
            self.slow_windows = self.slow_windows + 1 if is_slow else 0
            self._window_start, self._window_start_percent = runner_clock, percent

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

    def samples(self, running: list[TaskProgress], now: float) -> list[float]:
        """Return the present slowdown of each task, as far as it is known."""
        samples = [progress.slowdown for progress in running if progress.slowdown]
        samples += [slowdown for at, slowdown in self._ended if now - at < SAMPLE_RETENTION_S]
        return samples


def median(samples: list[float]) -> float:
    """Return the median slowdown, 0 without samples; few of them count less."""
    if not samples:
        return 0.0
    return statistics.median(samples) ** (len(samples) / (len(samples) + PRIOR_SAMPLES))
