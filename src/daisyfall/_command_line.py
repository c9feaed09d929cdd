"""Parsing of command lines with fire: one helpful line for a mistake, nothing run before it.

The commands given to `parse` return a `Command`, which is run only after fire has
accepted the whole line. Fire alone would run the command first and complain
about surplus arguments afterwards.
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
_HELP = ("-h", "--help", "help")


class UsageError(Exception):
    """The command line is wrong; the text is one line."""


class InputError(UsageError):
    """A file or a variable that the command line names is wrong; the text is one line."""


class Command:
    """A command with its arguments, not run yet.

    It has no members of its own, because fire takes a surplus argument for the name of a member
    and would call it; `parse` refuses the names that every object has.
    """

    __slots__ = ("__weakref__",)


_CALL_BY_COMMAND: weakref.WeakKeyDictionary[Command, Callable[[], int]]
_CALL_BY_COMMAND = weakref.WeakKeyDictionary()


def command(call: Callable[..., int]) -> Callable[..., Command]:
    """Decorate a function that returns an exit status: a call returns it as a `Command`.

    Positional arguments and options without a typed default stay text; fire alone would
    read an id of digits as a number.
    """
    default_by_name = {x.name: x.default for x in inspect.signature(call).parameters.values()}
    texts = [x for x, default in default_by_name.items() if not isinstance(default, int | tuple)]

    @functools.wraps(call)
    def bind(*arguments, **options):
        for name, value in options.items():
            _check_option(name, value, default_by_name[name])
        bound = Command()
        _CALL_BY_COMMAND[bound] = functools.partial(call, *arguments, **options)
        return bound

    return fire.decorators.SetParseFns(**dict.fromkeys(texts, str))(bind)


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
    if not arguments or arguments[-1] in _HELP:
        output = sys.stdout if arguments else sys.stderr
        print(_help(program, commands, arguments[:-1]), file=output)
        return 0 if arguments else USAGE_ERROR
    try:
        return _CALL_BY_COMMAND[parse(commands, arguments)]()
    except InputError as error:
        print(f"{program}: {error}", file=sys.stderr)
        return USAGE_ERROR
    except UsageError as error:
        print(f"{program}: {error}; see {program} --help", file=sys.stderr)
        return USAGE_ERROR


def parse(commands: dict, arguments: list[str]) -> Command:
    """Return the command that the arguments name; raise `UsageError` if they are wrong."""
    _check_words(commands, arguments)
    for word in arguments:
        if re.fullmatch(r"__\w+__", word):
            raise UsageError(f"unexpected argument {word!r}")
    # Fire's own flags behind "--" start a debugger or print traces.
    if "--" in arguments:
        raise UsageError("a lone -- is not accepted")
    output = io.StringIO()
    try:
        with contextlib.redirect_stderr(output), contextlib.redirect_stdout(output):
            result = fire.Fire(commands, command=arguments, serialize=lambda _: "")
    except fire.core.FireExit as error:
        raise UsageError(_reason(output.getvalue(), commands, arguments)) from error
    if not isinstance(result, Command):
        raise UsageError(f"{' '.join(arguments)!r} is not a complete command")
    return result


def _check_words(commands: dict, arguments: list[str]) -> None:
    """Name the nearest command when one is mistyped or missing."""
    known, path = commands, []
    for word in arguments:
        if word not in known:
            near = difflib.get_close_matches(word, known, n=1)
            hint = f"did you mean {near[0]!r}?" if near else f"expected one of {', '.join(known)}"
            raise UsageError(f"unknown command {' '.join([*path, word])!r}, {hint}")
        path.append(word)
        if callable(known[word]):
            return
        known = known[word]
    raise UsageError(f"{' '.join(path)!r} needs one of {', '.join(known)}")


def _reason(output: str, commands: dict, arguments: list[str]) -> str:
    found = re.search(r"ERROR: (.*)", output)
    reason = found.group(1).strip() if found else f"can't read {' '.join(arguments)!r}"
    call = _called(commands, arguments)
    options = [f"--{name}" for name in inspect.signature(call).parameters]
    for word in arguments:
        option = word.partition("=")[0].replace("_", "-")
        if word.startswith("--") and option.replace("-", "_")[2:] not in [x[2:] for x in options]:
            near = difflib.get_close_matches(option, options, n=1)
            hint = f"did you mean {near[0]!r}?" if near else "it is not known here"
            return f"unknown option {option!r}, {hint}"
    missing = re.search(r"required argument: (\w+)", reason)
    if missing:
        return f"{' '.join(arguments)!r} needs {missing.group(1).upper()}"
    surplus = re.search(r"Could not consume arg: (.*)", reason)
    return f"unexpected argument {surplus.group(1)!r}" if surplus else reason


def _called(commands: dict, arguments: list[str]) -> Callable:
    for word in arguments:
        commands = commands[word]
        if callable(commands):
            return commands
    raise UsageError(f"{' '.join(arguments)!r} is not a complete command")


def _help(program: str, commands: dict, words: list[str]) -> str:
    lines = [f"usage of {program}:"]
    for path, call in _walk(commands, []):
        if path[: len(words)] == words or not words:
            parameters = map(_describe, inspect.signature(call).parameters.values())
            lines.append(f"  {program} {' '.join([*path, *parameters])}")
            lines += [f"      {line}" for line in inspect.getdoc(call).splitlines() if line]
    return "\n".join(lines)


def _describe(parameter: inspect.Parameter) -> str:
    if parameter.default is inspect.Parameter.empty:
        return parameter.name.upper()
    option = f"--{parameter.name.replace('_', '-')}"
    if isinstance(parameter.default, bool):
        return f"[--no{option[2:]}]" if parameter.default else f"[{option}]"
    return f"[{option} VALUE]"


def _walk(commands: dict, path: list[str]):
    for word, inner in commands.items():
        if callable(inner):
            yield [*path, word], inner
        else:
            yield from _walk(inner, [*path, word])
