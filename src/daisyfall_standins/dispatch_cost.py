"""Measure what admission, assignment and reports of null tasks cost the dispatcher."""

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


def _make(agents: int) -> _dispatcher.Dispatcher:
    settings = _settings.RoutingSettings()
    jobs = _settings.JobSettings()
    dispatcher = _dispatcher.Dispatcher(settings, jobs, "dc0", random.Random(1))
    buyers = {name: _lists.Buyer(name, "plan", "", "") for name in BUYERS}
    dispatcher.use_lists(_lists.Lists(1, "", buyers, {"plan": PLAN}))
    dispatcher.activated(0, -10.0)
    for number in range(agents):
        place = {"data_centre": f"dc{number % 4}", "rack": f"r{number // 3}"}
        state = _dispatcher.Upstream(str(number), "1", distance_ms=0.5, **place)
        dispatcher.update_upstream(state, 0.0)
    # Tasks of a kind that is not learnt go out one by one, so each buyer teaches it first.
    for buyer in BUYERS:
        dispatcher.admit(_work.Work(buyer, "j", 0, [_work.Task(0, "null", None, 1)], 50.0), 0.0)
    for sent in dispatcher.assign(0.0):
        dispatcher.finished(sent.work.key, 0, _wire.DONE, RUN_MS, 0.0)
    return dispatcher


def _measure(agents: int, outstanding: int, tasks: int) -> tuple[float, float]:
    """Return microseconds of processor time for each task, and start messages for each job."""
    dispatcher = _make(agents)
    null_tasks = [_work.Task(index, "null", None, 1) for index in range(JOB_TASKS)]
    jobs = [
        _work.Work(BUYERS[n % 4], f"j{n}", 0, list(null_tasks), 50.0)
        for n in range((tasks + outstanding) // JOB_TASKS)
    ]
    now, admitted, ended, messages, spent = 0.0, 0, -outstanding, 0, 0.0
    while ended < tasks:
        if ended >= 0 and not spent:  # the queue is filled
            messages, spent = 0, time.process_time()
        now += 0.001
        while admitted < len(jobs) and admitted * JOB_TASKS - ended - outstanding < outstanding:
            dispatcher.admit(jobs[admitted], now)
            admitted += 1
        agents_used = set()
        for sent in dispatcher.assign(now):
            messages += 1
            ended += len(sent.tasks)
            agents_used.add(sent.agent_id)
            for task in sent.tasks:
                dispatcher.finished(sent.work.key, task.index, _wire.DONE, RUN_MS, now)
        for agent_id in agents_used:
            dispatcher.update_load(agent_id, 0, 0, now)
    return (time.process_time() - spent) / tasks * 1e6, messages / tasks * JOB_TASKS


def measure(agents=(11, 100, 1000), outstanding=(2000, 20_000, 80_000), tasks=100_000) -> None:
    """Print the cost by number of agents and of tasks outstanding at once."""
    for count in agents:
        for window in outstanding:
            cost_us, messages = _measure(count, window, tasks)
            print(f"{count} agents, {window} outstanding: {cost_us:.2f} us a task,", end=" ")
            print(f"{messages:.2f} messages a job of {JOB_TASKS}")


if __name__ == "__main__":
    fire.Fire(measure)
