"""Weighted fair queue between buyers; first in, first out between the jobs of one buyer.

Each buyer has a virtual time that advances by the run time of what it starts, divided by
its priority; the buyer with the lowest one is served next. A buyer that was idle resumes
at the present virtual time, so it neither saves up its share nor pays for a burst of others.
"""

import bisect
import collections
import heapq
import itertools

import attrs

from daisyfall.request import _limits, _work

# Run time for order and placement, declared run time, negative index, run time to count in
# the queue, task. A list of these sorted upwards gives the longest task first by `pop()`.
Entry = tuple[float, int, int, float, _work.Task]
LaneKey = tuple[int, int]  # bit length of the memory in MB, accelerators

PLAIN: LaneKey = (0, 0)


def lane_key(task: _work.Task) -> LaneKey:
    """Return the lane of a task: tasks of one lane need about the same of an upstream."""
    return (task.memory_mb.bit_length(), task.accelerators)


@attrs.define(slots=True, eq=False)
class Job:
    """One job's state: tasks queued in parts by lane, delayed, and sent by index."""

    key: _work.Key
    work: _work.Work | None
    buyer: "Buyer"
    sequence: int
    parts: dict[LaneKey, "Part"] = attrs.Factory(dict)
    queued: int = 0
    delayed: dict[int, Entry] = attrs.Factory(dict)
    sent: dict[int, tuple] = attrs.Factory(dict)
    attempts: dict[int, int] = attrs.Factory(dict)
    sent_by_rack: dict[str, int] = attrs.Factory(dict)
    failed_agents: set[str] = attrs.Factory(set)
    unsent: list[int] = attrs.Factory(list)  # taken out before they started, for `remove_work`
    removed: bool = False

    def queued_indices(self) -> set[int]:
        """Return the indices of the queued tasks."""
        return {-entry[2] for part in self.parts.values() for entry in part.entries}

    @property
    def idle(self) -> bool:
        """Tell whether nothing of the job is left."""
        return not (self.sent or self.queued or self.delayed or self.unsent)


@attrs.define(slots=True, eq=False)
class Part:
    """The queued tasks of one job in one lane."""

    job: Job
    entries: list[Entry] = attrs.Factory(list)
    listed: bool = False


@attrs.define(slots=True, eq=False)
class Lane:
    """The parts of one buyer's jobs with the same needs, in order of admission."""

    key: LaneKey
    parts: collections.deque[Part] = attrs.Factory(collections.deque)
    blocked: str = ""  # why the lane waits for a resource, empty if it does not

    def head(self) -> Part | None:
        """Return the first part that has tasks."""
        parts = self.parts
        while parts and not parts[0].entries:
            parts.popleft().listed = False
        return parts[0] if parts else None

    def insert(self, part: Part) -> None:
        """Add a part in the order of admission."""
        part.listed = True
        parts = self.parts
        if not parts or parts[-1].job.sequence <= part.job.sequence:
            parts.append(part)
            return
        # Only tasks that are sent again arrive out of order, and those are near the front.
        position = 0
        for each in parts:
            if each.job.sequence > part.job.sequence:
                break
            position += 1
        parts.insert(position, part)


@attrs.define(slots=True, eq=False)
class Buyer:
    """One buyer's queue, its use of the plan and its place in the fair queue."""

    name: str
    usage: _limits.Usage
    pool: object
    shard: int = -1
    weight: float = 1.0
    virtual_ms: float = 0.0
    queued: int = 0
    queued_ms: float = 0.0
    lanes: dict[LaneKey, Lane] = attrs.Factory(dict)
    listed: bool = False  # stands in its pool's heap
    blocked: _limits.Limit | None = None

    def next_lane(self) -> Lane | None:
        """Return the lane to serve: the earliest job's, unless it waits for a resource.

        A later job passes one that waits for memory or accelerators only if it needs none
        of that resource, so that it can't keep the earlier one waiting.
        """
        if len(self.lanes) == 1:
            lane = next(iter(self.lanes.values()))
            return lane if not lane.blocked and lane.head() else None
        heads = [(lane.head(), lane) for lane in self.lanes.values()]
        for head, lane in heads:
            if head is None:
                del self.lanes[lane.key]
        ordered = sorted(
            (head.job.sequence, -lane.key[1], -lane.key[0], lane) for head, lane in heads if head
        )
        memory_blocked = accelerators_blocked = False
        for _, _, _, lane in ordered:
            memory, accelerators = lane.key
            if lane.blocked:
                memory_blocked |= memory > 0
                accelerators_blocked |= accelerators > 0
            elif not ((memory and memory_blocked) or (accelerators and accelerators_blocked)):
                return lane
        return None


