"""Pace of the tasks on one runner, and which of them to move away.

Answers runners that turn slow while their health looks good. Declared run times are far off
for single tasks, so a runner is slow only by the median of its tasks; a task is moved only if
a fresh run elsewhere ends much earlier, and only once, so that a slow pool doesn't churn.
"""

import collections
import statistics

import attrs

# Progress is compared over this time; shorter ones are lost in whole percents.
WINDOW_S = 0.2
# Progress within a window that is rounded to nothing counts as this many percent.
ROUNDED_PERCENT = 0.5
# Paces of ended tasks count this long.
REMEMBER_S = 2.0
FEWEST_SAMPLES = 4
SLOW_RUNNER = 2.5
# A move has to win this factor and this time, in ms: stop, new place, new start.
MOVE_FACTOR = 1.5
MOVE_COST_MS = 80.0
HIGHEST_PACE = 20.0


@attrs.define(slots=True, eq=False)
class TaskPace:
    """Progress of one task; `pace` is its run time over the expected one, 0 if unknown."""

    expected_ms: float
    since: float
    percent: float = 0.0
    since_percent: float = 0.0
    pace: float = 0.0

    def apply_snapshot(self, percent: float, now: float) -> None:
        """Take a reading of the task's progress."""
        self.percent = percent
        elapsed_s = now - self.since
        if elapsed_s >= WINDOW_S and self.expected_ms > 0:
            moved = max(percent - self.since_percent, ROUNDED_PERCENT)
            whole_ms = elapsed_s * 1000 * 100 / moved
            self.pace = min(whole_ms / self.expected_ms, HIGHEST_PACE)
            self.since, self.since_percent = now, percent

    @property
    def left_ms(self) -> float:
        """Return the time that the task still takes at its pace."""
        return (100 - self.percent) / 100 * self.expected_ms * self.pace

    def is_better_moved(self) -> bool:
        """Tell whether a fresh run at the usual pace would end much earlier."""
        return self.left_ms > MOVE_FACTOR * self.expected_ms + MOVE_COST_MS


class RunnerPace:
    """Paces of the tasks that run now, and of those that ended lately."""

    def __init__(self) -> None:
        self._ended: collections.deque[tuple[float, float]] = collections.deque(maxlen=16)

    def ended(self, pace: float, now: float) -> None:
        """Take the whole run time of a task over its expected one."""
        self._ended.append((now, min(pace, HIGHEST_PACE)))

    def median(self, running: list[TaskPace], now: float) -> float:
        """Return the median pace, 0 with too few samples."""
        samples = [each.pace for each in running if each.pace]
        samples += [pace for at, pace in self._ended if now - at < REMEMBER_S]
        return statistics.median(samples) if len(samples) >= FEWEST_SAMPLES else 0.0
