"""Faults to inject into a running system, each described by a short text.

Examples: `entry-0 is paused for 2 s`, `the store is down for 3 s`,
`the runner of agent-1 restarts`, `the operator evacuates z1 for 2 s`.
"""

import asyncio
import random
import signal

from daisyfall_standins import platform_world

STOP_TIMEOUT_S = 8.0
RESTART_DELAY_S = 0.5

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
# Calls that fail although the runner goes on with its runs.
CALL_FAULTS = ("is refusing for {s} s", "is losing for {s} s", "is late for {s} s")
STORE_FAULTS = ("is down for {s} s", "is silent for {s} s", "is busy for {s} s", "forgets")
LINK_DELAY_S = 0.15


def random_fault(rng: random.Random, entries: list[str], agents: list[str]) -> str:
    """Return the text of a random fault."""
    duration = round(rng.uniform(0.3, 3.0), 1)
    kind = rng.choices(("entry", "agent", "runner", "store"), (3, 3, 3, 1))[0]
    match kind:
        case "entry":
            text = f"{rng.choice(entries)} {rng.choice(NODE_FAULTS)}"
        case "agent":
            text = f"{rng.choice(agents)} {rng.choice(NODE_FAULTS)}"
        case "runner":
            text = f"the runner of {rng.choice(agents)} {rng.choice(RUNNER_FAULTS)}"
        case _:
            text = f"the store {rng.choice(STORE_FAULTS)}"
    return text.format(s=duration)


def random_call_fault(rng: random.Random, agents: list[str]) -> str:
    """Return the text of a random fault of the calls to a runner."""
    text = f"the runner of {rng.choice(agents)} {rng.choice(CALL_FAULTS)}"
    return text.format(s=round(rng.uniform(0.1, 1.5), 1))


async def inject(world: platform_world.World, fault: str) -> None:
    """Inject a fault and end it after its duration; raise `ValueError` for an unknown fault."""
    event, _, duration = fault.partition(" for ")
    duration_s = float(duration.split()[0]) if duration else 0.0
    if event.startswith("the operator"):
        data_centre = event.rsplit(maxsplit=1)[-1]
        world.operator.evacuate(data_centre)
        await asyncio.sleep(duration_s)
        world.operator.take_back(data_centre)
    elif event.startswith("the store"):
        await _inject_store(world, event, duration_s)
    elif event.startswith("the runner of"):
        await _inject_runner(world, event, duration_s)
    else:
        name, _, action = event.partition(" ")
        await _inject_node(world, name, action, duration_s)


async def _inject_store(world, event: str, duration_s: float) -> None:
    if event.endswith("forgets"):
        world.store.truncate_history()
        return
    world.store.fault = event.rsplit(maxsplit=1)[-1]
    await asyncio.sleep(duration_s)
    world.store.fault = ""


async def _inject_runner(world, event: str, duration_s: float) -> None:
    _, _, _, name, *_, fault = event.split()
    runner = world.runner_by_agent[name]
    if fault == "restarts":
        runner.restart()
        return
    runner.fault = fault
    await asyncio.sleep(duration_s)
    runner.fault = ""


async def _is_serving(world, name: str) -> bool:
    host, _, port = world.proxy_by_node[name].target.partition(":")
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    writer.close()
    return True


async def _inject_node(world, name: str, action: str, duration_s: float) -> None:
    process = world.fleet.process_by_name[name]
    proxy = world.proxy_by_node[name]
    async with world.lock_by_node[name]:
        match action:
            case "is killed":
                process.kill()
                await asyncio.sleep(RESTART_DELAY_S)
                world.fleet.restart(process)
            case "is terminated":
                was_serving = await _is_serving(world, name)
                status = await asyncio.to_thread(process.terminate, STOP_TIMEOUT_S)
                # Before it listens, a process has no SIGTERM handler and is ended by the signal.
                if status != 0 and (was_serving or status != -signal.SIGTERM):
                    world.unexpected_exits.append(f"{name} ended with {status} after SIGTERM")
                world.fleet.restart(process)
            case "is paused":
                process.pause()
                await asyncio.sleep(duration_s)
                process.resume()
            case "is cut off" | "can't be heard" | "hears nothing":
                proxy.fault.cuts_to = action != "can't be heard"
                proxy.fault.cuts_from = action != "hears nothing"
                await asyncio.sleep(duration_s)
                proxy.fault.cuts_to = proxy.fault.cuts_from = False
            case "is delayed":
                proxy.fault.delay_s = LINK_DELAY_S
                await asyncio.sleep(duration_s)
                proxy.fault.delay_s = 0.0
            case "has its links reset":
                proxy.reset()
            case _:
                raise ValueError(f"unknown fault {action!r}, expected one of {NODE_FAULTS}")
