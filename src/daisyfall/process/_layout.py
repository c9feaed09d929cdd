"""The settings that all entries must share, kept in one row of the table."""

from daisyfall.process import _table

KEY = "layout"


class LayoutError(Exception):
    """The settings of this entry don't fit those that the other entries use."""


async def check(table: _table.Table, shard_count: int) -> None:
    """Compare `shard_count` with the one in the table; the first entry writes it.

    Entries with different counts would disagree about a buyer's shard, so that two of
    them could own it. Raises `LayoutError`, `TableError` or `ConflictError`.
    """
    row = (await table.read([KEY], [])).get(KEY, _table.ABSENT)
    if not row.version:
        check_absent = [_table.Check(KEY, 0)]
        await table.transact(check_absent, [_table.Write(KEY, {"shard_count": shard_count})])
    elif row.value["shard_count"] != shard_count:
        expected = row.value["shard_count"]
        raise LayoutError(f"jobs.shard_count is {shard_count}, expected {expected} as in the table")
