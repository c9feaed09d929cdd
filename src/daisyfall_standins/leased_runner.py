"""Fake of the platform's runner: leases, capacity, lists of running and ended tasks, heartbeats.

The specification of a task is a JSON object: `ms` is its run time, and the task ends as failed
if `fails` is true. With `crashes`, the runner crashes after that time. Times on the wire are in
milliseconds of the runner's own clock, which starts at 0.
"""

import asyncio
import collections
import contextlib
import itertools
import json
import random
import time

import aiohttp
import attrs
from aiohttp import web

MAX_WAIT_MS = 2_000
MAX_LEASE_MS = 1_000
POLL_INTERVAL_S = 0.01
# A stop takes a time within this range, and the run is in neither list meanwhile.
STOP_DELAY_RANGE_S = (0.005, 0.048)
MAX_ENDS_PER_RESPONSE = 500
HEARTBEAT_INTERVAL_S = 0.3
CRASH_DOWN_S = 1.0
# Values of `FakeLeasedRunner.fault`; the empty one injects no fault.
FAULT_MODES = (
    "",
    "silent",
    "unanswered",
    "failing",
    "stalled",
    "unhealthy",
    "refusing",  # refuses connections and goes on with its runs
    "losing",  # does what it is told, but some of its answers are lost
    "late",  # leaves some calls unanswered and carries them out later
)
FAULTY_CALLS_SHARE = 0.4
LATE_CALL_DELAY_RANGE_S = (0.3, 3.0)


@attrs.define(eq=False)
class Run:
    """One execution of a task; times are on the runner's clock.

    `stop_at_ms` is when a requested stop takes effect, 0 if no stop was requested.
    """

    task: str
    number: int
    started_at_ms: float
    run_ms: float
    fails: bool
    crashes: bool = False
    stop_at_ms: float = 0.0


@attrs.define(eq=False)
class ExecutionLog:
    """Starts and ends of tasks at all runners of a world, for checks of invariants."""

    running_by_task: dict[str, int] = attrs.Factory(dict)
    overlapping_tasks: list[str] = attrs.Factory(list)
    starts_by_task: dict[str, int] = attrs.Factory(dict)
    crashes_by_task: dict[str, int] = attrs.Factory(dict)
    completed_tasks: set[str] = attrs.Factory(set)
    events: list[tuple[str, str]] = attrs.Factory(list)
    first_start_by_task: dict[str, float] = attrs.Factory(dict)  # s, monotonic clock
    # Time and data centre of each start.
    starts: list[tuple[float, str]] = attrs.Factory(list)

    def record_start(self, task: str, data_centre: str) -> None:
        """Record a start, and the task as overlapping if another run of it is in progress."""
        self.starts.append((time.monotonic(), data_centre))
        self.events.append(("start", task))
        running = self.running_by_task.get(task, 0) + 1
        self.running_by_task[task] = running
        self.starts_by_task[task] = self.starts_by_task.get(task, 0) + 1
        self.first_start_by_task.setdefault(task, time.monotonic())
        if running > 1:
            self.overlapping_tasks.append(task)

    def record_end(self, task: str, outcome: str) -> None:
        """Record an end."""
        self.events.append(("end", task))
        self.running_by_task[task] -= 1
        if outcome == "done":
            self.completed_tasks.add(task)


