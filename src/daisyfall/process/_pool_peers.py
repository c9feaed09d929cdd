"""Other nodes of an entry: one dialling task for each, and the links that are open."""

import asyncio
import contextlib
from typing import Protocol

import attrs
import loguru

from daisyfall import _clock, _pool_wire
from daisyfall.connection import _link

FIRST_BACKOFF_S = 0.1
LONGEST_BACKOFF_S = 1.0


@attrs.frozen
class Node:
    """One process of the system as it is registered; `address` is `host:port`."""

    id: str
    role: str
    address: str


class Handler(Protocol):
    """What the owner of the peers does with their links."""

    def open_to(self, node: Node) -> _pool_wire.Open:
        """Return the first message for a node."""

    def opened(self, node: Node, link: _link.Link) -> None:
        """Take a new link."""

    def received(self, node: Node, link: _link.Link, message) -> None:
        """Take a message."""

    def closed(self, node: Node, link: _link.Link) -> None:
        """Note that a link has ended."""

    def beat(self, node: Node):
        """Return the heartbeat for a node."""

    def rhythm(self, node: Node) -> _link.Rhythm:
        """Return how often to beat towards a node, and when it counts as silent."""


class Peers:
    """Dials all nodes but its own, and redials them as long as they are registered."""

    def __init__(self, own_id: str, handler: Handler):
        self._own_id = own_id
        self._handler = handler
        self.node_by_id: dict[str, Node] = {}
        self.link_by_id: dict[str, _link.Link] = {}
        self._task_by_id: dict[str, asyncio.Task] = {}

    def set_nodes(self, nodes: list[Node]) -> None:
        """Follow the registered nodes: dial new ones, leave those that are gone."""
        wanted = {each.id: each for each in nodes if each.id != self._own_id}
        for node_id, node in list(self.node_by_id.items()):
            if wanted.get(node_id) != node:
                self._leave(node_id)
        self.add_nodes(list(wanted.values()))

    def add_nodes(self, nodes: list[Node]) -> None:
        """Dial nodes that are not known yet."""
        for node in nodes:
            if node.id != self._own_id and node.id not in self.node_by_id:
                self.node_by_id[node.id] = node
                self._task_by_id[node.id] = asyncio.create_task(self._dial_forever(node))

    def expire(self, now: float) -> None:
        """Reset links that are silent; their own tasks may be stuck in a send."""
        for node_id, link in list(self.link_by_id.items()):
            link.expire(now, self._handler.rhythm(self.node_by_id[node_id]).heartbeat_timeout_s)

    def abort_all(self, reason: str) -> None:
        """Reset all links; they are dialled anew."""
        for link in list(self.link_by_id.values()):
            link.abort(reason)

    async def close(self) -> None:
        """Stop dialling and end all links."""
        for node_id in list(self.node_by_id):
            self._leave(node_id)

    def _leave(self, node_id: str) -> None:
        self._task_by_id.pop(node_id).cancel()
        del self.node_by_id[node_id]
        self.link_by_id.pop(node_id, None)

    async def _dial_forever(self, node: Node) -> None:
        backoff_s = FIRST_BACKOFF_S
        while True:
            try:
                socket, link = await _link.dial(node.address, self._handler.open_to(node))
            except _link.LinkError as error:
                loguru.logger.bind(node=node.id, reason=str(error)).debug("dial failed")
                await asyncio.sleep(backoff_s)
                backoff_s = min(2 * backoff_s, LONGEST_BACKOFF_S)
                continue
            with contextlib.closing(_Closer(socket)):
                if link.peer.node_id == node.id:
                    backoff_s = FIRST_BACKOFF_S
                    await self._serve(node, link)
                else:
                    log = loguru.logger.bind(node=node.id, found=link.peer.node_id)
                    log.warning("another node answers at the address")
                    link.abort("another node")
            await asyncio.sleep(backoff_s)

    async def _serve(self, node: Node, link: _link.Link) -> None:
        self.link_by_id[node.id] = link
        opened_at = _clock.monotonic()
        loguru.logger.bind(node=node.id, role=node.role).info("link opened")
        try:
            self._handler.opened(node, link)
            await link.serve(
                lambda message: self._handler.received(node, link, message),
                lambda: self._handler.beat(node),
                lambda: self._handler.rhythm(node),
            )
        finally:
            link.abort("the dialling task ended")
            self.link_by_id.pop(node.id, None)
            open_s = round(_clock.monotonic() - opened_at, 1)
            log = loguru.logger.bind(node=node.id, reason=link.close_reason, open_s=open_s)
            log.info("link closed")
            self._handler.closed(node, link)


class _Closer:
    """Resets a socket when its task ends, however it ends."""

    def __init__(self, socket):
        self._socket = socket

    def close(self) -> None:
        if self._socket.transport is not None:
            self._socket.transport.abort()
