"""Measure the CPU cost of the dispatcher: admission, assignment and results of null tasks."""

import random
import time

import fire

from daisyfall import _wire
from daisyfall.process import _settings
from daisyfall.request import _dispatcher, _work
from daisyfall.version import _lists

PLAN = _lists.Allowance(1e9, 10**6, 10**6, 0, 1900, 60_000)
BUYERS = ("ana", "bela", "caro", "dina")
JOB_TASKS = 100
RUN_MS = 0.05


def _build_dispatcher(agents: int) -> _dispatcher.Dispatcher:
    settings = _settings.RoutingSettings()
    jobs = _settings.JobSettings()
    dispatcher = _dispatcher.Dispatcher(settings, jobs, "dc0", random.Random(1))
    buyers = {name: _lists.Buyer(name, "plan", "", "") for name in BUYERS}
    dispatcher.use_lists(_lists.Lists(1, "", buyers, {"plan": PLAN}))
    dispatcher.activated(0, -10.0)
    for number in range(agents):
        location = {"data_centre": f"dc{number % 4}", "rack": f"r{number // 3}"}
        state = _dispatcher.Upstream(str(number), "1", distance_ms=0.5, **location)
        dispatcher.update_upstream(state, 0.0)
    # Until a kind's run time is learnt its tasks are sent one at a time, so run one per buyer.
    for buyer in BUYERS:
        dispatcher.admit(_work.Work(buyer, "j", 0, [_work.Task(0, "null", None, 1)], 50.0), 0.0)
    for batch in dispatcher.assign(0.0):
        dispatcher.finished(batch.work.key, 0, _wire.DONE, RUN_MS, 0.0)
    return dispatcher


def _measure(agents: int, outstanding: int, tasks: int) -> tuple[float, float]:
    """Return the CPU time per task in µs and the number of start messages per job."""
    dispatcher = _build_dispatcher(agents)
    null_tasks = [_work.Task(index, "null", None, 1) for index in range(JOB_TASKS)]
    jobs = [
        _work.Work(BUYERS[n % 4], f"j{n}", 0, list(null_tasks), 50.0)
        for n in range((tasks + outstanding) // JOB_TASKS)
    ]
    now, admitted_jobs, ended_tasks, messages, cpu_started_at = 0.0, 0, -outstanding, 0, 0.0
    while ended_tasks < tasks:
        if ended_tasks >= 0 and not cpu_started_at:  # warm-up is over, the queue is filled
            messages, cpu_started_at = 0, time.process_time()
        now += 0.001
        while (
            admitted_jobs < len(jobs)
            and admitted_jobs * JOB_TASKS - ended_tasks - outstanding < outstanding
        ):
            dispatcher.admit(jobs[admitted_jobs], now)
            admitted_jobs += 1
        agents_used = set()
        for batch in dispatcher.assign(now):
            messages += 1
            ended_tasks += len(batch.tasks)
            agents_used.add(batch.agent_id)
            for task in batch.tasks:
                dispatcher.finished(batch.work.key, task.index, _wire.DONE, RUN_MS, now)
        for agent_id in agents_used:
            dispatcher.update_load(agent_id, 0, 0, now)
    return (time.process_time() - cpu_started_at) / tasks * 1e6, messages / tasks * JOB_TASKS


def measure(agents=(11, 100, 1000), outstanding=(2000, 20_000, 80_000), tasks=100_000) -> None:
    """Print the cost by number of agents and of outstanding tasks."""
    for count in agents:
        for max_outstanding in outstanding:
            cpu_us, messages = _measure(count, max_outstanding, tasks)
            print(
                f"{count} agents, {max_outstanding} outstanding: {cpu_us:.2f} us a task,", end=" "
            )
            print(f"{messages:.2f} messages a job of {JOB_TASKS}")


if __name__ == "__main__":
    fire.Fire(measure)
