"""Scheduler of the pools: places queued tasks on runners; no I/O, the caller passes events."""

import copy
import random

import attrs

from daisyfall.policy import (
    _candidates,
    _evacuated_runners,
    _evacuations,
    _job_queue,
    _pool,
    _retry_slots,
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


# Reasons of a refusal.
WOULD_START_LATE = "in_vain"
EXPIRED = "overdue"
DISPLACED = "displaced"
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
        self._pool_by_name: dict[str, _pool.Pool] = {}
        self._batch_by_id: dict[str, _job_queue.TaskBatch] = {}
        self._evacuations = _evacuated_runners.EvacuatedRunners()

    @property
    def queued(self) -> int:
        """Return the number of queued batches."""
        return len(self._batch_by_id)

    def update_runner(self, runner: _runner_capacity.RunnerCapacity) -> None:
        """Add a runner, or update its capacity, labels and whether it accepts tasks."""
        known = self.runner_by_id.setdefault(runner.id, runner)
        if known.pool != runner.pool:
            # An agent whose runner has not announced itself has reported no pool.
            self._get_pool(known.pool).runners.remove(known)
            known.pool = runner.pool
        known.labels, known.is_open = runner.labels, runner.is_open
        known.leaves_at = runner.leaves_at
        if known.incarnation != runner.incarnation:
            known.incarnation = runner.incarnation
            known.health = _runner_health.RunnerHealth()
            known.largest = runner.largest
            self._get_pool(known.pool).runners.speeds.update(known.id, known.kind, 1.0, 0)
        known.resize(runner.cpu, runner.memory_mb, runner.accelerators)
        known.data_centre = runner.data_centre
        self._update_evacuation(known)

    def set_evacuated(self, data_centres: frozenset[str], now: float) -> list[Refusal]:
        """Place nothing in these data centres; refuse batches of which only they could run a task.

        Runners of a data centre that is no longer among them return gradually.
        """
        self._evacuations.set(data_centres, now)
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
            self._get_pool(runner.pool).runners.update(runner)

    def sync_allocations(
        self, runner_id: str, allocation_by_task: dict[str, _runner_capacity.Allocation], now: float
    ) -> None:
        """Replace the allocations on a runner by the list that its agent reports."""
        runner = self.runner_by_id.get(runner_id)
        if runner is not None:
            runner.replace(allocation_by_task, now)
            self._get_pool(runner.pool).runners.update(runner)

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
        health, pool = runner.health, self._get_pool(runner.pool)
        if outcome == DONE and slowdown >= _runner_health.SLOW_RUNNER_SLOWNESS:
            health.record_slow_task(placed_at, now)
        elif outcome == DONE:
            health.record_success(placed_at)
        elif outcome == FAILED:
            health.record_failure(job_id, now, may_eject=pool.may_eject())
        elif outcome in RUNNER_FAULTS:
            health.record_fault(now, placed_at=placed_at, may_eject=pool.may_eject())
        pool.runners.update(runner)
        if not len(pool.queue):
            return []
        return self._place(runner.pool, self.candidates(runner.pool, now, runner), now)

    def update_speed(
        self, runner_id: str, slowness: float, now: float, *, speed: float = 1.0, samples: int = 0
    ) -> None:
        """Set what the agent of a runner has measured.

        `slowness` is the present median of run times over the expected ones, 0 if unknown, `speed`
        the mean of expected run times over the measured ones in `samples` tasks.
        """
        runner = self.runner_by_id.get(runner_id)
        if runner is not None:
            pool = self._get_pool(runner.pool)
            pool.runners.speeds.update(runner_id, runner.kind, speed, samples)
            is_slow = slowness >= _runner_health.SLOW_RUNNER_SLOWNESS
            may_eject = is_slow and pool.may_eject() and pool.runners.has_fast_others(runner)
            runner.health.update_slowness(slowness, now, may_eject=may_eject)
            pool.runners.update(runner)

    def submit(self, batch: _job_queue.TaskBatch, now: float) -> list[Placement | Refusal]:
        """Queue the tasks of a job; return the decisions that could be made at once."""
        if batch.id in self._batch_by_id or not batch.demands:
            return []
        pool = self._get_pool(batch.pool)
        queue = pool.queue
        pool.runners.confinement.record_work(batch.route, batch.core_seconds, now)
        batch.is_favoured = bool(len(queue)) and pool.shares.is_under_share(batch, now)
        pool.shares.record_request(batch, now)
        pool.runners.record_demands(batch.demands, now)
        # A job that has waited for another scheduling entry may be late already.
        is_late = now > batch.latest_start and batch.may_become_late(now)
        batch.is_late = is_late and pool.runners.is_recovering()
        candidates = self.candidates(batch.pool, now)
        refusal = self._refuse_on_arrival(batch, candidates, now)
        if refusal is not None:
            return [refusal]
        if len(queue):
            queue.add(batch)
            self._batch_by_id[batch.id] = batch
            decisions = self._place(batch.pool, candidates, now)
        else:
            decisions = self._place_batch(batch, candidates, now)
        if batch.demands:
            if batch.id not in self._batch_by_id:
                queue.add(batch)
                self._batch_by_id[batch.id] = batch
            self._get_pool(batch.pool).shortage.record_queued(batch)
            decisions += self._refuse_displaced(batch.pool, now)
        return decisions

    def confine(self, route: str, now: float) -> None:
        """Keep the tasks of a route on a share of its pool for a while."""
        for pool in self._pool_by_name.values():
            pool.runners.confinement.confine(route, now)
            pool.runners.advance(now)

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
        if self._evacuations.advance(now):
            for runner in self.runner_by_id.values():
                self._update_evacuation(runner)
        for name, pool in self._pool_by_name.items():
            pool.runners.advance(now)
            if len(pool.queue):
                # Jobs that have become late make room for those that can still be in time.
                decisions += self._refuse_expired(name, now)
                decisions += self._place(name, self.candidates(name, now), now)
                decisions += self._refuse_displaced(name, now)
            pool.shortage.advance(now)
        return decisions

    def copy_of_pool(self, pool: str) -> "Scheduler":
        """Return a scheduler with a copy of one pool, on which a decision can be tried."""
        other = Scheduler(copy.copy(self._rng), self._remote_factor)
        trial = other._pool_by_name[pool] = self._get_pool(pool).copy()
        other.runner_by_id = trial.runners.runner_by_id
        other._batch_by_id = dict(self._batch_by_id)
        for queued in self._get_pool(pool).queue.batches:
            batch = copy.copy(queued)
            other._batch_by_id[batch.id] = batch
            trial.queue.add(batch)
        other._evacuations = copy.deepcopy(self._evacuations)
        return other

    def candidates(
        self, pool: str, now: float, only: _runner_capacity.RunnerCapacity | None = None
    ) -> _candidates.Candidates:
        """Return the runners of a pool that may get a task now, or `only` one of them."""
        return _candidates.Candidates(self._get_pool(pool).runners, now, only)

    def work_ahead(self, batch: _job_queue.TaskBatch) -> float:
        """Return the core seconds that are queued before a batch on the runners of its route."""
        return self._get_pool(batch.pool).shortage.work_ahead(batch)

    def refused_by_short_pool(self) -> dict[str, int]:
        """Return, for each pool in shortage, the jobs refused since it began."""
        return {
            name: pool.shortage.refused
            for name, pool in self._pool_by_name.items()
            if pool.shortage.is_short
        }

    def cores(self, pool: str, route: str = "") -> float:
        """Return the cores of the healthy runners that accept tasks, or tasks of a route."""
        return self._get_pool(pool).runners.cpu_for(route) / 1000

    def _get_pool(self, name: str) -> _pool.Pool:
        pool = self._pool_by_name.get(name)
        if pool is None:
            pool = self._pool_by_name[name] = _pool.new_pool(self._remote_factor)
        return pool

    def _refuse_on_arrival(
        self, batch: _job_queue.TaskBatch, candidates: _candidates.Candidates, now: float
    ) -> Refusal | None:
        runners = self._get_pool(batch.pool).runners.runner_by_id.values()
        if runners and not all(
            any(runner.may_ever_fit(demand) for runner in runners) for demand in batch.demands
        ):
            return Refusal(batch, IMPOSSIBLE, 0.0)
        if self._needs_evacuated_runner(batch):
            return self._evacuation_refusal(batch)
        if self.queued >= _job_queue.MAX_QUEUED_BATCHES:
            return self._refusal(batch, QUEUE_FULL, now)
        if not self._get_pool(batch.pool).shortage.may_wait(batch, candidates, now):
            return self._refusal(batch, WOULD_START_LATE, now)
        return None

    def _refusal(self, batch: _job_queue.TaskBatch, reason: str, now: float) -> Refusal:
        shortage = self._get_pool(batch.pool).shortage
        shortage.record_refusal(now)
        cores = self.cores(batch.pool, batch.route)
        return Refusal(batch, reason, shortage.book_retry(batch, cores, self._rng.random(), now))

    def _update_evacuation(self, runner: _runner_capacity.RunnerCapacity) -> None:
        self._evacuations.apply(runner)
        self._get_pool(runner.pool).runners.update(runner)

    def _needs_evacuated_runner(self, batch: _job_queue.TaskBatch) -> bool:
        """Return whether only runners of evacuated data centres could run a task of a batch."""
        runners = self._get_pool(batch.pool).runners
        return bool(self._evacuations) and any(map(runners.fits_evacuated_only, batch.demands))

    def _evacuation_refusal(self, batch: _job_queue.TaskBatch) -> Refusal:
        """Return a refusal with a late retry, as the operator decides when to take back."""
        _, longest_s = _retry_slots.RETRY_AFTER_S
        after_s = longest_s * (1 + self._rng.random()) / 2
        return Refusal(batch, _evacuations.EVACUATED, after_s)

    def _place(self, pool: str, candidates: _candidates.Candidates, now: float) -> list[Placement]:
        decisions = []
        for batch in self._get_pool(pool).queue.placeable(candidates):
            decisions += self._place_batch(batch, candidates, now)
        return decisions

    def _place_batch(
        self, batch: _job_queue.TaskBatch, candidates: _candidates.Candidates, now: float
    ) -> list[Placement]:
        """Place the tasks of a batch that fit; remove it from the queue if none is left."""
        if not self._get_pool(batch.pool).shortage.may_start(batch, now):
            return []
        cpu, core_seconds, was_late = batch.cpu, batch.core_seconds, batch.is_late
        slack_ms = (batch.latest_start - now) * 1000
        runner_by_task, remaining = candidates.place(batch.demands, batch.route, slack_ms)
        if not runner_by_task:
            return []
        self._record_start(batch, remaining)
        cpu, core_seconds = cpu - batch.cpu, core_seconds - batch.core_seconds
        if not was_late:
            self._get_pool(batch.pool).shortage.record_placement(
                batch.priority, cpu, core_seconds, now
            )
        self._get_pool(batch.pool).shares.record_placement(batch, core_seconds, now)
        return [Placement(batch, runner_by_task)]

    def _record_start(
        self, batch: _job_queue.TaskBatch, remaining: list[_runner_capacity.Demand]
    ) -> None:
        """Keep the tasks of a started job that wait, ahead of the jobs of its priority."""
        queue = self._get_pool(batch.pool).queue
        is_queued = batch.id in self._batch_by_id
        if is_queued and batch.has_started and remaining:
            queue.shrink(batch, remaining)
            return
        if is_queued:
            del self._batch_by_id[batch.id]
            if not batch.has_started:
                shortage = self._get_pool(batch.pool).shortage
                shortage.record_end_of_wait(batch.priority, is_refused=False)
            queue.remove(batch)
        batch.set_demands(remaining)
        batch.has_started = True
        # The work done would be lost if its other tasks waited for spare capacity.
        batch.is_late = False
        if is_queued and remaining:
            queue.add(batch)
            self._batch_by_id[batch.id] = batch

    def _refuse_expired(self, name: str, now: float) -> list[Refusal]:
        pool = self._get_pool(name)
        expired = pool.queue.pop_expired(now, keeps_late=pool.runners.is_recovering())
        return self._refuse_waiting(pool, expired, EXPIRED, now)

    def _refuse_displaced(self, name: str, now: float) -> list[Refusal]:
        """Refuse the queued jobs that can't start in time behind the jobs ahead of them."""
        pool = self._get_pool(name)
        return self._refuse_waiting(pool, pool.shortage.review(now), DISPLACED, now)

    def _refuse_waiting(
        self, pool: _pool.Pool, batches: list[_job_queue.TaskBatch], reason: str, now: float
    ) -> list[Refusal]:
        for batch in batches:
            self._remove(batch)
            pool.shortage.record_end_of_wait(batch.priority, is_refused=True)
            pool.shares.record_end_of_wait(batch, batch.core_seconds, now)
        return [self._refusal(batch, reason, now) for batch in batches]

    def _remove(self, batch: _job_queue.TaskBatch) -> None:
        self._batch_by_id.pop(batch.id, None)
        self._get_pool(batch.pool).queue.remove(batch)
