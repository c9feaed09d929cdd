"""Rows of the agents: each incarnation is listed before its first use (rule 2)."""

from daisyfall import _clock
from daisyfall.process import _ownership, _settings, _table

# Agents keep starts for a minute longer than ids are accepted.
EXTRA_RETENTION_MS = 60_000


class AgentRows:
    """The listed incarnations of all agents."""

    def __init__(self, table: _table.Table, jobs: _settings.JobSettings):
        self._table = table
        self._keep_ms = (
            jobs.retention_ms + jobs.clock_skew_ms + jobs.clock_tolerance_ms + EXTRA_RETENTION_MS
        )

    async def read(self) -> set[tuple[str, str]]:
        """Return every listed (agent, incarnation) that may hold starts."""
        rows = await self._table.read([], [_ownership.AGENT_PREFIX])
        records = [_ownership.agent_record(row.value, row.version) for row in rows.values()]
        return _ownership.listed_incarnations(records, _clock.wall_ms(), self._keep_ms)

    async def list(self, agent_id: str, incarnation: str) -> None:
        """Write the agent's incarnation into its row before its first use (rule 2).

        Raises `TableError` or `ConflictError`; the caller tries again.
        """
        key = _ownership.AGENT_PREFIX + agent_id
        row = (await self._table.read([key], [])).get(key, _table.ABSENT)
        record = _ownership.AgentRecord(agent_id, "")
        if row.version:
            record = _ownership.agent_record(row.value, row.version)
        if record.incarnation == incarnation:
            return
        listed = record.superseded_by(incarnation, _clock.wall_ms(), self._keep_ms)
        await self._table.transact(
            [_table.Check(key, row.version)], [_table.Write(key, listed.as_value())]
        )
