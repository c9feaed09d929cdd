"""Messages between an owner and its agents: starts, results, cancels, reconciliation.

For each agent it keeps which tasks were sent and not yet answered. When a
connection ends these wait for the agent to come back with the same incarnation;
its fence report then tells which of them it holds. Tasks of another incarnation,
or of an agent that stays away, may have run.
"""

import asyncio
import collections

import attrs
from loguru import logger

from daisyfall import _clock, _wire
from daisyfall.connection import _agent_session
from daisyfall.process import _metrics, _registry, _settings
from daisyfall.request import _dispatcher, _job_events, _reports, _retries, _upstreams, _work

OUTCOME_NAMES = {
    _wire.DONE: "done",
    _wire.FAILED: "failed",
    _wire.NOT_STARTED: "not_started",
    _wire.LOST: "lost",
    _wire.EVICTED: "evicted",
}

Indices = dict[_work.Key, set[int]]


@attrs.define(eq=False)
class _Absent:
    """Tasks at an agent whose connection has ended."""

    incarnation: str
    since: float
    sent: Indices


class Delivery:
    """Exchange with all agents of one entry."""

    def __init__(
        self,
        settings: _settings.Settings,
        registry: _registry.Registry,
        dispatcher: _dispatcher.Dispatcher,
        metrics: _metrics.Metrics,
    ):
        self._settings = settings
        self._registry = registry
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._jobs: _job_events.JobEvents | None = None
        self.session_by_id: dict[str, _agent_session.AgentSession] = {}
        self._sent_by_agent: dict[str, Indices] = {}
        self._absent_by_agent: dict[str, _Absent] = {}
        self._reconciling_by_agent: dict[str, Indices] = {}
        self._pump_scheduled = False
        self._wakeup: asyncio.TimerHandle | None = None
        self.upstreams = _upstreams.Upstreams(settings, dispatcher, self.session_by_id)

    def bind(self, jobs: _job_events.JobEvents) -> None:
        """Name the owner of the jobs."""
        self._jobs = jobs

    # Starts.

    def pump_soon(self) -> None:
        """Assign queued tasks in this turn of the event loop."""
        if not self._pump_scheduled:
            self._pump_scheduled = True
            asyncio.get_running_loop().call_soon(self._pump)

    def _pump(self) -> None:
        self._pump_scheduled = False
        now = _clock.monotonic()
        self._jobs.end_overdue(now)
        if self._registry.lease.valid(now):
            for assignment in self._dispatcher.assign(now):
                self._send(assignment, now)
            self._recall(now)
        self._schedule_wakeup(now)

    def _schedule_wakeup(self, now: float) -> None:
        if self._wakeup is not None:
            self._wakeup.cancel()
            self._wakeup = None
        at = self._dispatcher.next_wakeup(now)
        if at is not None:
            delay = max(at - now, 0.001)
            self._wakeup = asyncio.get_running_loop().call_later(delay, self.pump_soon)

    def _send(self, assignment: _dispatcher.Assignment, now: float) -> None:
        work = assignment.work
        # Rule 1: the lease is checked right before the send, for each message.
        holding = self._registry.usable(work.shard, _clock.monotonic())
        session = self.session_by_id.get(assignment.agent_id)
        if holding is None or session is None or session.incarnation != assignment.incarnation:
            reason = "not_owner" if holding is None else "agent_gone"
            for task in assignment.tasks:
                self._jobs.task_not_started(assignment.agent_id, work.key, task.index, reason, now)
            return
        session.send(
            _wire.Start(
                work.shard,
                holding.epoch,
                session.incarnation,
                work.buyer,
                work.job_id,
                work.digest,
                work.task_count,
                [task.as_wire() for task in assignment.tasks],
            )
        )
        sent = self._sent_by_agent[session.agent_id].setdefault(work.key, set())
        sent.update(task.index for task in assignment.tasks)
        self._jobs.task_sent(work.key)
        self._metrics.started(len(assignment.tasks))

    def _recall(self, now: float) -> None:
        for agent_id in self._dispatcher.pop_recalls(now):
            session = self.session_by_id.get(agent_id)
            if session is not None:
                session.send(_wire.Recall(_retries.RECALLED))
                self._metrics.wasted("recall")

    # Connections.

    def agent_connected(self, session: _agent_session.AgentSession) -> None:
        """Take a new session into use; ask for a report where tasks or shards depend on it."""
        previous = self.session_by_id.get(session.agent_id)
        if previous is not None:
            self.agent_disconnected(previous)
            previous.close_soon()
        self.session_by_id[session.agent_id] = session
        self._sent_by_agent[session.agent_id] = {}
        absent = self._absent_by_agent.pop(session.agent_id, None)
        if absent is not None:
            if absent.incarnation == session.incarnation:
                self._reconciling_by_agent[session.agent_id] = absent.sent
            else:
                self._lose(session.agent_id, absent.sent, "agent restarted")
        epochs = {shard: each.epoch for shard, each in self._registry.holding_by_shard.items()}
        if epochs:
            session.send(_wire.Fence(epochs))
        logger.bind(upstream=session.agent_id, incarnation=session.incarnation).info(
            "agent connected"
        )

    def agent_disconnected(self, session: _agent_session.AgentSession) -> None:
        """Keep the sent tasks of a session that ended until the agent is back or given up."""
        if self.session_by_id.get(session.agent_id) is not session:
            return
        del self.session_by_id[session.agent_id]
        sent = self._sent_by_agent.pop(session.agent_id)
        for key, indices in self._reconciling_by_agent.pop(session.agent_id, {}).items():
            sent.setdefault(key, set()).update(indices)
        self._absent_by_agent[session.agent_id] = _Absent(
            session.incarnation, _clock.monotonic(), sent
        )
        # What was sent there stays outstanding until the agent is back or given up.
        self.upstreams.update(session)
        logger.bind(upstream=session.agent_id).warning("agent disconnected")
        self.pump_soon()

    def give_up_absent(self, now: float) -> None:
        """Count the tasks of agents that stay away as possibly run."""
        limit = self._settings.lease.heartbeat_limit_ms / 1000
        for agent_id, absent in list(self._absent_by_agent.items()):
            if now - absent.since > limit:
                del self._absent_by_agent[agent_id]
                self._lose(agent_id, absent.sent, "agent lost")

    def _lose(self, agent_id: str, sent: Indices, reason: str) -> None:
        now = _clock.monotonic()
        logger.bind(upstream=agent_id, reason=reason).warning("upstream given up")
        for key, indices in sent.items():
            for index in sorted(indices):
                self._dispatcher.finished(key, index, _wire.LOST, 0.0, now)
                self._jobs.task_result(
                    agent_id, key, index, outcome=_wire.LOST, value=reason, run_ms=0.0
                )
        self._dispatcher.remove_upstream(agent_id)
        self.pump_soon()

    def expect(
        self,
        agent_id: str,
        incarnation: str,
        key: _work.Key,
        running: list[int],
        finished: list[int],
    ) -> bool:
        """Wait for tasks that an agent started for an earlier owner; False if it is gone."""
        session = self.session_by_id.get(agent_id)
        if session is None:
            absent = self._absent_by_agent.get(agent_id)
            if absent is None or absent.incarnation != incarnation:
                return False
            # The report after its return tells what it holds.
            absent.sent.setdefault(key, set()).update(running + finished)
            return True
        if session.incarnation != incarnation:
            return False
        self._sent_by_agent[agent_id].setdefault(key, set()).update(running + finished)
        if finished:
            session.send(_wire.FetchResults(*key))
            self._metrics.wasted("fetch_results")
        return True

    def cancel(self, key: _work.Key, sent_by_agent: dict[str, list[int]]) -> None:
        """Tell the agents that hold tasks of a failed job to drop what has not started."""
        agents = {agent for agent, indices in sent_by_agent.items() if indices}
        for agent_id in agents:
            session = self.session_by_id.get(agent_id)
            if session is not None:
                session.send(_wire.Cancel([list(key)], False))
                self._metrics.wasted("cancel")

    def give_up(self, shards: set[int]) -> None:
        """Forget the tasks of shards that are no longer owned."""
        count = self._settings.jobs.shard_count
        connected = [*self._sent_by_agent.values(), *self._reconciling_by_agent.values()]
        for sent in [*connected, *(each.sent for each in self._absent_by_agent.values())]:
            for key in [k for k in sent if _work.shard_of(k, count) in shards]:
                del sent[key]

    def reconcile_soon(self, shards: set[int]) -> None:
        """Compare the sent tasks with the next reports: a higher epoch drops what is queued."""
        count = self._settings.jobs.shard_count
        for agent_id, sent in self._sent_by_agent.items():
            waiting = self._reconciling_by_agent.setdefault(agent_id, {})
            for key in [k for k in sent if _work.shard_of(k, count) in shards]:
                waiting.setdefault(key, set()).update(sent.pop(key))

    # Messages of agents.

    def agent_message(self, session: _agent_session.AgentSession, message) -> None:
        """Handle one message of an agent; those of a replaced session are dropped."""
        if self.session_by_id.get(session.agent_id) is not session:
            return
        match message:
            case _wire.Results():
                self._take_results(session, message)
            case _wire.Stopped(latest_id_ms=latest_id_ms):
                self.agent_stopped(session, latest_id_ms)
            case _wire.AgentStatus():
                self._take_status(session, message)
            case _wire.FenceReport():
                self._take_report(session, message)
            case _wire.StartRefused():
                self._take_refusal(session, message)
            case _wire.Cancelled(jobs=jobs):
                self._metrics.wasted("cancelled")
                for buyer, job_id, indices in jobs:
                    # The starts of these tasks were wasted as well.
                    self._metrics.wasted("cancelled_start", len(indices))
                    for index in indices:
                        self._give_back(session.agent_id, (buyer, job_id), index, "recalled")
        self.pump_soon()

    def _take_results(self, session, message: _wire.Results) -> None:
        now = _clock.monotonic()
        agent_id = session.agent_id
        counts = collections.Counter()
        for buyer, job_id, index, outcome, value, run_ms in message.items:
            key = (buyer, job_id)
            counts[outcome] += 1
            if outcome == _wire.NOT_STARTED:
                self._take_not_started(session, key, index, value)
                continue
            self._forget_sent(agent_id, key, index)
            self._dispatcher.finished(key, index, outcome, run_ms, now)
            self._jobs.task_result(
                agent_id, key, index, outcome=outcome, value=value, run_ms=run_ms
            )
        for outcome, count in counts.items():
            self._metrics.finished(OUTCOME_NAMES[outcome], count)
        self._dispatcher.update_load(agent_id, message.running, message.queued, now)

    def _take_not_started(self, session, key: _work.Key, index: int, reason: str) -> None:
        # The start and this answer did not bring the task further.
        self._metrics.wasted("not_started", 2)
        self._give_back(session.agent_id, key, index, reason)

    def _give_back(self, agent_id: str, key: _work.Key, index: int, reason: str) -> None:
        # A known job's task may be at another agent by now, and then it must not be sent again.
        if self._forget_sent(agent_id, key, index) or not self._jobs.knows_running(key):
            self._jobs.task_not_started(agent_id, key, index, reason, _clock.monotonic())

    def _forget_sent(self, agent_id: str, key: _work.Key, index: int) -> bool:
        """Forget that a task is at an agent; tell whether it was."""
        waiting = self._reconciling_by_agent.get(agent_id, {})
        for sent_by_key in (self._sent_by_agent[agent_id], waiting):
            if index in sent_by_key.get(key, ()):
                sent_by_key[key].discard(index)
                if not sent_by_key[key]:
                    del sent_by_key[key]
                return True
        return False

    def _take_refusal(self, session, message: _wire.StartRefused) -> None:
        key = (message.buyer, message.job_id)
        holding = self._registry.holding_by_shard.get(message.shard)
        if holding is not None and message.seen_epoch > holding.epoch:
            holding.suspend(message.seen_epoch)
            self._registry.poke()
        for index in message.indices:
            self._take_not_started(session, key, index, message.reason)

    def _take_status(self, session, status: _wire.AgentStatus) -> None:
        session.status = status
        session.listed = status.listed
        self.upstreams.update(session)

    def _take_report(self, session, report: _wire.FenceReport) -> None:
        self._metrics.wasted("fence_report")
        holding = self._registry.holding_by_shard.get(report.shard)
        if holding is None or report.epoch != holding.epoch:
            if report.last:
                # The answer to a fence that precedes a takeover.
                self.fence_answered(session, report.shard, report.epoch)
            if holding is not None and report.epoch > holding.epoch:
                holding.suspend(report.epoch)
                self._registry.poke()
            return
        waiting = self._reconciling_by_agent.get(session.agent_id, {})
        for buyer, job_id, digest, count, started, finished in report.jobs:
            entry = _reports.Report(
                session.incarnation,
                digest,
                count,
                started,
                finished,
            )
            key = (buyer, job_id)
            if key in waiting:
                self._reconcile(session, key, waiting.pop(key), entry)
            elif not self._jobs.knows(key):
                self._adopt(session, report.shard, key, entry)
        if report.last:
            self._end_report(session, report, waiting, holding)

    def _adopt(self, session, shard: int, key: _work.Key, entry: _reports.Report) -> None:
        self._jobs.reports.add(shard, session.agent_id, key, entry)
        running = _reports.bits_of(entry.started & ~entry.finished)
        if running and session.status is not None:
            self._dispatcher.adopt(key, running, session.agent_id, None)

    def _end_report(self, session, report, waiting: Indices, holding) -> None:
        count = self._settings.jobs.shard_count
        for key in [k for k in waiting if _work.shard_of(k, count) == report.shard]:
            self._reconcile(session, key, waiting.pop(key), None)
        holding.horizon_by_missing.pop((session.agent_id, session.incarnation), None)
        self.fence_answered(session, report.shard, report.epoch)

    def _reconcile(
        self, session, key: _work.Key, indices: set[int], entry: _reports.Report | None
    ) -> None:
        """Compare tasks sent on an earlier connection with what the agent holds."""
        started = entry.started if entry else 0
        finished = entry.finished if entry else 0
        held = {index for index in indices if started >> index & 1}
        if held:
            self._sent_by_agent[session.agent_id].setdefault(key, set()).update(held)
        if any(finished >> index & 1 for index in held):
            session.send(_wire.FetchResults(*key))
            self._metrics.wasted("fetch_results")
        for index in sorted(indices - held):
            self._jobs.task_not_started(
                session.agent_id, key, index, "start_lost", _clock.monotonic()
            )

    def agent_stopped(self, session, latest_id_ms: int) -> None:
        """Note that an agent has stopped for good; the entry replaces this."""

    def fence_answered(self, session, shard: int, epoch: int) -> None:
        """Note a complete fence report; the fencer replaces this."""
