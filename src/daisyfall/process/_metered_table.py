"""Table client that counts its calls."""

from daisyfall import _clock
from daisyfall.process import _metrics, _table


class MeteredTable:
    """Passes calls on to another client and measures them."""

    def __init__(self, table: _table.Table, metrics: _metrics.Metrics):
        self._inner = table
        self._metrics = metrics

    async def read(self, keys: list[str], prefixes: list[str]) -> dict[str, _table.Row]:
        """See `Table.read`."""
        return await self._measure("read", self._inner.read(keys, prefixes))

    async def transact(
        self, checks: list[_table.Check], writes: list[_table.Write]
    ) -> dict[str, int]:
        """See `Table.transact`."""
        return await self._measure("transact", self._inner.transact(checks, writes))

    async def close(self) -> None:
        """See `Table.close`."""
        await self._inner.close()

    async def _measure(self, operation: str, call):
        started = _clock.monotonic()
        try:
            return await call
        except _table.TableError as error:
            self._metrics.count_table_error(error.effect.value)
            raise
        finally:
            self._metrics.observe_table_call(operation, _clock.monotonic() - started)
