"""Gradual return of data centres that were evacuated.

Their runners are idle, so they would get all that arrives, and may be cold. They offer a share of
their capacity at first, and all of it some seconds later. After a short evacuation many of their
tasks still run, so the return lasts no longer than the evacuation has.
"""

# Share of its capacity that a runner offers in each interval after its data centre was taken back.
SHARES = (0.25, 0.5, 0.75)
INTERVAL_S = 1.0
DURATION_S = INTERVAL_S * len(SHARES)


class GradualReturn:
    """Data centres that are evacuated or were taken back a moment ago; times are in seconds.

    After a short evacuation the return counts as begun before: its first steps are left out.
    """

    def __init__(self) -> None:
        self._evacuated_at_by_data_centre: dict[str, float] = {}
        self._begun_at_by_data_centre: dict[str, float] = {}

    def evacuate(self, data_centre: str, now: float) -> None:
        """Record that a data centre is evacuated; what is left of a return counts with it."""
        begun_at = self._begun_at_by_data_centre.pop(data_centre, float("-inf"))
        left_s = max(begun_at + DURATION_S - now, 0.0)
        self._evacuated_at_by_data_centre[data_centre] = now - left_s

    def take_back(self, data_centre: str, now: float) -> None:
        """Record that an evacuated data centre was taken back."""
        evacuated_s = now - self._evacuated_at_by_data_centre.pop(data_centre)
        skipped_s = max(DURATION_S - evacuated_s, 0.0)
        self._begun_at_by_data_centre[data_centre] = now - skipped_s

    def share_by_data_centre(self, now: float) -> dict[str, float]:
        """Return the share of their capacity that the runners of returning data centres offer."""
        share_by_data_centre = {}
        for data_centre, begun_at in list(self._begun_at_by_data_centre.items()):
            interval = int((now - begun_at) / INTERVAL_S)
            if interval < len(SHARES):
                share_by_data_centre[data_centre] = SHARES[interval]
            else:
                del self._begun_at_by_data_centre[data_centre]
        return share_by_data_centre
