"""Outlier detection of upstreams: ejects failing, slow, unresponsive and flapping runners.

A failure is attributed to the runner as far as tasks of the same kind, or other tasks of the job,
succeed elsewhere. One failure halves the slots that the agent may use; failures of several jobs
eject it. An ejected agent is probed with single real tasks at growing intervals, and after a
success ramps up by doubling its share of slots. Failures and slowness that the other agents show
as well are attributed to the tasks, not to a runner.
"""

import collections
import enum
import heapq

import attrs

from daisyfall.process import _settings
from daisyfall.request import _estimates, _groups, _queue, _work

_SMOOTHING = 0.15  # weight of a new report in the moving averages
_EJECTION_SCORE = 0.4  # reached by four failures in a row
_EJECTION_JOBS = 3  # an ejection needs failures, or slow tasks, of this many jobs
_EJECTION_SLOWNESS = 2.5
_REDUCTION_SLOWNESS = 1.6  # reduces the share of slots
_OUTLIER_FACTOR = 2.0  # an outlier has this many times the mean of the others
MIN_FAILURE_WEIGHT = 0.5  # of a failure that reduces the share of slots
_RAMP_UP_EJECTION_WEIGHT = 0.7  # of a single failure that ejects an agent that is ramping up
# Added to run times: the slowdown of short ones would be mostly jitter of the host.
_JITTER_MS = 5.0
_MAX_SLOWDOWN = 10.0
_MIN_SAMPLES = 5
_PROBE_INTERVAL_S = (1.0, 60.0)  # shortest and longest; doubled with each ejection
_EJECTION_MEMORY_S = 60.0  # after this long without a change of state, the intervals start anew
_MAX_SLOT_HOLD_S = 1.0
REFUSED_HOLD_S = 0.1  # for a task that the upstream refused to start
_REPORT_CHECK_INTERVAL_S = 0.25
# An agent is unresponsive if it reports nothing for this many mean run times plus this time.
_REPORT_TIMEOUT_RUN_TIMES = 10.0
_REPORT_TIMEOUT_S = 0.5
_MAX_REMEMBERED = 20_000


class State(enum.Enum):
    """State of an agent in the circuit breaker."""

    HEALTHY = "in"
    EJECTED = "out"
    PROBING = "probe"
    RAMPING_UP = "ramp"


@attrs.define(slots=True, eq=False)
class AgentHealth:
    """Health of one agent; `failure_score` and `slowness` are moving averages over its reports."""

    failure_score: float = 0.0
    slowness: float = 1.0
    share_halvings: int = 0
    state: State = State.HEALTHY
    reason: str = ""
    ejections: int = 0
    changed_at: float = 0.0
    probe_at: float = 0.0
    ramp_slots: int = 0
    last_report_at: float = 0.0
    failed_jobs: collections.deque[_work.JobKey] = attrs.Factory(
        lambda: collections.deque(maxlen=_EJECTION_JOBS)
    )
    slow_jobs: collections.deque[_work.JobKey] = attrs.Factory(
        lambda: collections.deque(maxlen=_EJECTION_JOBS)
    )
    removed_at: float | None = None
    was_usable: bool = False


