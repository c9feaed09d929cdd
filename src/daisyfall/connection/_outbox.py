"""Send queue of a websocket, filled by synchronous code; also sends heartbeats."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

import websockets

from daisyfall import _clock, _codec


class Outbox:
    """Unsent messages of one connection."""

    def __init__(self):
        self._messages: list[Any] = []
        self._wake_writer = asyncio.Event()
        self._closed = False
        self.sent_bytes = 0
        self.last_received_at = _clock.monotonic()

    @property
    def closed(self) -> bool:
        """Whether the connection has ended; further messages are dropped."""
        return self._closed

    def put(self, message: Any) -> None:
        """Queue a message for sending."""
        if not self._closed:
            self._messages.append(message)
            self._wake_writer.set()

    def record_received(self) -> None:
        """Record that a message was received from the peer, for the heartbeat timeout."""
        self.last_received_at = _clock.monotonic()

    def close(self) -> None:
        """Drop unsent messages and end the send loop."""
        self._closed = True
        self._messages.clear()
        self._wake_writer.set()

    async def send_until_closed(
        self,
        socket,
        heartbeat: Callable[[], Any],
        heartbeat_interval: float,
        heartbeat_timeout: float,
    ) -> None:
        """Send messages and heartbeats until the connection ends.

        Closes the connection once nothing was received for `heartbeat_timeout` seconds.
        """
        heartbeat_at = _clock.monotonic() + heartbeat_interval
        while not self._closed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._wake_writer.wait(), max(0.0, heartbeat_at - _clock.monotonic())
                )
            now = _clock.monotonic()
            if now - self.last_received_at > heartbeat_timeout:
                await socket.close(1011, f"silent for more than {heartbeat_timeout} s")
                return
            if now >= heartbeat_at:
                self._messages.append(heartbeat())
                heartbeat_at = now + heartbeat_interval
            self._wake_writer.clear()
            messages, self._messages = self._messages, []
            try:
                for message in messages:
                    data = _codec.encode(message)
                    self.sent_bytes += len(data)
                    await socket.send(data)
            except websockets.ConnectionClosed:
                return
