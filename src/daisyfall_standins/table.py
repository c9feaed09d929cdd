"""Stand-in of the platform's transactional table, in memory.

A read returns one snapshot; a transaction applies all its writes if every check
holds. Versions come from one sequence, so that they never restart for a key
that was deleted and inserted again.
"""

import asyncio
from typing import Any

import attrs
from aiohttp import web

from daisyfall_standins import _faults, _server


@attrs.frozen
class Settings:
    """Speed of the table; requests above the rates wait."""

    write_ms: float = 4.0
    writes_per_second: float = 400.0
    reads_per_second: float = 2000.0
    seed: int = 0


@attrs.frozen
class ReadRequest:
    """Body of `POST /v1/read`."""

    keys: list[str] = attrs.Factory(list)
    prefixes: list[str] = attrs.Factory(list)


@attrs.frozen
class Check:
    """A row must have this version; 0 means absent."""

    key: str
    version: int


@attrs.frozen
class Write:
    """A row takes this value; None deletes it."""

    key: str
    value: Any


@attrs.frozen
class Transaction:
    """Body of `POST /v1/transact`."""

    checks: list[Check] = attrs.Factory(list)
    writes: list[Write] = attrs.Factory(list)


class TableRows:
    """The rows and their versions."""

    def __init__(self):
        self._row_by_key: dict[str, dict] = {}
        self._sequence = 0

    def read(self, request: ReadRequest) -> dict[str, dict]:
        """Return the present rows that the request names; absent rows are left out."""
        prefixes = tuple(request.prefixes)
        found = {key: row for key, row in self._row_by_key.items() if key.startswith(prefixes)}
        found |= {key: self._row_by_key[key] for key in request.keys if key in self._row_by_key}
        return found

    def conflicts(self, checks: list[Check]) -> list[str]:
        """Return the keys whose version is not the expected one."""
        absent = {"version": 0}
        return [
            c.key for c in checks if self._row_by_key.get(c.key, absent)["version"] != c.version
        ]

    def apply(self, writes: list[Write]) -> dict[str, int]:
        """Apply the writes under one new version; return the version by key, 0 for a deletion."""
        self._sequence += 1
        for write in writes:
            if write.value is None:
                self._row_by_key.pop(write.key, None)
            else:
                self._row_by_key[write.key] = {"version": self._sequence, "value": write.value}
        return {w.key: 0 if w.value is None else self._sequence for w in writes}


class Pacer:
    """Admits callers in order, at most `per_second` a second."""

    def __init__(self, per_second: float):
        self._interval_seconds = 1 / per_second
        self._next = 0.0

    async def wait(self) -> None:
        """Return at the caller's turn."""
        now = asyncio.get_running_loop().time()
        turn = max(now, self._next)
        self._next = turn + self._interval_seconds
        if turn > now:
            await asyncio.sleep(turn - now)


class Table:
    """The table's HTTP protocol."""

    def __init__(self, settings: Settings):
        self.rows = TableRows()
        self.faults = _faults.FaultSwitch(_is_write, settings.seed)
        self._settings = settings
        self._reads = Pacer(settings.reads_per_second)
        self._writes = Pacer(settings.writes_per_second)
        self._count_by_name = {"reads": 0, "writes": 0, "conflicts": 0}

    def application(self) -> web.Application:
        """See `_server.StandIn.application`."""
        application = self.faults.application()
        application.router.add_post("/v1/read", self._read)
        application.router.add_post("/v1/transact", self._transact)
        application.router.add_get("/v1/stats", self._stats)
        return application

    async def _read(self, request: web.Request) -> web.Response:
        body = await _server.read_body(request, ReadRequest)
        await self._reads.wait()
        self._count_by_name["reads"] += 1
        return web.json_response({"rows": self.rows.read(body)})

    async def _transact(self, request: web.Request) -> web.Response:
        body = await _server.read_body(request, Transaction)
        await self._writes.wait()
        await asyncio.sleep(self._settings.write_ms / 1000)
        # Nothing may be awaited between the checks and the writes.
        conflicts = self.rows.conflicts(body.checks)
        if conflicts:
            self._count_by_name["conflicts"] += 1
            return web.json_response({"conflicts": conflicts}, status=409)
        self._count_by_name["writes"] += 1
        return web.json_response({"versions": self.rows.apply(body.writes)})

    async def _stats(self, _request: web.Request) -> web.Response:
        return web.json_response({**self._count_by_name, "faults": self.faults.affected})


def _is_write(request: web.Request) -> bool:
    return request.path == "/v1/transact"


async def start(
    settings: Settings | None = None, host: str = "127.0.0.1", port: int = 0
) -> _server.Server:
    """Start a table in the running event loop; return its server."""
    return await _server.Server(Table(settings or Settings()), host, port).start()
