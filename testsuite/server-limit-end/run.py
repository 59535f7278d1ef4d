"""The end of a low limit that replicas have named.

Guards against hosts that keep a limit for long after the replica has ceased to name it.
"""

import asyncio
import pathlib
import sys

CASES = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(CASES), str(CASES / "platform"), str(CASES / "server-limit")]
import harness as h  # noqa: E402
import run as server_limit  # noqa: E402
from fleet import Platform  # noqa: E402

LIMIT = 0.5  # requests a second


def run(c, build):
    with Platform(build) as platform:
        _, answers = asyncio.run(server_limit.play(platform, LIMIT, restarts=False))
    server_limit.check_end(c, LIMIT, answers)


if __name__ == "__main__":
    h.main(run, __doc__)