class FakeLeasedRunner:
    """One runner; `restart` starts a new incarnation at the same address."""

    _id_counter = itertools.count(1)

    def __init__(
        self,
        pool: str,
        cpu: int,
        memory_mb: int,
        execution_log: ExecutionLog,
        data_centre: str = "z1",
    ):
        self.pool, self.cpu, self.memory_mb, self.rack = pool, cpu, memory_mb, "r1"
        self.data_centre = data_centre
        self.execution_log = execution_log
        self.fault = ""
        self.state = "ready"
        self.rejection_reasons: list[str] = []
        self.address = ""
        self._down_until = 0.0
        self._rng = random.Random(1)
        self._late_calls: set[asyncio.Task] = set()
        # When the agent answered a heartbeat, in seconds on the monotonic clock.
        self.heartbeats_read_at: collections.deque[float] = collections.deque(maxlen=100)
        self._reset()

    def _reset(self) -> None:
        self.id = f"i-{next(self._id_counter):08x}"
        self.born_ms = time.time_ns() // 1_000_000
        self._clock_origin = time.monotonic()
        self.fencing_token = 0
        self.lease_until_ms = 0.0
        self.run_by_task: dict[str, Run] = {}
        self.last_run_number_by_task: dict[str, int] = {}
        self.pending_ends: list[list] = []
        self._end_cursors = itertools.count(1)
        self._heartbeat_sequence = itertools.count(1)

    def restart(self) -> None:
        """Simulate a crash: running tasks end, and a new incarnation starts with no state."""
        for run in self.run_by_task.values():
            self.execution_log.record_end(run.task, "crashed")
        self._reset()

    @property
    def is_down(self) -> bool:
        """Return whether the runner is down after a crash."""
        return time.monotonic() < self._down_until

    @property
    def refuses_connections(self) -> bool:
        """Return whether no connection to the runner can be opened."""
        return self.is_down or self.fault == "refusing"

    def _crash(self, task: str) -> None:
        crashes_by_task = self.execution_log.crashes_by_task
        crashes_by_task[task] = crashes_by_task.get(task, 0) + 1
        self._down_until = time.monotonic() + CRASH_DOWN_S
        self.restart()

    def clock_ms(self) -> float:
        """Return the time since the start of this incarnation."""
        return (time.monotonic() - self._clock_origin) * 1000

    def application(self) -> web.Application:
        """Return the application that serves the runner's HTTP API."""
        application = web.Application()
        application.router.add_post("/run-start", self._with_checks(self._handle_start))
        application.router.add_post("/run-stop", self._with_checks(self._handle_stop))
        application.router.add_post("/hold", self._with_checks(self._handle_hold))
        return application

    async def run_until_cancelled(self) -> None:
        """Call `advance` periodically until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self.advance()

    def advance(self) -> None:
        """End the runs that are finished, stopped or without a valid lease."""
        now = self.clock_ms()
        for run in list(self.run_by_task.values()):
            is_done = self.fault != "stalled" and now - run.started_at_ms >= run.run_ms
            if run.stop_at_ms and now >= run.stop_at_ms:
                self._end(run, "stopped")
            elif is_done and run.crashes:
                self._crash(run.task)
                return
            elif is_done:
                fails = run.fails or self.fault == "failing"
                self._end(run, "failed" if fails else "done")
            elif now > self.lease_until_ms:
                self._end(run, "lapsed")

    def _end(self, run: Run, outcome: str) -> None:
        del self.run_by_task[run.task]
        self.execution_log.record_end(run.task, outcome)
        self.pending_ends.append([next(self._end_cursors), run.task, run.number, outcome, ""])

    def heartbeat(self) -> dict:
        """Return the body of the next heartbeat."""
        return self.describe() | {"Sequence": next(self._heartbeat_sequence)}

    def describe(self) -> dict:
        """Return what the runner tells of itself in each heartbeat."""
        return {
            "Service": self.pool,
            "Address": self.address,
            "Zone": self.data_centre,
            "Version": "v1",
            "Slots": 8,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Capacity": {"Cpu": self.cpu, "MemMb": self.memory_mb, "Gpu": 0},
            "Labels": ["a", self.rack],
            "ClockMs": int(self.clock_ms()),
            "born": self.born_ms,
        }

    async def send_heartbeats(self, session: aiohttp.ClientSession, control_address: str) -> None:
        """Send heartbeats to the agent until cancelled."""
        while True:
            url = f"http://{control_address}/instances/{self.id}/heartbeat"
            # The agent may be down; the next heartbeat is the retry.
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                if self.is_down:
                    await asyncio.sleep(POLL_INTERVAL_S)
                    continue
                timeout = aiohttp.ClientTimeout(total=1)
                async with session.post(url, json=self.heartbeat(), timeout=timeout) as reply:
                    await reply.read()
                    self.heartbeats_read_at.append(time.monotonic())
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _with_checks(self, handler):
        async def with_checks(request: web.Request) -> web.Response:
            if self.fault == "silent":
                await asyncio.sleep(MAX_WAIT_MS / 1000)
            if self.refuses_connections:
                return self._drop(request)
            if request.headers.get("X-Expected-Instance", self.id) != self.id:
                return web.json_response({}, status=421)
            try:
                body = await request.json()
            except ConnectionResetError:
                # The agent closed the connection before the request body was read.
                return self._respond(400)
            is_faulty = self._rng.random() < FAULTY_CALLS_SHARE
            if is_faulty and self.fault == "late":
                self._late_calls.add(asyncio.create_task(self._execute_late(handler, body)))
                await asyncio.sleep(MAX_WAIT_MS / 1000)
                return self._drop(request)
            loses_answer = is_faulty and self.fault == "losing"
            incarnation = self.id
            response = await self._execute(handler, body)
            if self.id != incarnation or loses_answer or self.refuses_connections:
                return self._drop(request)
            return response

        return with_checks

    async def _execute(self, handler, body: dict) -> web.Response:
        if body.get("FencingToken", 0) < self.fencing_token:
            return self._respond(409, Reason="fence")
        self.fencing_token = body.get("FencingToken", 0)
        return await handler(body)

    async def _execute_late(self, handler, body: dict) -> None:
        incarnation = self.id
        await asyncio.sleep(self._rng.uniform(*LATE_CALL_DELAY_RANGE_S))
        if self.id == incarnation:
            await self._execute(handler, body)
        self._late_calls.discard(asyncio.current_task())

    def _drop(self, request: web.Request) -> web.Response:
        """Reset the connection, as a process does that has ended; the response isn't sent."""
        if request.transport is not None:
            request.transport.abort()
        return self._respond(503)

    def _respond(self, status: int = 200, **fields) -> web.Response:
        body = {"ClockMs": int(self.clock_ms()), "born": self.born_ms, **fields}
        return web.json_response(body, status=status)

    async def _handle_start(self, body: dict) -> web.Response:
        if self.fault == "unhealthy":
            return self._respond(503)
        task, number = body["Task"], body["Run"]
        incarnation = self.id
        reason = self._rejection_reason(task, number, body)
        if self.id != incarnation:
            # It has just crashed, so there is no runner that could execute the order.
            return self._respond(503)
        if reason:
            self.rejection_reasons.append(reason)
            return self._respond(409, Reason=reason)
        current = self.run_by_task.get(task)
        if current is None:
            self._extend_lease(body["DeadlineMs"])
            specification = json.loads(body["Specification"])
            run = Run(
                task,
                number,
                self.clock_ms(),
                specification["ms"],
                specification.get("fails", False),
                specification.get("crashes", False),
            )
            self.run_by_task[task] = run
            self.last_run_number_by_task[task] = number
            self.execution_log.record_start(task, self.data_centre)
        if self.fault == "unanswered":
            await asyncio.sleep(MAX_WAIT_MS / 1000)
        return self._respond()

    def _rejection_reason(self, task: str, number: int, body: dict) -> str:
        self.advance()
        if body["DeadlineMs"] <= self.clock_ms():
            return "late"
        current = self.run_by_task.get(task)
        if current is not None and current.number == number:
            return ""
        if number <= self.last_run_number_by_task.get(task, 0):
            return "old"
        needed_cpu = json.loads(body["Specification"]).get("cpu", 1000)
        used_cpu = needed_cpu * len(self.run_by_task)
        return "room" if used_cpu + needed_cpu > self.cpu else ""

    async def _handle_stop(self, body: dict) -> web.Response:
        task, number = body["Task"], body["Run"]
        self.last_run_number_by_task[task] = max(self.last_run_number_by_task.get(task, 0), number)
        run = self.run_by_task.get(task)
        if run is not None and run.number <= number:
            delay_ms = self._rng.uniform(*STOP_DELAY_RANGE_S) * 1000
            run.stop_at_ms = run.stop_at_ms or self.clock_ms() + delay_ms
        return self._respond()

    async def _handle_hold(self, body: dict) -> web.Response:
        if "DeadlineMs" in body:
            self._extend_lease(body["DeadlineMs"])
        self.pending_ends = [
            each for each in self.pending_ends if each[0] > body.get("AckCursor", 0)
        ]
        wait_until_ms = self.clock_ms() + min(body.get("WaitMs", 0), MAX_WAIT_MS)
        while not self.pending_ends and self.clock_ms() < wait_until_ms:
            await asyncio.sleep(POLL_INTERVAL_S)
        running = [
            self._progress_row(run) for run in self.run_by_task.values() if not run.stop_at_ms
        ]
        return self._respond(Running=running, Finished=self.pending_ends[:MAX_ENDS_PER_RESPONSE])

    def _progress_row(self, run: Run) -> list:
        progress = (
            0 if self.fault == "stalled" else (self.clock_ms() - run.started_at_ms) / run.run_ms
        )
        return [run.task, run.number, "", min(round(100 * progress), 100), 1000]

    def _extend_lease(self, deadline_ms: float) -> None:
        longest_ms = self.clock_ms() + MAX_LEASE_MS
        self.lease_until_ms = max(self.lease_until_ms, min(deadline_ms, longest_ms))
