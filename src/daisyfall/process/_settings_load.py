"""Loads settings; precedence: command line, environment, file, defaults."""

import os
import pathlib
from collections.abc import Mapping

import attrs
import yaml

from daisyfall import _validation
from daisyfall.process import _settings, _settings_check

ENVIRONMENT_PREFIX = "DAISYFALL_"
# Variables with this prefix that daisyfallctl uses.
CTL_VARIABLES = ("DAISYFALL_URL", "DAISYFALL_TOKEN", "DAISYFALL_TOKEN_FILE")
SECRET_KEYS = ("keys", "operator_tokens")
# Values for required keys that are missing or invalid, so that the other keys can be checked.
_PLACEHOLDERS = {"role": "entry", "id": "missing", "data_centre": "missing"}


class SettingsError(Exception):
    """The settings are invalid; the message has one line for each problem."""

    def __init__(self, problems: list[_validation.Problem]):
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


@attrs.frozen
class _Secrets:
    """Content of the file that `secrets_file` refers to."""

    keys: list[_settings.Key] = attrs.Factory(list)
    operator_tokens: list[_settings.TokenHash] = attrs.Factory(list)


@attrs.define
class _MergedSettings:
    """Settings merged from all sources, the source of each value, and the problems found."""

    file: str
    document: dict
    source_by_path: dict[str, str] = attrs.Factory(dict)
    problems: list[_validation.Problem] = attrs.Factory(list)

    def add_problem(self, path: str, value: str, expected: str, source: str = "") -> None:
        shown_value = "<redacted>" if _is_secret(path) else value
        source = source or self._source(path)
        self.problems.append(_validation.Problem(path, shown_value, expected, source))

    def override(self, path: str, text: str, source: str) -> None:
        self.source_by_path[path] = source
        *sections, key = path.split(".")
        section_values = self.document
        for section in sections:
            if section_values.get(section) is None:
                section_values[section] = {}
            section_values = section_values[section]
            if not isinstance(section_values, dict):
                self.add_problem(
                    path, repr(text), f"no key below {section}, which is a value", source
                )
                return
        try:
            section_values[key] = yaml.safe_load(text)
        except yaml.YAMLError:
            section_values[key] = text

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
    """Load the settings from a YAML file; raise `SettingsError` with all problems.

    `overrides` are strings `key.path=value`; `environment` defaults to that of the process.
    """
    variables = os.environ if environment is None else environment
    try:
        document = _validation.read_yaml(file)
    except _validation.DocumentError as error:
        problem = _validation.Problem(
            "(document)", error.detail, "a readable YAML mapping", str(file)
        )
        raise SettingsError([problem]) from error
    merged = _MergedSettings(str(file), document)
    _apply_environment(merged, variables)
    _apply_overrides(merged, overrides or [])
    _apply_secrets(merged, pathlib.Path(file).parent)
    settings = _build_settings(merged)
    if merged.problems:
        raise SettingsError(merged.problems)
    return settings


def _is_secret(path: str) -> bool:
    return path.partition("[")[0].rpartition(".")[2] in SECRET_KEYS


def _apply_environment(merged: _MergedSettings, variables: Mapping[str, str]) -> None:
    for name in sorted(variables):
        if name.startswith(ENVIRONMENT_PREFIX) and name not in CTL_VARIABLES:
            path = name.removeprefix(ENVIRONMENT_PREFIX).lower().replace("__", ".")
            merged.override(path, variables[name], f"environment {name}")


def _apply_overrides(merged: _MergedSettings, overrides: list[str]) -> None:
    for text in overrides:
        path, equals, value = text.partition("=")
        if equals and path:
            merged.override(path, value, "--set")
        else:
            merged.add_problem(text, "no key.path=value", "key.path=value", "--set")


def _apply_secrets(merged: _MergedSettings, folder: pathlib.Path) -> None:
    name = merged.document.get("secrets_file")
    if not name or not isinstance(name, str):
        return
    path = folder / name
    try:
        document = _validation.read_yaml(path)
    except _validation.DocumentError as error:
        merged.add_problem("secrets_file", f"{path} that {error.detail}", "a readable YAML mapping")
        return
    secret_settings, problems = _validation.structure(_Secrets, document)
    for problem in problems:
        merged.add_problem(problem.path, problem.value, problem.expected, str(path))
    for key in SECRET_KEYS:
        if secret_settings and getattr(secret_settings, key) and merged.document.get(key):
            merged.add_problem(key, "", f"values either here or in {path}, not in both")
        elif secret_settings and getattr(secret_settings, key):
            merged.document[key] = getattr(secret_settings, key)


def _build_settings(merged: _MergedSettings) -> _settings.Settings | None:
    settings, problems = _validation.structure(_settings.Settings, merged.document)
    for problem in problems:
        merged.add_problem(problem.path, problem.value, problem.expected)
    invalid_paths = [problem.path for problem in merged.problems]
    if settings is None:
        # Conflicts between keys are still checked if none of the keys is itself invalid.
        valid_part = _remove_paths(merged.document, invalid_paths)
        settings, _ = _validation.structure(_settings.Settings, _PLACEHOLDERS | valid_part)
    if settings is None:
        return None
    for conflict in _settings_check.find_conflicts(settings):
        if not any(_contains_key(path, key) for key in conflict.keys for path in invalid_paths):
            value = _validation.format_value(_value_at(settings, conflict.keys[0]))
            merged.add_problem(conflict.keys[0], value, conflict.expected)
    return settings


def _contains_key(path: str, key: str) -> bool:
    path = path.partition("[")[0]
    return path == key or key.startswith(f"{path}.")


def _remove_paths(document: dict, paths: list[str], prefix: str = "") -> dict:
    """Return a copy of the document without the values at the paths."""
    invalid_paths = {path.partition("[")[0] for path in paths}
    remaining = {}
    for key, value in document.items():
        path = f"{prefix}{key}"
        if path not in invalid_paths:
            is_nested = isinstance(value, dict)
            remaining[key] = _remove_paths(value, paths, f"{path}.") if is_nested else value
    return remaining


def _value_at(settings: _settings.Settings, path: str) -> object:
    value = settings
    for name in path.split("."):
        value = getattr(value, name)
    return value
