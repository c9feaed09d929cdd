"""Scheduler of the pools: places queued tasks on runners; no I/O, the caller passes events."""

import random

import attrs

from daisyfall.policy import (
    _candidates,
    _job_queue,
    _pool_runners,
    _runner_capacity,
    _runner_health,
)

# Outcomes that agents report when a task's resources are released.
DONE = "done"
FAILED = "failed"
# Outcomes that are faults of the runner: no progress, an unanswered order, or a lost runner.
RUNNER_FAULTS = frozenset({"stalled", "unanswered", "unhealthy", "lost"})


@attrs.frozen
class Placement:
    """Tasks of one batch that were placed: runner ids by task."""

    batch: _job_queue.TaskBatch
    runner_by_task: dict[str, str]


@attrs.frozen
class Refusal:
    """A refused batch; `retry_after_s` is 0 if a retry can't help."""

    batch: _job_queue.TaskBatch
    reason: str
    retry_after_s: float


# Fraction of a pool's runners that may be ejected at the same time.
MAX_EJECTED_FRACTION = 1 / 3

# Reasons of a refusal.
WOULD_START_LATE = "in_vain"
EXPIRED = "overdue"
QUEUE_FULL = "full"
IMPOSSIBLE = "impossible"
NO_RUNNER = "no_runner"


