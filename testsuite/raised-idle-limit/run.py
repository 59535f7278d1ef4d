"""Kept connections that are reused within an idle limit that has been raised.

Guards against a host that closes them by the limit that held when they last had an answer: a
request that crosses the close gets neither an answer nor a refusal.
"""

import collections
import pathlib
import socket
import sys
import time

TESTSUITE = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(TESTSUITE), str(TESTSUITE / "platform")]
import harness as h  # noqa: E402
from fleet import Platform, entry_ip  # noqa: E402
from load import service_configuration  # noqa: E402

LOW_S, RAISED_S = 1.0, 15.0
# A host closes an idle connection up to 1 s after the limit and looks for idle ones every 0.5 s.
# The callers use their connections all over the time in which the low limit would close them, and
# long before four fifths of the raised limit, the time for which callers reuse a connection.
USED_AFTER_S = (1.9, 2.7)
CALLERS = 100
ROUNDS = 3
ANSWER_S = 10


class Caller:
    """A kept connection to the entry host."""

    def __init__(self, platform):
        self.socket = socket.create_connection((entry_ip(1), platform.front_port), ANSWER_S)
        self.reader = self.socket.makefile("rb")
        self.answered_at = None

    def request(self, name):
        """Returns the status of the answer, or why there is none."""
        try:
            # The host answers a path without a route by itself.
            self.socket.sendall(
                f"POST /none/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {name}\r\n"
                "X-Deadline-Ms: 8000\r\nApi-Key: key-1\r\nContent-Length: 0\r\n\r\n".encode())
            line = self.reader.readline()
            if not line:
                return "closed"
            size = 0
            while (field := self.reader.readline().strip()):
                name, value = field.decode().split(":", 1)
                if name.lower() == "content-length":
                    size = int(value)
            self.reader.read(size)
            self.answered_at = time.monotonic()
            return int(line.split()[1])
        except OSError as error:
            return type(error).__name__


def run(c, build):
    with Platform(build) as platform:
        for number in (1, 2, 3):
            platform.control(number)
        entry = platform.entry(1)
        platform.replica("lookup-a", "lookup", "a")
        document = service_configuration(timeout_ms=8000, attempts=2)
        document["version"] = 0

        def limit_in_force(limit_s):
            since = len(entry.events)
            document["version"] += 1
            document["limits"]["idle_timeout_ms"] = int(limit_s * 1000)
            platform.put_until(document)
            entry.wait_event("route_table_in_force", 10, since=since, version=document["version"])

        for number in range(ROUNDS):
            limit_in_force(LOW_S)
            callers = [Caller(platform) for _ in range(CALLERS)]
            first = collections.Counter(caller.request(f"first-{number}-{i}")
                                        for i, caller in enumerate(callers))
            c.equal(first, {404: CALLERS}, f"round {number}: requests under the low limit")
            limit_in_force(RAISED_S)
            c.check(time.monotonic() < callers[0].answered_at + LOW_S,
                    f"round {number}: the limit was raised while the connections were kept")
            answers, answered_at = collections.Counter(), callers[0].answered_at
            begin, end = USED_AFTER_S
            for i, caller in enumerate(callers):
                due = answered_at + begin + (end - begin) * i / CALLERS
                h.wait_until(lambda due=due: time.monotonic() >= due, 10, "the moment of a request")
                answers[caller.request(f"second-{number}-{i}")] += 1
                caller.socket.close()
            print(f"round {number}: {dict(answers)}", flush=True)
            c.equal(answers, {404: CALLERS}, f"round {number}: requests under the raised limit")


if __name__ == "__main__":
    h.main(run, __doc__)
