"""TCP relay on loopback that simulates the latency between hosts on one machine.

An entry listens on 127.0.0.1 and advertises 127.0.0.2 with the same port, where
a relay listens. The relay forwards each chunk of bytes after the one-way delay and
reads on meanwhile, so it adds latency without a limit on the bandwidth.
"""

import asyncio
import contextlib
import selectors
import signal

import attrs
import fire

RELAY_HOST = "127.0.0.2"
_CONNECT_TIMEOUT_SECONDS = 5.0


@attrs.frozen
class Route:
    """Connections to `RELAY_HOST:port` are relayed to `target_host:port` with a one-way delay."""

    port: int
    delay_ms: float
    target_host: str = "127.0.0.1"


class _Endpoint(asyncio.Protocol):
    """One connection of a relayed pair; forwards what it receives to its peer after the delay."""

    def __init__(self, delay_seconds: float):
        self.transport: asyncio.Transport | None = None
        self.peer: _Endpoint | None = None
        self._delay_seconds = delay_seconds

    def connection_made(self, transport: asyncio.Transport) -> None:
        """See `asyncio.Protocol`."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Forward the bytes to the peer after the delay."""
        asyncio.get_running_loop().call_later(self._delay_seconds, self.peer.write, data)

    def connection_lost(self, error: Exception | None) -> None:
        """Close the peer after the delay, behind the bytes that are still to be forwarded."""
        if self.peer is not None:
            asyncio.get_running_loop().call_later(
                self._delay_seconds, self.peer.close, error is not None
            )

    def write(self, data: bytes) -> None:
        """Send the bytes unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def close(self, was_reset: bool) -> None:
        """Close the connection, or abort it if the peer was reset."""
        if was_reset:
            self.transport.abort()
        else:
            self.transport.close()


class _AcceptedEndpoint(_Endpoint):
    """The accepted connection of a pair; reads nothing until the target is connected."""

    def __init__(self, route: Route):
        super().__init__(route.delay_ms / 1000)
        self._route = route
        self._connecting: asyncio.Task | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Connect to the target."""
        super().connection_made(transport)
        transport.pause_reading()
        self._connecting = asyncio.create_task(self._connect())

    async def _connect(self) -> None:
        route = self._route
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_SECONDS):
                # Simulates the round trip of the TCP handshake.
                await asyncio.sleep(2 * self._delay_seconds)
                _, peer = await loop.create_connection(
                    lambda: _Endpoint(self._delay_seconds), route.target_host, route.port
                )
        except (OSError, TimeoutError):
            self.transport.abort()
            return
        self.peer, peer.peer = peer, self
        if self.transport.is_closing():
            peer.close(False)
        else:
            self.transport.resume_reading()


async def start(route: Route) -> asyncio.Server:
    """Start to listen for one route in the running event loop."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: _AcceptedEndpoint(route), RELAY_HOST, route.port, backlog=1024
    )


async def serve(routes: list[Route]) -> None:
    """Relay connections until SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop_requested.set)
    async with contextlib.AsyncExitStack() as stack:
        for route in routes:
            await stack.enter_async_context(await start(route))
        print(f"relaying {len(routes)} ports", flush=True)
        await stop_requested.wait()


def new_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop whose timers are accurate to less than 0.1 ms.

    select(2) has timeouts in µs; epoll, poll and libuv round them to whole ms.
    """
    return asyncio.SelectorEventLoop(selectors.SelectSelector())


def main(ports, delays_ms) -> None:
    """Relay `ports` with `delays_ms` (comma-separated lists of the same length)."""
    pairs = zip(_as_list(ports), _as_list(delays_ms), strict=True)
    routes = [Route(int(port), float(delay)) for port, delay in pairs]
    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(serve(routes))


def _as_list(value) -> list:
    return list(value) if isinstance(value, tuple | list) else [value]


if __name__ == "__main__":
    fire.Fire(main)
