"""Jobs of the shards that this entry owns: running ones, and the answers of settled ones."""

import asyncio
import collections
import dataclasses
import json

import attrs

from daisyfall import errors
from daisyfall.request import _work


@dataclasses.dataclass(frozen=True)
class Complete:
    """Every task has its result; `body` is the JSON answer."""

    body: bytes


@dataclasses.dataclass(frozen=True)
class Failed:
    """The job is marked failed; no result is given out."""

    error: errors.DispatchError


@dataclasses.dataclass(frozen=True)
class Relinquished:
    """The shard went to another entry, which answers the job."""


Settlement = Complete | Failed | Relinquished


@attrs.define(eq=False, slots=True)
class Job:
    """One job that is not settled yet."""

    work: _work.Work
    digest: bytes
    id_time_ms: int
    submitted_at: float
    settled: asyncio.Future
    results: list
    has_result: bytearray
    remaining: int
    sent: bool = False  # a task was sent to an agent, now or by an earlier owner
    joined: bool = False  # agents reported starts of an earlier owner
    fetching: set[int] = attrs.Factory(set)  # finished for an earlier owner, result asked for
    deferred: list[_work.Task] = attrs.Factory(list)  # started once `fetching` is empty
    longest_ms: float = 0.0
    total_ms: float = 0.0

    @property
    def key(self) -> _work.JobKey:
        """Return the job's key."""
        return self.work.key

    def take_result(self, index: int, value, run_ms: float) -> bool:
        """Keep one task's result; tell whether it is new."""
        if self.has_result[index]:
            return False
        self.has_result[index] = 1
        self.results[index] = value
        self.remaining -= 1
        self.total_ms += run_ms
        self.longest_ms = max(self.longest_ms, run_ms)
        return True

    def body(self) -> bytes:
        """Return the complete answer, results in task order."""
        answer = {"job_id": self.work.job_id, "state": "complete", "results": self.results}
        return json.dumps(answer, separators=(",", ":")).encode()


def new_job(work: _work.Work, digest: bytes, id_time_ms: int, now: float) -> Job:
    """Return a job of which nothing has been sent."""
    count = len(work.tasks)
    return Job(
        work=work,
        digest=digest,
        id_time_ms=id_time_ms,
        submitted_at=now,
        settled=asyncio.get_running_loop().create_future(),
        results=[None] * count,
        has_result=bytearray(count),
        remaining=count,
    )


@attrs.define(slots=True)
class SettledJob:
    """What stays of a settled job for the retention time; `body` None means dropped for size."""

    digest: bytes
    shard: int
    id_time_ms: int
    body: bytes | None
    error: errors.DispatchError | None

    def settlement(self) -> Settlement:
        """Return the answer that was given."""
        if self.error is not None:
            return Failed(self.error)
        if self.body is None:
            return Failed(errors.DispatchError(errors.Kind.RESULT_LOST))
        return Complete(self.body)


class JobStore:
    """Jobs by key; settled ones are kept for the retention time within a byte limit."""

    def __init__(self, retention_ms: int, answer_bytes: int):
        self._retention_ms = retention_ms
        self._limit = answer_bytes
        self.job_by_key: dict[_work.JobKey, Job] = {}
        self.settled_by_key: dict[_work.JobKey, SettledJob] = {}
        self._with_body: collections.deque[_work.JobKey] = collections.deque()
        self._expiry: collections.deque[tuple[int, _work.JobKey]] = collections.deque()
        self.answer_bytes = 0

    def add(self, job: Job) -> None:
        """Keep a new job."""
        self.job_by_key[job.key] = job

    def settle(self, job: Job, settlement: Settlement, now_ms: int) -> None:
        """End a job and tell everyone who waits for it."""
        self.job_by_key.pop(job.key, None)
        if not job.settled.done():
            job.settled.set_result(settlement)
        match settlement:
            case Complete(body=body):
                self._remember(
                    job, SettledJob(job.digest, job.work.shard, job.id_time_ms, body, None)
                )
            case Failed(error=error):
                # A job of which nothing was sent may be submitted again with the same id,
                # but a submission that another entry carries must not undo a cancellation.
                if job.sent or error.kind is errors.Kind.CANCELLED:
                    record = SettledJob(job.digest, job.work.shard, job.id_time_ms, None, error)
                    self._remember(job, record)
            case Relinquished():
                return
        self.expire(now_ms)

    def _remember(self, job: Job, record: SettledJob) -> None:
        self.settled_by_key[job.key] = record
        self._expiry.append((record.id_time_ms, job.key))
        if record.body is not None:
            self._with_body.append(job.key)
            self.answer_bytes += len(record.body)
        while self.answer_bytes > self._limit and self._with_body:
            self._drop_body(self._with_body.popleft())

    def _drop_body(self, key: _work.JobKey) -> None:
        record = self.settled_by_key.get(key)
        if record is not None and record.body is not None:
            self.answer_bytes -= len(record.body)
            record.body = None

    def expire(self, now_ms: int) -> None:
        """Forget settled jobs whose ids are refused by now."""
        while self._expiry and self._expiry[0][0] < now_ms - self._retention_ms:
            _, key = self._expiry.popleft()
            self._drop_body(key)
            self.settled_by_key.pop(key, None)

    def relinquish_shards(self, shards: set[int]) -> list[Job]:
        """Forget everything of these shards; return the jobs that were not settled."""
        lost = [job for job in self.job_by_key.values() if job.work.shard in shards]
        for job in lost:
            del self.job_by_key[job.key]
        for key in [k for k, record in self.settled_by_key.items() if record.shard in shards]:
            self._drop_body(key)
            del self.settled_by_key[key]
        return lost
