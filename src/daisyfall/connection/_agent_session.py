"""Entry side of the connection to one agent."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

import websockets
from loguru import logger

from daisyfall import _codec, _wire
from daisyfall.connection import _outbox


class AgentEvents(Protocol):
    """Callbacks of an entry for the sessions of its agents."""

    def agent_connected(self, session: "AgentSession") -> None:
        """Start using a session; it replaces a previous session of the same agent."""

    def agent_message(self, session: "AgentSession", message: Any) -> None:
        """Handle one message of the agent."""

    def agent_disconnected(self, session: "AgentSession") -> None:
        """Stop using a session whose connection has ended."""


class AgentSession:
    """Accepted websocket connection of an agent, after the handshake."""

    def __init__(self, hello: _wire.Hello, socket):
        self.agent_id = hello.node_id
        self.incarnation = hello.incarnation
        self.data_centre = hello.data_centre
        self.rack = hello.rack
        self.listed = hello.listed
        self.address = hello.address
        self.status: _wire.AgentStatus | None = None
        self._socket = socket
        self._outbox = _outbox.Outbox()

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self._outbox.closed

    def send(self, message: Any) -> None:
        """Queue a message; it is dropped if the connection has ended."""
        self._outbox.put(message)

    async def run(
        self,
        events: AgentEvents,
        heartbeat: Callable[["AgentSession"], Any],
        heartbeat_interval: float,
        heartbeat_timeout: float,
    ) -> None:
        """Pass messages to `events` and send heartbeats until the connection ends.

        `heartbeat` makes the heartbeat message. Interval and timeout are in seconds.
        """
        writer = asyncio.create_task(
            self._outbox.send_until_closed(
                self._socket, lambda: heartbeat(self), heartbeat_interval, heartbeat_timeout
            )
        )
        events.agent_connected(self)
        try:
            async for data in self._socket:
                self._outbox.record_received()
                events.agent_message(self, _codec.decode(data))
        except websockets.ConnectionClosed:
            pass
        except _codec.WireError as error:
            logger.bind(upstream=self.agent_id, reason=str(error)).warning("invalid message")
        finally:
            self._outbox.close()
            events.agent_disconnected(self)
            await writer

    def close_soon(self) -> None:
        """Start closing the connection; return at once."""
        self._outbox.close()
        self._close_task = asyncio.create_task(self._socket.close())
