"""Storage of the jobs of the shards that this entry owns, and of the answers of settled ones."""

import asyncio
import collections
import dataclasses
import json

import attrs

from daisyfall import errors
from daisyfall.request import _work


@dataclasses.dataclass(frozen=True)
class Complete:
    """All tasks are done; `body` is the JSON answer."""

    body: bytes


@dataclasses.dataclass(frozen=True)
class Failed:
    """The job failed; no results are returned."""

    error: errors.DispatchError


@dataclasses.dataclass(frozen=True)
class Relinquished:
    """The shard moved to another entry, which answers the job."""


Settlement = Complete | Failed | Relinquished


@attrs.define(eq=False, slots=True)
class Job:
    """One job that is not settled yet.

    `any_sent` is set once a task was sent to an agent, by this owner or an earlier one, and
    `resumed` if agents reported tasks that an earlier owner had started. The results of the
    tasks in `fetching` were requested from the agents again; `deferred_tasks` are started once
    they have arrived.
    """

    work: _work.Work
    digest: bytes
    id_time_ms: int
    submitted_at: float
    settled: asyncio.Future
    results: list
    has_result: bytearray
    remaining: int
    any_sent: bool = False
    resumed: bool = False
    fetching: set[int] = attrs.Factory(set)
    deferred_tasks: list[_work.Task] = attrs.Factory(list)
    longest_ms: float = 0.0
    total_ms: float = 0.0

    @property
    def key(self) -> _work.JobKey:
        """Return the job's key."""
        return self.work.key

    def store_result(self, index: int, value, run_ms: float) -> bool:
        """Store the result of one task; return False if there is one already."""
        if self.has_result[index]:
            return False
        self.has_result[index] = 1
        self.results[index] = value
        self.remaining -= 1
        self.total_ms += run_ms
        self.longest_ms = max(self.longest_ms, run_ms)
        return True

    def body(self) -> bytes:
        """Return the JSON answer, with the results in task order."""
        answer = {"job_id": self.work.job_id, "state": "complete", "results": self.results}
        return json.dumps(answer, separators=(",", ":")).encode()


def new_job(work: _work.Work, digest: bytes, id_time_ms: int, now: float) -> Job:
    """Return a job without any sent task."""
    task_count = len(work.tasks)
    return Job(
        work=work,
        digest=digest,
        id_time_ms=id_time_ms,
        submitted_at=now,
        settled=asyncio.get_running_loop().create_future(),
        results=[None] * task_count,
        has_result=bytearray(task_count),
        remaining=task_count,
    )


@attrs.define(slots=True)
class SettledJob:
    """What is kept of a settled job for the retention time.

    Exactly one of `body` and `error` is set, or neither if the body was evicted for its size.
    """

    digest: bytes
    shard: int
    id_time_ms: int
    body: bytes | None
    error: errors.DispatchError | None

    def settlement(self) -> Settlement:
        """Return the settlement; `RESULT_LOST` if the body was evicted."""
        if self.error is not None:
            return Failed(self.error)
        if self.body is None:
            return Failed(errors.DispatchError(errors.Kind.RESULT_LOST))
        return Complete(self.body)


class JobStore:
    """Running jobs, and settled ones for the retention time, with answers up to a byte limit."""

    def __init__(self, retention_ms: int, answer_limit_bytes: int):
        self._retention_ms = retention_ms
        self._answer_limit_bytes = answer_limit_bytes
        self.job_by_key: dict[_work.JobKey, Job] = {}
        self.settled_by_key: dict[_work.JobKey, SettledJob] = {}
        self._keys_with_body: collections.deque[_work.JobKey] = collections.deque()
        self._expiry_queue: collections.deque[tuple[int, _work.JobKey]] = collections.deque()
        self.answer_bytes = 0

    def add(self, job: Job) -> None:
        """Store a new job."""
        self.job_by_key[job.key] = job

    def settle(self, job: Job, settlement: Settlement, now_ms: int) -> None:
        """Settle a job and notify everyone who waits for it."""
        self.job_by_key.pop(job.key, None)
        if not job.settled.done():
            job.settled.set_result(settlement)
        match settlement:
            case Complete(body=body):
                self._store_settled(
                    job, SettledJob(job.digest, job.work.shard, job.id_time_ms, body, None)
                )
            case Failed(error=error):
                # A job without a sent task may be submitted again with the same id. Cancelled
                # jobs are recorded nevertheless, since a submission that another entry is still
                # forwarding must not undo the cancellation.
                if job.any_sent or error.kind is errors.Kind.CANCELLED:
                    settled_job = SettledJob(
                        job.digest, job.work.shard, job.id_time_ms, None, error
                    )
                    self._store_settled(job, settled_job)
            case Relinquished():
                return
        self.expire(now_ms)

    def _store_settled(self, job: Job, settled_job: SettledJob) -> None:
        self.settled_by_key[job.key] = settled_job
        self._expiry_queue.append((settled_job.id_time_ms, job.key))
        if settled_job.body is not None:
            self._keys_with_body.append(job.key)
            self.answer_bytes += len(settled_job.body)
        while self.answer_bytes > self._answer_limit_bytes and self._keys_with_body:
            self._evict_body(self._keys_with_body.popleft())

    def _evict_body(self, key: _work.JobKey) -> None:
        settled_job = self.settled_by_key.get(key)
        if settled_job is not None and settled_job.body is not None:
            self.answer_bytes -= len(settled_job.body)
            settled_job.body = None

    def expire(self, now_ms: int) -> None:
        """Remove settled jobs whose ids are too old to be submitted again."""
        while self._expiry_queue and self._expiry_queue[0][0] < now_ms - self._retention_ms:
            _, key = self._expiry_queue.popleft()
            self._evict_body(key)
            self.settled_by_key.pop(key, None)

    def relinquish_shards(self, shards: set[int]) -> list[Job]:
        """Remove all jobs of these shards; return those that were not settled."""
        unsettled = [job for job in self.job_by_key.values() if job.work.shard in shards]
        for job in unsettled:
            del self.job_by_key[job.key]
        for key in [k for k, settled in self.settled_by_key.items() if settled.shard in shards]:
            self._evict_body(key)
            del self.settled_by_key[key]
        return unsettled
