"""Strict validation of documents and their conversion into attrs classes.

All problems of a document are reported, not only the first one. Values are never
coerced: a quoted number is a type error. Fields declare their constraints as
`Annotated[int, Range(1, 10)]`, `Annotated[str, Choice(...)]` or
`Annotated[str, Pattern(...)]`.
"""

import difflib
import math
import pathlib
import re
import typing

import attrs
import cattrs
import cattrs.cols
import cattrs.gen
import yaml

_MAX_VALUE_CHARS = 80
_UNIT_SUFFIXES = ("_ms", "_s", "_seconds", "_mb", "_kb", "_bytes", "_percent", "_tasks")


@attrs.frozen
class Range:
    """Inclusive lower and upper bound of a number."""

    low: float
    high: float

    def __str__(self):
        return f"{self.low} to {self.high}"


@attrs.frozen
class Choice:
    """The accepted values of a string."""

    values: tuple[str, ...]

    def __str__(self):
        return " or ".join(self.values)


@attrs.frozen
class Pattern:
    """Regular expression that the whole string must match, and its description for messages."""

    regex: str
    description: str

    def __str__(self):
        return self.description


@attrs.frozen
class Problem:
    """One invalid value: its location, what was found, and what was expected."""

    path: str
    value: str
    expected: str
    source: str = ""

    def __str__(self):
        location = f"{self.source}: {self.path}" if self.source else self.path
        return f"{location}: found {self.value}, expected {self.expected}"


class InvalidValueError(ValueError):
    """A value violates the type or a constraint of its field."""

    def __init__(self, value: object, expected: str):
        super().__init__(f"found {format_value(value)}, expected {expected}")
        self.value = value
        self.expected = expected


class DocumentError(Exception):
    """A file can't be read as a YAML mapping; `detail` is the message without the file name."""

    def __init__(self, path: str | pathlib.Path, detail: str, line: int = 0):
        super().__init__(f"{path}:{line}: {detail}" if line else f"{path}: {detail}")
        self.detail = f"line {line}: {detail}" if line else detail


class _UniqueKeyLoader(yaml.SafeLoader):
    """YAML loader that rejects duplicate keys; PyYAML silently keeps the last one."""

    def construct_mapping(self, node, deep=False):
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if not isinstance(key, str):
                problem = f"key {key!r} is not a string; put it in quotes"
                raise yaml.constructor.ConstructorError(None, None, problem, key_node.start_mark)
            if key in seen:
                problem = f"key {key!r} stands twice"
                raise yaml.constructor.ConstructorError(None, None, problem, key_node.start_mark)
            seen.add(key)
        return super().construct_mapping(node, deep)