class FairQueue:
    """All buyers' queued tasks; buyers that can be served stand in their pool's heap."""

    def __init__(self) -> None:
        self.buyer_by_name: dict[str, Buyer] = {}
        self.queued = 0
        self.queued_ms = 0.0
        self.active_weight = 0.0  # of the buyers that have queued tasks
        self._virtual_ms = 0.0
        self._order = itertools.count()

    def add(self, job: Job, entries: list[Entry]) -> None:
        """Queue tasks of a job, split by lane; each lane's tasks are sorted."""
        by_lane: dict[LaneKey, list[Entry]] = {}
        total_ms = 0.0
        for entry in entries:
            task = entry[4]
            total_ms += entry[3]
            key = lane_key(task) if task.memory_mb or task.accelerators else PLAIN
            found = by_lane.get(key)
            if found is None:
                by_lane[key] = [entry]
            else:
                found.append(entry)
        for key, found in by_lane.items():
            found.sort()
            self._add_part(job, key, found)
        self._count(job, len(entries), total_ms)

    def put_back(self, job: Job, entry: Entry) -> None:
        """Queue one task of a job again."""
        key = lane_key(entry[4])
        part = job.parts.get(key)
        if part is None or not part.listed:
            self._add_part(job, key, [entry])
        else:
            bisect.insort(part.entries, entry)
        self._count(job, 1, entry[3])

    def _add_part(self, job: Job, key: LaneKey, entries: list[Entry]) -> None:
        lane = job.buyer.lanes.get(key)
        if lane is None:
            lane = job.buyer.lanes[key] = Lane(key)
        part = job.parts.get(key)
        if part is not None and part.listed:
            part.entries.extend(entries)
            part.entries.sort()
            return
        part = job.parts[key] = Part(job, entries)
        lane.insert(part)

    def _count(self, job: Job, count: int, run_ms: float) -> None:
        buyer = job.buyer
        if not buyer.queued:
            self.active_weight += buyer.weight
            buyer.virtual_ms = max(buyer.virtual_ms, self._virtual_ms)
        job.queued += count
        buyer.queued += count
        buyer.queued_ms += run_ms
        self.queued += count
        self.queued_ms += run_ms
        self.offer(buyer)

    def take(self, lane: Lane, part: Part, count: int) -> list[Entry]:
        """Take the longest tasks of a part and charge them to the buyer."""
        entries = part.entries
        if count >= len(entries):
            taken = entries[::-1]
            entries.clear()
        else:
            taken = entries[: -count - 1 : -1]
            del entries[-count:]
        run_ms = 0.0
        for entry in taken:
            run_ms += entry[3]
        buyer = part.job.buyer
        self._virtual_ms = max(self._virtual_ms, buyer.virtual_ms)
        buyer.virtual_ms += run_ms / buyer.weight
        self._uncount(part.job, len(taken), run_ms)
        return taken

    def _uncount(self, job: Job, count: int, run_ms: float) -> None:
        buyer = job.buyer
        job.queued -= count
        buyer.queued -= count
        self.queued -= count
        # Sums of floats drift, so an empty queue sets them to zero.
        buyer.queued_ms = buyer.queued_ms - run_ms if buyer.queued else 0.0
        self.queued_ms = self.queued_ms - run_ms if self.queued else 0.0
        if not buyer.queued and count:
            self.active_weight -= buyer.weight
            if not self.queued:
                self.active_weight = 0.0

    def drop(self, job: Job) -> list[int]:
        """Take all queued tasks of a job out; return their indices."""
        indices = []
        run_ms = 0.0
        for part in job.parts.values():
            for entry in part.entries:
                indices.append(-entry[2])
                run_ms += entry[3]
            part.entries.clear()
        job.parts.clear()
        self._uncount(job, len(indices), run_ms)
        return indices

    def offer(self, buyer: Buyer) -> None:
        """Put a buyer that has queued tasks into its pool's heap, unless a limit holds it."""
        if buyer.listed or buyer.blocked or not buyer.queued:
            return
        buyer.listed = True
        heapq.heappush(buyer.pool.heap, (buyer.virtual_ms, next(self._order), buyer))

    def unblock(self, buyer: Buyer) -> None:
        """Let a buyer be served again that a limit of its plan held back.

        It resumes at the present virtual time: its own limit earns it no share to catch up.
        """
        buyer.blocked = None
        buyer.virtual_ms = max(buyer.virtual_ms, self._virtual_ms)
        self.offer(buyer)

    def withdraw(self, buyer: Buyer) -> None:
        """Take a buyer out of its pool's heap."""
        heap = buyer.pool.heap
        heap[:] = [each for each in heap if each[2] is not buyer]
        heapq.heapify(heap)
        buyer.listed = False

    def set_weight(self, buyer: Buyer, weight: float) -> None:
        """Change a buyer's priority."""
        if buyer.queued:
            self.active_weight += weight - buyer.weight
        buyer.weight = weight
