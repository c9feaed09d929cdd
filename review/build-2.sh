#!/bin/sh
# Builds what the scripts in review/6 to review/10 start. The stand-ins are Python, so building them
# is compiling them; they use the libraries that the deploy file's build puts into target/deps.
cd "$(dirname "$0")/.." || exit 1
python3 -m compileall -q review/world-2 src/daisyfall deploy/node.py || exit 1
PYTHONPATH=target/deps:review/world-2 python3 -c "import world"
