"""Entry's side of the connection to one agent."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

import websockets
from loguru import logger

from daisyfall import _wire
from daisyfall.connection import _outbox


class AgentEvents(Protocol):
    """What an entry does with the messages of agents."""

    def agent_connected(self, session: "AgentSession") -> None:
        """Take a new session into use; it replaces an older one of the same agent."""

    def agent_message(self, session: "AgentSession", message: Any) -> None:
        """Handle one message."""

    def agent_disconnected(self, session: "AgentSession") -> None:
        """Note that the session has ended."""


class AgentSession:
    """One websocket connection of an agent."""

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
        """Tell whether the connection has ended."""
        return self._outbox.closed

    def send(self, message: Any) -> None:
        """Queue a message; it is dropped if the connection has ended."""
        self._outbox.put(message)

    async def run(
        self,
        events: AgentEvents,
        heartbeat: Callable[["AgentSession"], Any],
        interval: float,
        limit: float,
    ) -> None:
        """Handle messages until the connection ends."""
        writer = asyncio.create_task(
            self._outbox.drain(self._socket, lambda: heartbeat(self), interval, limit)
        )
        events.agent_connected(self)
        try:
            async for data in self._socket:
                self._outbox.heard()
                events.agent_message(self, _wire.decode(data))
        except websockets.ConnectionClosed:
            pass
        except _wire.WireError as error:
            logger.bind(upstream=self.agent_id, reason=str(error)).warning("message refused")
        finally:
            self._outbox.close()
            events.agent_disconnected(self)
            await writer

    def close_soon(self) -> None:
        """End the connection without waiting."""
        self._outbox.close()
        self._closing = asyncio.create_task(self._socket.close())
