"""Placed tasks whose agent has no open link yet, as at the start of an entry."""

import attrs

from daisyfall import _pool_wire
from daisyfall.request import _pool_jobs

# Long enough for a handshake. A task that is placed elsewhere instead costs two messages of the
# scheduling entry, and its place is lost until the agent's next report.
MAX_HOLD_S = 0.1


@attrs.frozen
class HeldTask:
    """A task that is sent to its agent once the link is open, at the latest at `until`."""

    job_id: str
    name: str
    request_id: str
    agent_id: str
    until: float


class HeldTasks:
    """The held tasks of all jobs of an entry; times are in seconds on the monotonic clock."""

    def __init__(self) -> None:
        self._held_by_name: dict[str, HeldTask] = {}

    def hold(self, job: _pool_jobs.Job, task: _pool_jobs.Task, agent_id: str, now: float) -> bool:
        """Hold a task until its latest start at most; return whether it has time for that."""
        until = min(now + MAX_HOLD_S, job.latest_start)
        if until > now:
            self._held_by_name[task.name] = HeldTask(
                job.id, task.name, task.request_id, agent_id, until
            )
        return until > now

    def pop_for(self, agent_id: str) -> list[_pool_wire.TasksPlaced]:
        """Remove the tasks held for an agent, and return their placements again."""
        held = [task for task in self._held_by_name.values() if task.agent_id == agent_id]
        self._remove(held)
        return [
            _pool_wire.TasksPlaced(task.request_id, task.job_id, {task.name: agent_id})
            for task in held
        ]

    def requeue_expired(
        self, now: float, job_by_id: dict[str, _pool_jobs.Job]
    ) -> list[tuple[_pool_jobs.Job, _pool_jobs.Task]]:
        """Return the tasks to be placed elsewhere, as their link was not opened in time."""
        expired = [task for task in self._held_by_name.values() if now > task.until]
        self._remove(expired)
        requeued = []
        for held in expired:
            job = job_by_id.get(held.job_id)
            task = job.task_by_name.get(held.name) if job else None
            if task is not None and task.request_id == held.request_id and not task.agent_id:
                task.agent_id = held.agent_id
                job.requeue(task, avoids_agent=True)
                requeued.append((job, task))
        return requeued

    def _remove(self, tasks: list[HeldTask]) -> None:
        for task in tasks:
            del self._held_by_name[task.name]
