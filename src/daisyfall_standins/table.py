"""In-memory fake of the platform's transactional table.

A read returns a consistent snapshot. A transaction applies all its writes if all
its checks pass, else none. All rows take their versions from one sequence, so that
a key that is deleted and inserted again doesn't reuse a version.
"""

import asyncio
from typing import Any

import attrs
from aiohttp import web

from daisyfall_standins import _server, _store_faults


@attrs.frozen
class Settings:
    """Write latency and rate limits of the table; requests above a rate wait."""

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
    """Precondition of a transaction: the row has this version, or is absent for 0."""

    key: str
    version: int


@attrs.frozen
class Write:
    """Write of a row; a value of None deletes it."""

    key: str
    value: Any


@attrs.frozen
class Transaction:
    """Body of `POST /v1/transact`."""

    checks: list[Check] = attrs.Factory(list)
    writes: list[Write] = attrs.Factory(list)


class TableRows:
    """Rows with their versions, by key."""

    def __init__(self):
        self._row_by_key: dict[str, dict] = {}
        self._last_version = 0

    def read(self, request: ReadRequest) -> dict[str, dict]:
        """Return the rows that match the keys and prefixes of the request."""
        prefixes = tuple(request.prefixes)
        found = {key: row for key, row in self._row_by_key.items() if key.startswith(prefixes)}
        found |= {key: self._row_by_key[key] for key in request.keys if key in self._row_by_key}
        return found

    def conflicts(self, checks: list[Check]) -> list[str]:
        """Return the keys of the checks that fail."""
        absent = {"version": 0}
        return [
            c.key for c in checks if self._row_by_key.get(c.key, absent)["version"] != c.version
        ]

    def apply(self, writes: list[Write]) -> dict[str, int]:
        """Apply the writes with one new version; return it by key, 0 for a deleted row."""
        self._last_version += 1
        for write in writes:
            if write.value is None:
                self._row_by_key.pop(write.key, None)
            else:
                self._row_by_key[write.key] = {"version": self._last_version, "value": write.value}
        return {w.key: 0 if w.value is None else self._last_version for w in writes}


class RateLimiter:
    """Admits at most `per_second` callers a second, in order of arrival."""

    def __init__(self, per_second: float):
        self._interval_seconds = 1 / per_second
        self._next_turn_at = 0.0

    async def wait(self) -> None:
        """Wait until the caller is admitted."""
        now = asyncio.get_running_loop().time()
        turn_at = max(now, self._next_turn_at)
        self._next_turn_at = turn_at + self._interval_seconds
        if turn_at > now:
            await asyncio.sleep(turn_at - now)


class Table:
    """Serves the table's HTTP API."""

    def __init__(self, settings: Settings):
        self.rows = TableRows()
        self.faults = _store_faults.FaultInjector(_is_write, settings.seed)
        self._settings = settings
        self._read_limiter = RateLimiter(settings.reads_per_second)
        self._write_limiter = RateLimiter(settings.writes_per_second)
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
        await self._read_limiter.wait()
        self._count_by_name["reads"] += 1
        return web.json_response({"rows": self.rows.read(body)})

    async def _transact(self, request: web.Request) -> web.Response:
        body = await _server.read_body(request, Transaction)
        await self._write_limiter.wait()
        await asyncio.sleep(self._settings.write_ms / 1000)
        # There must be no await between the checks and the writes: transactions are atomic.
        conflicts = self.rows.conflicts(body.checks)
        if conflicts:
            self._count_by_name["conflicts"] += 1
            return web.json_response({"conflicts": conflicts}, status=409)
        self._count_by_name["writes"] += 1
        return web.json_response({"versions": self.rows.apply(body.writes)})

    async def _stats(self, _request: web.Request) -> web.Response:
        return web.json_response({**self._count_by_name, "faults": self.faults.affected_requests})


def _is_write(request: web.Request) -> bool:
    return request.path == "/v1/transact"


async def start(
    settings: Settings | None = None, host: str = "127.0.0.1", port: int = 0
) -> _server.Server:
    """Start a table in the running event loop; return its server."""
    return await _server.Server(Table(settings or Settings()), host, port).start()
