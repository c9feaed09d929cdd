"""Links of an entry to the other nodes, each kept open by a task that dials its node."""

import asyncio
from typing import Protocol

import attrs
import loguru

from daisyfall import _clock, _pool_wire
from daisyfall.connection import _link
from daisyfall.process import _dial_order

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
# A host that refuses a connection is up, and its process probably starts: it is dialled this many
# times before the intervals grow.
QUICK_REDIALS = 10
# A dial in progress for less than this time is not started anew, as the peer may be busy.
MAX_DIAL_S = 0.5
# Shortest time between two dials of a node.
MIN_REDIAL_S = 0.03


@attrs.frozen
class Node:
    """A registered entry or agent process; `address` is `host:port`."""

    id: str
    role: str
    address: str


class Handler(Protocol):
    """Callbacks of `PoolPeers` for the links to its nodes."""

    def handshake(self, node: Node) -> _pool_wire.Handshake:
        """Return the first message for a node."""

    def on_opened(self, node: Node, link: _link.Link) -> None:
        """Handle a new link, and set its heartbeat timing."""

    def on_message(self, node: Node, link: _link.Link, message) -> None:
        """Handle a message."""

    def on_closed(self, node: Node, link: _link.Link) -> None:
        """Handle the end of a link."""

    def heartbeat(self, node: Node):
        """Return the heartbeat for a node."""

    def count_link_error(self, reason: str) -> None:
        """Count a rejected message."""


class PoolPeers:
    """Keeps links open to all registered nodes except this one, redialling them as needed."""

    def __init__(self, own_id: str, handler: Handler):
        self._own_id = own_id
        self._handler = handler
        self.node_by_id: dict[str, Node] = {}
        self.link_by_id: dict[str, _link.Link] = {}
        self.are_nodes_known = False
        self._dial_task_by_id: dict[str, asyncio.Task] = {}
        self._dialled_at_by_id: dict[str, float] = {}
        self._dialling: set[str] = set()
        self._order = _dial_order.DialOrder()

    def set_nodes(self, nodes: list[Node]) -> None:
        """Dial newly registered nodes and close the links to those no longer registered."""
        registered = {node.id: node for node in nodes if node.id != self._own_id}
        for node_id, node in list(self.node_by_id.items()):
            if registered.get(node_id) != node:
                self._remove(node_id)
        self.add_nodes(list(registered.values()))

    def add_nodes(self, nodes: list[Node]) -> None:
        """Dial nodes that are not known yet."""
        self.are_nodes_known = True
        new_nodes = [
            node for node in nodes if node.id != self._own_id and node.id not in self.node_by_id
        ]
        # In this order, so that the entries get the first turns.
        for node in sorted(new_nodes, key=_urgency):
            self.node_by_id[node.id] = node
            self._start_dialling(node, _urgency(node))

    def redial(self, node_id: str) -> None:
        """Dial a node at once, unless its link is open or it has just been dialled."""
        limit_s = MAX_DIAL_S if node_id in self._dialling else MIN_REDIAL_S
        dialled_at = self._dialled_at_by_id.get(node_id, float("-inf"))
        is_dialled = _clock.monotonic() - dialled_at < limit_s
        if node_id in self.node_by_id and node_id not in self.link_by_id and not is_dialled:
            self._dial_task_by_id[node_id].cancel()
            self._start_dialling(self.node_by_id[node_id], _dial_order.Urgency.NEEDED)

    def _start_dialling(self, node: Node, urgency: _dial_order.Urgency) -> None:
        self._dial_task_by_id[node.id] = asyncio.create_task(self._dial_forever(node, urgency))

    def ids(self, role: str) -> set[str]:
        """Return the ids of the registered nodes of a role, but for this one."""
        return {node.id for node in self.node_by_id.values() if node.role == role}

    def links(self, role: str) -> list[tuple[Node, _link.Link]]:
        """Return the nodes of a role to which a link is open, each with the link."""
        return [
            (self.node_by_id[node_id], link)
            for node_id, link in self.link_by_id.items()
            if self.node_by_id[node_id].role == role
        ]

    def expire(self, now: float) -> None:
        """Reset links past their heartbeat timeout, whose own tasks may be blocked in a send."""
        for link in list(self.link_by_id.values()):
            link.expire(now)

    def abort_all(self, reason: str) -> None:
        """Reset all links; they are redialled."""
        for link in list(self.link_by_id.values()):
            link.abort(reason)

    async def close(self) -> None:
        """Stop dialling and close all links."""
        for node_id in list(self.node_by_id):
            self._remove(node_id)

    def _remove(self, node_id: str) -> None:
        self._dial_task_by_id.pop(node_id).cancel()
        del self.node_by_id[node_id]
        self._dialled_at_by_id.pop(node_id, None)
        self.link_by_id.pop(node_id, None)

    async def _dial_forever(self, node: Node, urgency: _dial_order.Urgency) -> None:
        backoff_s = INITIAL_BACKOFF_S
        refused = 0
        while True:
            try:
                link = await self._dial(node, urgency)
            except _link.LinkError as error:
                loguru.logger.bind(node=node.id, reason=str(error)).debug("dial failed")
                urgency = _dial_order.Urgency.FAILED
                await asyncio.sleep(backoff_s)
                refused += error.is_refused
                if not error.is_refused or refused >= QUICK_REDIALS:
                    backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
                continue
            if link.peer.node_id == node.id:
                backoff_s, refused = INITIAL_BACKOFF_S, 0
                try:
                    await self._serve(node, link)
                except Exception as error:
                    log = loguru.logger.bind(node=node.id).opt(exception=error)
                    log.error("link failed")
                    self._handler.count_link_error("unhandled")
            else:
                log = loguru.logger.bind(node=node.id, found=link.peer.node_id)
                log.warning("another node answered at this address")
                link.abort("another node answered")
            await asyncio.sleep(backoff_s)

    async def _dial(self, node: Node, urgency: _dial_order.Urgency) -> _link.Link:
        async with self._order.turn(urgency):
            self._dialled_at_by_id[node.id] = _clock.monotonic()
            self._dialling.add(node.id)
            try:
                handshake = self._handler.handshake(node)
                return await _link.dial(node.address, handshake, self._handler.count_link_error)
            finally:
                self._dialling.discard(node.id)

    async def _serve(self, node: Node, link: _link.Link) -> None:
        self.link_by_id[node.id] = link
        opened_at = _clock.monotonic()
        loguru.logger.bind(node=node.id, role=node.role).info("link opened")
        try:
            self._handler.on_opened(node, link)
            await link.serve(
                lambda message: self._handler.on_message(node, link, message),
                lambda: self._handler.heartbeat(node),
            )
        finally:
            link.abort("the dial task ended")
            self.link_by_id.pop(node.id, None)
            open_s = round(_clock.monotonic() - opened_at, 1)
            log = loguru.logger.bind(node=node.id, reason=link.close_reason, open_s=open_s)
            log.info("link closed")
            self._handler.on_closed(node, link)


def _urgency(node: Node) -> _dial_order.Urgency:
    is_entry = node.role == _pool_wire.ROLE_ENTRY
    return _dial_order.Urgency.ENTRY if is_entry else _dial_order.Urgency.AGENT
