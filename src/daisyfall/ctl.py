"""`daisyfallctl`: the command-line client for operators and callers; uses an entry's HTTP API.

The entry's URL is set by `--url` or `DAISYFALL_URL`. The token is read from the file that
`DAISYFALL_TOKEN_FILE` names or from `DAISYFALL_TOKEN`, but never from the command line,
which other users of the host can read.
"""

import sys

from daisyfall import _command_line, _ctl_admin, _ctl_jobs, _ctl_lists, _ctl_placement

PROGRAM = "daisyfallctl"

COMMANDS = {
    "submit": _ctl_jobs.submit,
    "job": {
        "status": _ctl_jobs.status,
        "answer": _ctl_jobs.answer,
        "cancel": _ctl_jobs.cancel,
    },
    "lists": {
        "check": _ctl_lists.check,
        "fetch": _ctl_lists.fetch,
        "diff": _ctl_lists.diff,
        "apply": _ctl_lists.apply,
        "status": _ctl_lists.status,
        "history": _ctl_lists.history,
    },
    "upstreams": {
        "list": _ctl_admin.list_upstreams,
        "start": _ctl_admin.start,
        "drain": _ctl_admin.drain,
        "stop": _ctl_admin.stop,
        "remove": _ctl_admin.remove,
    },
    "entries": {"list": _ctl_admin.list_entries},
    "owners": {"list": _ctl_admin.list_owners},
    "explain": _ctl_jobs.explain,
    "placement": {"explain": _ctl_placement.explain},
    "token": _ctl_admin.token,
}


def main() -> None:
    """Run the command given on the command line and exit with its status."""
    sys.exit(_command_line.execute(PROGRAM, COMMANDS, sys.argv[1:]))


if __name__ == "__main__":
    main()
