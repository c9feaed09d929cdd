"""Runners that a heartbeat has announced and that are not in use.

A heartbeat may come from another writer, or from a runner that has crashed since. So a runner is
used only after it has answered under the announced identity at the announced address.
"""

import asyncio
import enum
from collections.abc import Callable

import attrs
import loguru

from daisyfall import _clock
from daisyfall.process import _background_tasks, _fencing_token, _leased_runner, _pool_metrics

PROBE_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 0.25
# Other announcements are ignored while this many are probed.
MAX_CANDIDATES = 8

ConnectRunner = Callable[[_leased_runner.RunnerHeartbeat], _leased_runner.LeasedRunner]
# Takes a runner that answers as announced; returns whether it is used from now on.
ConsiderRunner = Callable[[_leased_runner.RunnerHeartbeat, _leased_runner.LeasedRunner], bool]


class Replacement(enum.Enum):
    """What an announced runner that answers means for the one in use."""

    KEEP = "keep"  # the one in use may still have runs
    UPDATE = "update"  # it is the one in use, under another description
    REPLACE = "replace"  # the one in use is gone


def replacement(
    current: _leased_runner.RunnerHeartbeat | None,
    announced: _leased_runner.RunnerHeartbeat,
    *,
    is_current_heard: bool,
    is_current_lost: bool,
) -> Replacement:
    """Decide whether a runner that answers as announced is used in place of the current one.

    `is_current_heard`: the current one still sends heartbeats. `is_current_lost`: it doesn't
    answer, and its lease has expired. Two incarnations can't answer at one address.
    """
    if current is None:
        return Replacement.REPLACE
    if announced.address != current.address:
        return Replacement.REPLACE if is_current_lost else Replacement.KEEP
    if not announced.is_same_incarnation(current):
        return Replacement.REPLACE
    return Replacement.KEEP if is_current_heard else Replacement.UPDATE


@attrs.define(eq=False)
class Candidate:
    """An announced runner; `expires_at` is when it is forgotten without another heartbeat."""

    heartbeat: _leased_runner.RunnerHeartbeat
    expires_at: float


class RunnerCandidates:
    """Probes announced runners until they are used or their heartbeats end."""

    def __init__(
        self,
        connect: ConnectRunner,
        token: _fencing_token.Token,
        lifetime_s: float,
        consider: ConsiderRunner,
        metrics: _pool_metrics.PoolMetrics,
    ) -> None:
        self._connect = connect
        self._token = token
        self._lifetime_s = lifetime_s
        self._consider = consider
        self._metrics = metrics
        self._probes = _background_tasks.BackgroundTasks("a probe of an announced runner")
        self._candidate_by_identity: dict[_leased_runner.RunnerIdentity, Candidate] = {}

    def announce(self, heartbeat: _leased_runner.RunnerHeartbeat) -> None:
        """Probe the runner that a heartbeat announces until it is used, unless it is probed."""
        expires_at = _clock.monotonic() + self._lifetime_s
        candidate = self._candidate_by_identity.get(heartbeat.identity)
        if candidate is not None:
            candidate.expires_at = expires_at
            if heartbeat.sequence > candidate.heartbeat.sequence:
                candidate.heartbeat = heartbeat
            return
        if len(self._candidate_by_identity) >= MAX_CANDIDATES:
            self._ignore(heartbeat, "too_many")
            return
        candidate = Candidate(heartbeat, expires_at)
        self._candidate_by_identity[heartbeat.identity] = candidate
        self._probes.spawn(self._probe(candidate))

    async def _probe(self, candidate: Candidate) -> None:
        reason = "no_answer"
        try:
            runner = self._connect(candidate.heartbeat)
            while _clock.monotonic() < candidate.expires_at:
                answer = await runner.renew_lease(None, self._token.value, 0, 0, PROBE_TIMEOUT_S)
                if answer == _leased_runner.RenewalFailed(_leased_runner.CallOutcome.FENCED):
                    self._token.increase()
                is_confirmed = _is_confirmed(candidate.heartbeat, answer)
                if is_confirmed and self._consider(candidate.heartbeat, runner):
                    return
                if is_confirmed is not None:
                    reason = "other_in_use" if is_confirmed else "other_runner"
                if is_confirmed is False:
                    break
                await asyncio.sleep(PROBE_INTERVAL_S)
        finally:
            del self._candidate_by_identity[candidate.heartbeat.identity]
        self._ignore(candidate.heartbeat, reason)

    def _ignore(self, heartbeat: _leased_runner.RunnerHeartbeat, reason: str) -> None:
        log = loguru.logger.bind(runner=heartbeat.id, address=heartbeat.address, reason=reason)
        log.bind(pool=heartbeat.pool, born_ms=heartbeat.born_ms).warning("heartbeat is ignored")
        self._metrics.count_ignored_heartbeat(reason)


def _is_confirmed(
    heartbeat: _leased_runner.RunnerHeartbeat,
    answer: _leased_runner.RunSnapshot | _leased_runner.RenewalFailed,
) -> bool | None:
    """Return whether the announced runner has answered, None if that isn't known yet."""
    match answer:
        case _leased_runner.RunSnapshot():
            return not answer.is_of_other_incarnation(heartbeat)
        case _leased_runner.RenewalFailed(_leased_runner.CallOutcome.REPLACED):
            return False
    return None
