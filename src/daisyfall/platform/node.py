"""Command that runs an entry or an agent on the users' platform."""

import asyncio
import gc
import os
import sys

from daisyfall import _pool_wire
from daisyfall.platform import _node_settings
from daisyfall.policy import _bounds
from daisyfall.process import _decision_log, _pool_metrics

SETTINGS_VARIABLE = "DAISYFALL_NODE_FILE"
DEFAULT_SETTINGS_FILE = "/etc/daisyfall/node.conf"
USAGE_ERROR_STATUS = 2
# Nearly all objects of a request are freed by their reference counts, so the collector may run
# less often than by default.
YOUNG_OBJECTS_PER_COLLECTION = 10_000


def main() -> None:
    """Run the role given on the command line."""
    arguments = sys.argv[1:]
    if len(arguments) not in (1, 2) or arguments[0] not in _pool_wire.ROLES:
        print(
            f"usage: node.py {'|'.join(_pool_wire.ROLES)} [FILE], found {arguments}",
            file=sys.stderr,
        )
        sys.exit(USAGE_ERROR_STATUS)
    role, *files = arguments
    path = files[0] if files else os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_FILE)
    try:
        settings = _node_settings.load(path, _pool_wire.ROLES.index(role))
        bounds = _bounds.derive(settings.longest_lease_s, settings.stop_task_s, settings.resend_s)
    except (_node_settings.NodeSettingsError, ValueError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        sys.exit(USAGE_ERROR_STATUS)
    metrics = _pool_metrics.PoolMetrics()
    _decision_log.configure(settings.node_id, role, metrics.count_dropped_lines)
    # Imports are a large part of the processor time of a short-lived process.
    if role == _pool_wire.ROLE_ENTRY:
        from daisyfall.platform import _entry_node as role_node
    else:
        from daisyfall.platform import _agent_node as role_node
    exempt_imports_from_collection()
    asyncio.run(role_node.run(settings, bounds, metrics, path))


def exempt_imports_from_collection() -> None:
    """Leave everything that was imported out of garbage collections.

    On a small share of a core a full collection of it would last longer than the heartbeats allow,
    and agents would stop the tasks of the entry.
    """
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS_PER_COLLECTION)
    gc.enable()


if __name__ == "__main__":
    main()
