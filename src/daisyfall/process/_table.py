"""The platform's transactional table: the interface and the HTTP client.

Rows are `key -> (version, value)`. A version is a positive integer that grows
with each write of the row; version 0 stands for an absent row. Only this module
knows the table's protocol.
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

# Names the calling process to the table, for its access log.
CLIENT_HEADER = "X-Client"


@attrs.frozen
class Check:
    """Condition of a transaction: the row must have this version (0: must be absent)."""

    key: str
    version: int


@attrs.frozen
class Write:
    """One write of a transaction; value None deletes the row."""

    key: str
    value: Any


class Effect(enum.Enum):
    """What is known about the effect of a failed call."""

    NONE = "unavailable"  # the request did not take effect
    UNKNOWN = "unknown"  # a write may have taken effect


class TableError(Exception):
    """The table could not be reached or did not answer."""

    def __init__(self, effect: Effect, detail: str):
        super().__init__(f"table {effect.value}: {detail}")
        self.effect = effect


class ConflictError(Exception):
    """A check of a transaction failed; nothing was written."""

    def __init__(self, keys: list[str]):
        super().__init__(f"rows changed since they were read: {', '.join(keys)}")
        self.keys = keys


class Table(Protocol):
    """What daisyfall needs of a transactional table."""

    async def read(self, keys: list[str], prefixes: list[str]) -> dict[str, Row]:
        """Return one consistent snapshot of the named rows and of all rows below the prefixes."""

    async def transact(self, checks: list[Check], writes: list[Write]) -> dict[str, int]:
        """Apply all writes if every check holds; return the new version by key."""

    async def close(self) -> None:
        """Release the connections."""


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
        lost = Effect.UNKNOWN if write else Effect.NONE
        try:
            async with self._session.post(f"{self._url}/v1/{operation}", json=request) as response:
                if response.status == 409:
                    raise ConflictError((await response.json())["conflicts"])
                if response.status == 503:
                    raise TableError(Effect.NONE, "status 503")
                if response.status != 200:
                    raise TableError(lost, f"status {response.status}")
                return await response.json()
        except aiohttp.ClientConnectorError as error:
            raise TableError(Effect.NONE, str(error)) from error
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise TableError(lost, f"{type(error).__name__} {error}") from error
