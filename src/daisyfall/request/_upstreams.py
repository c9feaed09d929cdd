"""Reports the state of the agents' upstreams to the dispatcher."""

from daisyfall import _clock
from daisyfall.connection import _agent_session
from daisyfall.process import _settings
from daisyfall.request import _dispatcher
from daisyfall.version import _lists

DESIRED_STATE_STARTED = "started"


class Upstreams:
    """Combines agents' statuses with the states that operators want, to update the dispatcher.

    The desired state of an upstream ("wish" in the API) is started, draining or stopped.
    """

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
        """Return the state that operators want for an upstream; the default is started."""
        return self.desired_state_by_id.get(agent_id, DESIRED_STATE_STARTED)

    def slots_for(self, buyer: str) -> int:
        """Return the number of slots that the buyer may use at once, at least 1."""
        allowance = self.lists.allowance(buyer) if self.lists else None
        allowed_slots = allowance.slots if allowance else 1
        usable = [
            session.status
            for session in self._session_by_id.values()
            if session.status and session.status.ready
        ]
        return max(1, min(allowed_slots, sum(status.slots for status in usable)))

    def update(self, session: _agent_session.AgentSession) -> None:
        """Pass the current capacity and load of an agent's upstream to the dispatcher."""
        status = session.status
        if status is None:
            return
        desired = self.desired_state_of(session.agent_id)
        is_connected = self._session_by_id.get(session.agent_id) is session
        can_take_tasks = (
            status.listed
            and status.ready
            and not status.draining
            and desired == DESIRED_STATE_STARTED
        )
        usable = is_connected and can_take_tasks
        is_local = session.data_centre == self._settings.data_centre
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
                distance_ms=0.0 if is_local else self._settings.routing.far_distance_ms,
            ),
            _clock.monotonic(),
        )
