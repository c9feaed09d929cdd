"""One websocket between two of the pool dispatcher's processes, with batches and heartbeats.

A link that is silent for longer than its limit is aborted: a reset drops what is still on its
way, so no order arrives after its sender has given the connection up.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import loguru
import websockets

from daisyfall import _clock, _pool_wire, _wire

OPEN_LIMIT_S = 1.0
# A peer that does not read is cut off before its backlog fills the memory.
MOST_UNSENT = 20_000
MAX_FRAME_BYTES = _wire.MAX_MESSAGE_BYTES


class LinkError(Exception):
    """The link could not be opened; the text is the reason."""


@attrs.frozen
class Rhythm:
    """How often one side is heard at least, and after which silence the other is lost."""

    interval_s: float
    heartbeat_timeout_s: float


class Link:
    """A live connection; `peer` is the other side's Open."""

    def __init__(self, socket, peer: _pool_wire.Open):
        self.peer = peer
        self.opened_at = self.last_heard = _clock.monotonic()
        self.is_closed = False
        self.close_reason = ""
        self._socket = socket
        self._unsent: list[Any] = []
        self._sent_at = float("-inf")
        self._ready = asyncio.Event()

    def send(self, message: Any) -> None:
        """Queue a message; all of one turn of the event loop travel in one frame."""
        if self.is_closed:
            return
        self._unsent.append(message)
        if len(self._unsent) > MOST_UNSENT:
            self.abort("the peer does not read")
        self._ready.set()

    def abort(self, reason: str) -> None:
        """Reset the connection."""
        if not self.is_closed:
            self.is_closed = True
            self.close_reason = reason
            self._unsent.clear()
            self._ready.set()
            if self._socket.transport is not None:
                self._socket.transport.abort()

    def expire(self, now: float, heartbeat_timeout_s: float) -> None:
        """Reset the connection if the peer is silent."""
        if now - self.last_heard > heartbeat_timeout_s:
            self.abort(f"silent for more than {heartbeat_timeout_s:.2f} s")

    async def serve(
        self, handle: Callable[[Any], None], beat: Callable[[], Any], rhythm: Callable[[], Rhythm]
    ) -> None:
        """Pass messages to `handle` until the link ends; `rhythm` may change meanwhile."""
        writer = asyncio.create_task(self._write(beat, rhythm))
        try:
            async for frame in self._socket:
                if self.is_closed:
                    break
                self.last_heard = _clock.monotonic()
                for message in _wire.decode_batch(frame):
                    handle(message)
            self.abort(self.close_reason or "closed by the peer")
        except websockets.ConnectionClosed as error:
            self.abort(self.close_reason or f"connection lost: {error}")
        except _wire.WireError as error:
            self.abort(str(error))
        finally:
            self.abort("the handler ended")
            writer.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await writer

    async def _write(self, beat: Callable[[], Any], rhythm: Callable[[], Rhythm]) -> None:
        """Send what is queued, and a heartbeat at multiples of the interval.

        All links of a process beat at the same moments, which costs one wake-up for all. A
        message that was sent shortly before stands for the heartbeat.
        """
        loop = asyncio.get_running_loop()
        beat_at = 0.0
        while not self.is_closed:
            now = _clock.monotonic()
            if now >= beat_at:
                current = rhythm()
                self.expire(now, current.heartbeat_timeout_s)
                if now - self._sent_at > current.interval_s / 2:
                    self._unsent.append(beat())
                beat_at = (now // current.interval_s + 1) * current.interval_s
                loop.call_later(beat_at - now, self._ready.set)
            self._ready.clear()
            if self._unsent and not await self._flush():
                return
            if not self._unsent:
                await self._ready.wait()

    async def _flush(self) -> bool:
        messages, self._unsent = self._unsent, []
        self._sent_at = _clock.monotonic()
        try:
            await self._socket.send(_wire.encode_batch(messages))
        except websockets.ConnectionClosed as error:
            self.abort(self.close_reason or f"connection lost: {error}")
            return False
        return True


async def dial(address: str, own: _pool_wire.Open) -> tuple[Any, Link]:
    """Connect to `host:port` and exchange Opens; raise `LinkError`."""
    try:
        async with asyncio.timeout(OPEN_LIMIT_S):
            socket = await websockets.connect(
                f"ws://{address}",
                compression=None,
                ping_interval=None,
                max_size=MAX_FRAME_BYTES,
                open_timeout=OPEN_LIMIT_S,
                proxy=None,
            )
    except (OSError, TimeoutError, websockets.WebSocketException) as error:
        raise LinkError(f"{type(error).__name__}: {error}") from error
    try:
        await _send_open(socket, own)
        return socket, Link(socket, await _receive_open(socket))
    except LinkError:
        socket.transport.abort()
        raise


def listen(
    serve: Callable[[Link], Awaitable[None]],
    own: Callable[[], _pool_wire.Open],
    address: str,
    port: int,
):
    """Return a server that exchanges Opens on each connection and passes the link to `serve`."""

    async def accept(socket) -> None:
        try:
            peer = await _receive_open(socket)
            await _send_open(socket, own())
        except LinkError as error:
            loguru.logger.bind(reason=str(error)).warning("link refused")
            socket.transport.abort()
            return
        await serve(Link(socket, peer))

    return websockets.serve(
        accept,
        address,
        port,
        compression=None,
        ping_interval=None,
        max_size=MAX_FRAME_BYTES,
        open_timeout=OPEN_LIMIT_S,
        close_timeout=OPEN_LIMIT_S,
    )


async def _send_open(socket, own: _pool_wire.Open) -> None:
    try:
        async with asyncio.timeout(OPEN_LIMIT_S):
            await socket.send(_wire.encode(own))
    except (TimeoutError, websockets.ConnectionClosed) as error:
        raise LinkError(f"Open not sent: {type(error).__name__}") from error


async def _receive_open(socket) -> _pool_wire.Open:
    try:
        async with asyncio.timeout(OPEN_LIMIT_S):
            message = _wire.decode(await socket.recv())
    except (TimeoutError, websockets.ConnectionClosed, _wire.WireError) as error:
        raise LinkError(f"no Open received: {type(error).__name__}: {error}") from error
    if not isinstance(message, _pool_wire.Open):
        raise LinkError(f"expected an Open, found {type(message).__name__}")
    if message.version != _wire.MAX_VERSION:
        loguru.logger.bind(peer=message.node_id).warning("peer speaks an unknown version")
        raise LinkError(f"protocol version {message.version} is unknown")
    return message
