"""Replay of arrivals on the real scheduler, in virtual time, with modelled run times."""

import collections
import heapq
import itertools
import math
import random

import attrs

from daisyfall.policy import _job_queue, _runner_capacity, _scheduler
from daisyfall.process import _pool_entry
from daisyfall.request import _pool_jobs

POOL = "pool"
# What passes between a decision and the start of its task, and between its end and the report.
MESSAGE_S = 0.005
STRETCH = 1.6
TARGET_LATENCY_S = 0.061
# A caller has some use of a late answer up to this many times the objective.
LATE_LIMIT = 3.0
CALLER_WAIT_S = 1.5
# Some jobs of each kind take much longer than the others.
LONG_SHARE = 0.03
LONG_FACTOR = 7.0


@attrs.frozen
class Kind:
    """A kind of job; `burst` multiplies its rate from `burst_s[0]` to `burst_s[1]`."""

    name: str
    priority: int
    tasks: int
    cpu: int
    run_s: float
    per_s: float
    burst: float = 1.0
    burst_s: tuple[float, float] = (0.0, 0.0)
    swing: float = 0.0
    period_s: float = 17.0

    def rate(self, at: float) -> float:
        """Return the arrivals a second."""
        is_burst = self.burst_s[0] <= at < self.burst_s[1]
        wave = 1.0 + self.swing * math.sin(2 * math.pi * at / self.period_s)
        return self.per_s * wave * (self.burst if is_burst else 1.0)


@attrs.define
class ReplayedJob:
    """One job and what became of it; times are those of the replay."""

    id: str
    kind: Kind
    arrived_at: float
    run_s: float
    task_run_s: list[float]
    cpu: int
    batch: _job_queue.TaskBatch
    started: set[str] = attrs.Factory(set)
    running: dict[str, str] = attrs.Factory(dict)
    ended: int = 0
    ended_at: float = math.inf
    refused_at: float = math.inf
    reason: str = ""
    retry_after_s: float = 0.0
    room_when_refused: int = 0

    @property
    def objective_s(self) -> float:
        """Return the time within which an answer is in time."""
        return STRETCH * self.run_s + TARGET_LATENCY_S

    @property
    def verdict(self) -> str:
        """Return `in time`, `late`, `refused`, `given up` or `lost`."""
        if self.refused_at < math.inf:
            return "given up" if self.started else "refused"
        after_s = self.ended_at - self.arrived_at
        if after_s <= self.objective_s:
            return "in time"
        return "late" if after_s <= LATE_LIMIT * self.objective_s else "lost"


