"""Tasks that were sent to agents and not yet reported, and the resources that they use."""

from daisyfall import _wire
from daisyfall.request import _estimates, _groups, _health, _limits, _queue, _routing, _work

# Value of `SubQueue.blocked` while waiting for an upstream's memory or accelerators.
UPSTREAM_RESOURCES = "upstream"
# Limits on what a buyer has in flight, so the end of one of its tasks may lift them.
_USAGE_LIMITS = (_limits.Limit.IN_FLIGHT, _limits.Limit.SLOTS)


class InFlightTasks:
    """Tracks the dispatcher's jobs, and the tasks in flight by buyer, agent, rack and job.

    `changed_loads` and `changed_shares` collect the agents whose load, or whose share of slots,
    has changed since the last `refresh_agents`.
    """

    def __init__(
        self,
        queue: _queue.FairQueue,
        router: _routing.Router,
        health: _health.HealthTracker,
        estimates: _estimates.Estimates,
    ) -> None:
        self._estimates = estimates
        self._health = health
        self._queue = queue
        self._router = router
        self._sequence = 0
        self._buyers_waiting_for_resources: set[_queue.Buyer] = set()
        self.job_by_key: dict[_work.JobKey, _queue.Job] = {}
        self.changed_loads: set[_groups.Agent] = set()
        self.changed_shares: set[_groups.Agent] = set()

    def new_job(self, key: _work.JobKey, buyer: _queue.Buyer) -> _queue.Job:
        """Register a job that is not tracked yet; return its state."""
        self._sequence += 1
        job = self.job_by_key[key] = _queue.Job(key, None, buyer, self._sequence)
        return job

    def forget_if_idle(self, job: _queue.Job) -> None:
        """Stop tracking a job without queued, delayed or sent tasks."""
        if job.idle and self.job_by_key.get(job.key) is job:
            del self.job_by_key[job.key]

    def send(
        self, job: _queue.Job, agent: _groups.Agent, entries: list[_queue.QueueEntry], now: float
    ) -> None:
        """Count tasks of a job as in flight at an agent."""
        accelerators = 0
        for entry in entries:
            job.sent[-entry[2]] = (agent, entry)
            accelerators += entry[4].accelerators
        upstream = agent.upstream
        job.sent_by_rack[upstream.rack] = job.sent_by_rack.get(upstream.rack, 0) + len(entries)
        job.buyer.usage.add(upstream.agent_id, upstream.slots, len(entries), accelerators)
        self._router.send(agent, job.key, entries, now)

    def release(self, job: _queue.Job, index: int) -> tuple[_groups.Agent, _queue.QueueEntry]:
        """Stop counting a task as in flight, and unblock what waited for its resources."""
        sent = job.sent.pop(index)
        agent, entry = sent
        buyer = job.buyer
        self._router.release(agent, job.key, entry)
        self.changed_loads.add(agent)
        job.sent_by_rack[agent.upstream.rack] -= 1
        task = entry[4]
        buyer.usage.release(agent.upstream.agent_id, task.accelerators)
        if buyer.blocked in _USAGE_LIMITS:
            self._queue.unblock(buyer)
        if task.accelerators or task.memory_mb:
            self.wake_resource_waiters()
            for subqueue in buyer.subqueues.values():
                if subqueue.blocked == _limits.Limit.ACCELERATORS.value:
                    subqueue.blocked = ""
            self._queue.enqueue_buyer(buyer)
        return sent

    def record_outcome(
        self, job: _queue.Job, index: int, outcome: int, run_ms: float, now: float
    ) -> None:
        """Record a task's outcome in the run-time estimates and the health of its agent."""
        agent, entry = self.release(job, index)
        kind_stats = self._estimates.kind_stats(job.key[0], entry[4].kind)
        if outcome in (_wire.DONE, _wire.EVICTED):
            declared_ms = entry[4].run_ms
            slowdown = _health.slowdown(kind_stats, run_ms, declared_ms)
            self._estimates.learn(kind_stats, run_ms, declared_ms)
            job.succeeded += 1
            if self._health.succeeded(agent, job.key, slowdown, now):
                self.changed_shares.add(agent)
            return
        agent_id = agent.upstream.agent_id
        job.failed_agents.add(agent_id)
        kind_stats.add_failure(agent_id)
        weight = _health.failure_weight(kind_stats, job, agent_id)
        self._health.failed(agent, job.key, weight, now)
        if weight >= _health.MIN_FAILURE_WEIGHT:
            self._health.withhold_slot(agent, _health.slot_hold_s(entry, run_ms), now)
        self.changed_shares.add(agent)

    def record_refusal(self, agent: _groups.Agent, key: _work.JobKey, now: float) -> None:
        """Record that an upstream did not start a task, which never counts against the job."""
        self._health.failed(agent, key, 1.0, now)
        self._health.withhold_slot(agent, _health.REFUSED_HOLD_S, now)
        self.changed_shares.add(agent)

    def release_agent(self, agent: _groups.Agent) -> list[tuple[_work.JobKey, int]]:
        """Stop counting the tasks of an agent that was removed; return them."""
        outstanding = []
        for key in list(agent.sent_by_job):
            job = self.job_by_key[key]
            for index in [index for index, sent in job.sent.items() if sent[0] is agent]:
                self.release(job, index)
                outstanding.append((key, index))
            self.forget_if_idle(job)
        self.changed_loads.discard(agent)
        self.changed_shares.discard(agent)
        return outstanding

    def wait_for_resource(self, buyer: _queue.Buyer, subqueue: _queue.SubQueue) -> None:
        """Block a sub-queue until an upstream has memory and accelerators for its next task."""
        subqueue.blocked = UPSTREAM_RESOURCES
        self._buyers_waiting_for_resources.add(buyer)

    def wake_resource_waiters(self) -> None:
        """Unblock the sub-queues that wait for an upstream's memory or accelerators."""
        for buyer in self._buyers_waiting_for_resources:
            for subqueue in buyer.subqueues.values():
                if subqueue.blocked == UPSTREAM_RESOURCES:
                    subqueue.blocked = ""
            self._queue.enqueue_buyer(buyer)
        self._buyers_waiting_for_resources.clear()

    def refresh_agents(self) -> None:
        """Update the agents' positions in the router after changes of load or share."""
        for agent in self.changed_shares:
            if agent.group is not None:
                self._router.set_share(agent, self._health.share(agent))
        for agent in self.changed_loads - self.changed_shares:
            self._router.refresh(agent)
        self.changed_shares.clear()
        self.changed_loads.clear()
