"""Reading of settings: command line before environment before file before default."""

import os
import pathlib
from collections.abc import Mapping

import attrs
import yaml

from daisyfall import _validation
from daisyfall.process import _settings, _settings_check

PREFIX = "DAISYFALL_"
# Variables with the prefix that belong to daisyfallctl.
OTHER_VARIABLES = ("DAISYFALL_URL", "DAISYFALL_TOKEN", "DAISYFALL_TOKEN_FILE")
SECRET_KEYS = ("keys", "operator_tokens")
_REQUIRED = {"role": "entry", "id": "missing", "data_centre": "missing"}


class SettingsError(Exception):
    """The settings are refused; the text has one line for each problem."""

    def __init__(self, problems: list[_validation.Problem]):
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


@attrs.frozen
class _Secrets:
    """The file that `secrets_file` names."""

    keys: list[_settings.Key] = attrs.Factory(list)
    operator_tokens: list[_settings.TokenHash] = attrs.Factory(list)


@attrs.define
class _Reading:
    """The merged document, where each value came from, and the problems so far."""

    file: str
    document: dict
    source_by_path: dict[str, str] = attrs.Factory(dict)
    problems: list[_validation.Problem] = attrs.Factory(list)

    def add(self, path: str, value: str, expected: str, source: str = "") -> None:
        shown = "<redacted>" if _is_secret(path) else value
        source = source or self._source(path)
        self.problems.append(_validation.Problem(path, shown, expected, source))

    def override(self, path: str, text: str, source: str) -> None:
        self.source_by_path[path] = source
        *sections, key = path.split(".")
        place = self.document
        for section in sections:
            if place.get(section) is None:
                place[section] = {}
            place = place[section]
            if not isinstance(place, dict):
                self.add(path, repr(text), f"no key below {section}, which is a value", source)
                return
        try:
            place[key] = yaml.safe_load(text)
        except yaml.YAMLError:
            place[key] = text

    def _source(self, path: str) -> str:
        while path:
            if path in self.source_by_path:
                return self.source_by_path[path]
            path = path.rpartition(".")[0] if "[" not in path else path.rpartition("[")[0]
        return self.file


def load(
    file: str | pathlib.Path,
    overrides: list[str] | None = None,
    environment: Mapping[str, str] | None = None,
) -> _settings.Settings:
    """Return the settings in a YAML file; raise `SettingsError` with every problem in them.

    `overrides` holds `key.path=value` texts; `environment` defaults to that of the process.
    """
    variables = os.environ if environment is None else environment
    try:
        document = _validation.read_yaml(file)
    except _validation.DocumentError as error:
        problem = _validation.Problem(
            "(document)", error.detail, "a readable YAML mapping", str(file)
        )
        raise SettingsError([problem]) from error
    reading = _Reading(str(file), document)
    _apply_environment(reading, variables)
    _apply_overrides(reading, overrides or [])
    _apply_secrets(reading, pathlib.Path(file).parent)
    settings = _structure(reading)
    if reading.problems:
        raise SettingsError(reading.problems)
    return settings


def _is_secret(path: str) -> bool:
    return path.partition("[")[0].rpartition(".")[2] in SECRET_KEYS


def _apply_environment(reading: _Reading, variables: Mapping[str, str]) -> None:
    for name in sorted(variables):
        if name.startswith(PREFIX) and name not in OTHER_VARIABLES:
            path = name.removeprefix(PREFIX).lower().replace("__", ".")
            reading.override(path, variables[name], f"environment {name}")


def _apply_overrides(reading: _Reading, overrides: list[str]) -> None:
    for text in overrides:
        path, equals, value = text.partition("=")
        if equals and path:
            reading.override(path, value, "--set")
        else:
            reading.add(text, "no key.path=value", "key.path=value", "--set")


def _apply_secrets(reading: _Reading, folder: pathlib.Path) -> None:
    name = reading.document.get("secrets_file")
    if not name or not isinstance(name, str):
        return
    path = folder / name
    try:
        document = _validation.read_yaml(path)
    except _validation.DocumentError as error:
        reading.add("secrets_file", f"{path} that {error.detail}", "a readable YAML mapping")
        return
    secrets, problems = _validation.structure(_Secrets, document)
    for problem in problems:
        reading.add(problem.path, problem.value, problem.expected, str(path))
    for key in SECRET_KEYS:
        if secrets and getattr(secrets, key) and reading.document.get(key):
            reading.add(key, "", f"values either here or in {path}, not in both")
        elif secrets and getattr(secrets, key):
            reading.document[key] = getattr(secrets, key)


def _structure(reading: _Reading) -> _settings.Settings | None:
    settings, problems = _validation.structure(_settings.Settings, reading.document)
    for problem in problems:
        reading.add(problem.path, problem.value, problem.expected)
    wrong = [problem.path for problem in reading.problems]
    if settings is None:
        # Rules between keys are still checked where none of their keys is wrong itself.
        rest = _without(reading.document, wrong)
        settings, _ = _validation.structure(_settings.Settings, _REQUIRED | rest)
    if settings is None:
        return None
    for conflict in _settings_check.find_conflicts(settings):
        if not any(_covers(path, key) for key in conflict.keys for path in wrong):
            value = _validation.format_value(_value_at(settings, conflict.keys[0]))
            reading.add(conflict.keys[0], value, conflict.expected)
    return settings


def _covers(wrong: str, key: str) -> bool:
    wrong = wrong.partition("[")[0]
    return wrong == key or key.startswith(f"{wrong}.")


def _without(document: dict, paths: list[str], prefix: str = "") -> dict:
    """Return the document without the values at the paths."""
    wrong = {path.partition("[")[0] for path in paths}
    kept = {}
    for key, value in document.items():
        path = f"{prefix}{key}"
        if path not in wrong:
            nested = isinstance(value, dict)
            kept[key] = _without(value, paths, f"{path}.") if nested else value
    return kept


def _value_at(settings: _settings.Settings, path: str) -> object:
    value = settings
    for name in path.split("."):
        value = getattr(value, name)
    return value
