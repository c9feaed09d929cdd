"""Replay of a load in virtual time: the real scheduler and agents' run lists, modelled runners."""

import random

import attrs
import pool_stand_ins

from daisyfall import _pool_wire
from daisyfall.policy import _job_queue, _runner_capacity, _runner_health, _scheduler
from daisyfall.process import _leased_runner, _pool_agent, _runner_session
from daisyfall.request import _runs

STEP_S = 0.01
CPU = 4900
# Tasks and run time in ms of the jobs of each route, and its share of the work.
ROUTES = ((8, 100.0, 0.33), (4, 1500.0, 0.33), (2, 350.0, 0.33))
STRETCH, TARGET_S = 1.6, 0.06
REMOTE_FACTOR = 2.0
RACK_SIZE = 8


@attrs.define(eq=False)
class Runner:
    """Modelled runner: remaining work in ms by task, done at `speed` over `slowdown`."""

    id: str
    speed: float
    runs: _runs.Runs
    slowdown: float = 1.0
    work_by_task: dict = attrs.Factory(dict)
    left_by_task: dict = attrs.Factory(dict)
    ends: int = 0
    seen_at: float = 0.0
    reported_at: float = 0.0
    was_slow: bool = False

    def snapshot(self, now):
        """Return the lists of runs; tasks that are done or stopped move to the ended ones."""
        ended = []
        for task, left in list(self.left_by_task.items()):
            how = "done" if left <= 0 else "stopped"
            if left <= 0 or self.runs.run_by_task[task].stop_reason:
                self.ends += 1
                outcome = _leased_runner.RunOutcome(how)
                ended.append(_leased_runner.EndedRun(self.ends, task, 1, outcome))
                del self.left_by_task[task], self.work_by_task[task]
        running = tuple(
            _leased_runner.RunProgress(task, 1, int(100 * (1 - left / self.work_by_task[task])))
            for task, left in self.left_by_task.items()
        )
        return _leased_runner.RunSnapshot(now * 1000, 1, running, tuple(ended))


