"""An agent's connection to one entry: receive loop, and one writer that batches results."""

import asyncio
import collections
from typing import Protocol

import websockets.exceptions

from daisyfall import _clock, _wire

# While results keep coming, frames are at least this far apart; the first one goes at once.
RESULTS_INTERVAL_SECONDS = 0.001
RESULTS_PER_FRAME = 1000
# A Results frame above this size is split, so that it stays below `_wire.MAX_MESSAGE_BYTES`.
FRAME_LIMIT_BYTES = 8 * 1024 * 1024
# An entry that sends but doesn't read would otherwise fill the agent's memory.
OUTBOX_LIMIT = 200_000


class Handler(Protocol):
    """What an agent does with its links."""

    def hello(self) -> _wire.Hello:
        """Return the agent's description, without version and proof."""

    def load(self) -> tuple[int, int]:
        """Return the numbers of running and queued tasks."""

    def opened(self, link: "EntryLink") -> None:
        """Use a link that is ready."""

    def handle(self, link: "EntryLink", message: object) -> None:
        """Act on a message of the entry."""

    def closed(self, link: "EntryLink") -> None:
        """Stop using a link; what it did not write is dropped."""


class EntryLink:
    """One connection after its handshake."""

    def __init__(self, socket, entry_id: str, silence_limit_seconds: float, handler: Handler):
        self.entry_id = entry_id
        self._socket = socket
        self._silence_limit_seconds = silence_limit_seconds
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        self._received_at = self._loop.time()
        self.opened_at = _clock.monotonic()
        # Messages, and result items as lists; one queue, since the order between a result
        # and a FenceReport tells the owner which of the two is the later state.
        self._outbox: collections.deque = collections.deque()
        self._wake = asyncio.Event()
        self._reported_load: tuple[int, int] = (0, 0)
        self._idle = asyncio.Event()
        self._idle.set()
        self.is_open = True

    def send(self, message: object) -> None:
        """Queue a message, or a result item as a list."""
        self._outbox.append(message)
        self._wake.set()
        self._idle.clear()
        if len(self._outbox) > OUTBOX_LIMIT:
            self.abort()

    def abort(self) -> None:
        """Cut the connection without a closing handshake."""
        self._socket.transport.abort()

    async def flush(self) -> None:
        """Wait until everything queued was written."""
        if self.is_open:
            await self._idle.wait()

    async def serve(self) -> None:
        """Receive until the connection ends; raise `WireError` on a message not understood."""
        writer = asyncio.create_task(self._write())
        watchdog = self._loop.call_later(self._silence_limit_seconds, self._check_silence)
        try:
            self._handler.opened(self)
            async for frame in self._socket:
                self._received_at = self._loop.time()
                self._handler.handle(self, _wire.decode(frame))
        except websockets.exceptions.ConnectionClosed:
            pass
        finally:
            watchdog.cancel()
            writer.cancel()
            self._finish()

    def _finish(self) -> None:
        self.is_open = False
        self._idle.set()
        self._outbox.clear()
        self._handler.closed(self)

    def _check_silence(self) -> None:
        if not self.is_open:
            return
        silent_until = self._received_at + self._silence_limit_seconds
        if silent_until <= self._loop.time():
            self.abort()
            return
        self._loop.call_at(silent_until, self._check_silence)

    async def _write(self) -> None:
        try:
            while True:
                await self._wake.wait()
                await asyncio.sleep(0)
                self._wake.clear()
                began = self._loop.time()
                had_results = await self._write_outbox()
                if not self._outbox:
                    self._idle.set()
                if had_results:
                    pause = began + RESULTS_INTERVAL_SECONDS - self._loop.time()
                    await asyncio.sleep(max(pause, 0))
        except websockets.exceptions.ConnectionClosed:
            pass  # The receive loop ends too and reports what was not sent.

    async def _write_outbox(self) -> bool:
        had_results = False
        while self._outbox:
            first = self._outbox.popleft()
            if isinstance(first, list):
                had_results = True
                await self._write_results(first)
            else:
                await self._socket.send(_wire.encode(first))
        return had_results

    async def _write_results(self, first: list) -> None:
        items = [first]
        while self._outbox and isinstance(self._outbox[0], list):
            if len(items) >= RESULTS_PER_FRAME:
                break
            items.append(self._outbox.popleft())
        for frame in self._frames(items):
            await self._socket.send(frame)

    def report_load(self) -> bool:
        """Send the load if it has changed since the entry was last told; tell whether it was."""
        load = self._handler.load()
        if load == self._reported_load:
            return False
        self._reported_load = load
        self.send(_wire.Results([], *load))
        return True

    def _frames(self, items: list) -> list[bytes]:
        load = self._reported_load = self._handler.load()
        frame = _wire.encode(_wire.Results(items, *load))
        if len(frame) <= FRAME_LIMIT_BYTES or len(items) == 1:
            return [frame]
        middle = len(items) // 2
        return [*self._frames(items[:middle]), *self._frames(items[middle:])]
