"""Speed of runners: learnt from the run times of their tasks, and by kind of runner.

Answers pools whose runners are of several kinds, each with a speed of its own, and where single
runners are faster or slower than others of their kind. A speed is the expected run time over the
measured one: on a runner of speed 2.0 tasks take half of the expected time. Agents measure it;
the scheduling entry combines the figures of the runners of a kind, so that a runner with few
samples counts as fast as the others of its kind.
"""

import functools
import math

import attrs

# Declared run times are inaccurate: one sample may differ from the speed by at most this factor.
MAX_SAMPLE_FACTOR = 2.5
# Limit of the speeds that agents report, and of their reciprocals.
MAX_SPEED = 20.0
# Samples over which the speed of a runner is averaged.
MAX_SAMPLES = 32
# Weight of the speed of the kind in that of a runner, and of the speed 1.0 in that of a kind, in
# samples.
PRIOR_SAMPLES = 12
# Speeds are compared in classes: each is slower than the one before by this much, as a logarithm.
CLASS_WIDTH = 0.125
# A runner keeps its class until its speed is this far from the middle of it, in class widths, so
# that noise doesn't change the order of the runners all the time.
CLASS_HYSTERESIS = 0.75


@functools.cache
def class_speed(speed_class: int) -> float:
    """Return the speed in the middle of a class; class 0 is that of speed 1.0."""
    return math.exp(-speed_class * CLASS_WIDTH)


def class_of(speed: float) -> int:
    """Return the class of a speed; a higher class is slower."""
    return round(-math.log(speed) / CLASS_WIDTH)


class SpeedMeter:
    """Measures the speed of one runner by the tasks that have ended there; used by its agent."""

    def __init__(self) -> None:
        self.samples = 0
        self._log_speed = 0.0

    @property
    def speed(self) -> float:
        """Return the mean speed, 1.0 without samples."""
        return math.exp(self._log_speed)

    def add(self, slowdown: float) -> None:
        """Add the run time of a task over the expected one."""
        limit = math.log(MAX_SAMPLE_FACTOR)
        sample = min(max(-math.log(max(slowdown, 1e-3)), -limit), limit)
        self.samples = min(self.samples + 1, MAX_SAMPLES)
        self._log_speed += (sample - self._log_speed) / self.samples


@attrs.define(slots=True, eq=False)
class _Measured:
    """What is known of one runner: its kind, and the logarithm of its speed with its weight."""

    kind: str
    log_speed: float
    samples: int
    speed_class: int = 0


@attrs.define(slots=True, eq=False)
class _KindTotals:
    samples: int = 0
    weighted_log_speed: float = 0.0

    def add(self, measured: _Measured, sign: int) -> None:
        """Add a runner of this kind, or remove it with `sign` -1."""
        self.samples += sign * measured.samples
        self.weighted_log_speed += sign * measured.samples * measured.log_speed


class SpeedTable:
    """Speeds of the runners of one pool, and of the kinds of runners."""

    def __init__(self) -> None:
        self._measured_by_runner: dict[str, _Measured] = {}
        self._totals_by_kind: dict[str, _KindTotals] = {}

    def update(self, runner_id: str, kind: str, speed: float, samples: int) -> None:
        """Set what the agent of a runner has measured; 0 samples for a new incarnation."""
        previous = self._measured_by_runner.get(runner_id)
        if previous is not None:
            self._totals_by_kind[previous.kind].add(previous, -1)
        limit = math.log(MAX_SPEED)
        log_speed = min(max(math.log(speed), -limit), limit)
        measured = _Measured(kind, log_speed, min(max(samples, 0), MAX_SAMPLES))
        self._totals_by_kind.setdefault(kind, _KindTotals()).add(measured, 1)
        self._measured_by_runner[runner_id] = measured
        position = -self._log_speed(measured) / CLASS_WIDTH
        measured.speed_class = round(position)
        is_known = previous is not None and previous.kind == kind and samples > 0
        if is_known and abs(position - previous.speed_class) <= CLASS_HYSTERESIS:
            measured.speed_class = previous.speed_class

    def remove(self, runner_id: str) -> None:
        """Forget a runner."""
        measured = self._measured_by_runner.pop(runner_id, None)
        if measured is not None:
            self._totals_by_kind[measured.kind].add(measured, -1)

    def speed(self, runner_id: str) -> float:
        """Return the speed of a runner, 1.0 if nothing is known of it."""
        measured = self._measured_by_runner.get(runner_id)
        return math.exp(self._log_speed(measured)) if measured is not None else 1.0

    def speed_class(self, runner_id: str) -> int:
        """Return the class of a runner, as of its last update."""
        measured = self._measured_by_runner.get(runner_id)
        return measured.speed_class if measured is not None else 0

    def _kind_log_speed(self, kind: str) -> float:
        totals = self._totals_by_kind.get(kind)
        return totals.weighted_log_speed / (totals.samples + PRIOR_SAMPLES) if totals else 0.0

    def _log_speed(self, measured: _Measured) -> float:
        weighted = measured.samples * measured.log_speed
        weighted += PRIOR_SAMPLES * self._kind_log_speed(measured.kind)
        return weighted / (measured.samples + PRIOR_SAMPLES)
