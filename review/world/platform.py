"""The platform's side of a small deployment: metadata store and runners, by PROTOCOL.md."""

import asyncio
import base64
import json
import time

from aiohttp import web

MAX_HOLD_MS = 1_000
STOP_MS = 30
MAX_WAIT_MS = 2_000
ENDS_PER_ANSWER = 500
HEARTBEAT_S = 1.5
POLL_S = 0.005


class Store:
    """Rows of the metadata store, with transactions, reads and feeds."""

    def __init__(self):
        self._version = 0
        self._row_by_key = {}
        self._history = []
        self._changed = asyncio.Event()

    def application(self) -> web.Application:
        application = web.Application()
        application.router.add_post("/rows-tx", self._transact)
        application.router.add_get("/rows-get", self._get)
        application.router.add_get("/rows-feed", self._feed)
        return application

    def write(self, table: str, key: str, document: dict) -> None:
        self._put(table, "", key, base64.b64encode(json.dumps(document).encode()).decode())
        self._notify()

    def _put(self, table, part, key, value):
        row = {"Table": table, "part": part, "Key": key, "Value": value}
        row["VersionNumber"] = self._version = self._version + 1
        self._row_by_key[table, part, key] = row
        self._history.append(row)

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _stamp(self) -> dict:
        return {"VersionNumber": self._version, "NowMs": int(time.monotonic() * 1000)}

    async def _transact(self, request):
        body = await request.json()
        known = [
            (row, self._row_by_key.get((row["Table"], row["part"], row["Key"])))
            for row in body.get("Precondition") or []
        ]
        if any((found or {"VersionNumber": 0})["VersionNumber"] != row["VersionNumber"] for row, found in known):
            return web.json_response({"rows": [found for _, found in known if found], **self._stamp()}, status=412)
        for row in body.get("Upserts") or []:
            if row["Table"] in ("op", "servers"):
                return web.json_response({}, status=403)
            self._put(row["Table"], row["part"], row["Key"], row["Value"])
        for row in body.get("Remove") or []:
            self._version += 1
            self._row_by_key.pop((row["Table"], row["part"], row["Key"]), None)
            self._history.append({**row, "Deleted": True, "VersionNumber": self._version})
        self._notify()
        return web.json_response(self._stamp())

    async def _get(self, request):
        query = request.query
        rows = [
            row
            for (table, part, key), row in sorted(self._row_by_key.items())
            if (table, part) == (query["Table"], query.get("part", ""))
            and key >= query.get("From", "")
            and ("To" not in query or key < query["To"])
        ]
        limit = int(query.get("Limit", 500))
        return web.json_response({"rows": rows[:limit], "HasMore": len(rows) > limit, **self._stamp()})

    async def _feed(self, request):
        query = request.query
        until = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while True:
            changed = self._changed
            rows = [
                row
                for row in self._history
                if row["Table"] == query["Table"] and row["VersionNumber"] > int(query["After"])
            ]
            left_s = until - time.monotonic()
            if rows or left_s <= 0:
                return web.json_response({"rows": rows, **self._stamp()})
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass


