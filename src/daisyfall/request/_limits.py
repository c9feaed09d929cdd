"""Limits of a buyer's plan, enforced on the tasks that were started and not yet reported."""

import enum

import attrs

from daisyfall.version import _lists

# Capacity of the rate limit's token bucket: the starts of this time.
_BUCKET_CAPACITY_S = 1.0
# Waiting starts are released in batches of this time, so that a high rate doesn't wake the event
# loop for each.
_RELEASE_INTERVAL_S = 0.005
# Rounding error of the bucket: a token that lacks no more than this counts as whole.
_ROUNDING_ERROR = 1e-6


class Limit(enum.Enum):
    """A limit of the plan that blocks starts; `PLAN` stands for a buyer without a plan."""

    PLAN = "plan"
    RATE = "rate"
    IN_FLIGHT = "in_flight"
    SLOTS = "slots"
    ACCELERATORS = "accelerators"


@attrs.define(slots=True, eq=False)
class Usage:
    """One buyer's usage of its plan; `tokens` is the token bucket, refilled up to `refilled_at`.

    A task uses a slot if the agent could run it at once, so tasks that are queued at an agent
    use no more slots than the agent has.
    """

    allowance: _lists.Allowance | None
    refilled_at: float | None = None
    tokens: float = 0.0
    in_flight: int = 0
    slots: int = 0
    accelerators: int = 0
    sent_by_agent: dict[str, int] = attrs.Factory(dict)
    slots_by_agent: dict[str, int] = attrs.Factory(dict)

    def refill(self, now: float) -> None:
        """Add the tokens for the time since the last call."""
        if self.refilled_at is None:
            self.refilled_at = now
        rate = self.allowance.starts_per_second if self.allowance else 0.0
        tokens = self.tokens + max(0.0, now - self.refilled_at) * rate
        self.tokens = min(tokens, max(1.0, rate * _BUCKET_CAPACITY_S) if rate > 0 else 0.0)
        self.refilled_at = max(now, self.refilled_at)

    def empty(self, now: float) -> None:
        """Empty the bucket, since an earlier owner may have used its tokens."""
        self.tokens = 0.0
        self.refilled_at = now

    def available_starts(self, accelerators: int) -> tuple[int, Limit | None]:
        """Return how many tasks may start now, and the limit that blocks them if there are none.

        `accelerators` is the number that each task needs. Call `refill` first.
        """
        allowance = self.allowance
        if allowance is None:
            return 0, Limit.PLAN
        if self.tokens < 1.0 - _ROUNDING_ERROR:
            return 0, Limit.RATE
        count = min(int(self.tokens + _ROUNDING_ERROR), allowance.tasks_in_flight - self.in_flight)
        if count <= 0:
            return 0, Limit.IN_FLIGHT
        if self.slots >= allowance.slots:
            return 0, Limit.SLOTS
        count = min(count, allowance.slots - self.slots)
        if accelerators:
            count = min(count, (allowance.accelerators - self.accelerators) // accelerators)
            if count <= 0:
                return 0, Limit.ACCELERATORS
        return count, None

    def add(self, agent_id: str, agent_slots: int, count: int, accelerators: int) -> None:
        """Count tasks that are sent to an agent; `accelerators` is their total."""
        self.in_flight += count
        self.accelerators += accelerators
        sent = self.sent_by_agent.get(agent_id, 0) + count
        self.sent_by_agent[agent_id] = sent
        used_slots = self.slots_by_agent.get(agent_id, 0)
        if used_slots < agent_slots:
            added = min(sent, agent_slots) - used_slots
            if added > 0:
                self.slots_by_agent[agent_id] = used_slots + added
                self.slots += added

    def release(self, agent_id: str, accelerators: int) -> None:
        """Stop counting one task that was sent to an agent."""
        self.in_flight -= 1
        self.accelerators -= accelerators
        sent = self.sent_by_agent[agent_id] - 1
        if not sent:
            del self.sent_by_agent[agent_id]
            self.slots -= self.slots_by_agent.pop(agent_id, 0)
            return
        self.sent_by_agent[agent_id] = sent
        used_slots = self.slots_by_agent.get(agent_id, 0)
        if used_slots > sent:
            self.slots_by_agent[agent_id] = sent
            self.slots -= used_slots - sent

    def next_release(self, queued: int) -> float | None:
        """Return the time at which the next starts are due, None if the rate is zero."""
        rate = self.allowance.starts_per_second if self.allowance else 0.0
        if rate <= 0:
            return None
        wanted = max(1.0, min(queued, rate * _RELEASE_INTERVAL_S))
        return self.refilled_at + max(0.0, wanted - self.tokens) / rate

    def rate_wait_s(self, starts: int) -> float:
        """Return the seconds until there have been tokens for this many starts."""
        rate = self.allowance.starts_per_second if self.allowance else 0.0
        missing_tokens = starts - self.tokens
        if missing_tokens <= 0:
            return 0.0
        return missing_tokens / rate if rate > 0 else float("inf")
