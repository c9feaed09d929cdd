"""Table client that records metrics of its calls."""

from daisyfall import _clock
from daisyfall.process import _metrics, _table


class MeteredTable:
    """Delegates to another table client and records latency and errors of each call."""

    def __init__(self, table: _table.Table, metrics: _metrics.Metrics):
        self._table = table
        self._metrics = metrics

    async def read(self, keys: list[str], prefixes: list[str]) -> dict[str, _table.Row]:
        """See `Table.read`."""
        return await self._record_call("read", self._table.read(keys, prefixes))

    async def transact(
        self, checks: list[_table.Check], writes: list[_table.Write]
    ) -> dict[str, int]:
        """See `Table.transact`."""
        return await self._record_call("transact", self._table.transact(checks, writes))

    async def close(self) -> None:
        """See `Table.close`."""
        await self._table.close()

    async def _record_call(self, operation: str, awaitable):
        started_at = _clock.monotonic()
        try:
            return await awaitable
        except _table.TableError as error:
            self._metrics.count_table_error(error.effect.value)
            raise
        finally:
            self._metrics.observe_table_call(operation, _clock.monotonic() - started_at)
