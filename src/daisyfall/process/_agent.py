"""Composition root of the agent, which runs tasks from entries at its local runner."""

import asyncio
import random
import signal
from collections.abc import Coroutine

import attrs
import loguru

from daisyfall import _clock, _codec, _ids, _wire
from daisyfall.connection import _entry_link, _entry_links
from daisyfall.process import (
    _agent_api,
    _announcement,
    _executor,
    _lifecycle,
    _metrics,
    _runner,
    _settings,
    _ticker,
)
from daisyfall.request import _ledger, _task_queue

# Reasons why no tasks are accepted, as in `StartRefused.reason`.
DRAINING = "draining"
NOT_LISTED = "not_listed"
NO_RUNNER = "no_runner"
NO_LINK = "no_link"
REASON_RUNNER_LOST = "runner_lost"
REASON_STOP_LIMIT = "the agent stopped before the runner answered"

DESIRED_STATE_STARTED = "started"
RUNNER_KIND_NULL = "null"
BYTES_PER_MB = 1024 * 1024
DELIVERY_POLL_SECONDS = 0.02
CLOSE_TIMEOUT_SECONDS = 2.0
DELIVERY_MARGIN_SECONDS = 2.0


async def run(settings: _settings.Settings) -> None:
    """Run an agent until SIGTERM or SIGINT, then stop gracefully."""
    agent = Agent(settings)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await agent.start()
    await stop.wait()
    await agent.stop()