class Replay:
    """Jobs arrive at `load` times the capacity; `late` holds each job that missed its objective.

    `hot_share` of the jobs of the last route prefer rack 0, all others one of the racks by turns.
    """

    def __init__(self, speeds, load, seed=1):
        self.rng = random.Random(seed)
        self.now, self.jobs, self.load = 100.0, 0, load
        self.scheduler = _scheduler.Scheduler(random.Random(2), REMOTE_FACTOR)
        self.runner_by_id, self.route_by_job, self.left_by_job, self.arrival_by_job = {}, {}, {}, {}
        self.hot_share, self.racks = 0.0, len(speeds) // RACK_SIZE
        self.rack_by_job = {}
        self.moved, self.late, self.started_at_by_task = set(), {}, {}
        for number, speed in enumerate(speeds):
            kind, cpu = ("b", 96_000) if speed != 1.0 else ("a", 64_000)
            runs = _runs.Runs(pool_stand_ins.BOUNDS, REMOTE_FACTOR)
            runner = Runner(f"r{number}", speed, runs)
            runner.runs.capacity = (cpu, 64_000, 0)
            self.runner_by_id[runner.id] = runner
            labels = runner.runs.labels = (kind, f"rack{number // RACK_SIZE}")
            self.scheduler.update_runner(
                _runner_capacity.RunnerCapacity(runner.id, "pool", cpu, 64_000, 0, labels, True)
            )
            self.scheduler.sync_allocations(runner.id, {}, self.now)
        capacity = sum(each.cpu for each in self.scheduler.runner_by_id.values())
        self.rates = [load * share * capacity / (n * CPU * ms / 1000) for n, ms, share in ROUTES]
        self.next_by_route = [self.now + self.rng.expovariate(rate) for rate in self.rates]

    def run(self, seconds):
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for route in range(len(ROUTES)):
                while self.next_by_route[route] <= self.now:
                    self.next_by_route[route] += self.rng.expovariate(self.rates[route])
                    self._arrive(route)
            for runner in self.runner_by_id.values():
                self._work(runner)
            if round(self.now / STEP_S) % 5 == 0:
                self._apply(self.scheduler.advance(self.now))

    def _arrive(self, route):
        self.jobs += 1
        job, (count, _, _) = f"j{self.jobs}", ROUTES[route]
        self.route_by_job[job], self.left_by_job[job] = route, count
        self.arrival_by_job[job] = self.now
        is_hot = route == len(ROUTES) - 1 and self.rng.random() < self.hot_share
        self.rack_by_job[job] = f"rack{0 if is_hot else self.jobs % self.racks}"
        self._submit(job, range(count))

    def _submit(self, job, indices, avoid=()):
        ms = ROUTES[self.route_by_job[job]][1]
        latest = self.arrival_by_job[job] + (STRETCH - 1) * ms / 1000 + TARGET_S - 0.02
        demands = [
            _runner_capacity.Demand(
                f"{job}.0.{each}", job, CPU, 64, 0, ms, "", self.rack_by_job[job], 0, avoid
            )
            for each in indices
        ]
        batch_id = f"{job}/{len(self.moved)}"
        batch = _job_queue.TaskBatch(
            batch_id, "e", job, "pool", 0, demands, latest, self.now + 9, has_started=bool(avoid)
        )
        self._apply(self.scheduler.submit(batch, self.now))

    def _apply(self, decisions):
        for each in decisions:
            if isinstance(each, _scheduler.Refusal):
                self.late[each.batch.job_id] = self.now
                continue
            for task, runner_id in each.runner_by_task.items():
                self._start(task, self.runner_by_id[runner_id])

    def _start(self, task, runner):
        job = task.split(".")[0]
        ms = ROUTES[self.route_by_job[job]][1]
        may_move = task not in self.moved
        rack = self.rack_by_job[job]
        order = _pool_wire.RunTask(task, 1, job, "", CPU, 64, 0, ms, 100, may_move, 0, "", rack)
        runner.runs.accept(order, "e", self.now)
        for run in runner.runs.pop_startable(self.now):
            runner.runs.started(run, self.now)
        factor = 1.0 if rack in runner.runs.labels else REMOTE_FACTOR
        work_ms = factor * ms * self.rng.uniform(0.6, 1.4)
        runner.work_by_task[task] = runner.left_by_task[task] = work_ms
        self.started_at_by_task[task] = (self.now, runner.id)

    def _work(self, runner):
        done_ms = STEP_S * 1000 * runner.speed / runner.slowdown
        has_end = False
        for task in runner.left_by_task:
            runner.left_by_task[task] -= done_ms
            has_end |= runner.left_by_task[task] <= 0
        if has_end or self.now - runner.seen_at >= _runner_session.RENEWAL_WAIT_MS / 1000:
            runner.seen_at = self.now
            ends = runner.runs.apply_snapshot(runner.snapshot(self.now), self.now, self.now)
            runner.runs.mark_rescheduled(self.now)
            self._report(runner)
            for end in ends:
                self._end(runner, end)

    def _report(self, runner):
        is_slow = runner.runs.is_slow(self.now)
        interval_s = _pool_agent.ALLOCATION_REPORT_INTERVAL_S
        if (is_slow and not runner.was_slow) or self.now - runner.reported_at >= interval_s:
            runner.reported_at = self.now
            slowness, speed = runner.runs.slowness(self.now), runner.runs.speed
            self.scheduler.update_speed(
                runner.id, slowness, self.now, speed=speed.speed, samples=speed.samples
            )
        runner.was_slow = is_slow

    def _end(self, runner, end):
        task, job = end.order.task, end.order.job_id
        self._apply(
            self.scheduler.record_task_end(
                runner.id, task, job, end.how, self.now, slowdown=end.slowdown
            )
        )
        if end.how != "done":
            self.moved.add(task)
            self._submit(job, [int(task.rpartition(".")[2])], (runner.id,))
            return
        self.left_by_job[job] -= 1
        ms = ROUTES[self.route_by_job[job]][1]
        # The objective counts the work of the longest task.
        limit_s = STRETCH * ms * 1.4 / 1000 + TARGET_S
        if not self.left_by_job[job] and self.now - self.arrival_by_job[job] > limit_s:
            self.late[job] = self.now


def health_counts(replay):
    """Return how many runners are in each state of health."""
    states = [each.health.state for each in replay.scheduler.runner_by_id.values()]
    return {state: states.count(state) for state in _runner_health.State}
