"""Choice of upstream for a task by policy, and the load of the agents."""

import heapq
import random

from daisyfall.process import _settings
from daisyfall.request import _groups, _queue, _work

POLICIES = ("random", "two_choices", "least_outstanding", "late_binding")
# Deepest queue at an agent, in tasks for each slot: 64 null tasks cover about a round trip.
QUEUE_PER_SLOT = 64
# Tasks up to this much run time for each slot go out in one message, as it costs more.
CHUNK_MS = 0.5
# Sends younger than the round trip and this are not yet in the load that an agent reports.
_REPORT_SLACK_S = 0.001
# A reservation ends by itself, since the job that it is for can be cancelled.
_RESERVATION_S = 5.0
_DISTANCE_CHANGE = 0.2
# Others' load at an agent that reports nothing is taken to halve in a run time within these.
_FOREIGN_HALF_LIFE_S = (0.01, 1.0)


class Router:
    """All agents, and the choice of one for a task by the policy of the settings."""

    def __init__(
        self, settings: _settings.RoutingSettings, data_centre: str, rng: random.Random
    ) -> None:
        if settings.policy not in POLICIES:
            raise ValueError(f"policy is {settings.policy!r}, expected one of {POLICIES}")
        self._late = settings.policy == "late_binding"
        self._choices = {"random": 1, "two_choices": 2}.get(settings.policy, 0)
        self._queue_ms = settings.agent_queue_ms
        self._data_centre = data_centre
        self._rng = rng
        self.now = 0.0  # of the last update
        self.agent_by_id: dict[str, _groups.Agent] = {}
        self.group_by_key: dict[tuple, _groups.Group] = {}
        self.pool_by_key: dict[tuple, _groups.Pool] = {}
        self.foreign_heap: list[tuple[float, str]] = []

    def pool(self, data_centres: list[str], labels: list[str]) -> _groups.Pool:
        """Return the pool of a plan's data centres and labels."""
        key = (frozenset(data_centres), frozenset(labels))
        found = self.pool_by_key.get(key)
        if found is None:
            found = self.pool_by_key[key] = _groups.Pool(*key)
            found.groups = [each for each in self.group_by_key.values() if found.allows(each)]
            self._sort(found)
        return found

    def _sort(self, pool: _groups.Pool) -> None:
        # Plain tasks leave agents with accelerators to the last, at the same distance.
        pool.groups.sort(
            key=lambda each: (
                each.round_trip_ms,
                each.data_centre != self._data_centre,
                each.accelerators,
                each.memory_mb,
            )
        )

    def update(self, state: _groups.Upstream, now: float) -> _groups.Agent:
        """Take over the state of an upstream."""
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
            self._leave(agent)
            self._join(agent, key)
        agent.upstream = state
        self._measure(agent.group, state.distance_ms)
        return agent

    def _join(self, agent: _groups.Agent, key: tuple) -> None:
        group = self.group_by_key.get(key)
        if group is None:
            group = self.group_by_key[key] = _groups.Group(key)
            for pool in self.pool_by_key.values():
                if pool.allows(group):
                    pool.groups.append(group)
                    self._sort(pool)
        group.members.append(agent)
        agent.group = group

    def _leave(self, agent: _groups.Agent) -> None:
        group = agent.group
        if group is None:
            return
        self.set_share(agent, 0)
        group.move(agent, None)
        group.members.remove(agent)
        group.left_at = self.now
        agent.group = None

    def _measure(self, group: _groups.Group, distance_ms: float) -> None:
        # The order of the groups follows lasting changes of the distance only.
        old, new = group.round_trip_ms, 2.0 * distance_ms
        if len(group.members) > 1:
            new = old + (new - old) / len(group.members)
        if abs(new - old) > _DISTANCE_CHANGE * old:
            group.round_trip_ms = new
            for pool in self.pool_by_key.values():
                if group in pool.groups:
                    self._sort(pool)

    def remove(self, agent_id: str) -> _groups.Agent | None:
        """Forget an agent."""
        agent = self.agent_by_id.pop(agent_id, None)
        if agent is not None:
            self._leave(agent)
        return agent

    def set_share(self, agent: _groups.Agent, share: int) -> None:
        """Set the slots that an agent may use of its own."""
        usable = share if agent.upstream.usable else 0
        agent.group.slots += usable - agent.share
        agent.share = usable
        self.refresh(agent)

    def refresh(self, agent: _groups.Agent) -> None:
        """Move an agent to the bucket of its present load."""
        level = None
        if agent.share > 0:
            excess = agent.own + agent.foreign + agent.held - agent.share
            if excess < 0:
                level = excess
            elif excess < self._queue_limit(agent):
                level = excess * _groups.LEVELS_PER_SLOTS // agent.share
        if level != agent.level:
            agent.group.move(agent, level)

    def _queue_limit(self, agent: _groups.Agent) -> int:
        """Return how many tasks may wait at an agent beyond its slots."""
        slots = agent.share
        if not self._late:
            return QUEUE_PER_SLOT * slots
        # Under evidence against it an agent gets no queue, and without own tasks no
        # run time is known.
        if not agent.own or slots < agent.upstream.slots:
            return 0
        return min(int(self._queue_ms * slots / agent.mean_ms()), QUEUE_PER_SLOT * slots)

    def room(self, agent: _groups.Agent, run_ms: float) -> int:
        """Return how many tasks of a run time may go to an agent in one message."""
        chunk = int(CHUNK_MS * agent.share / run_ms)
        if chunk <= 1:
            return 1
        load = agent.own + agent.foreign + agent.held
        return max(1, min(chunk, agent.share + self._queue_limit(agent) - load))

    def pick(
        self, pool: _groups.Pool, job: _queue.Job, entry: _queue.QueueEntry, queued: int
    ) -> _groups.Agent | None:
        """Return the agent for a task, None if it has to wait; `queued` tasks wait in all."""
        task = entry[4]
        if task.memory_mb or task.accelerators:
            return self._pick_special(pool, task, job.buyer.name)
        if self._choices:
            return self._pick_by_chance(pool)
        best, full, best_cost = None, None, 0.0
        for group in pool.groups:
            if best is not None and group.round_trip_ms >= best_cost:
                break
            if group.lowest is None:
                full = full or (group if group.slots else None)
                continue
            cost = group.round_trip_ms
            if group.lowest >= 0:
                cost += self._queue_cost(group)
            if best is None or cost < best_cost:
                best, best_cost = group, cost
        if best is None:
            return None
        if full is not None and self._late:
            # Waiting here for a near slot can be cheaper than a far one that is free.
            near_ms = full.round_trip_ms + entry[0] * queued / full.slots
            if near_ms < best_cost:
                return None
        return best.choose(job.sent_by_rack)

    @staticmethod
    def _queue_cost(group: _groups.Group) -> float:
        agent = next(iter(group.buckets[group.lowest]))
        return agent.mean_ms() * (group.lowest + 1) / _groups.LEVELS_PER_SLOTS

    def _pick_special(
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
        """Keep one agent's memory and accelerators for a buyer whose task waits long for them.

        Otherwise tasks that need less could take what is set free, time and again.
        """
        best, best_used = None, (0, 0)
        for group in pool.groups:
            for agent in group.members if _groups.fits(group, task) else ():
                reserved = agent.reserved_until > self.now
                if reserved and agent.reserved_for == buyer:
                    best = agent
                    break
                used = (agent.accelerators_used, agent.memory_used)
                if agent.share and not reserved and (best is None or used < best_used):
                    best, best_used = agent, used
        if best is not None:
            best.reserved_for = buyer
            best.reserved_until = self.now + _RESERVATION_S

    def _pick_by_chance(self, pool: _groups.Pool) -> _groups.Agent | None:
        best, best_cost = None, 0.0
        for _ in range(self._choices):
            group = self._rng.choices(pool.groups, [len(g.members) for g in pool.groups])[0]
            agent = self._rng.choice(group.members)
            if agent.level is None:
                continue
            cost = group.round_trip_ms + agent.mean_ms() * max(0, agent.level + 1)
            if best is None or cost < best_cost:
                best, best_cost = agent, cost
        return best

    def send(
        self, agent: _groups.Agent, key: _work.Key, entries: list[_queue.QueueEntry], now: float
    ) -> None:
        """Count tasks of one job that go to an agent."""
        run_ms = 0.0
        for entry in entries:
            run_ms += entry[0]
            task = entry[4]
            if task.memory_mb or task.accelerators:
                agent.memory_used += task.memory_mb
                agent.accelerators_used += task.accelerators
        count = len(entries)
        agent.own += count
        agent.own_ms += run_ms
        agent.sent_by_job[key] = agent.sent_by_job.get(key, 0) + count
        agent.recent.append((now, count))
        self.refresh(agent)

    @staticmethod
    def release(agent: _groups.Agent, key: _work.Key, entry: _queue.QueueEntry) -> None:
        """Stop counting a task at an agent; the caller refreshes the agent later."""
        agent.own -= 1
        agent.own_ms = agent.own_ms - entry[0] if agent.own else 0.0
        task = entry[4]
        if task.memory_mb or task.accelerators:
            agent.memory_used -= task.memory_mb
            agent.accelerators_used -= task.accelerators
        left = agent.sent_by_job[key] - 1
        if left:
            agent.sent_by_job[key] = left
        else:
            del agent.sent_by_job[key]

    def next_decay(self) -> float | None:
        """Return the time at which others' load is next halved."""
        return self.foreign_heap[0][0] if self.foreign_heap else None

    def load(self, agent: _groups.Agent, reported: int, now: float) -> None:
        """Take over the load that an agent reports, corrected by what is still on its way."""
        self.now = now
        recent = agent.recent
        oldest = now - 0.002 * agent.upstream.distance_ms - _REPORT_SLACK_S
        while recent and recent[0][0] < oldest:
            recent.popleft()
        unseen = sum(count for _, count in recent)
        agent.foreign = max(0, reported - max(0, agent.own - unseen))
        if agent.foreign:
            waiting = agent.foreign_until > 0.0
            agent.foreign_until = now + _half_life(agent)
            if not waiting:
                heapq.heappush(self.foreign_heap, (agent.foreign_until, agent.upstream.agent_id))

    def decay(self, now: float) -> None:
        """Halve others' load at agents that have reported nothing for a run time."""
        while self.foreign_heap and self.foreign_heap[0][0] <= now:
            _, agent_id = heapq.heappop(self.foreign_heap)
            agent = self.agent_by_id.get(agent_id)
            if agent is None or not agent.foreign:
                if agent is not None:
                    agent.foreign_until = 0.0
                continue
            if agent.foreign_until <= now:
                agent.foreign //= 2
                agent.foreign_until = now + _half_life(agent)
                self.refresh(agent)
            heapq.heappush(self.foreign_heap, (agent.foreign_until, agent_id))


def _half_life(agent: _groups.Agent) -> float:
    low, high = _FOREIGN_HALF_LIFE_S
    return min(max(agent.mean_ms() / 1000.0, low), high)
