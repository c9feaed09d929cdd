"""Jobs of the shards that this entry owns: admission, joining, settlement.

The owner decides who may start what; `_delivery` exchanges the messages with
the agents. Both run on the event loop and never wait.
"""

import asyncio
import functools
import operator

import attrs

from daisyfall import _clock, _ids, _wire, errors
from daisyfall.process import _metrics, _missing, _ownership, _registry, _settings
from daisyfall.request import _delivery, _dispatcher, _jobs, _reports, _submission, _work

EXPIRY_INTERVAL_SECONDS = 1.0

# Error kind of a task outcome that fails its job.
KIND_BY_OUTCOME = {
    _wire.FAILED: errors.Kind.TASK_FAILED,
    _wire.LOST: errors.Kind.UPSTREAM_LOST,
    _wire.EVICTED: errors.Kind.RESULT_LOST,
}


class Owner:
    """The jobs of this entry's shards."""

    def __init__(
        self,
        settings: _settings.Settings,
        registry: _registry.Registry,
        dispatcher: _dispatcher.Dispatcher,
        delivery: _delivery.Delivery,
        metrics: _metrics.Metrics,
    ):
        self._settings = settings
        self._registry = registry
        self._dispatcher = dispatcher
        self._delivery = delivery
        self._metrics = metrics
        jobs = settings.jobs
        self.jobs = _jobs.JobStore(
            jobs.retention_ms + jobs.clock_skew_ms, jobs.answer_memory_mb * 1024 * 1024
        )
        self.reports = _reports.Reports()
        self.draining = False  # no other entry can take the shards over: finish, admit nothing
        delivery.bind(self)

    # Submissions.

    def submit(self, submission: _submission.Submission) -> _jobs.Job | _jobs.Record:
        """Return the new or joined job, or the record of a settled one.

        Raises `DispatchError` when the submission is refused; it was not run then.
        """
        now = _clock.monotonic()
        shard = _ids.shard_of(submission.buyer, self._settings.jobs.shard_count)
        holding = self._registry.usable(shard, now)
        if holding is None:
            raise errors.DispatchError(errors.Kind.NO_OWNER)
        known = self._find(submission)
        if known is not None:
            return known
        if self.draining:
            raise errors.DispatchError(errors.Kind.STOPPING)
        limits = self._settings.jobs
        _submission.check_id_time(
            submission.id_time_ms, _clock.wall_ms(), limits.retention_ms, limits.clock_skew_ms
        )
        deadline = now + submission.deadline_ms / 1000
        tasks, digest = submission.tasks, submission.digest
        work = _work.Work(
            submission.buyer, submission.job_id, shard, tasks, deadline, digest, len(tasks)
        )
        job = _jobs.new_job(work, submission.digest, submission.id_time_ms, now)
        reports = self.reports.of(job.key)
        if reports:
            self._join_reported(job, reports, holding)
        elif not _missing.may_start_unreported(holding, submission.id_time_ms):
            # Not remembered: the missing agent may come back and tell what it started.
            self._fail(job, errors.DispatchError(errors.Kind.START_UNKNOWN))
        else:
            self._dispatcher.admit(work, now)
            self.jobs.add(job)
        self._delivery.pump_soon()
        return job

    def _find(self, submission: _submission.Submission) -> _jobs.Job | _jobs.Record | None:
        known = self.jobs.job_by_key.get(submission.key)
        if known is None:
            known = self.jobs.record_by_key.get(submission.key)
        if known is not None and known.digest != submission.digest:
            raise _conflict(submission.job_id)
        return known

    def _join_reported(
        self,
        job: _jobs.Job,
        reports: dict[str, _reports.Report],
        holding: _ownership.Holding,
    ) -> None:
        """Take over a job that agents have started tasks of (rule 6)."""
        if any(report.digest != job.digest for report in reports.values()):
            raise _conflict(job.work.job_id)
        started = functools.reduce(operator.or_, (each.started for each in reports.values()))
        unreported = [task for task in job.work.tasks if not started >> task.index & 1]
        if unreported and not _missing.may_start_unreported(holding, job.id_time_ms):
            self._fail(job, errors.DispatchError(errors.Kind.START_UNKNOWN))
            return
        self.reports.forget(job.work.shard, job.key)
        job.sent = job.joined = True
        self._dispatcher.join(job.work)
        self.jobs.add(job)
        for agent_id, report in reports.items():
            running = _reports.bits_of(report.started & ~report.finished)
            finished = _reports.bits_of(report.finished)
            job.fetching.update(finished)
            if not self._delivery.expect(agent_id, report.incarnation, job.key, running, finished):
                self._fail(job, errors.DispatchError(errors.Kind.UPSTREAM_LOST))
                return
        job.deferred = unreported
        self._start_deferred(job)

    def _start_deferred(self, job: _jobs.Job) -> None:
        """Start what no agent has started, once it is known that no started task failed."""
        if job.fetching or not job.deferred:
            return
        tasks, job.deferred = job.deferred, []
        work = job.work
        rest = attrs.evolve(work, tasks=tasks)
        # The job was admitted by its earlier owner, so only what can never run is refused.
        try:
            self._dispatcher.admit(rest, _clock.monotonic(), admitted=True)
        except errors.DispatchError as error:
            detail = f"the rest of the job was refused: {error.detail}"
            self._fail(job, errors.DispatchError(errors.Kind.RETRIES_USED_UP_RUNNING, detail))

    def cancel(self, key: _work.Key) -> None:
        """Cancel a job that is not settled; settled ones stay as they are."""
        job = self.jobs.job_by_key.get(key)
        if job is None:
            if key not in self.jobs.record_by_key:
                raise errors.DispatchError(errors.Kind.NOT_FOUND)
            return
        self._end(job, errors.Kind.CANCELLED, errors.Kind.CANCELLED_RUNNING)

    # What agents report about tasks.

    def knows(self, key: _work.Key) -> bool:
        """Tell whether the job was submitted here."""
        return key in self.jobs.job_by_key or key in self.jobs.record_by_key

    def knows_running(self, key: _work.Key) -> bool:
        """Tell whether the job was submitted here and is not settled."""
        return key in self.jobs.job_by_key

    def task_sent(self, key: _work.Key) -> None:
        """Note that a start of the job leaves for an agent."""
        job = self.jobs.job_by_key.get(key)
        if job is not None:
            job.sent = True
            self._metrics.queued_for(_clock.monotonic() - job.submitted_at)

    def task_result(
        self, agent_id: str, key: _work.Key, index: int, *, outcome: int, value, run_ms: float
    ) -> None:
        """Take one task's final outcome."""
        job = self.jobs.job_by_key.get(key)
        if job is None:
            self.reports.finished(agent_id, key, index)
            return
        if outcome != _wire.DONE:
            detail = f"task {index}: {value}" if value else ""
            self._fail(job, errors.DispatchError(KIND_BY_OUTCOME[outcome], detail))
            return
        if not job.take_result(index, value, run_ms):
            return
        if job.fetching:
            job.fetching.discard(index)
            self._start_deferred(job)
        if not job.remaining:
            self._complete(job)

    def task_not_started(
        self, agent_id: str, key: _work.Key, index: int, reason: str, now: float
    ) -> None:
        """Queue a task again that provably did not start, within the retry budget."""
        again = self._dispatcher.not_started(key, index, reason, now)
        job = self.jobs.job_by_key.get(key)
        if job is None:
            self.reports.not_started(agent_id, key, index)
        elif again:
            self._metrics.retried(reason)
        else:
            detail = f"task {index} was not started ({reason}) and the retry budget is used up"
            self._end(job, errors.Kind.RETRIES_USED_UP, errors.Kind.RETRIES_USED_UP_RUNNING, detail)

    # Settlement.

    def _complete(self, job: _jobs.Job) -> None:
        elapsed_ms = (_clock.monotonic() - job.submitted_at) * 1000
        ideal_ms = max(
            job.longest_ms, job.total_ms / self._delivery.upstreams.slots_for(job.work.buyer)
        )
        if ideal_ms > 0:
            self._metrics.responded(elapsed_ms / ideal_ms)
        self.jobs.settle(job, _jobs.Complete(job.body()), _clock.wall_ms())

    def _end(
        self, job: _jobs.Job, not_run: errors.Kind, may_have_run: errors.Kind, detail: str = ""
    ) -> None:
        """Fail a job with the kind that fits what is known of its starts."""
        _, sent_by_agent = self._dispatcher.remove_job(job.key)
        if job.remaining == len(job.results) and not job.joined and not any(sent_by_agent.values()):
            # Every start that was sent has been answered as not started.
            job.sent = False
        kind = may_have_run if job.sent else not_run
        self._fail(job, errors.DispatchError(kind, detail), sent_by_agent)

    def _fail(
        self,
        job: _jobs.Job,
        error: errors.DispatchError,
        sent_by_agent: dict[str, list[int]] | None = None,
    ) -> None:
        if sent_by_agent is None:
            _, sent_by_agent = self._dispatcher.remove_job(job.key)
        self._delivery.cancel(job.key, sent_by_agent)
        self._metrics.refused(error.kind)
        self.jobs.settle(job, _jobs.Failed(error), _clock.wall_ms())

    # Ownership.

    def give_up(self, shards: set[int]) -> None:
        """Hand the unsettled jobs of lost shards to whoever waits for them."""
        for job in self.jobs.give_up(shards):
            if not job.settled.done():
                job.settled.set_result(_jobs.Relinquished())
        self._dispatcher.forget_shards(shards)
        self.reports.drop_shards(shards)
        self._delivery.give_up(shards)

    async def expire(self) -> None:
        """End jobs at their deadline and forget settled ones, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_SECONDS)
            now_ms = _clock.wall_ms()
            self.jobs.expire(now_ms)
            oldest = now_ms - self._settings.jobs.retention_ms - self._settings.jobs.clock_skew_ms
            self.reports.expire(lambda job_id, limit=oldest: _ids.job_id_time_ms(job_id) < limit)

    def end_overdue(self, now: float) -> None:
        """Fail the jobs whose deadline has passed."""
        for key in self._dispatcher.pop_expired(now):
            job = self.jobs.job_by_key.get(key)
            if job is None:
                self._dispatcher.remove_job(key)
                continue
            self._end(job, errors.Kind.DEADLINE_PASSED, errors.Kind.DEADLINE_PASSED_RUNNING)

    def explain(self, key: _work.Key) -> dict:
        """Return why a job waits or how it ended."""
        job = self.jobs.job_by_key.get(key)
        if job is not None:
            found = {"state": "running", "tasks": len(job.results), "open": job.remaining}
            return found | self._dispatcher.explain(key, _clock.monotonic())
        record = self.jobs.record_by_key.get(key)
        if record is None:
            raise errors.DispatchError(errors.Kind.NOT_FOUND)
        if record.error is not None:
            return {"state": "failed", "error": record.error.as_body()}
        return {"state": "complete"}


def _conflict(job_id: str) -> errors.DispatchError:
    return errors.DispatchError(
        errors.Kind.ID_CONFLICT, field="job_id", value=job_id, expected="an id not used before"
    )
