"""Start one process on the users' platform: `node.py entry` or `node.py agent`."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from daisyfall.platform import node

node.main()
