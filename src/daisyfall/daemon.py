"""`daisyfalld`: the daemon; runs one entry or agent, as its settings file says."""

import asyncio
import sys

import uvloop
from loguru import logger

from daisyfall import _command_line
from daisyfall.process import _log, _settings, _settings_load

PROGRAM = "daisyfalld"


@_command_line.command
def run(file, *, set=()):
    """Run the entry or agent that is configured in FILE until it is asked to stop.

    --set KEY.PATH=VALUE overrides a setting and may be repeated.
    """
    settings = _load(file, set)
    if settings is None:
        return _command_line.USAGE_ERROR
    _log.configure(settings)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_serve(settings))
    except KeyboardInterrupt:
        return 1
    except Exception:
        logger.exception("process terminated by an unexpected error")
        return 1
    return 0


@_command_line.command
def check(file, *, set=()):
    """Validate the settings in FILE and print all problems; nothing is started."""
    settings = _load(file, set)
    if settings is None:
        return _command_line.USAGE_ERROR
    print(f"{file}: settings of {settings.role} {settings.id} are valid")
    return 0


COMMANDS = {"run": run, "check": check}


def main() -> None:
    """Run the command given on the command line and exit with its status."""
    sys.exit(_command_line.execute(PROGRAM, COMMANDS, merge_set_options(sys.argv[1:])))


def merge_set_options(arguments: list[str]) -> list[str]:
    """Merge all `--set` options into one, because fire keeps only the last of a repeated option."""
    other_arguments, values = [], []
    remaining = iter(arguments)
    for argument in remaining:
        if argument == "--set":
            values.append(next(remaining, ""))
        elif argument.startswith("--set="):
            values.append(argument.removeprefix("--set="))
        else:
            other_arguments.append(argument)
    return [*other_arguments, f"--set={values!r}"] if values else other_arguments


def _load(file: str, overrides) -> _settings.Settings | None:
    try:
        return _settings_load.load(file, list(overrides))
    except _settings_load.SettingsError as error:
        print(error, file=sys.stderr)
        return None


async def _serve(settings: _settings.Settings) -> None:
    match settings.role:
        case "entry":
            from daisyfall.process import _entry

            await _entry.run(settings)
        case "agent":
            from daisyfall.process import _agent

            await _agent.run(settings)


if __name__ == "__main__":
    main()
