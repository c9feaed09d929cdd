"""Effect of evacuations on runners: closed at first, then returning step by step."""

from daisyfall.policy import _gradual_return, _runner_capacity


class EvacuatedRunners:
    """The evacuated data centres, and those whose runners return; times are in seconds."""

    def __init__(self) -> None:
        self._evacuated: frozenset[str] = frozenset()
        self._returns = _gradual_return.GradualReturn()
        self._share_by_data_centre: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._evacuated)

    def set(self, data_centres: frozenset[str], now: float) -> None:
        """Set the evacuated data centres; `apply` has to be called for all runners then."""
        for data_centre in data_centres - self._evacuated:
            self._returns.evacuate(data_centre, now)
        for data_centre in self._evacuated - data_centres:
            self._returns.take_back(data_centre, now)
        self._evacuated = data_centres
        self._share_by_data_centre = self._returns.share_by_data_centre(now)

    def advance(self, now: float) -> bool:
        """Let runners return; return whether `apply` has to be called for all runners."""
        previous = self._share_by_data_centre
        self._share_by_data_centre = self._returns.share_by_data_centre(now)
        return self._share_by_data_centre != previous

    def apply(self, runner: _runner_capacity.RunnerCapacity) -> None:
        """Set whether a runner is evacuated, and the share of its capacity that it offers."""
        runner.set_evacuation(
            is_evacuated=runner.data_centre in self._evacuated,
            share=self._share_by_data_centre.get(runner.data_centre, 1.0),
        )
