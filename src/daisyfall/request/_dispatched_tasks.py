"""Index of the tasks that an entry has dispatched, by the agent that runs them."""

from daisyfall.request import _pool_jobs


class DispatchedTasks:
    """Tasks by agent id and name, with their jobs; `task.agent_id` may not change meanwhile."""

    def __init__(self) -> None:
        self._tasks_by_agent: dict[str, dict[str, tuple[_pool_jobs.Job, _pool_jobs.Task]]] = {}

    def add(self, job: _pool_jobs.Job, task: _pool_jobs.Task) -> None:
        """Add a task that was dispatched to `task.agent_id`."""
        self._tasks_by_agent.setdefault(task.agent_id, {})[task.name] = (job, task)

    def remove(self, task: _pool_jobs.Task) -> None:
        """Remove a task, if it is there."""
        tasks = self._tasks_by_agent.get(task.agent_id)
        if tasks is not None:
            tasks.pop(task.name, None)
            if not tasks:
                del self._tasks_by_agent[task.agent_id]

    def has_any(self, agent_id: str) -> bool:
        """Return whether an agent has any task."""
        return agent_id in self._tasks_by_agent

    def at(self, agent_id: str) -> list[tuple[_pool_jobs.Job, _pool_jobs.Task]]:
        """Return the tasks at an agent, each with its job."""
        return list(self._tasks_by_agent.get(agent_id, {}).values())
