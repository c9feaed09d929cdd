"""Relay that delays TCP traffic on loopback: the latency between hosts, on one machine.

An entry listens on 127.0.0.1 and advertises 127.0.0.2 with the same port, where
a relay listens. Each chunk of bytes leaves one way's delay after it arrived, so
the relay adds latency and leaves the bandwidth as it is.
"""

import asyncio
import contextlib
import selectors
import signal

import attrs
import fire

RELAY_HOST = "127.0.0.2"
_CONNECT_SECONDS = 5.0


@attrs.frozen
class Route:
    """Connections to `RELAY_HOST:port` go to `target_host:port`, delayed each way."""

    port: int
    delay_ms: float
    target_host: str = "127.0.0.1"


class _Side(asyncio.Protocol):
    """One connection of a pair; it sends on the other one what it receives."""

    def __init__(self, delay_seconds: float):
        self.transport: asyncio.Transport | None = None
        self.other: _Side | None = None
        self._delay = delay_seconds

    def connection_made(self, transport: asyncio.Transport) -> None:
        """See `asyncio.Protocol`."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Send the bytes on after the delay."""
        asyncio.get_running_loop().call_later(self._delay, self.other.write, data)

    def connection_lost(self, error: Exception | None) -> None:
        """Close the other connection after what is under way."""
        if self.other is not None:
            asyncio.get_running_loop().call_later(self._delay, self.other.end, error is not None)

    def write(self, data: bytes) -> None:
        """Send bytes unless the connection has ended."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def end(self, aborted: bool) -> None:
        """Close, at once if the other side was reset."""
        if aborted:
            self.transport.abort()
        else:
            self.transport.close()


class _Accepted(_Side):
    """The side that was dialled; it reads nothing before its target is connected."""

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
            async with asyncio.timeout(_CONNECT_SECONDS):
                # The handshake of a real connection would take one round trip.
                await asyncio.sleep(2 * self._delay)
                _, other = await loop.create_connection(
                    lambda: _Side(self._delay), route.target_host, route.port
                )
        except (OSError, TimeoutError):
            self.transport.abort()
            return
        self.other, other.other = other, self
        if self.transport.is_closing():
            other.end(False)
        else:
            self.transport.resume_reading()


async def start(route: Route) -> asyncio.Server:
    """Listen for one route in the running event loop."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: _Accepted(route), RELAY_HOST, route.port, backlog=1024)


async def serve(routes: list[Route]) -> None:
    """Relay until SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    async with contextlib.AsyncExitStack() as stack:
        for route in routes:
            await stack.enter_async_context(await start(route))
        print(f"relaying {len(routes)} ports", flush=True)
        await stopped.wait()


def new_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop whose timers are exact to less than 0.1 ms.

    select(2) takes µs, while epoll, poll and libuv round timeouts to whole ms.
    """
    return asyncio.SelectorEventLoop(selectors.SelectSelector())


def main(ports, delays_ms) -> None:
    """Relay `ports` with `delays_ms` (comma-separated lists of one length)."""
    pairs = zip(_items(ports), _items(delays_ms), strict=True)
    routes = [Route(int(port), float(delay)) for port, delay in pairs]
    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(serve(routes))


def _items(value) -> list:
    return list(value) if isinstance(value, tuple | list) else [value]


if __name__ == "__main__":
    fire.Fire(main)
