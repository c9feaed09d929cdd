"""Stand-in of a runner: leases, fencing tokens, run numbers, lists of runs and heartbeats.

The specification of a task is its run time in ms. All ends have an exact time, so that a busy
stand-in doesn't make a run longer than it was.
"""

import asyncio
import contextlib
import time

import aiohttp
from aiohttp import web

MAX_HOLD_MS = 1_000
STOP_MS = 30
MAX_WAIT_MS = 2_000
HEARTBEAT_S = 1.5
CPU, MEMORY_MB = 16_000, 65_536


class Run:
    """One run of a task at a runner; times on the runner's clock, in ms."""

    def __init__(self, task, number, started_ms, run_ms):
        self.task, self.number, self.started_ms, self.run_ms = task, number, started_ms, run_ms
        self.stop_at_ms = 0.0


class Runner:
    """One runner. `world` gets its starts and ends, and says which calls are carried out late."""

    def __init__(self, world, name, address, control_address, labels):
        self.world, self.name, self.address, self._control = world, name, address, control_address
        self.labels = list(labels)
        self.id = f"i-{world.rng.getrandbits(40):010x}"
        self.is_up = True
        self.is_dark = False
        self._started = asyncio.Event()
        self._transports = set()
        self._former = set()
        self._new_life()

    def _new_life(self):
        self.born_ms = time.time_ns() // 1_000_000
        self._origin = time.monotonic()
        self.token = 0
        self.lease_until_ms = 0.0
        self.runs = {}
        self._last_number = {}
        self._ends = []
        self._end_number = 0
        self._sequence = 0
        self._changed = asyncio.Event()

    def clock_ms(self):
        """Return the time since the start of this life."""
        return (time.monotonic() - self._origin) * 1000

    def go_dark(self):
        """Lose power: all that runs has ended, and nothing is answered any more."""
        self.advance()
        for run in list(self.runs.values()):
            self.world.note_end(self, run, "crashed", self.clock_ms())
        self.runs = {}
        self.is_up = False
        self.is_dark = True
        self._former, self._transports = self._transports, set()

    def wake(self):
        """Have power again, under the same id; connections of before are reset when they are used."""
        self._new_life()
        self.is_up = True
        self.is_dark = False
        self._started.set()

    def crash(self):
        """End the process with all that it runs."""
        self.advance()
        for run in list(self.runs.values()):
            self.world.note_end(self, run, "crashed", self.clock_ms())
        self.runs = {}
        self.is_up = False
        self._site._server.close()
        for transport in self._transports:
            transport.abort()
        self._transports.clear()

    async def start_again(self):
        """Start again under the same id; nothing of before is known."""
        self._new_life()
        self.is_up = True
        await self.listen()
        self._started.set()

    async def serve(self, stack):
        """Listen until the end of the play, but while it is down."""
        self._server = web.AppRunner(self._application(), access_log=None, shutdown_timeout=0.1)
        await self._server.setup()
        stack.push_async_callback(self._server.cleanup)
        await self.listen()

    async def listen(self):
        """Listen at its address."""
        host, _, port = self.address.partition(":")
        self._site = web.TCPSite(self._server, host, int(port), backlog=512)
        await self._site.start()

    def advance(self):
        """End the runs whose end is due."""
        now = self.clock_ms()
        for run in list(self.runs.values()):
            ends = [(run.started_ms + run.run_ms, "done"), (self.lease_until_ms, "lapsed")]
            if run.stop_at_ms:
                ends.append((run.stop_at_ms, "stopped"))
            ended_ms, how = min(ends)
            if ended_ms <= now:
                del self.runs[run.task]
                self._end_number += 1
                self._ends.append([self._end_number, run.task, run.number, how, ""])
                self.world.note_end(self, run, how, ended_ms)
                self._changed.set()

    def _application(self):
        application = web.Application()
        for path, handle in (("/run-start", self._start), ("/run-stop", self._stop), ("/hold", self._hold)):
            application.router.add_post(path, self._guarded(path, handle))
        return application

    async def beat(self, session):
        """Send heartbeats to the agent until cancelled."""
        while True:
            self._started.clear()
            if self.is_up:
                with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                    self._sequence += 1
                    url = f"http://{self._control}/instances/{self.id}/heartbeat"
                    async with session.post(url, json=self._describe(), timeout=aiohttp.ClientTimeout(total=1)) as reply:
                        await reply.read()
            # A runner announces itself as soon as it has started.
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._started.wait(), HEARTBEAT_S)

    def _describe(self):
        return {
            "Service": self.world.service,
            "Address": self.address,
            "Zone": self.world.zone,
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Capacity": {"Cpu": CPU, "MemMb": MEMORY_MB, "Gpu": 0},
            "Labels": self.labels,
            "ClockMs": int(self.clock_ms()),
            "Sequence": self._sequence,
            "born": self.born_ms,
        }

    def _guarded(self, path, handle):
        async def guarded(request):
            if request.transport in self._former:
                return self._reset(request)
            if request.transport is not None:
                self._transports.add(request.transport)
            intended = request.headers.get("X-Expected-Instance", self.id)
            try:
                body = await request.json()
            except (ConnectionError, ValueError):
                return web.Response(status=400)
            if self.is_dark:
                await self.world.sleep(60.0)
                return self._reset(request)
            if not self.is_up:
                return self._reset(request)
            if intended != self.id:
                return web.json_response({}, status=421)
            if path in self.world.late_paths and (delay_s := self.world.late_by(self, body)):
                self.world.spawn(self._carry_out_late(handle, body, intended, delay_s))
                await self.world.sleep(60.0)
                return self._reset(request)
            born_ms = self.born_ms
            response = await self._checked(handle, body)
            if self.is_dark or request.transport in self._former:
                await self.world.sleep(60.0)
                return self._reset(request)
            return response if self.is_up and self.born_ms == born_ms else self._reset(request)

        return guarded

    async def _carry_out_late(self, handle, body, intended, delay_s):
        await self.world.sleep(delay_s)
        if self.is_up and intended == self.id:
            response = await self._checked(handle, body, is_late=True)
            self.world.note(f"{self.name} late order {body['Task']} run {body['Run']} carried out after {delay_s:.1f} s: {response.status} {response.text}")

    async def _checked(self, handle, body, *, is_late=False):
        self.advance()
        if body.get("FencingToken", 0) < self.token:
            return self._answer(409, Reason="fence")
        self.token = body.get("FencingToken", 0)
        if handle == self._start:
            return self._begin(body, is_late=is_late)
        return await handle(body)

    async def _start(self, body):
        return self._begin(body)

    def _begin(self, body, *, is_late=False):
        task, number, now = body["Task"], body["Run"], self.clock_ms()
        if body["DeadlineMs"] <= now:
            return self._answer(409, Reason="late")
        self._hold_until(body["DeadlineMs"])
        current = self.runs.get(task)
        if current is not None and current.number == number:
            return self._answer()
        if current is not None or number <= self._last_number.get(task, 0):
            return self._answer(409, Reason="old")
        if not self.world.has_room(self, task):
            return self._answer(409, Reason="room")
        run = self.runs[task] = Run(task, number, now, float(body["Specification"]))
        self._last_number[task] = number
        self.world.note_start(self, run, is_late=is_late)
        return self._answer()

    async def _stop(self, body):
        task, number = body["Task"], body["Run"]
        self._last_number[task] = max(self._last_number.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number and not run.stop_at_ms:
            run.stop_at_ms = self.clock_ms() + STOP_MS
        return self._answer()

    async def _hold(self, body):
        if body.get("DeadlineMs", 0) > self.clock_ms():
            self._hold_until(body["DeadlineMs"])
        self._ends = [row for row in self._ends if row[0] > body.get("AckCursor", 0)]
        until_ms = self.clock_ms() + min(body.get("WaitMs", 0), MAX_WAIT_MS)
        born_ms = self.born_ms
        while not self._ends and self.clock_ms() < until_ms and self.is_up and self.born_ms == born_ms:
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), 0.01)
            self.advance()
        running = [
            [run.task, run.number, "", min(99, int(100 * (self.clock_ms() - run.started_ms) / run.run_ms)), 100]
            for run in self.runs.values()
            if not run.stop_at_ms
        ]
        return self._answer(Running=running, Finished=self._ends[:500])

    def _hold_until(self, deadline_ms):
        self.lease_until_ms = max(self.lease_until_ms, min(deadline_ms, self.clock_ms() + MAX_HOLD_MS))

    def _answer(self, status=200, **fields):
        return web.json_response({"ClockMs": int(self.clock_ms()), "born": self.born_ms, **fields}, status=status)

    def _reset(self, request):
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=503)
