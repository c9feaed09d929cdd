"""Which agents an entry's links reach, and since when it doesn't reach the others."""


class AgentLinks:
    """Links to agents by agent id; a link is unreconciled until its agent has told its tasks.

    An agent lets the tasks of an entry go on for some time after each link on which it was told of
    them, so their wait starts anew when such a link closes. `closed_at` times are in seconds.
    """

    def __init__(self) -> None:
        self._closed_at_by_agent: dict[str, float] = {}
        self._unreconciled: set[str] = set()

    def open(self, agent_id: str) -> None:
        """Record that a link has opened."""
        self._unreconciled.add(agent_id)

    def reconcile(self, agent_id: str) -> float | None:
        """Record that an agent has told its tasks; return when the last link to it closed."""
        self._unreconciled.discard(agent_id)
        return self._closed_at_by_agent.pop(agent_id, None)

    def close(self, agent_id: str, now: float, *, has_tasks: bool) -> None:
        """Record that a link has closed whose agent was told of its tasks, if it has any."""
        self._unreconciled.discard(agent_id)
        if has_tasks:
            self._closed_at_by_agent[agent_id] = now
        else:
            self.mark_closed(agent_id, now)

    def mark_closed(self, agent_id: str, closed_at: float) -> None:
        """Record since when an agent, or an earlier incarnation of one, isn't reached."""
        self._closed_at_by_agent.setdefault(agent_id, closed_at)

    def forget(self, agent_id: str) -> None:
        """Stop to track an agent whose tasks have ended."""
        del self._closed_at_by_agent[agent_id]

    def is_unreconciled(self, agent_id: str) -> bool:
        """Return whether a link is open whose agent has not told its tasks yet."""
        return agent_id in self._unreconciled

    def is_closed(self, agent_id: str) -> bool:
        """Return whether no link has been reconciled since the last one closed."""
        return agent_id in self._closed_at_by_agent

    def closed(self) -> list[tuple[str, float]]:
        """Return the agents without a link, and since when."""
        return [
            (agent_id, closed_at)
            for agent_id, closed_at in self._closed_at_by_agent.items()
            if agent_id not in self._unreconciled
        ]
