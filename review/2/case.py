"""One runner after the other turns slow for some seconds, so its tasks are moved to others."""

import asyncio
import gc
import pathlib
import random
import time

from world import deployment, platform

RUNNERS = 7
SLOW_FACTOR = 6.5
SLOW_S, EPISODE_S = 3.0, 6.0
EPISODES = 11
TASKS, TASK_MS = 4, 900
JOBS_PER_S = 12
# "A stop takes at most `StopMs`", which is 50.
STOP_MS = (5.0, 48.0)


class Runner(platform.Runner):
    """A runner whose stops take different times."""

    random_source = random.Random(1)

    def stop_ms(self) -> float:
        return self.random_source.uniform(*STOP_MS)


async def play(record, has_trouble) -> bool:
    platform.Runner = Runner
    gc.disable()  # a pause of this process would be one of all runners
    async with deployment.Deployment(record, entries=3, agents=RUNNERS) as world:
        await world.wait_ready()
        if has_trouble:
            world.spawn(slow_runners(world))
        callers = []
        until = time.monotonic() + EPISODES * EPISODE_S + 2.0
        while time.monotonic() < until:
            callers.append(world.spawn(call(world)))
            await asyncio.sleep(world.random.expovariate(JOBS_PER_S))
        await asyncio.gather(*callers)
        twice = record.overlaps()
        for first, second in twice:
            record.note(
                f"TWICE: {first['task']} run {first['run']} on {first['runner']} from "
                f"{first['began']:.3f} to {first['ended']:.3f} s ({first['how']}), "
                f"run {second['run']} on {second['runner']} from {second['began']:.3f} s"
            )
        record.note(f"{len(record.runs)} runs, {len(twice)} of them beside another run of their task")
        return not twice


async def slow_runners(world):
    runners = list(world.runner_by_agent.values())
    await asyncio.sleep(2.0)
    for number in range(EPISODES):
        runner = runners[number % RUNNERS]
        for factor, seconds in ((SLOW_FACTOR, SLOW_S), (1.0, EPISODE_S - SLOW_S)):
            runner.slow_down(factor)
            world.record.note(f"work on {runner.name} takes {factor} times as long")
            await asyncio.sleep(seconds)


async def call(world):
    path = deployment.PREFIX + world.new_id()
    body = deployment.job(TASK_MS, [deployment.step(TASKS, TASK_MS)])
    await world.call("POST", world.pick(), path, body=body, wait_s=8.0)


deployment.main(play, pathlib.Path(__file__).parent)
