"""Fake of the platform's metadata store: versioned rows, a change feed, and faults."""

import asyncio

from aiohttp import web

# Values of `MetadataStore.fault`; the empty one injects no fault.
FAULT_MODES = ("", "down", "silent", "busy")
HANG_S = 5.0


class MetadataStore:
    """All tables of one store, in memory; `transform_row` is applied to each row that is read."""

    def __init__(self):
        self.fault = ""
        self.transform_row = lambda row: row
        self.request_count = 0
        self.version = 0
        self._last_lost_request = 0
        self._row_by_key: dict[tuple[str, str, str], dict] = {}
        self._history: list[dict] = []
        self._oldest_version = 0
        self._changed = asyncio.Event()

    def application(self) -> web.Application:
        """Return the application that serves the store's HTTP API."""
        application = web.Application()
        application.router.add_post("/rows-tx", self._with_fault(self._transact))
        application.router.add_get("/rows-get", self._with_fault(self._get))
        application.router.add_get("/rows-feed", self._with_fault(self._feed))
        return application

    def put(self, table: str, key: str, value: str) -> int:
        """Write a row without preconditions; `value` is base64."""
        self.version += 1
        row = {"Table": table, "part": "", "Key": key, "Value": value}
        row["VersionNumber"] = self.version
        self._row_by_key[(table, "", key)] = row
        self._history.append(row)
        self._notify_waiters()
        return self.version

    def remove(self, table: str, key: str) -> int:
        """Remove a row without preconditions."""
        self.version += 1
        self._row_by_key.pop((table, "", key), None)
        row = {"Table": table, "part": "", "Key": key, "Deleted": True}
        self._history.append({**row, "VersionNumber": self.version})
        self._notify_waiters()
        return self.version

    def truncate_history(self) -> None:
        """Drop the history of the feed; readers get 410 and must read the tables again."""
        self._history.clear()
        self._oldest_version = self.version + 1
        self._notify_waiters()

    def lose_pending_answers(self) -> None:
        """Leave the calls in progress without an answer, on connections that stay open."""
        self._last_lost_request = self.request_count

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _with_fault(self, handler):
        async def with_fault(request: web.Request) -> web.Response:
            self.request_count += 1
            number = self.request_count
            match self.fault:
                case "down":
                    return web.Response(status=503)
                case "busy":
                    return web.Response(status=429)
                case "silent":
                    await asyncio.sleep(HANG_S)
            response = await handler(request)
            if number <= self._last_lost_request:
                await asyncio.sleep(HANG_S)
            return response

        return with_fault

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        for row in body.get("Precondition", []):
            current = self._row_by_key.get((row["Table"], row["part"], row["Key"]))
            if (current or {"VersionNumber": 0})["VersionNumber"] != row["VersionNumber"]:
                rows = [current] if current else []
                return web.json_response({"rows": rows, **self._version_fields()}, status=412)
        for row in body.get("Upserts", []):
            self.put(row["Table"], row["Key"], row["Value"])
        for row in body.get("Remove", []):
            self.remove(row["Table"], row["Key"])
        return web.json_response(self._version_fields())

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
            "rows": [self.transform_row(row) for row in rows[:limit]],
            "HasMore": len(rows) > limit,
            **self._version_fields(),
        }
        return web.json_response(body)

    async def _feed(self, request: web.Request) -> web.Response:
        after = int(request.query["After"])
        wait_s = int(request.query.get("WaitMs", "0")) / 1000
        deadline = asyncio.get_running_loop().time() + wait_s
        while True:
            if after + 1 < self._oldest_version:
                return web.json_response({}, status=410)
            rows = [
                self.transform_row(row)
                for row in self._history
                if row["VersionNumber"] > after and row["Table"] == request.query["Table"]
            ]
            remaining_s = deadline - asyncio.get_running_loop().time()
            if rows or remaining_s <= 0:
                return web.json_response({"rows": rows, **self._version_fields()})
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                continue

    def _version_fields(self) -> dict:
        return {"VersionNumber": self.version, "NowMs": 0}
