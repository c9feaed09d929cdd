"""One round of assignments: the next buyer, its next tasks, and an agent for them."""

import heapq

import attrs

from daisyfall.request import _flight, _groups, _limits, _queue, _retries, _routing, _work

# A task that waits this long for memory or accelerators gets an agent's kept for it.
_RESERVE_AFTER_S = 0.2


@attrs.define(slots=True, eq=False)
class Assignment:
    """Tasks of one job that are to be sent to one agent, in this order."""

    agent_id: str
    incarnation: str
    work: _work.Work
    tasks: list[_work.Task]


_LAST: _queue.Rank = (2, 0.0)  # after every buyer


class Scheduler:
    """Serves the buyers in turn while agents take work and plans allow it."""

    def __init__(
        self,
        queue: _queue.FairQueue,
        router: _routing.Router,
        flight: _flight.Flight,
        retries: _retries.Retries,
    ) -> None:
        self._queue = queue
        self._router = router
        self._flight = flight
        self._retries = retries
        self._rate_heap: list[tuple[float, int, _queue.Buyer]] = []
        self._rate_waits = 0

    def assign(self, now: float) -> list[Assignment]:
        """Return the starts that are due; each is counted as sent."""
        self._wake_rates(now)
        batches: dict[tuple, Assignment] = {}
        pools = self._router.pool_by_key.values()
        while self._queue.queued:
            best = None
            limit = _LAST  # rank up to which the first buyer is served
            for pool in pools:
                if self._queue.first_buyer(pool.heap) and pool.is_open():
                    if best is None or pool.heap[0] < best.heap[0]:
                        if best is not None:
                            limit = min(limit, best.heap[0][0])
                        best = pool
                    else:
                        limit = min(limit, pool.heap[0][0])
            if best is None:
                break
            self._serve(best, limit, now, batches)
        for pool in pools:
            for buyer in pool.passed:
                self._queue.enqueue_buyer(buyer)
            pool.passed.clear()
        return list(batches.values())

    def _serve(self, pool: _groups.Pool, last_rank: _queue.Rank, now: float, batches: dict) -> None:
        """Serve the first buyer of a pool until it is another's turn or the buyer has to wait."""
        queue, router = self._queue, self._router
        buyer = queue.pop(pool.heap)
        if queue.first_buyer(pool.heap):
            last_rank = min(last_rank, pool.heap[0][0])
        usage = buyer.usage
        usage.refill(now)
        while queue.rank(buyer) <= last_rank:
            subqueue = buyer.next_subqueue()
            if subqueue is None:
                return
            room, limit = usage.available_starts(subqueue.key[1])
            if limit is _limits.Limit.ACCELERATORS:
                subqueue.blocked = limit.value
                continue
            if limit is not None:
                self._block(buyer, limit)
                return
            part = subqueue.heap[0][2]
            entry = part.entries[-1]
            agent = router.select_agent(pool, part.job, entry, queue.queued)
            plain = subqueue.key == _queue.NO_RESOURCES
            if agent is None and plain:
                pool.passed.append(buyer)
                return
            if agent is None:
                self._wait_for_resource(pool, buyer, subqueue, now)
                continue
            room = min(room, router.batch_limit(agent, entry[0])) if plain else 1
            subqueue.waiting_since = None
            self._start(agent, part.job, queue.pop_tasks(subqueue, room), now, batches)
        queue.enqueue_buyer(buyer)

    def _start(
        self,
        agent: _groups.Agent,
        job: _queue.Job,
        entries: list[_queue.QueueEntry],
        now: float,
        batches: dict,
    ) -> None:
        self._flight.send(job, agent, entries, now)
        job.buyer.usage.tokens -= len(entries)
        self._retries.count_starts(len(entries))
        tasks = [entry[4] for entry in entries]
        batch_key = (job, agent)
        batch = batches.get(batch_key)
        if batch is None:
            upstream = agent.upstream
            batches[batch_key] = Assignment(
                upstream.agent_id, upstream.incarnation, job.work, tasks
            )
        else:
            batch.tasks.extend(tasks)

    def _wait_for_resource(
        self, pool: _groups.Pool, buyer: _queue.Buyer, subqueue: _queue.SubQueue, now: float
    ) -> None:
        if subqueue.waiting_since is None:
            subqueue.waiting_since = now
        elif now - subqueue.waiting_since >= _RESERVE_AFTER_S:
            self._router.reserve(pool, subqueue.heap[0][2].entries[-1][4], buyer.name)
        self._flight.wait_for_resource(buyer, subqueue)

    def _block(self, buyer: _queue.Buyer, limit: _limits.Limit) -> None:
        buyer.blocked = limit
        if limit is _limits.Limit.RATE:
            at = buyer.usage.next_release(buyer.queued)
            if at is not None:
                self._rate_waits += 1
                heapq.heappush(self._rate_heap, (at, self._rate_waits, buyer))

    def _wake_rates(self, now: float) -> None:
        while self._rate_heap and self._rate_heap[0][0] <= now:
            buyer = heapq.heappop(self._rate_heap)[2]
            if buyer.blocked is _limits.Limit.RATE:
                self._queue.unblock(buyer)

    def next_due(self) -> float | None:
        """Return the time at which a buyer that waits for its rate may start again."""
        return self._rate_heap[0][0] if self._rate_heap else None
