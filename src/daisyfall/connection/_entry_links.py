"""Agent side of the connections to all entries: discovery, dialling and reconnection."""

import asyncio
import random

import loguru
import websockets.asyncio.client
import websockets.exceptions

from daisyfall import _codec
from daisyfall.connection import _entry_link, _handshake
from daisyfall.process import _metrics, _settings

MIN_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0
# A link that ends earlier than this does not reset the backoff.
STABLE_AFTER_SECONDS = 1.0
CLOSE_TIMEOUT_SECONDS = 1.0

_DIAL_ERRORS = (
    OSError,
    TimeoutError,
    websockets.exceptions.WebSocketException,
    _handshake.HandshakeError,
    _codec.WireError,
)


class EntryLinks:
    """Open links by entry id, at most one for each entry.

    One task dials each known entry. While no link is open, the seed addresses of the settings
    are dialled as well. Connected entries report the roster, which is the list of all entries.
    """

    def __init__(
        self,
        settings: _settings.Settings,
        handler: _entry_link.Handler,
        metrics: _metrics.Metrics,
        random_source: random.Random,
    ):
        self.by_id: dict[str, _entry_link.EntryLink] = {}
        self._settings = settings
        self._handler = handler
        self._metrics = metrics
        self._random = random_source
        self._url_by_id: dict[str, str] = {}
        self._roster_by_sender: dict[str, dict[str, str]] = {}
        self._task_by_id: dict[str, asyncio.Task] = {}
        self._seed_task: asyncio.Task | None = None
        self._links_changed = asyncio.Event()
        self._is_closing = False
        self._logged_reason_by_address: dict[str, str] = {}

    def start(self) -> None:
        """Start dialling."""
        self._seed_task = asyncio.create_task(self._dial_seeds())

    async def close(self) -> None:
        """Flush and close all links, and stop dialling."""
        self._is_closing = True
        await asyncio.gather(*[link.flush() for link in self.by_id.values()])
        # Each task ends with a closing handshake, so the entries have read all that was sent.
        tasks = [task for task in [self._seed_task, *self._task_by_id.values()] if task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def broadcast(self, message: object) -> None:
        """Send a message on every link."""
        for link in self.by_id.values():
            link.send(message)

    def update_roster(self, sender: str, entries: list) -> None:
        """Apply the entries `[[id, url], ...]` that `sender` knows: dial these, no others."""
        roster = {entry_id: url for entry_id, url in entries}
        if self._roster_by_sender.get(sender) == roster:
            return
        self._roster_by_sender[sender] = roster
        self._update_targets()

    def _update_targets(self) -> None:
        if self._is_closing:
            return
        # Without any link the last known entries stay in use.
        if self._roster_by_sender:
            self._url_by_id = {}
            for roster in self._roster_by_sender.values():
                self._url_by_id.update(roster)
        for entry_id in self._url_by_id:
            if entry_id not in self._task_by_id:
                task = asyncio.create_task(self._dial_entry(entry_id))
                self._task_by_id[entry_id] = task
        self._notify_tasks()

    def _notify_tasks(self) -> None:
        self._links_changed.set()
        self._links_changed = asyncio.Event()

    async def _dial_entry(self, entry_id: str) -> None:
        failures = 0
        try:
            while entry_id in self._url_by_id:
                if entry_id in self.by_id:
                    await self._links_changed.wait()
                    continue
                stable = await self._dial(self._url_by_id[entry_id], entry_id)
                failures = 0 if stable else failures + 1
                await asyncio.sleep(self._backoff(failures))
        finally:
            self._task_by_id.pop(entry_id, None)

    async def _dial_seeds(self) -> None:
        failures = 0
        seeds = self._settings.entries
        while seeds:
            if self.by_id:
                failures = 0
                await self._links_changed.wait()
                continue
            await self._dial(seeds[failures % len(seeds)], "")
            failures += 1
            await asyncio.sleep(self._backoff(failures))

    def _backoff(self, failures: int) -> float:
        longest = min(MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS * 2 ** min(failures, 10))
        return self._random.uniform(longest / 2, longest)

    async def _dial(self, address: str, expected_id: str) -> bool:
        """Connect and serve the link until it ends; return whether it was stable."""
        loop = asyncio.get_running_loop()
        try:
            socket = await websockets.asyncio.client.connect(
                address if "://" in address else f"ws://{address}",
                compression=None,
                max_size=_codec.MAX_MESSAGE_BYTES,
                ping_interval=None,  # heartbeats are protocol messages
                open_timeout=_handshake.HANDSHAKE_TIMEOUT_SECONDS,
                close_timeout=CLOSE_TIMEOUT_SECONDS,
                proxy=None,
            )
        except _DIAL_ERRORS:
            self._metrics.count_link_failure("dial")
            return False
        connected_at = loop.time()
        try:
            await self._serve(socket, expected_id)
        except _DIAL_ERRORS as error:
            self._metrics.count_link_failure("protocol")
            self._log_rejection(address, str(error))
        except Exception as error:
            # A message that can't be handled ends only its link, not the dialling task.
            self._metrics.count_link_failure("internal")
            loguru.logger.bind(address=address).opt(exception=error).error("link failed")
        finally:
            await socket.close()
        return loop.time() - connected_at >= STABLE_AFTER_SECONDS

    def _log_rejection(self, address: str, reason: str) -> None:
        """Log why an entry can't be used, unless the reason is the same as last time."""
        if self._logged_reason_by_address.get(address) != reason:
            self._logged_reason_by_address[address] = reason
            loguru.logger.bind(address=address, reason=reason).warning(
                "entry refused the connection or violated the protocol"
            )

    async def _serve(self, socket, expected_id: str) -> None:
        key = self._settings.keys[0]
        welcome = await _handshake.connect(socket, key, self._handler.hello())
        entry_id = welcome.node_id
        if expected_id and entry_id != expected_id:
            raise _handshake.HandshakeError(f"found entry {entry_id}, expected {expected_id}")
        if entry_id in self.by_id:
            raise _handshake.HandshakeError(f"entry {entry_id} has a link already")
        heartbeat_timeout = self._settings.lease.heartbeat_limit_ms / 1000
        link = _entry_link.EntryLink(socket, entry_id, heartbeat_timeout, self._handler)
        self.by_id[entry_id] = link
        self._metrics.set_links(len(self.by_id))
        loguru.logger.bind(entry=entry_id).info("link up")
        self._notify_tasks()
        try:
            await link.serve()
        finally:
            del self.by_id[entry_id]
            self._roster_by_sender.pop(entry_id, None)
            self._metrics.set_links(len(self.by_id))
            loguru.logger.bind(entry=entry_id).info("link down")
            self._update_targets()
