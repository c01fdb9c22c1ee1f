#!/bin/sh
# Checks the stand-ins of the cases 4 to 6. They are written in Python, with its standard library only, so there is
# nothing to compile: the scripts need the service as deploy/service.toml builds it, and python3 3.11 or later.
set -e
cd "$(dirname "$0")"
python3 -B - lib2/*.py 4/case.py 5/case.py 6/case.py <<'PYTHON'
import sys
import tomllib  # 3.11 or later

for path in sys.argv[1:]:
    with open(path) as source:
        compile(source.read(), path, "exec")
PYTHON
