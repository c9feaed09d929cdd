"""Evidence on upstreams: failing, slow, silent and flapping runners, and their way back.

A failure speaks against the runner as far as the same kind, or other tasks of the job, end
well elsewhere. One failure halves the slots that the agent may use; failures of several jobs
take it out. It comes back by single real tasks at growing intervals, then by doubled shares.
Evidence that holds for the other agents too speaks against the work, not against a runner.
"""

import collections
import enum
import heapq

import attrs

from daisyfall.process import _settings
from daisyfall.request import _estimates, _groups, _queue, _work

_SMOOTHING = 0.15
_OUT_SCORE = 0.4  # reached by four failures in a row
_OUT_JOBS = 3
_OUT_SLOWNESS = 2.5
_SUSPECT_SLOWNESS = 1.6
_OTHERS_FACTOR = 2.0  # evidence has to be this many times the others' mean
MIN_FAILURE_WEIGHT = 0.5
_RAMP_WEIGHT = 0.7
# Ratios of short run times are mostly jitter of the host.
_JITTER_MS = 5.0
_MAX_RATIO = 10.0
_MIN_SAMPLES = 5
_PROBE_S = (1.0, 60.0)
_CALM_S = 60.0  # without evidence for this long, the intervals start anew
_MAX_HOLD_S = 1.0
REFUSED_HOLD_S = 0.1
_CHECK_S = 0.25
_SILENCE_RUNS = 10.0
_SILENCE_S = 0.5
_MAX_REMEMBERED = 20_000


class State(enum.Enum):
    """How far an agent may be used."""

    IN = "in"
    OUT = "out"
    PROBE = "probe"
    RAMP = "ramp"


@attrs.define(slots=True, eq=False)
class Evidence:
    """What speaks against one agent; `score` and `slowness` are smoothed over its reports."""

    score: float = 0.0
    slowness: float = 1.0
    strikes: int = 0
    state: State = State.IN
    reason: str = ""
    removals: int = 0
    changed_at: float = 0.0
    probe_at: float = 0.0
    ramp: int = 0
    last_report: float = 0.0
    failed_jobs: collections.deque[_work.Key] = attrs.Factory(
        lambda: collections.deque(maxlen=_OUT_JOBS)
    )
    slow_jobs: collections.deque[_work.Key] = attrs.Factory(
        lambda: collections.deque(maxlen=_OUT_JOBS)
    )
    left_at: float | None = None
    was_usable: bool = False


