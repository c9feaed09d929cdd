"""Run times learnt per buyer and kind."""

import attrs

# Below this a task costs mostly its messages; it also bounds the queue derived from run times.
FLOOR_MS = 0.02
# A kind that is not learnt is placed as if it took at least this: most tasks do.
UNLEARNT_MS = 50.0
_SMOOTHING = 0.05
_CLIP_AFTER = 8
_CLIP_FACTOR = 8.0
_MAX_KINDS = 20_000


@attrs.define(slots=True, eq=False)
class RunTime:
    """Learnt mean run time of one kind, in ms, and the number of samples."""

    mean_ms: float
    samples: int = 1

    def add(self, run_ms: float) -> None:
        """Move the mean towards one more sample."""
        self.samples += 1
        # A straggler's single result must not move the estimate of the whole kind.
        if self.samples > _CLIP_AFTER and run_ms > _CLIP_FACTOR * self.mean_ms:
            run_ms = _CLIP_FACTOR * self.mean_ms
        weight = 1.0 / self.samples if self.samples < 1 / _SMOOTHING else _SMOOTHING
        self.mean_ms += weight * (run_ms - self.mean_ms)
        self.mean_ms = max(self.mean_ms, FLOOR_MS)


class Estimates:
    """Learnt run times by (buyer, kind), bounded in number; the oldest kinds go first."""

    def __init__(self) -> None:
        self._by_kind: dict[tuple[str, str], RunTime] = {}
        self._overall = RunTime(FLOOR_MS, 0)

    def find(self, buyer: str, kind: str) -> RunTime | None:
        """Return what was learnt of a kind, None if nothing."""
        return self._by_kind.get((buyer, kind))

    def counted_ms(self, declared_ms: float) -> float:
        """Return the time to count in the queue for a task whose kind is not learnt.

        Declared times are far off, so they refuse nobody before anything was measured, and
        the mean of all tasks caps them afterwards.
        """
        if not self._overall.samples:
            return FLOOR_MS
        return max(min(declared_ms, self._overall.mean_ms), FLOOR_MS)

    def learn(self, buyer: str, kind: str, run_ms: float) -> None:
        """Add the measured run time of one finished task."""
        key = (buyer, kind)
        found = self._by_kind.get(key)
        if found is None:
            if len(self._by_kind) >= _MAX_KINDS:
                del self._by_kind[next(iter(self._by_kind))]
            self._by_kind[key] = RunTime(max(run_ms, FLOOR_MS))
        else:
            found.add(run_ms)
        self._overall.add(run_ms)
