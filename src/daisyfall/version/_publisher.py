"""The lists in force in this process: kept up to date from the table, and changed by operators.

The version in force never decreases.
"""

import asyncio
import json
from collections.abc import Callable

import attrs
from loguru import logger

from daisyfall import _clock, errors
from daisyfall.process import _object_store, _table
from daisyfall.version import _lists, _lists_check

HEAD_KEY = "lists/head"
DOCUMENT_KEY = "lists/doc"
HISTORY_LENGTH = 50


@attrs.frozen
class AcceptedVersion:
    """An accepted version of the lists with its documents."""

    version: int
    digest: str
    apply_id: str
    plans: dict
    allowances: dict


class Publisher:
    """Reads the lists from the table, applies operators' changes and provides the current lists."""

    def __init__(
        self,
        table: _table.Table,
        object_store: _object_store.ObjectStore,
        on_change: Callable[[_lists.Lists], None],
    ):
        self._table = table
        self._object_store = object_store
        self._on_change = on_change
        self.lists: _lists.Lists | None = None
        self.accepted: AcceptedVersion | None = None
        self._archive_tasks: set[asyncio.Task] = set()

    @property
    def version(self) -> int:
        """Return the version in force, 0 if there is none."""
        return self.lists.version if self.lists else 0

    async def follow(self, head: _table.Row | None) -> None:
        """Read the documents if the head row names a higher version."""
        if head is None or head.version == 0 or head.value["version"] <= self.version:
            return
        await self.read()

    async def read(self) -> None:
        """Read the head row and the documents from the table, and put them in force."""
        rows = await self._table.read([HEAD_KEY, DOCUMENT_KEY], [])
        if HEAD_KEY in rows and rows[HEAD_KEY].version:
            self.activate_version(rows[HEAD_KEY].value, rows[DOCUMENT_KEY].value)

    def activate_version(self, head: dict, document: dict) -> None:
        """Put a version in force, unless the current one is the same or higher."""
        if head["version"] <= self.version:
            return
        lists = _lists_check.build(head["version"], document["plans"], document["allowances"])
        self.lists = lists
        self.accepted = AcceptedVersion(
            head["version"],
            head["digest"],
            head["apply_id"],
            document["plans"],
            document["allowances"],
        )
        logger.bind(version=lists.version, digest=lists.digest).info("lists in force")
        self._on_change(lists)

    def as_document(self) -> dict:
        """Return the arguments of `activate_version` for the current version, empty if none."""
        if self.accepted is None:
            return {}
        accepted = self.accepted
        head = {
            "version": accepted.version,
            "digest": accepted.digest,
            "apply_id": accepted.apply_id,
        }
        document = {"plans": accepted.plans, "allowances": accepted.allowances}
        return {"head": head, "document": document}

    async def apply(
        self, base_version: int, apply_id: str, plans: dict, allowances: dict
    ) -> _lists.Lists:
        """Commit both lists in one transaction, if `base_version` is still in force.

        The call can be repeated with the same `apply_id`. Raises `DispatchError` with
        `LISTS_INVALID`, `VERSION_CONFLICT`, `TABLE_UNAVAILABLE`, or `WRITE_UNKNOWN` if it
        can't be determined whether the write took effect.
        """
        lists = _lists_check.build(base_version + 1, plans, allowances)
        try:
            rows = await self._table.read([HEAD_KEY, DOCUMENT_KEY], [])
        except _table.TableError as error:
            raise errors.DispatchError(errors.Kind.TABLE_UNAVAILABLE, str(error)) from error
        head = rows.get(HEAD_KEY, _table.ABSENT)
        if head.version and head.value["apply_id"] == apply_id:
            return await self._confirm_write(apply_id, base_version, write_uncertain=False)
        current = head.value["version"] if head.version else 0
        if current != base_version:
            raise self._version_conflict(base_version, current)
        write_uncertain = await self._commit(lists, apply_id, plans, allowances, rows)
        return await self._confirm_write(apply_id, base_version, write_uncertain)

    async def _commit(
        self, lists: _lists.Lists, apply_id: str, plans: dict, allowances: dict, rows: dict
    ) -> bool:
        """Write both lists; return whether it is unknown if the write took effect."""
        head = rows.get(HEAD_KEY, _table.ABSENT)
        history = head.value["history"] if head.version else []
        history_item = {"version": lists.version, "digest": lists.digest, "at_ms": _clock.wall_ms()}
        value = {
            "version": lists.version,
            "digest": lists.digest,
            "apply_id": apply_id,
            "history": [*history, history_item][-HISTORY_LENGTH:],
        }
        document = {"plans": plans, "allowances": allowances}
        checks = [
            _table.Check(key, rows.get(key, _table.ABSENT).version)
            for key in (HEAD_KEY, DOCUMENT_KEY)
        ]
        writes = [_table.Write(HEAD_KEY, value), _table.Write(DOCUMENT_KEY, document)]
        try:
            await self._table.transact(checks, writes)
        except _table.ConflictError:
            return False  # `_confirm_write` finds out which write was accepted
        except _table.TableError as error:
            if error.effect is _table.Effect.NONE:
                raise errors.DispatchError(errors.Kind.TABLE_UNAVAILABLE, str(error)) from error
            return True
        self._archive_soon(lists.version, document)
        return False

    async def _confirm_write(
        self, apply_id: str, base_version: int, write_uncertain: bool
    ) -> _lists.Lists:
        try:
            await self.read()
        except _table.TableError as error:
            raise errors.DispatchError(errors.Kind.WRITE_UNKNOWN, str(error)) from error
        accepted = self.accepted
        if accepted is not None and accepted.apply_id == apply_id:
            if write_uncertain:
                self._archive_soon(accepted.version, self.as_document()["document"])
            return self.lists
        if write_uncertain and self.version == base_version:
            # A delayed write may still take effect as long as the base version is in force.
            raise errors.DispatchError(errors.Kind.WRITE_UNKNOWN)
        raise self._version_conflict(base_version, self.version)

    def _version_conflict(self, base_version: int, current: int) -> errors.DispatchError:
        return errors.DispatchError(
            errors.Kind.VERSION_CONFLICT,
            field="base_version",
            value=base_version,
            expected=current,
        )

    async def history(self) -> list[dict]:
        """Return the most recently accepted versions, newest last."""
        try:
            head = (await self._table.read([HEAD_KEY], [])).get(HEAD_KEY, _table.ABSENT)
        except _table.TableError as error:
            raise errors.DispatchError(errors.Kind.TABLE_UNAVAILABLE, str(error)) from error
        return head.value["history"] if head.version else []

    def _archive_soon(self, version: int, document: dict) -> None:
        task = asyncio.create_task(self._archive(version, document))
        self._archive_tasks.add(task)
        task.add_done_callback(self._archive_tasks.discard)

    async def _archive(self, version: int, document: dict) -> None:
        """Store the documents of a version in the object store.

        Nothing depends on the archive, so a failure is only logged.
        """
        for delay_seconds in (0, 1, 5, 30):
            await asyncio.sleep(delay_seconds)
            try:
                await self._object_store.put(f"lists/{version}.json", json.dumps(document).encode())
                return
            except _object_store.ObjectStoreError as error:
                reason = str(error)
        logger.bind(version=version, reason=reason).warning("lists version was not archived")
