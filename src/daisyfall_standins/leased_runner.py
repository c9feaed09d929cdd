"""Stand-in of the platform's runner: leases, capacity, lists of runs and ends, heartbeats.

The payload of a task is a JSON object: `ms` is its run time, `fails` makes it end failed.
Times on the wire are milliseconds of the runner's own clock, which starts at 0.
"""

import asyncio
import contextlib
import itertools
import json
import time

import aiohttp
import attrs
from aiohttp import web

LONGEST_WAIT_MS = 2_000
LONGEST_LEASE_MS = 1_000
CHECK_S = 0.01
STOP_S = 0.02
ENDS_PER_ANSWER = 500
HEARTBEAT_S = 0.3
# Modes of `LeasedRunner.fault`.
FAULTS = ("", "silent", "unanswered", "failing", "stalled", "unhealthy")


@attrs.define(eq=False)
class Run:
    """One run; `ends_at` and `stops_at` are on the runner's clock in ms, 0 for none."""

    task: str
    run: int
    began_ms: float
    work_ms: float
    fails: bool
    stops_at: float = 0.0


@attrs.define(eq=False)
class ExecutionLog:
    """Starts and ends at all runners of a world, for audits."""

    running_by_task: dict[str, int] = attrs.Factory(dict)
    twice: list[str] = attrs.Factory(list)
    starts_by_task: dict[str, int] = attrs.Factory(dict)
    done: set[str] = attrs.Factory(set)
    events: list[tuple[str, str]] = attrs.Factory(list)
    first_start_by_task: dict[str, float] = attrs.Factory(dict)  # s, steady clock

    def began(self, task: str) -> None:
        """Count a start; two runs at the same time are noted."""
        self.events.append(("start", task))
        running = self.running_by_task.get(task, 0) + 1
        self.running_by_task[task] = running
        self.starts_by_task[task] = self.starts_by_task.get(task, 0) + 1
        self.first_start_by_task.setdefault(task, time.monotonic())
        if running > 1:
            self.twice.append(task)

    def ended(self, task: str, how: str) -> None:
        """Count an end."""
        self.events.append(("end", task))
        self.running_by_task[task] -= 1
        if how == "done":
            self.done.add(task)


