"""Sum in which amounts count less the longer ago they were added."""

import math

import attrs


@attrs.define(slots=True)
class DecayingSum:
    """Sum in which an amount counts half after `half_life_s` seconds; times are in seconds."""

    half_life_s: float
    value: float = 0.0
    updated_at: float = 0.0

    def at(self, now: float) -> float:
        """Return the sum at a time."""
        return self.value * 0.5 ** (max(now - self.updated_at, 0.0) / self.half_life_s)

    def rate(self, now: float) -> float:
        """Return the mean amount per second, of which the last half-life makes up half."""
        return self.at(now) * math.log(2) / self.half_life_s

    def add(self, amount: float, now: float) -> None:
        """Add an amount, or take a negative one away."""
        self.value, self.updated_at = self.at(now) + amount, now
