"""Places the tasks of waiting jobs on the runners of the pools; pure, fed with events."""

import random

import attrs

from daisyfall.policy import _evidence, _room, _waiting

# Ends that are reported with a task's room.
DONE = "done"
FAILED = "failed"
# The runner let the task down: it stood still, or an order on it was not answered.
FAULTY_ENDS = frozenset({"stalled", "unanswered", "unhealthy", "lost"})


@attrs.frozen
class Placement:
    """Tasks of one item that were given a runner: pairs of task and runner id."""

    batch: _waiting.TaskBatch
    runner_by_task: dict[str, str]


@attrs.frozen
class Refusal:
    """An item that is not placed; none of its tasks were placed under this item."""

    batch: _waiting.TaskBatch
    reason: str
    retry_after_s: float


# Part of a pool's runners that evidence may take out at the same time.
LARGEST_OUT_SHARE = 1 / 3

IN_VAIN = "in_vain"
OVERDUE = "overdue"
FULL = "full"
IMPOSSIBLE = "impossible"
NO_RUNNER = "no_runner"


class Scheduler:
    """Queues by pool and the room of all runners."""

    def __init__(self, source: random.Random) -> None:
        self._source = source
        self.runner_by_id: dict[str, _room.RunnerCapacity] = {}
        self._rooms_by_pool: dict[str, list[_room.RunnerCapacity]] = {}
        self._waiting_by_pool: dict[str, _waiting.Waiting] = {}
        self._item_by_id: dict[str, _waiting.TaskBatch] = {}

    @property
    def queued(self) -> int:
        """Return the number of items that wait."""
        return len(self._item_by_id)

    def update_runner(self, room: _room.RunnerCapacity) -> None:
        """Add a runner, or take over its new capacity, labels and openness."""
        known = self.runner_by_id.get(room.id)
        if known is None or known.pool != room.pool:
            if known is not None:
                self._rooms_by_pool[known.pool].remove(known)
            self.runner_by_id[room.id] = room
            self._rooms_by_pool.setdefault(room.pool, []).append(room)
            return
        known.cpu, known.memory_mb, known.accelerators = (
            room.cpu,
            room.memory_mb,
            room.accelerators,
        )
        known.labels, known.is_open = room.labels, room.is_open
        if known.incarnation != room.incarnation:
            known.incarnation = room.incarnation
            known.health = _evidence.Evidence()
        known.recount()

    def mark_runner_unreachable(self, runner_id: str) -> None:
        """Forget what is held at a runner that can't be reached; keep the evidence on it."""
        room = self.runner_by_id.get(runner_id)
        if room is not None:
            room.is_open = False
            room.is_known = False

    def sync_allocations(
        self, runner_id: str, allocation_by_task: dict[str, _room.Allocation], now: float
    ) -> None:
        """Take over the whole list of tasks that a runner's agent holds."""
        room = self.runner_by_id.get(runner_id)
        if room is not None:
            room.replace(allocation_by_task, now)

    def record_task_end(
        self, runner_id: str, task: str, job_id: str, how: str, now: float
    ) -> list[Placement]:
        """Take the end of a task, and what it says of its runner; place what fits there now."""
        room = self.runner_by_id.get(runner_id)
        if room is None:
            return []
        room.release(task)
        if how == DONE:
            room.health.succeeded()
        elif how == FAILED:
            may_leave_out = self._may_leave_out(room.pool)
            room.health.failed(job_id, now, may_leave_out=may_leave_out)
        elif how in FAULTY_ENDS:
            may_leave_out = self._may_leave_out(room.pool)
            room.health.faulted(now, may_leave_out=may_leave_out)
        if not len(self._queue(room.pool)):
            return []
        return self._place(room.pool, self._candidates(room.pool, now, room))

    def update_slowness(self, runner_id: str, pace: float) -> None:
        """Note how slow a runner is compared with the expected run times, 0 if unknown."""
        room = self.runner_by_id.get(runner_id)
        if room is not None:
            room.health.update_slowness(pace)

    def submit(self, batch: _waiting.TaskBatch, now: float) -> list[Placement | Refusal]:
        """Queue the tasks of a job; return what is decided at once."""
        if batch.id in self._item_by_id:
            return []
        candidates = self._candidates(batch.pool, now)
        refusal = self._refuse_at_arrival(batch, candidates, now)
        if refusal is not None:
            return [refusal]
        self._queue(batch.pool).add(batch)
        self._item_by_id[batch.id] = batch
        return self._place(batch.pool, candidates)

    def withdraw(self, entry_id: str, job_id: str) -> None:
        """Drop what waits of a job."""
        for batch in list(self._item_by_id.values()):
            if batch.entry_id == entry_id and batch.job_id == job_id:
                self._drop(batch)

    def withdraw_entry(self, entry_id: str) -> None:
        """Drop what waits of an entry that can't be reached."""
        for batch in list(self._item_by_id.values()):
            if batch.entry_id == entry_id:
                self._drop(batch)

    def advance(self, now: float) -> list[Placement | Refusal]:
        """Place what fits now in all pools, and refuse what is overdue."""
        decisions: list[Placement | Refusal] = []
        for pool, waiting in self._waiting_by_pool.items():
            if len(waiting):
                decisions += self._place(pool, self._candidates(pool, now))
                decisions += self._refuse_overdue(waiting, now)
        return decisions

    def cores(self, pool: str) -> float:
        """Return the cores of the runners that take work."""
        return sum(each.cpu for each in self._usable(pool)) / 1000

    def _queue(self, pool: str) -> _waiting.Waiting:
        return self._waiting_by_pool.setdefault(pool, _waiting.Waiting())

    def _runners(self, pool: str) -> list[_room.RunnerCapacity]:
        return self._rooms_by_pool.get(pool, [])

    def _usable(self, pool: str) -> list[_room.RunnerCapacity]:
        return [
            each
            for each in self._runners(pool)
            if each.is_open and each.is_known and each.health.state is _evidence.State.IN
        ]

    def _may_leave_out(self, pool: str) -> bool:
        """Tell whether one more runner may be out; failures everywhere speak against the work."""
        runners = self._runners(pool)
        out = sum(each.health.state is not _evidence.State.IN for each in runners)
        return out < max(1, int(len(runners) * LARGEST_OUT_SHARE))

    def _candidates(
        self, pool: str, now: float, only: _room.RunnerCapacity | None = None
    ) -> _room.Candidates:
        return _room.Candidates(self._runners(pool), now, only)

    def _refuse_at_arrival(
        self, batch: _waiting.TaskBatch, candidates: _room.Candidates, now: float
    ) -> Refusal | None:
        runners = self._runners(batch.pool)
        if runners and not all(
            any(room.fits_when_empty(demand) for room in runners) for demand in batch.demands
        ):
            return Refusal(batch, IMPOSSIBLE, 0.0)
        if self.queued >= _waiting.LONGEST_QUEUE:
            return self._refusal(batch, FULL)
        waiting = self._queue(batch.pool)
        if not len(waiting) and all(candidates.choose(each) for each in batch.demands[:1]):
            return None
        if _waiting.is_in_vain(batch, waiting.work_before(batch), self.cores(batch.pool), now):
            return self._refusal(batch, IN_VAIN)
        return None

    def _refusal(self, batch: _waiting.TaskBatch, reason: str) -> Refusal:
        work = self._queue(batch.pool).work()
        jitter = self._source.random()
        after_s = _waiting.retry_after_s(work, self.cores(batch.pool), jitter)
        return Refusal(batch, reason, after_s)

    def _place(self, pool: str, candidates: _room.Candidates) -> list[Placement]:
        waiting = self._queue(pool)
        decisions = []
        for batch in waiting.fitting(candidates):
            runner_by_task = _place_tasks(batch, candidates)
            if runner_by_task:
                decisions.append(Placement(batch, runner_by_task))
                self._move_to_started(batch, waiting)
            if not batch.demands:
                self._drop(batch)
        return decisions

    def _move_to_started(self, batch: _waiting.TaskBatch, waiting: _waiting.Waiting) -> None:
        if not batch.has_started:
            waiting.remove(batch)
            batch.has_started = True
            waiting.add(batch)

    def _refuse_overdue(self, waiting: _waiting.Waiting, now: float) -> list[Refusal]:
        overdue = waiting.take_overdue(now)
        for batch in overdue:
            del self._item_by_id[batch.id]
        return [self._refusal(batch, OVERDUE) for batch in overdue]

    def _drop(self, batch: _waiting.TaskBatch) -> None:
        self._item_by_id.pop(batch.id, None)
        self._queue(batch.pool).remove(batch)


def _place_tasks(batch: _waiting.TaskBatch, candidates: _room.Candidates) -> dict[str, str]:
    """Place as many tasks of an item as fit, the longest first; return runner ids by task."""
    runner_by_task: dict[str, str] = {}
    left = []
    for demand in batch.demands:
        room = candidates.choose(demand)
        if room is None:
            left.append(demand)
            continue
        candidates.allocate(room, demand)
        runner_by_task[demand.task] = room.id
    if runner_by_task:
        batch.keep(left)
    return runner_by_task
