"""What the exchange with agents tells the owner of the jobs."""

from typing import Protocol

from daisyfall.request import _reports, _work


class JobEvents(Protocol):
    """What the owner of the jobs does with the agents' messages."""

    reports: _reports.Reports

    def knows(self, key: _work.JobKey) -> bool:
        """Tell whether the job was submitted here."""

    def knows_running(self, key: _work.JobKey) -> bool:
        """Tell whether the job was submitted here and is not settled."""

    def task_sent(self, key: _work.JobKey) -> None:
        """Note that a start of the job leaves for an agent."""

    def task_result(self, agent_id, key, index, *, outcome, value, run_ms) -> None:
        """Take one task's final outcome."""

    def task_not_started(self, agent_id, key, index, reason, now) -> None:
        """Queue a task again that provably did not start."""

    def fail_overdue(self, now: float) -> None:
        """Fail the jobs whose deadline has passed."""
