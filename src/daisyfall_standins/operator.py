"""Fake of the operator: evacuates data centres of a test environment and takes them back."""

import base64
import time

import attrs

from daisyfall_standins import leased_runner, metadata_store

EVACUATION_KEY = "evacuate/{}"


@attrs.define(eq=False)
class Evacuation:
    """Evacuation of a data centre, from its acknowledgement to its end (monotonic clock)."""

    data_centre: str
    acknowledged_at: float
    ended_at: float = float("inf")


class Operator:
    """Writes the operator's rows; finds starts that an evacuation should have prevented."""

    def __init__(
        self, store: metadata_store.MetadataStore, execution_log: leased_runner.ExecutionLog
    ):
        self._store = store
        self._execution_log = execution_log
        self.evacuations: list[Evacuation] = []

    def evacuate(self, data_centre: str) -> None:
        """Ask that nothing more is started in a data centre."""
        key = EVACUATION_KEY.format(data_centre)
        self._store.put("op", key, base64.b64encode(b"{}").decode())
        self.evacuations.append(Evacuation(data_centre, time.monotonic()))

    def take_back(self, data_centre: str) -> None:
        """End the evacuation of a data centre."""
        for evacuation in self.evacuations:
            if evacuation.data_centre == data_centre:
                evacuation.ended_at = min(evacuation.ended_at, time.monotonic())
        self._store.remove("op", EVACUATION_KEY.format(data_centre))

    def delays_s(self) -> list[float]:
        """Return, for each start in an evacuated data centre, the time since the request."""
        return [
            started_at - evacuation.acknowledged_at
            for evacuation in self.evacuations
            for started_at, data_centre in self._execution_log.starts
            if data_centre == evacuation.data_centre
            and evacuation.acknowledged_at < started_at < evacuation.ended_at
        ]
