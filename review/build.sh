#!/bin/sh
# Builds the stand-ins that the scripts start: Python files without a dependency.
cd "$(dirname "$0")" || exit 1
python3 -m py_compile stand.py [1-3]/case.py
