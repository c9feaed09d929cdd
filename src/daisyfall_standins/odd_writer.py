"""Another writer on the platform: leaves entries that name no runner or node, and odd requests."""

import base64
import contextlib
import json
import random
import time

import aiohttp

DEEP_LEVELS = 1000
CALL_TIMEOUT_S = 1.0
# Like the numbers of the platform, but higher than any true one.
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


def random_heartbeat(rng: random.Random, heartbeat: dict, host: str) -> tuple[str, str]:
    """Return the id and body of a heartbeat that names no runner, made from a runner's own one."""
    body = heartbeat | {"Sequence": HIGH_SEQUENCE}
    foreign = body | {"Service": "not-named", "Address": f"{host}:8999"}
    changes = (
        ("i-foreign", json.dumps(foreign | {"born": time.time_ns() // 1_000_000})),
        ("", json.dumps(foreign)),
        ("", json.dumps(body | {"Service": "not-named"})),
        ("", json.dumps(body | {"born": body["born"] + 1})),
        ("", json.dumps(body | {"Address": f"{host}:65536"})),
        ("", json.dumps(body | {"Sequence": 2**64})),
        ("", json.dumps(body | {"State": "asleep"})),
        ("", json.dumps(body | {"Labels": 0})[:-2] + _nested(DEEP_LEVELS) + "}"),
        ("", "[" * DEEP_LEVELS),
    )
    return rng.choice(changes)


def encode_row(value: str) -> str:
    """Return the value of a row as the store keeps it."""
    return base64.b64encode(value.encode()).decode()


async def post(session: aiohttp.ClientSession, url: str, document: str) -> None:
    """Post a document; whether it is acknowledged makes no difference to the writer."""
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
        async with session.post(url, data=document, timeout=timeout) as reply:
            await reply.read()
