"""Edits of YAML documents, and comparison of tables in Markdown documents with the code."""

import copy
import pathlib

import yaml

ROOT = pathlib.Path(__file__).parents[1]


def read(file: str, heading: list[str]) -> list[tuple[str, ...]]:
    """Return the named columns of all tables whose heading begins with them."""
    rows, inside = [], False
    for line in (ROOT / file).read_text().splitlines():
        cells = [cell.strip().strip("`") for cell in line.strip().strip("|").split("|")]
        if not line.startswith("|"):
            inside = False
        elif cells[: len(heading)] == heading:
            inside = True
        elif inside and not line.startswith("|-"):
            rows.append(tuple(cells[: len(heading)]))
    assert rows, f"{file} has no table with the columns {heading}"
    return rows


def compare(found: list[tuple], expected: list[tuple]) -> None:
    """Fail if a row is missing, unexpected or duplicated."""
    missing = [row for row in expected if row not in found]
    surplus = [row for row in found if row not in expected]
    assert not missing, f"missing in the document: {missing}"
    assert not surplus, f"not in the code: {surplus}"
    assert len(found) == len(set(found)), "a row is duplicated"


def change(document: dict, text: str) -> dict:
    """Return a copy with each `key.path=value` of `text` set; an empty value removes the key."""
    changed = copy.deepcopy(document)
    for each in filter(None, text.split("; ")):
        path, _, value = each.partition("=")
        *sections, key = path.split(".")
        place = changed
        for section in sections:
            place = place.setdefault(section, {})
        place[key] = yaml.safe_load(value)
        if value == "":
            del place[key]
    return changed
