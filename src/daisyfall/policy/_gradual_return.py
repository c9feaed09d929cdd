"""Gradual return of data centres that were evacuated.

Their runners are idle, so they would get all that arrives, and may be cold. They offer a share of
their capacity at first, and all of it some seconds later.
"""

# Share of its capacity that a runner offers in each interval after its data centre was taken back.
SHARES = (0.25, 0.5, 0.75)
INTERVAL_S = 1.0


class GradualReturn:
    """Data centres that were taken back a moment ago; times are in seconds."""

    def __init__(self) -> None:
        self._taken_back_at_by_data_centre: dict[str, float] = {}

    def begin(self, data_centre: str, now: float) -> None:
        """Record that a data centre was taken back."""
        self._taken_back_at_by_data_centre[data_centre] = now

    def share_by_data_centre(self, now: float) -> dict[str, float]:
        """Return the share of their capacity that the runners of returning data centres offer."""
        share_by_data_centre = {}
        for data_centre, taken_back_at in list(self._taken_back_at_by_data_centre.items()):
            interval = int((now - taken_back_at) / INTERVAL_S)
            if interval < len(SHARES):
                share_by_data_centre[data_centre] = SHARES[interval]
            else:
                del self._taken_back_at_by_data_centre[data_centre]
        return share_by_data_centre
