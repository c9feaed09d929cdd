"""Command-line parsing with fire: one-line error messages, and validation before execution.

A function decorated with `command` returns a `BoundCommand`, which is run only after fire
has accepted the whole command line. Fire by itself calls the function first and reports
surplus arguments afterwards.
"""

import contextlib
import difflib
import functools
import inspect
import io
import re
import sys
import weakref
from collections.abc import Callable

import fire
import fire.core
import fire.decorators

USAGE_ERROR = 2
_HELP_WORDS = ("-h", "--help", "help")


class UsageError(Exception):
    """The command line is invalid; the message is one line."""


class InputError(UsageError):
    """A file or environment variable in use is invalid; the message is one line."""


class BoundCommand:
    """A command bound to its arguments and not yet run.

    It has no members of its own, because fire looks up a surplus argument as a member of the
    result and calls it; `parse` rejects the dunder names that every object has.
    """

    __slots__ = ("__weakref__",)


_CALL_BY_BOUND_COMMAND: weakref.WeakKeyDictionary[BoundCommand, Callable[[], int]]
_CALL_BY_BOUND_COMMAND = weakref.WeakKeyDictionary()


def command(function: Callable[..., int]) -> Callable[..., BoundCommand]:
    """Decorate a function that returns an exit status; calling it returns a `BoundCommand`.

    Positional arguments and options whose default is neither an integer, a flag nor a tuple
    are kept as strings; fire by default would parse an id of digits as a number.
    """
    default_by_name = {
        parameter.name: parameter.default
        for parameter in inspect.signature(function).parameters.values()
    }
    string_parameters = [
        name for name, default in default_by_name.items() if not isinstance(default, int | tuple)
    ]

    @functools.wraps(function)
    def bind(*arguments, **options):
        for name, value in options.items():
            _check_option(name, value, default_by_name[name])
        bound = BoundCommand()
        _CALL_BY_BOUND_COMMAND[bound] = functools.partial(function, *arguments, **options)
        return bound

    return fire.decorators.SetParseFns(**dict.fromkeys(string_parameters, str))(bind)


def _check_option(name: str, value: object, default: object) -> None:
    option = f"--{name.replace('_', '-')}"
    if isinstance(default, bool):
        if not isinstance(value, bool):
            raise UsageError(f"{option}: found {value!r}, expected no value")
    elif isinstance(default, int):
        if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
            raise UsageError(f"{option}: found {value!r}, expected a number of at least 0")
    elif default is None and value == "True":
        raise UsageError(f"{option} needs a value")


def execute(program: str, commands: dict, arguments: list[str]) -> int:
    """Parse and run a command line; return the exit status."""
    if not arguments or arguments[-1] in _HELP_WORDS:
        output = sys.stdout if arguments else sys.stderr
        print(_format_help(program, commands, arguments[:-1]), file=output)
        return 0 if arguments else USAGE_ERROR
    try:
        return _CALL_BY_BOUND_COMMAND[parse(commands, arguments)]()
    except InputError as error:
        print(f"{program}: {error}", file=sys.stderr)
        return USAGE_ERROR
    except UsageError as error:
        print(f"{program}: {error}; see {program} --help", file=sys.stderr)
        return USAGE_ERROR


def parse(commands: dict, arguments: list[str]) -> BoundCommand:
    """Return the command that the arguments name; raise `UsageError` if they are invalid."""
    _check_command_path(commands, arguments)
    for word in arguments:
        if re.fullmatch(r"__\w+__", word):
            raise UsageError(f"unexpected argument {word!r}")
    # Fire reads its own flags after "--", for example to start a REPL or print a trace.
    if "--" in arguments:
        raise UsageError("a lone -- is not accepted")
    output = io.StringIO()
    try:
        with contextlib.redirect_stderr(output), contextlib.redirect_stdout(output):
            result = fire.Fire(commands, command=arguments, serialize=lambda _: "")
    except fire.core.FireExit as error:
        raise UsageError(_format_fire_error(output.getvalue(), commands, arguments)) from error
    if not isinstance(result, BoundCommand):
        raise UsageError(f"{' '.join(arguments)!r} is not a complete command")
    return result


def _check_command_path(commands: dict, arguments: list[str]) -> None:
    """Raise `UsageError` with the closest match if the command is unknown or incomplete."""
    known, path = commands, []
    for word in arguments:
        if word not in known:
            matches = difflib.get_close_matches(word, known, n=1)
            hint = (
                f"did you mean {matches[0]!r}?"
                if matches
                else f"expected one of {', '.join(known)}"
            )
            raise UsageError(f"unknown command {' '.join([*path, word])!r}, {hint}")
        path.append(word)
        if callable(known[word]):
            return
        known = known[word]
    raise UsageError(f"{' '.join(path)!r} needs one of {', '.join(known)}")


def _format_fire_error(output: str, commands: dict, arguments: list[str]) -> str:
    found = re.search(r"ERROR: (.*)", output)
    reason = found.group(1).strip() if found else f"can't read {' '.join(arguments)!r}"
    function = _find_function(commands, arguments)
    options = [f"--{name}" for name in inspect.signature(function).parameters]
    for word in arguments:
        option = word.partition("=")[0].replace("_", "-")
        if word.startswith("--") and option.replace("-", "_")[2:] not in [
            each[2:] for each in options
        ]:
            matches = difflib.get_close_matches(option, options, n=1)
            hint = (
                f"did you mean {matches[0]!r}?" if matches else "the command has no similar option"
            )
            return f"unknown option {option!r}, {hint}"
    missing = re.search(r"required argument: (\w+)", reason)
    if missing:
        return f"{' '.join(arguments)!r} needs {missing.group(1).upper()}"
    surplus = re.search(r"Could not consume arg: (.*)", reason)
    return f"unexpected argument {surplus.group(1)!r}" if surplus else reason


def _find_function(commands: dict, arguments: list[str]) -> Callable:
    for word in arguments:
        commands = commands[word]
        if callable(commands):
            return commands
    raise UsageError(f"{' '.join(arguments)!r} is not a complete command")


def _format_help(program: str, commands: dict, words: list[str]) -> str:
    lines = [f"usage of {program}:"]
    for path, function in _iter_commands(commands, []):
        if path[: len(words)] == words or not words:
            parameters = map(_format_parameter, inspect.signature(function).parameters.values())
            lines.append(f"  {program} {' '.join([*path, *parameters])}")
            lines += [f"      {line}" for line in inspect.getdoc(function).splitlines() if line]
    return "\n".join(lines)


def _format_parameter(parameter: inspect.Parameter) -> str:
    if parameter.default is inspect.Parameter.empty:
        return parameter.name.upper()
    option = f"--{parameter.name.replace('_', '-')}"
    if isinstance(parameter.default, bool):
        return f"[--no{option[2:]}]" if parameter.default else f"[{option}]"
    return f"[{option} VALUE]"


def _iter_commands(commands: dict, path: list[str]):
    for word, subcommand in commands.items():
        if callable(subcommand):
            yield [*path, word], subcommand
        else:
            yield from _iter_commands(subcommand, [*path, word])
