"""Tasks that were sent and not yet reported, and what their end sets free."""

from daisyfall import _wire
from daisyfall.request import _estimates, _groups, _health, _limits, _queue, _routing, _work

UPSTREAM = "upstream"  # a lane waits for memory or accelerators of an upstream
_BY_USE = (_limits.Limit.IN_FLIGHT, _limits.Limit.SLOTS)


class Flight:
    """The known jobs, and the counts of sent tasks by buyer, agent, rack and job."""

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
        self._resource_waiters: set[_queue.Buyer] = set()
        self.job_by_key: dict[_work.Key, _queue.Job] = {}
        self.changed: set[_groups.Agent] = set()
        self.changed_shares: set[_groups.Agent] = set()

    def new_job(self, key: _work.Key, buyer: _queue.Buyer) -> _queue.Job:
        """Return the state of a job that is not known yet."""
        self._sequence += 1
        job = self.job_by_key[key] = _queue.Job(key, None, buyer, self._sequence)
        return job

    def forget_if_idle(self, job: _queue.Job) -> None:
        """Forget a job of which nothing is left."""
        if job.idle and self.job_by_key.get(job.key) is job:
            del self.job_by_key[job.key]

    def send(
        self, job: _queue.Job, agent: _groups.Agent, entries: list[_queue.QueueEntry], now: float
    ) -> None:
        """Count tasks of a job that go to an agent."""
        accelerators = 0
        for entry in entries:
            job.sent[-entry[2]] = (agent, entry)
            accelerators += entry[4].accelerators
        upstream = agent.upstream
        job.sent_by_rack[upstream.rack] = job.sent_by_rack.get(upstream.rack, 0) + len(entries)
        job.buyer.usage.add(upstream.agent_id, upstream.slots, len(entries), accelerators)
        self._router.send(agent, job.key, entries, now)

    def release(self, job: _queue.Job, index: int) -> tuple[_groups.Agent, _queue.QueueEntry]:
        """Stop counting a sent task, and let those be served that waited for its end."""
        sent = job.sent.pop(index)
        agent, entry = sent
        buyer = job.buyer
        self._router.release(agent, job.key, entry)
        self.changed.add(agent)
        job.sent_by_rack[agent.upstream.rack] -= 1
        task = entry[4]
        buyer.usage.release(agent.upstream.agent_id, task.accelerators)
        if buyer.blocked in _BY_USE:
            self._queue.unblock(buyer)
        if task.accelerators or task.memory_mb:
            self.wake_resource_waiters()
            for subqueue in buyer.subqueues.values():
                if subqueue.blocked == _limits.Limit.ACCELERATORS.value:
                    subqueue.blocked = ""
            self._queue.enqueue_buyer(buyer)
        return sent

    def judge(self, job: _queue.Job, index: int, outcome: int, run_ms: float, now: float) -> None:
        """Take over a task's outcome: its run time, and the evidence on the agent."""
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

    def refused(self, agent: _groups.Agent, key: _work.Key, now: float) -> None:
        """Note that an upstream did not start a task: that is never the job's fault."""
        self._health.failed(agent, key, 1.0, now)
        self._health.withhold_slot(agent, _health.REFUSED_HOLD_S, now)
        self.changed_shares.add(agent)

    def release_agent(self, agent: _groups.Agent) -> list[tuple[_work.Key, int]]:
        """Stop counting all tasks at an agent that was removed; return them."""
        outstanding = []
        for key in list(agent.sent_by_job):
            job = self.job_by_key[key]
            for index in [index for index, sent in job.sent.items() if sent[0] is agent]:
                self.release(job, index)
                outstanding.append((key, index))
            self.forget_if_idle(job)
        self.changed.discard(agent)
        self.changed_shares.discard(agent)
        return outstanding

    def wait_for_resource(self, buyer: _queue.Buyer, subqueue: _queue.SubQueue) -> None:
        """Hold a lane back until memory, accelerators or an upstream is set free."""
        subqueue.blocked = UPSTREAM
        self._resource_waiters.add(buyer)

    def wake_resource_waiters(self) -> None:
        """Let the lanes be tried again that wait for memory or accelerators."""
        for buyer in self._resource_waiters:
            for subqueue in buyer.subqueues.values():
                if subqueue.blocked == UPSTREAM:
                    subqueue.blocked = ""
            self._queue.enqueue_buyer(buyer)
        self._resource_waiters.clear()

    def refresh_agents(self) -> None:
        """Bring the order of the agents up to date with what was reported."""
        for agent in self.changed_shares:
            if agent.group is not None:
                self._router.set_share(agent, self._health.share(agent))
        for agent in self.changed - self.changed_shares:
            self._router.refresh(agent)
        self.changed_shares.clear()
        self.changed.clear()
