"""Scheduling rounds: which buyer is served next, with which tasks, and on which agents."""

import heapq

import attrs

from daisyfall.request import _groups, _in_flight_tasks, _limits, _queue, _retries, _routing, _work

# A task that waits this long for memory or accelerators gets those of one agent reserved.
_RESERVATION_DELAY_S = 0.2


@attrs.define(slots=True, eq=False)
class Assignment:
    """Tasks of one job to send to one agent, in this order."""

    agent_id: str
    incarnation: str
    work: _work.Work
    tasks: list[_work.Task]


_LAST_RANK: _queue.Rank = (2, 0.0)  # ranks after every buyer


class Scheduler:
    """Serves the buyers in the order of their rank while agents accept tasks and plans allow it."""

    def __init__(
        self,
        queue: _queue.FairQueue,
        router: _routing.Router,
        in_flight_tasks: _in_flight_tasks.InFlightTasks,
        retries: _retries.Retries,
    ) -> None:
        self._queue = queue
        self._router = router
        self._in_flight_tasks = in_flight_tasks
        self._retries = retries
        self._rate_heap: list[tuple[float, int, _queue.Buyer]] = []
        self._rate_wait_count = 0

    def assign(self, now: float) -> list[Assignment]:
        """Run a scheduling round and return the tasks to start, which are counted as sent."""
        self._unblock_rate_limited(now)
        batches: dict[tuple, Assignment] = {}
        pools = self._router.pool_by_key.values()
        while self._queue.queued:
            best_pool = None
            rank_limit = _LAST_RANK  # rank up to which the best pool's first buyer is served
            for pool in pools:
                if self._queue.first_buyer(pool.heap) and pool.is_open():
                    if best_pool is None or pool.heap[0] < best_pool.heap[0]:
                        if best_pool is not None:
                            rank_limit = min(rank_limit, best_pool.heap[0][0])
                        best_pool = pool
                    else:
                        rank_limit = min(rank_limit, pool.heap[0][0])
            if best_pool is None:
                break
            self._serve(best_pool, rank_limit, now, batches)
        for pool in pools:
            for buyer in pool.skipped_buyers:
                self._queue.enqueue_buyer(buyer)
            pool.skipped_buyers.clear()
        return list(batches.values())

    def _serve(
        self, pool: _groups.Pool, rank_limit: _queue.Rank, now: float, batches: dict
    ) -> None:
        """Serve the first buyer of a pool until another one ranks before it or it has to wait."""
        queue, router = self._queue, self._router
        buyer = queue.pop_buyer(pool.heap)
        if queue.first_buyer(pool.heap):
            rank_limit = min(rank_limit, pool.heap[0][0])
        usage = buyer.usage
        usage.refill(now)
        while queue.rank(buyer) <= rank_limit:
            subqueue = buyer.next_subqueue()
            if subqueue is None:
                return
            count, limit = usage.available_starts(subqueue.key[1])
            if limit is _limits.Limit.ACCELERATORS:
                subqueue.blocked = limit.value
                continue
            if limit is not None:
                self._block(buyer, limit)
                return
            part = subqueue.heap[0][2]
            entry = part.entries[-1]
            agent = router.select_agent(pool, part.job, entry, queue.queued)
            needs_no_resources = subqueue.key == _queue.NO_RESOURCES
            if agent is None and needs_no_resources:
                pool.skipped_buyers.append(buyer)
                return
            if agent is None:
                self._wait_for_resource(pool, buyer, subqueue, now)
                continue
            count = min(count, router.batch_limit(agent, entry[0])) if needs_no_resources else 1
            subqueue.waiting_since = None
            self._start(agent, part.job, queue.pop_tasks(subqueue, count), now, batches)
        queue.enqueue_buyer(buyer)

    def _start(
        self,
        agent: _groups.Agent,
        job: _queue.Job,
        entries: list[_queue.QueueEntry],
        now: float,
        batches: dict,
    ) -> None:
        self._in_flight_tasks.send(job, agent, entries, now)
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
        elif now - subqueue.waiting_since >= _RESERVATION_DELAY_S:
            self._router.reserve(pool, subqueue.heap[0][2].entries[-1][4], buyer.name)
        self._in_flight_tasks.wait_for_resource(buyer, subqueue)

    def _block(self, buyer: _queue.Buyer, limit: _limits.Limit) -> None:
        buyer.blocked = limit
        if limit is _limits.Limit.RATE:
            release_at = buyer.usage.next_release(buyer.queued)
            if release_at is not None:
                self._rate_wait_count += 1
                heapq.heappush(self._rate_heap, (release_at, self._rate_wait_count, buyer))

    def _unblock_rate_limited(self, now: float) -> None:
        while self._rate_heap and self._rate_heap[0][0] <= now:
            buyer = heapq.heappop(self._rate_heap)[2]
            if buyer.blocked is _limits.Limit.RATE:
                self._queue.unblock(buyer)

    def next_due(self) -> float | None:
        """Return when a buyer that is blocked by its rate limit may start tasks again."""
        return self._rate_heap[0][0] if self._rate_heap else None
