"""Difference between two versions of the lists, as text lines for operators.

Both sides are documents `{"plans": {...}, "allowances": {...}}` rather than validated lists,
since a version accepted by a later release may contain keys that this release doesn't know.
"""

_SECTIONS = (("plans", "buyers", "buyer"), ("allowances", "plans", "plan"))
_TOKEN_KEYS = ("salt", "token_hash")


def diff(old: dict, new: dict) -> list[str]:
    """Return one line for each difference, sorted by name; empty if there is none."""
    lines = []
    for document, section, noun in _SECTIONS:
        before = _read_section(old, document, section)
        after = _read_section(new, document, section)
        for name in sorted({*before, *after}):
            lines += _diff_item(f"{noun} {name}", before.get(name), after.get(name))
    return lines


def _read_section(lists: dict, document: str, section: str) -> dict:
    return (lists.get(document) or {}).get(section) or {}


def _diff_item(label: str, before: dict | None, after: dict | None) -> list[str]:
    if before is None:
        return [f"{label}: added ({_summary(after)})"]
    if after is None:
        return [f"{label}: removed ({_summary(before)})"]
    lines = [
        f"{label}: {key} {_format_value(before, key)} -> {_format_value(after, key)}"
        for key in sorted({*before, *after})
        if key not in _TOKEN_KEYS and before.get(key) != after.get(key)
    ]
    if any(before.get(key) != after.get(key) for key in _TOKEN_KEYS):
        lines.append(f"{label}: token changed")
    return lines


def _summary(values: dict) -> str:
    return ", ".join(
        f"{key} {_format_value(values, key)}" for key in values if key not in _TOKEN_KEYS
    )


def _format_value(values: dict, key: str) -> str:
    if key not in values:
        return "(default)"
    value = values[key]
    return ",".join(map(str, value)) or "(none)" if isinstance(value, list) else str(value)
