"""Plays some days for `bench.paired`, with the packages on the path."""

import json
import sys

from bench.paired import play

if __name__ == "__main__":
    print(json.dumps(play(*json.loads(sys.argv[1]))))
