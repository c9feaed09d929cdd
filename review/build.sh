#!/bin/sh
# Builds the stand-ins that the scripts start; the build of deploy/system.toml has to come first.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review python3 -m compileall -q review/world review/[0-9]*
PYTHONPATH=target/deps:review python3 -c "from world import deployment, platform"
