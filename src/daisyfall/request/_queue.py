"""Weighted fair queue between buyers, and the order of the jobs of one buyer.

Each buyer has a virtual time that advances by the run time of what it starts, divided by
its priority. The queue's virtual time advances by all run time started, divided by the
priorities of the buyers that wait: a buyer ahead of it has had more than its fair share. A
buyer that was idle resumes at the queue's time, so it doesn't save up its share.

With the order `fifo`, the buyer with the lowest virtual time is served next, and its jobs in
the order of admission. With `slack`, jobs are served by their latest start: the time at which
a task has to start for its job to end at its ideal time. This holds between buyers too, as
long as a buyer is not further ahead of its fair share than a burst; those that are wait for
all others. A later job can pass an earlier one, but by no more than that one's ideal response.
"""

import heapq
import itertools

import attrs

from daisyfall.request import _limits, _work

# Run time for order and placement, declared run time, negative index, run time to count in
# the queue, task. A list of these sorted upwards gives the longest task first by `pop()`.
QueueEntry = tuple[float, int, int, float, _work.Task]
Rank = tuple[int, float]  # tier, and the place in it
LaneKey = tuple[int, int]  # bit length of the memory in MB, accelerators

JOB_ORDERS = ("fifo", "slack")
# Run time in ms for each slot of its pool by which a buyer may be ahead of its fair share
# before all others pass it: it bounds what a burst adds to another buyer's response time.
BURST_MS = 250.0
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
    parts: list["Part"] = attrs.Factory(list)
    target_ms: float = 0.0  # when the job would end if it had all slots from its admission
    queued: int = 0
    delayed: dict[int, QueueEntry] = attrs.Factory(dict)
    sent: dict[int, tuple] = attrs.Factory(dict)
    attempts: dict[int, int] = attrs.Factory(dict)
    sent_by_rack: dict[str, int] = attrs.Factory(dict)
    done: int = 0
    failed_agents: set[str] = attrs.Factory(set)
    unsent: list[int] = attrs.Factory(list)  # taken out before they started, for `remove_work`
    removed: bool = False

    def queued_indices(self) -> set[int]:
        """Return the indices of the queued tasks."""
        return {-entry[2] for part in self.parts for entry in part.entries}

    @property
    def idle(self) -> bool:
        """Tell whether nothing of the job is left."""
        return not (self.sent or self.queued or self.delayed or self.unsent)


@attrs.define(slots=True, eq=False)
class Part:
    """Queued tasks of one job in one lane."""

    job: Job
    entries: list[QueueEntry]

    def latest_start_ms(self) -> float:
        """Return when the longest task has to start for the job to end at its target."""
        return self.job.target_ms - self.entries[-1][0]


@attrs.define(slots=True, eq=False)
class SubQueue:
    """The parts of one buyer's jobs with the same needs, in a heap by the order of the jobs."""

    key: LaneKey
    heap: list[tuple[float, int, Part]] = attrs.Factory(list)
    blocked: str = ""  # why the lane waits for a resource, empty if it does not
    waits_since: float | None = None  # when its first task was first held back

    def head(self) -> Part | None:
        """Return the first part that has tasks."""
        heap = self.heap
        while heap and not heap[0][2].entries:
            part = heapq.heappop(heap)[2]
            if part in part.job.parts:
                part.job.parts.remove(part)
        return heap[0][2] if heap else None


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
    subqueues: dict[LaneKey, SubQueue] = attrs.Factory(dict)
    ticket: int = 0  # number of its valid entry in the pool's heap, 0 for none
    blocked: _limits.Limit | None = None

    def next_lane(self) -> SubQueue | None:
        """Return the lane to serve: the earliest job's, unless it waits for a resource.

        A later job passes one that waits for memory or accelerators only if it needs none
        of that resource, so that it can't keep the earlier one waiting.
        """
        if len(self.subqueues) == 1:
            subqueue = next(iter(self.subqueues.values()))
            return subqueue if not subqueue.blocked and subqueue.head() else None
        heads = [(subqueue.head(), subqueue) for subqueue in self.subqueues.values()]
        for head, subqueue in heads:
            if head is None:
                del self.subqueues[subqueue.key]
        ordered = sorted((subqueue.heap[0][:2], subqueue) for head, subqueue in heads if head)
        memory_blocked = accelerators_blocked = False
        for _, subqueue in ordered:
            memory, accelerators = subqueue.key
            if subqueue.blocked:
                memory_blocked |= memory > 0
                accelerators_blocked |= accelerators > 0
            elif not ((memory and memory_blocked) or (accelerators and accelerators_blocked)):
                return subqueue
        return None


