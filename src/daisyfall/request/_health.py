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
STRIKE_WEIGHT = 0.5
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
    failed_jobs: collections.deque[_work.JobKey] = attrs.Factory(
        lambda: collections.deque(maxlen=_OUT_JOBS)
    )
    slow_jobs: collections.deque[_work.JobKey] = attrs.Factory(
        lambda: collections.deque(maxlen=_OUT_JOBS)
    )
    left_at: float | None = None
    was_usable: bool = False


class Health:
    """Evidence by agent, and the share of its slots that each may use."""

    def __init__(self, settings: _settings.RoutingSettings) -> None:
        self._removed_share = settings.removed_share_percent / 100.0
        self.evidence_by_id: dict[str, Evidence] = {}
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
        evidence = self.evidence_by_id.pop(agent_id, None)
        if evidence is None:
            evidence = Evidence(last_report=now)
            if len(self.evidence_by_id) >= _MAX_REMEMBERED:
                self._forget_oldest()
        self.evidence_by_id[agent_id] = evidence
        agent.evidence = evidence
        self._agents.add(agent)
        self._score_sum += evidence.score
        self._slowness_sum += evidence.slowness
        if evidence.left_at is not None:
            evidence.left_at = None
            if evidence.was_usable:
                self._come_back(agent, now)
        evidence.was_usable |= agent.upstream.usable

    def _forget_oldest(self) -> None:
        for agent_id, evidence in self.evidence_by_id.items():
            if evidence.left_at is not None:
                del self.evidence_by_id[agent_id]
                return

    def leave(self, agent: _groups.Agent, now: float) -> None:
        """Stop following an agent that was removed."""
        if agent in self._agents:
            self._agents.discard(agent)
            self._out.discard(agent)
            agent.evidence.left_at = now
            self._score_sum -= agent.evidence.score
            self._slowness_sum -= agent.evidence.slowness

    def _come_back(self, agent: _groups.Agent, now: float) -> None:
        """Let an agent back that was gone or unusable: at once, but slowly if it flaps."""
        evidence = agent.evidence
        self._calm(evidence, now)
        evidence.removals += 1
        evidence.changed_at = evidence.last_report = now
        if evidence.removals == 1 or not self._may_remove(agent):
            evidence.state, evidence.ramp, evidence.reason = State.RAMP, 1, "returned"
            return
        self._take_out(agent, "flapping", now)

    @staticmethod
    def _calm(evidence: Evidence, now: float) -> None:
        if now - evidence.changed_at > _CALM_S:
            evidence.removals = 0

    def set_usable(self, agent: _groups.Agent, usable: bool, now: float) -> None:
        """Follow an agent that becomes usable; the first time is not a return."""
        evidence = agent.evidence
        if usable and evidence.was_usable and not agent.upstream.usable:
            self._come_back(agent, now)
        evidence.was_usable |= usable

    def share(self, agent: _groups.Agent) -> int:
        """Return the number of slots that an agent may use."""
        evidence, slots = agent.evidence, agent.upstream.slots
        match evidence.state:
            case State.OUT:
                return 0
            case State.PROBE:
                return min(1, slots)
            case State.RAMP:
                return min(evidence.ramp, slots)
        if evidence.strikes and self._stands_out(agent):
            return max(1, slots >> evidence.strikes)
        if self._is_slow(agent, _SUSPECT_SLOWNESS):
            return max(1, int(slots * _SUSPECT_SLOWNESS / evidence.slowness))
        return slots

    def _stands_out(self, agent: _groups.Agent) -> bool:
        others = max(1, len(self._agents) - 1)
        score = agent.evidence.score
        return score * others >= _OTHERS_FACTOR * (self._score_sum - score)

    def _is_slow(self, agent: _groups.Agent, limit: float) -> bool:
        slowness = agent.evidence.slowness
        if slowness < limit:
            return False
        others = max(1, len(self._agents) - 1)
        return slowness * others >= _OTHERS_FACTOR * (self._slowness_sum - slowness)

    def _may_remove(self, agent: _groups.Agent) -> bool:
        return agent in self._out or len(self._out) + 1 <= self._removed_share * len(self._agents)

    def _take_out(self, agent: _groups.Agent, reason: str, now: float) -> bool:
        if not self._may_remove(agent):
            return False
        evidence = agent.evidence
        shortest, longest = _PROBE_S
        interval = min(longest, shortest * 2.0 ** min(evidence.removals, 10))
        if evidence.state is State.IN:
            self._calm(evidence, now)
        evidence.removals += 1
        evidence.state, evidence.reason = State.OUT, reason
        evidence.changed_at = now
        evidence.probe_at = now + interval
        self._out.add(agent)
        if agent.own_tasks:
            self._recalls.append(agent.upstream.agent_id)
        return True

    def recalls(self) -> list[str]:
        """Return the agents taken out since the last call that have work of this entry."""
        recalls, self._recalls = self._recalls, []
        return recalls

    def done(self, agent: _groups.Agent, key: _work.JobKey, ratio: float, now: float) -> bool:
        """Note a task that ended well; return whether the agent's share may have changed."""
        evidence = agent.evidence
        evidence.last_report = now
        change = _SMOOTHING * (ratio - evidence.slowness)
        evidence.slowness += change
        self._slowness_sum += change
        if evidence.state is State.IN and not evidence.score:
            if ratio < _SUSPECT_SLOWNESS and evidence.slowness < _SUSPECT_SLOWNESS:
                return False
        else:
            self._reward(agent, ratio, now)
        if ratio > _SUSPECT_SLOWNESS and key not in evidence.slow_jobs:
            evidence.slow_jobs.append(key)
        several = len(evidence.slow_jobs) >= _OUT_JOBS
        if evidence.state is State.IN and several and self._is_slow(agent, _OUT_SLOWNESS):
            self._take_out(agent, "slow", now)
            evidence.slow_jobs.clear()
        return True

    def _reward(self, agent: _groups.Agent, ratio: float, now: float) -> None:
        evidence = agent.evidence
        change = -evidence.score if evidence.score < 0.01 else -_SMOOTHING * evidence.score
        evidence.score += change
        self._score_sum += change
        evidence.strikes = max(0, evidence.strikes - 1)
        if evidence.state is State.PROBE:
            if evidence.reason == "slow" and ratio > _OUT_SLOWNESS:
                self._take_out(agent, "slow", now)
                return
            self._out.discard(agent)
            evidence.state, evidence.ramp = State.RAMP, 2
            evidence.strikes = 0
            evidence.changed_at = now
            self._slowness_sum += 1.0 - evidence.slowness
            evidence.slowness = 1.0
        elif evidence.state is State.RAMP:
            evidence.ramp *= 2
            if evidence.ramp >= agent.upstream.slots:
                evidence.state, evidence.reason = State.IN, ""

    def failed(self, agent: _groups.Agent, key: _work.JobKey, weight: float, now: float) -> None:
        """Note a failure; `weight`, 0 to 1, says how far it speaks against the runner."""
        evidence = agent.evidence
        evidence.last_report = now
        change = _SMOOTHING * (weight - evidence.score)
        evidence.score += change
        self._score_sum += change
        if weight < STRIKE_WEIGHT:
            return
        evidence.strikes = min(evidence.strikes + 1, 8)
        if key not in evidence.failed_jobs:
            evidence.failed_jobs.append(key)
        match evidence.state:
            case State.PROBE:
                self._take_out(agent, evidence.reason, now)
            case State.RAMP if weight >= _RAMP_WEIGHT:
                self._take_out(agent, "failing", now)
            case State.IN:
                several = len(evidence.failed_jobs) >= _OUT_JOBS
                if several and evidence.score >= _OUT_SCORE and self._stands_out(agent):
                    self._take_out(agent, "failing", now)
                    evidence.failed_jobs.clear()

    def hold(self, agent: _groups.Agent, seconds: float, now: float) -> None:
        """Keep a slot empty, so that a runner that fails at once draws no more than its share."""
        if seconds <= 0.0:
            return
        agent.withheld_slots += 1
        self._holds_made += 1
        until = now + min(seconds, _MAX_HOLD_S)
        heapq.heappush(self._holds, (until, self._holds_made, agent))

    def advance(self, now: float) -> list[_groups.Agent]:
        """Do what is due by time; return the agents whose share or load changed."""
        changed = []
        while self._holds and self._holds[0][0] <= now:
            agent = heapq.heappop(self._holds)[2]
            agent.withheld_slots -= 1
            changed.append(agent)
        for agent in self._out:
            if agent.evidence.state is State.OUT and agent.evidence.probe_at <= now:
                agent.evidence.state = State.PROBE
                changed.append(agent)
        if now >= self._next_check:
            self._next_check = now + _CHECK_S
            changed += [agent for agent in self._agents if self._is_silent(agent, now)]
        return changed

    def _is_silent(self, agent: _groups.Agent, now: float) -> bool:
        """Take an agent out that has tasks of several jobs and reports nothing for long."""
        evidence = agent.evidence
        if not agent.own_tasks:
            evidence.last_report = now
            return False
        if evidence.state is not State.IN or len(agent.sent_by_job) < 2:
            return False
        limit = _SILENCE_S + _SILENCE_RUNS * agent.mean_ms() / 1000.0
        return now - evidence.last_report > limit and self._take_out(agent, "silent", now)

    def next_due(self) -> float | None:
        """Return the time at which a held slot or a probe is next due."""
        times = [self._holds[0][0]] if self._holds else []
        times += [each.evidence.probe_at for each in self._out if each.evidence.state is State.OUT]
        return min(times, default=None)


