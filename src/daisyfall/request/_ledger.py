"""An agent's record of accepted and started tasks, which ensures that a task starts at most once.

The ledger only holds state: it does no I/O and gets the current time as an argument.
A bitmap is an int whose bit `i` stands for task index `i`.

The states of a task are unknown, queued (accepted, not started), started, and finished
(started, with an outcome). Only a queued task, or one that the runner provably did not
start, returns to unknown.
"""

import collections
import dataclasses
import sys

import attrs
import cbor2

from daisyfall import _ids, _wire
from daisyfall.request import _reports, _work

# Values of `StartRefused.reason`.
WRONG_INCARNATION = "wrong_incarnation"
STALE_EPOCH = "stale_epoch"
DIGEST_CONFLICT = "digest_conflict"
MALFORMED = "malformed"

# Memory of one stored result besides its value: bytes object, tuple, dict slot and index.
RESULT_OVERHEAD_BYTES = 200
REPORT_JOBS = 500  # jobs in one FenceReport; keeps a frame far below the size limit
_MAX_ID_TIME_MS = (1 << 48) - 1  # used for an id that contains no time
TASK_COUNT_LIMIT = 65_536  # bounds the size of the bitmaps that an invalid message could request
TASK_FIELDS = 6  # fields of a task item; later versions may append more
# Jobs are kept this much longer than the retention time, to allow for clock differences.
RETENTION_MARGIN_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """Task items to queue; `repeated` are result items of tasks that had finished before.

    `epoch_raised` tells whether the message raised the shard's epoch.
    """

    tasks: list
    repeated: list
    epoch_raised: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """No task of the message is started; `indices` are the tasks that are unknown to the agent.

    Tasks that were accepted before are left out, since the owner would treat them as
    not started; `repeated` are result items of those that had finished.
    """

    reason: str
    seen_epoch: int
    indices: list
    epoch_raised: bool = False
    repeated: list = dataclasses.field(default_factory=list)


@attrs.define(slots=True, eq=False)
class _Job:
    shard: int
    digest: bytes
    task_count: int
    last_used_at: float
    queued: int = 0
    started: int = 0
    finished: int = 0
    result_bytes: int = 0
    result_by_index: dict | None = None  # index -> (outcome, CBOR of the value, run_ms)