class FairQueue:
    """All buyers' queued tasks; buyers that can be served stand in their pool's heap."""

    def __init__(self, job_order: str) -> None:
        if job_order not in JOB_ORDERS:
            raise ValueError(f"job order is {job_order!r}, expected one of {JOB_ORDERS}")
        self._by_slack = job_order == "slack"
        self.buyer_by_name: dict[str, Buyer] = {}
        self.queued = 0
        self.queued_ms = 0.0
        self.active_weight = 0.0  # of the buyers that have queued tasks
        self._virtual_ms = 0.0
        self._order = itertools.count(1)

    def add(self, job: Job, entries: list[QueueEntry], now: float) -> None:
        """Queue tasks of a job, split by lane; each lane's tasks are sorted."""
        by_lane: dict[LaneKey, list[QueueEntry]] = {}
        counted_ms = total_ms = longest_ms = 0.0
        for entry in entries:
            run_ms, _, _, entry_ms, task = entry
            counted_ms += entry_ms
            total_ms += run_ms
            longest_ms = max(longest_ms, run_ms)
            key = lane_key(task) if task.memory_mb or task.accelerators else PLAIN
            found = by_lane.get(key)
            if found is None:
                by_lane[key] = [entry]
            else:
                found.append(entry)
        ideal_ms = max(longest_ms, total_ms / max(1, job.buyer.pool.slots()))
        job.target_ms = now * 1000.0 + ideal_ms
        for key, found in by_lane.items():
            found.sort()
            self._add_part(job, key, found)
        self._count(job, len(entries), counted_ms)

    def put_back(self, job: Job, entry: QueueEntry) -> None:
        """Queue one task of a job again."""
        self._add_part(job, lane_key(entry[4]), [entry])
        self._count(job, 1, entry[3])

    def _add_part(self, job: Job, key: LaneKey, entries: list[QueueEntry]) -> None:
        subqueue = job.buyer.subqueues.get(key)
        if subqueue is None:
            subqueue = job.buyer.subqueues[key] = SubQueue(key)
        part = Part(job, entries)
        job.parts.append(part)
        order = part.latest_start_ms() if self._by_slack else job.sequence
        heapq.heappush(subqueue.heap, (order, next(self._order), part))

    def _count(self, job: Job, count: int, run_ms: float) -> None:
        buyer = job.buyer
        if not buyer.queued and count:
            self.active_weight += buyer.weight
            buyer.virtual_ms = max(buyer.virtual_ms, self._virtual_ms)
        job.queued += count
        buyer.queued += count
        buyer.queued_ms += run_ms
        self.queued += count
        self.queued_ms += run_ms
        self.enqueue_buyer(buyer)

    def take(self, subqueue: SubQueue, count: int) -> list[QueueEntry]:
        """Take the longest tasks of a lane's first part and charge them to the buyer."""
        part = subqueue.heap[0][2]
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
        buyer.virtual_ms += run_ms / buyer.weight
        if self.active_weight:
            self._virtual_ms += run_ms / self.active_weight
        self._uncount(part.job, len(taken), run_ms)
        if self._by_slack and entries:
            _, number, _ = subqueue.heap[0]
            heapq.heapreplace(subqueue.heap, (part.latest_start_ms(), number, part))
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
        for part in job.parts:
            for entry in part.entries:
                indices.append(-entry[2])
                run_ms += entry[3]
            part.entries.clear()
        job.parts.clear()
        self._uncount(job, len(indices), run_ms)
        return indices

    def enqueue_buyer(self, buyer: Buyer) -> None:
        """Put a buyer that has queued tasks into its pool's heap, unless a limit holds it.

        An entry that it has there already becomes invalid.
        """
        if buyer.blocked or not buyer.queued:
            return
        buyer.ticket = next(self._order)
        heapq.heappush(buyer.pool.heap, (self.rank(buyer), buyer.ticket, buyer))

    def rank(self, buyer: Buyer) -> Rank:
        """Return the buyer's place; the lowest one is served next."""
        if not self._by_slack:
            return (1, buyer.virtual_ms)
        ahead_ms = (buyer.virtual_ms - self._virtual_ms) * buyer.weight
        if ahead_ms > BURST_MS * max(1, buyer.pool.slots()):
            return (1, buyer.virtual_ms)
        starts = [subqueue.heap[0][0] for subqueue in buyer.subqueues.values() if subqueue.head()]
        return (0, min(starts, default=0.0))

    def first(self, heap: list) -> Buyer | None:
        """Return the first buyer of a pool's heap, None if it is empty."""
        while heap and heap[0][1] != heap[0][2].ticket:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def pop(self, heap: list) -> Buyer:
        """Take the first buyer out of a pool's heap that `first` has found not empty."""
        buyer = heapq.heappop(heap)[2]
        buyer.ticket = 0
        return buyer

    def unblock(self, buyer: Buyer) -> None:
        """Let a buyer be served again that a limit of its plan held back.

        It resumes at the present virtual time: its own limit earns it no share to catch up.
        """
        buyer.blocked = None
        buyer.virtual_ms = max(buyer.virtual_ms, self._virtual_ms)
        self.enqueue_buyer(buyer)

    def withdraw(self, buyer: Buyer) -> None:
        """Take a buyer out of its pool's heap."""
        heap = buyer.pool.heap
        heap[:] = [each for each in heap if each[2] is not buyer]
        heapq.heapify(heap)
        buyer.ticket = 0

    def set_weight(self, buyer: Buyer, weight: float) -> None:
        """Change a buyer's priority."""
        if buyer.queued:
            self.active_weight += weight - buyer.weight
        buyer.weight = weight
