"""Links to the other entries, and the answers to their requests."""

import asyncio
from collections.abc import Callable

from daisyfall import _clock, _wire, errors
from daisyfall.connection import _peer_link
from daisyfall.process import _ownership, _registry, _settings
from daisyfall.request import _carrier, _submission
from daisyfall.version import _publisher

PEER_CALL_SECONDS = 0.5


class Peers:
    """The other entries, as this entry dials and answers them."""

    def __init__(
        self,
        settings: _settings.Settings,
        registry: _registry.Registry,
        publisher: _publisher.Publisher,
        spawn: Callable,
    ):
        self._settings = settings
        self._registry = registry
        self._publisher = publisher
        self._spawn = spawn
        self.carrier: _carrier.Carrier | None = None
        self.link_by_id: dict[str, _peer_link.PeerLink] = {}
        self.version_by_id: dict[str, int] = {}
        self._task_by_id: dict[str, asyncio.Task] = {}

    def follow(self) -> None:
        """Dial the entries that are on the roster and leave those that are not."""
        me = self._settings.id
        wanted = {e.id: e.address for e in self._registry.view.entry_by_id.values() if e.id != me}
        for peer_id in [p for p in self.link_by_id if p not in wanted]:
            self._task_by_id.pop(peer_id).cancel()
            del self.link_by_id[peer_id]
            self.version_by_id.pop(peer_id, None)
        for peer_id, address in wanted.items():
            link = self.link_by_id.get(peer_id)
            if link is not None and link.address == address:
                continue
            if link is not None:
                self._task_by_id.pop(peer_id).cancel()
            self._dial(peer_id, address)

    def _dial(self, peer_id: str, address: str) -> None:
        hello = _wire.Hello(
            _wire.ROLE_ENTRY,
            self._settings.id,
            self._registry.holder[1],
            _wire.MAX_VERSION,
            b"",
            self._settings.data_centre,
            self._settings.peer.advertised,
        )
        key = self._settings.keys[0]
        link = _peer_link.PeerLink(peer_id, address, key, hello, self._take_pong)
        lease = self._settings.lease
        self.link_by_id[peer_id] = link
        self._task_by_id[peer_id] = asyncio.create_task(
            link.run(
                lambda number: _wire.Ping(number, self._publisher.version),
                lease.heartbeat_ms / 1000,
                lease.heartbeat_limit_ms / 1000,
            )
        )

    def _take_pong(self, peer_id: str, reply: _wire.Reply) -> None:
        if not isinstance(reply.body, int):
            return
        self.version_by_id[peer_id] = reply.body
        if reply.body > self._publisher.version:
            self._spawn(self._fetch_lists(peer_id))

    async def _fetch_lists(self, peer_id: str) -> None:
        """Take a newer version from a peer; an entry cut off from the table needs this."""
        link = self.link_by_id.get(peer_id)
        if link is None:
            return
        try:
            found = await link.call(
                lambda number: _wire.OperationRequest(number, "lists", "", ""), PEER_CALL_SECONDS
            )
        except (_peer_link.LinkLostError, _peer_link.NotConnectedError):
            return
        if found:
            self._publisher.adopt(found["head"], found["document"])

    async def promise(
        self, peer: _ownership.Holder, holder: _ownership.Holder, seconds: float
    ) -> bool:
        """Ask a peer for a promise; False unless that incarnation gives it."""
        link = self.link_by_id.get(peer[0])
        if link is None:
            return False
        try:
            return await link.call(
                lambda number: _wire.PromiseRequest(
                    number, holder[0], holder[1], int(seconds * 1000), peer[1]
                ),
                PEER_CALL_SECONDS,
            )
        except (_peer_link.LinkLostError, _peer_link.NotConnectedError, errors.DispatchError):
            return False

    async def query(self, peer: _ownership.Holder, holder: _ownership.Holder) -> float | None:
        """Ask how long a promise still lasts; None if that incarnation can't be asked."""
        link = self.link_by_id.get(peer[0])
        if link is None:
            return None
        try:
            return await link.call(
                lambda number: _wire.PromiseQuery(number, holder[0], holder[1], peer[1]),
                PEER_CALL_SECONDS,
            )
        except (_peer_link.LinkLostError, _peer_link.NotConnectedError, errors.DispatchError):
            return None

    async def handle(self, request):
        """Answer one request of another entry."""
        now = _clock.monotonic()
        match request:
            case _wire.Ping():
                if request.shards_released:
                    self._registry.poke()
                return self._publisher.version
            case _wire.Submit():
                submission = _submission.from_wire(
                    request.buyer, request.job_id, request.deadline_left_ms, request.tasks
                )
                return await self.carrier.settle_here(submission, request.wait)
            case _wire.OperationRequest(operation="lists"):
                return self._publisher.as_document()
            case _wire.OperationRequest():
                return await self.carrier.lookup_here(
                    request.operation, request.buyer, request.job_id, request.wait_ms
                )
            case _wire.PromiseRequest():
                self._check_incarnation(request.peer_incarnation)
                holder = (request.owner_id, request.owner_incarnation)
                return self._registry.promises.grant(holder, request.duration_ms / 1000, now)
            case _wire.PromiseQuery():
                self._check_incarnation(request.peer_incarnation)
                holder = (request.owner_id, request.owner_incarnation)
                return self._registry.promises.query(holder, now)
        raise errors.DispatchError(errors.Kind.PROTOCOL, type(request).__name__)

    def _check_incarnation(self, expected: str) -> None:
        found = self._registry.holder[1]
        if found != expected:
            raise errors.DispatchError(
                errors.Kind.PROTOCOL, f"this is incarnation {found}, not {expected}"
            )

    def ping_all(self) -> None:
        """Let every peer poll the table soon; shards were released."""
        for link in self.link_by_id.values():
            self._spawn(self._ping(link))

    async def _ping(self, link: _peer_link.PeerLink) -> None:
        try:
            await link.call(
                lambda number: _wire.Ping(number, self._publisher.version, True), PEER_CALL_SECONDS
            )
        except (_peer_link.LinkLostError, _peer_link.NotConnectedError):
            return

    def close(self) -> None:
        """End all links."""
        for task in self._task_by_id.values():
            task.cancel()
