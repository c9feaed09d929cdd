"""Faults that are injected into a world from outside, each written as a short text.

`entry-0 is paused for 2 s`, `the store is down for 3 s`, `the runner of agent-1 restarts`.
"""

import asyncio
import random
import signal

from daisyfall_standins import platform_world

STOP_LIMIT_S = 8.0
RESTART_S = 0.5

NODE_FAULTS = (
    "is killed",
    "is terminated",
    "is paused for {s} s",
    "is cut off for {s} s",
    "can't be heard for {s} s",
    "hears nothing for {s} s",
    "is delayed for {s} s",
    "has its links reset",
)
RUNNER_FAULTS = (
    "restarts",
    "is silent for {s} s",
    "is failing for {s} s",
    "is stalled for {s} s",
    "is unanswered for {s} s",
    "is unhealthy for {s} s",
)
STORE_FAULTS = ("is down for {s} s", "is silent for {s} s", "is busy for {s} s", "forgets")
DELAY_S = 0.15


def draw(source: random.Random, entries: list[str], agents: list[str]) -> str:
    """Return a random fault."""
    seconds = round(source.uniform(0.3, 3.0), 1)
    kind = source.choices(("entry", "agent", "runner", "store"), (3, 3, 3, 1))[0]
    match kind:
        case "entry":
            text = f"{source.choice(entries)} {source.choice(NODE_FAULTS)}"
        case "agent":
            text = f"{source.choice(agents)} {source.choice(NODE_FAULTS)}"
        case "runner":
            text = f"the runner of {source.choice(agents)} {source.choice(RUNNER_FAULTS)}"
        case _:
            text = f"the store {source.choice(STORE_FAULTS)}"
    return text.format(s=seconds)


async def inject(world: platform_world.World, fault: str) -> None:
    """Carry out a fault and undo it after its time; raise `ValueError` for an unknown one."""
    what, _, seconds = fault.partition(" for ")
    pause_s = float(seconds.split()[0]) if seconds else 0.0
    if what.startswith("the store"):
        await _inject_store(world, what, pause_s)
    elif what.startswith("the runner of"):
        await _inject_runner(world, what, pause_s)
    else:
        name, _, change = what.partition(" ")
        await _inject_node(world, name, change, pause_s)


async def _inject_store(world, what: str, pause_s: float) -> None:
    if what.endswith("forgets"):
        world.store.truncate_history()
        return
    world.store.fault = what.rsplit(maxsplit=1)[-1]
    await asyncio.sleep(pause_s)
    world.store.fault = ""


async def _inject_runner(world, what: str, pause_s: float) -> None:
    _, _, _, name, *_, fault = what.split()
    runner = world.runner_by_agent[name]
    if fault == "restarts":
        runner.restart()
        return
    runner.fault = fault
    await asyncio.sleep(pause_s)
    runner.fault = ""


async def _is_serving(world, name: str) -> bool:
    host, _, port = world.proxy_by_node[name].target.partition(":")
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    writer.close()
    return True


async def _inject_node(world, name: str, change: str, pause_s: float) -> None:
    process = world.fleet.process_by_name[name]
    proxy = world.proxy_by_node[name]
    async with world.lock_by_node[name]:
        match change:
            case "is killed":
                process.kill()
                await asyncio.sleep(RESTART_S)
                world.fleet.restart(process)
            case "is terminated":
                has_started = await _is_serving(world, name)
                status = await asyncio.to_thread(process.terminate, STOP_LIMIT_S)
                # A process that is told to stop before it listens ends by the signal itself.
                if status != 0 and (has_started or status != -signal.SIGTERM):
                    world.unexpected_exits.append(f"{name} ended with {status} after SIGTERM")
                world.fleet.restart(process)
            case "is paused":
                process.pause()
                await asyncio.sleep(pause_s)
                process.resume()
            case "is cut off" | "can't be heard" | "hears nothing":
                proxy.fault.cuts_to = change != "can't be heard"
                proxy.fault.cuts_from = change != "hears nothing"
                await asyncio.sleep(pause_s)
                proxy.fault.cuts_to = proxy.fault.cuts_from = False
            case "is delayed":
                proxy.fault.delay_s = DELAY_S
                await asyncio.sleep(pause_s)
                proxy.fault.delay_s = 0.0
            case "has its links reset":
                proxy.reset()
            case _:
                raise ValueError(f"unknown fault {change!r}, expected one of {NODE_FAULTS}")
