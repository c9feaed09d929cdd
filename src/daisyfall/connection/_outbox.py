"""Outgoing side of a websocket: a queue that synchronous code can fill, and the heartbeat."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

import websockets

from daisyfall import _clock, _wire


class Outbox:
    """Messages waiting to be sent on one connection."""

    def __init__(self):
        self._messages: list[Any] = []
        self._ready = asyncio.Event()
        self._closed = False
        self.sent_bytes = 0
        self.last_received_at = _clock.monotonic()

    @property
    def closed(self) -> bool:
        """Tell whether the connection has ended; further messages are dropped."""
        return self._closed

    def put(self, message: Any) -> None:
        """Send a message as soon as the connection takes it."""
        if not self._closed:
            self._messages.append(message)
            self._ready.set()

    def heard(self) -> None:
        """Note that the other side has sent something."""
        self.last_received_at = _clock.monotonic()

    def close(self) -> None:
        """Drop what was not sent."""
        self._closed = True
        self._messages.clear()
        self._ready.set()

    async def drain(
        self, socket, heartbeat: Callable[[], Any], interval: float, limit: float
    ) -> None:
        """Send messages and heartbeats until the connection ends or is silent for `limit` s."""
        beat_at = _clock.monotonic() + interval
        while not self._closed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._ready.wait(), max(0.0, beat_at - _clock.monotonic()))
            now = _clock.monotonic()
            if now - self.last_received_at > limit:
                await socket.close(1011, f"silent for more than {limit} s")
                return
            if now >= beat_at:
                self._messages.append(heartbeat())
                beat_at = now + interval
            self._ready.clear()
            messages, self._messages = self._messages, []
            try:
                for message in messages:
                    data = _wire.encode(message)
                    self.sent_bytes += len(data)
                    await socket.send(data)
            except websockets.ConnectionClosed:
                return
