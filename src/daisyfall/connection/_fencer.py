"""Fencing of shards at the agents before and during a takeover."""

import asyncio

from daisyfall import _clock, _wire
from daisyfall.process import _ownership, _settings, _unreachable_agents
from daisyfall.request import _delivery

# For this long after its start, an entry also waits for registered agents that have not
# connected to it yet.
CONNECT_GRACE_SECONDS = 5.0


class Fencer:
    """Sends `Fence` to all agents and records which of them have reported."""

    def __init__(self, delivery: _delivery.Delivery, settings: _settings.Settings):
        self._delivery = delivery
        self._timeout = settings.lease.fence_timeout_ms / 1000
        self._started_at = _clock.monotonic()
        self._reported_by_epoch: dict[tuple[int, int], set[_ownership.InstanceId]] = {}
        self._changed = asyncio.Event()
        delivery.fence_answered = self.record_report

    def record_report(self, session, shard: int, epoch: int) -> None:
        """Record that an agent has sent its complete fence report."""
        reported = self._reported_by_epoch.get((shard, epoch))
        if reported is not None:
            reported.add((session.agent_id, session.incarnation))
            self._changed.set()

    async def fence(
        self, epochs: dict[int, int], listed: _unreachable_agents.ListedAgents
    ) -> dict[int, set[_ownership.InstanceId]]:
        """Fence the shards at their epochs, within the time limit.

        Returns, for each shard, the listed (agent, incarnation) pairs that have not reported.
        """
        for shard_epoch in epochs.items():
            self._reported_by_epoch[shard_epoch] = set()
        self._delivery.mark_for_reconciliation(set(epochs))
        for session in list(self._delivery.session_by_id.values()):
            session.send(_wire.Fence(epochs))
        deadline = _clock.monotonic() + self._timeout
        while self._is_waiting(epochs, listed):
            remaining = deadline - _clock.monotonic()
            if remaining <= 0:
                break
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                break
        return {
            shard: set(listed) - self._reported_by_epoch.pop((shard, epoch))
            for shard, epoch in epochs.items()
        }

    def _is_waiting(self, epochs: dict[int, int], listed: _unreachable_agents.ListedAgents) -> bool:
        expected = {instance_id for instance_id, ending in listed.items() if not ending.at_ms}
        if _clock.monotonic() - self._started_at > CONNECT_GRACE_SECONDS:
            sessions = self._delivery.session_by_id.values()
            expected &= {(session.agent_id, session.incarnation) for session in sessions}
        return any(
            expected - self._reported_by_epoch[shard_epoch] for shard_epoch in epochs.items()
        )
