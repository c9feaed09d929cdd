"""Choice under shortage: which jobs of a pool can still start in time.

Answers bursts of wide and long jobs beside bursts of short ones, demand that swings, and the
moments after a loss of runners: for a while the runners can't do all work in time. A job that
can't start in time is refused before anything of it has started, as it would only delay others
and its caller could use the time for another attempt.

What a job can count on is the CPU that is free for it, and what running tasks are expected to
free until its latest start. What it can't count on is taken by the jobs ahead of it in the queue
and by more urgent ones, which are expected to arrive as they did lately. Tasks that end before
the latest start give their CPU back, so they count with the share of the time that they need.
"""

import copy
import functools
import math

import attrs

from daisyfall.policy import (
    _candidates,
    _decaying_sum,
    _expected_ends,
    _job_queue,
    _pool_runners,
    _retry_slots,
)

# Share of the time until its latest start within which a queued job must be expected to start,
# so that one that was accepted isn't refused for a small change of what is expected.
QUEUED_SHARE = 1.25
# Least share of the time until its latest start within which an arriving job must be expected to
# start. The share is smaller the more accepted jobs were refused after they had waited.
MIN_ARRIVAL_SHARE = 0.5
# Weight of each accepted job in the moving average of those that were refused.
DISPLACED_SMOOTHING = 0.02
# Share of the work that arrived lately and is expected to arrive again. Arrivals vary, and a job
# that waits needs only one moment in which there is room for it.
EXPECTED_SHARE = 0.75
# Share of the time until its latest start that the work ahead of a job of a confined route may
# take.
BULKHEAD_SHARE = 0.5
# The queued jobs are examined this often, and this often if jobs arrive that may displace some.
REVIEW_INTERVAL_S = 0.04
MIN_REVIEW_INTERVAL_S = 0.01
# The demand of each priority counts half after this time.
DEMAND_HALF_LIFE_S = 0.5 * math.log(2)
# A late job may use the last CPU that is free if it would be refused within this time.
LAST_CHANCE_S = 0.1
# A shortage is over if nothing waited and no job was refused for this time.
SHORTAGE_END_S = 1.0
# How often short tasks can be expected to follow each other on the CPU that becomes free.
MAX_ROUNDS = 20


_new_sum = functools.partial(_decaying_sum.DecayingSum, DEMAND_HALF_LIFE_S)


@attrs.frozen
class RecentDemand:
    """What the jobs of one priority got: CPU in thousandths of a core, and core seconds."""

    cpu: _decaying_sum.DecayingSum = attrs.Factory(_new_sum)
    core_seconds: _decaying_sum.DecayingSum = attrs.Factory(_new_sum)


