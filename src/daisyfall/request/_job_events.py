"""Interface through which `_delivery` reports what agents say about tasks to the job owner."""

from typing import Protocol

from daisyfall.request import _reports, _work


class JobEvents(Protocol):
    """Receives the events of tasks; implemented by the owner of the jobs."""

    reports: _reports.Reports

    def has_job(self, key: _work.JobKey) -> bool:
        """Return whether the job was submitted here."""

    def has_unsettled_job(self, key: _work.JobKey) -> bool:
        """Return whether the job was submitted here and is not settled."""

    def task_sent(self, key: _work.JobKey) -> None:
        """Record that a start message of the job is sent to an agent."""

    def task_result(self, agent_id, key, index, *, outcome, value, run_ms) -> None:
        """Record the final outcome of one task."""

    def task_not_started(self, agent_id, key, index, reason, now) -> None:
        """Requeue a task that provably did not start."""

    def fail_overdue(self, now: float) -> None:
        """Fail the jobs whose deadline has passed."""
