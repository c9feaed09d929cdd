"""Load balancing: the choice of an agent for a task by the routing policy, and the agents' load."""

import heapq
import random

from daisyfall.process import _settings
from daisyfall.request import _groups, _queue, _work

POLICIES = ("random", "two_choices", "least_outstanding", "late_binding")
# Longest queue at an agent, in tasks per slot: 64 tasks without work last about a round trip.
MAX_QUEUE_PER_SLOT = 64
# Tasks of up to this run time per slot are sent in one message, which costs more than they do.
BATCH_MS = 0.5
# Tasks sent within the last round trip and this time are not yet in the load that an agent
# reports.
_REPORT_SLACK_S = 0.001
# Reservations expire, since the job that one is for may be cancelled.
_RESERVATION_TIMEOUT_S = 5.0
_MIN_DISTANCE_CHANGE = 0.2
# The external load (tasks of other entries) at an agent that reports nothing is assumed to halve
# within the mean run time, limited to this range.
_EXTERNAL_HALF_LIFE_RANGE_S = (0.01, 1.0)


class Router:
    """All agents, and the choice of one for a task by the policy in the settings."""

    def __init__(
        self, settings: _settings.RoutingSettings, data_centre: str, rng: random.Random
    ) -> None:
        if settings.policy not in POLICIES:
            raise ValueError(f"policy is {settings.policy!r}, expected one of {POLICIES}")
        self._is_late_binding = settings.policy == "late_binding"
        self._sample_size = {"random": 1, "two_choices": 2}.get(settings.policy, 0)
        self._queue_ms = settings.agent_queue_ms
        self._data_centre = data_centre
        self._rng = rng
        self.now = 0.0  # time of the last update
        self.agent_by_id: dict[str, _groups.Agent] = {}
        self.group_by_key: dict[tuple, _groups.Group] = {}
        self.pool_by_key: dict[tuple, _groups.Pool] = {}
        self.external_decay_heap: list[tuple[float, str]] = []

    def pool(self, data_centres: list[str], labels: list[str]) -> _groups.Pool:
        """Return the pool for a plan's data centres and labels."""
        key = (frozenset(data_centres), frozenset(labels))
        found = self.pool_by_key.get(key)
        if found is None:
            found = self.pool_by_key[key] = _groups.Pool(*key)
            found.groups = [group for group in self.group_by_key.values() if found.allows(group)]
            self._sort(found)
        return found

    def _sort(self, pool: _groups.Pool) -> None:
        # At the same distance, agents with accelerators come last for tasks that need none.
        pool.groups.sort(
            key=lambda group: (
                group.round_trip_ms,
                group.data_centre != self._data_centre,
                group.accelerators,
                group.memory_mb,
            )
        )

    def update(self, state: _groups.Upstream, now: float) -> _groups.Agent:
        """Add an upstream, or update its state."""
        self.now = now
        agent = self.agent_by_id.get(state.agent_id)
        if agent is None:
            agent = self.agent_by_id[state.agent_id] = _groups.Agent(state)
        key = (
            state.data_centre,
            frozenset(state.labels),
            state.memory_mb,
            state.accelerators,
        )
        if agent.group is None or agent.group.key != key:
            self._leave_group(agent)
            self._join_group(agent, key)
        agent.upstream = state
        self._update_round_trip(agent.group, state.distance_ms)
        return agent

    def _join_group(self, agent: _groups.Agent, key: tuple) -> None:
        group = self.group_by_key.get(key)
        if group is None:
            group = self.group_by_key[key] = _groups.Group(key)
            for pool in self.pool_by_key.values():
                if pool.allows(group):
                    pool.groups.append(group)
                    self._sort(pool)
        group.members.append(agent)
        agent.group = group

    def _leave_group(self, agent: _groups.Agent) -> None:
        group = agent.group
        if group is None:
            return
        self.set_share(agent, 0)
        group.move(agent, None)
        group.members.remove(agent)
        group.emptied_at = self.now
        agent.group = None

    def _update_round_trip(self, group: _groups.Group, distance_ms: float) -> None:
        # Only lasting changes of the distance reorder the groups, not fluctuations.
        old, new = group.round_trip_ms, 2.0 * distance_ms
        if len(group.members) > 1:
            new = old + (new - old) / len(group.members)
        if abs(new - old) > _MIN_DISTANCE_CHANGE * old:
            group.round_trip_ms = new
            for pool in self.pool_by_key.values():
                if group in pool.groups:
                    self._sort(pool)

    def remove(self, agent_id: str) -> _groups.Agent | None:
        """Remove an agent."""
        agent = self.agent_by_id.pop(agent_id, None)
        if agent is not None:
            self._leave_group(agent)
        return agent

    def set_share(self, agent: _groups.Agent, share: int) -> None:
        """Set how many of an agent's slots may be used."""
        usable = share if agent.upstream.usable else 0
        agent.group.slots += usable - agent.share
        agent.share = usable
        self.refresh(agent)

    def refresh(self, agent: _groups.Agent) -> None:
        """Move an agent to the bucket of its current load level."""
        level = None
        if agent.share > 0:
            excess = agent.own_tasks + agent.external_tasks + agent.withheld_slots - agent.share
            if excess < 0:
                level = excess
            elif excess < self._queue_limit(agent):
                level = excess * _groups.LEVELS_PER_SLOTS // agent.share
        if level != agent.level:
            agent.group.move(agent, level)

    def _queue_limit(self, agent: _groups.Agent) -> int:
        """Return how many tasks may be queued at an agent."""
        slots = agent.share
        if not self._is_late_binding:
            return MAX_QUEUE_PER_SLOT * slots
        # An agent whose share of slots is reduced gets no queue; nor does one without tasks of
        # this entry, as their run time is not known.
        if not agent.own_tasks or slots < agent.upstream.slots:
            return 0
        return min(int(self._queue_ms * slots / agent.mean_ms()), MAX_QUEUE_PER_SLOT * slots)

    def batch_limit(self, agent: _groups.Agent, run_ms: float) -> int:
        """Return how many tasks of a run time may be sent to an agent in one message."""
        batch_size = int(BATCH_MS * agent.share / run_ms)
        if batch_size <= 1:
            return 1
        load = agent.own_tasks + agent.external_tasks + agent.withheld_slots
        return max(1, min(batch_size, agent.share + self._queue_limit(agent) - load))

    def select_agent(
        self, pool: _groups.Pool, job: _queue.Job, entry: _queue.QueueEntry, queued: int
    ) -> _groups.Agent | None:
        """Return the agent for a task, None if it has to wait.

        `queued` is the number of queued tasks of all buyers.
        """
        task = entry[4]
        if task.memory_mb or task.accelerators:
            return self._select_by_resources(pool, task, job.buyer.name)
        if self._sample_size:
            return self._select_random(pool)
        best, nearest_full, best_cost = None, None, 0.0
        for group in pool.groups:
            if best is not None and group.round_trip_ms >= best_cost:
                break
            if group.lowest is None:
                nearest_full = nearest_full or (group if group.slots else None)
                continue
            cost = group.round_trip_ms
            if group.lowest >= 0:
                cost += self._queue_cost(group)
            if best is None or cost < best_cost:
                best, best_cost = group, cost
        if best is None:
            return None
        if nearest_full is not None and self._is_late_binding:
            # Waiting here for a slot of a near group can be cheaper than a free slot far away.
            near_cost = nearest_full.round_trip_ms + entry[0] * queued / nearest_full.slots
            if near_cost < best_cost:
                return None
        return best.choose_agent(job.sent_by_rack)

    @staticmethod
    def _queue_cost(group: _groups.Group) -> float:
        agent = next(iter(group.buckets[group.lowest]))
        return agent.mean_ms() * (group.lowest + 1) / _groups.LEVELS_PER_SLOTS

    def _select_by_resources(
        self, pool: _groups.Pool, task: _work.Task, buyer: str
    ) -> _groups.Agent | None:
        for group in pool.groups:
            if group.lowest is None or not _groups.fits(group, task):
                continue
            agent = group.find(task, buyer, self.now)
            if agent is not None:
                if agent.reserved_for == buyer:
                    agent.reserved_until = 0.0
                return agent
        return None

    def reserve(self, pool: _groups.Pool, task: _work.Task, buyer: str) -> None:
        """Reserve one agent's memory and accelerators for a buyer whose task waits long for them.

        Without a reservation, tasks that need less could starve it by taking what is released.
        """
        best, least_used = None, (0, 0)
        for group in pool.groups:
            for agent in group.members if _groups.fits(group, task) else ():
                reserved = agent.reserved_until > self.now
                if reserved and agent.reserved_for == buyer:
                    best = agent
                    break
                used = (agent.accelerators_used, agent.memory_used)
                if agent.share and not reserved and (best is None or used < least_used):
                    best, least_used = agent, used
        if best is not None:
            best.reserved_for = buyer
            best.reserved_until = self.now + _RESERVATION_TIMEOUT_S

    def _select_random(self, pool: _groups.Pool) -> _groups.Agent | None:
        best, best_cost = None, 0.0
        for _ in range(self._sample_size):
            group = self._rng.choices(
                pool.groups, [len(candidate.members) for candidate in pool.groups]
            )[0]
            agent = self._rng.choice(group.members)
            if agent.level is None:
                continue
            cost = group.round_trip_ms + agent.mean_ms() * max(0, agent.level + 1)
            if best is None or cost < best_cost:
                best, best_cost = agent, cost
        return best

    def send(
        self, agent: _groups.Agent, key: _work.JobKey, entries: list[_queue.QueueEntry], now: float
    ) -> None:
        """Count tasks of one job that are sent to an agent."""
        run_ms = 0.0
        for entry in entries:
            run_ms += entry[0]
            task = entry[4]
            if task.memory_mb or task.accelerators:
                agent.memory_used += task.memory_mb
                agent.accelerators_used += task.accelerators
        count = len(entries)
        agent.own_tasks += count
        agent.own_run_ms += run_ms
        agent.sent_by_job[key] = agent.sent_by_job.get(key, 0) + count
        agent.recent_sends.append((now, count))
        self.refresh(agent)

    @staticmethod
    def release(agent: _groups.Agent, key: _work.JobKey, entry: _queue.QueueEntry) -> None:
        """Stop counting a task at an agent; the caller has to refresh the agent afterwards."""
        agent.own_tasks -= 1
        agent.own_run_ms = agent.own_run_ms - entry[0] if agent.own_tasks else 0.0
        task = entry[4]
        if task.memory_mb or task.accelerators:
            agent.memory_used -= task.memory_mb
            agent.accelerators_used -= task.accelerators
        left = agent.sent_by_job[key] - 1
        if left:
            agent.sent_by_job[key] = left
        else:
            del agent.sent_by_job[key]

    def next_external_decay(self) -> float | None:
        """Return when an external load is next halved."""
        return self.external_decay_heap[0][0] if self.external_decay_heap else None

    def update_external_load(self, agent: _groups.Agent, reported: int, now: float) -> None:
        """Update the external load by an agent's report, corrected by tasks that are in transit."""
        self.now = now
        recent_sends = agent.recent_sends
        oldest = now - 0.002 * agent.upstream.distance_ms - _REPORT_SLACK_S
        while recent_sends and recent_sends[0][0] < oldest:
            recent_sends.popleft()
        in_transit = sum(count for _, count in recent_sends)
        agent.external_tasks = max(0, reported - max(0, agent.own_tasks - in_transit))
        if agent.external_tasks:
            waiting = agent.external_decay_at > 0.0
            agent.external_decay_at = now + _half_life(agent)
            if not waiting:
                heapq.heappush(
                    self.external_decay_heap, (agent.external_decay_at, agent.upstream.agent_id)
                )

    def decay_external_load(self, now: float) -> None:
        """Halve the external load at agents that have reported nothing for their half-life."""
        while self.external_decay_heap and self.external_decay_heap[0][0] <= now:
            _, agent_id = heapq.heappop(self.external_decay_heap)
            agent = self.agent_by_id.get(agent_id)
            if agent is None or not agent.external_tasks:
                if agent is not None:
                    agent.external_decay_at = 0.0
                continue
            if agent.external_decay_at <= now:
                agent.external_tasks //= 2
                agent.external_decay_at = now + _half_life(agent)
                self.refresh(agent)
            heapq.heappush(self.external_decay_heap, (agent.external_decay_at, agent_id))


def _half_life(agent: _groups.Agent) -> float:
    low, high = _EXTERNAL_HALF_LIFE_RANGE_S
    return min(max(agent.mean_ms() / 1000.0, low), high)