class Agent:
    """One agent; also the handler of its links and the backend of its HTTP server."""

    def __init__(self, settings: _settings.Settings, rng: random.Random | None = None):
        self.settings = settings
        self.metrics = _metrics.Metrics()
        self.incarnation = _ids.new_incarnation()
        self._is_listed = False  # whether an entry has recorded this incarnation in the table
        self._is_stopping = False
        self._lists_version = 0
        self._desired_state_by_entry: dict[str, str] = {}
        self._runner: _runner.Runner | None = None
        self._target: object = None
        self._capacity = _task_queue.NO_CAPACITY
        self._runner_id = ""
        self._runner_labels: list[str] = []
        self._tasks: set[asyncio.Task] = set()
        self._sent_status: _wire.AgentStatus | None = None
        self._ledger = _ledger.Ledger(
            self.incarnation,
            settings.jobs.retention_ms / 1000,
            settings.jobs.answer_memory_mb * BYTES_PER_MB,
        )
        self._lifecycle = _lifecycle.Lifecycle(self._send_changed_status)
        self._links = _entry_links.EntryLinks(settings, self, self.metrics, rng or random.Random())
        limit_seconds = settings.runner.announce_limit_ms / 1000
        self.runner_watchdog = _announcement.RunnerWatchdog(limit_seconds, self._on_announcement)
        # A runner that accepts no connections counts as lost until its next announcement.
        # Otherwise each task sent to it would fail and count against its owner's retry budget.
        self._executor = _executor.Executor(
            self._ledger,
            self.metrics,
            self._links.by_id.get,
            self._unavailable_reason,
            self.runner_watchdog.expire,
        )
        self._api = _agent_api.AgentApi(self, settings.http)

    @property
    def http_port(self) -> int:
        """Return the port that the HTTP server listens on."""
        return self._api.port

    async def start(self) -> None:
        """Start the HTTP server and connect to the entries."""
        await self._api.start()
        if self.settings.runner.kind == RUNNER_KIND_NULL:
            self._use_null_runner()
        self._links.start()
        self._run_periodically(
            self._send_heartbeat, self.settings.lease.heartbeat_ms / 1000, "heartbeat"
        )
        if report_ms := self.settings.routing.load_report_ms:
            # Entries share the agent's slots. Without load reports an entry would learn only from
            # the next heartbeat that another entry's task has released a slot.
            self._run_periodically(self._send_load_report, report_ms / 1000, "load_report")

    async def stop(self) -> None:
        """Stop gracefully: finish running tasks and deliver results within the drain limit."""
        self._is_stopping = True
        self._update_lifecycle()
        try:
            async with asyncio.timeout(self.settings.runner.drain_limit_ms / 1000):
                await self._executor.wait_idle()
                await self._wait_delivered()
        except TimeoutError:
            loguru.logger.bind(running=self._executor.running).warning("drain limit reached")
            self._executor.stop_running(lambda _queued: True, REASON_STOP_LIMIT)
        await self._close()

    # Callbacks of the links (`_entry_link.Handler`).

    def hello(self) -> _wire.Hello:
        """See `_entry_link.Handler`."""
        settings = self.settings
        host = settings.http.advertise_host or settings.http.host
        return _wire.Hello(
            role=_wire.ROLE_AGENT,
            node_id=settings.id,
            incarnation=self.incarnation,
            version=0,
            proof=b"",
            data_centre=settings.data_centre,
            address=f"{host}:{self._api.port}",
            rack=settings.rack,
            listed=self._is_listed,
        )

    def load(self) -> tuple[int, int]:
        """See `_entry_link.Handler`."""
        return self._executor.running, self._executor.queued

    def opened(self, link: _entry_link.EntryLink) -> None:
        """See `_entry_link.Handler`."""
        link.send(self._status())

    def handle(self, link: _entry_link.EntryLink, message: object) -> None:
        """See `_entry_link.Handler`."""
        match message:
            case _wire.Start():
                self._executor.on_start(link, message)
            case _wire.EntryHeartbeat():
                self._on_heartbeat(link, message)
            case _wire.Fence():
                self._executor.on_fence(link, message)
            case _wire.FetchResults():
                self._executor.on_fetch(link, message)
            case _wire.Cancel():
                self._executor.on_cancel(link, message)
            case _wire.Recall():
                self._executor.on_recall(link, message)
            case _wire.Listed():
                self._on_listed(message)
            case _:
                name = type(message).__name__
                raise _codec.WireError(f"found {name}, expected a message to an agent")

    def closed(self, link: _entry_link.EntryLink) -> None:
        """See `_entry_link.Handler`."""
        # Without a link to any entry, the agent keeps the last desired state it received.
        if len(self._desired_state_by_entry) > 1:
            self._desired_state_by_entry.pop(link.entry_id, None)
            self._update_lifecycle()

    # Backend of the HTTP server (`_agent_api.AgentBackend`).

    def announce(self, announcement: _announcement.Announcement) -> None:
        """See `_agent_api.AgentBackend`."""
        self.runner_watchdog.renew(announcement)

    def not_ready_reason(self) -> str:
        """See `_agent_api.AgentBackend`."""
        return self._unavailable_reason() or ("" if self._links.by_id else NO_LINK)

    def status(self) -> dict:
        """See `_agent_api.AgentBackend`."""
        return {
            "id": self.settings.id,
            "role": self.settings.role,
            "incarnation": self.incarnation,
            "state": self._lifecycle.state,
            "listed": self._is_listed,
            "wish": self._desired_state(),
            "links": sorted(self._links.by_id),
            "runner": self._runner_id,
            "slots": self._capacity.slots,
            "running": self._executor.running,
            "queued": self._executor.queued,
            "lists_version": self._lists_version,
            "ledger": self._ledger_sizes(),
        }

    # State.

    def _on_heartbeat(self, link: _entry_link.EntryLink, heartbeat: _wire.EntryHeartbeat) -> None:
        self._links.update_roster(link.entry_id, heartbeat.entries)
        self._lists_version = max(self._lists_version, heartbeat.lists_version)
        self._desired_state_by_entry[link.entry_id] = (
            heartbeat.desired_state or DESIRED_STATE_STARTED
        )
        self._update_lifecycle()

    def _on_listed(self, listed: _wire.Listed) -> None:
        if listed.incarnation == self.incarnation:
            for shard, epoch in listed.epochs.items():
                self._ledger.fence(shard, epoch, self._ledger.owner_of(shard))
            self._is_listed = True
            self._update_lifecycle()

    def _desired_state(self) -> str:
        # Entries learn of a changed desired state at different times. The agent accepts tasks
        # only if no entry asks for another state, so that it does not switch back and forth.
        other_states = [
            state
            for state in self._desired_state_by_entry.values()
            if state != DESIRED_STATE_STARTED
        ]
        return other_states[0] if other_states else DESIRED_STATE_STARTED

    def _unavailable_reason(self) -> str:
        if not self._lifecycle.accepts_work:
            return DRAINING
        if not self._is_listed:
            return NOT_LISTED
        return "" if self._runner is not None else NO_RUNNER

    def _update_lifecycle(self) -> None:
        """Update the life cycle from the desired state, the runner and the listing."""
        wants_tasks = not self._is_stopping and self._desired_state() == DESIRED_STATE_STARTED
        if wants_tasks and not self._lifecycle.accepts_work:
            self._lifecycle.resume()
        elif not wants_tasks and self._lifecycle.accepts_work:
            self._lifecycle.drain()
            self._executor.return_queued(DRAINING)
            self._spawn(self._finish_draining())
        self._lifecycle.update_readiness(is_available=not self._unavailable_reason())
        self._send_changed_status()

    async def _finish_draining(self) -> None:
        await self._executor.wait_idle()
        if self._lifecycle.state == _lifecycle.DRAINING:
            self._lifecycle.finish_draining()

    # Runner.

    def _use_null_runner(self) -> None:
        runner = self.settings.runner
        self._runner_id = RUNNER_KIND_NULL
        capacity = _task_queue.Capacity(
            runner.slots, runner.connections, runner.memory_mb, runner.accelerators
        )
        self._set_runner(_runner.NullTarget(), capacity)

    def _on_announcement(self, announcement: _announcement.Announcement | None) -> None:
        if announcement is None:
            loguru.logger.bind(runner=self._runner_id).warning("runner lost")
            self._set_runner(None, _task_queue.NO_CAPACITY)
            self._executor.return_queued(REASON_RUNNER_LOST)
            return
        loguru.logger.bind(runner=announcement.id, url=announcement.url).info("runner announced")
        self._runner_id = announcement.id
        self._runner_labels = announcement.labels
        capacity = _task_queue.Capacity(
            announcement.slots,
            announcement.connections,
            announcement.memory_mb,
            announcement.accelerators,
        )
        # Deadlines are at most half the retention time, so no task needs a longer timeout.
        run_limit_seconds = self.settings.jobs.retention_ms / 1000 / 2
        target = _runner.HttpTarget(announcement.url, announcement.connections, run_limit_seconds)
        self._set_runner(target, capacity)

    def _set_runner(self, target: object, capacity: _task_queue.Capacity) -> None:
        if target != self._target:
            if self._runner is not None:
                self._spawn(self._runner.close())
            self._runner = None if target is None else _runner.connect(target)
            self._target = target
        self._capacity = capacity
        self._executor.use_runner(self._runner, capacity)
        self._update_lifecycle()

    # Heartbeats, load reports and shutdown.

    def _run_periodically(self, action, interval_seconds: float, name: str) -> None:
        self._spawn(
            _ticker.run_forever(
                action, lambda: interval_seconds, self.metrics.count_internal_error, name
            )
        )

    def _send_load_report(self) -> None:
        sent = sum(link.report_load() for link in self._links.by_id.values())
        self.metrics.count_wasted_messages("load_report", sent)

    def _send_heartbeat(self) -> None:
        self._links.broadcast(self._status())
        self._ledger.expire(_clock.monotonic())
        self._refresh_metrics()

    def _refresh_metrics(self) -> None:
        self.metrics.set_agent_state(self._ledger_sizes(), *self.load())
        self.metrics.set_known_epochs(self._ledger.epoch_count)
        self.metrics.set_lists_version(self._lists_version)

    def _status(self) -> _wire.AgentStatus:
        return _wire.AgentStatus(
            slots=self._capacity.concurrency,
            running=self._executor.running,
            queued=self._executor.queued,
            ready=self._lifecycle.state == _lifecycle.READY,
            draining=not self._lifecycle.accepts_work,
            listed=self._is_listed,
            memory_mb=self._capacity.memory_mb,
            accelerators=self._capacity.accelerators,
            labels=[*self.settings.labels, *self._runner_labels],
            lists_version=self._lists_version,
            runner_id=self._runner_id,
        )

    def _send_changed_status(self) -> None:
        status = self._status()
        # The load changes with each task; entries learn it from `Results` and heartbeats.
        status_without_load = attrs.evolve(status, running=0, queued=0)
        if status_without_load != self._sent_status:
            self._sent_status = status_without_load
            self._links.broadcast(status)

    def _ledger_sizes(self) -> dict[str, int]:
        return {
            "jobs": len(self._ledger),
            "result_bytes": self._ledger.result_bytes,
            "evicted_results": self._ledger.evicted_results,
        }

    def _spawn(self, coroutine: Coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _wait_delivered(self) -> None:
        # After the heartbeat limit an owner treats the tasks of a disconnected agent as lost, so
        # older results need not be delivered.
        limit_seconds = self.settings.lease.heartbeat_limit_ms / 1000 + DELIVERY_MARGIN_SECONDS
        while not self._executor.are_results_delivered(limit_seconds):
            await asyncio.sleep(DELIVERY_POLL_SECONDS)

    async def _close(self) -> None:
        self.runner_watchdog.close()
        self._links.broadcast(_wire.AgentStopped(self.incarnation, self._ledger.latest_id_ms))
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_SECONDS):
                await self._links.close()
        except TimeoutError:
            loguru.logger.bind(limit_seconds=CLOSE_TIMEOUT_SECONDS).warning(
                "links did not close in time"
            )
        if self._runner is not None:
            await self._runner.close()
        await self._api.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
