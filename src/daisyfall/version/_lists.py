"""The two lists: the plan of each buyer, and the allowance of each plan."""

import hashlib
import hmac
from typing import Annotated

import attrs

from daisyfall._validation import Pattern, Range

# Half of the shortest retention time. A job with a longer deadline could still be running when
# the record of its started tasks expires.
LONGEST_DEADLINE_MS = 300_000
LARGEST_JOB_TASKS = 1_900

Name = Annotated[str, Pattern(r"[A-Za-z0-9][A-Za-z0-9_-]{0,63}", "1 to 64 of A-Za-z0-9_-")]
Label = Annotated[str, Pattern(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", "1 to 64 of A-Za-z0-9._-")]
Salt = Annotated[str, Pattern(r"[^$\s]{8,64}", "8 to 64 characters without blanks and $")]
Digest = Annotated[str, Pattern(r"[0-9a-f]{64}", "64 lower-case hexadecimal digits")]

_DUMMY_HASH = "0" * 64
_DUMMY_SALT = "no-such-buyer"


@attrs.frozen
class Buyer:
    """One buyer, with its plan and the salted hash of its bearer token's secret."""

    name: str
    plan: Name
    salt: Salt
    token_hash: Digest  # hex SHA-256 of salt + secret


@attrs.frozen
class Allowance:
    """Limits of one plan; they apply to each buyer, over all entries together."""

    starts_per_second: Annotated[float, Range(0.001, 10_000_000)]
    tasks_in_flight: Annotated[int, Range(1, 10_000_000)]
    slots: Annotated[int, Range(1, 10_000_000)]
    accelerators: Annotated[int, Range(0, 1_000_000)]
    largest_job_tasks: Annotated[int, Range(1, LARGEST_JOB_TASKS)]
    longest_deadline_ms: Annotated[int, Range(1, LONGEST_DEADLINE_MS)]
    priority: Annotated[int, Range(1, 10)] = 1  # weight in the fair queue
    data_centres: list[Label] = attrs.Factory(list)  # empty: all
    upstream_labels: list[Label] = attrs.Factory(list)  # all must be present


@attrs.frozen
class Lists:
    """One accepted version of both lists."""

    version: int
    digest: str
    buyer_by_name: dict[str, Buyer]
    allowance_by_plan: dict[str, Allowance]
    # Cache of the tokens that were verified against this version, at most one for each buyer.
    _buyer_by_token: dict[str, Buyer] = attrs.field(
        factory=dict, init=False, repr=False, eq=False, hash=False
    )

    def allowance(self, buyer: str) -> Allowance | None:
        """Return the allowance of a buyer, None for an unknown buyer."""
        found = self.buyer_by_name.get(buyer)
        return self.allowance_by_plan[found.plan] if found else None


def hash_token(secret: str, salt: str) -> str:
    """Return the hex SHA-256 of salt + secret, as stored in the plans."""
    return hashlib.sha256((salt + secret).encode()).hexdigest()


def verify_token(lists: Lists, bearer: str) -> Buyer | None:
    """Return the buyer whose token `<buyer>.<secret>` this is, None if it is not valid.

    An unknown buyer takes the same hash and comparison as a known one, so that response
    times don't reveal which buyers exist. Only verified tokens are cached.
    """
    cached = lists._buyer_by_token.get(bearer)
    if cached is not None:
        return cached
    name, _, secret = bearer.partition(".")
    buyer = lists.buyer_by_name.get(name)
    salt, expected = (buyer.salt, buyer.token_hash) if buyer else (_DUMMY_SALT, _DUMMY_HASH)
    matches = hmac.compare_digest(hash_token(secret, salt), expected)
    if buyer is None or not secret or not matches:
        return None
    lists._buyer_by_token[bearer] = buyer
    return buyer


def verify_operator(token_hashes: list[str], bearer: str) -> bool:
    """Return whether the token matches one of the `salt$hash` texts, compared in constant time."""
    matches = []
    for token_hash in token_hashes:
        salt, _, expected = token_hash.partition("$")
        matches.append(hmac.compare_digest(hash_token(bearer, salt), expected))
    return bool(bearer) and any(matches)
