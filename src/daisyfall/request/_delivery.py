"""Message exchange between an owner and its agents: starts, results, cancels, reconciliation.

The tasks that were sent to an agent and not yet answered are tracked by agent.
When its connection ends, they are kept until the agent reconnects with the same
incarnation and reports which of them it has. If it reconnects with another
incarnation, or not in time, the tasks are lost: they may have run.
"""

import asyncio
import collections

import attrs
from loguru import logger

from daisyfall import _clock, _wire
from daisyfall.connection import _agent_session
from daisyfall.process import _metrics, _settings, _shard_manager
from daisyfall.request import _dispatcher, _job_events, _reports, _retries, _upstreams, _work

OUTCOME_NAMES = {
    _wire.DONE: "done",
    _wire.FAILED: "failed",
    _wire.NOT_STARTED: "not_started",
    _wire.LOST: "lost",
    _wire.EVICTED: "evicted",
}

TaskIndicesByJob = dict[_work.JobKey, set[int]]


@attrs.define(eq=False)
class _DisconnectedAgent:
    """The unanswered tasks of an agent whose connection has ended."""

    incarnation: str
    since: float
    sent: TaskIndicesByJob


class Delivery:
    """Sends the starts of one entry to its agents and handles the agents' messages."""

    def __init__(
        self,
        settings: _settings.Settings,
        shard_manager: _shard_manager.ShardManager,
        dispatcher: _dispatcher.Dispatcher,
        metrics: _metrics.Metrics,
    ):
        self._settings = settings
        self._shard_manager = shard_manager
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._jobs: _job_events.JobEvents | None = None
        self.session_by_id: dict[str, _agent_session.AgentSession] = {}
        self._sent_by_agent: dict[str, TaskIndicesByJob] = {}
        self._disconnected_by_agent: dict[str, _DisconnectedAgent] = {}
        self._reconciling_by_agent: dict[str, TaskIndicesByJob] = {}
        self._dispatch_scheduled = False
        self._wakeup: asyncio.TimerHandle | None = None
        self.upstreams = _upstreams.Upstreams(settings, dispatcher, self.session_by_id)

    def set_job_events(self, jobs: _job_events.JobEvents) -> None:
        """Set the receiver of job events; called before the first message."""
        self._jobs = jobs

    # Dispatch.

    def schedule_dispatch(self) -> None:
        """Assign queued tasks in the next iteration of the event loop."""
        if not self._dispatch_scheduled:
            self._dispatch_scheduled = True
            asyncio.get_running_loop().call_soon(self._dispatch)

    def _dispatch(self) -> None:
        self._dispatch_scheduled = False
        now = _clock.monotonic()
        self._jobs.fail_overdue(now)
        if self._shard_manager.lease.valid(now):
            for assignment in self._dispatcher.assign(now):
                self._send(assignment, now)
            self._send_recalls(now)
        self._schedule_wakeup(now)

    def _schedule_wakeup(self, now: float) -> None:
        if self._wakeup is not None:
            self._wakeup.cancel()
            self._wakeup = None
        at = self._dispatcher.next_wakeup(now)
        if at is not None:
            delay_s = max(at - now, 0.001)
            self._wakeup = asyncio.get_running_loop().call_later(delay_s, self.schedule_dispatch)

    def _send(self, assignment: _dispatcher.Assignment, now: float) -> None:
        work = assignment.work
        # The lease is checked for each message, right before it is sent: an entry whose lease
        # has expired must not start anything.
        owned_shard = self._shard_manager.usable_shard(work.shard, _clock.monotonic())
        session = self.session_by_id.get(assignment.agent_id)
        if owned_shard is None or session is None or session.incarnation != assignment.incarnation:
            reason = "not_owner" if owned_shard is None else "agent_gone"
            for task in assignment.tasks:
                self._jobs.task_not_started(assignment.agent_id, work.key, task.index, reason, now)
            return
        session.send(
            _wire.Start(
                work.shard,
                owned_shard.epoch,
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
        self._metrics.count_task_starts(len(assignment.tasks))

    def _send_recalls(self, now: float) -> None:
        for agent_id in self._dispatcher.pop_recalls(now):
            session = self.session_by_id.get(agent_id)
            if session is not None:
                session.send(_wire.Recall(_retries.RECALLED))
                self._metrics.count_wasted_messages("recall")

    # Connections.

    def agent_connected(self, session: _agent_session.AgentSession) -> None:
        """Register a new session, and fence the owned shards, which requests a report of each.

        A session of the same incarnation is reconciled with that report; the tasks of an
        earlier incarnation are lost.
        """
        previous = self.session_by_id.get(session.agent_id)
        if previous is not None:
            self.agent_disconnected(previous)
            previous.close_soon()
        self.session_by_id[session.agent_id] = session
        self._sent_by_agent[session.agent_id] = {}
        disconnected = self._disconnected_by_agent.pop(session.agent_id, None)
        if disconnected is not None:
            if disconnected.incarnation == session.incarnation:
                self._reconciling_by_agent[session.agent_id] = disconnected.sent
            else:
                self._mark_lost(session.agent_id, disconnected.sent, "agent restarted")
        epochs = {
            shard: owned_shard.epoch
            for shard, owned_shard in self._shard_manager.owned_shard_by_number.items()
        }
        if epochs:
            session.send(_wire.Fence(epochs))
        logger.bind(upstream=session.agent_id, incarnation=session.incarnation).info(
            "agent connected"
        )

    def agent_disconnected(self, session: _agent_session.AgentSession) -> None:
        """Keep the unanswered tasks until the agent reconnects or the heartbeat limit passes."""
        if self.session_by_id.get(session.agent_id) is not session:
            return
        del self.session_by_id[session.agent_id]
        sent = self._sent_by_agent.pop(session.agent_id)
        for key, indices in self._reconciling_by_agent.pop(session.agent_id, {}).items():
            sent.setdefault(key, set()).update(indices)
        self._disconnected_by_agent[session.agent_id] = _DisconnectedAgent(
            session.incarnation, _clock.monotonic(), sent
        )
        # The tasks still count as in flight until the agent reconnects or they are lost.
        self.upstreams.update(session)
        logger.bind(upstream=session.agent_id).warning("agent disconnected")
        self.schedule_dispatch()

    def expire_disconnected(self, now: float) -> None:
        """Mark the tasks of agents that did not reconnect in time as lost; they may have run."""
        limit_s = self._settings.lease.heartbeat_limit_ms / 1000
        for agent_id, disconnected in list(self._disconnected_by_agent.items()):
            if now - disconnected.since > limit_s:
                del self._disconnected_by_agent[agent_id]
                self._mark_lost(agent_id, disconnected.sent, "agent lost")

    def _mark_lost(self, agent_id: str, sent: TaskIndicesByJob, reason: str) -> None:
        now = _clock.monotonic()
        logger.bind(upstream=agent_id, reason=reason).warning("upstream lost")
        for key, indices in sent.items():
            for index in sorted(indices):
                self._dispatcher.finished(key, index, _wire.LOST, 0.0, now)
                self._jobs.task_result(
                    agent_id, key, index, outcome=_wire.LOST, value=reason, run_ms=0.0
                )
        self._dispatcher.remove_upstream(agent_id)
        self.schedule_dispatch()

    def expect_results(
        self,
        agent_id: str,
        incarnation: str,
        key: _work.JobKey,
        running: list[int],
        finished: list[int],
    ) -> bool:
        """Expect results of tasks that an agent started for an earlier owner.

        Returns False if that incarnation of the agent is neither connected nor may reconnect.
        """
        session = self.session_by_id.get(agent_id)
        if session is None:
            disconnected = self._disconnected_by_agent.get(agent_id)
            if disconnected is None or disconnected.incarnation != incarnation:
                return False
            # Its report after the reconnect tells which of them it has.
            disconnected.sent.setdefault(key, set()).update(running + finished)
            return True
        if session.incarnation != incarnation:
            return False
        self._sent_by_agent[agent_id].setdefault(key, set()).update(running + finished)
        if finished:
            session.send(_wire.FetchResults(*key))
            self._metrics.count_wasted_messages("fetch_results")
        return True

    def cancel(self, key: _work.JobKey, sent_by_agent: dict[str, list[int]]) -> None:
        """Tell the agents that have tasks of a job to drop those that have not started."""
        agents = {agent for agent, indices in sent_by_agent.items() if indices}
        for agent_id in agents:
            session = self.session_by_id.get(agent_id)
            if session is not None:
                session.send(_wire.Cancel([list(key)], False))
                self._metrics.count_wasted_messages("cancel")

    def relinquish_shards(self, shards: set[int]) -> None:
        """Stop tracking the tasks of shards that are no longer owned."""
        count = self._settings.jobs.shard_count
        connected = [*self._sent_by_agent.values(), *self._reconciling_by_agent.values()]
        for sent in [
            *connected,
            *(disconnected.sent for disconnected in self._disconnected_by_agent.values()),
        ]:
            for key in [k for k in sent if _work.shard_of(k, count) in shards]:
                del sent[key]

    def mark_for_reconciliation(self, shards: set[int]) -> None:
        """Reconcile the sent tasks of these shards with the next fence reports.

        Needed after an epoch was raised, as agents then drop the tasks that they have queued.
        """
        count = self._settings.jobs.shard_count
        for agent_id, sent in self._sent_by_agent.items():
            reconciling = self._reconciling_by_agent.setdefault(agent_id, {})
            for key in [k for k in sent if _work.shard_of(k, count) in shards]:
                reconciling.setdefault(key, set()).update(sent.pop(key))

    # Messages from agents.

    def agent_message(self, session: _agent_session.AgentSession, message) -> None:
        """Handle one message from an agent; messages of a replaced session are dropped."""
        if self.session_by_id.get(session.agent_id) is not session:
            return
        match message:
            case _wire.Results():
                self._handle_results(session, message)
            case _wire.AgentStopped(latest_id_ms=latest_id_ms):
                self.agent_stopped(session, latest_id_ms)
            case _wire.AgentStatus():
                self._handle_status(session, message)
            case _wire.FenceReport():
                self._handle_fence_report(session, message)
            case _wire.StartRefused():
                self._handle_start_refused(session, message)
            case _wire.Cancelled(jobs=jobs):
                self._metrics.count_wasted_messages("cancelled")
                for buyer, job_id, indices in jobs:
                    # The start messages of these tasks were wasted as well.
                    self._metrics.count_wasted_messages("cancelled_start", len(indices))
                    for index in indices:
                        self._return_task(session.agent_id, (buyer, job_id), index, "recalled")
        self.schedule_dispatch()

    def _handle_results(self, session, message: _wire.Results) -> None:
        now = _clock.monotonic()
        agent_id = session.agent_id
        counts = collections.Counter()
        for buyer, job_id, index, outcome, value, run_ms in message.items:
            key = (buyer, job_id)
            counts[outcome] += 1
            if outcome == _wire.NOT_STARTED:
                self._handle_not_started(session, key, index, value)
                continue
            self._forget_sent(agent_id, key, index)
            self._dispatcher.finished(key, index, outcome, run_ms, now)
            self._jobs.task_result(
                agent_id, key, index, outcome=outcome, value=value, run_ms=run_ms
            )
        for outcome, count in counts.items():
            self._metrics.count_results(OUTCOME_NAMES[outcome], count)
        self._dispatcher.update_load(agent_id, message.running, message.queued, now)

    def _handle_not_started(self, session, key: _work.JobKey, index: int, reason: str) -> None:
        # Both the start and this answer were wasted messages.
        self._metrics.count_wasted_messages("not_started", 2)
        self._return_task(session.agent_id, key, index, reason)

    def _return_task(self, agent_id: str, key: _work.JobKey, index: int, reason: str) -> None:
        # If the job is running and this agent doesn't have the task any more, the task may be at
        # another agent by now, so it must not be queued again.
        if self._forget_sent(agent_id, key, index) or not self._jobs.has_unsettled_job(key):
            self._jobs.task_not_started(agent_id, key, index, reason, _clock.monotonic())

    def _forget_sent(self, agent_id: str, key: _work.JobKey, index: int) -> bool:
        """Stop tracking a task at an agent; return whether it was tracked there."""
        reconciling = self._reconciling_by_agent.get(agent_id, {})
        for sent_by_key in (self._sent_by_agent[agent_id], reconciling):
            if index in sent_by_key.get(key, ()):
                sent_by_key[key].discard(index)
                if not sent_by_key[key]:
                    del sent_by_key[key]
                return True
        return False

    def _handle_start_refused(self, session, message: _wire.StartRefused) -> None:
        key = (message.buyer, message.job_id)
        owned_shard = self._shard_manager.owned_shard_by_number.get(message.shard)
        if owned_shard is not None and message.seen_epoch > owned_shard.epoch:
            owned_shard.suspend(message.seen_epoch)
            self._shard_manager.request_poll()
        for index in message.indices:
            self._handle_not_started(session, key, index, message.reason)

    def _handle_status(self, session, status: _wire.AgentStatus) -> None:
        session.status = status
        session.listed = status.listed
        self.upstreams.update(session)

    def _handle_fence_report(self, session, report: _wire.FenceReport) -> None:
        self._metrics.count_wasted_messages("fence_report")
        owned_shard = self._shard_manager.owned_shard_by_number.get(report.shard)
        if owned_shard is None or report.epoch != owned_shard.epoch:
            if report.last:
                # The shard is not active here yet: this answers the fence of a takeover.
                self.fence_answered(session, report.shard, report.epoch)
            if owned_shard is not None and report.epoch > owned_shard.epoch:
                owned_shard.suspend(report.epoch)
                self._shard_manager.request_poll()
            return
        reconciling = self._reconciling_by_agent.get(session.agent_id, {})
        for buyer, job_id, digest, count, started, finished in report.jobs:
            job_report = _reports.Report(
                session.incarnation,
                digest,
                count,
                started,
                finished,
            )
            key = (buyer, job_id)
            if key in reconciling:
                self._reconcile(session, key, reconciling.pop(key), job_report)
            elif not self._jobs.has_job(key):
                self._keep_report(session, report.shard, key, job_report)
        if report.last:
            self._finish_report(session, report, reconciling, owned_shard)

    def _keep_report(
        self, session, shard: int, key: _work.JobKey, job_report: _reports.Report
    ) -> None:
        self._jobs.reports.add(shard, session.agent_id, key, job_report)
        running = _reports.set_bits(job_report.started & ~job_report.finished)
        if running and session.status is not None:
            self._dispatcher.adopt(key, running, session.agent_id, None)

    def _finish_report(self, session, report, reconciling: TaskIndicesByJob, owned_shard) -> None:
        count = self._settings.jobs.shard_count
        for key in [k for k in reconciling if _work.shard_of(k, count) == report.shard]:
            self._reconcile(session, key, reconciling.pop(key), None)
        owned_shard.horizon_by_missing.pop((session.agent_id, session.incarnation), None)
        self.fence_answered(session, report.shard, report.epoch)

    def _reconcile(
        self, session, key: _work.JobKey, indices: set[int], job_report: _reports.Report | None
    ) -> None:
        """Compare sent tasks with those that the agent reports; the others were not started."""
        started = job_report.started if job_report else 0
        finished = job_report.finished if job_report else 0
        reported = {index for index in indices if started >> index & 1}
        if reported:
            self._sent_by_agent[session.agent_id].setdefault(key, set()).update(reported)
        if any(finished >> index & 1 for index in reported):
            session.send(_wire.FetchResults(*key))
            self._metrics.count_wasted_messages("fetch_results")
        for index in sorted(indices - reported):
            self._jobs.task_not_started(
                session.agent_id, key, index, "start_lost", _clock.monotonic()
            )

    def agent_stopped(self, session, latest_id_ms: int) -> None:
        """Do nothing; the entry sets this hook for agents that have stopped for good."""

    def fence_answered(self, session, shard: int, epoch: int) -> None:
        """Do nothing; the fencer sets this hook for complete reports on a fenced shard."""
