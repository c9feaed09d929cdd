"""Jobs in progress at a pool entry: placement, dispatch, retries and the answer to the caller."""

import asyncio
import random

import loguru

from daisyfall import _clock, _pool_wire
from daisyfall.connection import _link
from daisyfall.policy import _bounds, _evacuations, _fair_shares, _job_queue, _runner_crashes
from daisyfall.process import _pool_metrics
from daisyfall.request import (
    _agent_links,
    _dispatched_tasks,
    _estimates,
    _held_tasks,
    _job_callbacks,
    _job_limits,
    _pending_answers,
    _pool_jobs,
)

# How long an agent may queue a task whose capacity on the runner is not free yet.
AGENT_QUEUE_WAIT_MS = 100
# How long a disconnected agent has to reconnect. After that, jobs with tasks there are given up if
# the tasks could not be run again in time.
RECONNECT_TIMEOUT_S = 0.4
CRASHES_RUNNERS = "crashes_runners"
# Reasons for which the same agent may be tried again, as they don't indicate a faulty runner.
SAME_AGENT_RETRY_REASONS = frozenset({"no_room", "old_run", "late", "fenced", "delayed"})
# Reasons for which an agent ends a task so that it runs elsewhere, at most once a task.
RESCHEDULE_REASONS = frozenset({"straggling", "leaving"})


