"""What the scripts of this review share: the programs of the deploy file on loopback addresses, stand-ins from the
project's own testsuite, the record of a run and the exit status."""

import http.client
import os
import pathlib
import sys
import time

TOP = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(TOP / "testsuite"))
sys.path.insert(0, str(TOP / "testsuite" / "platform"))
import harness as h  # noqa: E402
from fleet import Platform, configuration, entry_ip  # noqa: E402,F401

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of a case."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.3f} s  {text}\n")
        self.file.flush()


def send(address, method, path, body=b"", headers=None, timeout=10):
    """One request on a channel of its own. Returns its status, headers and body, or None without an answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        reply = connection.getresponse()
        return reply.status, dict(reply.getheaders()), reply.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def main(folder, run):
    """Runs a case with the programs that the deploy file has built into target/."""
    record = Record(folder)
    record.line(f"with{'' if TROUBLE else 'out'} the disruption")
    try:
        with Platform(TOP / "target") as platform:
            status = run(platform, record)
    except Exception as error:  # a case that can't run says so and proves nothing
        record.line(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {error}")
        sys.exit(NOT_RUN)
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken"}[status]
    record.line(verdict)
    print(verdict)
    sys.exit(status)
