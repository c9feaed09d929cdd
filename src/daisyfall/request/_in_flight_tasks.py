"""Tasks that were sent and not yet reported, and what their end sets free."""

from daisyfall import _wire
from daisyfall.request import _estimates, _groups, _health, _limits, _queue, _routing, _work

UPSTREAM = "upstream"  # a lane waits for memory or accelerators of an upstream
_BY_USE = (_limits.Limit.IN_FLIGHT, _limits.Limit.SLOTS)


class InFlightTasks:
    """The known jobs, and the counts of sent tasks by buyer, agent, rack and job."""

    def __init__(
        self,
        queue: _queue.FairQueue,
        router: _routing.Router,
        health: _health.Health,
        estimates: _estimates.Estimates,
    ) -> None:
        self._estimates = estimates
        self._health = health
        self._queue = queue
        self._router = router
        self._sequence = 0
        self._resource_waiters: set[_queue.Buyer] = set()
        self.job_by_key: dict[_work.JobKey, _queue.Job] = {}
        self.changed_loads: set[_groups.Agent] = set()
        self.changed_shares: set[_groups.Agent] = set()

    def new_job(self, key: _work.JobKey, buyer: _queue.Buyer) -> _queue.Job:
        """Return the state of a job that is not known yet."""
        self._sequence += 1
        job = self.job_by_key[key] = _queue.Job(key, None, buyer, self._sequence)
        return job

    def forget_if_idle(self, job: _queue.Job) -> None:
        """Forget a job of which nothing is left."""
        if job.idle and self.job_by_key.get(job.key) is job:
            del self.job_by_key[job.key]

    def send(
        self, job: _queue.Job, agent: _groups.Agent, entries: list[_queue.Entry], now: float
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

    def release(self, job: _queue.Job, index: int) -> tuple[_groups.Agent, _queue.Entry]:
        """Stop counting a sent task, and let those be served that waited for its end."""
        sent = job.sent.pop(index)
        agent, entry = sent
        buyer = job.buyer
        self._router.release(agent, job.key, entry)
        self.changed_loads.add(agent)
        job.sent_by_rack[agent.upstream.rack] -= 1
        task = entry[4]
        buyer.usage.release(agent.upstream.agent_id, task.accelerators)
        if buyer.blocked in _BY_USE:
            self._queue.unblock(buyer)
        if task.accelerators or task.memory_mb:
            self.wake_resource_waiters()
            for lane in buyer.lanes.values():
                if lane.blocked == _limits.Limit.ACCELERATORS.value:
                    lane.blocked = ""
            self._queue.offer(buyer)
        return sent

    def record_outcome(
        self, job: _queue.Job, index: int, outcome: int, run_ms: float, now: float
    ) -> None:
        """Take over a task's outcome: its run time, and the evidence on the agent."""
        agent, entry = self.release(job, index)
        record = self._estimates.record(job.key[0], entry[4].kind)
        if outcome in (_wire.DONE, _wire.EVICTED):
            declared_ms = entry[4].run_ms
            ratio = _health.ratio(record, run_ms, declared_ms)
            self._estimates.learn(record, run_ms, declared_ms)
            job.done += 1
            if self._health.done(agent, job.key, ratio, now):
                self.changed_shares.add(agent)
            return
        agent_id = agent.upstream.agent_id
        job.failed_agents.add(agent_id)
        record.add_failure(agent_id)
        weight = _health.weigh(record, job, agent_id)
        self._health.failed(agent, job.key, weight, now)
        if weight >= _health.STRIKE_WEIGHT:
            self._health.hold(agent, _health.hold_s(entry, run_ms), now)
        self.changed_shares.add(agent)

    def record_refusal(self, agent: _groups.Agent, key: _work.JobKey, now: float) -> None:
        """Note that an upstream did not start a task: that is never the job's fault."""
        self._health.failed(agent, key, 1.0, now)
        self._health.hold(agent, _health.REFUSED_HOLD_S, now)
        self.changed_shares.add(agent)

    def release_agent(self, agent: _groups.Agent) -> list[tuple[_work.JobKey, int]]:
        """Stop counting all tasks at an agent that was removed; return them."""
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

    def wait_for_resource(self, buyer: _queue.Buyer, lane: _queue.Lane) -> None:
        """Hold a lane back until memory, accelerators or an upstream is set free."""
        lane.blocked = UPSTREAM
        self._resource_waiters.add(buyer)

    def wake_resource_waiters(self) -> None:
        """Let the lanes be tried again that wait for memory or accelerators."""
        for buyer in self._resource_waiters:
            for lane in buyer.lanes.values():
                if lane.blocked == UPSTREAM:
                    lane.blocked = ""
            self._queue.offer(buyer)
        self._resource_waiters.clear()

    def refresh_agents(self) -> None:
        """Bring the order of the agents up to date with what was reported."""
        for agent in self.changed_shares:
            if agent.group is not None:
                self._router.set_share(agent, self._health.share(agent))
        for agent in self.changed_loads - self.changed_shares:
            self._router.refresh(agent)
        self.changed_shares.clear()
        self.changed_loads.clear()
