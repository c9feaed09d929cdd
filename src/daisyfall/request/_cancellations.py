"""Jobs that their callers have cancelled lately.

An entry that is frozen or cut off learns of a cancellation when its links open again, and a request
that was held up on its way may arrive after the cancellation of its job.
"""

import collections

# Longer than an entry may be frozen, and than a caller waits for an answer.
RETENTION_S = 20.0
# Bounds memory, and what a new link is sent.
MAX_REMEMBERED = 2_000


class Cancellations:
    """Remembers cancelled jobs by id; times in seconds on the monotonic clock."""

    def __init__(self) -> None:
        self._cancelled_at_by_job: collections.OrderedDict[str, float] = collections.OrderedDict()

    def add(self, job_id: str, now: float) -> None:
        """Remember a cancelled job."""
        self._forget_old(now)
        self._cancelled_at_by_job.setdefault(job_id, now)
        if len(self._cancelled_at_by_job) > MAX_REMEMBERED:
            self._cancelled_at_by_job.popitem(last=False)

    def recent(self, now: float) -> list[str]:
        """Return the ids of the cancelled jobs, the oldest first."""
        self._forget_old(now)
        return list(self._cancelled_at_by_job)

    def is_cancelled(self, job_id: str, now: float) -> bool:
        """Return whether a job was cancelled lately."""
        cancelled_at = self._cancelled_at_by_job.get(job_id)
        return cancelled_at is not None and now - cancelled_at <= RETENTION_S

    def _forget_old(self, now: float) -> None:
        while self._cancelled_at_by_job:
            job_id, cancelled_at = next(iter(self._cancelled_at_by_job.items()))
            if now - cancelled_at <= RETENTION_S:
                return
            del self._cancelled_at_by_job[job_id]
