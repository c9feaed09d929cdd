"""A heartbeat of another writer reaches the agent of one runner that is at work."""

import asyncio
import pathlib
import time

from world import deployment, platform

TASK_MS = 1500
JOBS_PER_S = 4
TASKS_PER_JOB = 4
LOAD_S = 14.0
TROUBLE_AT_S = 5.0


async def play(record, has_trouble) -> bool:
    async with deployment.Deployment(record, entries=3, agents=4) as world:
        await world.wait_ready()
        callers = []
        for number in range(int(LOAD_S * JOBS_PER_S)):
            if has_trouble and number == int(TROUBLE_AT_S * JOBS_PER_S):
                await send_foreign_heartbeat(world)
            callers.append(world.spawn(call(world)))
            await asyncio.sleep(1 / JOBS_PER_S)
        await asyncio.gather(*callers)
        twice = record.overlaps()
        for first, second in twice:
            record.note(
                f"TWICE: {first['task']} run {first['run']} on {first['runner']} "
                f"{first['began']:.3f} to {first['ended']:.3f} s, "
                f"run {second['run']} on {second['runner']} from {second['began']:.3f} s"
            )
        for runner in world.runner_by_agent.values():
            began = [run["began"] for run in record.runs if run["runner"] == runner.name]
            record.note(f"{runner.name}: {len(began)} runs, the last began at {max(began, default=0):.1f} s")
        return not twice


async def call(world):
    path = deployment.PREFIX + world.new_id()
    steps = [deployment.step(TASKS_PER_JOB, TASK_MS)]
    await world.call("POST", world.pick(), path, body=deployment.job(TASK_MS, steps), wait_s=6.0)


async def send_foreign_heartbeat(world):
    """Send one heartbeat of a service that no configuration names; all its fields are well formed."""
    name, runner = next(iter(world.runner_by_agent.items()))
    body = runner.heartbeat() | {
        "Service": "not-named",
        "Address": f"{world.agent_ips[name]}:8999",
        "Sequence": 1,
        "born": time.time_ns() // 1_000_000,
    }
    status = await platform.post_heartbeat(world.session, runner.control, "i-foreign", body)
    world.record.note(f"heartbeat of another writer sent to {name}, answered {status}")


deployment.main(play, pathlib.Path(__file__).parent)
