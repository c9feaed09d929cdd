"""Rows of the operator's table: the configuration, and the data centres to evacuate.

The row `config` holds the configuration. A row `evacuate/<data centre>` asks that nothing more be
started in a data centre until the row is removed; its value is a JSON object.
"""

import loguru
import orjson

from daisyfall.platform import _store
from daisyfall.process import _shared_state

TABLE = "op"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
MAX_NAME_LENGTH = 200


class OperatorRows:
    """Decodes the operator's rows and applies them to the shared state.

    A row that can't be used is logged once, and the others are applied. An evacuation of a data
    centre that isn't known takes effect when a process there connects.
    """

    def __init__(self, shared: _shared_state.SharedState):
        self._shared = shared
        self._logged_keys: set[str] = set()

    def update(self, rows: list[_store.Row], read_version: int | None) -> None:
        """Apply changed rows, or all rows if they were read as of a version of the store.

        Evacuations come first: no job is accepted before the first configuration.
        """
        evacuations, unreadable = self._decode_evacuations(rows)
        if read_version is None:
            if evacuations:
                self._shared.apply_evacuations(evacuations, are_stored=True)
        else:
            self._logged_keys.intersection_update(row.key for row in rows)
            self._shared.apply_all_evacuations(evacuations, unreadable, read_version)
        for row in rows:
            if row.key == CONFIGURATION_KEY and row.value is not None:
                self._shared.apply_configuration(row.value)

    def _decode_evacuations(
        self, rows: list[_store.Row]
    ) -> tuple[list[tuple[str, int, bool]], list[str]]:
        """Return `(data centre, version, is evacuated)` of each row, and the names of bad rows."""
        evacuations = []
        unreadable = []
        for row in rows:
            if not row.key.startswith(EVACUATION_PREFIX):
                continue
            name = row.key.removeprefix(EVACUATION_PREFIX)
            if row.value is None:
                self._logged_keys.discard(row.key)
            if problem := _find_problem(name, row.value):
                if row.value is not None:
                    self._log(row, problem)
                unreadable.append(name)
                continue
            if row.value is not None and not self._shared.is_known_data_centre(name):
                self._log(row, "no such data centre is known")
            evacuations.append((name, row.version, row.value is not None))
        return evacuations, unreadable

    def _log(self, row: _store.Row, problem: str) -> None:
        if row.key not in self._logged_keys:
            self._logged_keys.add(row.key)
            log = loguru.logger.bind(key=row.key, version=row.version, reason=problem)
            log.error("evacuation is ignored")


def _find_problem(name: str, value: bytes | None) -> str:
    """Return why an evacuation can't be used, `""` if it can."""
    is_valid = 0 < len(name) <= MAX_NAME_LENGTH and name.isprintable()
    if not is_valid or "/" in name or " " in name:
        return "the key doesn't end with the name of a data centre"
    if value is None:
        return ""
    try:
        body = orjson.loads(value)
    except ValueError as error:
        return f"the value is not JSON: {error}"
    return "" if isinstance(body, dict) else "the value is not a JSON object"
