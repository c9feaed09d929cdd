"""Jobs of the shards that this entry owns: admission, resumption after a takeover, settlement.

The owner decides which tasks may start; `_delivery` exchanges the messages with
the agents. Both run on the event loop and never block.
"""

import functools
import operator

import attrs

from daisyfall import _clock, _ids, _wire, errors
from daisyfall.process import _metrics, _ownership, _settings, _shard_manager, _unreachable_agents
from daisyfall.request import _delivery, _dispatcher, _jobs, _reports, _submission, _work

EXPIRY_INTERVAL_SECONDS = 1.0

# The error of a job by the task outcome that fails it.
KIND_BY_OUTCOME = {
    _wire.FAILED: errors.Kind.TASK_FAILED,
    _wire.LOST: errors.Kind.UPSTREAM_LOST,
    _wire.EVICTED: errors.Kind.RESULT_LOST,
}


class Owner:
    """Admits, tracks and settles the jobs of the shards that this entry owns."""

    def __init__(
        self,
        settings: _settings.Settings,
        shard_manager: _shard_manager.ShardManager,
        dispatcher: _dispatcher.Dispatcher,
        delivery: _delivery.Delivery,
        metrics: _metrics.Metrics,
    ):
        self._settings = settings
        self._shard_manager = shard_manager
        self._dispatcher = dispatcher
        self._delivery = delivery
        self._metrics = metrics
        jobs = settings.jobs
        self.jobs = _jobs.JobStore(
            jobs.retention_ms + jobs.clock_skew_ms, jobs.answer_memory_mb * 1024 * 1024
        )
        self.reports = _reports.Reports()
        # Set while stopping if the shards can not be handed over: no new jobs are admitted.
        self.draining = False
        delivery.set_job_events(self)

    # Submissions.

    def submit(self, submission: _submission.Submission) -> _jobs.Job | _jobs.SettledJob:
        """Return the new or running job of a submission, or what remains of a settled one.

        Raises `DispatchError` if the submission is refused; nothing of it was run then.
        """
        now = _clock.monotonic()
        shard = _ids.shard_of(submission.buyer, self._settings.jobs.shard_count)
        owned_shard = self._shard_manager.usable_shard(shard, now)
        if owned_shard is None:
            raise errors.DispatchError(errors.Kind.NO_OWNER)
        existing = self._find(submission)
        if existing is not None:
            return existing
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
        reports = self.reports.for_job(job.key)
        if reports:
            self._resume_job(job, reports, owned_shard)
        elif not _unreachable_agents.may_start_unreported(owned_shard, submission.id_time_ms):
            # An agent that has not reported yet may have started tasks of the job. The failure is
            # not stored, so that a later submission can succeed once the agent has reported.
            self._fail(job, errors.DispatchError(errors.Kind.START_UNKNOWN))
        else:
            self._dispatcher.admit(work, now)
            self.jobs.add(job)
        self._delivery.schedule_dispatch()
        return job

    def _find(self, submission: _submission.Submission) -> _jobs.Job | _jobs.SettledJob | None:
        existing = self.jobs.job_by_key.get(submission.key)
        if existing is None:
            existing = self.jobs.settled_by_key.get(submission.key)
        if existing is not None and existing.digest != submission.digest:
            raise _id_conflict_error(submission.job_id)
        return existing

    def _resume_job(
        self,
        job: _jobs.Job,
        reports: dict[str, _reports.Report],
        owned_shard: _ownership.OwnedShard,
    ) -> None:
        """Continue a job of an earlier owner from the agents' reports.

        Tasks that were started are not started again; their results are awaited or fetched.
        """
        if any(report.digest != job.digest for report in reports.values()):
            raise _id_conflict_error(job.work.job_id)
        started = functools.reduce(operator.or_, (report.started for report in reports.values()))
        unreported = [task for task in job.work.tasks if not started >> task.index & 1]
        if unreported and not _unreachable_agents.may_start_unreported(owned_shard, job.id_time_ms):
            self._fail(job, errors.DispatchError(errors.Kind.START_UNKNOWN))
            return
        self.reports.forget(job.work.shard, job.key)
        job.any_sent = job.resumed = True
        self._dispatcher.join(job.work)
        self.jobs.add(job)
        for agent_id, report in reports.items():
            running = _reports.set_bits(report.started & ~report.finished)
            finished = _reports.set_bits(report.finished)
            job.fetching.update(finished)
            if not self._delivery.expect_results(
                agent_id, report.incarnation, job.key, running, finished
            ):
                self._fail(job, errors.DispatchError(errors.Kind.UPSTREAM_LOST))
                return
        job.deferred_tasks = unreported
        self._start_deferred(job)

    def _start_deferred(self, job: _jobs.Job) -> None:
        """Start the tasks that no agent has started, once all fetched results are successes."""
        if job.fetching or not job.deferred_tasks:
            return
        tasks, job.deferred_tasks = job.deferred_tasks, []
        work = job.work
        rest = attrs.evolve(work, tasks=tasks)
        # The earlier owner admitted the job, so it is refused only if it can never run.
        try:
            self._dispatcher.admit(rest, _clock.monotonic(), admitted=True)
        except errors.DispatchError as error:
            detail = f"the rest of the job was refused: {error.detail}"
            self._fail(job, errors.DispatchError(errors.Kind.RETRIES_USED_UP_RUNNING, detail))

    def cancel(self, key: _work.JobKey) -> None:
        """Cancel a job; one that is settled keeps its answer."""
        job = self.jobs.job_by_key.get(key)
        if job is None:
            if key not in self.jobs.settled_by_key:
                raise errors.DispatchError(errors.Kind.NOT_FOUND)
            return
        self._abort(job, errors.Kind.CANCELLED, errors.Kind.CANCELLED_RUNNING)

    # Task events reported by agents.

    def has_job(self, key: _work.JobKey) -> bool:
        """Return whether the job was submitted here."""
        return key in self.jobs.job_by_key or key in self.jobs.settled_by_key

    def has_unsettled_job(self, key: _work.JobKey) -> bool:
        """Return whether the job was submitted here and is not settled."""
        return key in self.jobs.job_by_key

    def task_sent(self, key: _work.JobKey) -> None:
        """Record that a start message of the job is sent to an agent."""
        job = self.jobs.job_by_key.get(key)
        if job is not None:
            job.any_sent = True
            self._metrics.observe_queue_time(_clock.monotonic() - job.submitted_at)

    def task_result(
        self, agent_id: str, key: _work.JobKey, index: int, *, outcome: int, value, run_ms: float
    ) -> None:
        """Record the final outcome of one task, which may settle its job."""
        job = self.jobs.job_by_key.get(key)
        if job is None:
            self.reports.finished(agent_id, key, index)
            return
        if outcome != _wire.DONE:
            detail = f"task {index}: {value}" if value else ""
            self._fail(job, errors.DispatchError(KIND_BY_OUTCOME[outcome], detail))
            return
        if not job.store_result(index, value, run_ms):
            return
        if job.fetching:
            job.fetching.discard(index)
            self._start_deferred(job)
        if not job.remaining:
            self._complete(job)

    def task_not_started(
        self, agent_id: str, key: _work.JobKey, index: int, reason: str, now: float
    ) -> None:
        """Requeue a task that provably did not start, unless the retry budget is used up."""
        is_requeued = self._dispatcher.not_started(key, index, reason, now)
        job = self.jobs.job_by_key.get(key)
        if job is None:
            self.reports.not_started(agent_id, key, index)
        elif is_requeued:
            self._metrics.count_retries(reason)
        else:
            detail = f"task {index} was not started ({reason}) and the retry budget is used up"
            self._abort(
                job, errors.Kind.RETRIES_USED_UP, errors.Kind.RETRIES_USED_UP_RUNNING, detail
            )

    # Settlement.

    def _complete(self, job: _jobs.Job) -> None:
        elapsed_ms = (_clock.monotonic() - job.submitted_at) * 1000
        ideal_ms = max(
            job.longest_ms, job.total_ms / self._delivery.upstreams.slots_for(job.work.buyer)
        )
        if ideal_ms > 0:
            self._metrics.observe_response_ratio(elapsed_ms / ideal_ms)
        self.jobs.settle(job, _jobs.Complete(job.body()), _clock.wall_ms())

    def _abort(
        self, job: _jobs.Job, not_run: errors.Kind, may_have_run: errors.Kind, detail: str = ""
    ) -> None:
        """Fail a job with `not_run` or `may_have_run`, depending on whether a task may have run."""
        _, sent_by_agent = self._dispatcher.remove_job(job.key)
        if (
            job.remaining == len(job.results)
            and not job.resumed
            and not any(sent_by_agent.values())
        ):
            # Every start that was sent has been answered with "not started".
            job.any_sent = False
        kind = may_have_run if job.any_sent else not_run
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
        self._metrics.count_refusal(error.kind)
        self.jobs.settle(job, _jobs.Failed(error), _clock.wall_ms())

    # Ownership.

    def relinquish_shards(self, shards: set[int]) -> None:
        """Drop the state of shards that are no longer owned.

        Callers that wait for an unsettled job get `Relinquished`, and ask the new owner.
        """
        for job in self.jobs.relinquish_shards(shards):
            if not job.settled.done():
                job.settled.set_result(_jobs.Relinquished())
        self._dispatcher.forget_shards(shards)
        self.reports.forget_shards(shards)
        self._delivery.relinquish_shards(shards)

    def expire(self) -> None:
        """Remove expired jobs and reports; called every `EXPIRY_INTERVAL_SECONDS`."""
        now_ms = _clock.wall_ms()
        self.jobs.expire(now_ms)
        jobs = self._settings.jobs
        oldest_id_time_ms = now_ms - jobs.retention_ms - jobs.clock_skew_ms
        self.reports.expire(lambda job_id: _ids.job_id_time_ms(job_id) < oldest_id_time_ms)

    def fail_overdue(self, now: float) -> None:
        """Fail the jobs that are past their deadline."""
        for key in self._dispatcher.pop_expired(now):
            job = self.jobs.job_by_key.get(key)
            if job is None:
                self._dispatcher.remove_job(key)
                continue
            self._abort(job, errors.Kind.DEADLINE_PASSED, errors.Kind.DEADLINE_PASSED_RUNNING)

    def explain(self, key: _work.JobKey) -> dict:
        """Return why a job is waiting or how it ended."""
        job = self.jobs.job_by_key.get(key)
        if job is not None:
            explanation = {"state": "running", "tasks": len(job.results), "open": job.remaining}
            return explanation | self._dispatcher.explain(key, _clock.monotonic())
        settled_job = self.jobs.settled_by_key.get(key)
        if settled_job is None:
            raise errors.DispatchError(errors.Kind.NOT_FOUND)
        if settled_job.error is not None:
            return {"state": "failed", "error": settled_job.error.as_body()}
        return {"state": "complete"}


def _id_conflict_error(job_id: str) -> errors.DispatchError:
    return errors.DispatchError(
        errors.Kind.ID_CONFLICT, field="job_id", value=job_id, expected="an id not used before"
    )
