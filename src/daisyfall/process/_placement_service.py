"""Placement of tasks on runners, which the leader does for all entries."""

import collections
import itertools
import random
from collections.abc import Callable

import attrs
import loguru

from daisyfall import _clock, _pool_wire
from daisyfall.policy import (
    _departures,
    _job_queue,
    _placement_explanation,
    _runner_capacity,
    _runner_health,
    _scheduler,
)

# Element of `AllocationReport.ends` for a task of which the agent doesn't know the end.
UNKNOWN_END = (0, 0.0)

Decision = _pool_wire.TasksPlaced | _pool_wire.PlacementRefused


class PlacementService:
    """Passes requests and runner state to the scheduler, and its decisions to `deliver`.

    `deliver` gets the id of the entry that requested the placement, and the decision.
    """

    def __init__(
        self,
        rng: random.Random,
        deliver: Callable[[str, Decision], None],
        remote_factor: float = 1.0,
    ):
        self._scheduler = _scheduler.Scheduler(rng, remote_factor)
        self._deliver = deliver
        self._refused_by_short_pool: dict[str, int] = {}
        self._logged_health_by_agent: dict[str, _runner_health.State] = {}

    @property
    def queued(self) -> int:
        """Return the number of queued batches."""
        return self._scheduler.queued

    def has_available_runner(self) -> bool:
        """Return whether any runner accepts tasks."""
        return any(runner.is_open for runner in self._scheduler.runner_by_id.values())

    def runner_counts(self) -> dict[str, int]:
        """Return how many runners are ejected, return to work, are slow, or leave."""
        runners = self._scheduler.runner_by_id.values()
        states = collections.Counter(runner.health.state for runner in runners)
        return {
            "runners_ejected": states[_runner_health.State.EJECTED]
            + states[_runner_health.State.PROBING],
            "runners_returning": states[_runner_health.State.RETURNING],
            "runners_slow": sum(runner.health.is_slow for runner in runners),
            "runners_leaving": sum(runner.leaves_at != _departures.NEVER for runner in runners),
        }

    def submit(self, batch: _job_queue.TaskBatch) -> None:
        """Place tasks or queue them for placement."""
        self._deliver_decisions(self._scheduler.submit(batch, _clock.monotonic()))

    def explain(self, batch: _job_queue.TaskBatch) -> _placement_explanation.Explanation:
        """Return what would be decided about tasks now, without any effect."""
        return _placement_explanation.explain(self._scheduler, batch, _clock.monotonic())

    def submit_request(
        self, entry_id: str, message: _pool_wire.PlaceTasks, data_centre: str = ""
    ) -> None:
        """Handle a placement request of another entry, which is in a data centre."""
        now = _clock.monotonic()
        self.submit(
            _job_queue.TaskBatch(
                id=message.request_id,
                entry_id=entry_id,
                job_id=message.job_id,
                pool=message.pool,
                priority=message.priority,
                demands=[_demand(row) for row in message.tasks],
                latest_start=now + message.latest_start_ms / 1000,
                start_deadline=now + message.start_deadline_ms / 1000,
                has_started=message.has_started,
                late_deadline=now + message.late_deadline_ms / 1000,
                route=message.route,
                data_centre=data_centre,
                served=message.served,
            )
        )

    def confine(self, route: str) -> None:
        """Keep the tasks of a route, which crash runners, on a share of its pool for a while."""
        loguru.logger.bind(route=route).warning("route is confined")
        self._scheduler.confine(route, _clock.monotonic())

    def withdraw(self, entry_id: str, job_id: str) -> None:
        """Remove the queued tasks of a job."""
        self._scheduler.withdraw(entry_id, job_id)

    def withdraw_entry(self, entry_id: str) -> None:
        """Remove the queued tasks of an entry that can't be reached."""
        self._scheduler.withdraw_entry(entry_id)

    def mark_runner_unreachable(self, agent_id: str) -> None:
        """Place no more tasks on the runner of an agent that can't be reached."""
        self._scheduler.mark_runner_unreachable(agent_id)

    @property
    def short_pools(self) -> int:
        """Return in how many pools the runners can't do all work in time."""
        return len(self._refused_by_short_pool)

    def advance(self) -> None:
        """Place queued tasks that fit and refuse those that have expired."""
        self._deliver_decisions(self._scheduler.advance(_clock.monotonic()))
        self._log_shortages()

    def _log_shortages(self) -> None:
        """Log the pools whose shortage has begun or ended."""
        refused_by_pool = self._scheduler.refused_by_short_pool()
        for pool in refused_by_pool.keys() - self._refused_by_short_pool.keys():
            log = loguru.logger.bind(pool=pool, queued=self._scheduler.queued)
            log.bind(cores=self._scheduler.cores(pool)).warning("pool is short of runners")
        for pool in self._refused_by_short_pool.keys() - refused_by_pool.keys():
            log = loguru.logger.bind(pool=pool, refused=self._refused_by_short_pool[pool])
            log.warning("pool is no longer short of runners")
        self._refused_by_short_pool = refused_by_pool

    def record_task_end(self, agent_id: str, message: _pool_wire.AllocationReleased) -> None:
        """Release the capacity of a task that has ended."""
        now = _clock.monotonic()
        self._deliver_decisions(
            self._scheduler.record_task_end(
                agent_id,
                message.task,
                message.job_id,
                message.outcome,
                now,
                slowdown=message.slowdown,
            )
        )
        self._log_health(agent_id)

    def sync_allocations(self, agent_id: str, message: _pool_wire.AllocationReport) -> None:
        """Replace the known allocations on a runner by those that its agent reports."""
        now = _clock.monotonic()
        allocated_at = now - _runner_capacity.CONFIRMATION_TIMEOUT_S
        ends = itertools.chain(message.ends, itertools.repeat(UNKNOWN_END))
        allocation_by_task = {
            task: _runner_capacity.Allocation(
                cpu,
                memory_mb,
                accelerators,
                allocated_at,
                job_id,
                now + left_ms / 1000,
                run_ms / 1000,
            )
            for (task, job_id, cpu, memory_mb, accelerators), (left_ms, run_ms) in zip(
                message.allocations, ends, strict=False
            )
        }
        self._scheduler.sync_allocations(agent_id, allocation_by_task, now)
        if message.speed > 0:
            self._scheduler.update_speed(
                agent_id,
                message.slowness,
                now,
                speed=message.speed,
                samples=message.samples,
            )
        self._log_health(agent_id)
        self.advance()

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Place nothing in evacuated data centres; refuse what only they could run."""
        self._deliver_decisions(self._scheduler.set_evacuated(data_centres, _clock.monotonic()))

    def update_runner(self, agent_id: str, state: _pool_wire.RunnerState, data_centre: str) -> None:
        """Update the capacity and availability of a runner as its agent reports them."""
        now = _clock.monotonic()
        leaves_at = _departures.NEVER
        if state.remaining_ms:
            leaves_at = now + state.remaining_ms / 1000
            log = loguru.logger.bind(agent=agent_id, remaining_ms=state.remaining_ms)
            log.info("runner leaves")
        runner = _runner_capacity.RunnerCapacity(
            agent_id,
            state.pool,
            state.cpu,
            state.memory_mb,
            state.accelerators,
            tuple(state.labels),
            state.is_open,
            state.runner_id,
            leaves_at=leaves_at,
            data_centre=data_centre,
        )
        self._scheduler.update_runner(runner)
        self.advance()

    def _log_health(self, agent_id: str) -> None:
        """Log a change of the health of a runner since it was last logged."""
        runner = self._scheduler.runner_by_id.get(agent_id)
        if runner is None:
            return
        previous = self._logged_health_by_agent.get(agent_id, _runner_health.State.HEALTHY)
        health = runner.health
        if health.state is not previous:
            self._logged_health_by_agent[agent_id] = health.state
            log = loguru.logger.bind(agent=agent_id, state=health.state.value)
            log.bind(slowness=round(health.slowness, 1)).info("health of a runner changed")

    def _deliver_decisions(
        self, decisions: list[_scheduler.Placement | _scheduler.Refusal]
    ) -> None:
        """Deliver decisions of the scheduler to the entries that requested them."""
        for decision in decisions:
            batch = decision.batch
            log = loguru.logger.bind(job=batch.job_id, entry=batch.entry_id)
            log = log.bind(queued=self._scheduler.queued, cores=self._scheduler.cores(batch.pool))
            match decision:
                case _scheduler.Placement(runner_by_task=runner_by_task):
                    log.bind(agents=list(runner_by_task.values())).info("tasks placed")
                    message = _pool_wire.TasksPlaced(batch.id, batch.job_id, runner_by_task)
                case _scheduler.Refusal(reason=reason, retry_after_s=retry_after_s):
                    log.bind(reason=reason, retry_after_s=round(retry_after_s, 1)).info("refused")
                    message = _pool_wire.PlacementRefused(
                        batch.id, batch.job_id, reason, round(retry_after_s * 1000)
                    )
            self._deliver(batch.entry_id, message)


def encode_request(batch: _job_queue.TaskBatch, now: float) -> _pool_wire.PlaceTasks:
    """Return the request by which another entry is asked to place a batch."""
    return _pool_wire.PlaceTasks(
        batch.id,
        batch.job_id,
        batch.pool,
        batch.priority,
        round((batch.latest_start - now) * 1000),
        round((batch.start_deadline - now) * 1000),
        batch.has_started,
        [list(attrs.astuple(demand)) for demand in batch.demands],
        round((batch.late_deadline - now) * 1000),
        batch.route,
        batch.served,
    )


def _demand(row: list) -> _runner_capacity.Demand:
    demand = _runner_capacity.Demand(*row)
    return attrs.evolve(demand, avoid=tuple(demand.avoid))
