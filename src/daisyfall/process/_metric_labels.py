"""Names of metrics and their label values, which are bounded.

Label values that are received from other processes could otherwise use any amount of memory.
"""

from collections.abc import Collection

PREFIX = "daisyfall_"
MAX_LABEL_LENGTH = 48
OTHER = "other"


def bounded(value: str, known_values: Collection[str], max_values: int) -> str:
    """Return a label value, or `OTHER` for one that is too long or is new to a full set."""
    if value in known_values:
        return value
    return OTHER if len(known_values) >= max_values or len(value) > MAX_LABEL_LENGTH else value
