"""Strict reading of documents into attrs classes; every problem is reported, not the first one.

Values are never converted: a number in quotes is a wrong type. Field types carry
their limits as `Annotated[int, Range(1, 10)]`, `Annotated[str, Choice(...)]` or
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

_SHOWN_CHARACTERS = 80
_UNITS = ("_ms", "_s", "_seconds", "_mb", "_kb", "_bytes", "_percent", "_tasks")


@attrs.frozen
class Range:
    """Lowest and highest accepted value of a number."""

    low: float
    high: float

    def __str__(self):
        return f"{self.low} to {self.high}"


@attrs.frozen
class Choice:
    """The accepted words."""

    words: tuple[str, ...]

    def __str__(self):
        return " or ".join(self.words)


@attrs.frozen
class Pattern:
    """Regular expression that the whole text must match, and its description."""

    regex: str
    text: str

    def __str__(self):
        return self.text


@attrs.frozen
class Problem:
    """One wrong value: where it stands, what was found, and what was expected."""

    path: str
    value: str
    expected: str
    source: str = ""

    def __str__(self):
        place = f"{self.source}: {self.path}" if self.source else self.path
        return f"{place}: found {self.value}, expected {self.expected}"


class WrongValueError(ValueError):
    """One value of a document is not what its field expects."""

    def __init__(self, value: object, expected: str):
        super().__init__(f"found {format_value(value)}, expected {expected}")
        self.value = value
        self.expected = expected


class DocumentError(Exception):
    """A file can't be read as a YAML mapping; `detail` is the message without the file."""

    def __init__(self, path: str | pathlib.Path, detail: str, line: int = 0):
        super().__init__(f"{path}:{line}: {detail}" if line else f"{path}: {detail}")
        self.detail = f"line {line}: {detail}" if line else detail


class _UniqueKeyLoader(yaml.SafeLoader):
    """YAML loader that refuses repeated keys; PyYAML keeps the last one without a word."""

    def construct_mapping(self, node, deep=False):
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if not isinstance(key, str):
                problem = f"key {key!r} is not text; put it in quotes"
                raise yaml.constructor.ConstructorError(None, None, problem, key_node.start_mark)
            if key in seen:
                problem = f"key {key!r} stands twice"
                raise yaml.constructor.ConstructorError(None, None, problem, key_node.start_mark)
            seen.add(key)
        return super().construct_mapping(node, deep)


def read_yaml(path: str | pathlib.Path) -> dict:
    """Return the mapping in a YAML file; raise `DocumentError` with the place of the fault."""
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
        raise DocumentError(path, f"holds {format_value(document)} instead of a mapping")
    return document


def format_value(value: object) -> str:
    """Return a short form of a found value for a message."""
    text = "nothing" if value is None else repr(value)
    return text if len(text) <= _SHOWN_CHARACTERS else f"{text[:_SHOWN_CHARACTERS]}..."


def structure(cls: type, document: object) -> tuple[typing.Any, list[Problem]]:
    """Return the document as `cls` and no problems, or None and all problems in it."""
    try:
        return _CONVERTER.structure(document, cls), []
    except cattrs.BaseValidationError as error:
        return None, list(_collect(error, ""))
    except WrongValueError as error:
        return None, [Problem("(document)", format_value(error.value), error.expected)]


def _collect(error: Exception, path: str) -> typing.Iterator[Problem]:
    match error:
        case cattrs.ClassValidationError():
            with_notes, others = error.group_exceptions()
            for inner, note in with_notes:
                yield from _collect(inner, f"{path}.{note.name}" if path else note.name)
            for inner in others:
                yield from _collect(inner, path)
        case cattrs.IterableValidationError():
            with_notes, _ = error.group_exceptions()
            for inner, note in with_notes:
                place = f"{path}[{note.index}]" if isinstance(note.index, int) else ""
                yield from _collect(inner, place or f"{path}.{note.index}".lstrip("."))
        case cattrs.ForbiddenExtraKeysError():
            names = [field.alias for field in attrs.fields(error.cl)]
            for key in sorted(error.extra_fields, key=str):
                place = f"{path}.{key}" if path else str(key)
                yield Problem(place, "an unknown key", _suggestion(str(key), names))
        case WrongValueError():
            yield Problem(path or "(document)", format_value(error.value), error.expected)
        case KeyError():
            yield Problem(path, "nothing", "a value; the key is required")
        case _:
            yield Problem(path or "(document)", str(error), "a value of the right type")


def _suggestion(key: str, names: list[str]) -> str:
    stem = _without_unit(key)
    for name in names:
        if _without_unit(name) == stem:
            return f"the unit as in {name!r}"
    near = difflib.get_close_matches(key, names, n=1)
    return f"{near[0]!r}" if near else f"one of {', '.join(names)}"


def _without_unit(key: str) -> str:
    for unit in _UNITS:
        if key.endswith(unit):
            return key.removesuffix(unit)
    return key


def _check_text(value: object, _cls) -> str:
    if not isinstance(value, str):
        raise WrongValueError(value, "text")
    return value


def _check_integer(value: object, _cls) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise WrongValueError(value, "an integer without a unit")
    return value


def _check_number(value: object, _cls) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool) or not math.isfinite(value):
        raise WrongValueError(value, "a number without a unit")
    return float(value)


def _check_flag(value: object, _cls) -> bool:
    if not isinstance(value, bool):
        raise WrongValueError(value, "true or false")
    return value


def _limited_hook(annotated):
    plain, *limits = typing.get_args(annotated)

    def check(value, _cls):
        # YAML reads the bare word null as nothing; as a choice it is meant as the word.
        if value is None and any(isinstance(x, Choice) and "null" in x.words for x in limits):
            return "null"
        try:
            value = _CONVERTER.structure(value, plain)
        except WrongValueError as error:
            limit = ", ".join(map(str, limits))
            raise WrongValueError(value, f"{error.expected}, {limit}") from None
        for limit in limits:
            if not _holds(value, limit):
                raise WrongValueError(value, str(limit))
        return value

    return check


def _holds(value, limit) -> bool:
    match limit:
        case Range(low=low, high=high):
            return low <= value <= high
        case Choice(words=words):
            return value in words
        case Pattern(regex=regex):
            return re.fullmatch(regex, value) is not None
    raise TypeError(f"{limit!r} is no limit that documents know")


def _typed_hook(kind: type, expected: str, hook):
    def check(value, cls):
        if not isinstance(value, kind):
            raise WrongValueError(value, expected)
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
    converter.register_structure_hook(str, _check_text)
    converter.register_structure_hook(int, _check_integer)
    converter.register_structure_hook(float, _check_number)
    converter.register_structure_hook(bool, _check_flag)
    converter.register_structure_hook_factory(attrs.has, _class_hook)
    converter.register_structure_hook_factory(
        lambda cls: typing.get_origin(cls) is list, _list_hook
    )
    converter.register_structure_hook_factory(
        lambda cls: typing.get_origin(cls) is dict, _mapping_hook
    )
    converter.register_structure_hook_factory(
        lambda cls: typing.get_origin(cls) is typing.Annotated, _limited_hook
    )
    return converter


_CONVERTER = _make_converter()
