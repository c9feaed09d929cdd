"""Weighted fair queue between buyers, and the order of the jobs of one buyer.

Each buyer has a virtual time, which advances by the run time of the tasks that it starts,
divided by its priority. The queue's virtual time advances by the run time of all started tasks,
divided by the sum of the priorities of the buyers with queued tasks: a buyer ahead of it has had
more than its fair share. A buyer that was idle resumes at the queue's virtual time, so it can't
save up its share.

With the job order `fifo`, the buyer with the lowest virtual time is served next, and its jobs in
the order of admission. With `slack`, jobs are served by their latest start: the time at which
a task has to start for its job to end at its ideal time. This holds between buyers too, as
long as a buyer is ahead of its fair share by no more than the burst allowance; buyers beyond it
wait for all others. A later job can overtake an earlier one, but by no more than the ideal
response time of the earlier one.
"""

import heapq
import itertools

import attrs

from daisyfall.request import _limits, _work

# Run time for ordering and placement, declared run time, negative index, run time to count in
# the queue, task. From a list in ascending order, `pop()` returns the longest task first.
QueueEntry = tuple[float, int, int, float, _work.Task]
Rank = tuple[int, float]  # tier, and the position in it
ResourceClass = tuple[int, int]  # bit length of the memory in MB, accelerators

JOB_ORDERS = ("fifo", "slack")
# Run time in ms per slot of its pool by which a buyer may be ahead of its fair share before all
# others are served first: it bounds what a burst adds to another buyer's response time.
BURST_ALLOWANCE_MS = 250.0
NO_RESOURCES: ResourceClass = (0, 0)


def resource_class(task: _work.Task) -> ResourceClass:
    """Return the class of tasks that need about the same resources of an upstream."""
    return (task.memory_mb.bit_length(), task.accelerators)


@attrs.define(slots=True, eq=False)
class Job:
    """State of one job: its tasks are queued in parts by resource class, delayed, or sent.

    A delayed task waits for its backoff before it is queued again.
    """

    key: _work.JobKey
    work: _work.Work | None
    buyer: "Buyer"
    sequence: int
    parts: list["Part"] = attrs.Factory(list)
    ideal_end_ms: float = 0.0  # when the job would end with all slots of its pool to itself
    queued: int = 0
    delayed: dict[int, QueueEntry] = attrs.Factory(dict)
    sent: dict[int, tuple] = attrs.Factory(dict)
    attempts: dict[int, int] = attrs.Factory(dict)
    sent_by_rack: dict[str, int] = attrs.Factory(dict)
    succeeded: int = 0
    failed_agents: set[str] = attrs.Factory(set)
    unsent: list[int] = attrs.Factory(list)  # removed without having started
    removed: bool = False

    def queued_indices(self) -> set[int]:
        """Return the indices of the queued tasks."""
        return {-entry[2] for part in self.parts for entry in part.entries}

    @property
    def idle(self) -> bool:
        """Return whether no task of the job is queued, delayed, sent or unsent."""
        return not (self.sent or self.queued or self.delayed or self.unsent)


@attrs.define(slots=True, eq=False)
class Part:
    """Queued tasks of one job in one resource class."""

    job: Job
    entries: list[QueueEntry]

    def latest_start_ms(self) -> float:
        """Return when the longest task has to start for the job to end at its ideal time."""
        return self.job.ideal_end_ms - self.entries[-1][0]


@attrs.define(slots=True, eq=False)
class SubQueue:
    """One buyer's queued tasks of one resource class, in a heap by the order of the jobs."""

    key: ResourceClass
    heap: list[tuple[float, int, Part]] = attrs.Factory(list)
    blocked: str = ""  # the resource that it waits for, empty if none
    waiting_since: float | None = None  # since when its first task waits for the resource

    def head(self) -> Part | None:
        """Return the first part with queued tasks, None if there is none."""
        heap = self.heap
        while heap and not heap[0][2].entries:
            part = heapq.heappop(heap)[2]
            if part in part.job.parts:
                part.job.parts.remove(part)
        return heap[0][2] if heap else None


