"""The platform's object store: the interface and the HTTP client.

Objects are byte strings with a name, which may contain slashes. The store's HTTP
protocol is implemented in this module only.
"""

import urllib.parse
from typing import Protocol

import aiohttp

from daisyfall import _json
from daisyfall.process import _table


class ObjectStoreError(Exception):
    """The object store could not be reached, did not answer, or answered with an error."""

    def __init__(self, effect: _table.Effect, detail: str):
        super().__init__(f"object store {effect.value}: {detail}")
        self.effect = effect


class ObjectStore(Protocol):
    """Interface of an object store; every call may raise `ObjectStoreError`."""

    async def put(self, name: str, data: bytes) -> None:
        """Store an object; the call is idempotent."""

    async def get(self, name: str) -> bytes | None:
        """Return an object's data, None if it does not exist."""

    async def names(self, prefix: str) -> list[str]:
        """Return the sorted names of all objects with this prefix."""

    async def close(self) -> None:
        """Close the connections."""


class HttpObjectStore:
    """Client of the object store's HTTP protocol (`/v1/objects`)."""

    def __init__(self, url: str, timeout_seconds: float, client: str = ""):
        self._url = f"{url.rstrip('/')}/v1/objects"
        self._timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        self._headers = {_table.CLIENT_HEADER: client} if client else {}
        self._session: aiohttp.ClientSession | None = None

    async def put(self, name: str, data: bytes) -> None:
        """See `ObjectStore.put`."""
        await self._call("PUT", self._object_url(name), data)

    async def get(self, name: str) -> bytes | None:
        """See `ObjectStore.get`."""
        status, body = await self._call("GET", self._object_url(name))
        return None if status == 404 else body

    async def names(self, prefix: str) -> list[str]:
        """See `ObjectStore.names`."""
        url = f"{self._url}?{urllib.parse.urlencode({'prefix': prefix})}"
        _, body = await self._call("GET", url)
        try:
            return _json.loads(body)["names"]
        except (ValueError, KeyError) as error:
            raise ObjectStoreError(
                _table.Effect.NONE, f"list is not JSON with names: {error}"
            ) from error

    async def close(self) -> None:
        """See `ObjectStore.close`."""
        if self._session is not None:
            await self._session.close()

    def _object_url(self, name: str) -> str:
        return f"{self._url}/{urllib.parse.quote(name)}"

    async def _call(self, method: str, url: str, data: bytes | None = None) -> tuple[int, bytes]:
        if self._session is None:
            self._session = aiohttp.ClientSession(timeout=self._timeout, headers=self._headers)
        no_effect = _table.Effect.NONE
        possible_effect = _table.Effect.UNKNOWN if method == "PUT" else no_effect
        try:
            async with self._session.request(method, url, data=data) as response:
                if response.status == 503:
                    raise ObjectStoreError(no_effect, "status 503")
                if response.status not in (200, 404) or (method, response.status) == ("PUT", 404):
                    raise ObjectStoreError(possible_effect, f"status {response.status}")
                return response.status, await response.read()
        except aiohttp.ClientConnectorError as error:
            raise ObjectStoreError(no_effect, str(error)) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise ObjectStoreError(possible_effect, f"{type(error).__name__} {error}") from error
