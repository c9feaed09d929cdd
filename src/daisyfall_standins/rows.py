"""Stand-in of the platform's metadata store: rows with versions, a feed, and faults."""

import asyncio

from aiohttp import web

# Modes of `Rows.fault`.
FAULTS = ("", "down", "silent", "busy")
SILENCE_S = 5.0


class Rows:
    """All tables of one store, in memory; `rewrite` changes rows on their way to a reader."""

    def __init__(self):
        self.fault = ""
        self.rewrite = lambda row: row
        self.calls = 0
        self.version = 0
        self._row_by_key: dict[tuple[str, str, str], dict] = {}
        self._history: list[dict] = []
        self._oldest = 0
        self._changed = asyncio.Event()

    def application(self) -> web.Application:
        """Return the HTTP interface."""
        application = web.Application()
        application.router.add_post("/rows-tx", self._guarded(self._change))
        application.router.add_get("/rows-get", self._guarded(self._get))
        application.router.add_get("/rows-feed", self._guarded(self._feed))
        return application

    def put(self, table: str, key: str, value: str) -> int:
        """Write a row as the operator does; `value` is base64."""
        self.version += 1
        row = {"Table": table, "part": "", "Key": key, "Value": value}
        row["VersionNumber"] = self.version
        self._row_by_key[(table, "", key)] = row
        self._history.append(row)
        self._wake()
        return self.version

    def truncate_history(self) -> None:
        """Drop what the feed could tell; readers have to start anew."""
        self._history.clear()
        self._oldest = self.version + 1
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _guarded(self, handle):
        async def guarded(request: web.Request) -> web.Response:
            self.calls += 1
            match self.fault:
                case "down":
                    return web.Response(status=503)
                case "busy":
                    return web.Response(status=429)
                case "silent":
                    await asyncio.sleep(SILENCE_S)
            return await handle(request)

        return guarded

    async def _change(self, request: web.Request) -> web.Response:
        body = await request.json()
        for row in body.get("Precondition", []):
            known = self._row_by_key.get((row["Table"], row["part"], row["Key"]))
            if (known or {"VersionNumber": 0})["VersionNumber"] != row["VersionNumber"]:
                rows = [known] if known else []
                return web.json_response({"rows": rows, **self._tail()}, status=412)
        for row in body.get("Upserts", []):
            self.put(row["Table"], row["Key"], row["Value"])
        for row in body.get("Remove", []):
            self._row_by_key.pop((row["Table"], row["part"], row["Key"]), None)
            self.version += 1
            self._history.append({**row, "Deleted": True, "VersionNumber": self.version})
            self._wake()
        return web.json_response(self._tail())

    async def _get(self, request: web.Request) -> web.Response:
        query = request.query
        rows = sorted(
            (
                row
                for (table, part, key), row in self._row_by_key.items()
                if (table, part) == (query["Table"], query.get("part", ""))
                and key >= query.get("From", "")
            ),
            key=lambda each: each["Key"],
        )
        limit = int(query.get("Limit", "500"))
        body = {
            "rows": [self.rewrite(row) for row in rows[:limit]],
            "HasMore": len(rows) > limit,
            **self._tail(),
        }
        return web.json_response(body)

    async def _feed(self, request: web.Request) -> web.Response:
        after = int(request.query["After"])
        wait_s = int(request.query.get("WaitMs", "0")) / 1000
        deadline = asyncio.get_running_loop().time() + wait_s
        while True:
            if after + 1 < self._oldest:
                return web.json_response({}, status=410)
            rows = [
                self.rewrite(row)
                for row in self._history
                if row["VersionNumber"] > after and row["Table"] == request.query["Table"]
            ]
            left = deadline - asyncio.get_running_loop().time()
            if rows or left <= 0:
                return web.json_response({"rows": rows, **self._tail()})
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _tail(self) -> dict:
        return {"VersionNumber": self.version, "NowMs": 0}
