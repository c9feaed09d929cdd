"""Accepting side of the connection between two entries: answers requests of the peer."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import websockets
from loguru import logger

from daisyfall import _codec, _wire, errors

# Error kind on the wire: the job's shard moved to another entry while the request waited.
RELINQUISHED = "relinquished"

Handler = Callable[[Any], Awaitable[Any]]


class RelinquishedError(Exception):
    """The entry no longer owns the job's shard; the job's outcome is unknown."""


async def serve(socket, handle: Handler) -> None:
    """Answer requests concurrently until the connection ends."""
    tasks: set[asyncio.Task] = set()
    try:
        async for data in socket:
            task = asyncio.create_task(_answer(socket, handle, _codec.decode(data)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
    except websockets.ConnectionClosed:
        pass
    finally:
        for task in tasks:
            task.cancel()


async def _answer(socket, handle: Handler, request) -> None:
    try:
        reply = _wire.Reply(request.request_id, await handle(request), [])
    except errors.DispatchError as error:
        reply = _wire.Reply(request.request_id, None, [error.kind.value, error.as_body()])
    except RelinquishedError:
        reply = _wire.Reply(request.request_id, None, [RELINQUISHED, {}])
    except Exception:
        logger.exception("request of a peer entry failed")
        reply = _wire.Reply(request.request_id, None, [errors.Kind.INTERNAL.value, {}])
    try:
        await socket.send(_codec.encode(reply))
    except websockets.ConnectionClosed:
        return