class HealthTracker:
    """Evidence by agent, and the share of its slots that each may use."""

    def __init__(self, settings: _settings.RoutingSettings) -> None:
        self._removed_share = settings.removed_share_percent / 100.0
        self.health_by_id: dict[str, Evidence] = {}
        self._agents: set[_groups.Agent] = set()
        self._out: set[_groups.Agent] = set()
        self._score_sum = 0.0
        self._slowness_sum = 0.0
        self._holds: list[tuple[float, int, _groups.Agent]] = []
        self._holds_made = 0
        self._next_check = 0.0
        self._recalls: list[str] = []

    def join(self, agent: _groups.Agent, now: float) -> None:
        """Follow an agent; one that left a short time ago keeps its evidence."""
        agent_id = agent.upstream.agent_id
        health = self.health_by_id.pop(agent_id, None)
        if health is None:
            health = Evidence(last_report=now)
            if len(self.health_by_id) >= _MAX_REMEMBERED:
                self._forget_oldest()
        self.health_by_id[agent_id] = health
        agent.health = health
        self._agents.add(agent)
        self._score_sum += health.score
        self._slowness_sum += health.slowness
        if health.left_at is not None:
            health.left_at = None
            if health.was_usable:
                self._come_back(agent, now)
        health.was_usable |= agent.upstream.usable

    def _forget_oldest(self) -> None:
        for agent_id, health in self.health_by_id.items():
            if health.left_at is not None:
                del self.health_by_id[agent_id]
                return

    def leave(self, agent: _groups.Agent, now: float) -> None:
        """Stop following an agent that was removed."""
        if agent in self._agents:
            self._agents.discard(agent)
            self._out.discard(agent)
            agent.health.left_at = now
            self._score_sum -= agent.health.score
            self._slowness_sum -= agent.health.slowness

    def _come_back(self, agent: _groups.Agent, now: float) -> None:
        """Let an agent back that was gone or unusable: at once, but slowly if it flaps."""
        health = agent.health
        self._calm(health, now)
        health.removals += 1
        health.changed_at = health.last_report = now
        if health.removals == 1 or not self._may_remove(agent):
            health.state, health.ramp, health.reason = State.RAMP, 1, "returned"
            return
        self._take_out(agent, "flapping", now)

    @staticmethod
    def _calm(health: Evidence, now: float) -> None:
        if now - health.changed_at > _CALM_S:
            health.removals = 0

    def set_usable(self, agent: _groups.Agent, usable: bool, now: float) -> None:
        """Follow an agent that becomes usable; the first time is not a return."""
        health = agent.health
        if usable and health.was_usable and not agent.upstream.usable:
            self._come_back(agent, now)
        health.was_usable |= usable

    def share(self, agent: _groups.Agent) -> int:
        """Return the number of slots that an agent may use."""
        health, slots = agent.health, agent.upstream.slots
        match health.state:
            case State.OUT:
                return 0
            case State.PROBE:
                return min(1, slots)
            case State.RAMP:
                return min(health.ramp, slots)
        if health.strikes and self._stands_out(agent):
            return max(1, slots >> health.strikes)
        if self._is_slow(agent, _SUSPECT_SLOWNESS):
            return max(1, int(slots * _SUSPECT_SLOWNESS / health.slowness))
        return slots

    def _stands_out(self, agent: _groups.Agent) -> bool:
        others = max(1, len(self._agents) - 1)
        score = agent.health.score
        return score * others >= _OTHERS_FACTOR * (self._score_sum - score)

    def _is_slow(self, agent: _groups.Agent, limit: float) -> bool:
        slowness = agent.health.slowness
        if slowness < limit:
            return False
        others = max(1, len(self._agents) - 1)
        return slowness * others >= _OTHERS_FACTOR * (self._slowness_sum - slowness)

    def _may_remove(self, agent: _groups.Agent) -> bool:
        return agent in self._out or len(self._out) + 1 <= self._removed_share * len(self._agents)

    def _take_out(self, agent: _groups.Agent, reason: str, now: float) -> bool:
        if not self._may_remove(agent):
            return False
        health = agent.health
        shortest, longest = _PROBE_S
        interval = min(longest, shortest * 2.0 ** min(health.removals, 10))
        if health.state is State.IN:
            self._calm(health, now)
        health.removals += 1
        health.state, health.reason = State.OUT, reason
        health.changed_at = now
        health.probe_at = now + interval
        self._out.add(agent)
        if agent.own:
            self._recalls.append(agent.upstream.agent_id)
        return True

    def recalls(self) -> list[str]:
        """Return the agents taken out since the last call that have work of this entry."""
        recalls, self._recalls = self._recalls, []
        return recalls

    def done(self, agent: _groups.Agent, key: _work.Key, slowdown: float, now: float) -> bool:
        """Note a task that ended well; return whether the agent's share may have changed."""
        health = agent.health
        health.last_report = now
        change = _SMOOTHING * (slowdown - health.slowness)
        health.slowness += change
        self._slowness_sum += change
        if health.state is State.IN and not health.score:
            if slowdown < _SUSPECT_SLOWNESS and health.slowness < _SUSPECT_SLOWNESS:
                return False
        else:
            self._reward(agent, slowdown, now)
        if slowdown > _SUSPECT_SLOWNESS and key not in health.slow_jobs:
            health.slow_jobs.append(key)
        several = len(health.slow_jobs) >= _OUT_JOBS
        if health.state is State.IN and several and self._is_slow(agent, _OUT_SLOWNESS):
            self._take_out(agent, "slow", now)
            health.slow_jobs.clear()
        return True

    def _reward(self, agent: _groups.Agent, slowdown: float, now: float) -> None:
        health = agent.health
        change = -health.score if health.score < 0.01 else -_SMOOTHING * health.score
        health.score += change
        self._score_sum += change
        health.strikes = max(0, health.strikes - 1)
        if health.state is State.PROBE:
            if health.reason == "slow" and slowdown > _OUT_SLOWNESS:
                self._take_out(agent, "slow", now)
                return
            self._out.discard(agent)
            health.state, health.ramp = State.RAMP, 2
            health.strikes = 0
            health.changed_at = now
            self._slowness_sum += 1.0 - health.slowness
            health.slowness = 1.0
        elif health.state is State.RAMP:
            health.ramp *= 2
            if health.ramp >= agent.upstream.slots:
                health.state, health.reason = State.IN, ""

    def failed(self, agent: _groups.Agent, key: _work.Key, weight: float, now: float) -> None:
        """Note a failure; `weight`, 0 to 1, says how far it speaks against the runner."""
        health = agent.health
        health.last_report = now
        change = _SMOOTHING * (weight - health.score)
        health.score += change
        self._score_sum += change
        if weight < MIN_FAILURE_WEIGHT:
            return
        health.strikes = min(health.strikes + 1, 8)
        if key not in health.failed_jobs:
            health.failed_jobs.append(key)
        match health.state:
            case State.PROBE:
                self._take_out(agent, health.reason, now)
            case State.RAMP if weight >= _RAMP_WEIGHT:
                self._take_out(agent, "failing", now)
            case State.IN:
                several = len(health.failed_jobs) >= _OUT_JOBS
                if several and health.score >= _OUT_SCORE and self._stands_out(agent):
                    self._take_out(agent, "failing", now)
                    health.failed_jobs.clear()

    def hold(self, agent: _groups.Agent, seconds: float, now: float) -> None:
        """Keep a slot empty, so that a runner that fails at once draws no more than its share."""
        if seconds <= 0.0:
            return
        agent.held += 1
        self._holds_made += 1
        until = now + min(seconds, _MAX_HOLD_S)
        heapq.heappush(self._holds, (until, self._holds_made, agent))

    def advance(self, now: float) -> list[_groups.Agent]:
        """Do what is due by time; return the agents whose share or load changed."""
        changed = []
        while self._holds and self._holds[0][0] <= now:
            agent = heapq.heappop(self._holds)[2]
            agent.held -= 1
            changed.append(agent)
        for agent in self._out:
            if agent.health.state is State.OUT and agent.health.probe_at <= now:
                agent.health.state = State.PROBE
                changed.append(agent)
        if now >= self._next_check:
            self._next_check = now + _CHECK_S
            changed += [agent for agent in self._agents if self._is_silent(agent, now)]
        return changed

    def _is_silent(self, agent: _groups.Agent, now: float) -> bool:
        """Take an agent out that has tasks of several jobs and reports nothing for long."""
        health = agent.health
        if not agent.own:
            health.last_report = now
            return False
        if health.state is not State.IN or len(agent.sent_by_job) < 2:
            return False
        limit = _SILENCE_S + _SILENCE_RUNS * agent.mean_ms() / 1000.0
        return now - health.last_report > limit and self._take_out(agent, "silent", now)

    def next_due(self) -> float | None:
        """Return the time at which a held slot or a probe is next due."""
        times = [self._holds[0][0]] if self._holds else []
        times += [each.health.probe_at for each in self._out if each.health.state is State.OUT]
        return min(times, default=None)


