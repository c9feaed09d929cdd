"""Another writer on the platform, whose entries name no runner or node."""

import contextlib
import json
import random
import time

import aiohttp

DEEP_LEVELS = 1000
CALL_TIMEOUT_S = 1.0
# Higher than the number of any heartbeat of a runner.
HIGH_SEQUENCE = 2**50


def _nested(levels: int) -> str:
    return "[" * levels + "]" * levels


def random_node_row(rng: random.Random) -> str:
    """Return the value of a row of the table of nodes that names no node."""
    return rng.choice(
        (
            f'{{"role":{_nested(DEEP_LEVELS)},"address":"127.0.0.1:1"}}',
            f'{{"role":"agent","address":{_nested(DEEP_LEVELS)}}}',
            '{"role":"agent","address":"127.0.0.1:65536"}',
            '{"role":"agent","address":"127.0.0.1:99999999999999999999"}',
            '{"role":"agent","address":18446744073709551616}',
            '{"role":"runner","address":"127.0.0.1:9"}',
            "not JSON",
        )
    )


def random_heartbeat(
    rng: random.Random, runner_id: str, description: dict, host: str
) -> tuple[str, str]:
    """Return the id and body of a heartbeat that names no runner, or not the true one.

    It is made from what the runner with this id tells of itself; `host` is that of the runner.
    """
    body = description | {"Sequence": HIGH_SEQUENCE}
    foreign = body | {"Service": "not-named", "Address": f"{host}:8999"}
    without_birth = {name: body[name] for name in body if name != "born"}
    return rng.choice(
        (
            ("i-foreign", json.dumps(foreign | {"born": time.time_ns() // 1_000_000})),
            (runner_id, json.dumps(foreign)),
            (runner_id, json.dumps(body | {"Service": "not-named"})),
            (runner_id, json.dumps(body | {"born": body["born"] + 1})),
            (runner_id, json.dumps(without_birth)),
            (runner_id, json.dumps(body | {"Address": f"{host}:65536"})),
            (runner_id, json.dumps(body | {"Sequence": 2**64})),
            (runner_id, json.dumps(body | {"State": "asleep"})),
            (runner_id, f'{json.dumps(body)[:-1]},"Labels":{_nested(DEEP_LEVELS)}}}'),
            (runner_id, "[" * DEEP_LEVELS),
        )
    )


async def post(session: aiohttp.ClientSession, url: str, document: str) -> None:
    """Post a document; whether it is acknowledged makes no difference to the writer."""
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
        async with session.post(url, data=document, timeout=timeout) as reply:
            await reply.read()
