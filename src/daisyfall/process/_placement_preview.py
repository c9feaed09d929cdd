"""What an entry would do with a job now; nothing is sent, reserved or queued for it."""

import attrs

from daisyfall.policy import _placement_explanation
from daisyfall.process import _leadership, _placement_service, _pool_peers
from daisyfall.request import _pool_job_manager, _pool_jobs


class NotSchedulingError(Exception):
    """This entry doesn't schedule; `leader_id` at `host` does."""

    def __init__(self, leader_id: str, host: str):
        super().__init__(f"{leader_id} at {host} schedules")
        self.leader_id = leader_id
        self.host = host


@attrs.frozen
class Preview:
    """`refusal` is that of the entry on arrival, None if it would request the placement.

    `blocked` counts the tasks that wait for other steps of the job.
    """

    entry_id: str
    refusal: _pool_jobs.Answer | None
    explanation: _placement_explanation.Explanation
    blocked: int

    @property
    def outcome(self) -> str:
        """Return `placed`, `waits` or `refused`."""
        return _placement_explanation.REFUSED if self.refusal else self.explanation.outcome

    @property
    def reason(self) -> str:
        """Return the reason of a refusal."""
        return self.refusal.reason if self.refusal else self.explanation.reason

    @property
    def retry_after_s(self) -> float:
        """Return the retry hint of a refusal, 0 if there is none."""
        return (self.refusal or self.explanation).retry_after_s


@attrs.frozen
class PlacementPreview:
    """Explains what would become of a job that arrived at this entry now."""

    _own_id: str
    _jobs: _pool_job_manager.PoolJobManager
    _placement: _placement_service.PlacementService
    _leadership: _leadership.Leadership
    _peers: _pool_peers.PoolPeers

    def explain(self, submission: _pool_jobs.Submission) -> Preview:
        """Return the decision about a job; raise `NotSchedulingError` if another entry decides."""
        leader_id = self._leadership.leader_id
        if leader_id in self._peers.link_by_id:
            host = self._peers.node_by_id[leader_id].address.partition(":")[0]
            raise NotSchedulingError(leader_id, host)
        refusal, batch = self._jobs.preview(submission)
        tasks = sum(step.count for step in submission.steps)
        return Preview(
            self._own_id, refusal, self._placement.explain(batch), tasks - len(batch.demands)
        )
