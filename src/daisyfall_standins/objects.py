"""In-memory fake of the platform's object store."""

import asyncio

import attrs
from aiohttp import web

from daisyfall_standins import _server, _store_faults


@attrs.frozen
class Settings:
    """Write latency of the object store, and the seed of its random faults."""

    write_ms: float = 4.0
    seed: int = 0


class InMemoryObjectStore:
    """Holds the objects and serves the object store's HTTP API."""

    def __init__(self, settings: Settings):
        self.faults = _store_faults.FaultInjector(_is_write, settings.seed)
        self._settings = settings
        self.data_by_name: dict[str, bytes] = {}
        self._count_by_name = {"reads": 0, "writes": 0}

    def application(self) -> web.Application:
        """See `_server.StandIn.application`."""
        application = self.faults.application()
        application.router.add_get("/v1/objects", self._list)
        application.router.add_get("/v1/objects/{name:.+}", self._get)
        application.router.add_put("/v1/objects/{name:.+}", self._put)
        application.router.add_get("/v1/stats", self._stats)
        return application

    async def _list(self, request: web.Request) -> web.Response:
        self._count_by_name["reads"] += 1
        prefix = request.query.get("prefix", "")
        names = sorted(name for name in self.data_by_name if name.startswith(prefix))
        return web.json_response({"names": names})

    async def _get(self, request: web.Request) -> web.Response:
        self._count_by_name["reads"] += 1
        name = request.match_info["name"]
        if name not in self.data_by_name:
            return web.json_response({"error": f"no object {name!r}"}, status=404)
        return web.Response(body=self.data_by_name[name])

    async def _put(self, request: web.Request) -> web.Response:
        data = await request.read()
        await asyncio.sleep(self._settings.write_ms / 1000)
        self.data_by_name[request.match_info["name"]] = data
        self._count_by_name["writes"] += 1
        return web.json_response({"bytes": len(data)})

    async def _stats(self, _request: web.Request) -> web.Response:
        return web.json_response({**self._count_by_name, "faults": self.faults.affected_requests})


def _is_write(request: web.Request) -> bool:
    return request.method == "PUT"


async def start(
    settings: Settings | None = None, host: str = "127.0.0.1", port: int = 0
) -> _server.Server:
    """Start an object store in the running event loop; return its server."""
    return await _server.Server(InMemoryObjectStore(settings or Settings()), host, port).start()
