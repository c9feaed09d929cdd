"""Stand-ins of the platform's store and of the network between the system's own processes."""

import asyncio
import base64
import json

from aiohttp import web

NODES_TABLE = "daisyfall-nodes"
MAX_WAIT_MS = 30_000


class Store:
    """The metadata store: versioned rows and a change feed.

    `addresses` maps the id of a node to the address of the relay through which others reach it.
    """

    def __init__(self):
        self.version = 0
        self.addresses = {}
        self._rows = {}
        self._history = []
        self._changed = asyncio.Event()

    def application(self):
        """Return the web application of the store."""
        application = web.Application()
        application.router.add_post("/rows-tx", self._transact)
        application.router.add_get("/rows-get", self._get)
        application.router.add_get("/rows-feed", self._feed)
        return application

    def put(self, table, key, document):
        """Write a row as the operator does."""
        self._write(table, "", key, base64.b64encode(json.dumps(document).encode()).decode())

    def _write(self, table, part, key, value):
        self.version += 1
        row = {"Table": table, "part": part, "Key": key, "VersionNumber": self.version}
        if value is None:
            self._rows.pop((table, part, key), None)
            row["Deleted"] = True
        else:
            row["Value"] = value
            self._rows[table, part, key] = row
        self._history.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _transact(self, request):
        body = await request.json()
        checked = [self._rows.get((r["Table"], r.get("part", ""), r["Key"])) for r in body.get("Precondition", [])]
        wanted = [row["VersionNumber"] for row in body.get("Precondition", [])]
        if [row["VersionNumber"] if row else 0 for row in checked] != wanted:
            return self._answer(412, rows=[row for row in checked if row])
        for row in body.get("Upserts", []):
            self._write(row["Table"], row.get("part", ""), row["Key"], row["Value"])
        for row in body.get("Remove", []):
            self._write(row["Table"], row.get("part", ""), row["Key"], None)
        return self._answer()

    async def _get(self, request):
        query = request.query
        rows = [
            row
            for (table, part, key), row in sorted(self._rows.items())
            if (table, part) == (query["Table"], query.get("part", "")) and key >= query.get("From", "")
        ]
        limit = int(query.get("Limit", "500"))
        return self._answer(rows=[self._relayed(row) for row in rows[:limit]], HasMore=len(rows) > limit)

    async def _feed(self, request):
        after = int(request.query["After"])
        loop = asyncio.get_running_loop()
        until = loop.time() + min(int(request.query.get("WaitMs", "0")), MAX_WAIT_MS) / 1000
        while True:
            rows = [row for row in self._history if row["VersionNumber"] > after and row["Table"] == request.query["Table"]]
            if rows or loop.time() >= until:
                return self._answer(rows=[self._relayed(row) for row in rows])
            try:
                await asyncio.wait_for(self._changed.wait(), until - loop.time())
            except TimeoutError:
                continue

    def _answer(self, status=200, **fields):
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        return web.json_response({**fields, "VersionNumber": self.version, "NowMs": now_ms}, status=status)

    def _relayed(self, row):
        relay = self.addresses.get(row["Key"])
        if row["Table"] != NODES_TABLE or "Value" not in row or relay is None:
            return row
        document = json.loads(base64.b64decode(row["Value"])) | {"address": relay}
        return {**row, "Value": base64.b64encode(json.dumps(document).encode()).decode()}


class Network:
    """Links between the system's processes.

    `is_cut(source, target)` holds bytes back, in the direction from source to target;
    `delay_s(source, target)` is by how much they are delayed. Order is always kept.
    """

    def __init__(self):
        self.is_cut = lambda source, target: False
        self.delay_s = lambda source, target: 0.0
        self._transports = set()
        self._tasks = set()

    async def relay(self, node, listen, target, names):
        """Relay the connections to a node; the dialling node is found by its handshake."""

        async def serve(reader, writer):
            self._tasks.add(asyncio.current_task())
            asyncio.current_task().add_done_callback(self._tasks.discard)
            other = None
            try:
                other_reader, other = await asyncio.open_connection(*target)
                self._transports |= {writer.transport, other.transport}
                # Until its handshake has come, the source isn't known, and nothing is held back.
                source = {"name": ""}
                tasks = [
                    asyncio.create_task(self._copy(reader, other, source, node, names, forward=True)),
                    asyncio.create_task(self._copy(other_reader, writer, source, node, names, forward=False)),
                ]
                await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
                for task in tasks:
                    task.cancel()
            except (OSError, asyncio.CancelledError):
                pass
            finally:
                for side in (writer, other):
                    if side is not None:
                        self._transports.discard(side.transport)
                        side.transport.abort()

        return await asyncio.start_server(serve, *listen, backlog=256)

    def close(self):
        """Reset all connections."""
        for transport in list(self._transports):
            transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _copy(self, reader, writer, source, node, names, *, forward):
        loop = asyncio.get_running_loop()
        queue = asyncio.Queue()
        head = b""

        async def read():
            nonlocal head
            while data := await reader.read(65_536):
                if forward and not source["name"]:
                    head += data
                    source["name"] = _dialler(head, names)
                await queue.put((loop.time(), data))
            await queue.put((loop.time(), b""))

        async def write():
            while True:
                arrived_at, data = await queue.get()
                ends = (source["name"], node) if forward else (node, source["name"])
                while (wait_s := arrived_at + self.delay_s(*ends) - loop.time()) > 0:
                    await asyncio.sleep(min(wait_s, 0.05))
                while self.is_cut(*ends):
                    await asyncio.sleep(0.02)
                if not data:
                    return
                writer.write(data)
                await writer.drain()

        reading = asyncio.create_task(read())
        try:
            await write()
        except OSError:
            pass
        finally:
            reading.cancel()


def _dialler(head, names):
    """Return which node has dialled, by the first frame after the upgrade request."""
    _, separator, frame = head.partition(b"\r\n\r\n")
    if not separator or len(frame) < 14:
        return ""
    length, start = frame[1] & 0x7F, 2
    if length == 126:
        length, start = int.from_bytes(frame[2:4], "big"), 4
    elif length == 127:
        length, start = int.from_bytes(frame[2:10], "big"), 10
    mask, body = frame[start : start + 4], frame[start + 4 : start + 4 + length]
    if len(body) < length:
        return ""
    text = bytes(byte ^ mask[index % 4] for index, byte in enumerate(body))
    return next((name for name in names if name.encode() in text), "")