class PoolJobManager:
    """Tracks the jobs that an entry has accepted until they are answered.

    Nothing is sent to the agents of the data centres in `evacuated`.
    """

    def __init__(
        self,
        entry_id: str,
        bounds: _bounds.Bounds,
        metrics: _pool_metrics.PoolMetrics,
        rng: random.Random,
    ):
        self._entry_id = entry_id
        self._bounds = bounds
        self._metrics = metrics
        self._job_by_id: dict[str, _pool_jobs.Job] = {}
        self._answers = _pending_answers.PendingAnswers()
        self._crashes = _runner_crashes.RunnerCrashes()
        self._links = _agent_links.AgentLinks()
        self._dispatched = _dispatched_tasks.DispatchedTasks()
        self._held = _held_tasks.HeldTasks()
        self._estimates = _estimates.Estimates()
        self._served = _fair_shares.ServedWork()
        self.limits = _job_limits.JobLimits(rng, _clock.monotonic())
        self.evacuated: frozenset[str] = frozenset()

    def set_callbacks(self, callbacks: _job_callbacks.JobCallbacks) -> None:
        """Set the callbacks into the entry; called before the first job."""
        self._callbacks = callbacks

    def __len__(self) -> int:
        return len(self._job_by_id)

    def has_job(self, job_id: str) -> bool:
        """Return whether a job is in progress here."""
        return job_id in self._job_by_id

    async def submit(self, submission: _pool_jobs.Submission) -> _pool_jobs.Answer:
        """Run a job, or wait for it if it is in progress, and return its answer.

        The job is cancelled when the last caller that waits for it disconnects.
        """
        job_id = submission.job_id
        future = self._answers.find(job_id)
        if future is None:
            future = self.start_job(submission)
        elif submission.route.pool != self._job_by_id[job_id].submission.route.pool:
            self._move(self._job_by_id[job_id], submission)
        return await self._answers.wait(
            job_id, future, lambda: self.cancel(job_id, reason="caller_left")
        )

    def _move(self, job: _pool_jobs.Job, submission: _pool_jobs.Submission) -> None:
        """Run a job in another pool, as its route has moved since it was accepted."""
        log = loguru.logger.bind(job=job.id, route=submission.route.name)
        log.bind(pool=submission.route.pool).info("job moves to another pool")
        self._callbacks.withdraw(job.id)
        job.move(submission)
        self._request_placement(job, job.unblock())

    def cancel(self, job_id: str, *, reason: str = "cancelled") -> bool:
        """Cancel a job; return whether it was in progress here."""
        job = self._job_by_id.get(job_id)
        if job is not None:
            self._finish(job, _pool_jobs.Answer(_pool_jobs.Outcome.CANCELLED, reason))
        return job is not None

    def handle_placement_reply(
        self, message: _pool_wire.TasksPlaced | _pool_wire.PlacementRefused
    ) -> None:
        """Handle the scheduling entry's reply to a placement request."""
        job = self._job_by_id.get(message.job_id)
        if job is None:
            return
        match message:
            case _pool_wire.TasksPlaced():
                self._dispatch(job, message)
            case _pool_wire.PlacementRefused():
                self._handle_placement_refusal(job, message)

    def handle_task_ended(self, agent_id: str, message: _pool_wire.TaskEnded) -> None:
        """Handle an agent's report that a task has ended; unexpected reports are ignored."""
        job_id = message.task.split(".", 1)[0]
        job = self._job_by_id.get(job_id)
        task = job.task_by_name.get(message.task) if job else None
        if (
            task is None
            or task.phase is not _pool_jobs.Phase.DISPATCHED
            or task.agent_id != agent_id
            or task.run != message.run
        ):
            return
        self._dispatched.remove(task)
        if task.pool != job.submission.route.pool:
            self._requeue_task(job, task, "moved")
            return
        match message.outcome:
            case "done":
                run_ms = message.run_ms / max(message.remote_factor, 1.0)
                self._handle_task_done(job, task, run_ms)
            case "failed":
                self._handle_task_failed(job, task)
            case _:
                self._requeue_task(job, task, message.outcome)

    def handle_runner_crash(self, message: _pool_wire.RunnerCrashed) -> set[str]:
        """Handle an agent's report of a crash; return the routes of the tasks given up for it."""
        runs = tuple(_runner_crashes.CrashedRun(*row[:4]) for row in message.runs)
        crash = _runner_crashes.Crash(message.crash_id, runs)
        crashed_at = _clock.monotonic() - message.age_ms / 1000
        given_up = self._crashes.record(crash, crashed_at)
        for run in given_up:
            log = loguru.logger.bind(task=run.task, route=run.route, run_ms=round(run.run_ms))
            log.warning("task crashes its runners")
        return {run.route for run in given_up}

    def reconcile_tasks(self, agent_id: str, link: _link.Link, message: _pool_wire.Resumed) -> None:
        """Compare the tasks that a reconnected agent reports with those dispatched to it.

        A missing task that was dispatched to the same incarnation never arrived or has ended,
        so it is placed again at once. One dispatched to an earlier incarnation may still run
        until its lease expires; it is tracked under that incarnation until then.
        """
        disconnected_at = self._links.reconcile(agent_id)
        reported_names = set(message.tasks)
        for job, task in self.tasks_at(agent_id):
            if task.name in reported_names or job.id not in self._job_by_id:
                continue
            if task.agent_incarnation == link.peer.incarnation:
                self._requeue_task(job, task, "not_at_agent")
            else:
                previous_incarnation = f"{agent_id}/{task.agent_incarnation}"
                self._dispatched.remove(task)
                task.agent_id = previous_incarnation
                self._dispatched.add(job, task)
                closed_at = disconnected_at or _clock.monotonic()
                self._links.mark_closed(previous_incarnation, closed_at)
        expected_names = {task.name for _, task in self.tasks_at(agent_id)}
        for name in reported_names - expected_names:
            link.send(_pool_wire.StopTask(name, 0, "job ended"))
        for placed in self._held.pop_for(agent_id):
            self.handle_placement_reply(placed)

    def mark_unreconciled(self, agent_id: str) -> None:
        """Dispatch nothing to a newly connected agent until its tasks are reconciled."""
        self._links.open(agent_id)

    def agent_disconnected(self, agent_id: str, incarnation: str, now: float) -> None:
        """Record that the link to an incarnation of an agent has closed."""
        tasks = self.tasks_at(agent_id)
        has_tasks = any(task.agent_incarnation == incarnation for _, task in tasks)
        self._links.close(agent_id, now, has_tasks=has_tasks)

    def waiting_job_ids(self) -> list[str]:
        """Return the ids of the jobs that have tasks waiting for placement, most urgent first."""
        waiting = [job for job in self._job_by_id.values() if job.waiting()]
        return [job.id for job in sorted(waiting, key=_job_limits.urgency)]

    def request_placement_again(self, job_id: str, changed_at: float) -> None:
        """Request placement again, as the scheduling entry changed at `changed_at`."""
        job = self._job_by_id.get(job_id)
        if job is None:
            return
        if job.requested_at > changed_at:
            # A part of its tasks was requested from the new scheduling entry meanwhile.
            self._callbacks.withdraw(job.id)
        self._request_placement(job, job.waiting())

    def give_up_all(self) -> None:
        """End all jobs because the process exits."""
        for job in list(self._job_by_id.values()):
            self._give_up(job, _job_limits.STOPPING)

    def expire(self, now: float) -> None:
        """Handle time-outs of agents and jobs.

        Tasks of a disconnected agent are placed again once they can't run there any more. A job
        that could not be run again in time is given up earlier, and every other job as soon as
        waiting on can't help it, at the latest shortly before its deadline.
        """
        for agent_id, disconnected_at in self._links.closed():
            is_fenced = now > disconnected_at + self._bounds.fenced_after_s
            for job, task in self.tasks_at(agent_id):
                if job.id not in self._job_by_id:
                    continue
                if is_fenced:
                    self._requeue_task(job, task, "agent_lost")
                elif now > disconnected_at + RECONNECT_TIMEOUT_S and not job.can_end_in_time(
                    task, disconnected_at + self._bounds.fenced_after_s
                ):
                    self._give_up(job, "agent_lost")
            if is_fenced:
                self._links.forget(agent_id)
        for job, task in self._held.requeue_expired(now, self._job_by_id):
            self._request_placement(job, [task])
        for job, answer in self.limits.due(list(self._job_by_id.values()), now):
            self._finish(job, answer)

    def tasks_at(self, agent_id: str) -> list[tuple[_pool_jobs.Job, _pool_jobs.Task]]:
        """Return the tasks dispatched to an agent that have not ended."""
        return self._dispatched.at(agent_id)

    def has_tasks_at(self, agent_id: str) -> bool:
        """Return whether any task dispatched to an agent has not ended."""
        return self._dispatched.has_any(agent_id)

    def start_job(self, submission: _pool_jobs.Submission) -> asyncio.Future:
        """Accept a job and request its first placements; return the future of its answer."""
        now = _clock.monotonic()
        job = self._new_job(submission, now)
        future = self._answers.open(job.id)
        self._job_by_id[job.id] = job
        expected_ms_by_step = {task.step: task.expected_ms for task in job.task_by_name.values()}
        loguru.logger.bind(
            job=job.id,
            route=submission.route.name,
            tasks=len(job.task_by_name),
            expected_ms=[round(step_ms) for step_ms in expected_ms_by_step.values()],
            start_within_ms=round((job.latest_start - now) * 1000),
            wait_ms=round(submission.wait_s * 1000),
            **self._callbacks.describe(),
        ).info("job taken")
        refused = self.limits.add(job, now)
        if refused is not None:
            self._finish(*refused)
        if job.id in self._job_by_id:
            self._request_placement(job, job.unblock())
        return future

    def preview(
        self, submission: _pool_jobs.Submission
    ) -> tuple[_pool_jobs.Answer | None, _job_queue.TaskBatch]:
        """Return how a job would be refused on arrival, and its first request for placement."""
        now = _clock.monotonic()
        job = self._new_job(submission, now)
        batch = job.request_placement(job.unblock(), self._entry_id)
        refused = self.limits.refusal_for(job, now)
        return (refused[1] if refused and refused[0] is job else None), batch

    def _new_job(self, submission: _pool_jobs.Submission, now: float) -> _pool_jobs.Job:
        route = submission.route.name
        expected_ms = [
            self._estimates.expected_ms("", route, step.estimated_ms) for step in submission.steps
        ]
        return _pool_jobs.new_job(submission, expected_ms, now)

    def _request_placement(self, job: _pool_jobs.Job, tasks: list[_pool_jobs.Task]) -> None:
        """Ask the scheduling entry to place tasks, or end a job of which one is given up."""
        if any(self._crashes.is_given_up(task.name) for task in tasks):
            self._finish(job, _pool_jobs.Answer(_pool_jobs.Outcome.FAILED, CRASHES_RUNNERS))
        elif tasks:
            now = _clock.monotonic()
            job.requested_at = now
            batch = job.request_placement(tasks, self._entry_id)
            batch.served = self._served.recent(batch.route, now)
            self._callbacks.place(batch)

    def _dispatch(self, job: _pool_jobs.Job, placed: _pool_wire.TasksPlaced) -> None:
        if placed.request_id not in job.request_ids:
            return
        now = _clock.monotonic()
        self.limits.record_placement(job, now)
        unreachable = []
        agent_by_run: dict[str, str] = {}
        for name, agent_id in placed.agent_by_task.items():
            task = job.task_by_name.get(name)
            if task is None or task.phase is not _pool_jobs.Phase.WAITING:
                continue
            link = self._callbacks.link_to(agent_id)
            is_evacuated = link is not None and link.peer.data_centre in self.evacuated
            if is_evacuated:
                self._metrics.count_retries(_evacuations.EVACUATED)
            if link is None or is_evacuated or self._links.is_unreconciled(agent_id):
                is_lost = link is None and self._links.is_closed(agent_id)
                can_hold = not (is_lost or is_evacuated)
                if can_hold and self._held.hold(job, task, agent_id, now):
                    self._callbacks.dial(agent_id)
                    continue
                task.agent_id = agent_id
                job.requeue(task, avoids_agent=True)
                unreachable.append(task)
                continue
            if not job.has_dispatched:
                self._metrics.observe_first_start(now - job.arrived_at)
                self.limits.record_start(job)
            run_request = job.dispatch(task, agent_id, AGENT_QUEUE_WAIT_MS, round(now * 1000))
            self._dispatched.add(job, task)
            core_seconds = run_request.cpu * task.expected_ms / 1e6
            self._served.add(run_request.route, core_seconds, now)
            self._callbacks.on_dispatch(agent_id)
            task.agent_incarnation = link.peer.incarnation
            agent_by_run[f"{name}/{run_request.run}"] = agent_id
            link.send(run_request)
        if agent_by_run:
            log = loguru.logger.bind(job=job.id, runs=agent_by_run)
            log.bind(after_ms=round((now - job.arrived_at) * 1000)).info("tasks ordered")
        if unreachable:
            self._request_placement(job, unreachable)

    def _handle_placement_refusal(
        self, job: _pool_jobs.Job, message: _pool_wire.PlacementRefused
    ) -> None:
        if all(task.request_id != message.request_id for task in job.waiting()):
            return
        if job.has_dispatched:
            self._give_up(job, message.reason)
            return
        retry_after_s = message.retry_after_ms / 1000
        answer = _pool_jobs.Answer(_pool_jobs.Outcome.REFUSED, message.reason, retry_after_s)
        self._finish(job, answer)

    def _handle_task_done(self, job: _pool_jobs.Job, task: _pool_jobs.Task, run_ms: float) -> None:
        task.phase = _pool_jobs.Phase.DONE
        step = job.submission.steps[task.step]
        stats = self._estimates.kind_stats("", job.submission.route.name)
        self._estimates.learn(stats, run_ms, step.estimated_ms)
        if job.is_done:
            self._finish(job, _pool_jobs.Answer(_pool_jobs.Outcome.COMPLETED))
        else:
            self._request_placement(job, job.unblock())

    def _handle_task_failed(self, job: _pool_jobs.Job, task: _pool_jobs.Task) -> None:
        task.failures += 1
        if task.failures >= job.submission.route.max_attempts:
            answer = _pool_jobs.Answer(_pool_jobs.Outcome.FAILED, "task_failed")
            self._finish(job, answer)
        else:
            self._requeue_task(job, task, "failed")

    def _requeue_task(self, job: _pool_jobs.Job, task: _pool_jobs.Task, reason: str) -> None:
        now = _clock.monotonic()
        self._dispatched.remove(task)
        self._metrics.count_retries(reason)
        log = loguru.logger.bind(job=job.id, task=task.name, agent=task.agent_id, reason=reason)
        log.info("task is placed again")
        if reason == "old_run":
            task.run += _pool_jobs.OLD_RUN_STEP
        task.was_rescheduled |= reason in RESCHEDULE_REASONS
        job.requeue(task, avoids_agent=reason not in SAME_AGENT_RETRY_REASONS)
        if job.can_meet_deadline(now):
            self._request_placement(job, [task])
        else:
            self._give_up(job, reason)

    def _give_up(self, job: _pool_jobs.Job, reason: str) -> None:
        self._finish(job, _job_limits.give_up(job, reason))

    def _finish(self, job: _pool_jobs.Job, answer: _pool_jobs.Answer) -> None:
        if self._job_by_id.pop(job.id, None) is None:
            return
        self.limits.remove(job)
        for task in job.dispatched():
            self._dispatched.remove(task)
            link = self._callbacks.link_to(task.agent_id)
            if link is not None:
                link.send(_pool_wire.StopTask(task.name, task.run, answer.reason or "job ended"))
        if job.waiting():
            self._callbacks.withdraw(job.id)
        elapsed_s = _clock.monotonic() - job.arrived_at
        self._metrics.observe_answer(answer.outcome.value, elapsed_s)
        if answer.reason:
            self._metrics.count_refusal(answer.reason)
        log = loguru.logger.bind(job=job.id, outcome=answer.outcome.value, reason=answer.reason)
        log.bind(after_ms=round(elapsed_s * 1000)).info("job ended")
        self._answers.resolve(job.id, answer)
