"""Agents in groups by place and capability, ordered by load in buckets.

A group holds agents that are alike to a plan and to a task: same data centre, labels,
memory and accelerators. Within a group, buckets by load level give the least loaded agent
without a scan: a negative level is the number of free slots, others are eighths of the
slots' worth of queued tasks. Agents that take no more work stand in no bucket.
"""

import collections

import attrs

from daisyfall.request import _estimates, _queue, _work

LEVELS_PER_SLOTS = 8
_RACK_CHOICES = 4
_RECENT_SENDS = 64


@attrs.define(slots=True)
class Upstream:
    """What an entry knows of one agent's upstream; `usable`: listed, ready and not draining."""

    agent_id: str
    incarnation: str
    data_centre: str
    rack: str = ""
    slots: int = 8
    memory_mb: int = 0
    accelerators: int = 0
    labels: list[str] = attrs.Factory(list)
    running: int = 0
    queued: int = 0
    usable: bool = True
    distance_ms: float = 0.0  # one way


@attrs.define(slots=True, eq=False)
class Agent:
    """Routing state of one agent; `own` counts this entry's tasks there, `foreign` others'."""

    upstream: Upstream
    group: "Group | None" = None
    own: int = 0
    own_ms: float = 0.0  # their expected run time
    foreign: int = 0
    foreign_until: float = 0.0  # when the foreign load is next taken to have halved
    held: int = 0  # slots kept empty after tasks failed fast
    share: int = 0  # slots that the evidence leaves to the agent
    reserved_for: str = ""  # buyer that waits for much of its memory or accelerators
    reserved_until: float = 0.0
    level: int | None = None
    health: object = None  # of the health module
    memory_used: int = 0
    accelerators_used: int = 0
    sent_by_job: dict[_work.Key, int] = attrs.Factory(dict)
    recent: collections.deque[tuple[float, int]] = attrs.Factory(
        lambda: collections.deque(maxlen=_RECENT_SENDS)
    )

    def mean_ms(self) -> float:
        """Return the expected run time of the tasks there."""
        return max(self.own_ms / self.own, _estimates.MIN_RUN_MS) if self.own else 0.0


class Group:
    """Agents that are alike to plans and tasks, in buckets by load level."""

    def __init__(self, key: tuple) -> None:
        self.key = key
        self.data_centre, self.labels, self.memory_mb, self.accelerators = key
        self.members: list[Agent] = []
        self.buckets: dict[int, dict[Agent, None]] = {}
        self.lowest: int | None = None
        self.slots = 0  # shares of the usable agents
        self.round_trip_ms = 0.0
        self.left_at = float("-inf")  # when the last agent left

    def move(self, agent: Agent, level: int | None) -> None:
        """Put an agent into the bucket of a level, or into none."""
        old = agent.level
        agent.level = level
        if level is not None:
            bucket = self.buckets.get(level)
            if bucket is None:
                self.buckets[level] = {agent: None}
                if self.lowest is None or level < self.lowest:
                    self.lowest = level
            else:
                bucket[agent] = None
        if old is not None:
            bucket = self.buckets[old]
            del bucket[agent]
            if not bucket:
                del self.buckets[old]
                if old == self.lowest:
                    self.lowest = min(self.buckets, default=None)

    def choose(self, sent_by_rack: dict[str, int]) -> Agent:
        """Return one of the least loaded agents, from a rack with little of the job."""
        best, best_sent = None, 0
        for position, agent in enumerate(self.buckets[self.lowest]):
            sent = sent_by_rack.get(agent.upstream.rack, 0)
            if best is None or sent < best_sent:
                best, best_sent = agent, sent
            if not best_sent or position >= _RACK_CHOICES:
                break
        return best

    def find(self, task: _work.Task, buyer: str, now: float) -> Agent | None:
        """Return the least loaded agent with memory and accelerators left for a task."""
        for level in sorted(self.buckets):
            for agent in self.buckets[level]:
                if agent.reserved_for != buyer and agent.reserved_until > now:
                    continue
                if (
                    self.memory_mb - agent.memory_used >= task.memory_mb
                    and self.accelerators - agent.accelerators_used >= task.accelerators
                ):
                    return agent
        return None


class Pool:
    """The groups that a plan allows, nearest first, and the heap of the buyers that use them."""

    def __init__(self, data_centres: frozenset[str], labels: frozenset[str]) -> None:
        self.data_centres = data_centres
        self.labels = labels
        self.groups: list[Group] = []
        self.heap: list[tuple[float, int, _queue.Buyer]] = []
        self.passed: list[_queue.Buyer] = []  # not to be served again in this round

    def allows(self, group: Group) -> bool:
        """Tell whether the plan allows the agents of a group."""
        if self.data_centres and group.data_centre not in self.data_centres:
            return False
        return self.labels <= group.labels

    def is_open(self) -> bool:
        """Tell whether an agent takes work."""
        return any(group.lowest is not None for group in self.groups)

    def slots(self) -> int:
        """Return the usable slots."""
        return sum(group.slots for group in self.groups)


def fits(group: Group, task: _work.Task) -> bool:
    """Tell whether an idle agent of a group has the memory and accelerators for a task."""
    return group.memory_mb >= task.memory_mb and group.accelerators >= task.accelerators
