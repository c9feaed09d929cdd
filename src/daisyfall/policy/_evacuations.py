"""Evacuations of data centres: the last known state of each, by version of the store.

Each state has the version of the store at which it was seen, and the higher version holds. So the
order in which states arrive doesn't matter, and a late one changes nothing.
"""

from collections.abc import Iterable

import attrs

# Reason of a refusal, and of a task that is placed again.
EVACUATED = "evacuated"
# Bounds memory and the size of messages if rows hold arbitrary names.
MAX_UNKNOWN_NAMES = 500


@attrs.frozen
class State:
    """State of a data centre: whether it is evacuated as of a version of the store."""

    data_centre: str = attrs.field(validator=attrs.validators.instance_of(str))
    version: int = attrs.field(validator=attrs.validators.instance_of(int))
    is_evacuated: bool = attrs.field(validator=attrs.validators.instance_of(bool))

    @property
    def rank(self) -> tuple[int, bool]:
        """Return the order of the states of one data centre, the one that holds last.

        A row is removed after it was written, so of equal versions the removal holds.
        """
        return (self.version, not self.is_evacuated)


class Evacuations:
    """States by data centre; `known` names the data centres that exist.

    The states of other names are kept, and take effect when the name becomes known.
    """

    def __init__(self, known: Iterable[str] = ()) -> None:
        self._known = set(known)
        self._state_by_data_centre: dict[str, State] = {}

    @property
    def in_force(self) -> frozenset[str]:
        """Return the data centres that are evacuated."""
        return frozenset(
            state.data_centre
            for state in self._state_by_data_centre.values()
            if state.is_evacuated and state.data_centre in self._known
        )

    def is_known(self, data_centre: str) -> bool:
        """Return whether a data centre exists."""
        return data_centre in self._known

    def add_known(self, data_centre: str) -> None:
        """Add the name of a data centre, which a process there has sent."""
        self._known.add(data_centre)

    def merge(self, states: Iterable[State]) -> list[State]:
        """Take the states that are newer than the known ones; return those to pass on.

        A later version of a state that says again that nothing is evacuated is not passed on.
        """
        news = []
        for state in states:
            previous = self._state_by_data_centre.get(state.data_centre)
            if previous is not None and previous.rank >= state.rank:
                continue
            if previous is None and not self._has_room_for(state.data_centre):
                continue
            self._state_by_data_centre[state.data_centre] = state
            if state.is_evacuated or previous is None or previous.is_evacuated:
                news.append(state)
        return news

    def merge_full_read(
        self, states: Iterable[State], unreadable: Iterable[str], version: int
    ) -> list[State]:
        """Merge all rows of the operator's table as of a version; return the states to pass on.

        Every data centre without a row is not evacuated at that version. Those in `unreadable`
        have a row that can't be decoded; their state stays.
        """
        rows = list(states)
        present = {state.data_centre for state in rows}.union(unreadable)
        absent = (self._known | self._state_by_data_centre.keys()) - present
        return self.merge(rows + [State(name, version, False) for name in sorted(absent)])

    def _has_room_for(self, data_centre: str) -> bool:
        names = self._state_by_data_centre.keys()
        return data_centre in self._known or len(names - self._known) < MAX_UNKNOWN_NAMES

    def rows(self) -> list[list]:
        """Return all states as `[data centre, version, is evacuated]`."""
        return [list(attrs.astuple(state)) for state in self._state_by_data_centre.values()]
