"""Websocket between two processes of the pool dispatcher, with batching and heartbeats.

A link whose heartbeat timeout has passed is aborted with a TCP reset. The reset drops data in
transit, so no command arrives after its sender has aborted the connection.

The owner of a link sets its heartbeat timing, which is short only while the link is needed: a
fleet has a link for each entry and agent, but work on few of them at a time.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import loguru

from daisyfall import _clock, _codec, _pool_wire
from daisyfall.connection import _message_socket

HANDSHAKE_TIMEOUT_S = 1.0
# Bounds the memory that is used for a peer that does not read.
MAX_UNSENT_MESSAGES = 20_000
MAX_FRAME_BYTES = _codec.MAX_MESSAGE_BYTES
# Other messages replace a heartbeat for at most this long, since it also carries state.
MAX_HEARTBEAT_GAP_S = 1.0
# The answer to a peer's heartbeat replaces the next one that is due; if the peer sends no further
# one, this many intervals pass until the next.
INTERVALS_AFTER_ANSWER = 1.25


class LinkError(Exception):
    """The link could not be established; the text is the reason.

    `is_refused` tells that the host is up, but nothing listens there.
    """

    def __init__(self, reason: str, *, is_refused: bool = False):
        super().__init__(reason)
        self.is_refused = is_refused


@attrs.frozen
class HeartbeatTiming:
    """Interval of the heartbeats sent, and time without a message until the peer is lost."""

    interval_s: float
    heartbeat_timeout_s: float


class Link:
    """Established connection; `peer` is the `Handshake` of the other side.

    `timers_fired` counts the wake-ups for heartbeats of this side.
    """

    def __init__(
        self,
        socket: _message_socket.MessageSocket,
        peer: _pool_wire.Handshake,
        count_error: Callable[[str], None],
    ):
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
        self._heartbeat_sent_at = float("-inf")
        self._heartbeat_timer: asyncio.TimerHandle | None = None
        self.timers_fired = 0
        self._is_flush_scheduled = False
        self._loop = asyncio.get_running_loop()
        self._handle: Callable[[Any], None] | None = None
        self._make_heartbeat: Callable[[], Any] | None = None

    def send(self, message: Any) -> None:
        """Queue a message; those queued in one event loop iteration share a frame."""
        if self.is_closed:
            return
        self._unsent.append(message)
        if len(self._unsent) > MAX_UNSENT_MESSAGES:
            self.abort("the peer does not read")
        elif not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._loop.call_soon(self._flush)

    def abort(self, reason: str) -> None:
        """Reset the connection."""
        if not self.is_closed:
            self.is_closed = True
            self.close_reason = reason
            self._unsent.clear()
            if self._heartbeat_timer is not None:
                self._heartbeat_timer.cancel()
            self._socket.abort()

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

    def answer_heartbeat(self, now: float) -> None:
        """Send the next heartbeat now, in the wake-up for a heartbeat of the peer.

        The peers of a process that sends all its heartbeats at the same time then answer together.
        """
        interval_s = self._timing.interval_s
        if self.is_closed or self._make_heartbeat is None or not self._socket.is_writable:
            return
        if now - self._sent_at >= interval_s / 2:
            self._heartbeat_sent_at = now
            self.send(self._make_heartbeat())
        self._set_heartbeat_timer(INTERVALS_AFTER_ANSWER * interval_s)

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
        self._handle, self._make_heartbeat = handle, make_heartbeat
        self._socket.on_writable = self._flush
        try:
            self._socket.deliver_to(self._receive)
            await self._socket.closed_event.wait()
            self.abort(self._socket.close_reason)
        finally:
            self.abort("the handler ended")

    def _receive(self, frame: bytes | str) -> None:
        if self.is_closed:
            return
        self.last_received_at = _clock.monotonic()
        try:
            for message in _codec.decode_batch(frame):
                self._handle(message)
        except _codec.WireError as error:
            self._reject("malformed", error)
        except Exception as error:
            self._reject("unhandled", error)

    def _reject(self, reason: str, error: Exception) -> None:
        self._count_error(reason)
        log = loguru.logger.bind(peer=self.peer.node_id, reason=reason)
        log.opt(exception=error).error("link reset after a bad message")
        self.abort(f"{reason} message: {error}")

    def _fail(self, text: str, error: Exception) -> None:
        """Reset the link after an error of this side."""
        self._count_error("unhandled")
        loguru.logger.bind(peer=self.peer.node_id).opt(exception=error).error(text)
        self.abort(f"{text}: {error}")

    def _schedule_heartbeat(self, now: float) -> None:
        """Schedule the next heartbeat at a multiple of the interval.

        All links of a process send their heartbeats at the same time, so that the process wakes
        up once for all of them.
        """
        interval_s = self._timing.interval_s
        self._set_heartbeat_timer((now // interval_s + 1) * interval_s - now)

    def _set_heartbeat_timer(self, delay_s: float) -> None:
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()
        if not self.is_closed:
            self._heartbeat_timer = self._loop.call_later(delay_s, self._send_heartbeat)

    def _send_heartbeat(self) -> None:
        """Send a heartbeat if one is needed, and schedule the next.

        A message that was sent in the last half interval replaces the heartbeat, but not for
        longer than `MAX_HEARTBEAT_GAP_S`.
        """
        self.timers_fired += 1
        now = _clock.monotonic()
        if self.expire(now):
            return
        is_served = self._make_heartbeat is not None
        if is_served and self._socket.is_writable and self._is_heartbeat_needed(now):
            try:
                self._unsent.append(self._make_heartbeat())
            except Exception as error:
                self._fail("no heartbeat", error)
                return
            self._heartbeat_sent_at = now
            self._flush()
        self._schedule_heartbeat(now)

    def _is_heartbeat_needed(self, now: float) -> bool:
        return (
            now - self._sent_at > self._timing.interval_s / 2
            or now - self._heartbeat_sent_at > MAX_HEARTBEAT_GAP_S
        )

    def _flush(self) -> None:
        """Send the queued messages, unless the peer has to read the earlier ones first."""
        self._is_flush_scheduled = False
        if self._unsent and not self.is_closed and self._socket.is_writable:
            messages, self._unsent = self._unsent, []
            self._sent_at = _clock.monotonic()
            try:
                self._socket.send(_codec.encode_batch(messages))
            except Exception as error:
                # Without the lost messages the peer's state would differ from this side's.
                self._fail("messages not sent", error)


async def dial(
    address: str, handshake: _pool_wire.Handshake, count_error: Callable[[str], None]
) -> Link:
    """Connect to `host:port` and exchange handshakes; raise `LinkError` on failure.

    `count_error` is called with the reason when a message of the peer is rejected.
    """
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            socket = await _message_socket.connect(address, MAX_FRAME_BYTES)
    except _message_socket.CONNECTION_ERRORS as error:
        is_refused = isinstance(error, ConnectionRefusedError)
        raise LinkError(f"{type(error).__name__}: {error}", is_refused=is_refused) from error
    try:
        socket.send(_codec.encode(handshake))
        return Link(socket, await _receive_handshake(socket), count_error)
    except BaseException:
        socket.abort()
        raise


class Listener:
    """Accepts links; leaving the context closes all that are open."""

    def __init__(self, open_server: Callable[[Callable], Awaitable[asyncio.Server]], accept):
        self._open_server = open_server
        self._accept = accept
        self._task_by_socket: dict[_message_socket.MessageSocket, asyncio.Task] = {}

    async def __aenter__(self) -> asyncio.Server:
        self._server = await self._open_server(self._start_accepting)
        return self._server

    async def __aexit__(self, *_error) -> None:
        self._server.close()
        tasks = list(self._task_by_socket.values())
        for socket in list(self._task_by_socket):
            socket.close("the process stops")
        if tasks:
            await asyncio.wait(tasks, timeout=HANDSHAKE_TIMEOUT_S)
        # A peer that doesn't read would hold up the end of the process.
        for socket in list(self._task_by_socket):
            socket.abort()

    def _start_accepting(self, socket: _message_socket.MessageSocket) -> None:
        task = asyncio.create_task(self._accept(socket))
        self._task_by_socket[socket] = task
        task.add_done_callback(lambda _task: self._task_by_socket.pop(socket, None))


def listen(
    serve: Callable[[Link], Awaitable[None]],
    make_handshake: Callable[[], _pool_wire.Handshake],
    address: str,
    port: int,
    count_error: Callable[[str], None],
) -> Listener:
    """Return a listener that passes each link to `serve` after exchanging handshakes.

    `count_error` is called with the reason when a handshake or a message is rejected.
    """

    async def accept(socket: _message_socket.MessageSocket) -> None:
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                await socket.wait_open()
        except (ConnectionError, TimeoutError) as error:
            socket.abort(f"no handshake: {error}")
            return
        try:
            peer = await _receive_handshake(socket)
        except LinkError as error:
            count_error("handshake")
            loguru.logger.bind(reason=str(error)).warning("link refused")
            socket.abort("handshake refused")
            return
        try:
            socket.send(_codec.encode(make_handshake()))
            await serve(Link(socket, peer, count_error))
        except Exception as error:
            count_error("unhandled")
            loguru.logger.opt(exception=error).bind(peer=peer.node_id).error("link failed")
        finally:
            socket.abort("the handler ended")

    return Listener(
        lambda on_connected: _message_socket.listen(address, port, MAX_FRAME_BYTES, on_connected),
        accept,
    )


async def _receive_handshake(socket: _message_socket.MessageSocket) -> _pool_wire.Handshake:
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            message = _codec.decode(await socket.receive())
    except (TimeoutError, ConnectionError, _codec.WireError) as error:
        raise LinkError(f"no handshake received: {type(error).__name__}: {error}") from error
    if not isinstance(message, _pool_wire.Handshake):
        raise LinkError(f"expected a Handshake, found {type(message).__name__}")
    if message.version != _pool_wire.PROTOCOL_VERSION:
        loguru.logger.bind(peer=message.node_id).warning("unknown protocol version of a peer")
        raise LinkError(f"protocol version {message.version} is unknown")
    return message
