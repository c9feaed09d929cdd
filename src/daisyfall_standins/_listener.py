"""Listening sockets of stand-ins that refuse connections at times."""

import asyncio

import attrs
from aiohttp import web

from daisyfall_standins import leased_runner


@attrs.define(eq=False)
class Listener:
    """Listening socket of a server at `host:port`."""

    server: web.AppRunner
    address: str
    site: web.TCPSite | None = None

    async def open(self) -> None:
        """Accept connections."""
        host, _, port = self.address.partition(":")
        self.site = web.TCPSite(self.server, host, int(port))
        await self.site.start()

    async def close(self) -> None:
        """Refuse connections."""
        await self.site.stop()


async def close_while_refusing(listener: Listener, runner: leased_runner.FakeLeasedRunner) -> None:
    """Refuse connections while the runner is down or refuses them; run until cancelled."""
    while True:
        while not runner.refuses_connections:
            await asyncio.sleep(leased_runner.POLL_INTERVAL_S)
        await listener.close()
        while runner.refuses_connections:
            await asyncio.sleep(leased_runner.POLL_INTERVAL_S)
        await listener.open()
