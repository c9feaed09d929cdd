"""What daisyfallctl prints, and its exit statuses."""

import asyncio
import contextlib
import enum
import json
import sys
from collections.abc import AsyncIterator, Callable

import tabulate

PROGRESS_SECONDS = 1.0


class ExitStatus(enum.IntEnum):
    """Exit statuses; `docs/OPERATIONS.md` lists them, and they never change their meaning."""

    DONE = 0
    FAILED = 1  # unexpected error
    USAGE = 2  # command line, environment or a local file is wrong; nothing was sent
    REFUSED = 3  # refused; what was asked for was not run
    MAY_HAVE_RUN = 4  # the job failed, or a write failed, and it may have run
    CONFLICT = 5  # another edit was accepted first, or the upstream is still connected
    INVALID = 6  # the lists break a rule
    UNREACHABLE = 7  # no entry could be reached; nothing was sent
    UNKNOWN = 8  # no reply came, and reading back did not settle the outcome
    NOT_YET = 9  # accepted, but not finished within --limit-seconds


def show_table(rows: list[dict], columns: list[str], *, as_json: bool, name: str) -> None:
    """Print rows as a table with a heading, or as one JSON object under `name`."""
    if as_json:
        show_json({name: rows})
        return
    cells = [[_cell(row.get(column)) for column in columns] for row in rows]
    heading = [column.replace("_", " ") for column in columns]
    print(tabulate.tabulate(cells, heading, tablefmt="plain") if rows else f"no {name}")


def show_fields(body: dict, *, as_json: bool) -> None:
    """Print an object as lines `key  value`, or as JSON."""
    if as_json:
        show_json(body)
        return
    pairs = [(key.replace("_", " "), _cell(value)) for key, value in body.items()]
    print(tabulate.tabulate(pairs, tablefmt="plain"))


def show_json(body: object) -> None:
    """Print one JSON document on one line."""
    print(json.dumps(body, ensure_ascii=False))


def note(text: str) -> None:
    """Print one line for people on standard error."""
    print(f"daisyfallctl: {text}", file=sys.stderr, flush=True)


@contextlib.asynccontextmanager
async def progress(describe: Callable[[], str]) -> AsyncIterator[None]:
    """Note what is being waited for, once a second, while the block runs."""

    async def repeat() -> None:
        waited = 0.0
        while True:
            await asyncio.sleep(PROGRESS_SECONDS)
            waited += PROGRESS_SECONDS
            note(f"{describe()}, {waited:.0f} s so far")

    task = asyncio.create_task(repeat())
    try:
        yield
    finally:
        task.cancel()


def _cell(value: object) -> str:
    match value:
        case None | "" | []:
            return "-"
        case dict() | list():
            return json.dumps(value, ensure_ascii=False)
    return str(value)
