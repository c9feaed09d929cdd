"""The jobs of one entry: from the request to its answer, task by task."""

import asyncio
import math
from collections.abc import Callable

import loguru

from daisyfall import _clock, _pool_wire
from daisyfall.connection import _link
from daisyfall.policy import _bounds, _waiting
from daisyfall.process import _pool_metrics
from daisyfall.request import _estimates, _pool_jobs

# An agent keeps an order this long if its room is not free yet.
PATIENCE_MS = 100
# Hopeless jobs of an agent that can't be reached are given up after this time.
RECONNECT_S = 0.4
# Run times vary; a job is taken by a stopping entry if it may take this many times the expected
# time, and refused with this hint otherwise, as other entries serve it at once.
STOPPING_STRETCH = 1.5
STOPPING_RETRY_S = 1.0
STOPPING = "stopping"
# Reasons of agents that say nothing about the runner: the task may go there again.
ROOM_REASONS = frozenset({"no_room", "old_run", "late", "fenced"})


class PoolWork:
    """Jobs in work at an entry.

    `place` has an item placed by the scheduling entry, `withdraw` drops what waits of a job
    there, `link_to` returns the link to an agent, `describe` what to log of the entry's state.
    """

    def __init__(self, entry_id: str, bounds: _bounds.Bounds, metrics: _pool_metrics.PoolMetrics):
        self._entry_id = entry_id
        self._bounds = bounds
        self._metrics = metrics
        self._job_by_id: dict[str, _pool_jobs.Job] = {}
        self._answer_by_id: dict[str, asyncio.Future] = {}
        self._waiters_by_id: dict[str, int] = {}
        self._lost_at_by_agent: dict[str, float] = {}
        self._unsettled_agents: set[str] = set()
        self._estimates = _estimates.Estimates()
        self._ends_at = math.inf

    def attach(
        self,
        *,
        place: Callable[[_waiting.TaskBatch], None],
        withdraw: Callable[[str], None],
        link_to: Callable[[str], _link.Link | None],
        describe: Callable[[], dict],
    ) -> None:
        """Set the entry's side; before the first job."""
        self._place = place
        self._withdraw = withdraw
        self._link_to = link_to
        self._describe = describe

    def __len__(self) -> int:
        return len(self._job_by_id)

    def has_job(self, job_id: str) -> bool:
        """Tell whether a job is in work here."""
        return job_id in self._job_by_id

    async def submit(self, submission: _pool_jobs.Submission) -> _pool_jobs.Answer:
        """Run a job, or join it if it is in work; a caller that leaves cancels its job."""
        job_id = submission.job_id
        future = self._answer_by_id.get(job_id)
        if future is None:
            future = self.begin(submission)
        self._waiters_by_id[job_id] = self._waiters_by_id.get(job_id, 0) + 1
        try:
            return await asyncio.shield(future)
        except asyncio.CancelledError:
            if self._waiters_by_id.get(job_id) == 1 and job_id in self._job_by_id:
                self._finish(
                    self._job_by_id[job_id],
                    _pool_jobs.Answer(_pool_jobs.Outcome.CANCELLED, "caller_left"),
                )
            raise
        finally:
            self._leave(job_id)

    def cancel(self, job_id: str) -> bool:
        """Cancel a job; tell whether it was here."""
        job = self._job_by_id.get(job_id)
        if job is not None:
            answer = _pool_jobs.Answer(_pool_jobs.Outcome.CANCELLED, "cancelled")
            self._finish(job, answer)
        return job is not None

    def take_decision(self, message: _pool_wire.Placed | _pool_wire.PlaceRefused) -> None:
        """Take an answer of the scheduling entry."""
        job = self._job_by_id.get(message.job_id)
        if job is None:
            return
        match message:
            case _pool_wire.Placed():
                self._order(job, message)
            case _pool_wire.PlaceRefused():
                self._take_refusal(job, message)

    def end_task(self, agent_id: str, message: _pool_wire.TaskEnded) -> None:
        """Take the end of a task from its agent; one that is not expected is ignored."""
        job_id = message.task.split(".", 1)[0]
        job = self._job_by_id.get(job_id)
        task = job.task_by_name.get(message.task) if job else None
        if (
            task is None
            or task.phase is not _pool_jobs.Phase.ORDERED
            or task.agent_id != agent_id
            or task.run != message.run
        ):
            return
        match message.how:
            case "done":
                self._end_well(job, task, message.run_ms)
            case "failed":
                self._end_badly(job, task)
            case _:
                self._place_again(job, task, message.how)

    def settle(self, agent_id: str, link: _link.Link, message: _pool_wire.Resumed) -> None:
        """Compare the tasks that an agent has with those that it should have.

        What its former life had started may run until the lease has passed; what the same life
        does not have never reached it, or has ended.
        """
        self._unsettled_agents.discard(agent_id)
        lost_at = self._lost_at_by_agent.pop(agent_id, None)
        here = set(message.tasks)
        for job, task in self.tasks_at(agent_id):
            if task.name in here or job.id not in self._job_by_id:
                continue
            if task.agent_life == link.peer.incarnation:
                self._place_again(job, task, "not_at_agent")
            else:
                former = f"{agent_id}/{task.agent_life}"
                task.agent_id = former
                self._lost_at_by_agent.setdefault(former, lost_at or _clock.monotonic())
        known = {task.name for _, task in self.tasks_at(agent_id)}
        for name in here - known:
            link.send(_pool_wire.StopTask(name, 0, "job ended"))

    def watch(self, agent_id: str) -> None:
        """Order nothing at an agent whose link is new until both lists were compared."""
        self._unsettled_agents.add(agent_id)

    def agent_lost(self, agent_id: str, now: float) -> None:
        """Note that the link to an agent has ended."""
        self._lost_at_by_agent.setdefault(agent_id, now)

    def waiting_ids(self) -> list[str]:
        """Return the ids of the jobs of which a task waits for a place."""
        return [each.id for each in self._job_by_id.values() if each.waiting()]

    def ask_again(self, now: float) -> None:
        """Ask anew for all tasks that wait, because another entry schedules now."""
        for job in [each for each in self._job_by_id.values() if each.waiting()]:
            self._ask(job, job.waiting(), now)

    def end_by(self, ends_at: float) -> None:
        """Refuse from now on what can't end before this time, in seconds on the steady clock."""
        self._ends_at = ends_at

    def give_up_all(self) -> None:
        """End all jobs, as the process ends."""
        for job in list(self._job_by_id.values()):
            self._give_up(job, STOPPING)

    def expire(self, now: float) -> None:
        """Place again what lost agents can't run any more, and end jobs at their deadline."""
        for agent_id, lost_at in list(self._lost_at_by_agent.items()):
            is_gone = now > lost_at + self._bounds.fenced_after_s
            for job, task in self.tasks_at(agent_id):
                if job.id not in self._job_by_id:
                    continue
                if is_gone:
                    self._place_again(job, task, "agent_lost")
                elif now > lost_at + RECONNECT_S and not self._can_outwait(job, task, lost_at):
                    self._give_up(job, "agent_lost")
            if is_gone:
                del self._lost_at_by_agent[agent_id]
        for job in list(self._job_by_id.values()):
            if now > job.deadline - _pool_jobs.ANSWER_MARGIN_S:
                self._give_up(job, "deadline")

    def tasks_at(self, agent_id: str) -> list[tuple[_pool_jobs.Job, _pool_jobs.Task]]:
        """Return the tasks that were ordered at an agent and have not ended."""
        return [
            (job, task)
            for job in list(self._job_by_id.values())
            for task in job.ordered()
            if task.agent_id == agent_id
        ]

    def waiting_by_route(self) -> dict[str, int]:
        """Return the number of jobs of which no task was ordered."""
        count_by_route: dict[str, int] = {}
        for job in self._job_by_id.values():
            if not job.has_ordered:
                name = job.submission.route.name
                count_by_route[name] = count_by_route.get(name, 0) + 1
        return count_by_route

    def _leave(self, job_id: str) -> None:
        left = self._waiters_by_id.get(job_id, 0) - 1
        if left > 0:
            self._waiters_by_id[job_id] = left
        else:
            self._waiters_by_id.pop(job_id, None)

    def begin(self, submission: _pool_jobs.Submission) -> asyncio.Future:
        """Take a job; return the future of its answer."""
        now = _clock.monotonic()
        route = submission.route.name
        kind_stats = self._estimates.kind_stats("", route)
        expected_ms = [
            kind_stats.predict(each.estimated_ms) if kind_stats.samples else each.estimated_ms
            for each in submission.steps
        ]
        job = _pool_jobs.make(submission, expected_ms, now)
        future = asyncio.get_running_loop().create_future()
        self._job_by_id[job.id] = job
        self._answer_by_id[job.id] = future
        loguru.logger.bind(
            job=job.id,
            route=route,
            tasks=len(job.task_by_name),
            expected_ms=[round(each) for each in expected_ms],
            start_within_ms=round((job.latest_start - now) * 1000),
            wait_ms=round(submission.wait_s * 1000),
            **self._describe(),
        ).info("job taken")
        chain_s = _pool_jobs.longest_chain(submission.steps, expected_ms) / 1000
        if now + STOPPING_STRETCH * chain_s > self._ends_at:
            refusal = _pool_jobs.Answer(_pool_jobs.Outcome.REFUSED, STOPPING, STOPPING_RETRY_S)
            self._finish(job, refusal)
        else:
            self._ask(job, job.unblock(), now)
        return future

    def _ask(self, job: _pool_jobs.Job, tasks: list[_pool_jobs.Task], now: float) -> None:
        """Have tasks placed by the entry that schedules the pool."""
        if not tasks:
            return
        job.requests += 1
        request_id = f"{job.id}/{job.requests}"
        for task in tasks:
            task.request_id = request_id
        longest_s = max(each.expected_ms for each in tasks) / 1000
        start_deadline = job.deadline - longest_s - _pool_jobs.ANSWER_MARGIN_S
        self._place(
            _waiting.TaskBatch(
                id=request_id,
                entry_id=self._entry_id,
                job_id=job.id,
                pool=job.submission.route.pool,
                priority=job.submission.route.priority,
                demands=sorted((job.demand(each) for each in tasks), key=lambda each: -each.cpu),
                latest_start=job.latest_start,
                start_deadline=start_deadline,
                has_started=job.has_ordered,
            )
        )

    def _order(self, job: _pool_jobs.Job, placed: _pool_wire.Placed) -> None:
        now = _clock.monotonic()
        unreachable = []
        for name, agent_id in placed.agent_by_task.items():
            task = job.task_by_name.get(name)
            if task is None or task.phase is not _pool_jobs.Phase.WAITING:
                continue
            link = self._link_to(agent_id)
            if link is None or agent_id in self._unsettled_agents:
                task.agent_id = agent_id
                job.put_back(task, avoids_agent=True)
                unreachable.append(task)
                continue
            if not job.has_ordered:
                self._metrics.first_start(now - job.arrived_at)
            order = job.order(task, agent_id, PATIENCE_MS)
            task.agent_life = link.peer.incarnation
            log = loguru.logger.bind(job=job.id, task=name, run=order.run, agent=agent_id)
            log.bind(after_ms=round((now - job.arrived_at) * 1000)).info("task ordered")
            link.send(order)
        if unreachable:
            self._ask(job, unreachable, now)

    def _take_refusal(self, job: _pool_jobs.Job, message: _pool_wire.PlaceRefused) -> None:
        if all(each.request_id != message.request_id for each in job.waiting()):
            return
        if job.has_ordered:
            self._give_up(job, message.reason)
            return
        retry_after_s = message.retry_after_ms / 1000
        answer = _pool_jobs.Answer(_pool_jobs.Outcome.REFUSED, message.reason, retry_after_s)
        self._finish(job, answer)

    def _end_well(self, job: _pool_jobs.Job, task: _pool_jobs.Task, run_ms: float) -> None:
        task.phase = _pool_jobs.Phase.DONE
        step = job.submission.steps[task.step]
        kind_stats = self._estimates.kind_stats("", job.submission.route.name)
        self._estimates.learn(kind_stats, run_ms, step.estimated_ms)
        if job.is_done:
            self._finish(job, _pool_jobs.Answer(_pool_jobs.Outcome.COMPLETED))
        else:
            self._ask(job, job.unblock(), _clock.monotonic())

    def _end_badly(self, job: _pool_jobs.Job, task: _pool_jobs.Task) -> None:
        task.failures += 1
        if task.failures >= job.submission.route.attempts:
            answer = _pool_jobs.Answer(_pool_jobs.Outcome.FAILED, "task_failed")
            self._finish(job, answer)
        else:
            self._place_again(job, task, "failed")

    def _place_again(self, job: _pool_jobs.Job, task: _pool_jobs.Task, reason: str) -> None:
        now = _clock.monotonic()
        self._metrics.retried(reason)
        log = loguru.logger.bind(job=job.id, task=task.name, agent=task.agent_id, reason=reason)
        log.info("task is placed again")
        if reason == "old_run":
            task.run += _pool_jobs.OLD_RUN_STEP
        task.was_moved |= reason == "straggling"
        job.put_back(task, avoids_agent=reason not in ROOM_REASONS)
        if job.can_still_end(now):
            self._ask(job, [task], now)
        else:
            self._give_up(job, reason)

    def _give_up(self, job: _pool_jobs.Job, reason: str) -> None:
        """End a job that can't be completed; the caller is told whether it may have run."""
        outcome = _pool_jobs.Outcome.GIVEN_UP if job.has_ordered else _pool_jobs.Outcome.REFUSED
        self._finish(job, _pool_jobs.Answer(outcome, reason))

    def _finish(self, job: _pool_jobs.Job, answer: _pool_jobs.Answer) -> None:
        if self._job_by_id.pop(job.id, None) is None:
            return
        for task in job.ordered():
            link = self._link_to(task.agent_id)
            if link is not None:
                link.send(_pool_wire.StopTask(task.name, task.run, answer.reason or "job ended"))
        if job.waiting():
            self._withdraw(job.id)
        elapsed_s = _clock.monotonic() - job.arrived_at
        self._metrics.answered(answer.outcome.value, elapsed_s)
        if answer.reason:
            self._metrics.refused(answer.reason)
        log = loguru.logger.bind(job=job.id, outcome=answer.outcome.value, reason=answer.reason)
        log.bind(after_ms=round(elapsed_s * 1000)).info("job ended")
        future = self._answer_by_id.pop(job.id)
        if not future.done():
            future.set_result(answer)

    def _can_outwait(self, job: _pool_jobs.Job, task: _pool_jobs.Task, lost_at: float) -> bool:
        gone_at = lost_at + self._bounds.fenced_after_s
        return gone_at + task.expected_ms / 1000 < job.deadline - _pool_jobs.ANSWER_MARGIN_S
