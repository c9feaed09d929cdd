"""Agents grouped by location and capability, and sorted by load into buckets.

A group holds agents that are equivalent to a plan and to a task: same data centre, labels,
memory and accelerators. Within a group, buckets by load level give the least loaded agent
without a scan. A negative level is the negated number of free slots; a level from 0 up counts
the queued tasks, in eighths of the agent's slots. Agents that take no more work are in no bucket.
"""

import collections

import attrs

from daisyfall.request import _estimates, _queue, _work

LEVELS_PER_SLOTS = 8
_RACK_CHOICES = 4
_RECENT_SENDS = 64


@attrs.define(slots=True)
class Upstream:
    """What an entry knows about one agent's upstream; `usable` tells whether it may get tasks."""

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
    distance_ms: float = 0.0  # one-way network delay


@attrs.define(slots=True, eq=False)
class Agent:
    """Routing state of one agent.

    `own_tasks` counts the tasks of this entry there, `external_tasks` estimates those of others.
    """

    upstream: Upstream
    group: "Group | None" = None
    own_tasks: int = 0
    own_run_ms: float = 0.0  # total expected run time of these tasks
    external_tasks: int = 0
    external_decay_at: float = 0.0  # when that number is next assumed to have halved
    withheld_slots: int = 0  # slots kept empty after tasks failed fast
    share: int = 0  # slots that may be used, given the agent's health
    reserved_for: str = ""  # buyer whose task waits for much of its memory or accelerators
    reserved_until: float = 0.0
    level: int | None = None
    health: object = None  # the `AgentHealth`
    memory_used: int = 0
    accelerators_used: int = 0
    sent_by_job: dict[_work.JobKey, int] = attrs.Factory(dict)
    recent_sends: collections.deque[tuple[float, int]] = attrs.Factory(
        lambda: collections.deque(maxlen=_RECENT_SENDS)
    )

    def mean_ms(self) -> float:
        """Return the mean expected run time of this entry's tasks there, 0 without any."""
        return (
            max(self.own_run_ms / self.own_tasks, _estimates.MIN_RUN_MS) if self.own_tasks else 0.0
        )


class Group:
    """Agents that are equivalent to plans and tasks, in buckets by load level."""

    def __init__(self, key: tuple) -> None:
        self.key = key
        self.data_centre, self.labels, self.memory_mb, self.accelerators = key
        self.members: list[Agent] = []
        self.buckets: dict[int, dict[Agent, None]] = {}
        self.lowest: int | None = None
        self.slots = 0  # sum of the shares of the usable agents
        self.round_trip_ms = 0.0
        self.emptied_at = float("-inf")  # when the last agent was removed

    def move(self, agent: Agent, level: int | None) -> None:
        """Move an agent to the bucket of a level, or out of all buckets if it is None."""
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

    def choose_agent(self, sent_by_rack: dict[str, int]) -> Agent:
        """Return one of the least loaded agents, preferring racks with few tasks of the job."""
        best, best_sent = None, 0
        for position, agent in enumerate(self.buckets[self.lowest]):
            sent = sent_by_rack.get(agent.upstream.rack, 0)
            if best is None or sent < best_sent:
                best, best_sent = agent, sent
            if not best_sent or position >= _RACK_CHOICES:
                break
        return best

    def find(self, task: _work.Task, buyer: str, now: float) -> Agent | None:
        """Return the least loaded agent with enough free memory and accelerators for a task."""
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
    """The groups that a plan allows, nearest first, and the heap of buyers that share them."""

    def __init__(self, data_centres: frozenset[str], labels: frozenset[str]) -> None:
        self.data_centres = data_centres
        self.labels = labels
        self.groups: list[Group] = []
        self.heap: list[tuple[float, int, _queue.Buyer]] = []
        self.skipped_buyers: list[_queue.Buyer] = []  # not to be served again in this round

    def allows(self, group: Group) -> bool:
        """Return whether the plan allows the agents of a group."""
        if self.data_centres and group.data_centre not in self.data_centres:
            return False
        return self.labels <= group.labels

    def is_open(self) -> bool:
        """Return whether any agent accepts tasks."""
        return any(group.lowest is not None for group in self.groups)

    def slots(self) -> int:
        """Return the number of usable slots."""
        return sum(group.slots for group in self.groups)


def fits(group: Group, task: _work.Task) -> bool:
    """Return whether an idle agent of a group has enough memory and accelerators for a task."""
    return group.memory_mb >= task.memory_mb and group.accelerators >= task.accelerators
