#!/usr/bin/env bash
# Builds what the scripts start. The stand-ins are Python 3 programs without dependencies and need
# no build.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release -p thymeshiftd
python3 -c 'import asyncio'
