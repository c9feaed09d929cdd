"""Stand-ins for the neighbours of the classes of the pool dispatcher."""

import asyncio

from daisyfall import _clock, _pool_wire
from daisyfall.connection import _link
from daisyfall.policy import _bounds
from daisyfall.process import _leased_runner, _pool_metrics, _runner_callbacks, _runner_session

BOUNDS = _bounds.derive(1.0, 0.05, 1.3)
POOL = "pool"
ANSWER_S = 0.02
# How long a task runs that is neither stopped nor listed as ended.
RUN_S = 5.0


def handshake(role: str, node_id: str, *, incarnation="life-1", started_ms=1, revision=None):
    """Return the first message of a process; its revision is that of this build by default."""
    return _pool_wire.Handshake(
        role,
        node_id,
        incarnation,
        _pool_wire.PROTOCOL_VERSION,
        "dc",
        1.0,
        started_ms,
        [],
        _pool_wire.REVISION if revision is None else revision,
    )


def runner_heartbeat(cpu: int = 8000, *, sequence: int = 1, is_draining: bool = False, life=1):
    """Return a heartbeat of the incarnation `life` of a runner."""
    return _leased_runner.RunnerHeartbeat(
        f"i-{life}", life, POOL, "127.0.0.1:1", cpu, 64_000, 0, (), is_draining, 0, sequence
    )


class FakeLink:
    """Open link that records its timing and the messages sent."""

    def __init__(self, peer: _pool_wire.Handshake, opened_at: float = 0.0):
        self.peer = peer
        self.opened_at = opened_at
        self.timing = None
        self.sent = []

    def send(self, message):
        self.sent.append(message)

    def set_timing(self, timing):
        self.timing = timing


class RecordingHandler:
    """Handler of an entry's links; `dialled` holds the ids of the nodes in order."""

    def __init__(self):
        self.dialled = []
        self.opened = 0
        self.opened_at = 0.0
        self.errors = []

    def handshake(self, node):
        self.dialled.append(node.id)
        return handshake("entry", "e")

    def on_opened(self, _node, link):
        self.opened += 1
        self.opened_at = _clock.monotonic()
        link.set_timing(_link.HeartbeatTiming(1.0, 5.0))

    def on_message(self, _node, _link, _message):
        pass

    def on_closed(self, _node, _link):
        pass

    def heartbeat(self, _node):
        return _pool_wire.Heartbeat()

    def count_link_error(self, reason):
        self.errors.append(reason)


class FakeRunner:
    """Runner that confirms starts and, unless told otherwise, stops.

    It lists what was started as running until it is stopped or listed in `ended`.
    """

    def __init__(self, heartbeat, *, confirms_stops: bool = True):
        self.confirms_stops = confirms_stops
        self.born_ms = heartbeat.born_ms
        self.started: list[str] = []
        self.running: list[str] = []
        self.ended: tuple[_leased_runner.EndedRun, ...] = ()
        self.ordered_at = 0.0
        self.started_at_by_task: dict[str, float] = {}
        self.stopped_at_by_task: dict[str, float] = {}
        self.acknowledged = 0
        self.fencing_token = 0
        self.failure: _leased_runner.CallOutcome | None = None
        self._clock_origin = _clock.monotonic()

    def clock_ms(self) -> float:
        return (_clock.monotonic() - self._clock_origin) * 1000 + 1.0

    def restart(self) -> None:
        """Lose all runs and start again under the same id."""
        self.born_ms += 1
        self._clock_origin = _clock.monotonic()
        self.started, self.running, self.ended = [], [], ()

    def end(self, task: str, number: int) -> None:
        """List a task as done."""
        self.running.remove(task)
        done = _leased_runner.RunOutcome.DONE
        self.ended = (_leased_runner.EndedRun(number, task, 1, done),)

    async def start(self, order, _timeout_s):
        self.started.append(order.task)
        self.running.append(order.task)
        self.started_at_by_task[order.task] = _clock.monotonic()
        self.ordered_at = _clock.monotonic()
        return _leased_runner.CallOutcome.STARTED, self.clock_ms()

    async def stop(self, task, _run, _token, _timeout_s):
        self.stopped_at_by_task.setdefault(task, _clock.monotonic())
        if self.confirms_stops:
            self.running = [each for each in self.running if each != task]
        return self.confirms_stops

    async def renew_lease(self, _lease_until_ms, token, acknowledged, _wait_ms, _timeout_s):
        self.acknowledged = acknowledged
        await asyncio.sleep(ANSWER_S)
        if token < self.fencing_token:
            return _leased_runner.RenewalFailed(_leased_runner.CallOutcome.FENCED)
        if self.failure is not None:
            return _leased_runner.RenewalFailed(self.failure)
        now = _clock.monotonic()
        running = tuple(
            _leased_runner.RunProgress(
                task, 1, 100 * (now - self.started_at_by_task.get(task, now)) / RUN_S
            )
            for task in self.running
        )
        return _leased_runner.RunSnapshot(self.clock_ms(), self.born_ms, running, self.ended)


def new_session(connect, *, heartbeat_s=1.5, on_runs_ended, on_crashed=lambda _id, _runs: None):
    """Return an agent's session with a runner; `connect` returns the client of a heartbeat."""
    session = _runner_session.RunnerSession(
        BOUNDS, heartbeat_s, 1, connect, _pool_metrics.PoolMetrics()
    )
    session.set_callbacks(
        _runner_callbacks.RunnerCallbacks(
            on_runs_ended=on_runs_ended,
            on_availability_changed=lambda: None,
            check_pause=lambda: None,
            on_crashed=on_crashed,
        )
    )
    return session


async def wait_available(session) -> None:
    """Wait until a session's runner takes tasks."""
    async with asyncio.timeout(2.0):
        while session.unavailable_reason(_clock.monotonic()):
            await asyncio.sleep(0.005)