class HealthTracker:
    """The health of all agents, and the share of its slots that each may use."""

    def __init__(self, settings: _settings.RoutingSettings) -> None:
        self._max_ejected_fraction = settings.removed_share_percent / 100.0
        self.health_by_id: dict[str, AgentHealth] = {}
        self._agents: set[_groups.Agent] = set()
        self._ejected: set[_groups.Agent] = set()
        self._failure_score_sum = 0.0
        self._slowness_sum = 0.0
        self._holds: list[tuple[float, int, _groups.Agent]] = []
        self._hold_count = 0
        self._next_report_check = 0.0
        self._pending_recalls: list[str] = []

    def track(self, agent: _groups.Agent, now: float) -> None:
        """Track an agent; one that was removed recently keeps its health record."""
        agent_id = agent.upstream.agent_id
        health = self.health_by_id.pop(agent_id, None)
        if health is None:
            health = AgentHealth(last_report_at=now)
            if len(self.health_by_id) >= _MAX_REMEMBERED:
                self._forget_oldest()
        self.health_by_id[agent_id] = health
        agent.health = health
        self._agents.add(agent)
        self._failure_score_sum += health.failure_score
        self._slowness_sum += health.slowness
        if health.removed_at is not None:
            health.removed_at = None
            if health.was_usable:
                self._handle_return(agent, now)
        health.was_usable |= agent.upstream.usable

    def _forget_oldest(self) -> None:
        for agent_id, health in self.health_by_id.items():
            if health.removed_at is not None:
                del self.health_by_id[agent_id]
                return

    def untrack(self, agent: _groups.Agent, now: float) -> None:
        """Stop tracking an agent that was removed."""
        if agent in self._agents:
            self._agents.discard(agent)
            self._ejected.discard(agent)
            agent.health.removed_at = now
            self._failure_score_sum -= agent.health.failure_score
            self._slowness_sum -= agent.health.slowness

    def _handle_return(self, agent: _groups.Agent, now: float) -> None:
        """Ramp up an agent that was removed or unusable; eject it if it is flapping."""
        health = agent.health
        self._reset_old_ejections(health, now)
        health.ejections += 1
        health.changed_at = health.last_report_at = now
        if health.ejections == 1 or not self._may_eject(agent):
            health.state, health.ramp_slots, health.reason = State.RAMPING_UP, 1, "returned"
            return
        self._eject(agent, "flapping", now)

    @staticmethod
    def _reset_old_ejections(health: AgentHealth, now: float) -> None:
        if now - health.changed_at > _EJECTION_MEMORY_S:
            health.ejections = 0

    def set_usable(self, agent: _groups.Agent, usable: bool, now: float) -> None:
        """Track whether an agent is usable; becoming so for the first time is not a return."""
        health = agent.health
        if usable and health.was_usable and not agent.upstream.usable:
            self._handle_return(agent, now)
        health.was_usable |= usable

    def share(self, agent: _groups.Agent) -> int:
        """Return the number of slots that an agent may use."""
        health, slots = agent.health, agent.upstream.slots
        match health.state:
            case State.EJECTED:
                return 0
            case State.PROBING:
                return min(1, slots)
            case State.RAMPING_UP:
                return min(health.ramp_slots, slots)
        if health.share_halvings and self._is_failure_outlier(agent):
            return max(1, slots >> health.share_halvings)
        if self._is_slowness_outlier(agent, _REDUCTION_SLOWNESS):
            return max(1, int(slots * _REDUCTION_SLOWNESS / health.slowness))
        return slots

    def _is_failure_outlier(self, agent: _groups.Agent) -> bool:
        others = max(1, len(self._agents) - 1)
        failure_score = agent.health.failure_score
        return failure_score * others >= _OUTLIER_FACTOR * (self._failure_score_sum - failure_score)

    def _is_slowness_outlier(self, agent: _groups.Agent, limit: float) -> bool:
        slowness = agent.health.slowness
        if slowness < limit:
            return False
        others = max(1, len(self._agents) - 1)
        return slowness * others >= _OUTLIER_FACTOR * (self._slowness_sum - slowness)

    def _may_eject(self, agent: _groups.Agent) -> bool:
        return agent in self._ejected or len(self._ejected) + 1 <= self._max_ejected_fraction * len(
            self._agents
        )

    def _eject(self, agent: _groups.Agent, reason: str, now: float) -> bool:
        if not self._may_eject(agent):
            return False
        health = agent.health
        shortest, longest = _PROBE_INTERVAL_S
        interval = min(longest, shortest * 2.0 ** min(health.ejections, 10))
        if health.state is State.HEALTHY:
            self._reset_old_ejections(health, now)
        health.ejections += 1
        health.state, health.reason = State.EJECTED, reason
        health.changed_at = now
        health.probe_at = now + interval
        self._ejected.add(agent)
        if agent.own_tasks:
            self._pending_recalls.append(agent.upstream.agent_id)
        return True

    def pop_recalls(self) -> list[str]:
        """Return the agents with tasks of this entry that were ejected since the last call."""
        agent_ids, self._pending_recalls = self._pending_recalls, []
        return agent_ids

    def succeeded(
        self, agent: _groups.Agent, key: _work.JobKey, slowdown: float, now: float
    ) -> bool:
        """Record a success; return whether the agent's share may have changed."""
        health = agent.health
        health.last_report_at = now
        change = _SMOOTHING * (slowdown - health.slowness)
        health.slowness += change
        self._slowness_sum += change
        if health.state is State.HEALTHY and not health.failure_score:
            if slowdown < _REDUCTION_SLOWNESS and health.slowness < _REDUCTION_SLOWNESS:
                return False
        else:
            self._record_recovery(agent, slowdown, now)
        if slowdown > _REDUCTION_SLOWNESS and key not in health.slow_jobs:
            health.slow_jobs.append(key)
        has_several_jobs = len(health.slow_jobs) >= _EJECTION_JOBS
        if (
            health.state is State.HEALTHY
            and has_several_jobs
            and self._is_slowness_outlier(agent, _EJECTION_SLOWNESS)
        ):
            self._eject(agent, "slow", now)
            health.slow_jobs.clear()
        return True

    def _record_recovery(self, agent: _groups.Agent, slowdown: float, now: float) -> None:
        health = agent.health
        change = (
            -health.failure_score
            if health.failure_score < 0.01
            else -_SMOOTHING * health.failure_score
        )
        health.failure_score += change
        self._failure_score_sum += change
        health.share_halvings = max(0, health.share_halvings - 1)
        if health.state is State.PROBING:
            if health.reason == "slow" and slowdown > _EJECTION_SLOWNESS:
                self._eject(agent, "slow", now)
                return
            self._ejected.discard(agent)
            health.state, health.ramp_slots = State.RAMPING_UP, 2
            health.share_halvings = 0
            health.changed_at = now
            self._slowness_sum += 1.0 - health.slowness
            health.slowness = 1.0
        elif health.state is State.RAMPING_UP:
            health.ramp_slots *= 2
            if health.ramp_slots >= agent.upstream.slots:
                health.state, health.reason = State.HEALTHY, ""

    def failed(self, agent: _groups.Agent, key: _work.JobKey, weight: float, now: float) -> None:
        """Record a failure; `weight`, 0 to 1, is how far it is attributed to the runner."""
        health = agent.health
        health.last_report_at = now
        change = _SMOOTHING * (weight - health.failure_score)
        health.failure_score += change
        self._failure_score_sum += change
        if weight < MIN_FAILURE_WEIGHT:
            return
        health.share_halvings = min(health.share_halvings + 1, 8)
        if key not in health.failed_jobs:
            health.failed_jobs.append(key)
        match health.state:
            case State.PROBING:
                self._eject(agent, health.reason, now)
            case State.RAMPING_UP if weight >= _RAMP_UP_EJECTION_WEIGHT:
                self._eject(agent, "failing", now)
            case State.HEALTHY:
                has_several_jobs = len(health.failed_jobs) >= _EJECTION_JOBS
                if (
                    has_several_jobs
                    and health.failure_score >= _EJECTION_SCORE
                    and self._is_failure_outlier(agent)
                ):
                    self._eject(agent, "failing", now)
                    health.failed_jobs.clear()

    def withhold_slot(self, agent: _groups.Agent, seconds: float, now: float) -> None:
        """Withhold a slot, so that a runner that fails fast doesn't attract more than its share."""
        if seconds <= 0.0:
            return
        agent.withheld_slots += 1
        self._hold_count += 1
        until = now + min(seconds, _MAX_SLOT_HOLD_S)
        heapq.heappush(self._holds, (until, self._hold_count, agent))

    def advance(self, now: float) -> list[_groups.Agent]:
        """Release withheld slots, start probes and detect unresponsive agents, as far as due.

        Return the agents whose share or load changed.
        """
        changed = []
        while self._holds and self._holds[0][0] <= now:
            agent = heapq.heappop(self._holds)[2]
            agent.withheld_slots -= 1
            changed.append(agent)
        for agent in self._ejected:
            if agent.health.state is State.EJECTED and agent.health.probe_at <= now:
                agent.health.state = State.PROBING
                changed.append(agent)
        if now >= self._next_report_check:
            self._next_report_check = now + _REPORT_CHECK_INTERVAL_S
            changed += [agent for agent in self._agents if self._eject_if_unresponsive(agent, now)]
        return changed

    def _eject_if_unresponsive(self, agent: _groups.Agent, now: float) -> bool:
        """Eject an agent that has tasks of several jobs and reports nothing for long."""
        health = agent.health
        if not agent.own_tasks:
            health.last_report_at = now
            return False
        if health.state is not State.HEALTHY or len(agent.sent_by_job) < 2:
            return False
        limit = _REPORT_TIMEOUT_S + _REPORT_TIMEOUT_RUN_TIMES * agent.mean_ms() / 1000.0
        return now - health.last_report_at > limit and self._eject(agent, "silent", now)

    def next_due(self) -> float | None:
        """Return when a withheld slot or a probe is next due."""
        times = [self._holds[0][0]] if self._holds else []
        times += [
            agent.health.probe_at for agent in self._ejected if agent.health.state is State.EJECTED
        ]
        return min(times, default=None)