class Ledger:
    """Tracks the jobs within the retention time, and the highest epoch and the owner by shard."""

    def __init__(self, incarnation: str, retention_seconds: float, result_limit_bytes: int):
        self._incarnation = incarnation
        self._retention_seconds = retention_seconds + RETENTION_MARGIN_SECONDS
        self._result_limit_bytes = result_limit_bytes
        self._epoch_by_shard: dict[int, int] = {}
        self._owner_by_shard: dict[int, str] = {}
        # `OrderedDict`, since repeatedly removing the first key of a `dict` takes quadratic time.
        self._job_by_key: collections.OrderedDict[_work.JobKey, _Job] = collections.OrderedDict()
        self._jobs_with_results: collections.OrderedDict[_work.JobKey, _Job] = (
            collections.OrderedDict()
        )
        self._jobs_by_shard: dict[int, dict[_work.JobKey, _Job]] = collections.defaultdict(dict)
        # Latest time in the ids of accepted jobs, in ms since the Unix epoch; 1 if there are none.
        self.latest_id_ms = 1
        self.result_bytes = 0
        self.evicted_results = 0

    def __len__(self) -> int:
        return len(self._job_by_key)

    @property
    def epoch_count(self) -> int:
        """Return the number of shards with a known epoch."""
        return len(self._epoch_by_shard)

    def epoch_of(self, shard: int) -> int:
        """Return the highest epoch seen for a shard, 0 if there is none."""
        return self._epoch_by_shard.get(shard, 0)

    def owner_of(self, shard: int) -> str:
        """Return the id of the entry that gets the shard's results, empty if unknown."""
        return self._owner_by_shard.get(shard, "")

    def shard_of(self, key: _work.JobKey) -> int | None:
        """Return the shard of a job, None if the job is unknown."""
        job = self._job_by_key.get(key)
        return None if job is None else job.shard

    def fence(self, shard: int, epoch: int, sender: str) -> bool:
        """Refuse lower epochs of a shard from now on; return whether the epoch was raised.

        If it was raised, the shard's queued tasks are dropped and become unknown.
        """
        seen_epoch = self.epoch_of(shard)
        if epoch < seen_epoch:
            return False
        self._owner_by_shard[shard] = sender
        if epoch == seen_epoch:
            return False
        self._epoch_by_shard[shard] = epoch
        for key, job in list(self._jobs_by_shard[shard].items()):
            job.queued = 0
            self._remove_if_unused(key, job)
        return True

    def accept(
        self, start: _wire.Start, sender: str, now: float, unavailable_reason: str = ""
    ) -> object:
        """Accept or refuse a Start; `unavailable_reason` is set while no tasks are accepted."""
        seen_epoch = self.epoch_of(start.shard)
        if start.incarnation != self._incarnation:
            return Refused(WRONG_INCARNATION, seen_epoch, self._unknown_indices(start))
        if start.epoch < seen_epoch:
            return Refused(STALE_EPOCH, seen_epoch, self._unknown_indices(start))
        epoch_raised = self.fence(start.shard, start.epoch, sender)
        conflict = self._conflict(start)
        if conflict:
            return Refused(conflict, start.epoch, _valid_indices(start.tasks), epoch_raised)
        if unavailable_reason:
            repeated = self._finished_results(start)
            return Refused(
                unavailable_reason,
                start.epoch,
                self._unknown_indices(start),
                epoch_raised,
                repeated,
            )
        key = (sys.intern(start.buyer), start.job_id)
        job = self._job_by_key.get(key)
        if job is None:
            job = self._add(key, start, now)
            self.latest_id_ms = max(self.latest_id_ms, _id_time_ms(start.job_id))
        tasks = self._queue_new(job, start.tasks)
        self._mark_used(key, job, now)
        return Accepted(tasks, self._finished_results(start), epoch_raised)

    def mark_started(self, key: _work.JobKey, index: int, epoch: int, now: float) -> bool:
        """Record that a task is about to start; if this returns False, it must not be started."""
        job = self._job_by_key.get(key)
        bit = 1 << index
        if job is None or not job.queued & bit or epoch != self.epoch_of(job.shard):
            return False
        job.queued &= ~bit
        job.started |= bit
        self._mark_used(key, job, now)
        return True

    def withdraw(self, key: _work.JobKey, index: int) -> None:
        """Return a task to unknown that is queued, or that the runner provably did not start."""
        job = self._job_by_key.get(key)
        if job is None:
            return
        bit = 1 << index
        job.queued &= ~bit
        job.started &= ~bit | job.finished
        self._remove_if_unused(key, job)

    def finish(self, item: list, now: float) -> None:
        """Record the result item of a started task, and evict old results above the byte limit."""
        buyer, job_id, index, outcome, value, run_ms = item
        key = (buyer, job_id)
        job = self._job_by_key[key]
        job.finished |= 1 << index
        encoded_value = cbor2.dumps(value)
        if job.result_by_index is None:
            job.result_by_index = {}
            self._jobs_with_results[key] = job
        job.result_by_index[index] = (outcome, encoded_value, run_ms)
        size = len(encoded_value) + RESULT_OVERHEAD_BYTES
        job.result_bytes += size
        self.result_bytes += size
        self._mark_used(key, job, now)
        while self.result_bytes > self._result_limit_bytes:
            self._evict_results(next(iter(self._jobs_with_results)))

    def results(self, key: _work.JobKey) -> list[list]:
        """Return the result items of all finished tasks of a job."""
        job = self._job_by_key.get(key)
        if job is None:
            return []
        return [self._result_item(key, job, index) for index in _reports.set_bits(job.finished)]

    def report(self, shard: int) -> list[_wire.FenceReport]:
        """Return the fence report of a shard; queued tasks are reported as started."""
        rows = []
        for (buyer, job_id), job in self._jobs_by_shard[shard].items():
            started = job.queued | job.started
            rows.append([buyer, job_id, job.digest, job.task_count, started, job.finished])
        epoch = self.epoch_of(shard)
        messages = []
        for first in range(0, max(len(rows), 1), REPORT_JOBS):
            chunk = rows[first : first + REPORT_JOBS]
            last = first + REPORT_JOBS >= len(rows)
            messages.append(_wire.FenceReport(shard, epoch, self._incarnation, chunk, last))
        return messages

    def stale_report(self, shard: int) -> _wire.FenceReport:
        """Return the answer to a fence with a stale epoch: the highest epoch and no jobs."""
        return _wire.FenceReport(shard, self.epoch_of(shard), self._incarnation, [], True)

    def expire(self, now: float) -> int:
        """Remove jobs that were unused for the retention time; return their number.

        Jobs with queued or running tasks are kept.
        """
        expired = 0
        while self._job_by_key:
            key, job = next(iter(self._job_by_key.items()))
            if job.last_used_at + self._retention_seconds > now:
                break
            if job.queued or job.started != job.finished:
                self._mark_used(key, job, now)
                continue
            self._remove(key, job)
            expired += 1
        return expired

    def _conflict(self, start: _wire.Start) -> str:
        if not 0 < start.task_count <= TASK_COUNT_LIMIT:
            return MALFORMED
        if not all(_is_task_item(task, start.task_count) for task in start.tasks):
            return MALFORMED
        job = self._job_by_key.get((start.buyer, start.job_id))
        if job is None:
            return ""
        expected = (job.shard, job.digest, job.task_count)
        return "" if expected == (start.shard, start.digest, start.task_count) else DIGEST_CONFLICT

    def _add(self, key: _work.JobKey, start: _wire.Start, now: float) -> _Job:
        job = _Job(start.shard, start.digest, start.task_count, now)
        self._job_by_key[key] = job
        self._jobs_by_shard[start.shard][key] = job
        return job

    def _queue_new(self, job: _Job, tasks: list) -> list:
        new_items = []
        for task in tasks:
            bit = 1 << task[0]
            if not (job.queued | job.started) & bit:
                job.queued |= bit
                new_items.append(task)
        return new_items

    def _unknown_indices(self, start: _wire.Start) -> list[int]:
        job = self._job_by_key.get((start.buyer, start.job_id))
        known = 0 if job is None else job.queued | job.started
        return [index for index in _valid_indices(start.tasks) if not known >> index & 1]

    def _finished_results(self, start: _wire.Start) -> list[list]:
        key = (start.buyer, start.job_id)
        job = self._job_by_key.get(key)
        if job is None or not job.finished:
            return []
        finished = [index for index in _valid_indices(start.tasks) if job.finished >> index & 1]
        return [self._result_item(key, job, index) for index in finished]

    def _result_item(self, key: _work.JobKey, job: _Job, index: int) -> list:
        result = job.result_by_index and job.result_by_index.get(index)
        if not result:
            return [*key, index, _wire.EVICTED, None, 0]
        outcome, encoded_value, run_ms = result
        return [*key, index, outcome, cbor2.loads(encoded_value), run_ms]

    def _mark_used(self, key: _work.JobKey, job: _Job, now: float) -> None:
        job.last_used_at = now
        self._job_by_key.move_to_end(key)

    def _evict_results(self, key: _work.JobKey) -> None:
        # All results of a job are evicted together, since its answer fails if one is missing.
        job = self._jobs_with_results.pop(key)
        self.evicted_results += len(job.result_by_index)
        self._drop_results(job)

    def _drop_results(self, job: _Job) -> None:
        self.result_bytes -= job.result_bytes
        job.result_bytes = 0
        job.result_by_index = None

    def _remove_if_unused(self, key: _work.JobKey, job: _Job) -> None:
        if not job.queued and not job.started:
            self._remove(key, job)

    def _remove(self, key: _work.JobKey, job: _Job) -> None:
        self._drop_results(job)
        self._jobs_with_results.pop(key, None)
        del self._job_by_key[key]
        del self._jobs_by_shard[job.shard][key]


def _id_time_ms(job_id: str) -> int:
    try:
        return _ids.job_id_time_ms(job_id)
    except ValueError:
        return _MAX_ID_TIME_MS


def _is_task_item(item: object, task_count: int) -> bool:
    if not isinstance(item, list) or len(item) < TASK_FIELDS:
        return False
    return isinstance(item[0], int) and 0 <= item[0] < task_count


def _valid_indices(tasks: list) -> list[int]:
    """Return the indices of task items; items without a valid index are skipped."""
    indices = [item[0] for item in tasks if isinstance(item, list) and item]
    return [index for index in indices if isinstance(index, int) and index >= 0]
