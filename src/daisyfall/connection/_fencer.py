"""Fences shards at the agents before and at a takeover (rule 5)."""

import asyncio

from daisyfall import _clock, _wire
from daisyfall.process import _ownership, _settings, _unreachable_agents
from daisyfall.request import _delivery

# An entry that has just started may not have all its agents' connections yet.
SETTLE_SECONDS = 5.0


class Fencer:
    """Sends `Fence` to all agents and collects which of them answered."""

    def __init__(self, delivery: _delivery.Delivery, settings: _settings.Settings):
        self._delivery = delivery
        self._timeout = settings.lease.fence_timeout_ms / 1000
        self._started_at = _clock.monotonic()
        self._answered_by_epoch: dict[tuple[int, int], set[_ownership.InstanceId]] = {}
        self._changed = asyncio.Event()
        delivery.fence_answered = self.answered

    def answered(self, session, shard: int, epoch: int) -> None:
        """Note one agent's complete report."""
        answered = self._answered_by_epoch.get((shard, epoch))
        if answered is not None:
            answered.add((session.agent_id, session.incarnation))
            self._changed.set()

    async def fence(
        self, epochs: dict[int, int], listed: _unreachable_agents.ListedAgents
    ) -> dict[int, set[_ownership.InstanceId]]:
        """Fence the shards; return the listed (agent, incarnation) without an answer, by shard."""
        for item in epochs.items():
            self._answered_by_epoch[item] = set()
        self._delivery.mark_for_reconciliation(set(epochs))
        for session in list(self._delivery.session_by_id.values()):
            session.send(_wire.Fence(epochs))
        deadline = _clock.monotonic() + self._timeout
        while self._waiting(epochs, listed):
            left = deadline - _clock.monotonic()
            if left <= 0:
                break
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                break
        return {
            shard: set(listed) - self._answered_by_epoch.pop((shard, epoch))
            for shard, epoch in epochs.items()
        }

    def _waiting(self, epochs: dict[int, int], listed: _unreachable_agents.ListedAgents) -> bool:
        expected = {instance_id for instance_id, ending in listed.items() if not ending.at_ms}
        if _clock.monotonic() - self._started_at > SETTLE_SECONDS:
            sessions = self._delivery.session_by_id.values()
            expected &= {(each.agent_id, each.incarnation) for each in sessions}
        return any(expected - self._answered_by_epoch[item] for item in epochs.items())
