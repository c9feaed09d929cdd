"""Reads entry and shard rows from a snapshot and builds the writes that change shard owners."""

import attrs

from daisyfall.process import _ownership, _table

Transaction = tuple[list[_table.Check], list[_table.Write]]


def parse(
    rows: dict[str, _table.Row],
) -> tuple[list[_ownership.EntryRecord], list[_ownership.ShardRecord]]:
    """Return the entry and shard records of a snapshot."""
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


def acquire(
    records: list[_ownership.ShardRecord], previous: _ownership.EntryRecord | None
) -> Transaction:
    """Return the transaction that acquires shards; `row_version` is the version to replace.

    It also marks the row of the previous owner as fenced, so that its lease renewals fail.
    """
    checks, writes = _replace_rows(records)
    if previous is not None and previous.state != _ownership.FENCED:
        key = _ownership.ENTRY_PREFIX + previous.id
        fenced = attrs.evolve(previous, state=_ownership.FENCED)
        checks.append(_table.Check(key, previous.row_version))
        writes.append(_table.Write(key, fenced.as_value()))
    return checks, writes


def release(owned_shards: list[_ownership.OwnedShard], at_ms: int) -> Transaction:
    """Return the transaction that releases shards, which leaves them without an owner."""
    return _replace_rows(
        [
            _ownership.ShardRecord(owned.shard, owned.epoch, "", "", at_ms, owned.row_version)
            for owned in owned_shards
        ]
    )


def _replace_rows(records: list[_ownership.ShardRecord]) -> Transaction:
    checks, writes = [], []
    for record in records:
        key = f"{_ownership.SHARD_PREFIX}{record.shard}"
        checks.append(_table.Check(key, record.row_version))
        writes.append(_table.Write(key, record.as_value()))
    return checks, writes