def slowdown(kind_stats: _estimates.KindStats | None, run_ms: float, declared_ms: float) -> float:
    """Return a run time over the estimated one, 1 while there are too few samples."""
    if kind_stats is None or kind_stats.samples < _MIN_SAMPLES:
        return 1.0
    return min(
        _MAX_SLOWDOWN, (run_ms + _JITTER_MS) / (kind_stats.predict(declared_ms) + _JITTER_MS)
    )


def failure_weight(kind_stats: _estimates.KindStats, job: _queue.Job, agent_id: str) -> float:
    """Return how far a failure is attributed to the runner, 0 to 1.

    The weight is high if tasks of the kind, or other tasks of the job, succeed elsewhere, and
    lower if the job fails at several agents. It is 0.5 if nothing is known of the kind.
    """
    failed_elsewhere = kind_stats.failures - kind_stats.failures_by_agent.get(agent_id, 0.0)
    weight = (kind_stats.successes + 1.0) / (kind_stats.successes + failed_elsewhere + 2.0)
    if job.succeeded and not kind_stats.successes:
        weight = max(weight, MIN_FAILURE_WEIGHT + 0.1)
    return weight / max(1, len(job.failed_agents))


def slot_hold_s(entry: _queue.QueueEntry, run_ms: float) -> float:
    """Return how long to withhold the slot of a task that failed early."""
    return (entry[0] - run_ms) / 1000.0


def describe(health: AgentHealth) -> dict:
    """Return an agent's health for the status page."""
    return {
        "state": health.state.value,
        "reason": health.reason,
        "failure_score": round(health.failure_score, 3),
        "slowness": round(health.slowness, 2),
    }
