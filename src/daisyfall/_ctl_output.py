"""Output and exit statuses of daisyfallctl."""

import asyncio
import contextlib
import enum
import json
import sys
from collections.abc import AsyncIterator, Callable

import tabulate

PROGRESS_SECONDS = 1.0


class ExitStatus(enum.IntEnum):
    """Exit statuses, listed in `docs/OPERATIONS.md`; their meanings never change."""

    DONE = 0
    FAILED = 1  # unexpected error
    USAGE = 2  # invalid command line, environment or local file; nothing was sent
    REFUSED = 3  # rejected; the requested operation was not run
    MAY_HAVE_RUN = 4  # the job or write failed, and it may have run or taken effect
    CONFLICT = 5  # another edit was accepted first, or the upstream is still connected
    INVALID = 6  # the lists failed validation
    UNREACHABLE = 7  # no entry could be reached; nothing was sent
    UNKNOWN = 8  # no response, and reading back did not determine the outcome
    NOT_YET = 9  # accepted, but not finished within --limit-seconds


def print_table(rows: list[dict], columns: list[str], *, as_json: bool, name: str) -> None:
    """Print rows as a table with a header, or as a JSON object with the rows under `name`."""
    if as_json:
        print_json({name: rows})
        return
    cells = [[_format_cell(row.get(column)) for column in columns] for row in rows]
    heading = [column.replace("_", " ") for column in columns]
    print(tabulate.tabulate(cells, heading, tablefmt="plain") if rows else f"no {name}")


def print_fields(body: dict, *, as_json: bool) -> None:
    """Print an object as aligned `key  value` lines, or as JSON."""
    if as_json:
        print_json(body)
        return
    pairs = [(key.replace("_", " "), _format_cell(value)) for key, value in body.items()]
    print(tabulate.tabulate(pairs, tablefmt="plain"))


def print_json(body: object) -> None:
    """Print a value as JSON on one line."""
    print(json.dumps(body, ensure_ascii=False))


def print_message(text: str) -> None:
    """Print a message for the user on standard error; standard output is for results."""
    print(f"daisyfallctl: {text}", file=sys.stderr, flush=True)


@contextlib.asynccontextmanager
async def report_progress(describe: Callable[[], str]) -> AsyncIterator[None]:
    """Print what is being waited for every `PROGRESS_SECONDS` while the block runs."""

    async def print_periodically() -> None:
        elapsed = 0.0
        while True:
            await asyncio.sleep(PROGRESS_SECONDS)
            elapsed += PROGRESS_SECONDS
            print_message(f"{describe()}, {elapsed:.0f} s so far")

    task = asyncio.create_task(print_periodically())
    try:
        yield
    finally:
        task.cancel()


def _format_cell(value: object) -> str:
    match value:
        case None | "" | []:
            return "-"
        case dict() | list():
            return json.dumps(value, ensure_ascii=False)
    return str(value)
