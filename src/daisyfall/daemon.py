"""`daisyfalld`: runs one process of the system, as entry or as agent."""

import asyncio
import sys

import uvloop
from loguru import logger

from daisyfall import _command_line
from daisyfall.process import _log, _settings, _settings_load

PROGRAM = "daisyfalld"


@_command_line.command
def run(file, *, set=()):
    """Run the process that FILE describes until it is told to stop.

    --set KEY.PATH=VALUE overrides one setting and may be given several times.
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
        logger.exception("the process ends with an unexpected error")
        return 1
    return 0


@_command_line.command
def check(file, *, set=()):
    """Check the settings in FILE and name every problem; run nothing."""
    settings = _load(file, set)
    if settings is None:
        return _command_line.USAGE_ERROR
    print(f"{file}: settings of {settings.role} {settings.id} are valid")
    return 0


COMMANDS = {"run": run, "check": check}


def main() -> None:
    """Run the command line of this process and exit with its status."""
    sys.exit(_command_line.execute(PROGRAM, COMMANDS, merge_set_options(sys.argv[1:])))


def merge_set_options(arguments: list[str]) -> list[str]:
    """Join all `--set` options into one, because fire keeps only the last of them."""
    rest, values = [], []
    words = iter(arguments)
    for word in words:
        if word == "--set":
            values.append(next(words, ""))
        elif word.startswith("--set="):
            values.append(word.removeprefix("--set="))
        else:
            rest.append(word)
    return [*rest, f"--set={values!r}"] if values else rest


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
