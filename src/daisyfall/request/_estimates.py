"""What was learnt per buyer and kind: run times, and how many tasks ended well or failed."""

import attrs

# Below this a task costs mostly its messages; it also bounds the queue derived from run times.
FLOOR_MS = 0.02
# A kind that is not learnt is placed as if it took at least this: most tasks do.
UNLEARNT_MS = 50.0
_SMOOTHING = 0.05
_CLIP_AFTER = 8
_CLIP_FACTOR = 8.0
_MAX_KINDS = 20_000
_WINDOW = 128.0


@attrs.define(slots=True, eq=False)
class Record:
    """One kind: mean run time in ms and its samples; outcomes, halved after each window."""

    mean_ms: float = FLOOR_MS
    samples: int = 0
    done: float = 0.0
    failed: float = 0.0
    failed_by_agent: dict[str, float] = attrs.Factory(dict)

    def add(self, run_ms: float) -> None:
        """Add a task that ended well and move the mean towards its run time."""
        self.samples += 1
        # A straggler's single result must not move the estimate of the whole kind.
        if self.samples > _CLIP_AFTER and run_ms > _CLIP_FACTOR * self.mean_ms:
            run_ms = _CLIP_FACTOR * self.mean_ms
        weight = 1.0 / self.samples if self.samples < 1 / _SMOOTHING else _SMOOTHING
        self.mean_ms += weight * (run_ms - self.mean_ms)
        self.mean_ms = max(self.mean_ms, FLOOR_MS)
        self.done += 1.0
        if self.done > _WINDOW:
            self._halve()

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

    def record(self, buyer: str, kind: str) -> Record:
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
            return FLOOR_MS
        return max(min(declared_ms, self._overall.mean_ms), FLOOR_MS)

    def learn(self, record: Record, run_ms: float) -> None:
        """Add the measured run time of one task that ended well."""
        record.add(run_ms)
        self._overall.add(run_ms)
