"""Client of the platform's metadata store: writes rows and watches tables for changes."""

import asyncio
import base64
import random
from collections.abc import Callable

import aiohttp
import attrs
import loguru
import orjson

from daisyfall.platform import _http

CALL_TIMEOUT_S = 1.0
SHORTEST_RETRY_DELAY_S = 0.15
LONGEST_RETRY_DELAY_S = 1.5
# Shares of the time within which a change has to be read. The rest is for the retry itself.
WAIT_SHARE = 0.5
MARGIN_SHARE = 0.25
RETRY_DELAY_SHARE = 0.1
PAGE_ROWS = 500

# The changes after the given version are no longer stored.
GONE_STATUS = 410
# Reason of a failure in applying rows, which are then all read again.
UNEXPECTED = "unexpected"


class StoreError(Exception):
    """A call failed; `reason` is one of a small set of words, for use as a metric label."""

    def __init__(self, reason: str):
        super().__init__(reason)
        self.reason = reason


@attrs.frozen
class Row:
    """One row; `value` is None if the row was deleted."""

    key: str
    value: bytes | None
    version: int


@attrs.frozen
class WatchTiming:
    """How a table is watched; all times are in seconds.

    A feed call waits up to `wait_s` for a change, and counts as lost `margin_s` later. The pause
    after each call lets changes accumulate, so that they are handled together.
    """

    wait_s: float
    margin_s: float = 1.0
    pause_s: float = 0.0
    longest_retry_delay_s: float = LONGEST_RETRY_DELAY_S


def timing_for_bound(bound_s: float) -> WatchTiming:
    """Return a timing with which a change is read within `bound_s` although an answer was lost."""
    return WatchTiming(
        wait_s=WAIT_SHARE * bound_s,
        margin_s=MARGIN_SHARE * bound_s,
        longest_retry_delay_s=RETRY_DELAY_SHARE * bound_s,
    )


class Store:
    """Client of the store; `count_error` is called with the reason of each failed call.

    `on_failure` is called after each failed call.
    """

    def __init__(
        self,
        address: str,
        session: aiohttp.ClientSession,
        random_source: random.Random,
        count_error: Callable[[str], None],
    ):
        self.move(address)
        self.on_failure: Callable[[], None] = lambda: None
        self._session = session
        self._random = random_source
        self._count_error = count_error

    def move(self, address: str) -> None:
        """Send all further calls to another address, `host:port`."""
        self._url = f"http://{address}"

    async def put(self, table: str, key: str, value: bytes) -> None:
        """Write one row; retry until the store confirms it."""
        row = {"Table": table, "part": "", "Key": key, "Value": base64.b64encode(value).decode()}
        await self._write_transaction({"Precondition": [], "Upserts": [row], "Remove": []})
        loguru.logger.bind(table=table, key=key).info("row written")

    async def watch(
        self, table: str, timing: WatchTiming, on_rows: Callable[[list[Row], int | None], None]
    ) -> None:
        """Call `on_rows` with all rows of a table, and then with the changed rows at each change.

        With all rows, its second argument is the version of the store as of which they were read;
        with changed rows it is None. All rows are read again if the store has lost its history.
        """
        version = None
        attempt = 0
        while True:
            try:
                if version is None:
                    rows, version = await self._read_all(table)
                    on_rows(rows, version)
                else:
                    rows, version = await self._read_changes(table, version, timing)
                    if rows:
                        on_rows(rows, None)
            except StoreError as error:
                reason = error.reason
            except Exception as error:
                # The watch has to go on, or the process would never see another change.
                loguru.logger.opt(exception=error).bind(table=table).error("rows not applied")
                reason = UNEXPECTED
            else:
                if attempt:
                    loguru.logger.bind(table=table, attempts=attempt).info("store answers again")
                attempt = 0
                await asyncio.sleep(timing.pause_s)
                continue
            attempt += 1
            if reason in (str(GONE_STATUS), UNEXPECTED):
                version = None
            await self._back_off(f"watch {table}", reason, attempt, timing.longest_retry_delay_s)

    async def _write_transaction(self, transaction: dict) -> None:
        attempt = 0
        while True:
            try:
                await self._call("POST", "/rows-tx", CALL_TIMEOUT_S, json=transaction)
                return
            except StoreError as error:
                attempt += 1
                await self._back_off("write", error.reason, attempt, LONGEST_RETRY_DELAY_S)

    async def _back_off(self, call: str, reason: str, attempt: int, longest_delay_s: float) -> None:
        self._count_error(reason)
        self.on_failure()
        if attempt == 1:
            loguru.logger.bind(call=call, reason=reason).warning("store call failed")
        delay_s = min(SHORTEST_RETRY_DELAY_S * 2 ** min(attempt - 1, 8), longest_delay_s)
        await asyncio.sleep(delay_s * (0.5 + self._random.random()))

    async def _read_all(self, table: str) -> tuple[list[Row], int]:
        rows: list[Row] = []
        start_key = ""
        # That of the first page: what changes while further ones are read is in the feed after it.
        version = None
        while True:
            query = {"Table": table, "part": "", "Limit": str(PAGE_ROWS)}
            if start_key:
                query["From"] = start_key
            body = await self._call("GET", "/rows-get", CALL_TIMEOUT_S, params=query)
            rows += _decode_rows(body)
            version = _decode_version(body) if version is None else version
            if not body.get("HasMore") or not rows:
                return rows, version
            start_key = f"{rows[-1].key}\0"

    async def _read_changes(
        self, table: str, version: int, timing: WatchTiming
    ) -> tuple[list[Row], int]:
        query = {"Table": table, "After": str(version), "WaitMs": str(round(timing.wait_s * 1000))}
        timeout_s = timing.wait_s + timing.margin_s
        body = await self._call("GET", "/rows-feed", timeout_s, params=query)
        return _decode_rows(body), _decode_version(body)

    async def _call(self, method: str, path: str, timeout_s: float, **arguments) -> dict:
        url = f"{self._url}{path}"
        timeout = _http.call_timeout(timeout_s)
        try:
            async with self._session.request(method, url, timeout=timeout, **arguments) as reply:
                if reply.status != 200:
                    raise StoreError(str(reply.status))
                body = orjson.loads(await reply.read())
        except TimeoutError as error:
            raise StoreError("timeout") from error
        except (aiohttp.ClientError, OSError) as error:
            raise StoreError("connection") from error
        except ValueError as error:
            raise StoreError("unreadable") from error
        if not isinstance(body, dict):
            raise StoreError("unreadable")
        return body


def _decode_version(body: dict) -> int:
    version = body.get("VersionNumber")
    if not isinstance(version, int):
        raise StoreError("unreadable")
    return version


def _decode_rows(body: dict) -> list[Row]:
    rows = body.get("rows")
    if not isinstance(rows, list):
        raise StoreError("unreadable")
    try:
        return [_decode_row(row) for row in rows]
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise StoreError("unreadable") from error


def _decode_row(row: dict) -> Row:
    value = None if row.get("Deleted") else base64.b64decode(row["Value"], validate=True)
    key, version = row["Key"], row["VersionNumber"]
    if not isinstance(key, str) or not isinstance(version, int):
        raise TypeError(f"key {key!r} or version {version!r} has the wrong type")
    return Row(key, value, version)
