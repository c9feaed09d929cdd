"""Agent side of the connection to one entry: a receive loop, and a writer that batches results."""

import asyncio
import collections
from typing import Protocol

import websockets.exceptions

from daisyfall import _clock, _codec, _wire

# Shortest time between two frames with results. A result after a longer pause is sent at once.
RESULTS_INTERVAL_SECONDS = 0.001
MAX_RESULTS_PER_FRAME = 1000
# Larger Results frames are split, to keep them below `_codec.MAX_MESSAGE_BYTES`.
MAX_FRAME_BYTES = 8 * 1024 * 1024
# Bounds the memory that is used for an entry that sends heartbeats but doesn't read.
MAX_OUTBOX_LENGTH = 200_000


class Handler(Protocol):
    """Callbacks of an agent for its links."""

    def hello(self) -> _wire.Hello:
        """Return the agent's Hello; the handshake sets version and proof."""

    def load(self) -> tuple[int, int]:
        """Return the numbers of running and queued tasks."""

    def opened(self, link: "EntryLink") -> None:
        """Start using a link after its handshake."""

    def handle(self, link: "EntryLink", message: object) -> None:
        """Handle one message of the entry."""

    def closed(self, link: "EntryLink") -> None:
        """Stop using a link that has ended; its unsent messages are dropped."""


class EntryLink:
    """Established connection to one entry."""

    def __init__(self, socket, entry_id: str, heartbeat_timeout_seconds: float, handler: Handler):
        self.entry_id = entry_id
        self._socket = socket
        self._heartbeat_timeout_seconds = heartbeat_timeout_seconds
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        self._last_received_at = self._loop.time()
        self.opened_at = _clock.monotonic()
        # Messages, and result items as lists. They share a queue because their order matters:
        # it tells the owner whether a result is newer or older than a FenceReport.
        self._outbox: collections.deque = collections.deque()
        self._wake_writer = asyncio.Event()
        self._reported_load: tuple[int, int] = (0, 0)
        self._flushed = asyncio.Event()
        self._flushed.set()
        self.is_open = True

    def send(self, message: object) -> None:
        """Queue a message, or a result item (a list)."""
        self._outbox.append(message)
        self._wake_writer.set()
        self._flushed.clear()
        if len(self._outbox) > MAX_OUTBOX_LENGTH:
            self.abort()

    def abort(self) -> None:
        """Abort the connection without a closing handshake."""
        self._socket.transport.abort()

    async def flush(self) -> None:
        """Wait until the queue has been written."""
        if self.is_open:
            await self._flushed.wait()

    async def serve(self) -> None:
        """Receive until the connection ends; raise `WireError` on an invalid message."""
        writer = asyncio.create_task(self._write())
        watchdog = self._loop.call_later(
            self._heartbeat_timeout_seconds, self._check_heartbeat_timeout
        )
        try:
            self._handler.opened(self)
            async for frame in self._socket:
                self._last_received_at = self._loop.time()
                self._handler.handle(self, _codec.decode(frame))
        except websockets.exceptions.ConnectionClosed:
            pass
        finally:
            watchdog.cancel()
            writer.cancel()
            self._finish()

    def _finish(self) -> None:
        self.is_open = False
        self._flushed.set()
        self._outbox.clear()
        self._handler.closed(self)

    def _check_heartbeat_timeout(self) -> None:
        if not self.is_open:
            return
        timeout_at = self._last_received_at + self._heartbeat_timeout_seconds
        if timeout_at <= self._loop.time():
            self.abort()
            return
        self._loop.call_at(timeout_at, self._check_heartbeat_timeout)

    async def _write(self) -> None:
        try:
            while True:
                await self._wake_writer.wait()
                await asyncio.sleep(0)
                self._wake_writer.clear()
                started_at = self._loop.time()
                had_results = await self._write_outbox()
                if not self._outbox:
                    self._flushed.set()
                if had_results:
                    pause = started_at + RESULTS_INTERVAL_SECONDS - self._loop.time()
                    await asyncio.sleep(max(pause, 0))
        except websockets.exceptions.ConnectionClosed:
            pass  # The receive loop ends as well and calls the handler.

    async def _write_outbox(self) -> bool:
        had_results = False
        while self._outbox:
            first = self._outbox.popleft()
            if isinstance(first, list):
                had_results = True
                await self._write_results(first)
            else:
                await self._socket.send(_codec.encode(first))
        return had_results

    async def _write_results(self, first: list) -> None:
        items = [first]
        while self._outbox and isinstance(self._outbox[0], list):
            if len(items) >= MAX_RESULTS_PER_FRAME:
                break
            items.append(self._outbox.popleft())
        for frame in self._encode_results(items):
            await self._socket.send(frame)

    def report_load(self) -> bool:
        """Send the load if it has changed since the last report; return whether it was sent."""
        load = self._handler.load()
        if load == self._reported_load:
            return False
        self._reported_load = load
        self.send(_wire.Results([], *load))
        return True

    def _encode_results(self, items: list) -> list[bytes]:
        load = self._reported_load = self._handler.load()
        frame = _codec.encode(_wire.Results(items, *load))
        if len(frame) <= MAX_FRAME_BYTES or len(items) == 1:
            return [frame]
        middle = len(items) // 2
        return [*self._encode_results(items[:middle]), *self._encode_results(items[middle:])]