class Scheduler:
    """The queues by pool, and the capacity of all runners.

    A task takes `remote_factor` times as long away from its preferred rack; 1.0 if that isn't
    known.
    """

    def __init__(self, rng: random.Random, remote_factor: float = 1.0) -> None:
        self._rng = rng
        self._remote_factor = remote_factor
        self.runner_by_id: dict[str, _runner_capacity.RunnerCapacity] = {}
        self._runners_by_pool: dict[str, _pool_runners.PoolRunners] = {}
        self._queue_by_pool: dict[str, _job_queue.JobQueue] = {}
        self._batch_by_id: dict[str, _job_queue.TaskBatch] = {}

    @property
    def queued(self) -> int:
        """Return the number of queued batches."""
        return len(self._batch_by_id)

    def update_runner(self, runner: _runner_capacity.RunnerCapacity) -> None:
        """Add a runner, or update its capacity, labels and whether it accepts tasks."""
        known = self.runner_by_id.setdefault(runner.id, runner)
        if known.pool != runner.pool:
            # An agent whose runner has not announced itself has reported no pool.
            self._runners(known.pool).remove(known)
            known.pool = runner.pool
        known.labels, known.is_open = runner.labels, runner.is_open
        known.leaves_at = runner.leaves_at
        if known.incarnation != runner.incarnation:
            known.incarnation = runner.incarnation
            known.health = _runner_health.RunnerHealth()
            known.largest = runner.largest
            self._runners(known.pool).speeds.update(known.id, known.kind, 1.0, 0)
        known.resize(runner.cpu, runner.memory_mb, runner.accelerators)
        self._runners(known.pool).update(known)

    def mark_runner_unreachable(self, runner_id: str) -> None:
        """Place nothing on a runner until it reports again; its health is kept."""
        runner = self.runner_by_id.get(runner_id)
        if runner is not None:
            runner.is_open = False
            runner.has_report = False
            self._runners(runner.pool).update(runner)

    def sync_allocations(
        self, runner_id: str, allocation_by_task: dict[str, _runner_capacity.Allocation], now: float
    ) -> None:
        """Replace the allocations on a runner by the list that its agent reports."""
        runner = self.runner_by_id.get(runner_id)
        if runner is not None:
            runner.replace(allocation_by_task, now)
            self._runners(runner.pool).update(runner)

    def record_task_end(
        self,
        runner_id: str,
        task: str,
        job_id: str,
        outcome: str,
        now: float,
        *,
        slowdown: float = 0.0,
    ) -> list[Placement]:
        """Release a task's resources, update the runner's health and place what fits there now.

        `slowdown` is its run time over the expected one, 0 if unknown.
        """
        runner = self.runner_by_id.get(runner_id)
        if runner is None:
            return []
        allocation = runner.release(task)
        placed_at = allocation.allocated_at if allocation is not None else now
        health = runner.health
        if outcome == DONE and slowdown >= _runner_health.SLOW_RUNNER_SLOWNESS:
            health.record_slow_task(placed_at, now)
        elif outcome == DONE:
            health.record_success(placed_at)
        elif outcome == FAILED:
            health.record_failure(job_id, now, may_eject=self._may_eject(runner.pool))
        elif outcome in RUNNER_FAULTS:
            health.record_fault(now, may_eject=self._may_eject(runner.pool))
        self._runners(runner.pool).update(runner)
        if not len(self._queue(runner.pool)):
            return []
        return self._place(runner.pool, self._candidate_runners(runner.pool, now, runner))

    def update_speed(
        self, runner_id: str, slowness: float, now: float, *, speed: float = 1.0, samples: int = 0
    ) -> None:
        """Set what the agent of a runner has measured.

        `slowness` is the present median of run times over the expected ones, 0 if unknown, `speed`
        the mean of expected run times over the measured ones in `samples` tasks.
        """
        runner = self.runner_by_id.get(runner_id)
        if runner is not None:
            runners = self._runners(runner.pool)
            runners.speeds.update(runner_id, runner.kind, speed, samples)
            may_eject = self._may_eject(runner.pool)
            runner.health.update_slowness(slowness, now, may_eject=may_eject)
            runners.update(runner)

    def submit(self, batch: _job_queue.TaskBatch, now: float) -> list[Placement | Refusal]:
        """Queue the tasks of a job; return the decisions that could be made at once."""
        if batch.id in self._batch_by_id:
            return []
        confinement = self._runners(batch.pool).confinement
        confinement.record_work(batch.route, batch.core_seconds, now)
        self._runners(batch.pool).record_demands(batch.demands, now)
        candidates = self._candidate_runners(batch.pool, now)
        refusal = self._refuse_on_arrival(batch, candidates, now)
        if refusal is not None:
            return [refusal]
        self._queue(batch.pool).add(batch)
        self._batch_by_id[batch.id] = batch
        return self._place(batch.pool, candidates)

    def confine(self, route: str, now: float) -> None:
        """Keep the tasks of a route on a share of its pool for a while."""
        for runners in self._runners_by_pool.values():
            runners.confinement.confine(route, now)
            runners.advance(now)

    def withdraw(self, entry_id: str, job_id: str) -> None:
        """Remove the queued tasks of a job."""
        for batch in list(self._batch_by_id.values()):
            if batch.entry_id == entry_id and batch.job_id == job_id:
                self._remove(batch)

    def withdraw_entry(self, entry_id: str) -> None:
        """Remove the queued tasks of an entry that can't be reached."""
        for batch in list(self._batch_by_id.values()):
            if batch.entry_id == entry_id:
                self._remove(batch)

    def advance(self, now: float) -> list[Placement | Refusal]:
        """Run a scheduling round for all pools: place what fits and refuse what has expired."""
        decisions: list[Placement | Refusal] = []
        for runners in self._runners_by_pool.values():
            runners.advance(now)
        for pool, queue in self._queue_by_pool.items():
            if len(queue):
                decisions += self._place(pool, self._candidate_runners(pool, now))
                decisions += self._refuse_expired(pool, now)
        return decisions

    def cores(self, pool: str, route: str = "") -> float:
        """Return the cores of the healthy runners that accept tasks, or tasks of a route."""
        return self._runners(pool).cpu_for(route) / 1000

    def _queue(self, pool: str) -> _job_queue.JobQueue:
        return self._queue_by_pool.setdefault(pool, _job_queue.JobQueue())

    def _runners(self, pool: str) -> _pool_runners.PoolRunners:
        runners = self._runners_by_pool.get(pool)
        if runners is None:
            runners = self._runners_by_pool[pool] = _pool_runners.PoolRunners(self._remote_factor)
        return runners

    def _may_eject(self, pool: str) -> bool:
        """Return whether one more runner may be ejected.

        Failures on most runners at once indicate a fault of the tasks, not of the runners.
        """
        runners = self._runners(pool)
        return runners.ejected < max(1, int(len(runners) * MAX_EJECTED_FRACTION))

    def _candidate_runners(
        self, pool: str, now: float, only: _runner_capacity.RunnerCapacity | None = None
    ) -> _candidates.Candidates:
        return _candidates.Candidates(self._runners(pool), now, only)

    def _refuse_on_arrival(
        self, batch: _job_queue.TaskBatch, candidates: _candidates.Candidates, now: float
    ) -> Refusal | None:
        pool = self._runners(batch.pool)
        runners = pool.runner_by_id.values()
        if runners and not all(
            any(runner.may_ever_fit(demand) for runner in runners) for demand in batch.demands
        ):
            return Refusal(batch, IMPOSSIBLE, 0.0)
        if self.queued >= _job_queue.MAX_QUEUED_BATCHES:
            return self._refusal(batch, QUEUE_FULL)
        queue = self._queue(batch.pool)
        if not len(queue) and all(
            candidates.choose(demand, batch.route) for demand in batch.demands[:1]
        ):
            return None
        bulkhead_of = pool.confinement.bulkhead
        bulkhead = bulkhead_of(batch.route)
        cores = self.cores(batch.pool, batch.route)
        work_ahead = queue.work_ahead(batch, lambda queued: bulkhead_of(queued.route) == bulkhead)
        if bulkhead is not None and not cores and not batch.has_started:
            # Runners that crashed are down for longer than the job may wait.
            return self._refusal(batch, WOULD_START_LATE)
        if _job_queue.would_start_late(batch, work_ahead, cores, now) and not (
            batch.may_become_late(now) and pool.is_recovering()
        ):
            return self._refusal(batch, WOULD_START_LATE)
        return None

    def _refusal(self, batch: _job_queue.TaskBatch, reason: str) -> Refusal:
        work = self._queue(batch.pool).total_work()
        jitter = self._rng.random()
        after_s = _job_queue.retry_after_s(work, self.cores(batch.pool, batch.route), jitter)
        return Refusal(batch, reason, after_s)

    def _place(self, pool: str, candidates: _candidates.Candidates) -> list[Placement]:
        queue = self._queue(pool)
        decisions = []
        runners = self._runners(pool)
        for batch in queue.placeable(candidates):
            if batch.is_late and not runners.has_spare():
                continue
            runner_by_task = _place_tasks(batch, candidates)
            if runner_by_task:
                decisions.append(Placement(batch, runner_by_task))
                self._mark_started(batch, queue)
            if not batch.demands:
                self._remove(batch)
        return decisions

    def _mark_started(self, batch: _job_queue.TaskBatch, queue: _job_queue.JobQueue) -> None:
        if not batch.has_started:
            queue.remove(batch)
            batch.has_started = True
            # The work done would be lost if its other tasks waited for spare capacity.
            batch.is_late = False
            queue.add(batch)

    def _refuse_expired(self, pool: str, now: float) -> list[Refusal]:
        is_recovering = self._runners(pool).is_recovering()
        expired = self._queue(pool).pop_expired(now, keeps_late=is_recovering)
        for batch in expired:
            del self._batch_by_id[batch.id]
        return [self._refusal(batch, EXPIRED) for batch in expired]

    def _remove(self, batch: _job_queue.TaskBatch) -> None:
        self._batch_by_id.pop(batch.id, None)
        self._queue(batch.pool).remove(batch)


def _place_tasks(batch: _job_queue.TaskBatch, candidates: _candidates.Candidates) -> dict[str, str]:
    """Place as many tasks of a batch as fit, the longest first; return runner ids by task."""
    runner_by_task: dict[str, str] = {}
    remaining = []
    slack_ms = (batch.latest_start - candidates.now) * 1000
    ends_with_ms = 0.0
    for demand in batch.demands:
        runner = candidates.choose(demand, batch.route, slack_ms, ends_with_ms)
        if runner is None:
            remaining.append(demand)
            continue
        ends_with_ms = max(ends_with_ms, candidates.run_ms(runner, demand))
        candidates.allocate(runner, demand)
        runner_by_task[demand.task] = runner.id
    if runner_by_task:
        batch.set_demands(remaining)
    return runner_by_task