class Shortage:
    """Decides for one pool which jobs can start in time; keeps the recent demand."""

    def __init__(self, runners: _pool_runners.PoolRunners, queue: _job_queue.JobQueue) -> None:
        self._runners = runners
        self._queue = queue
        self._demand_by_priority: dict[int, RecentDemand] = {}
        self._retries = _retry_slots.RetrySlots()
        self._reviewed_at = -math.inf
        # By lane, the CPU that jobs ahead may ask for until one of the lane can't be in time.
        self._margin_by_lane: dict[tuple, float] = {}
        self._needs_review = False
        self._displaced_share_by_priority: dict[int, float] = {}
        self._last_refusal_at = -math.inf
        self.refused = 0
        self.is_short = False

    def copy(self, runners: _pool_runners.PoolRunners, queue: _job_queue.JobQueue) -> "Shortage":
        """Return a copy that decides for copies of the runners and the queue."""
        other = copy.copy(self)
        other._runners, other._queue = runners, queue
        other._demand_by_priority = copy.deepcopy(self._demand_by_priority)
        other._retries = copy.deepcopy(self._retries)
        other._margin_by_lane = dict(self._margin_by_lane)
        other._displaced_share_by_priority = dict(self._displaced_share_by_priority)
        return other

    def record_placement(self, priority: int, cpu: int, core_seconds: float, now: float) -> None:
        """Record tasks that have got their CPU, except of late jobs, which don't come again."""
        demand = self._demand_by_priority.get(priority)
        if demand is None:
            demand = self._demand_by_priority[priority] = RecentDemand()
        demand.cpu.add(cpu, now)
        demand.core_seconds.add(core_seconds, now)

    def record_queued(self, batch: _job_queue.TaskBatch) -> None:
        """Take note of a job that waits, as it may push others past their latest start."""
        own_lane = (batch.is_late, batch.priority)
        for lane in self._margin_by_lane:
            if lane >= own_lane:
                self._margin_by_lane[lane] -= batch.cpu
                self._needs_review |= self._margin_by_lane[lane] < 0

    def may_wait(
        self, batch: _job_queue.TaskBatch, candidates: _candidates.Candidates, now: float
    ) -> bool:
        """Return whether an arriving job may start or wait; otherwise it is refused."""
        if batch.has_started:
            return now < batch.start_deadline
        if self._waits_for_return(batch, now):
            return True
        demand = batch.demands[0]
        if self._is_confined(batch):
            return self._may_wait_in_bulkhead(batch, candidates, now)
        if self._has_room(batch, now) and candidates.choose(demand, batch.route):
            return True
        if not self.is_predictable():
            return now < batch.latest_start
        return self.can_start_in_time(batch, now, self._arrival_share(batch.priority))

    def _arrival_share(self, priority: int) -> float:
        """Return the share of its time within which an arriving job must be expected to start.

        It falls with the share of the accepted jobs that were refused nevertheless.
        """
        displaced_share = self._displaced_share_by_priority.get(priority, 0.0)
        return max(MIN_ARRIVAL_SHARE, 1.0 - displaced_share)

    def record_end_of_wait(self, priority: int, *, is_refused: bool) -> None:
        """Record whether a job that waited was refused or has started."""
        share = self._displaced_share_by_priority.get(priority, 0.0)
        share += DISPLACED_SMOOTHING * (is_refused - share)
        self._displaced_share_by_priority[priority] = share

    def may_start(self, batch: _job_queue.TaskBatch, now: float) -> bool:
        """Return whether a job may start: all its tasks fit, or the others will in time.

        Late jobs leave spare capacity to jobs in time, until they would be refused otherwise.
        """
        if batch.is_late and not (
            self._runners.has_spare() or batch.late_deadline - now < LAST_CHANCE_S
        ):
            return False
        if batch.has_started or len(batch.demands) == 1:
            return True
        has_room = self._has_room(batch, now)
        if batch.is_late and not self._is_confined(batch):
            # Once started, its other tasks would go ahead of jobs that can still be in time.
            return has_room
        return (
            has_room
            or self._is_confined(batch)
            or not self.is_predictable()
            or self._waits_for_return(batch, now)
            or self.can_start_in_time(batch, now)
        )

    def _waits_for_return(self, batch: _job_queue.TaskBatch, now: float) -> bool:
        """Return whether a job may wait for runners that are expected back after a loss."""
        return (batch.is_late or batch.may_become_late(now)) and self._runners.is_recovering()

    def _is_confined(self, batch: _job_queue.TaskBatch) -> bool:
        return self._runners.confinement.bulkhead(batch.route) is not None

    def _may_wait_in_bulkhead(
        self, batch: _job_queue.TaskBatch, candidates: _candidates.Candidates, now: float
    ) -> bool:
        """Return whether a job of a confined route may wait for the runners that it has.

        Without any it is refused, as runners that crashed are down for longer than it may wait.
        """
        if not len(self._queue) and candidates.choose(batch.demands[0], batch.route):
            return True
        cores = self._runners.cpu_for(batch.route) / 1000
        if not cores:
            return False
        return self.work_ahead(batch) / cores <= BULKHEAD_SHARE * (batch.latest_start - now)

    def work_ahead(self, batch: _job_queue.TaskBatch) -> float:
        """Return the core seconds that are queued before a batch on the runners of its route."""
        bulkhead_of = self._runners.confinement.bulkhead
        bulkhead = bulkhead_of(batch.route)
        return self._queue.work_ahead(batch, lambda each: bulkhead_of(each.route) == bulkhead)

    def is_predictable(self) -> bool:
        """Return whether expected starts are known, which follow from the ends of tasks.

        If nothing runs, a job waits for another reason, for example for a runner to grow again.
        """
        return self._runners.healthy_cpu > 0 and not self._runners.expected_ends.is_empty()

    def can_start_in_time(
        self, batch: _job_queue.TaskBatch, now: float, share: float = 1.0
    ) -> bool:
        """Return whether all tasks of a job are expected to start within a share of its time."""
        within_s = share * (batch.expires_at - now)
        if within_s < 0:
            return False
        within_s = min(within_s, _expected_ends.FORECAST_S)
        ahead = self._cpu_ahead(batch, within_s, now)
        return self._margin(batch, self._room_for(batch, now), ahead, within_s, now) >= 0

    def review(self, now: float) -> list[_job_queue.TaskBatch]:
        """Return the queued jobs that can't start in time any more.

        All are examined at intervals, and sooner if jobs that arrived push others too far.
        """
        since_s = now - self._reviewed_at
        reviews_all = since_s >= REVIEW_INTERVAL_S
        if not reviews_all and not (self._needs_review and since_s >= MIN_REVIEW_INTERVAL_S):
            return []
        self._reviewed_at, self._needs_review = now, False
        if not self.is_predictable():
            self._margin_by_lane.clear()
            return []
        displaced: list[_job_queue.TaskBatch] = []
        for key, lane in self._queue.lane_by_key.items():
            if reviews_all or self._margin_by_lane.get(key, 0.0) < 0:
                self._margin_by_lane[key] = self._review_lane(key, lane, displaced, now)
        return displaced

    def _review_lane(
        self,
        key: tuple[bool, int],
        lane: _job_queue.Lane,
        displaced: list[_job_queue.TaskBatch],
        now: float,
    ) -> float:
        """Collect the displaced jobs of a lane; return the least margin of the others."""
        cpu, core_seconds, least = 0, 0.0, math.inf
        if not lane.batches:
            return least
        urgent = self._urgent_flows(key, now)
        most_free = self._runners.max_free_cpu(now)
        for batch in lane.batches:
            if not (
                batch.has_started or self._is_confined(batch) or self._waits_for_return(batch, now)
            ):
                within_s = QUEUED_SHARE * (batch.expires_at - now)
                within_s = min(max(within_s, _expected_ends.SLOT_S), _expected_ends.FORECAST_S)
                ahead = _occupied(urgent, within_s) + _net_cpu(cpu, core_seconds, within_s)
                free = self._room_for(batch, now) if batch.min_cpu <= most_free else 0
                margin = self._margin(batch, free, ahead, within_s, now)
                if margin < 0:
                    displaced.append(batch)
                    continue
                least = min(least, margin)
            cpu += batch.cpu
            core_seconds += batch.core_seconds
        return least

    def book_retry(
        self, batch: _job_queue.TaskBatch, cores: float, jitter: float, now: float
    ) -> float:
        """Return after how many seconds the caller of a refused job should retry."""
        used = sum(
            demand.core_seconds.rate(now)
            for priority, demand in self._demand_by_priority.items()
            if priority <= batch.priority
        )
        spare = max(cores - used, _retry_slots.MIN_SPARE_SHARE * cores)
        work = self._queue.total_work()
        return self._retries.book(
            batch.priority,
            batch.core_seconds,
            spare_cores=spare,
            earliest_s=work / cores if cores > 0 else math.inf,
            jitter=jitter,
            now=now,
        )

    def record_refusal(self, now: float) -> None:
        """Record a job that was refused as the runners can't do it in time."""
        self._last_refusal_at = now
        self.refused = self.refused + 1 if self.is_short else 1
        self.is_short = True

    def advance(self, now: float) -> None:
        """End a shortage after a time without refusals and without waiting jobs."""
        if len(self._queue):
            self._last_refusal_at = now
        elif now - self._last_refusal_at > SHORTAGE_END_S:
            self.is_short = False

    def _cpu_ahead(self, batch: _job_queue.TaskBatch, within_s: float, now: float) -> float:
        """Return the CPU that jobs ahead of a job keep from it until its latest start."""
        key = (batch.is_late, batch.priority)
        ahead = _occupied(self._urgent_flows(key, now), within_s)
        lane = self._queue.lane_by_key.get(key)
        if lane is not None and lane.batches:
            ahead += _net_cpu(*lane.ahead_of(batch), within_s)
        return ahead

    def _urgent_flows(self, key: tuple[bool, int], now: float) -> list[tuple]:
        """Return the work of the lanes ahead of one: what waits, and what arrives a second.

        Each is `(cpu, core seconds, cpu a second, core seconds a second)`.
        """
        is_late, priority = key
        flow_by_lane = {}
        for lane_key, lane in self._queue.lane_by_key.items():
            if lane_key >= key:
                break
            if lane.batches:
                flow_by_lane[lane_key] = (lane.cpu, lane.core_seconds, 0.0, 0.0)
        for each, demand in self._demand_by_priority.items():
            if each < priority or is_late:
                cpu, core_seconds, _, _ = flow_by_lane.get((False, each), (0, 0.0, 0.0, 0.0))
                flow_by_lane[False, each] = (
                    cpu,
                    core_seconds,
                    EXPECTED_SHARE * demand.cpu.rate(now),
                    EXPECTED_SHARE * demand.core_seconds.rate(now),
                )
        return list(flow_by_lane.values())

    def _needed_cpu(self, batch: _job_queue.TaskBatch) -> int:
        """Return the CPU that a job can use at once; one wider than the pool uses all of it."""
        return min(batch.cpu, self._runners.offered_cpu)

    def _has_room(self, batch: _job_queue.TaskBatch, now: float) -> bool:
        needed = self._needed_cpu(batch)
        return self._runners.room_for(batch.demands[0].cpu, needed, now) >= needed

    def _room_for(self, batch: _job_queue.TaskBatch, now: float) -> int:
        return self._runners.room_for(batch.min_cpu, self._needed_cpu(batch), now)

    def _margin(
        self, batch: _job_queue.TaskBatch, free: int, ahead: float, within_s: float, now: float
    ) -> float:
        """Return by how much CPU the supply until a time exceeds what a job needs by then.

        `free` is what is free for its tasks now. Tasks that end within the time make room for
        others of the same job.
        """
        freed_cpu = self._runners.expected_ends.freed_cpu
        needed = self._needed_cpu(batch)
        supply = free + freed_cpu(now, within_s)
        if batch.run_s > within_s or not supply:
            return supply - ahead - needed
        starts, run_s = supply, max(batch.run_s, within_s / MAX_ROUNDS, _expected_ends.SLOT_S)
        earlier_s = within_s - run_s
        while earlier_s > -1e-9:
            starts += free + freed_cpu(now, earlier_s)
            earlier_s -= run_s
        return supply - ahead - needed * supply / starts


def _occupied(flows: list[tuple], within_s: float) -> float:
    """Return the CPU that the work of `_urgent_flows` occupies at the end of a time."""
    occupied = 0.0
    for cpu, core_seconds, cpu_per_s, core_seconds_per_s in flows:
        flow_cpu = cpu + cpu_per_s * within_s
        net_cpu = (core_seconds / within_s + core_seconds_per_s) * 1000
        occupied += min(flow_cpu, net_cpu)
    return occupied


def _net_cpu(cpu: float, core_seconds: float, within_s: float) -> float:
    """Return the CPU that tasks occupy at the end of a time; those that end earlier share CPU."""
    return min(cpu, core_seconds * 1000 / within_s) if within_s > 0 else cpu
