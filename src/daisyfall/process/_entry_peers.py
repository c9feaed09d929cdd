"""Links to the other entries: calls to them and the handling of their requests."""

import asyncio
from collections.abc import Callable

from daisyfall import _clock, _wire, errors
from daisyfall.connection import _peer_link
from daisyfall.process import _ownership, _settings, _shard_manager
from daisyfall.request import _forwarder, _submission
from daisyfall.version import _publisher

CALL_TIMEOUT_SECONDS = 0.5


class EntryPeers:
    """Dials the other entries and answers their requests."""

    def __init__(
        self,
        settings: _settings.Settings,
        shard_manager: _shard_manager.ShardManager,
        publisher: _publisher.Publisher,
        spawn: Callable,
    ):
        self._settings = settings
        self._shard_manager = shard_manager
        self._publisher = publisher
        self._spawn = spawn
        self.forwarder: _forwarder.Forwarder | None = None
        self.link_by_id: dict[str, _peer_link.PeerLink] = {}
        self.version_by_id: dict[str, int] = {}
        self._link_task_by_id: dict[str, asyncio.Task] = {}

    def follow(self) -> None:
        """Dial new entries and close the links to entries that are no longer registered."""
        own_id = self._settings.id
        address_by_id = {
            entry.id: entry.address
            for entry in self._shard_manager.view.entry_by_id.values()
            if entry.id != own_id
        }
        for peer_id in [
            linked_id for linked_id in self.link_by_id if linked_id not in address_by_id
        ]:
            self._link_task_by_id.pop(peer_id).cancel()
            del self.link_by_id[peer_id]
            self.version_by_id.pop(peer_id, None)
        for peer_id, address in address_by_id.items():
            link = self.link_by_id.get(peer_id)
            if link is not None and link.address == address:
                continue
            if link is not None:
                self._link_task_by_id.pop(peer_id).cancel()
            self._dial(peer_id, address)

    def _dial(self, peer_id: str, address: str) -> None:
        hello = _wire.Hello(
            _wire.ROLE_ENTRY,
            self._settings.id,
            self._shard_manager.instance_id[1],
            _wire.MAX_VERSION,
            b"",
            self._settings.data_centre,
            self._settings.peer.advertised,
        )
        key = self._settings.keys[0]
        link = _peer_link.PeerLink(peer_id, address, key, hello, self._on_pong)
        lease = self._settings.lease
        self.link_by_id[peer_id] = link
        self._link_task_by_id[peer_id] = asyncio.create_task(
            link.run(
                lambda number: _wire.Ping(number, self._publisher.version),
                lease.heartbeat_ms / 1000,
                lease.heartbeat_limit_ms / 1000,
            )
        )

    def _on_pong(self, peer_id: str, reply: _wire.Reply) -> None:
        if not isinstance(reply.body, int):
            return
        self.version_by_id[peer_id] = reply.body
        if reply.body > self._publisher.version:
            self._spawn(self._fetch_lists(peer_id))

    async def _fetch_lists(self, peer_id: str) -> None:
        """Fetch newer lists from a peer, for an entry that can't reach the table."""
        link = self.link_by_id.get(peer_id)
        if link is None:
            return
        try:
            found = await link.call(
                lambda number: _wire.OperationRequest(number, "lists", "", ""), CALL_TIMEOUT_SECONDS
            )
        except (_peer_link.LinkLostError, _peer_link.NotConnectedError):
            return
        if found:
            self._publisher.activate_version(found["head"], found["document"])

    async def request_promise(
        self, peer: _ownership.InstanceId, owner: _ownership.InstanceId, seconds: float
    ) -> bool:
        """Ask a peer not to take over from `owner`; return whether that incarnation promised it."""
        link = self.link_by_id.get(peer[0])
        if link is None:
            return False
        try:
            return await link.call(
                lambda number: _wire.PromiseRequest(
                    number, owner[0], owner[1], int(seconds * 1000), peer[1]
                ),
                CALL_TIMEOUT_SECONDS,
            )
        except (_peer_link.LinkLostError, _peer_link.NotConnectedError, errors.DispatchError):
            return False

    async def query_promise(
        self, peer: _ownership.InstanceId, owner: _ownership.InstanceId
    ) -> float | None:
        """Return how many seconds a peer's promise lasts; None if that incarnation can't answer."""
        link = self.link_by_id.get(peer[0])
        if link is None:
            return None
        try:
            return await link.call(
                lambda number: _wire.PromiseQuery(number, owner[0], owner[1], peer[1]),
                CALL_TIMEOUT_SECONDS,
            )
        except (_peer_link.LinkLostError, _peer_link.NotConnectedError, errors.DispatchError):
            return None

    async def handle(self, request):
        """Return the answer to a request of another entry."""
        now = _clock.monotonic()
        match request:
            case _wire.Ping():
                if request.shards_released:
                    self._shard_manager.request_poll()
                return self._publisher.version
            case _wire.Submit():
                submission = _submission.from_wire(
                    request.buyer, request.job_id, request.deadline_left_ms, request.tasks
                )
                return await self.forwarder.submit_local(submission, request.wait)
            case _wire.OperationRequest(operation="lists"):
                return self._publisher.as_document()
            case _wire.OperationRequest():
                return await self.forwarder.lookup_local(
                    request.operation, request.buyer, request.job_id, request.wait_ms
                )
            case _wire.PromiseRequest():
                self._check_incarnation(request.peer_incarnation)
                owner = (request.owner_id, request.owner_incarnation)
                return self._shard_manager.promises.grant(owner, request.duration_ms / 1000, now)
            case _wire.PromiseQuery():
                self._check_incarnation(request.peer_incarnation)
                owner = (request.owner_id, request.owner_incarnation)
                return self._shard_manager.promises.query_promise(owner, now)
        raise errors.DispatchError(errors.Kind.PROTOCOL, type(request).__name__)

    def _check_incarnation(self, expected: str) -> None:
        found = self._shard_manager.instance_id[1]
        if found != expected:
            raise errors.DispatchError(
                errors.Kind.PROTOCOL, f"this is incarnation {found}, not {expected}"
            )

    def announce_release(self) -> None:
        """Make every peer poll the table soon, as shards were released."""
        for link in self.link_by_id.values():
            self._spawn(self._ping(link))

    async def _ping(self, link: _peer_link.PeerLink) -> None:
        try:
            await link.call(
                lambda number: _wire.Ping(number, self._publisher.version, True),
                CALL_TIMEOUT_SECONDS,
            )
        except (_peer_link.LinkLostError, _peer_link.NotConnectedError):
            return

    def close(self) -> None:
        """Close all links."""
        for task in self._link_task_by_id.values():
            task.cancel()
