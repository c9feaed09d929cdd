"""Simulates the dispatcher's routing policies in virtual time, to compare response times.

The dispatcher is the real one; runners are modelled by their slots and a one-way delay.
"""

import heapq
import itertools
import random

import attrs
import fire

from daisyfall import _wire, errors
from daisyfall.process import _settings
from daisyfall.request import _dispatcher, _routing, _work
from daisyfall.version import _lists

AGENTS, SLOTS, DELAY_S = 11, 8, 0.0005
BUYERS = ("ana", "bela", "caro", "dina")
PLAN = _lists.Allowance(1e6, 10**6, 10**6, 0, 1900, 60_000)
SCENARIOS = ("steady", "burst", "straggler", "failing")
RUN_SECONDS_BY_KIND = {f"kind{number}": 0.05 * 1.35**number for number in range(10)}


@attrs.define(eq=False)
class _ModelRunner:
    agent_id: str
    free_slots: int = SLOTS
    queued: list = attrs.Factory(list)
    slow: float = 1.0
    fails: bool = False


@attrs.define(eq=False)
class _ModelJob:
    arrived_at: float
    ideal_s: float
    run_times: list[float]
    ended_tasks: int = 0


class Model:
    """Discrete-event simulation of job arrivals, the dispatcher and the runners."""

    def __init__(self, settings, seed: int, load: float, scenario: str, largest: int) -> None:
        self.scenario, self.largest = scenario, largest
        self.rng, rng = random.Random(seed), random.Random(seed)
        self.dispatcher = _dispatcher.Dispatcher(settings, _settings.JobSettings(), "dc0", rng)
        buyers = {name: _lists.Buyer(name, "plan", "", "") for name in BUYERS}
        self.dispatcher.use_lists(_lists.Lists(1, "", buyers, {"plan": PLAN}))
        self.dispatcher.activated(0, -10.0)
        self.runners = [_ModelRunner(str(number)) for number in range(AGENTS)]
        for number in range(AGENTS):
            state = _dispatcher.Upstream(
                str(number), "1", f"dc{number % 4}", f"r{number // 3}", SLOTS
            )
            self.dispatcher.update_upstream(attrs.evolve(state, distance_ms=DELAY_S * 1000), 0.0)
        mean_job_seconds = (
            sum(RUN_SECONDS_BY_KIND.values()) / len(RUN_SECONDS_BY_KIND) * (1 + largest) / 2
        )
        self.job_rate = load * AGENTS * SLOTS / mean_job_seconds
        self.events, self.sequence, self.jobs, self.response_ratios = [], itertools.count(), {}, []
        self.now, self.wakeup_at, self.failed, self.refused = 0.0, float("inf"), 0, 0

    def _schedule(self, delay: float, callback, *args) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.sequence), callback, args))

    def run(self, seconds: float) -> None:
        """Run a scenario until all jobs have ended; its fault starts after `seconds` / 4."""
        self._schedule(0.0, self._arrive, seconds)
        if fault := {"straggler": ("slow", 10.0), "failing": ("fails", True)}.get(self.scenario):
            self._schedule(seconds / 4, setattr, self.runners[3], *fault)
        for _ in range(400 // self.largest * (self.scenario == "burst")):
            self._schedule(seconds / 4, self._submit, BUYERS[0])
        while self.events:
            self.now, _, callback, args = heapq.heappop(self.events)
            callback(*args)
            if not self.events or self.events[0][0] > self.now:
                self._assign()

    def _arrive(self, arrivals_end: float) -> None:
        self._submit(self.rng.choice(BUYERS))
        if self.now < arrivals_end:
            self._schedule(self.rng.expovariate(self.job_rate), self._arrive, arrivals_end)

    def _submit(self, buyer: str) -> None:
        # Tasks take about 50 ms to 0.9 s; the declared times are random.
        kinds = self.rng.choices(list(RUN_SECONDS_BY_KIND), k=self.rng.randint(1, self.largest))
        run_times = [RUN_SECONDS_BY_KIND[kind] * self.rng.uniform(0.8, 1.2) for kind in kinds]
        tasks = [_work.Task(n, k, None, self.rng.randint(1, 2000)) for n, k in enumerate(kinds)]
        work = _work.Work(buyer, f"j{next(self.sequence)}", 0, tasks, self.now + 30.0)
        ideal_s = max(*run_times, sum(run_times) / (AGENTS * SLOTS)) + 2 * DELAY_S
        self.jobs[work.key] = _ModelJob(self.now, ideal_s, run_times)
        try:
            self.dispatcher.admit(work, self.now)
        except errors.DispatchError:
            self.refused += self.jobs.pop(work.key) is not None

    def _assign(self) -> None:
        for each in self.dispatcher.assign(self.now):
            items = [(each.work.key, task.index) for task in each.tasks]
            self._schedule(DELAY_S, self._receive, self.runners[int(each.agent_id)], items)
        for key in self.dispatcher.pop_expired(self.now):
            self._fail(key)
        due_at = self.dispatcher.next_wakeup(self.now)
        if due_at is not None and not self.now < self.wakeup_at <= due_at:
            self.wakeup_at = max(due_at, self.now + 1e-4)
            # `int` does nothing: the event only makes `run` call `_assign` at that time.
            self._schedule(self.wakeup_at - self.now, int)

    def _fail(self, key) -> None:
        self.dispatcher.remove_job(key)
        self.failed += self.jobs.pop(key, None) is not None

    def _receive(self, runner: _ModelRunner, items: list) -> None:
        runner.queued += items
        while runner.free_slots and runner.queued:
            runner.free_slots -= 1
            key, index = runner.queued.pop(0)
            job = self.jobs.get(key)
            seconds = 0.001 if runner.fails or not job else job.run_times[index] * runner.slow
            result = (key, index, _wire.FAILED if runner.fails else _wire.DONE, seconds * 1000.0)
            self._schedule(seconds, self._finish_task, runner, result)

    def _finish_task(self, runner: _ModelRunner, result: tuple) -> None:
        runner.free_slots += 1
        self._receive(runner, [])
        load = (runner.agent_id, SLOTS - runner.free_slots, len(runner.queued))
        self._schedule(DELAY_S, self._deliver_report, result, load)

    def _deliver_report(self, result: tuple, load: tuple[str, int, int]) -> None:
        self.dispatcher.finished(*result, self.now)
        self.dispatcher.update_load(*load, self.now)
        if result[2] == _wire.FAILED:
            self._fail(result[0])
        elif job := self.jobs.get(result[0]):
            job.ended_tasks += 1
            if job.ended_tasks == len(job.run_times) and self.jobs.pop(result[0]):
                self.response_ratios.append((self.now - job.arrived_at) / job.ideal_s)


def compare(*, load=0.7, seeds=3, largest=20, job_order="fifo", policies=_routing.POLICIES) -> None:
    """Print percentiles of response time over the ideal one, for jobs of up to `largest` tasks."""
    for scenario, policy, seed in itertools.product(SCENARIOS, policies, range(seeds)):
        settings = _settings.RoutingSettings(policy, job_order=job_order)
        model = Model(settings, seed, load, scenario, largest)
        model.run(6.0 * largest)
        response_ratios = sorted(model.response_ratios)
        p50, p99 = (response_ratios[int(len(response_ratios) * share)] for share in (0.5, 0.99))
        print(f"{scenario:9} {policy:17} seed {seed} jobs {len(response_ratios)}", end=" ")
        print(f"p50 {p50:.3f} p99 {p99:.3f} failed {model.failed} refused {model.refused}")


if __name__ == "__main__":
    fire.Fire(compare)
