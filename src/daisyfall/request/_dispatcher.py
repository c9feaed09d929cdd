"""Dispatch decisions of one entry: admission, fair queue, limits, load balancing, retries.

No I/O and no clock: the caller passes the time, sends the assignments that `assign` returns, and
reports their outcomes.
"""

import heapq
import random

from daisyfall import errors
from daisyfall.process import _settings
from daisyfall.request import (
    _admission,
    _estimates,
    _explain,
    _groups,
    _health,
    _in_flight_tasks,
    _limits,
    _queue,
    _retries,
    _routing,
    _scheduler,
    _work,
)
from daisyfall.version import _lists

Upstream = _groups.Upstream
Assignment = _scheduler.Assignment


class Dispatcher:
    """Makes all decisions on the tasks of the buyers that this entry owns."""

    def __init__(
        self,
        settings: _settings.RoutingSettings,
        job_settings: _settings.JobSettings,
        data_centre: str,
        rng: random.Random,
    ) -> None:
        self._job_settings = job_settings
        self._lists: _lists.Lists | None = None
        self._queue = _queue.FairQueue(settings.job_order)
        self._router = _routing.Router(settings, data_centre, rng)
        self._estimates = _estimates.Estimates()
        self._retries = _retries.Retries(settings, rng)
        self._health = _health.HealthTracker(settings)
        self._in_flight_tasks = _in_flight_tasks.InFlightTasks(
            self._queue, self._router, self._health, self._estimates
        )
        self._scheduler = _scheduler.Scheduler(
            self._queue, self._router, self._in_flight_tasks, self._retries
        )
        self._job_by_key = self._in_flight_tasks.job_by_key
        self._deadline_heap: list[tuple[float, int, _queue.Job]] = []
        self._expired: list[_work.JobKey] = []
        self._activated_at: dict[int, float] = {}

    # Lists and upstreams.

    def use_lists(self, lists: _lists.Lists) -> None:
        """Apply a version of the lists, also to jobs that are queued."""
        self._lists = lists
        for buyer in self._queue.buyer_by_name.values():
            self._apply_plan(buyer)

    def _apply_plan(self, buyer: _queue.Buyer) -> None:
        allowance = self._lists.allowance(buyer.name) if self._lists else None
        buyer.usage.allowance = allowance
        if allowance is not None:
            self._queue.set_weight(buyer, max(1.0, allowance.priority))
            pool = self._router.pool(allowance.data_centres, allowance.upstream_labels)
            if pool is not buyer.pool:
                self._queue.remove_buyer(buyer)
                buyer.pool = pool
        for subqueue in buyer.subqueues.values():
            subqueue.blocked = ""
        self._queue.unblock(buyer)

    def activated(self, shard: int, now: float) -> None:
        """Empty the rate buckets of a shard's buyers: an earlier owner may have used them."""
        self._activated_at[shard] = now
        for buyer in self._queue.buyer_by_name.values():
            if buyer.shard == shard:
                buyer.usage.empty(now)

    def _buyer(self, name: str, shard: int = -1) -> _queue.Buyer:
        buyer = self._queue.buyer_by_name.get(name)
        if buyer is None:
            usage = _limits.Usage(None, self._activated_at.get(shard))
            buyer = _queue.Buyer(name, usage, self._router.pool([], []), shard)
            self._queue.buyer_by_name[name] = buyer
            self._apply_plan(buyer)
        if shard >= 0:
            buyer.shard = shard
        return buyer

    def update_upstream(self, state: Upstream, now: float) -> None:
        """Add an upstream or update its state.

        The caller has to remove an earlier incarnation with `remove_upstream` before.
        """
        known = self._router.agent_by_id.get(state.agent_id)
        if known is not None:
            self._health.set_usable(known, state.usable, now)
        agent = self._router.update(state, now)
        if known is None:
            self._health.track(agent, now)
        self._router.update_external_load(agent, state.running + state.queued, now)
        self._router.set_share(agent, self._health.share(agent))
        self._in_flight_tasks.wake_resource_waiters()

    def update_load(self, agent_id: str, running: int, queued: int, now: float) -> None:
        """Update an agent's load; call `finished` first for the results of the same message."""
        agent = self._router.agent_by_id.get(agent_id)
        if agent is not None:
            self._router.update_external_load(agent, running + queued, now)
            self._in_flight_tasks.changed_loads.add(agent)

    def remove_upstream(self, agent_id: str) -> list[tuple[_work.JobKey, int]]:
        """Remove an agent; return the tasks outstanding there, which are no longer counted."""
        agent = self._router.remove(agent_id)
        if agent is None:
            return []
        self._health.untrack(agent, self._router.now)
        return self._in_flight_tasks.release_agent(agent)

    # Jobs.

    def admit(self, work: _work.Work, now: float, *, admitted: bool = False) -> None:
        """Queue the tasks of a job, or raise `DispatchError` if it can't be accepted.

        A job that an earlier owner has `admitted` is refused only if it can never run.
        """
        if self._lists is None:
            raise errors.DispatchError(errors.Kind.LISTS_UNAVAILABLE)
        buyer = self._buyer(work.buyer, work.shard)
        if buyer.usage.allowance is None:
            raise errors.DispatchError(errors.Kind.UNAUTHORIZED)
        buyer.usage.refill(now)
        entries, estimated_ms, longest_ms = _admission.estimate_tasks(
            work.buyer, work.tasks, self._estimates
        )
        request = _admission.AdmissionRequest(work, buyer, estimated_ms, longest_ms, now)
        if admitted:
            _admission.check_upstreams(request, self._router)
        else:
            _admission.check(request, self._queue, self._router, self._job_settings.queue_tasks)
        job = self._job_by_key.get(work.key)
        if job is None:
            job = self._in_flight_tasks.new_job(work.key, buyer)
        else:
            known = job.sent.keys() | job.delayed.keys() | job.queued_indices()
            duplicates = sorted(known.intersection(task.index for task in work.tasks))
            if duplicates:
                raise ValueError(f"tasks {duplicates} of job {work.key} are queued or sent already")
        job.work = work
        job.removed = False
        self._watch_deadline(job)
        self._queue.add(job, entries, now)

    def _watch_deadline(self, job: _queue.Job) -> None:
        deadlines = self._deadline_heap
        heapq.heappush(deadlines, (job.work.deadline, job.sequence, job))
        # Finished jobs are removed lazily, when they are the larger part of the heap.
        if len(deadlines) > 2 * len(self._job_by_key) + _DEADLINE_HEAP_SLACK:
            deadlines[:] = [
                item for item in deadlines if self._job_by_key.get(item[2].key) is item[2]
            ]
            heapq.heapify(deadlines)

    def adopt(
        self,
        key: _work.JobKey,
        indices: list[int],
        agent_id: str,
        work_tasks: list[_work.Task] | None,
    ) -> None:
        """Count tasks that an agent runs on behalf of an earlier owner; they are not queued."""
        agent = self._router.agent_by_id.get(agent_id)
        if agent is None:
            raise ValueError(f"agent {agent_id!r} is unknown, expected update_upstream first")
        job = self._job_by_key.get(key)
        if job is None:
            job = self._in_flight_tasks.new_job(key, self._buyer(key[0]))
        task_by_index = {task.index: task for task in work_tasks or ()}
        entries = []
        for index in indices:
            if index not in job.sent:
                task = task_by_index.get(index) or _work.Task(index, "", None, 0)
                entries.append(_admission.queue_entry(key[0], task, self._estimates))
        self._in_flight_tasks.send(job, agent, entries, _BEFORE_ALL_REPORTS)

    def join(self, work: _work.Work) -> None:
        """Add the definitions of a job's tasks, some of which were adopted without them.

        An adopted task that turns out not to have started can then be sent again.
        """
        job = self._job_by_key.get(work.key)
        if job is None:
            return
        job.work = work
        entries_by_agent: dict[_groups.Agent, list[_queue.QueueEntry]] = {}
        for task in work.tasks:
            if task.index in job.sent:
                agent, _ = self._in_flight_tasks.release(job, task.index)
                entry = _admission.queue_entry(work.buyer, task, self._estimates)
                entries_by_agent.setdefault(agent, []).append(entry)
        for agent, entries in entries_by_agent.items():
            self._in_flight_tasks.send(job, agent, entries, _BEFORE_ALL_REPORTS)
        self._watch_deadline(job)
        self._in_flight_tasks.forget_if_idle(job)

    def assign(self, now: float) -> list[Assignment]:
        """Return the tasks to start now, which are counted as sent."""
        self._router.now = now
        self._collect_expired(now)
        for job, index in self._retries.pop_due(now):
            entry = job.delayed.pop(index, None)
            if entry is not None:
                self._queue.requeue(job, entry)
        self._router.decay_external_load(now)
        for agent in self._health.advance(now):
            self._in_flight_tasks.changed_shares.add(agent)
        self._in_flight_tasks.refresh_agents()
        return self._scheduler.assign(now)

    def _collect_expired(self, now: float) -> None:
        deadlines = self._deadline_heap
        while deadlines and deadlines[0][0] <= now:
            deadline, _, job = heapq.heappop(deadlines)
            is_current = job.work is not None and job.work.deadline == deadline
            if is_current and not job.removed and not job.idle:
                self._expired.append(job.key)
                self._remove_unsent(job)

    def _remove_unsent(self, job: _queue.Job) -> None:
        job.unsent += self._queue.remove_job(job)
        job.unsent += job.delayed
        job.delayed.clear()

    # Outcomes.

    def finished(
        self, key: _work.JobKey, index: int, outcome: int, run_ms: float, now: float
    ) -> None:
        """Record the outcome of a task; ignored if the task is not known as sent."""
        job = self._job_by_key.get(key)
        if job is None or index not in job.sent:
            return
        self._in_flight_tasks.record_outcome(job, index, outcome, run_ms, now)
        if not job.sent:
            self._in_flight_tasks.forget_if_idle(job)

    def not_started(self, key: _work.JobKey, index: int, reason: str, now: float) -> bool:
        """Requeue a task that is known not to have started; return whether it is retried."""
        job = self._job_by_key.get(key)
        if job is None or index not in job.sent:
            return False
        agent, entry = self._in_flight_tasks.release(job, index)
        if reason not in _retries.DELIBERATE_STOPS:
            self._in_flight_tasks.record_refusal(agent, key, now)
        if job.removed or job.work is None:
            self._in_flight_tasks.forget_if_idle(job)
            return False
        attempt = job.attempts[index] = job.attempts.get(index, 0) + 1
        ready_at = now + self._retries.backoff_s(reason, attempt)
        if ready_at >= job.work.deadline or not self._retries.try_take(reason, now):
            job.unsent.append(index)
            return False
        if ready_at <= now:
            self._queue.requeue(job, entry)
        else:
            job.delayed[index] = entry
            self._retries.add_delayed(ready_at, job, index)
        return True

    def remove_job(self, key: _work.JobKey) -> tuple[list[int], dict[str, list[int]]]:
        """Remove a cancelled or failed job.

        Return the indices of the tasks that did not start, and those of the unfinished ones
        by agent; these count towards limits and load until their outcomes are reported.
        """
        job = self._job_by_key.get(key)
        if job is None:
            return [], {}
        job.removed = True
        self._remove_unsent(job)
        unsent, job.unsent = job.unsent, []
        sent: dict[str, list[int]] = {}
        for index, (agent, _) in job.sent.items():
            sent.setdefault(agent.upstream.agent_id, []).append(index)
        self._in_flight_tasks.forget_if_idle(job)
        return sorted(unsent), sent

    def forget_shards(self, shards: set[int]) -> None:
        """Forget all tasks of lost shards; their outcomes are now reported to another owner."""
        count = self._job_settings.shard_count
        for key in [k for k in self._job_by_key if _work.shard_of(k, count) in shards]:
            self.remove_job(key)
            job = self._job_by_key.get(key)
            if job is not None:
                for index in list(job.sent):
                    self._in_flight_tasks.release(job, index)
                self._in_flight_tasks.forget_if_idle(job)

    def pop_expired(self, now: float) -> list[_work.JobKey]:
        """Return the jobs that have expired since the last call; the caller removes them."""
        self._collect_expired(now)
        keys, self._expired = self._expired, []
        return keys

    # Queries.

    def next_wakeup(self, now: float) -> float | None:
        """Return when to call `assign` and `pop_expired` again if there is no event before."""
        deadlines = self._deadline_heap
        while deadlines and (deadlines[0][2].idle or deadlines[0][2].removed):
            heapq.heappop(deadlines)
        times = [deadlines[0][0]] if deadlines else []
        times.append(self._retries.next_due())
        if self._queue.queued:
            times += [self._router.next_external_decay(), self._health.next_due()]
            times.append(self._scheduler.next_due())
        wakeups = [time for time in times if time is not None]
        return max(now, min(wakeups)) if wakeups else None

    def pop_recalls(self, now: float) -> list[str]:
        """Return the newly ejected agents, whose queued tasks are to be recalled."""
        return self._health.pop_recalls()

    def explain(self, key: _work.JobKey, now: float) -> dict:
        """Return the state of a job and what it waits for."""
        job = self._job_by_key.get(key)
        if job is None:
            return {"state": "unknown"}
        job.buyer.usage.refill(now)
        return _explain.explain(job, self._queue, now)

    def snapshot(self) -> dict:
        """Return counts for the status page and the metrics."""
        return _explain.snapshot(
            self._queue, self._router, self._retries, self._health, len(self._job_by_key)
        )


_BEFORE_ALL_REPORTS = float("-inf")
_DEADLINE_HEAP_SLACK = 1000
