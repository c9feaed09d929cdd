"""The two lists: the buyers' plans, and what each plan may use."""

import attrs


@attrs.frozen
class Buyer:
    """One buyer: the plan, and the salted hash of the bearer token's secret."""

    name: str
    plan: str
    salt: str
    token_hash: str  # hex SHA-256 of salt + secret


@attrs.frozen
class Allowance:
    """What one plan may use; all counts hold over all entries together for each buyer."""

    starts_per_second: float
    tasks_in_flight: int
    slots: int
    accelerators: int
    largest_job_tasks: int
    longest_deadline_ms: int
    priority: int = 1  # weight in the fair queue, 1 to 10
    data_centres: list[str] = attrs.Factory(list)  # empty: all
    upstream_labels: list[str] = attrs.Factory(list)  # all must be present


@attrs.frozen
class Lists:
    """One accepted version of both lists."""

    version: int
    digest: str
    buyer_by_name: dict[str, Buyer]
    allowance_by_plan: dict[str, Allowance]

    def allowance(self, buyer: str) -> Allowance | None:
        """Return what the buyer may use, None for an unknown buyer."""
        found = self.buyer_by_name.get(buyer)
        return self.allowance_by_plan[found.plan] if found else None
