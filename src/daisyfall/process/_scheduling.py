"""The scheduling side of an entry: room of the runners, queues, and who asked for what."""

import random
from collections.abc import Callable

import attrs
import loguru

from daisyfall import _clock, _pool_wire
from daisyfall.policy import _room, _scheduler, _waiting

Decision = _pool_wire.TasksPlaced | _pool_wire.PlacementRefused


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
        return any(each.is_open for each in self._scheduler.room_by_id.values())

    def submit(self, item: _waiting.Item) -> None:
        """Take tasks to place."""
        self._decide(self._scheduler.submit(item, _clock.monotonic()))

    def submit_message(self, entry_id: str, message: _pool_wire.PlaceTasks) -> None:
        """Take tasks to place for another entry."""
        now = _clock.monotonic()
        self.submit(
            _waiting.Item(
                id=message.request_id,
                entry_id=entry_id,
                job_id=message.job_id,
                pool=message.pool,
                priority=message.priority,
                demands=[_demand(row) for row in message.tasks],
                latest_start=now + message.latest_start_ms / 1000,
                ends_by=now + message.start_deadline_ms / 1000,
                has_started=message.has_started,
            )
        )

    def withdraw(self, entry_id: str, job_id: str) -> None:
        """Drop what waits of a job."""
        self._scheduler.withdraw(entry_id, job_id)

    def withdraw_entry(self, entry_id: str) -> None:
        """Drop what waits of an entry that can't be reached."""
        self._scheduler.withdraw_entry(entry_id)

    def remove_runner(self, agent_id: str) -> None:
        """Place nothing at an agent that can't be reached."""
        self._scheduler.remove_runner(agent_id)

    def advance(self) -> None:
        """Place what fits and refuse what is overdue."""
        self._decide(self._scheduler.advance(_clock.monotonic()))

    def free(self, agent_id: str, message: _pool_wire.AllocationReleased) -> None:
        """Take the end of a task at an agent."""
        now = _clock.monotonic()
        self._decide(
            self._scheduler.ended(agent_id, message.task, message.job_id, message.outcome, now)
        )

    def take_room(self, agent_id: str, message: _pool_wire.AllocationReport) -> None:
        """Take the list of tasks that an agent holds."""
        now = _clock.monotonic()
        held_by_task = {
            task: _room.Held(cpu, memory_mb, accelerators, now - _room.UNCONFIRMED_S, job_id)
            for task, job_id, cpu, memory_mb, accelerators in message.allocations
        }
        self._scheduler.report(agent_id, held_by_task, now)
        self._scheduler.slowed(agent_id, message.slowness)
        self.advance()

    def take_state(self, agent_id: str, state: _pool_wire.RunnerState) -> None:
        """Take what an agent says of its runner."""
        room = _room.RunnerRoom(
            agent_id,
            state.pool,
            state.cpu,
            state.memory_mb,
            state.accelerators,
            tuple(state.labels),
            state.is_open,
            state.runner_id,
        )
        self._scheduler.set_runner(room)
        self.advance()

    def _decide(self, decisions: list[_scheduler.Placement | _scheduler.Refusal]) -> None:
        """Carry decisions of the own scheduler to the entries that asked for them."""
        for decision in decisions:
            item = decision.item
            log = loguru.logger.bind(job=item.job_id, entry=item.entry_id)
            log = log.bind(queued=self._scheduler.queued, cores=self._scheduler.cores(item.pool))
            match decision:
                case _scheduler.Placement(runner_by_task=runner_by_task):
                    log.bind(agents=list(runner_by_task.values())).info("tasks placed")
                    message = _pool_wire.TasksPlaced(item.id, item.job_id, runner_by_task)
                case _scheduler.Refusal(reason=reason, retry_after_s=retry_after_s):
                    log.bind(reason=reason, retry_after_s=round(retry_after_s, 1)).info("refused")
                    message = _pool_wire.PlacementRefused(
                        item.id, item.job_id, reason, round(retry_after_s * 1000)
                    )
            self._deliver(item.entry_id, message)


def _demand(row: list) -> _room.Demand:
    demand = _room.Demand(*row)
    return attrs.evolve(demand, avoid=tuple(demand.avoid))
