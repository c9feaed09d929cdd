"""Dialling side of the connection between two entries: an RPC client."""

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import Any

import websockets

from daisyfall import _codec, _wire, errors
from daisyfall.connection import _handshake, _outbox, _peer_session

RECONNECT_MIN_SECONDS = 0.05
RECONNECT_MAX_SECONDS = 1.0


class LinkLostError(Exception):
    """No reply arrived before the connection ended or a timeout; the peer may have acted."""


class NotConnectedError(Exception):
    """There is no connection; the request was not sent."""


class PeerLink:
    """Connection to one other entry, which `run` re-establishes when it is lost."""

    def __init__(
        self, peer_id: str, address: str, key: str, hello: _wire.Hello, on_heartbeat_reply: Callable
    ):
        self.peer_id = peer_id
        self.address = address
        self._key = key
        self._hello = hello
        self._on_heartbeat_reply = on_heartbeat_reply
        self._outbox: _outbox.Outbox | None = None
        self._request_ids = itertools.count(1)
        self._future_by_request: dict[int, asyncio.Future] = {}
        self.connected = False

    async def run(
        self,
        heartbeat: Callable[[int], Any],
        heartbeat_interval: float,
        heartbeat_timeout: float,
    ) -> None:
        """Connect, and reconnect with backoff, until cancelled.

        `heartbeat` makes the heartbeat message from a request id.
        """
        delay = RECONNECT_MIN_SECONDS
        while True:
            try:
                await self._serve_connection(heartbeat, heartbeat_interval, heartbeat_timeout)
                delay = RECONNECT_MIN_SECONDS
            except (OSError, TimeoutError, websockets.WebSocketException):
                delay = min(delay * 2, RECONNECT_MAX_SECONDS)
            except _handshake.HandshakeError:
                delay = RECONNECT_MAX_SECONDS
            await asyncio.sleep(delay * random.uniform(0.5, 1.0))

    async def call(self, make_request: Callable[[int], Any], timeout_seconds: float) -> Any:
        """Send the request that `make_request` makes from its id; return the reply's body.

        Raises `NotConnectedError` if it was not sent, `LinkLostError` if the connection is lost
        or the timeout passes (the peer may have acted), `RelinquishedError`, or the
        `DispatchError` that the peer replied with.
        """
        if self._outbox is None:
            raise NotConnectedError(f"no connection to entry {self.peer_id}")
        request_id = next(self._request_ids)
        future = asyncio.get_running_loop().create_future()
        self._future_by_request[request_id] = future
        self._outbox.put(make_request(request_id))
        try:
            reply = await asyncio.wait_for(future, timeout_seconds)
        except TimeoutError as error:
            raise LinkLostError(f"no reply from entry {self.peer_id} in time") from error
        finally:
            self._future_by_request.pop(request_id, None)
        return _unwrap(reply)

    async def _serve_connection(
        self, heartbeat: Callable, heartbeat_interval: float, heartbeat_timeout: float
    ) -> None:
        async with websockets.connect(
            f"ws://{self.address}",
            compression=None,
            ping_interval=None,
            max_size=_codec.MAX_MESSAGE_BYTES,
            open_timeout=_handshake.HANDSHAKE_TIMEOUT_SECONDS,
        ) as socket:
            welcome = await _handshake.connect(socket, self._key, self._hello)
            if welcome.node_id != self.peer_id:
                raise _handshake.HandshakeError(f"{welcome.node_id} answers for {self.peer_id}")
            outbox = _outbox.Outbox()
            writer = asyncio.create_task(
                outbox.send_until_closed(
                    socket,
                    lambda: heartbeat(next(self._request_ids)),
                    heartbeat_interval,
                    heartbeat_timeout,
                )
            )
            self._outbox, self.connected = outbox, True
            try:
                async for data in socket:
                    outbox.record_received()
                    self._handle_reply(_codec.decode(data))
            finally:
                self._outbox, self.connected = None, False
                outbox.close()
                self._fail_pending()
                writer.cancel()

    def _handle_reply(self, reply: _wire.Reply) -> None:
        future = self._future_by_request.get(reply.request_id)
        if future is None:  # a heartbeat's reply, or one that came after the timeout
            self._on_heartbeat_reply(self.peer_id, reply)
        elif not future.done():
            future.set_result(reply)

    def _fail_pending(self) -> None:
        for future in self._future_by_request.values():
            if not future.done():
                future.set_exception(LinkLostError(f"connection to {self.peer_id} ended"))


def _unwrap(reply: _wire.Reply) -> Any:
    """Return the body of a reply, or raise its error."""
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
