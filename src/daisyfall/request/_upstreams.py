"""The upstreams behind the connected agents, as the dispatcher sees them."""

from daisyfall import _clock
from daisyfall.connection import _agent_session
from daisyfall.process import _settings
from daisyfall.request import _dispatcher
from daisyfall.version import _lists

DESIRED_STATE_STARTED = "started"


class Upstreams:
    """Turns agents' states and operators' wishes into what the dispatcher may use."""

    def __init__(
        self,
        settings: _settings.Settings,
        dispatcher: _dispatcher.Dispatcher,
        session_by_id: dict[str, _agent_session.AgentSession],
    ):
        self._settings = settings
        self._dispatcher = dispatcher
        self._session_by_id = session_by_id
        self.desired_state_by_id: dict[str, str] = {}
        self.lists: _lists.Lists | None = None

    def desired_state_of(self, agent_id: str) -> str:
        """Return the operators' wish for an upstream."""
        return self.desired_state_by_id.get(agent_id, DESIRED_STATE_STARTED)

    def slots_for(self, buyer: str) -> int:
        """Return the slots that the buyer may use at once, at least 1."""
        allowance = self.lists.allowance(buyer) if self.lists else None
        allowed = allowance.slots if allowance else 1
        usable = [s.status for s in self._session_by_id.values() if s.status and s.status.ready]
        return max(1, min(allowed, sum(status.slots for status in usable)))

    def update(self, session: _agent_session.AgentSession) -> None:
        """Tell the dispatcher what the agent's upstream can take now."""
        status = session.status
        if status is None:
            return
        wish = self.desired_state_of(session.agent_id)
        connected = self._session_by_id.get(session.agent_id) is session
        willing = (
            status.listed and status.ready and not status.draining and wish == DESIRED_STATE_STARTED
        )
        usable = connected and willing
        near = session.data_centre == self._settings.data_centre
        self._dispatcher.update_upstream(
            _dispatcher.Upstream(
                agent_id=session.agent_id,
                incarnation=session.incarnation,
                data_centre=session.data_centre,
                rack=session.rack,
                slots=status.slots,
                memory_mb=status.memory_mb,
                accelerators=status.accelerators,
                labels=tuple(status.labels),
                running=status.running,
                queued=status.queued,
                usable=usable,
                distance_ms=0.0 if near else self._settings.routing.far_distance_ms,
            ),
            _clock.monotonic(),
        )