@attrs.define(slots=True, eq=False)
class Buyer:
    """One buyer's sub-queues, its usage of the plan and its position in the fair queue."""

    name: str
    usage: _limits.Usage
    pool: object
    shard: int = -1
    weight: float = 1.0
    virtual_time_ms: float = 0.0
    queued: int = 0
    queued_ms: float = 0.0
    subqueues: dict[ResourceClass, SubQueue] = attrs.Factory(dict)
    heap_item_number: int = 0  # number of its valid item in the pool's heap, 0 for none
    blocked: _limits.Limit | None = None

    def next_subqueue(self) -> SubQueue | None:
        """Return the sub-queue to serve: that of the first job, unless it waits for a resource.

        A later job overtakes one that waits for memory or accelerators only if it needs none of
        that resource, so that it can't starve the earlier one.
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
    """The queued tasks of all buyers; buyers that can be served are in the heap of their pool."""

    def __init__(self, job_order: str) -> None:
        if job_order not in JOB_ORDERS:
            raise ValueError(f"job order is {job_order!r}, expected one of {JOB_ORDERS}")
        self._by_slack = job_order == "slack"
        self.buyer_by_name: dict[str, Buyer] = {}
        self.queued = 0
        self.queued_ms = 0.0
        self.active_weight = 0.0  # of the buyers that have queued tasks
        self._virtual_time_ms = 0.0
        self._sequence = itertools.count(1)

    def add(self, job: Job, entries: list[QueueEntry], now: float) -> None:
        """Queue tasks of a job in the sub-queues of their resource classes, sorted by run time."""
        entries_by_class: dict[ResourceClass, list[QueueEntry]] = {}
        counted_ms = total_ms = longest_ms = 0.0
        for entry in entries:
            run_ms, _, _, entry_ms, task = entry
            counted_ms += entry_ms
            total_ms += run_ms
            longest_ms = max(longest_ms, run_ms)
            key = resource_class(task) if task.memory_mb or task.accelerators else NO_RESOURCES
            class_entries = entries_by_class.get(key)
            if class_entries is None:
                entries_by_class[key] = [entry]
            else:
                class_entries.append(entry)
        ideal_ms = max(longest_ms, total_ms / max(1, job.buyer.pool.slots()))
        job.ideal_end_ms = now * 1000.0 + ideal_ms
        for key, class_entries in entries_by_class.items():
            class_entries.sort()
            self._add_part(job, key, class_entries)
        self._add_counts(job, len(entries), counted_ms)

    def requeue(self, job: Job, entry: QueueEntry) -> None:
        """Queue one task of a job again."""
        self._add_part(job, resource_class(entry[4]), [entry])
        self._add_counts(job, 1, entry[3])

    def _add_part(self, job: Job, key: ResourceClass, entries: list[QueueEntry]) -> None:
        subqueue = job.buyer.subqueues.get(key)
        if subqueue is None:
            subqueue = job.buyer.subqueues[key] = SubQueue(key)
        part = Part(job, entries)
        job.parts.append(part)
        order = part.latest_start_ms() if self._by_slack else job.sequence
        heapq.heappush(subqueue.heap, (order, next(self._sequence), part))

    def _add_counts(self, job: Job, count: int, run_ms: float) -> None:
        buyer = job.buyer
        if not buyer.queued and count:
            self.active_weight += buyer.weight
            buyer.virtual_time_ms = max(buyer.virtual_time_ms, self._virtual_time_ms)
        job.queued += count
        buyer.queued += count
        buyer.queued_ms += run_ms
        self.queued += count
        self.queued_ms += run_ms
        self.enqueue_buyer(buyer)

    def pop_tasks(self, subqueue: SubQueue, count: int) -> list[QueueEntry]:
        """Remove the longest tasks of a sub-queue's first part and charge them to the buyer."""
        part = subqueue.heap[0][2]
        entries = part.entries
        if count >= len(entries):
            popped = entries[::-1]
            entries.clear()
        else:
            popped = entries[: -count - 1 : -1]
            del entries[-count:]
        run_ms = 0.0
        for entry in popped:
            run_ms += entry[3]
        buyer = part.job.buyer
        buyer.virtual_time_ms += run_ms / buyer.weight
        if self.active_weight:
            self._virtual_time_ms += run_ms / self.active_weight
        self._subtract_counts(part.job, len(popped), run_ms)
        if self._by_slack and entries:
            _, number, _ = subqueue.heap[0]
            heapq.heapreplace(subqueue.heap, (part.latest_start_ms(), number, part))
        return popped

    def _subtract_counts(self, job: Job, count: int, run_ms: float) -> None:
        buyer = job.buyer
        job.queued -= count
        buyer.queued -= count
        self.queued -= count
        # Sums of floats drift, so they are reset when the queue is empty.
        buyer.queued_ms = buyer.queued_ms - run_ms if buyer.queued else 0.0
        self.queued_ms = self.queued_ms - run_ms if self.queued else 0.0
        if not buyer.queued and count:
            self.active_weight -= buyer.weight
            if not self.queued:
                self.active_weight = 0.0

    def remove_job(self, job: Job) -> list[int]:
        """Remove all queued tasks of a job; return their indices."""
        indices = []
        run_ms = 0.0
        for part in job.parts:
            for entry in part.entries:
                indices.append(-entry[2])
                run_ms += entry[3]
            part.entries.clear()
        job.parts.clear()
        self._subtract_counts(job, len(indices), run_ms)
        return indices

    def enqueue_buyer(self, buyer: Buyer) -> None:
        """Push a buyer with queued tasks on its pool's heap, unless a limit of its plan blocks it.

        This invalidates an item that it already has there.
        """
        if buyer.blocked or not buyer.queued:
            return
        buyer.heap_item_number = next(self._sequence)
        heapq.heappush(buyer.pool.heap, (self.rank(buyer), buyer.heap_item_number, buyer))

    def rank(self, buyer: Buyer) -> Rank:
        """Return the buyer's position; the lowest one is served next."""
        if not self._by_slack:
            return (1, buyer.virtual_time_ms)
        ahead_ms = (buyer.virtual_time_ms - self._virtual_time_ms) * buyer.weight
        if ahead_ms > BURST_ALLOWANCE_MS * max(1, buyer.pool.slots()):
            return (1, buyer.virtual_time_ms)
        starts = [subqueue.heap[0][0] for subqueue in buyer.subqueues.values() if subqueue.head()]
        return (0, min(starts, default=0.0))

    def first_buyer(self, heap: list) -> Buyer | None:
        """Return the first buyer of a pool's heap without removing it, None if there is none."""
        while heap and heap[0][1] != heap[0][2].heap_item_number:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def pop_buyer(self, heap: list) -> Buyer:
        """Remove and return the buyer that `first_buyer` has returned."""
        buyer = heapq.heappop(heap)[2]
        buyer.heap_item_number = 0
        return buyer

    def unblock(self, buyer: Buyer) -> None:
        """Let a buyer be served again that a limit of its plan blocked.

        It resumes at the present virtual time: it can't catch up on the share that it missed
        because of its own limit.
        """
        buyer.blocked = None
        buyer.virtual_time_ms = max(buyer.virtual_time_ms, self._virtual_time_ms)
        self.enqueue_buyer(buyer)

    def remove_buyer(self, buyer: Buyer) -> None:
        """Remove a buyer from its pool's heap."""
        heap = buyer.pool.heap
        heap[:] = [item for item in heap if item[2] is not buyer]
        heapq.heapify(heap)
        buyer.heap_item_number = 0

    def set_weight(self, buyer: Buyer, weight: float) -> None:
        """Change a buyer's priority."""
        if buyer.queued:
            self.active_weight += weight - buyer.weight
        buyer.weight = weight
