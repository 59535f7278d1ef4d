"""The end of a low limit that replicas have named.

Guards against hosts that keep a limit for long after the replica has ceased to name it.
"""

import asyncio
import importlib.util
import pathlib
import sys

CASES = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(CASES), str(CASES / "platform")]
import harness as h  # noqa: E402
from fleet import Platform  # noqa: E402

# Each case is a module named run, so this one is loaded from its path.
SPEC = importlib.util.spec_from_file_location("server_limit", CASES / "server-limit" / "run.py")
server_limit = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(server_limit)

LIMIT = 0.5  # requests a second


def run(c, build):
    with Platform(build) as platform:
        _, answers = asyncio.run(server_limit.play(platform, LIMIT, restarts=False))
    server_limit.check_end(c, LIMIT, answers)


if __name__ == "__main__":
    h.main(run, __doc__)
