"""Websocket between two processes of the pool dispatcher, with batching and heartbeats.

A link whose heartbeat timeout has passed is aborted with a TCP reset. The reset drops data in
transit, so no command arrives after its sender has aborted the connection.

The owner of a link sets its heartbeat timing, which is short only while the link is needed: a
fleet has a link for each entry and agent, but work on few of them at a time.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import loguru
import websockets

from daisyfall import _clock, _codec, _pool_wire
from daisyfall.connection import _keep_alive, _loop_turns

HANDSHAKE_TIMEOUT_S = 1.0
# Bounds the memory that is used for a peer that does not read.
MAX_UNSENT_MESSAGES = 20_000
MAX_FRAME_BYTES = _codec.MAX_MESSAGE_BYTES
# Other messages replace a heartbeat for at most this long, since it also carries state.
MAX_HEARTBEAT_GAP_S = 1.0
# The kernel resets a connection whose peer acknowledges nothing for idle + count * interval
# seconds, so a dead link is noticed between two rare heartbeats too.
KEEP_ALIVE = _keep_alive.KeepAlive(idle_s=1, interval_s=1, count=2)


class LinkError(Exception):
    """The link could not be established; the text is the reason."""


@attrs.frozen
class HeartbeatTiming:
    """Interval of the heartbeats sent, and time without a message until the peer is lost."""

    interval_s: float
    heartbeat_timeout_s: float


class Link:
    """Established connection; `peer` is the `Handshake` of the other side."""

    def __init__(self, socket, peer: _pool_wire.Handshake, count_error: Callable[[str], None]):
        self.peer = peer
        self.opened_at = self.last_received_at = _clock.monotonic()
        self.is_closed = False
        self.close_reason = ""
        self._socket = socket
        self._count_error = count_error
        self._timing = HeartbeatTiming(float("inf"), float("inf"))
        # The timeout is counted from here if the link got its timing after the last message.
        self._timing_set_at = self.opened_at
        self._unsent: list[Any] = []
        self._sent_at = float("-inf")
        self._heartbeat_at = float("inf")
        self._heartbeat_sent_at = float("-inf")
        self._heartbeat_timer: asyncio.TimerHandle | None = None
        self._wake_writer = asyncio.Event()
        self._turns = _loop_turns.LoopTurns()

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

    @property
    def timing(self) -> HeartbeatTiming:
        """Return the present heartbeat timing."""
        return self._timing

    def set_timing(self, timing: HeartbeatTiming) -> None:
        """Change interval and timeout; a shorter timeout is counted from now."""
        previous, self._timing = self._timing, timing
        if timing == previous:
            return
        now = _clock.monotonic()
        if timing.heartbeat_timeout_s < previous.heartbeat_timeout_s:
            self._timing_set_at = now
        if timing.interval_s < previous.interval_s:
            self._schedule_heartbeat(now)

    def expire(self, now: float) -> bool:
        """Reset the connection if the peer's heartbeat timeout has passed; return whether so."""
        timeout_s = self._timing.heartbeat_timeout_s
        if now - max(self.last_received_at, self._timing_set_at) <= timeout_s:
            return False
        self.abort(f"silent for more than {timeout_s:.2f} s")
        return True

    async def serve(self, handle: Callable[[Any], None], make_heartbeat: Callable[[], Any]) -> None:
        """Pass messages to `handle` until the link ends.

        `make_heartbeat` returns the heartbeat message. A message that can't be decoded, or for
        which `handle` raises, ends the link but not the process.
        """
        writer = asyncio.create_task(self._write(make_heartbeat))
        try:
            async for frame in self._socket:
                if self.is_closed:
                    break
                self.last_received_at = _clock.monotonic()
                for message in _codec.decode_batch(frame):
                    await self._turns.wait()
                    if self.is_closed:
                        break
                    handle(message)
            self.abort(self.close_reason or "closed by the peer")
        except websockets.ConnectionClosed as error:
            self.abort(self.close_reason or f"connection lost: {error}")
        except _codec.WireError as error:
            self._reject("malformed", error)
        except Exception as error:
            self._reject("unhandled", error)
        finally:
            self.abort("the handler ended")
            if self._heartbeat_timer is not None:
                self._heartbeat_timer.cancel()
            writer.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await writer

    def _reject(self, reason: str, error: Exception) -> None:
        self._count_error(reason)
        log = loguru.logger.bind(peer=self.peer.node_id, reason=reason)
        log.opt(exception=error).error("link reset after a bad message")
        self.abort(f"{reason} message: {error}")

    def _schedule_heartbeat(self, now: float) -> None:
        """Schedule the next heartbeat at a multiple of the interval.

        All links of a process send their heartbeats at the same time, so that the process wakes
        up once for all of them.
        """
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()
        interval_s = self._timing.interval_s
        self._heartbeat_at = (now // interval_s + 1) * interval_s
        self._heartbeat_timer = asyncio.get_running_loop().call_later(
            self._heartbeat_at - now, self._wake_writer.set
        )

    async def _write(self, make_heartbeat: Callable[[], Any]) -> None:
        """Send queued messages and heartbeats.

        A message that was sent in the last half interval replaces the heartbeat, but not for
        longer than `MAX_HEARTBEAT_GAP_S`.
        """
        while not self.is_closed:
            now = _clock.monotonic()
            if now >= self._heartbeat_at:
                if self.expire(now):
                    return
                if self._is_heartbeat_needed(now):
                    self._unsent.append(make_heartbeat())
                    self._heartbeat_sent_at = now
                self._schedule_heartbeat(now)
            self._wake_writer.clear()
            if self._unsent and not await self._flush():
                return
            if not self._unsent:
                await self._wake_writer.wait()

    def _is_heartbeat_needed(self, now: float) -> bool:
        return (
            now - self._sent_at > self._timing.interval_s / 2
            or now - self._heartbeat_sent_at > MAX_HEARTBEAT_GAP_S
        )

    async def _flush(self) -> bool:
        messages, self._unsent = self._unsent, []
        self._sent_at = _clock.monotonic()
        try:
            await self._socket.send(_codec.encode_batch(messages))
        except websockets.ConnectionClosed as error:
            self.abort(self.close_reason or f"connection lost: {error}")
            return False
        return True


async def dial(
    address: str, handshake: _pool_wire.Handshake, count_error: Callable[[str], None]
) -> tuple[Any, Link]:
    """Connect to `host:port` and exchange handshakes; raise `LinkError` on failure.

    `count_error` is called with the reason when a message of the peer is rejected.
    """
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
        KEEP_ALIVE.enable(socket.transport.get_extra_info("socket"))
        return socket, Link(socket, await _receive_handshake(socket), count_error)
    except LinkError:
        socket.transport.abort()
        raise


def listen(
    serve: Callable[[Link], Awaitable[None]],
    make_handshake: Callable[[], _pool_wire.Handshake],
    address: str,
    port: int,
    count_error: Callable[[str], None],
):
    """Return a server that passes each link to `serve` after exchanging handshakes.

    `count_error` is called with the reason when a handshake or a message is rejected.
    """

    async def accept(socket) -> None:
        KEEP_ALIVE.enable(socket.transport.get_extra_info("socket"))
        try:
            peer = await _receive_handshake(socket)
            await _send_handshake(socket, make_handshake())
        except LinkError as error:
            count_error("handshake")
            loguru.logger.bind(reason=str(error)).warning("link refused")
            socket.transport.abort()
            return
        await serve(Link(socket, peer, count_error))

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
            await socket.send(_codec.encode(handshake))
    except (TimeoutError, websockets.ConnectionClosed) as error:
        raise LinkError(f"handshake not sent: {type(error).__name__}") from error


async def _receive_handshake(socket) -> _pool_wire.Handshake:
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            message = _codec.decode(await socket.recv())
    except (TimeoutError, websockets.ConnectionClosed, _codec.WireError) as error:
        raise LinkError(f"no handshake received: {type(error).__name__}: {error}") from error
    if not isinstance(message, _pool_wire.Handshake):
        raise LinkError(f"expected a Handshake, found {type(message).__name__}")
    if message.version != _pool_wire.PROTOCOL_VERSION:
        loguru.logger.bind(peer=message.node_id).warning("unknown protocol version of a peer")
        raise LinkError(f"protocol version {message.version} is unknown")
    return message
