"""The scheduling side of an entry: room of the runners, queues, and who asked for what."""

import random
from collections.abc import Callable

import attrs
import loguru

from daisyfall import _clock, _pool_wire
from daisyfall.policy import _room, _scheduler, _waiting

Decision = _pool_wire.Placed | _pool_wire.PlaceRefused


class Scheduling:
    """Feeds the scheduler and carries its decisions to the entries through `deliver`."""

    def __init__(self, source: random.Random, deliver: Callable[[str, Decision], None]):
        self._scheduler = _scheduler.Scheduler(source)
        self._deliver = deliver

    @property
    def queued(self) -> int:
        """Return the number of items that wait."""
        return self._scheduler.queued

    def has_open_runner(self) -> bool:
        """Tell whether any runner takes tasks."""
        return any(each.is_open for each in self._scheduler.runner_by_id.values())

    def submit(self, batch: _waiting.TaskBatch) -> None:
        """Take tasks to place."""
        self._decide(self._scheduler.submit(batch, _clock.monotonic()))

    def submit_message(self, entry_id: str, message: _pool_wire.PlaceTasks) -> None:
        """Take tasks to place for another entry."""
        now = _clock.monotonic()
        self.submit(
            _waiting.TaskBatch(
                id=message.request_id,
                entry_id=entry_id,
                job_id=message.job_id,
                pool=message.pool,
                priority=message.priority,
                demands=[_demand(row) for row in message.tasks],
                latest_start=now + message.latest_start_ms / 1000,
                start_deadline=now + message.ends_by_ms / 1000,
                has_started=message.has_started,
            )
        )

    def withdraw(self, entry_id: str, job_id: str) -> None:
        """Drop what waits of a job."""
        self._scheduler.withdraw(entry_id, job_id)

    def withdraw_entry(self, entry_id: str) -> None:
        """Drop what waits of an entry that can't be reached."""
        self._scheduler.withdraw_entry(entry_id)

    def mark_runner_unreachable(self, agent_id: str) -> None:
        """Place nothing at an agent that can't be reached."""
        self._scheduler.mark_runner_unreachable(agent_id)

    def advance(self) -> None:
        """Place what fits and refuse what is overdue."""
        self._decide(self._scheduler.advance(_clock.monotonic()))

    def free(self, agent_id: str, message: _pool_wire.RoomFreed) -> None:
        """Take the end of a task at an agent."""
        now = _clock.monotonic()
        self._decide(
            self._scheduler.record_task_end(
                agent_id, message.task, message.job_id, message.how, now
            )
        )

    def take_room(self, agent_id: str, message: _pool_wire.RoomReport) -> None:
        """Take the list of tasks that an agent holds."""
        now = _clock.monotonic()
        allocation_by_task = {
            task: _room.Allocation(
                cpu, memory_mb, accelerators, now - _room.CONFIRMATION_TIMEOUT_S, job_id
            )
            for task, job_id, cpu, memory_mb, accelerators in message.held
        }
        self._scheduler.sync_allocations(agent_id, allocation_by_task, now)
        self._scheduler.update_slowness(agent_id, message.slowness)
        self.advance()

    def take_state(self, agent_id: str, state: _pool_wire.RunnerState) -> None:
        """Take what an agent says of its runner."""
        room = _room.RunnerCapacity(
            agent_id,
            state.pool,
            state.cpu,
            state.memory_mb,
            state.accelerators,
            tuple(state.labels),
            state.is_open,
            state.runner_id,
        )
        self._scheduler.update_runner(room)
        self.advance()

    def _decide(self, decisions: list[_scheduler.Placement | _scheduler.Refusal]) -> None:
        """Carry decisions of the own scheduler to the entries that asked for them."""
        for decision in decisions:
            batch = decision.batch
            log = loguru.logger.bind(job=batch.job_id, entry=batch.entry_id)
            log = log.bind(queued=self._scheduler.queued, cores=self._scheduler.cores(batch.pool))
            match decision:
                case _scheduler.Placement(runner_by_task=runner_by_task):
                    log.bind(agents=list(runner_by_task.values())).info("tasks placed")
                    message = _pool_wire.Placed(batch.id, batch.job_id, runner_by_task)
                case _scheduler.Refusal(reason=reason, retry_after_s=retry_after_s):
                    log.bind(reason=reason, retry_after_s=round(retry_after_s, 1)).info("refused")
                    message = _pool_wire.PlaceRefused(
                        batch.id, batch.job_id, reason, round(retry_after_s * 1000)
                    )
            self._deliver(batch.entry_id, message)


def _demand(row: list) -> _room.Demand:
    demand = _room.Demand(*row)
    return attrs.evolve(demand, avoid=tuple(demand.avoid))
