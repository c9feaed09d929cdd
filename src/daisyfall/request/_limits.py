"""Limits of a buyer's plan, by what was started and not yet reported."""

import enum

import attrs

from daisyfall.version import _lists

# The rate bucket holds the starts of this time.
_BUCKET_S = 1.0
# Starts are released in steps of this time, so that a high rate does not wake the loop for each.
_STEP_S = 0.005
# A bucket that rounding leaves this much short of a token counts as having it.
_ROUNDING = 1e-6


class Limit(enum.Enum):
    """A limit of the plan that holds work back."""

    PLAN = "plan"
    RATE = "rate"
    IN_FLIGHT = "in_flight"
    SLOTS = "slots"
    ACCELERATORS = "accelerators"


@attrs.define(slots=True, eq=False)
class Usage:
    """One buyer's use of the plan; `tokens` is the rate bucket, filled up to `filled_at`.

    A slot counts as used by a task if the agent could run it at once, so a buyer's tasks
    that wait behind each other at one agent use no more slots than the agent has.
    """

    allowance: _lists.Allowance | None
    filled_at: float | None = None
    tokens: float = 0.0
    in_flight: int = 0
    slots: int = 0
    accelerators: int = 0
    sent_by_agent: dict[str, int] = attrs.Factory(dict)
    slots_by_agent: dict[str, int] = attrs.Factory(dict)

    def fill(self, now: float) -> None:
        """Add the tokens of the time since the last call."""
        if self.filled_at is None:
            self.filled_at = now
        rate = self.allowance.starts_per_second if self.allowance else 0.0
        tokens = self.tokens + max(0.0, now - self.filled_at) * rate
        self.tokens = min(tokens, max(1.0, rate * _BUCKET_S) if rate > 0 else 0.0)
        self.filled_at = max(now, self.filled_at)

    def empty(self, now: float) -> None:
        """Empty the bucket, since an earlier owner may have used its tokens."""
        self.tokens = 0.0
        self.filled_at = now

    def room(self, accelerators: int) -> tuple[int, Limit | None]:
        """Return how many tasks may start now, and the limit that holds if there are none.

        `accelerators` is the need of each task. The bucket must have been filled.
        """
        allowance = self.allowance
        if allowance is None:
            return 0, Limit.PLAN
        if self.tokens < 1.0 - _ROUNDING:
            return 0, Limit.RATE
        room = min(int(self.tokens + _ROUNDING), allowance.tasks_in_flight - self.in_flight)
        if room <= 0:
            return 0, Limit.IN_FLIGHT
        if self.slots >= allowance.slots:
            return 0, Limit.SLOTS
        room = min(room, allowance.slots - self.slots)
        if accelerators:
            room = min(room, (allowance.accelerators - self.accelerators) // accelerators)
            if room <= 0:
                return 0, Limit.ACCELERATORS
        return room, None

    def add(self, agent_id: str, agent_slots: int, count: int, accelerators: int) -> None:
        """Count tasks that are sent to an agent; `accelerators` is their total."""
        self.in_flight += count
        self.accelerators += accelerators
        sent = self.sent_by_agent.get(agent_id, 0) + count
        self.sent_by_agent[agent_id] = sent
        used = self.slots_by_agent.get(agent_id, 0)
        if used < agent_slots:
            added = min(sent, agent_slots) - used
            if added > 0:
                self.slots_by_agent[agent_id] = used + added
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
        used = self.slots_by_agent.get(agent_id, 0)
        if used > sent:
            self.slots_by_agent[agent_id] = sent
            self.slots -= used - sent

    def next_token(self, queued: int) -> float | None:
        """Return the time at which the next starts are due, None if the rate is zero."""
        rate = self.allowance.starts_per_second if self.allowance else 0.0
        if rate <= 0:
            return None
        wanted = max(1.0, min(queued, rate * _STEP_S))
        return self.filled_at + max(0.0, wanted - self.tokens) / rate

    def rate_wait_s(self, starts: int) -> float:
        """Return the seconds until this many starts have had their tokens."""
        rate = self.allowance.starts_per_second if self.allowance else 0.0
        missing = starts - self.tokens
        if missing <= 0:
            return 0.0
        return missing / rate if rate > 0 else float("inf")