class LeasedRunner:
    """One runner; `restart` begins a new incarnation at the same address."""

    _ids = itertools.count(1)

    def __init__(
        self, pool: str, cpu: int, memory_mb: int, execution_log: ExecutionLog, rack: str = "r1"
    ):
        self.pool, self.cpu, self.memory_mb, self.rack = pool, cpu, memory_mb, rack
        self.execution_log = execution_log
        self.fault = ""
        self.state = "ready"
        self.rejected: list[str] = []
        self.address = ""
        self._begin()

    def _begin(self) -> None:
        self.id = f"i-{next(self._ids):08x}"
        self.born_ms = time.time_ns() // 1_000_000
        self._started = time.monotonic()
        self.token = 0
        self.lease_until = 0.0
        self.run_by_task: dict[str, Run] = {}
        self.last_run_by_task: dict[str, int] = {}
        self.ends: list[list] = []
        self._end_numbers = itertools.count(1)
        self._sequence = itertools.count(1)

    def restart(self) -> None:
        """Crash and come back without memory."""
        for run in self.run_by_task.values():
            self.execution_log.ended(run.task, "crashed")
        self._begin()

    def clock_ms(self) -> float:
        """Return the runner's clock."""
        return (time.monotonic() - self._started) * 1000

    def application(self) -> web.Application:
        """Return the runner's HTTP interface."""
        application = web.Application()
        application.router.add_post("/run-start", self._guarded(self._start))
        application.router.add_post("/run-stop", self._guarded(self._stop))
        application.router.add_post("/hold", self._guarded(self._hold))
        return application

    async def live(self) -> None:
        """Advance runs until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            self.advance()

    def advance(self) -> None:
        """End what is done, stopped or without a lease."""
        now = self.clock_ms()
        for run in list(self.run_by_task.values()):
            is_done = self.fault != "stalled" and now - run.began_ms >= run.work_ms
            if run.stops_at and now >= run.stops_at:
                self._end(run, "stopped")
            elif is_done:
                fails = run.fails or self.fault == "failing"
                self._end(run, "failed" if fails else "done")
            elif now > self.lease_until:
                self._end(run, "lapsed")

    def _end(self, run: Run, how: str) -> None:
        del self.run_by_task[run.task]
        self.execution_log.ended(run.task, how)
        self.ends.append([next(self._end_numbers), run.task, run.run, how, ""])

    def heartbeat(self) -> dict:
        """Return the next report about the runner itself."""
        return {
            "Service": self.pool,
            "Address": self.address,
            "Zone": "z1",
            "Version": "v1",
            "Slots": 8,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Capacity": {"Cpu": self.cpu, "MemMb": self.memory_mb, "Gpu": 0},
            "Labels": ["a", self.rack],
            "ClockMs": int(self.clock_ms()),
            "Sequence": next(self._sequence),
            "born": self.born_ms,
        }

    async def announce(self, session: aiohttp.ClientSession, control_address: str) -> None:
        """Send heartbeats to the agent until cancelled."""
        while True:
            url = f"http://{control_address}/instances/{self.id}/heartbeat"
            # The agent may be down; the next heartbeat tries again.
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                timeout = aiohttp.ClientTimeout(total=1)
                async with session.post(url, json=self.heartbeat(), timeout=timeout) as reply:
                    await reply.read()
            await asyncio.sleep(HEARTBEAT_S)

    def _guarded(self, handle):
        async def guarded(request: web.Request) -> web.Response:
            if self.fault == "silent":
                await asyncio.sleep(LONGEST_WAIT_MS / 1000)
            if request.headers.get("X-Expected-Instance", self.id) != self.id:
                return web.json_response({}, status=421)
            try:
                body = await request.json()
            except ConnectionResetError:
                # The agent gave the call up before the stand-in read it.
                return self._answer(400)
            if body.get("FencingToken", 0) < self.token:
                return self._answer(409, Reason="fence")
            self.token = body.get("FencingToken", 0)
            return await handle(body)

        return guarded

    def _answer(self, status: int = 200, **fields) -> web.Response:
        body = {"ClockMs": int(self.clock_ms()), "born": self.born_ms, **fields}
        return web.json_response(body, status=status)

    async def _start(self, body: dict) -> web.Response:
        if self.fault == "unhealthy":
            return self._answer(503)
        task, number = body["Task"], body["Run"]
        reason = self._why_not(task, number, body)
        if reason:
            self.rejected.append(reason)
            return self._answer(409, Reason=reason)
        known = self.run_by_task.get(task)
        if known is None:
            self._renew(body["DeadlineMs"])
            events = json.loads(body["Specification"])
            run = Run(task, number, self.clock_ms(), events["ms"], events.get("fails", False))
            self.run_by_task[task] = run
            self.last_run_by_task[task] = number
            self.execution_log.began(task)
        if self.fault == "unanswered":
            await asyncio.sleep(LONGEST_WAIT_MS / 1000)
        return self._answer()

    def _why_not(self, task: str, number: int, body: dict) -> str:
        self.advance()
        if body["DeadlineMs"] <= self.clock_ms():
            return "late"
        known = self.run_by_task.get(task)
        if known is not None and known.run == number:
            return ""
        if number <= self.last_run_by_task.get(task, 0):
            return "old"
        needed = json.loads(body["Specification"]).get("cpu", 1000)
        used = needed * len(self.run_by_task)
        return "room" if used + needed > self.cpu else ""

    async def _stop(self, body: dict) -> web.Response:
        task, number = body["Task"], body["Run"]
        self.last_run_by_task[task] = max(self.last_run_by_task.get(task, 0), number)
        run = self.run_by_task.get(task)
        if run is not None and run.run <= number:
            run.stops_at = run.stops_at or self.clock_ms() + STOP_S * 1000
        return self._answer()

    async def _hold(self, body: dict) -> web.Response:
        if "DeadlineMs" in body:
            self._renew(body["DeadlineMs"])
        self.ends = [each for each in self.ends if each[0] > body.get("AckCursor", 0)]
        until = self.clock_ms() + min(body.get("WaitMs", 0), LONGEST_WAIT_MS)
        while not self.ends and self.clock_ms() < until:
            await asyncio.sleep(CHECK_S)
        running = [self._describe(run) for run in self.run_by_task.values()]
        return self._answer(Running=running, Finished=self.ends[:ENDS_PER_ANSWER])

    def _describe(self, run: Run) -> list:
        share = 0 if self.fault == "stalled" else (self.clock_ms() - run.began_ms) / run.work_ms
        return [run.task, run.run, "", min(round(100 * share), 100), 1000]

    def _renew(self, until_ms: float) -> None:
        longest = self.clock_ms() + LONGEST_LEASE_MS
        self.lease_until = max(self.lease_until, min(until_ms, longest))
