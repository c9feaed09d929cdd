"""Difference between two versions of the lists, as lines for operators.

Both sides are documents `{"plans": {...}, "allowances": {...}}`, not checked lists:
a version that a later release accepted may hold keys that this one doesn't know.
"""

_SECTIONS = (("plans", "buyers", "buyer"), ("allowances", "plans", "plan"))
_TOKEN_KEYS = ("salt", "token_hash")


def diff(old: dict, new: dict) -> list[str]:
    """Return one line for each difference, in the order of the names; empty if there is none."""
    lines = []
    for document, section, noun in _SECTIONS:
        before = _section(old, document, section)
        after = _section(new, document, section)
        for name in sorted({*before, *after}):
            lines += _compare(f"{noun} {name}", before.get(name), after.get(name))
    return lines


def _section(lists: dict, document: str, section: str) -> dict:
    return (lists.get(document) or {}).get(section) or {}


def _compare(title: str, before: dict | None, after: dict | None) -> list[str]:
    if before is None:
        return [f"{title}: added ({_summary(after)})"]
    if after is None:
        return [f"{title}: removed ({_summary(before)})"]
    lines = [
        f"{title}: {key} {_show(before, key)} -> {_show(after, key)}"
        for key in sorted({*before, *after})
        if key not in _TOKEN_KEYS and before.get(key) != after.get(key)
    ]
    if any(before.get(key) != after.get(key) for key in _TOKEN_KEYS):
        lines.append(f"{title}: token changed")
    return lines


def _summary(values: dict) -> str:
    return ", ".join(f"{key} {_show(values, key)}" for key in values if key not in _TOKEN_KEYS)


def _show(values: dict, key: str) -> str:
    if key not in values:
        return "(default)"
    value = values[key]
    return ",".join(map(str, value)) or "(none)" if isinstance(value, list) else str(value)
