"""Dialling side of the connection between two entries: sends requests and awaits replies."""

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import Any

import websockets

from daisyfall import _wire, errors
from daisyfall.connection import _handshake, _outbox, _peer_session

RECONNECT_MIN_SECONDS = 0.05
RECONNECT_MAX_SECONDS = 1.0


class LinkLostError(Exception):
    """The connection ended before the reply; the request may have been handled."""


class NotConnectedError(Exception):
    """There is no connection; the request was not sent."""


class PeerLink:
    """Link to one other entry, kept up by `run`."""

    def __init__(self, peer_id: str, address: str, key: str, hello: _wire.Hello, on_pong: Callable):
        self.peer_id = peer_id
        self.address = address
        self._key = key
        self._hello = hello
        self._on_pong = on_pong
        self._outbox: _outbox.Outbox | None = None
        self._numbers = itertools.count(1)
        self._future_by_request: dict[int, asyncio.Future] = {}
        self.connected = False

    async def run(self, heartbeat: Callable[[int], Any], interval: float, limit: float) -> None:
        """Keep the connection until cancelled."""
        delay = RECONNECT_MIN_SECONDS
        while True:
            try:
                await self._connection(heartbeat, interval, limit)
                delay = RECONNECT_MIN_SECONDS
            except (OSError, TimeoutError, websockets.WebSocketException):
                delay = min(delay * 2, RECONNECT_MAX_SECONDS)
            except _handshake.HandshakeError:
                delay = RECONNECT_MAX_SECONDS
            await asyncio.sleep(delay * random.uniform(0.5, 1.0))

    async def call(self, build: Callable[[int], Any], timeout_seconds: float) -> Any:
        """Send the request `build(number)` and return the reply's body.

        Raises `NotConnectedError` (not sent), `LinkLostError` (unknown, also on
        timeout), `RelinquishedError`, or the `DispatchError` of the other side.
        """
        if self._outbox is None:
            raise NotConnectedError(f"no connection to entry {self.peer_id}")
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._future_by_request[number] = future
        self._outbox.put(build(number))
        try:
            reply = await asyncio.wait_for(future, timeout_seconds)
        except TimeoutError as error:
            raise LinkLostError(f"no reply from entry {self.peer_id} in time") from error
        finally:
            self._future_by_request.pop(number, None)
        return _body_of(reply)

    async def _connection(self, heartbeat: Callable, interval: float, limit: float) -> None:
        async with websockets.connect(
            f"ws://{self.address}",
            compression=None,
            ping_interval=None,
            max_size=_wire.MAX_MESSAGE_BYTES,
            open_timeout=_handshake.HANDSHAKE_TIMEOUT_SECONDS,
        ) as socket:
            welcome = await _handshake.connect(socket, self._key, self._hello)
            if welcome.node_id != self.peer_id:
                raise _handshake.HandshakeError(f"{welcome.node_id} answers for {self.peer_id}")
            outbox = _outbox.Outbox()
            writer = asyncio.create_task(
                outbox.drain(socket, lambda: heartbeat(next(self._numbers)), interval, limit)
            )
            self._outbox, self.connected = outbox, True
            try:
                async for data in socket:
                    outbox.heard()
                    self._settle(_wire.decode(data))
            finally:
                self._outbox, self.connected = None, False
                outbox.close()
                self._fail_all()
                writer.cancel()

    def _settle(self, reply: _wire.Reply) -> None:
        future = self._future_by_request.get(reply.request_id)
        if future is None:
            self._on_pong(self.peer_id, reply)
        elif not future.done():
            future.set_result(reply)

    def _fail_all(self) -> None:
        for future in self._future_by_request.values():
            if not future.done():
                future.set_exception(LinkLostError(f"connection to {self.peer_id} ended"))


def _body_of(reply: _wire.Reply) -> Any:
    if not reply.error:
        return reply.body
    kind, body = reply.error
    if kind == _peer_session.RELINQUISHED:
        raise _peer_session.RelinquishedError
    raise errors.DispatchError(
        errors.Kind(kind),
        body.get("detail", ""),
        field=body.get("field", ""),
        value=body.get("value", ""),
        expected=body.get("expected", ""),
    )
