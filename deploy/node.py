"""Start one process on the users' platform: `node.py entry` or `node.py agent`."""

import gc
import os
import pathlib
import signal
import sys

# The event loop handles it later; until then it would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

# What is imported lives as long as the process; `node.main` enables the collector again.
gc.disable()
# All calls are plain HTTP, but aiohttp reads the host's certificates twice when it is imported.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)

from daisyfall.platform import node  # noqa: E402

node.main()
