"""Table rows of the agents, in which each incarnation is listed before its first use."""

import attrs

from daisyfall import _clock
from daisyfall.process import _ownership, _settings, _table, _unreachable_agents

# Agents remember started tasks for a minute longer than job ids are accepted.
EXTRA_RETENTION_MS = 60_000

LISTING_KEY = "listing"


@attrs.frozen
class AgentRecord:
    """Table row of one agent: its current incarnation, and the earlier ones with their ends.

    `ending` is that of the current incarnation, if it has announced that it stops.
    """

    id: str
    incarnation: str
    earlier: tuple[tuple[str, _unreachable_agents.Termination], ...] = ()
    ending: _unreachable_agents.Termination = _unreachable_agents.RUNNING
    row_version: int = attrs.field(default=0, eq=False)

    def superseded_by(self, incarnation: str, at_ms: int, retention_ms: int) -> "AgentRecord":
        """Return the record after a restart of the agent, without incarnations past retention."""
        retained = [past for past in self.earlier if past[1].at_ms > at_ms - retention_ms]
        if self.incarnation and self.incarnation != incarnation:
            ending = self.ending if self.ending.at_ms else _unreachable_agents.Termination(at_ms)
            retained.append((self.incarnation, ending))
        return AgentRecord(self.id, incarnation, tuple(retained), row_version=self.row_version)

    def as_value(self) -> dict:
        """Return the row's value."""
        return {
            "id": self.id,
            "incarnation": self.incarnation,
            "earlier": [
                [incarnation, *attrs.astuple(ending)] for incarnation, ending in self.earlier
            ],
            "ending": list(attrs.astuple(self.ending)),
        }


def agent_record(value: dict, row_version: int) -> AgentRecord:
    """Return the record for the value of an agent's row."""
    earlier = tuple((row[0], _unreachable_agents.Termination(*row[1:])) for row in value["earlier"])
    ending = _unreachable_agents.Termination(*value["ending"])
    return AgentRecord(value["id"], value["incarnation"], earlier, ending, row_version)


def listed_incarnations(
    records: list[AgentRecord], now_ms: int, retention_ms: int
) -> _unreachable_agents.ListedAgents:
    """Return every agent incarnation that may have started tasks within the retention time."""
    listed = {}
    for record in records:
        listed[record.id, record.incarnation] = record.ending
        for incarnation, ending in record.earlier:
            if ending.at_ms > now_ms - retention_ms:
                listed[record.id, incarnation] = ending
    return listed


class AgentRows:
    """Reads and writes the agent rows, which list the incarnations of all agents."""

    def __init__(self, table: _table.Table, jobs: _settings.JobSettings):
        self._table = table
        self._retention_ms = (
            jobs.retention_ms + jobs.clock_skew_ms + jobs.clock_tolerance_ms + EXTRA_RETENTION_MS
        )

    async def read(self) -> tuple[_unreachable_agents.ListedAgents, int]:
        """Return every agent incarnation that may have started tasks, and the listing's version.

        The version changes with each incarnation that is listed.
        """
        rows = await self._table.read([LISTING_KEY], [_ownership.AGENT_PREFIX])
        version = rows.pop(LISTING_KEY, _table.ABSENT).version
        records = [agent_record(row.value, row.version) for row in rows.values()]
        return listed_incarnations(records, _clock.wall_ms(), self._retention_ms), version

    async def list(self, agent_id: str, incarnation: str) -> dict[int, int]:
        """Write the agent's incarnation into its row, before any task is sent to it.

        Returns the shards' epochs read after the write. The owner at a lower epoch lost the shard
        before the agent was listed, possibly without having noticed, so the agent has to reject
        its tasks. Raises `TableError` or `ConflictError`, after which the caller retries.
        """
        key = _ownership.AGENT_PREFIX + agent_id
        row = (await self._table.read([key], [])).get(key, _table.ABSENT)
        record = AgentRecord(agent_id, "")
        if row.version:
            record = agent_record(row.value, row.version)
        if record.incarnation != incarnation:
            listed = record.superseded_by(incarnation, _clock.wall_ms(), self._retention_ms)
            await self._table.transact(
                [_table.Check(key, row.version)],
                [
                    _table.Write(key, listed.as_value()),
                    _table.Write(LISTING_KEY, {"agent": agent_id}),
                ],
            )
        shards = await self._table.read([], [_ownership.SHARD_PREFIX])
        return {row.value["shard"]: row.value["epoch"] for row in shards.values()}

    async def record_end(self, agent_id: str, incarnation: str, latest_id_ms: int) -> None:
        """Record that an incarnation has stopped for good; several entries may do so.

        Raises `TableError` or `ConflictError`; unless it is recorded, the incarnation counts as
        missing.
        """
        key = _ownership.AGENT_PREFIX + agent_id
        row = (await self._table.read([key], [])).get(key, _table.ABSENT)
        if not row.version:
            return
        record = agent_record(row.value, row.version)
        if record.incarnation == incarnation and not record.ending.at_ms:
            ending = _unreachable_agents.Termination(_clock.wall_ms(), latest_id_ms)
            ended_record = attrs.evolve(record, ending=ending)
            await self._table.transact(
                [_table.Check(key, row.version)], [_table.Write(key, ended_record.as_value())]
            )
