"""Rows of the agents: each incarnation is listed before its first use (rule 2)."""

import attrs

from daisyfall import _clock
from daisyfall.process import _ownership, _settings, _table

# Agents keep starts for a minute longer than ids are accepted.
EXTRA_RETENTION_MS = 60_000


@attrs.frozen
class AgentRecord:
    """Row of one agent: the listed incarnation and the superseded ones, `[[id, at_ms], ...]`."""

    id: str
    incarnation: str
    earlier: tuple[tuple[str, int], ...] = ()
    row_version: int = attrs.field(default=0, eq=False)

    def superseded_by(self, incarnation: str, at_ms: int, retention_ms: int) -> "AgentRecord":
        """Return the record after a restart of the agent; forget what is past the retention."""
        kept = [each for each in self.earlier if each[1] > at_ms - retention_ms]
        if self.incarnation and self.incarnation != incarnation:
            kept.append((self.incarnation, at_ms))
        return AgentRecord(self.id, incarnation, tuple(kept), self.row_version)

    def as_value(self) -> dict:
        """Return the row's value."""
        return {
            "id": self.id,
            "incarnation": self.incarnation,
            "earlier": [list(each) for each in self.earlier],
        }


def agent_record(value: dict, row_version: int) -> AgentRecord:
    """Return the record of an agent's row."""
    earlier = tuple((incarnation, at_ms) for incarnation, at_ms in value["earlier"])
    return AgentRecord(value["id"], value["incarnation"], earlier, row_version)


def listed_incarnations(
    records: list[AgentRecord], now_ms: int, retention_ms: int
) -> set[_ownership.Holder]:
    """Return every (agent, incarnation) that may hold starts of jobs within the retention."""
    listed = set()
    for record in records:
        listed.add((record.id, record.incarnation))
        for incarnation, superseded_ms in record.earlier:
            if superseded_ms > now_ms - retention_ms:
                listed.add((record.id, incarnation))
    return listed


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
        records = [agent_record(row.value, row.version) for row in rows.values()]
        return listed_incarnations(records, _clock.wall_ms(), self._keep_ms)

    async def list(self, agent_id: str, incarnation: str) -> None:
        """Write the agent's incarnation into its row before its first use (rule 2).

        Raises `TableError` or `ConflictError`; the caller tries again.
        """
        key = _ownership.AGENT_PREFIX + agent_id
        row = (await self._table.read([key], [])).get(key, _table.ABSENT)
        record = AgentRecord(agent_id, "")
        if row.version:
            record = agent_record(row.value, row.version)
        if record.incarnation == incarnation:
            return
        listed = record.superseded_by(incarnation, _clock.wall_ms(), self._keep_ms)
        await self._table.transact(
            [_table.Check(key, row.version)], [_table.Write(key, listed.as_value())]
        )
