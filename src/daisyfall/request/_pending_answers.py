"""Answers of jobs in progress, and the callers that wait for them."""

import asyncio
from collections.abc import Callable

from daisyfall.request import _pool_jobs


class PendingAnswers:
    """The answers that are still open, by job; several callers may wait for the same one."""

    def __init__(self) -> None:
        self._future_by_job: dict[str, asyncio.Future] = {}
        self._waiter_count_by_job: dict[str, int] = {}

    def find(self, job_id: str) -> asyncio.Future | None:
        """Return the future of a job's answer, None if the job isn't in progress."""
        return self._future_by_job.get(job_id)

    def open(self, job_id: str) -> asyncio.Future:
        """Return the future of the answer of a new job."""
        future = self._future_by_job[job_id] = asyncio.get_running_loop().create_future()
        return future

    def resolve(self, job_id: str, answer: _pool_jobs.Answer) -> None:
        """Give the answer to all callers that wait for it."""
        future = self._future_by_job.pop(job_id)
        if not future.done():
            future.set_result(answer)

    async def wait(
        self, job_id: str, future: asyncio.Future, on_abandoned: Callable[[], None]
    ) -> _pool_jobs.Answer:
        """Return a job's answer; `on_abandoned` is called if the last caller disconnects."""
        self._waiter_count_by_job[job_id] = self._waiter_count_by_job.get(job_id, 0) + 1
        try:
            return await asyncio.shield(future)
        except asyncio.CancelledError:
            if self._waiter_count_by_job.get(job_id) == 1:
                on_abandoned()
            raise
        finally:
            self._remove_waiter(job_id)

    def _remove_waiter(self, job_id: str) -> None:
        remaining = self._waiter_count_by_job.get(job_id, 0) - 1
        if remaining > 0:
            self._waiter_count_by_job[job_id] = remaining
        else:
            self._waiter_count_by_job.pop(job_id, None)