def slowdown(kind_stats: _estimates.Record | None, run_ms: float, declared_ms: float) -> float:
    """Return a run time over the learnt one, 1 as long as too little is learnt."""
    if kind_stats is None or kind_stats.samples < _MIN_SAMPLES:
        return 1.0
    return min(_MAX_RATIO, (run_ms + _JITTER_MS) / (kind_stats.predict(declared_ms) + _JITTER_MS))


def failure_weight(kind_stats: _estimates.Record, job: _queue.Job, agent_id: str) -> float:
    """Return how far a failure speaks against the runner, 0 to 1.

    It does if the kind ends well elsewhere, or other tasks of the job do, and less if the job
    fails at several agents. Nothing known of the kind counts as even.
    """
    failed_elsewhere = kind_stats.failed - kind_stats.failed_by_agent.get(agent_id, 0.0)
    weight = (kind_stats.done + 1.0) / (kind_stats.done + failed_elsewhere + 2.0)
    if job.done and not kind_stats.done:
        weight = max(weight, MIN_FAILURE_WEIGHT + 0.1)
    return weight / max(1, len(job.failed_agents))


def slot_hold_s(entry: _queue.QueueEntry, run_ms: float) -> float:
    """Return for how long to keep the slot of a task that failed early."""
    return (entry[0] - run_ms) / 1000.0


def describe(health: Evidence) -> dict:
    """Return an agent's evidence for the status page."""
    return {
        "state": health.state.value,
        "reason": health.reason,
        "failure_score": round(health.score, 3),
        "slowness": round(health.slowness, 2),
    }
