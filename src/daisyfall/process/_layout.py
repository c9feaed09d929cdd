"""Checks that all entries use the same shard count, which is stored in one row of the table."""

from daisyfall.process import _table

KEY = "layout"


class LayoutError(Exception):
    """The settings of this entry differ from those of the other entries."""


async def check(table: _table.Table, shard_count: int) -> None:
    """Compare `shard_count` with the value in the table, which the first entry writes.

    Entries with different shard counts would map a buyer to different shards, so two of them
    could own the buyer's jobs. Raises `LayoutError`, `TableError` or `ConflictError`.
    """
    row = (await table.read([KEY], [])).get(KEY, _table.ABSENT)
    if not row.version:
        check_absent = [_table.Check(KEY, 0)]
        await table.transact(check_absent, [_table.Write(KEY, {"shard_count": shard_count})])
    elif row.value["shard_count"] != shard_count:
        expected = row.value["shard_count"]
        raise LayoutError(f"jobs.shard_count is {shard_count}, expected {expected} as in the table")