class Replay:
    """Plays arrivals, ends of tasks and scheduling rounds in order of time."""

    def __init__(self, runner_cpus, kinds, *, length_s, seed=1, data_centres=("",)):
        self.rng = random.Random(seed)
        self.scheduler = _scheduler.Scheduler(random.Random(seed))
        self.kinds = kinds
        self.length_s = length_s
        self.data_centres = itertools.cycle(data_centres)
        self.callers_return = self.checks_order = False
        self.events = []
        self.order = itertools.count()
        self.job_by_id = {}
        self.overtaken, self.placements = [], []
        for number, cpu in enumerate(runner_cpus):
            self._add_runner(f"r{number}", cpu)
        # Runners that have just come back idle are a recovery.
        for number in range(-60, 0):
            self.scheduler.advance(number * _pool_entry.TICK_S)

    def _add_runner(self, name, cpu):
        runner = _runner_capacity.RunnerCapacity(name, POOL, cpu, 256_000, 0, (), True)
        self.scheduler.update_runner(runner)
        self.scheduler.sync_allocations(name, {}, -10.0)

    def push(self, at, action, *arguments):
        """Have `action(now, *arguments)` called at a time."""
        heapq.heappush(self.events, (at, next(self.order), action, arguments))

    def lose_runners(self, lost_at, returned_at):
        """Close all runners for a while; their tasks are lost."""
        self.push(lost_at, self._close_runners)
        for number, name in enumerate(self.scheduler.runner_by_id):
            self.push(returned_at + 0.005 * number, self._open_runner, name)

    def run(self):
        """Play everything and return the jobs."""
        for kind in self.kinds:
            self._schedule_arrivals(kind)
        for number in range(int((self.length_s + 6.0) / _pool_entry.TICK_S)):
            self.push(number * _pool_entry.TICK_S, self._advance)
        while self.events:
            now, _, action, arguments = heapq.heappop(self.events)
            action(now, *arguments)
        return list(self.job_by_id.values())

    def _schedule_arrivals(self, kind):
        at, numbers = 0.0, itertools.count()
        peak = kind.per_s * max(1.0, kind.burst) * (1 + kind.swing)
        while at < self.length_s:
            at += self.rng.expovariate(peak)
            if self.rng.random() < kind.rate(at) / peak and at < self.length_s:
                self.push(at, self._arrive, self.new_job(f"{kind.name}{next(numbers)}", kind, at))

    def new_job(self, name, kind, at):
        """Return a job whose tasks run for about as long as its caller says."""
        tasks = min(max(1, round(kind.tasks * self._spread(0.4))), 4 * kind.tasks)
        run_s = kind.run_s * self._spread(0.4)
        if self.rng.random() < LONG_SHARE:
            run_s *= LONG_FACTOR
        expected_s = run_s * self.rng.uniform(0.75, 1.3)
        task_run_s = [run_s * self.rng.uniform(0.9, 1.1) for _ in range(tasks)]
        cpu = round(kind.cpu * self._spread(0.2))
        demands = [
            _runner_capacity.Demand(f"{name}.0.{n}", name, cpu, 64, expected_ms=expected_s * 1000)
            for n in range(tasks)
        ]
        wait_s = CALLER_WAIT_S + STRETCH * expected_s + TARGET_LATENCY_S
        slack_s = (STRETCH - 1) * expected_s + TARGET_LATENCY_S - _pool_jobs.START_MARGIN_S
        start_deadline = at + wait_s - expected_s - _pool_jobs.ANSWER_MARGIN_S
        batch = _job_queue.TaskBatch(
            id=f"{name}/1",
            entry_id="e",
            job_id=name,
            pool=POOL,
            priority=kind.priority,
            demands=demands,
            latest_start=at + slack_s,
            start_deadline=start_deadline,
            late_deadline=min(at + _pool_jobs.MAX_LATE_WAIT_FRACTION * wait_s, start_deadline),
            route=kind.name,
            data_centre=next(self.data_centres),
        )
        return ReplayedJob(name, kind, at, run_s, task_run_s, cpu, batch)

    def _spread(self, sigma):
        return math.exp(self.rng.gauss(-sigma * sigma / 2, sigma))

    def _arrive(self, now, job):
        self.job_by_id[job.id] = job
        self._apply(self.scheduler.submit(job.batch, now), now)
        if self.callers_return and job.refused_at < math.inf and not job.id.endswith("+"):
            again = self.new_job(f"{job.id}+", job.kind, now + job.retry_after_s)
            self.push(again.arrived_at, self._arrive, again)

    def _advance(self, now):
        self._apply(self.scheduler.advance(now), now)

    def _end(self, now, job, task):
        runner = job.running.pop(task, None)
        if runner is None:
            return
        outcome = "stopped" if job.refused_at < math.inf else "done"
        job.ended += 1
        if job.ended == len(job.task_run_s):
            job.ended_at = now
        self._apply(self.scheduler.record_task_end(runner, task, job.id, outcome, now), now)

    def _close_runners(self, now):
        for name, runner in list(self.scheduler.runner_by_id.items()):
            self.scheduler.update_runner(attrs.evolve(runner, is_open=False))
            self.scheduler.sync_allocations(name, {}, now)
        for job in self.job_by_id.values():
            job.running.clear()

    def _open_runner(self, now, name):
        runner = self.scheduler.runner_by_id[name]
        self.scheduler.sync_allocations(name, {}, now)
        self.scheduler.update_runner(attrs.evolve(runner, is_open=True))
        self._advance(now)

    def _apply(self, decisions, now):
        for decision in decisions:
            job = self.job_by_id[decision.batch.job_id]
            match decision:
                case _scheduler.Placement(runner_by_task=runner_by_task):
                    if self.checks_order:
                        self._check_order(job, len(runner_by_task) * job.cpu, now)
                    self.placements += runner_by_task.items()
                    for task, runner in runner_by_task.items():
                        job.started.add(task)
                        job.running[task] = runner
                        run_s = job.task_run_s[int(task.rpartition(".")[2])]
                        self.push(now + run_s + 2 * MESSAGE_S, self._end, job, task)
                case _scheduler.Refusal():
                    self._refuse(job, decision, now)

    def _check_order(self, job, cpu, now):
        """Record the more urgent jobs that wait though the CPU of a placed job would do."""
        for other in self.job_by_id.values():
            batch = other.batch
            if batch.priority < job.kind.priority and batch.demands and now < batch.latest_start:
                needed = batch.min_cpu if batch.has_started else batch.cpu
                if other.verdict == "lost" and batch.min_cpu <= job.cpu and needed <= cpu:
                    self.overtaken.append((other, job))

    def _refuse(self, job, refusal, now):
        job.refused_at, job.reason = now, refusal.reason
        job.retry_after_s = refusal.retry_after_s
        cpu = max((demand.cpu for demand in refusal.batch.demands), default=1)
        runners = self.scheduler.runner_by_id.values()
        job.room_when_refused = sum(
            max(runner.free_cpu, 0) // cpu for runner in runners if runner.is_available
        )
        for task in list(job.running):
            self.push(now + 2 * MESSAGE_S, self._end, job, task)


def tally(jobs):
    """Return the verdicts by kind, as counts."""
    counts_by_kind = collections.defaultdict(collections.Counter)
    for job in jobs:
        counts_by_kind[job.kind.name][job.verdict] += 1
    return dict(sorted(counts_by_kind.items()))
