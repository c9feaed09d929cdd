"""TCP proxy on loopback that injects link faults: delays, resets and one-way or full cuts."""

import asyncio
import contextlib

import attrs

CHUNK_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0


@attrs.define
class LinkFault:
    """The fault that is applied to all connections of a proxy.

    `cuts_to` holds back the bytes from the client to the target, `cuts_from` those from the target
    to the client, until the flag is cleared. A half-open link is simulated by one of them.
    """

    delay_s: float = 0.0
    cuts_to: bool = False
    cuts_from: bool = False


class FaultProxy:
    """Forwards connections on `listen` to `target`, both `host:port`, and applies `fault`."""

    def __init__(self, listen: str, target: str):
        self.listen = listen
        self.fault = LinkFault()
        self.target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start to listen."""
        host, _, port = self.listen.partition(":")
        self._server = await asyncio.start_server(self._handle_connection, host, int(port))

    async def stop(self) -> None:
        """Stop listening and reset all open connections."""
        self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _handle_connection(self, client_reader, client_writer) -> None:
        host, _, port = self.target.partition(":")
        self._writers.add(client_writer)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                # While a direction is cut, new connections aren't established either.
                while self.fault.cuts_to or self.fault.cuts_from:
                    await asyncio.sleep(0.05)
                target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            client_writer.transport.abort()
            self._writers.discard(client_writer)
            return
        self._writers.add(target_writer)
        copy_tasks = [
            asyncio.create_task(self._copy(client_reader, target_writer, "cuts_to")),
            asyncio.create_task(self._copy(target_reader, client_writer, "cuts_from")),
        ]
        try:
            await asyncio.wait(copy_tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in copy_tasks:
                task.cancel()
            for side in (client_writer, target_writer):
                side.transport.abort()
                self._writers.discard(side)

    async def _copy(self, reader, writer, cut_field: str) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.fault.delay_s:
                    await asyncio.sleep(self.fault.delay_s)
                while getattr(self.fault, cut_field):
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
