"""Rows of entries and shards: read from a snapshot, and written by takeovers and releases."""

import attrs

from daisyfall.process import _ownership, _table

Writes = tuple[list[_table.Check], list[_table.Write]]


def parse(
    rows: dict[str, _table.Row],
) -> tuple[list[_ownership.EntryRecord], list[_ownership.ShardRecord]]:
    """Return the entries and the shards of a snapshot."""
    entries = [
        _ownership.entry_record(row.value, row.version)
        for key, row in rows.items()
        if key.startswith(_ownership.ENTRY_PREFIX)
    ]
    shards = [
        _ownership.shard_record(row.value, row.version)
        for key, row in rows.items()
        if key.startswith(_ownership.SHARD_PREFIX)
    ]
    return entries, shards


def take(records: list[_ownership.ShardRecord], previous: _ownership.EntryRecord | None) -> Writes:
    """Return what takes shards; `row_version` is the row to replace.

    The previous owner's row is checked and marked fenced, so that its renewals fail.
    """
    checks, writes = _replace(records)
    if previous is not None and previous.state != _ownership.FENCED:
        key = _ownership.ENTRY_PREFIX + previous.id
        fenced = attrs.evolve(previous, state=_ownership.FENCED)
        checks.append(_table.Check(key, previous.row_version))
        writes.append(_table.Write(key, fenced.as_value()))
    return checks, writes


def release(holdings: list[_ownership.OwnedShard], at_ms: int) -> Writes:
    """Return what leaves shards without an owner."""
    return _replace(
        [_ownership.ShardRecord(h.shard, h.epoch, "", "", at_ms, h.row_version) for h in holdings]
    )


def _replace(records: list[_ownership.ShardRecord]) -> Writes:
    checks, writes = [], []
    for record in records:
        key = f"{_ownership.SHARD_PREFIX}{record.shard}"
        checks.append(_table.Check(key, record.row_version))
        writes.append(_table.Write(key, record.as_value()))
    return checks, writes
