"""Accepting side of the connection between two entries: answers the other one's requests."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import websockets
from loguru import logger

from daisyfall import _wire, errors

RELINQUISHED = "relinquished"  # the job's shard went to another entry while it was waiting

Handler = Callable[[Any], Awaitable[Any]]


class RelinquishedError(Exception):
    """The shard of the job is no longer owned here; nothing is known of the outcome."""


async def serve(socket, handle: Handler) -> None:
    """Answer requests until the connection ends; each one may wait on its own."""
    running: set[asyncio.Task] = set()
    try:
        async for data in socket:
            task = asyncio.create_task(_answer(socket, handle, _wire.decode(data)))
            running.add(task)
            task.add_done_callback(running.discard)
    except websockets.ConnectionClosed:
        pass
    finally:
        for task in running:
            task.cancel()


async def _answer(socket, handle: Handler, request) -> None:
    try:
        reply = _wire.Reply(request.request_id, await handle(request), [])
    except errors.DispatchError as error:
        reply = _wire.Reply(request.request_id, None, [error.kind.value, error.as_body()])
    except RelinquishedError:
        reply = _wire.Reply(request.request_id, None, [RELINQUISHED, {}])
    except Exception:
        logger.exception("request of another entry failed")
        reply = _wire.Reply(request.request_id, None, [errors.Kind.INTERNAL.value, {}])
    try:
        await socket.send(_wire.encode(reply))
    except websockets.ConnectionClosed:
        return
