"""Life cycle of an agent: starting, ready, draining, stopped."""

from collections.abc import Callable

import loguru
import transitions

STARTING = "starting"
READY = "ready"
DRAINING = "draining"
STOPPED = "stopped"

_TRANSITIONS = [
    {"trigger": "become_ready", "source": STARTING, "dest": READY},
    {"trigger": "become_unready", "source": READY, "dest": STARTING},
    {"trigger": "drain", "source": [STARTING, READY], "dest": DRAINING},
    {"trigger": "finish_draining", "source": DRAINING, "dest": STOPPED},
    {"trigger": "resume", "source": [DRAINING, STOPPED], "dest": STARTING},
]


class Lifecycle:
    """State machine; `on_change` is called after each transition."""

    state: str

    def __init__(self, on_change: Callable[[], None]):
        self._on_change = on_change
        self._machine = transitions.Machine(
            self,
            states=[STARTING, READY, DRAINING, STOPPED],
            transitions=_TRANSITIONS,
            initial=STARTING,
            auto_transitions=False,
            after_state_change="_report",
        )

    @property
    def accepts_work(self) -> bool:
        """Return whether the agent is neither draining nor stopped."""
        return self.state in (STARTING, READY)

    def update_readiness(self, *, is_available: bool) -> None:
        """Switch between starting and ready; other states are left unchanged."""
        if is_available and self.state == STARTING:
            self.become_ready()
        elif not is_available and self.state == READY:
            self.become_unready()

    def _report(self) -> None:
        loguru.logger.bind(state=self.state).info("agent changed state")
        self._on_change()