def read_yaml(path: str | pathlib.Path) -> dict:
    """Return the mapping in a YAML file; raise `DocumentError` if it can't be read."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        document = yaml.load(text, Loader=_UniqueKeyLoader)
    except OSError as error:
        raise DocumentError(path, f"can't be read: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise DocumentError(path, "is not UTF-8 text") from error
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 0
        raise DocumentError(path, f"is not valid YAML: {error.problem}", line) from error
    except yaml.YAMLError as error:
        raise DocumentError(path, f"is not valid YAML: {error}") from error
    if not isinstance(document, dict):
        raise DocumentError(path, f"contains {format_value(document)} instead of a mapping")
    return document


def format_value(value: object) -> str:
    """Return a value for a message, truncated if it is long."""
    text = "nothing" if value is None else repr(value)
    return text if len(text) <= _MAX_VALUE_CHARS else f"{text[:_MAX_VALUE_CHARS]}..."


def structure(cls: type, document: object) -> tuple[typing.Any, list[Problem]]:
    """Convert a document to `cls`; return it and no problems, or None and all problems."""
    try:
        return _CONVERTER.structure(document, cls), []
    except cattrs.BaseValidationError as error:
        return None, list(_iter_problems(error, ""))
    except InvalidValueError as error:
        return None, [Problem("(document)", format_value(error.value), error.expected)]


def _iter_problems(error: Exception, path: str) -> typing.Iterator[Problem]:
    match error:
        case cattrs.ClassValidationError():
            with_notes, others = error.group_exceptions()
            for inner, note in with_notes:
                yield from _iter_problems(inner, f"{path}.{note.name}" if path else note.name)
            for inner in others:
                yield from _iter_problems(inner, path)
        case cattrs.IterableValidationError():
            with_notes, _ = error.group_exceptions()
            for inner, note in with_notes:
                location = f"{path}[{note.index}]" if isinstance(note.index, int) else ""
                yield from _iter_problems(inner, location or f"{path}.{note.index}".lstrip("."))
        case cattrs.ForbiddenExtraKeysError():
            names = [field.alias for field in attrs.fields(error.cl)]
            for key in sorted(error.extra_fields, key=str):
                location = f"{path}.{key}" if path else str(key)
                yield Problem(location, "an unknown key", _suggest_key(str(key), names))
        case InvalidValueError():
            yield Problem(path or "(document)", format_value(error.value), error.expected)
        case KeyError():
            yield Problem(path, "nothing", "a value; the key is required")
        case _:
            yield Problem(path or "(document)", str(error), "a value of the right type")


def _suggest_key(key: str, names: list[str]) -> str:
    base_name = _strip_unit_suffix(key)
    for name in names:
        if _strip_unit_suffix(name) == base_name:
            return f"the unit as in {name!r}"
    matches = difflib.get_close_matches(key, names, n=1)
    return f"{matches[0]!r}" if matches else f"one of {', '.join(names)}"


def _strip_unit_suffix(key: str) -> str:
    for suffix in _UNIT_SUFFIXES:
        if key.endswith(suffix):
            return key.removesuffix(suffix)
    return key


def _check_string(value: object, _cls) -> str:
    if not isinstance(value, str):
        raise InvalidValueError(value, "text")
    return value


def _check_integer(value: object, _cls) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise InvalidValueError(value, "an integer without a unit")
    return value


def _check_number(value: object, _cls) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool) or not math.isfinite(value):
        raise InvalidValueError(value, "a number without a unit")
    return float(value)


def _check_boolean(value: object, _cls) -> bool:
    if not isinstance(value, bool):
        raise InvalidValueError(value, "true or false")
    return value


def _annotated_hook(annotated):
    base_type, *constraints = typing.get_args(annotated)

    def check(value, _cls):
        # YAML parses an unquoted null as None; in a field that accepts "null" it is that string.
        if value is None and any(
            isinstance(each, Choice) and "null" in each.values for each in constraints
        ):
            return "null"
        try:
            value = _CONVERTER.structure(value, base_type)
        except InvalidValueError as error:
            description = ", ".join(map(str, constraints))
            raise InvalidValueError(value, f"{error.expected}, {description}") from None
        for constraint in constraints:
            if not _satisfies(value, constraint):
                raise InvalidValueError(value, str(constraint))
        return value

    return check


def _satisfies(value, constraint) -> bool:
    match constraint:
        case Range(low=low, high=high):
            return low <= value <= high
        case Choice(values=values):
            return value in values
        case Pattern(regex=regex):
            return re.fullmatch(regex, value) is not None
    raise TypeError(f"unsupported constraint {constraint!r}")


def _typed_hook(expected_type: type, expected: str, hook):
    def check(value, cls):
        if not isinstance(value, expected_type):
            raise InvalidValueError(value, expected)
        return hook(value, cls)

    return check


def _class_hook(cls, converter):
    hook = cattrs.gen.make_dict_structure_fn(cls, converter, _cattrs_forbid_extra_keys=True)
    return _typed_hook(dict, "a mapping", hook)


def _list_hook(cls, converter):
    return _typed_hook(list, "a list", cattrs.cols.list_structure_factory(cls, converter))


def _mapping_hook(cls, converter):
    return _typed_hook(dict, "a mapping", cattrs.cols.mapping_structure_factory(cls, converter))


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=True)
    converter.register_structure_hook(str, _check_string)
    converter.register_structure_hook(int, _check_integer)
    converter.register_structure_hook(float, _check_number)
    converter.register_structure_hook(bool, _check_boolean)
    converter.register_structure_hook_factory(attrs.has, _class_hook)
    converter.register_structure_hook_factory(
        lambda cls: typing.get_origin(cls) is list, _list_hook
    )
    converter.register_structure_hook_factory(
        lambda cls: typing.get_origin(cls) is dict, _mapping_hook
    )
    converter.register_structure_hook_factory(
        lambda cls: typing.get_origin(cls) is typing.Annotated, _annotated_hook
    )
    return converter


_CONVERTER = _make_converter()
