"""Scheduler of the pools: places queued tasks on runners; no I/O, the caller passes events."""

import random

import attrs

from daisyfall.policy import (
    _evacuations,
    _gradual_return,
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
    """The queues by pool, and the capacity of all runners."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.runner_by_id: dict[str, _runner_capacity.RunnerCapacity] = {}
        self._runners_by_pool: dict[str, _pool_runners.PoolRunners] = {}
        self._queue_by_pool: dict[str, _job_queue.JobQueue] = {}
        self._batch_by_id: dict[str, _job_queue.TaskBatch] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._returns = _gradual_return.GradualReturn()
        self._share_by_data_centre: dict[str, float] = {}

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
        if known.incarnation != runner.incarnation:
            known.incarnation = runner.incarnation
            known.health = _runner_health.RunnerHealth()
            known.largest = runner.largest
        known.resize(runner.cpu, runner.memory_mb, runner.accelerators)
        known.data_centre = runner.data_centre
        self._update_evacuation(known)

    def set_evacuated(self, data_centres: frozenset[str], now: float) -> list[Refusal]:
        """Place nothing in these data centres; refuse batches of which only they could run a task.

        Runners of a data centre that is no longer among them return gradually.
        """
        for data_centre in data_centres - self._evacuated:
            self._returns.evacuate(data_centre, now)
        for data_centre in self._evacuated - data_centres:
            self._returns.take_back(data_centre, now)
        self._evacuated = data_centres
        self._share_by_data_centre = self._returns.share_by_data_centre(now)
        for runner in self.runner_by_id.values():
            self._update_evacuation(runner)
        refusals = [
            self._evacuation_refusal(batch)
            for batch in self._batch_by_id.values()
            if self._needs_evacuated_runner(batch)
        ]
        for refusal in refusals:
            self._remove(refusal.batch)
        return refusals

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
        self, runner_id: str, task: str, job_id: str, outcome: str, now: float
    ) -> list[Placement]:
        """Release a task's resources, update the runner's health and place what fits there now."""
        runner = self.runner_by_id.get(runner_id)
        if runner is None:
            return []
        runner.release(task)
        if outcome == DONE:
            runner.health.record_success()
        elif outcome == FAILED:
            may_eject = self._may_eject(runner.pool)
            runner.health.record_failure(job_id, now, may_eject=may_eject)
        elif outcome in RUNNER_FAULTS:
            may_eject = self._may_eject(runner.pool)
            runner.health.record_fault(now, may_eject=may_eject)
        self._runners(runner.pool).update(runner)
        if not len(self._queue(runner.pool)):
            return []
        return self._place(runner.pool, self._candidates(runner.pool, now, runner))

    def update_slowness(self, runner_id: str, slowdown: float) -> None:
        """Add a runner's median of run times over the expected ones, 0 if unknown."""
        runner = self.runner_by_id.get(runner_id)
        if runner is not None:
            runner.health.update_slowness(slowdown)
            self._runners(runner.pool).update(runner)

    def submit(self, batch: _job_queue.TaskBatch, now: float) -> list[Placement | Refusal]:
        """Queue the tasks of a job; return the decisions that could be made at once."""
        if batch.id in self._batch_by_id:
            return []
        confinement = self._runners(batch.pool).confinement
        confinement.record_work(batch.route, batch.core_seconds, now)
        candidates = self._candidates(batch.pool, now)
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
        self._advance_returns(now)
        for runners in self._runners_by_pool.values():
            runners.advance(now)
        for pool, queue in self._queue_by_pool.items():
            if len(queue):
                decisions += self._place(pool, self._candidates(pool, now))
                decisions += self._refuse_expired(pool, now)
        return decisions

    def cores(self, pool: str, route: str = "") -> float:
        """Return the cores of the healthy runners that accept tasks, or tasks of a route."""
        return self._runners(pool).cpu_for(route) / 1000

    def _queue(self, pool: str) -> _job_queue.JobQueue:
        return self._queue_by_pool.setdefault(pool, _job_queue.JobQueue())

    def _runners(self, pool: str) -> _pool_runners.PoolRunners:
        return self._runners_by_pool.setdefault(pool, _pool_runners.PoolRunners())

    def _may_eject(self, pool: str) -> bool:
        """Return whether one more runner may be ejected.

        Failures on most runners at once indicate a fault of the tasks, not of the runners.
        """
        runners = self._runners(pool)
        return runners.ejected < max(1, int(len(runners) * MAX_EJECTED_FRACTION))

    def _candidates(
        self, pool: str, now: float, only: _runner_capacity.RunnerCapacity | None = None
    ) -> _pool_runners.Candidates:
        return _pool_runners.Candidates(self._runners(pool), now, only)

    def _refuse_on_arrival(
        self, batch: _job_queue.TaskBatch, candidates: _pool_runners.Candidates, now: float
    ) -> Refusal | None:
        pool = self._runners(batch.pool)
        runners = pool.runner_by_id.values()
        if runners and not all(
            any(runner.may_ever_fit(demand) for runner in runners) for demand in batch.demands
        ):
            return Refusal(batch, IMPOSSIBLE, 0.0)
        if self._needs_evacuated_runner(batch):
            return self._evacuation_refusal(batch)
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

    def _update_evacuation(self, runner: _runner_capacity.RunnerCapacity) -> None:
        is_evacuated = runner.data_centre in self._evacuated
        share = self._share_by_data_centre.get(runner.data_centre, 1.0)
        runner.set_evacuation(is_evacuated=is_evacuated, share=share)
        self._runners(runner.pool).update(runner)

    def _advance_returns(self, now: float) -> None:
        """Bring the capacity of runners that return from an evacuation up to date."""
        previous, self._share_by_data_centre = (
            self._share_by_data_centre,
            self._returns.share_by_data_centre(now),
        )
        if self._share_by_data_centre != previous:
            for runner in self.runner_by_id.values():
                self._update_evacuation(runner)

    def _needs_evacuated_runner(self, batch: _job_queue.TaskBatch) -> bool:
        """Return whether only runners of evacuated data centres could run a task of a batch."""
        runners = self._runners(batch.pool)
        return bool(self._evacuated) and any(map(runners.fits_evacuated_only, batch.demands))

    def _evacuation_refusal(self, batch: _job_queue.TaskBatch) -> Refusal:
        """Return a refusal with a late retry, as the operator decides when to take back."""
        after_s = _job_queue.retry_after_s(0.0, 0.0, self._rng.random())
        return Refusal(batch, _evacuations.EVACUATED, after_s)

    def _place(self, pool: str, candidates: _pool_runners.Candidates) -> list[Placement]:
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


def _place_tasks(
    batch: _job_queue.TaskBatch, candidates: _pool_runners.Candidates
) -> dict[str, str]:
    """Place as many tasks of a batch as fit, the longest first; return runner ids by task."""
    runner_by_task: dict[str, str] = {}
    remaining = []
    for demand in batch.demands:
        runner = candidates.choose(demand, batch.route)
        if runner is None:
            remaining.append(demand)
            continue
        candidates.allocate(runner, demand)
        runner_by_task[demand.task] = runner.id
    if runner_by_task:
        batch.set_demands(remaining)
    return runner_by_task
