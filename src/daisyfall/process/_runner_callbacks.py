"""What an agent's session with its runner needs from the agent."""

from collections.abc import Callable

import attrs

from daisyfall.request import _run


@attrs.frozen
class RunnerCallbacks:
    """Callbacks of a `RunnerSession` into its agent.

    `on_runs_ended` receives ended and refused runs. `on_availability_changed` is called when the
    runner's capacity or its readiness for tasks may have changed. `check_pause` is called before
    the lists of an answer are processed. `on_crashed` receives the name of a crashed incarnation
    and `Runs.crashed_runs`.
    """

    on_runs_ended: Callable[[list[_run.RunEnd]], None]
    on_availability_changed: Callable[[], None]
    check_pause: Callable[[], None]
    on_crashed: Callable[[str, list[list]], None]
