#!/bin/sh
# Checks that the stand-ins and scripts compile; they need the standard library alone.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q standins 1 2 3 4 5
