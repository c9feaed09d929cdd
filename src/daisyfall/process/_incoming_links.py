"""Links that other entries dialled to this one: their placement requests and heartbeats."""

from collections.abc import Callable

import attrs
import loguru

from daisyfall import _clock, _pool_wire
from daisyfall.connection import _link
from daisyfall.process import (
    _entry_heartbeats,
    _leadership,
    _placement_service,
    _pool_peers,
    _shared_state,
)
from daisyfall.request import _pool_job_manager


@attrs.define(eq=False, kw_only=True)
class IncomingLinks:
    """Serves the links, which `link_by_id` holds; `check_pause` is called before each message."""

    link_by_id: dict[str, _link.Link]
    _jobs: _pool_job_manager.PoolJobManager
    _placement: _placement_service.PlacementService
    _leadership: _leadership.Leadership
    _heartbeats: _entry_heartbeats.EntryHeartbeats
    _shared: _shared_state.SharedState
    _peers: _pool_peers.PoolPeers
    _check_pause: Callable[[], None]

    async def serve(self, link: _link.Link) -> None:
        """Serve a link until it ends; then drop what its entry has requested."""
        peer_id = link.peer.node_id
        previous = self.link_by_id.get(peer_id)
        if previous is not None:
            previous.abort("the entry opened a new link")
        self.link_by_id[peer_id] = link
        try:
            self._shared.send_to_entry(link)
            self._heartbeats.set_incoming_timing(peer_id, link)
            self._peers.redial(peer_id)
            await link.serve(
                lambda message: self._handle(peer_id, link, message),
                lambda: self._heartbeats.for_incoming(peer_id, link),
            )
        finally:
            log = loguru.logger.bind(node=peer_id, reason=link.close_reason)
            log.info("link from an entry closed")
            if self.link_by_id.get(peer_id) is link:
                del self.link_by_id[peer_id]
                self._leadership.set_follower(peer_id, is_follower=False)
                self._placement.withdraw_entry(peer_id)

    def _handle(self, peer_id: str, link: _link.Link, message) -> None:
        self._check_pause()
        if link.is_closed:
            return
        match message:
            case _pool_wire.PlaceTasks():
                self._leadership.record_request(_clock.monotonic())
                self._placement.submit_request(peer_id, message, link.peer.data_centre)
            case _pool_wire.CancelPlacement():
                self._placement.withdraw(peer_id, message.job_id)
            case _pool_wire.PeerHeartbeat():
                if self._leadership.set_follower(peer_id, is_follower=message.follows_receiver):
                    self._heartbeats.set_incoming_timing(peer_id, link)
            case _:
                self._shared.handle(message)
