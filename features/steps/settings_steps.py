"""Steps for loading and validating settings."""

import pathlib
import tempfile
import typing

import attrs
import documents
import yaml
from behave import given, then

from daisyfall.process import _settings, _settings_load

ROOT = pathlib.Path(__file__).parents[2]


def write_settings(context, role: str, change: str) -> None:
    folder = ROOT / "examples" / "cooperative"
    document = yaml.safe_load((folder / f"{role}.yaml").read_text())
    document["secrets_file"] = str(folder / "secrets.yaml")
    document = documents.change(document, change)
    if "keys=" in change or "operator_tokens=" in change:
        del document["secrets_file"]
        document.setdefault("keys", ["a-key-of-16-characters"])
    temporary = tempfile.TemporaryDirectory()
    context.add_cleanup(temporary.cleanup)
    context.file = pathlib.Path(temporary.name) / f"{role}.yaml"
    context.file.write_text(yaml.safe_dump(document))
    context.variables, context.overrides = {}, []


def load_error(context) -> _settings_load.SettingsError:
    try:
        _settings_load.load(context.file, context.overrides, context.variables)
    except _settings_load.SettingsError as error:
        return error
    raise AssertionError("the settings were accepted")


@given('the settings file of the example {role} with "{change}"')
def write_example_file(context, role, change):
    write_settings(context, role, change)


@given('the settings file of the example entry with a second "role" line')
def duplicate_key(context):
    write_settings(context, "entry", "")
    context.file.write_text(f"{context.file.read_text()}\nrole: agent\n")


@given('the settings variable "{name}" is "{value}"')
@given('the settings variable "{name}" is ""')
def set_variable(context, name, value=""):
    if value:
        context.variables[name] = value


@given('the settings option --set is "{option}"')
@given('the settings option --set is ""')
def set_option(context, option=""):
    context.overrides = [option] if option else []


@then('the settings are rejected with "{key}", found "{found}", expected "{expected}"')
def check_refusal(context, key, found, expected):
    problems = load_error(context).problems
    matching = [x for x in problems if x.path == key and found in x.value]
    assert [x for x in matching if expected in x.expected], list(map(str, problems))
    assert matching[0].source, "the problem doesn't name its source"
    assert len(problems) == 1, list(map(str, problems))


@then("the settings are rejected with {count:d} problems")
def check_count(context, count):
    problems = load_error(context).problems
    assert len(problems) == count, list(map(str, problems))


@then('the settings error names the source "{source}"')
def check_source(context, source):
    assert source in str(load_error(context)), load_error(context)


@then('the settings error does not contain "{secret}"')
def check_redaction(context, secret):
    assert secret not in str(load_error(context))
    key = "another-secret-of-16"
    settings = _settings_load.load(context.file, [f"keys=[{key}]"], {})
    assert key in settings.keys
    assert key not in repr(settings)


@then("the settings hold lease.renew_ms {value:d}")
def check_value(context, value):
    settings = _settings_load.load(context.file, context.overrides, context.variables)
    assert settings.lease.renew_ms == value, settings.lease


@then('the settings in "{file}" are valid')
def check_valid(context, file):
    settings = _settings_load.load(ROOT / file, [], {})
    assert settings.runner.slots == 8, settings.runner
    assert settings.runner.connections == 64, settings.runner


def describe(cls: type, prefix: str = ""):
    """Yield `key, type, default, limits` of every setting, as the document shows them."""
    for field in attrs.fields(cls):
        path = f"{prefix}{field.name}"
        if attrs.has(field.type):
            yield from describe(field.type, f"{path}.")
            continue
        inner, *limits = typing.get_args(field.type) or [field.type]
        is_list = typing.get_origin(field.type) is list
        if is_list:
            inner, *limits = typing.get_args(inner)
        kind = f"list of {inner.__name__}" if is_list else inner.__name__
        default = [] if isinstance(field.default, attrs.Factory) else field.default
        shown = "required" if default is attrs.NOTHING else format_yaml(default)
        yield path, kind, shown, ", ".join(map(str, limits)) or "-"


def format_yaml(value: object) -> str:
    if value == "":
        return "empty"
    return yaml.safe_dump(value, default_flow_style=True).removesuffix("...\n").strip()


@then("the settings table in docs/settings.md matches the data classes")
def check_document(context):
    found = documents.read("docs/settings.md", ["key", "type", "default", "limits"])
    documents.compare(found, list(describe(_settings.Settings)))
