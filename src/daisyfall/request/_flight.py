"""Tasks that were sent and not yet reported, and what their end sets free."""

from daisyfall.request import _groups, _limits, _queue, _routing, _work

UPSTREAM = "upstream"  # a lane waits for memory or accelerators of an upstream
_BY_USE = (_limits.Limit.IN_FLIGHT, _limits.Limit.SLOTS)


class Flight:
    """The known jobs, and the counts of sent tasks by buyer, agent, rack and job."""

    def __init__(self, queue: _queue.FairQueue, router: _routing.Router) -> None:
        self._queue = queue
        self._router = router
        self._sequence = 0
        self._resource_waiters: set[_queue.Buyer] = set()
        self.job_by_key: dict[_work.Key, _queue.Job] = {}
        self.changed: set[_groups.Agent] = set()

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
        self.changed.add(agent)
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
        for agent in self.changed:
            self._router.refresh(agent)
        self.changed.clear()
