"""Scheduler of the pools: places queued tasks on runners; no I/O, the caller passes events."""

import copy
import random

import attrs

from daisyfall.policy import (
    _candidates,
    _evacuations,
    _fair_shares,
    _gradual_return,
    _job_queue,
    _pool_runners,
    _retry_slots,
    _runner_capacity,
    _runner_health,
    _shortage,
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
        self._runners_by_pool: dict[str, _pool_runners.PoolRunners] = {}
        self._queue_by_pool: dict[str, _job_queue.JobQueue] = {}
        self._shortage_by_pool: dict[str, _shortage.Shortage] = {}
        self._shares_by_pool: dict[str, _fair_shares.FairShares] = {}
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
        known.leaves_at = runner.leaves_at
        if known.incarnation != runner.incarnation:
            known.incarnation = runner.incarnation
            known.health = _runner_health.RunnerHealth()
            known.largest = runner.largest
            self._runners(known.pool).speeds.update(known.id, known.kind, 1.0, 0)
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
        candidates = self._candidate_runners(runner.pool, now, runner)
        return self._place(runner.pool, candidates, now)

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
            is_slow = slowness >= _runner_health.SLOW_RUNNER_SLOWNESS
            may_eject = self._may_eject(runner.pool)
            may_eject = may_eject and (not is_slow or runners.has_fast_others(runner))
            runner.health.update_slowness(slowness, now, may_eject=may_eject)
            runners.update(runner)

    def submit(self, batch: _job_queue.TaskBatch, now: float) -> list[Placement | Refusal]:
        """Queue the tasks of a job; return the decisions that could be made at once."""
        if batch.id in self._batch_by_id or not batch.demands:
            return []
        confinement = self._runners(batch.pool).confinement
        confinement.record_work(batch.route, batch.core_seconds, now)
        shares = self._shares(batch.pool)
        queue = self._queue(batch.pool)
        batch.is_favoured = bool(len(queue)) and shares.is_under_share(batch, now)
        shares.record_request(batch, now)
        self._runners(batch.pool).record_demands(batch.demands, now)
        # A job that has waited for another scheduling entry may be late already.
        is_late = now > batch.latest_start and batch.may_become_late(now)
        batch.is_late = is_late and self._runners(batch.pool).is_recovering()
        candidates = self._candidate_runners(batch.pool, now)
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
            self._shortage(batch.pool).record_queued(batch)
            decisions += self._refuse_displaced(batch.pool, now)
        return decisions

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
                # Jobs that have become late make room for those that can still be in time.
                decisions += self._refuse_expired(pool, now)
                decisions += self._place(pool, self._candidate_runners(pool, now), now)
                decisions += self._refuse_displaced(pool, now)
        for shortage in self._shortage_by_pool.values():
            shortage.advance(now)
        return decisions

    def copy_of_pool(self, pool: str) -> "Scheduler":
        """Return a scheduler with a copy of one pool, on which a decision can be tried."""
        other = Scheduler(copy.copy(self._rng), self._remote_factor)
        other._runners_by_pool[pool] = self._runners(pool).copy()
        other.runner_by_id = other._runners_by_pool[pool].runner_by_id
        other._batch_by_id = dict(self._batch_by_id)
        for queued in self._queue(pool).batches:
            batch = copy.copy(queued)
            other._batch_by_id[batch.id] = batch
            other._queue(pool).add(batch)
        other._shortage_by_pool[pool] = self._shortage(pool).copy(
            other._runners(pool), other._queue(pool)
        )
        other._shares_by_pool[pool] = copy.deepcopy(self._shares(pool))
        other._evacuated = self._evacuated
        other._returns = copy.deepcopy(self._returns)
        other._share_by_data_centre = self._share_by_data_centre
        return other

    def candidates(self, pool: str, now: float) -> _candidates.Candidates:
        """Return the runners of a pool that may get a task now."""
        return self._candidate_runners(pool, now)

    def work_ahead(self, batch: _job_queue.TaskBatch) -> float:
        """Return the core seconds that are queued before a batch on the runners of its route."""
        bulkhead_of = self._runners(batch.pool).confinement.bulkhead
        bulkhead = bulkhead_of(batch.route)
        return self._queue(batch.pool).work_ahead(
            batch, lambda queued: bulkhead_of(queued.route) == bulkhead
        )

    def refused_by_short_pool(self) -> dict[str, int]:
        """Return, for each pool in shortage, the jobs refused since it began."""
        return {
            pool: shortage.refused
            for pool, shortage in self._shortage_by_pool.items()
            if shortage.is_short
        }

    def cores(self, pool: str, route: str = "") -> float:
        """Return the cores of the healthy runners that accept tasks, or tasks of a route."""
        return self._runners(pool).cpu_for(route) / 1000

    def _queue(self, pool: str) -> _job_queue.JobQueue:
        queue = self._queue_by_pool.get(pool)
        if queue is None:
            queue = self._queue_by_pool[pool] = _job_queue.JobQueue()
        return queue

    def _shortage(self, pool: str) -> _shortage.Shortage:
        shortage = self._shortage_by_pool.get(pool)
        if shortage is None:
            shortage = _shortage.Shortage(self._runners(pool), self._queue(pool))
            self._shortage_by_pool[pool] = shortage
        return shortage

    def _shares(self, pool: str) -> _fair_shares.FairShares:
        shares = self._shares_by_pool.get(pool)
        if shares is None:
            shares = self._shares_by_pool[pool] = _fair_shares.FairShares()
        return shares

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
        runners = self._runners(batch.pool).runner_by_id.values()
        if runners and not all(
            any(runner.may_ever_fit(demand) for runner in runners) for demand in batch.demands
        ):
            return Refusal(batch, IMPOSSIBLE, 0.0)
        if self._needs_evacuated_runner(batch):
            return self._evacuation_refusal(batch)
        if self.queued >= _job_queue.MAX_QUEUED_BATCHES:
            return self._refusal(batch, QUEUE_FULL, now)
        if not self._shortage(batch.pool).may_wait(batch, candidates, now):
            return self._refusal(batch, WOULD_START_LATE, now)
        return None

    def _refusal(self, batch: _job_queue.TaskBatch, reason: str, now: float) -> Refusal:
        shortage = self._shortage(batch.pool)
        shortage.record_refusal(now)
        cores = self.cores(batch.pool, batch.route)
        return Refusal(batch, reason, shortage.book_retry(batch, cores, self._rng.random(), now))

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
        _, longest_s = _retry_slots.RETRY_AFTER_S
        after_s = longest_s * (1 + self._rng.random()) / 2
        return Refusal(batch, _evacuations.EVACUATED, after_s)

    def _place(self, pool: str, candidates: _candidates.Candidates, now: float) -> list[Placement]:
        decisions = []
        for batch in self._queue(pool).placeable(candidates):
            decisions += self._place_batch(batch, candidates, now)
        return decisions

    def _place_batch(
        self, batch: _job_queue.TaskBatch, candidates: _candidates.Candidates, now: float
    ) -> list[Placement]:
        """Place the tasks of a batch that fit; remove it from the queue if none is left."""
        if not self._shortage(batch.pool).may_start(batch, now):
            return []
        cpu, core_seconds, was_late = batch.cpu, batch.core_seconds, batch.is_late
        runner_by_task, remaining = _place_tasks(batch, candidates)
        if not runner_by_task:
            return []
        self._record_start(batch, remaining)
        cpu, core_seconds = cpu - batch.cpu, core_seconds - batch.core_seconds
        if not was_late:
            self._shortage(batch.pool).record_placement(batch.priority, cpu, core_seconds, now)
        self._shares(batch.pool).record_placement(batch, core_seconds, now)
        return [Placement(batch, runner_by_task)]

    def _record_start(
        self, batch: _job_queue.TaskBatch, remaining: list[_runner_capacity.Demand]
    ) -> None:
        """Keep the tasks of a started job that wait, ahead of the jobs of its priority."""
        queue = self._queue(batch.pool)
        is_queued = batch.id in self._batch_by_id
        if is_queued and batch.has_started and remaining:
            queue.shrink(batch, remaining)
            return
        if is_queued:
            del self._batch_by_id[batch.id]
            if not batch.has_started:
                shortage = self._shortage(batch.pool)
                shortage.record_end_of_wait(batch.priority, is_refused=False)
            queue.remove(batch)
        batch.set_demands(remaining)
        batch.has_started = True
        # The work done would be lost if its other tasks waited for spare capacity.
        batch.is_late = False
        if is_queued and remaining:
            queue.add(batch)
            self._batch_by_id[batch.id] = batch

    def _refuse_expired(self, pool: str, now: float) -> list[Refusal]:
        is_recovering = self._runners(pool).is_recovering()
        expired = self._queue(pool).pop_expired(now, keeps_late=is_recovering)
        for batch in expired:
            del self._batch_by_id[batch.id]
            self._shortage(pool).record_end_of_wait(batch.priority, is_refused=True)
            self._shares(pool).record_end_of_wait(batch, batch.core_seconds, now)
        return [self._refusal(batch, EXPIRED, now) for batch in expired]

    def _refuse_displaced(self, pool: str, now: float) -> list[Refusal]:
        """Refuse the queued jobs that can't start in time behind the jobs ahead of them."""
        displaced = self._shortage(pool).review(now)
        for batch in displaced:
            self._remove(batch)
            self._shortage(pool).record_end_of_wait(batch.priority, is_refused=True)
            self._shares(pool).record_end_of_wait(batch, batch.core_seconds, now)
        return [self._refusal(batch, DISPLACED, now) for batch in displaced]

    def _remove(self, batch: _job_queue.TaskBatch) -> None:
        self._batch_by_id.pop(batch.id, None)
        self._queue(batch.pool).remove(batch)


def _place_tasks(
    batch: _job_queue.TaskBatch, candidates: _candidates.Candidates
) -> tuple[dict[str, str], list[_runner_capacity.Demand]]:
    """Place as many tasks of a batch as fit; return runner ids by task, and the other tasks."""
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
    return runner_by_task, remaining
