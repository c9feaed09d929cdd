"""The platform's transactional table: the interface and the HTTP client.

Rows are `key -> (version, value)`. A version is a positive integer that increases
with each write of the row; version 0 stands for an absent row. The table's HTTP
protocol is implemented in this module only.
"""

import enum
from typing import Any, Protocol

import aiohttp
import attrs


@attrs.frozen
class Row:
    """One row: its version (0 if absent) and its JSON value."""

    version: int
    value: Any


ABSENT = Row(0, None)

# Identifies the calling process in the access log of the table.
CLIENT_HEADER = "X-Client"


@attrs.frozen
class Check:
    """Precondition of a transaction: the row has this version (0: it is absent)."""

    key: str
    version: int


@attrs.frozen
class Write:
    """One write of a transaction; value None deletes the row."""

    key: str
    value: Any


class Effect(enum.Enum):
    """Whether a failed call may have taken effect."""

    NONE = "unavailable"  # the call did not take effect
    UNKNOWN = "unknown"  # the call may have taken effect


class TableError(Exception):
    """The table could not be reached, did not answer, or answered with an error."""

    def __init__(self, effect: Effect, detail: str):
        super().__init__(f"table {effect.value}: {detail}")
        self.effect = effect


class ConflictError(Exception):
    """A precondition of a transaction was not met; nothing was written."""

    def __init__(self, keys: list[str]):
        super().__init__(f"rows changed since they were read: {', '.join(keys)}")
        self.keys = keys


class Table(Protocol):
    """Interface of a transactional table."""

    async def read(self, keys: list[str], prefixes: list[str]) -> dict[str, Row]:
        """Return a consistent snapshot of the rows with these keys or key prefixes."""

    async def transact(self, checks: list[Check], writes: list[Write]) -> dict[str, int]:
        """Apply all writes if every check is met; return the new version by key."""

    async def close(self) -> None:
        """Close the connections."""


class HttpTable:
    """Client of the table's HTTP protocol (`POST /v1/read`, `POST /v1/transact`)."""

    def __init__(self, url: str, timeout_seconds: float, client: str = ""):
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        self._headers = {CLIENT_HEADER: client} if client else {}
        self._session: aiohttp.ClientSession | None = None

    async def read(self, keys: list[str], prefixes: list[str]) -> dict[str, Row]:
        """See `Table.read`."""
        body = await self._post("read", {"keys": keys, "prefixes": prefixes}, write=False)
        return {key: Row(row["version"], row["value"]) for key, row in body["rows"].items()}

    async def transact(self, checks: list[Check], writes: list[Write]) -> dict[str, int]:
        """See `Table.transact`."""
        request = {
            "checks": [attrs.asdict(check) for check in checks],
            "writes": [attrs.asdict(write) for write in writes],
        }
        return (await self._post("transact", request, write=True))["versions"]

    async def close(self) -> None:
        """See `Table.close`."""
        if self._session is not None:
            await self._session.close()

    async def _post(self, operation: str, request: dict, *, write: bool) -> dict:
        if self._session is None:
            self._session = aiohttp.ClientSession(timeout=self._timeout, headers=self._headers)
        possible_effect = Effect.UNKNOWN if write else Effect.NONE
        try:
            async with self._session.post(f"{self._url}/v1/{operation}", json=request) as response:
                if response.status == 409:
                    raise ConflictError((await response.json())["conflicts"])
                if response.status == 503:
                    raise TableError(Effect.NONE, "status 503")
                if response.status != 200:
                    raise TableError(possible_effect, f"status {response.status}")
                return await response.json()
        except aiohttp.ClientConnectorError as error:
            raise TableError(Effect.NONE, str(error)) from error
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise TableError(possible_effect, f"{type(error).__name__} {error}") from error