def ratio(record: _estimates.Record | None, run_ms: float, declared_ms: float) -> float:
    """Return a run time over the learnt one, 1 as long as too little is learnt."""
    if record is None or record.samples < _MIN_SAMPLES:
        return 1.0
    return min(_MAX_RATIO, (run_ms + _JITTER_MS) / (record.predict(declared_ms) + _JITTER_MS))


def weigh(record: _estimates.Record, job: _queue.Job, agent_id: str) -> float:
    """Return how far a failure speaks against the runner, 0 to 1.

    It does if the kind ends well elsewhere, or other tasks of the job do, and less if the job
    fails at several agents. Nothing known of the kind counts as even.
    """
    failed_elsewhere = record.failed - record.failed_by_agent.get(agent_id, 0.0)
    weight = (record.done + 1.0) / (record.done + failed_elsewhere + 2.0)
    if job.done and not record.done:
        weight = max(weight, STRIKE_WEIGHT + 0.1)
    return weight / max(1, len(job.failed_agents))


def hold_s(entry: _queue.Entry, run_ms: float) -> float:
    """Return for how long to keep the slot of a task that failed early."""
    return (entry[0] - run_ms) / 1000.0


def describe(evidence: Evidence) -> dict:
    """Return an agent's evidence for the status page."""
    return {
        "state": evidence.state.value,
        "reason": evidence.reason,
        "failure_score": round(evidence.score, 3),
        "slowness": round(evidence.slowness, 2),
    }