class Runner:
    """One runner. `Specification` is JSON: `ms`, the work of a task, and `cpu`, what it needs."""

    def __init__(self, name, service, address, control, record, zone, cpu=16_000, labels=("a", "r1-1")):
        self.name, self.service, self.address, self.control = name, service, address, control
        self.record, self.zone, self.cpu, self.labels = record, zone, cpu, labels
        self.id = f"i-{name}"
        self.state = "ready"
        self.born_ms = time.time_ns() // 1_000_000
        self._origin = time.monotonic()
        self._token = 0
        self._lease_until_ms = 0.0
        self._sequence = 0
        self.running = {}
        self.factor = 1.0
        self._highest = {}
        self._ends = []
        self._end_number = 0

    def clock_ms(self) -> float:
        return (time.monotonic() - self._origin) * 1000

    def application(self) -> web.Application:
        application = web.Application()
        for path, handler in (("/run-start", self._start), ("/run-stop", self._stop), ("/hold", self._hold)):
            application.router.add_post(path, self._checked(handler))
        return application

    def stop_ms(self) -> float:
        """Return how long the next stop takes."""
        return STOP_MS

    def slow_down(self, factor: float):
        """Let all work take `factor` times as long from now on."""
        now = self.clock_ms()
        for run in self.running.values():
            done = (now - run["began_ms"]) / run["ms"]
            run["ms"] = run["work_ms"] * factor
            run["began_ms"] = now - done * run["ms"]
        self.factor = factor

    def heartbeat(self) -> dict:
        self._sequence += 1
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 8,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Capacity": {"Cpu": self.cpu, "MemMb": 65_536, "Gpu": 0},
            "Labels": list(self.labels),
            "ClockMs": int(self.clock_ms()),
            "Sequence": self._sequence,
            "born": self.born_ms,
        }

    def _answer(self, status=200, **fields):
        body = {"ClockMs": int(self.clock_ms()), "born": self.born_ms, **fields}
        return web.json_response(body, status=status)

    def _checked(self, handler):
        async def checked(request):
            if request.headers.get("X-Expected-Instance", self.id) != self.id:
                return self._answer(421)
            body = await request.json()
            if body.get("FencingToken", 0) < self._token:
                return self._answer(409, Reason="fence")
            self._token = body.get("FencingToken", 0)
            self.advance()
            return await handler(body)

        return checked

    def _extend(self, deadline_ms):
        self._lease_until_ms = max(self._lease_until_ms, min(deadline_ms, self.clock_ms() + MAX_HOLD_MS))

    async def _start(self, body):
        task, number, deadline_ms = body["Task"], body["Run"], body["DeadlineMs"]
        if deadline_ms <= self.clock_ms():
            return self._answer(409, Reason="late")
        self._extend(deadline_ms)
        if task in self.running and self.running[task]["run"] == number:
            return self._answer()
        if number <= self._highest.get(task, 0) or task in self.running:
            return self._answer(409, Reason="old")
        work = json.loads(body["Specification"])
        if sum(run["cpu"] for run in self.running.values()) + work["cpu"] > self.cpu:
            return self._answer(409, Reason="room")
        self._highest[task] = number
        self.running[task] = {
            "run": number,
            "cpu": work["cpu"],
            "work_ms": work["ms"],
            "ms": work["ms"] * self.factor,
            "began_ms": self.clock_ms(),
            "stop_at_ms": None,
        }
        self.record.run_began(self.name, task, number)
        return self._answer()

    async def _stop(self, body):
        task, number = body["Task"], body["Run"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run["run"] <= number and run["stop_at_ms"] is None:
            run["stop_at_ms"] = self.clock_ms() + self.stop_ms()
        return self._answer()

    async def _hold(self, body):
        if "DeadlineMs" in body:
            self._extend(body["DeadlineMs"])
        self._ends = [end for end in self._ends if end[0] > body.get("AckCursor", 0)]
        until = time.monotonic() + min(body.get("WaitMs", 0), MAX_WAIT_MS) / 1000
        while not self._ends and time.monotonic() < until:
            await asyncio.sleep(POLL_S)
        now = self.clock_ms()
        running = [
            [task, run["run"], "", min(int(100 * (now - run["began_ms"]) / run["ms"]), 99), run["cpu"]]
            for task, run in self.running.items()
            if run["stop_at_ms"] is None
        ]
        return self._answer(Running=running, Finished=self._ends[:ENDS_PER_ANSWER])

    def advance(self):
        """End the runs that are done, stopped, or without a lease."""
        now = self.clock_ms()
        for task, run in list(self.running.items()):
            if run["stop_at_ms"] is not None and now >= run["stop_at_ms"]:
                self._end(task, run, "stopped")
            elif now >= run["began_ms"] + run["ms"]:
                self._end(task, run, "done")
            elif now > self._lease_until_ms:
                self._end(task, run, "lapsed")

    def _end(self, task, run, how):
        del self.running[task]
        self._end_number += 1
        self._ends.append([self._end_number, task, run["run"], how, ""])
        self.record.run_ended(self.name, task, run["run"], how)

    async def work(self):
        while True:
            await asyncio.sleep(POLL_S)
            self.advance()

    async def send_heartbeats(self, session):
        while True:
            try:
                await post_heartbeat(session, self.control, self.id, self.heartbeat())
            except Exception as error:  # the next heartbeat is the retry
                self.record.note(f"heartbeat of {self.name} not acknowledged: {type(error).__name__}")
                await asyncio.sleep(0.2)
                continue
            await asyncio.sleep(HEARTBEAT_S)


async def post_heartbeat(session, control, runner_id, body) -> int:
    """Send a heartbeat to a control address; return the status of the answer."""
    url = f"http://{control}/instances/{runner_id}/heartbeat"
    async with asyncio.timeout(1.0):
        async with session.post(url, json=body) as answer:
            await answer.read()
            return answer.status
