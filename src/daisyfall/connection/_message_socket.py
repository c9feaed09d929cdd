"""Websocket of a link, driven by the event loop's callbacks.

It uses the Sans-I/O classes of `websockets`. Their `asyncio` counterpart has a task, a queue and
several futures for each connection, which cost more than handling the message itself.
"""

import asyncio
from collections.abc import Callable

from websockets import client, exceptions, frames, http11, protocol, server, uri

from daisyfall.connection import _keep_alive

# The kernel resets a connection whose peer acknowledges nothing for idle + count * interval
# seconds, so a dead link is noticed between two rare heartbeats too.
KEEP_ALIVE = _keep_alive.KeepAlive(idle_s=1, interval_s=1, count=2)
# No more messages are written while this many bytes wait for the peer to read.
MAX_UNWRITTEN_BYTES = 32 * 1024
# An address that is not valid is a `ValueError`.
CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    ValueError,
    OverflowError,  # a port that is out of range
    exceptions.WebSocketException,
)


class MessageSocket(asyncio.Protocol):
    """One websocket connection; `transport` is None until it is connected.

    Messages, a text or bytes each, are kept until `receive` or `deliver_to` is called.
    `on_writable` is called when the peer reads again after `is_writable` was false.
    """

    def __init__(self, websocket: protocol.Protocol, on_connected=None):
        self.transport: asyncio.Transport | None = None
        self.is_writable = True
        self.on_writable: Callable[[], None] = lambda: None
        self.close_reason = ""
        self.closed_event = asyncio.Event()
        self._websocket = websocket
        self._on_connected = on_connected
        self._on_message: Callable[[bytes | str], None] | None = None
        self._received: list[bytes | str] = []
        self._fragments: list[frames.Frame] = []
        self._changed = asyncio.Event()

    async def wait_open(self) -> None:
        """Wait until the websocket is open; raise `ConnectionError` if it has closed."""
        while self._websocket.state is protocol.CONNECTING and not self.closed_event.is_set():
            await self._wait_for_change()
        if self._websocket.state is not protocol.OPEN or self.closed_event.is_set():
            raise ConnectionError(self.close_reason or "no websocket")

    async def receive(self) -> bytes | str:
        """Return the next message; raise `ConnectionError` if there is none any more."""
        while not self._received:
            if self.closed_event.is_set():
                raise ConnectionError(self.close_reason)
            await self._wait_for_change()
        return self._received.pop(0)

    def deliver_to(self, on_message: Callable[[bytes | str], None]) -> None:
        """Pass all messages to `on_message`, beginning with those that were kept."""
        self._on_message = on_message
        received, self._received = self._received, []
        for message in received:
            on_message(message)

    def send(self, data: bytes) -> None:
        """Write a message; the caller respects `is_writable`."""
        if self._websocket.state is protocol.OPEN:
            self._websocket.send_binary(data)
            self._write()

    def abort(self, reason: str = "") -> None:
        """Reset the connection."""
        self.close_reason = self.close_reason or reason
        if self.transport is not None:
            self.transport.abort()

    def close(self, reason: str) -> None:
        """Close the connection when all that was sent has been written."""
        self.close_reason = self.close_reason or reason
        if self._websocket.state is protocol.OPEN:
            self._websocket.send_close(frames.CloseCode.GOING_AWAY)
            self._write()
        if self.transport is not None:
            self.transport.close()

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """See `asyncio.Protocol`; the client begins the handshake."""
        self.transport = transport
        transport.set_write_buffer_limits(high=MAX_UNWRITTEN_BYTES)
        KEEP_ALIVE.enable(transport.get_extra_info("socket"))
        if isinstance(self._websocket, client.ClientProtocol):
            self._websocket.send_request(self._websocket.connect())
            self._write()
        if self._on_connected is not None:
            self._on_connected(self)

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        self._websocket.receive_data(data)
        for event in self._websocket.events_received():
            match event:
                case http11.Request():
                    self._websocket.send_response(self._websocket.accept(event))
                case frames.Frame():
                    self._handle_frame(event)
        self._write()
        self._changed.set()
        error = self._websocket.handshake_exc or self._websocket.parser_exc
        if error is not None:
            self.abort(f"not a websocket message: {error}")
        elif self._websocket.state not in (protocol.CONNECTING, protocol.OPEN):
            self.abort("closed by the peer")

    def pause_writing(self) -> None:
        """See `asyncio.Protocol`."""
        self.is_writable = False

    def resume_writing(self) -> None:
        """See `asyncio.Protocol`."""
        self.is_writable = True
        self.on_writable()

    def connection_lost(self, error: Exception | None) -> None:
        """See `asyncio.Protocol`."""
        lost = f"connection lost: {error}" if error else "closed by the peer"
        self.close_reason = self.close_reason or lost
        self.closed_event.set()
        self._changed.set()

    def _handle_frame(self, frame: frames.Frame) -> None:
        if frame.opcode not in frames.DATA_OPCODES:
            return
        self._fragments.append(frame)
        if not frame.fin:
            return
        parts, self._fragments = self._fragments, []
        message = frame.data if len(parts) == 1 else b"".join(part.data for part in parts)
        if parts[0].opcode is frames.Opcode.TEXT:
            message = bytes(message).decode(errors="replace")
        if self._on_message is not None:
            self._on_message(message)
        else:
            self._received.append(message)

    def _write(self) -> None:
        for data in self._websocket.data_to_send():
            if data and not self.transport.is_closing():
                self.transport.write(data)

    async def _wait_for_change(self) -> None:
        self._changed.clear()
        await self._changed.wait()


async def connect(address: str, max_message_bytes: int) -> MessageSocket:
    """Connect to `host:port`; raise one of `CONNECTION_ERRORS` on failure."""
    host, _, port = address.rpartition(":")
    websocket = client.ClientProtocol(
        uri.WebSocketURI(False, host, int(port), "/", ""), max_size=max_message_bytes
    )
    _, socket = await asyncio.get_running_loop().create_connection(
        lambda: MessageSocket(websocket), host, int(port)
    )
    try:
        await socket.wait_open()
    except BaseException:
        socket.abort()
        raise
    return socket


async def listen(
    address: str, port: int, max_message_bytes: int, on_connected: Callable[[MessageSocket], None]
) -> asyncio.Server:
    """Return a server that passes each new connection, not yet open, to `on_connected`."""
    return await asyncio.get_running_loop().create_server(
        lambda: MessageSocket(server.ServerProtocol(max_size=max_message_bytes), on_connected),
        address,
        port,
    )
