#!/bin/sh
# Builds what the cases start: the service, as deploy/service.toml builds it. The stand-ins are Python and need no build.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked
python3 -c 'import sys; assert sys.version_info >= (3, 9)'
