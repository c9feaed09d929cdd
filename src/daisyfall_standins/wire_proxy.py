"""Loopback proxy for one address: delays, resets, silences or cuts its connections one way."""

import asyncio
import contextlib

import attrs

CHUNK_BYTES = 65_536
CONNECT_LIMIT_S = 1.0


@attrs.define
class Fault:
    """What the proxy does to bytes; a cut or silent direction holds them back for ever.

    `cuts_to` is the direction from the dialler to the target, `cuts_from` the other one.
    """

    delay_s: float = 0.0
    cuts_to: bool = False
    cuts_from: bool = False


class Proxy:
    """Forwards `listen` to `target`, both `host:port`, under the present `fault`."""

    def __init__(self, listen: str, target: str):
        self.listen = listen
        self.fault = Fault()
        self.target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.listen.partition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self) -> None:
        """Stop listening and reset what is open."""
        self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader, writer) -> None:
        host, _, port = self.target.partition(":")
        self._writers.add(writer)
        try:
            async with asyncio.timeout(CONNECT_LIMIT_S):
                # A cut keeps new connections from coming about, too.
                while self.fault.cuts_to or self.fault.cuts_from:
                    await asyncio.sleep(0.05)
                other_reader, other_writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(other_writer)
        both = [
            asyncio.create_task(self._copy(reader, other_writer, "cuts_to")),
            asyncio.create_task(self._copy(other_reader, writer, "cuts_from")),
        ]
        try:
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in both:
                task.cancel()
            for each in (writer, other_writer):
                each.transport.abort()
                self._writers.discard(each)

    async def _copy(self, reader, writer, cut: str) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.fault.delay_s:
                    await asyncio.sleep(self.fault.delay_s)
                while getattr(self.fault, cut):
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
