"""Websocket between two processes of the pool dispatcher, with batching and heartbeats.

A link whose heartbeat timeout has passed is aborted with a TCP reset. The reset drops data in
transit, so no command arrives after its sender has aborted the connection.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import loguru
import websockets

from daisyfall import _clock, _pool_wire, _wire

HANDSHAKE_TIMEOUT_S = 1.0
# Bounds the memory that is used for a peer that does not read.
MAX_UNSENT_MESSAGES = 20_000
MAX_FRAME_BYTES = _wire.MAX_MESSAGE_BYTES


class LinkError(Exception):
    """The link could not be established; the text is the reason."""


@attrs.frozen
class HeartbeatTiming:
    """Interval of the heartbeats sent, and time without a message until the peer is lost."""

    interval_s: float
    heartbeat_timeout_s: float


class Link:
    """Established connection; `peer` is the `Handshake` of the other side."""

    def __init__(self, socket, peer: _pool_wire.Handshake):
        self.peer = peer
        self.opened_at = self.last_received_at = _clock.monotonic()
        self.is_closed = False
        self.close_reason = ""
        self._socket = socket
        self._unsent: list[Any] = []
        self._sent_at = float("-inf")
        self._wake_writer = asyncio.Event()

    def send(self, message: Any) -> None:
        """Queue a message; those queued in one event loop iteration share a frame."""
        if self.is_closed:
            return
        self._unsent.append(message)
        if len(self._unsent) > MAX_UNSENT_MESSAGES:
            self.abort("the peer does not read")
        self._wake_writer.set()

    def abort(self, reason: str) -> None:
        """Reset the connection."""
        if not self.is_closed:
            self.is_closed = True
            self.close_reason = reason
            self._unsent.clear()
            self._wake_writer.set()
            if self._socket.transport is not None:
                self._socket.transport.abort()

    def expire(self, now: float, heartbeat_timeout_s: float) -> None:
        """Reset the connection if the peer's heartbeat timeout has passed."""
        if now - self.last_received_at > heartbeat_timeout_s:
            self.abort(f"silent for more than {heartbeat_timeout_s:.2f} s")

    async def serve(
        self,
        handle: Callable[[Any], None],
        make_heartbeat: Callable[[], Any],
        timing: Callable[[], HeartbeatTiming],
    ) -> None:
        """Pass messages to `handle` until the link ends.

        `make_heartbeat` returns the heartbeat message. `timing` is called before each heartbeat,
        since interval and timeout may change while the link is open.
        """
        writer = asyncio.create_task(self._write(make_heartbeat, timing))
        try:
            async for frame in self._socket:
                if self.is_closed:
                    break
                self.last_received_at = _clock.monotonic()
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

    async def _write(
        self, make_heartbeat: Callable[[], Any], timing: Callable[[], HeartbeatTiming]
    ) -> None:
        """Send queued messages, and a heartbeat at each multiple of the interval.

        All links of a process send their heartbeats at the same time, so that the process wakes
        up once for all of them. A message that was sent in the last half interval replaces the
        heartbeat.
        """
        loop = asyncio.get_running_loop()
        heartbeat_at = 0.0
        while not self.is_closed:
            now = _clock.monotonic()
            if now >= heartbeat_at:
                current = timing()
                self.expire(now, current.heartbeat_timeout_s)
                if now - self._sent_at > current.interval_s / 2:
                    self._unsent.append(make_heartbeat())
                heartbeat_at = (now // current.interval_s + 1) * current.interval_s
                loop.call_later(heartbeat_at - now, self._wake_writer.set)
            self._wake_writer.clear()
            if self._unsent and not await self._flush():
                return
            if not self._unsent:
                await self._wake_writer.wait()

    async def _flush(self) -> bool:
        messages, self._unsent = self._unsent, []
        self._sent_at = _clock.monotonic()
        try:
            await self._socket.send(_wire.encode_batch(messages))
        except websockets.ConnectionClosed as error:
            self.abort(self.close_reason or f"connection lost: {error}")
            return False
        return True


async def dial(address: str, handshake: _pool_wire.Handshake) -> tuple[Any, Link]:
    """Connect to `host:port` and exchange handshakes; raise `LinkError` on failure."""
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            socket = await websockets.connect(
                f"ws://{address}",
                compression=None,
                ping_interval=None,
                max_size=MAX_FRAME_BYTES,
                open_timeout=HANDSHAKE_TIMEOUT_S,
                proxy=None,
            )
    except (OSError, TimeoutError, websockets.WebSocketException) as error:
        raise LinkError(f"{type(error).__name__}: {error}") from error
    try:
        await _send_handshake(socket, handshake)
        return socket, Link(socket, await _receive_handshake(socket))
    except LinkError:
        socket.transport.abort()
        raise


def listen(
    serve: Callable[[Link], Awaitable[None]],
    make_handshake: Callable[[], _pool_wire.Handshake],
    address: str,
    port: int,
):
    """Return a server that passes each link to `serve` after exchanging handshakes."""

    async def accept(socket) -> None:
        try:
            peer = await _receive_handshake(socket)
            await _send_handshake(socket, make_handshake())
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
        open_timeout=HANDSHAKE_TIMEOUT_S,
        close_timeout=HANDSHAKE_TIMEOUT_S,
    )


async def _send_handshake(socket, handshake: _pool_wire.Handshake) -> None:
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            await socket.send(_wire.encode(handshake))
    except (TimeoutError, websockets.ConnectionClosed) as error:
        raise LinkError(f"handshake not sent: {type(error).__name__}") from error


async def _receive_handshake(socket) -> _pool_wire.Handshake:
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            message = _wire.decode(await socket.recv())
    except (TimeoutError, websockets.ConnectionClosed, _wire.WireError) as error:
        raise LinkError(f"no handshake received: {type(error).__name__}: {error}") from error
    if not isinstance(message, _pool_wire.Handshake):
        raise LinkError(f"expected a Handshake, found {type(message).__name__}")
    if message.version != _wire.MAX_VERSION:
        loguru.logger.bind(peer=message.node_id).warning("unknown protocol version of a peer")
        raise LinkError(f"protocol version {message.version} is unknown")
    return message
