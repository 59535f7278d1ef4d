"""Kept connections that are reused within the idle limit while an entry host stands still.

Guards against a whole request that gets neither an answer nor a refusal: the host stands still, as
while it decodes a large configuration with little processor time, and afterwards closes a
connection as idle although its request arrived in time and waits to be read. The stall is made by
stopping the process, because a decoding that takes longer than the limit needs tens of thousands of
routes; a configuration that changes the limit and 4000 routes waits to be read too.
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

IDLE_LIMITS_S = [2.0, 2.5, 2.0, 2.5]  # one for each round
# Callers on the platform reuse a connection up to this part of the limit.
REUSED_WITHIN = 0.8
# A host closes an idle connection up to this time after the limit.
CLOSED_AFTER_S = 1.0
# The host looks for idle connections every 0.5 s. Such a check has to be due before the requests
# arrive: only then does it run before most of them are read.
CHECK_IS_DUE_S = 0.6
# More than the 128 events that the host handles before the check.
CALLERS = 300
ROUTES = 4000
ANSWER_S = 10


class Caller:
    """A kept connection to the entry host."""

    def __init__(self, platform):
        self.socket = socket.create_connection((entry_ip(1), platform.front_port), ANSWER_S)
        self.reader = self.socket.makefile("rb")
        self.answered_at = None

    def send(self, name, path):
        self.socket.sendall(
            f"POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {name}\r\n"
            "X-Deadline-Ms: 8000\r\nApi-Key: key-1\r\nContent-Length: 0\r\n\r\n".encode())

    def answer(self):
        """Returns the status of the answer, or why there is none."""
        try:
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


def wait_for_time(moment):
    h.wait_until(lambda: time.monotonic() >= moment, 30, "the moment of the round")


def change(document, limit_s, number):
    """The next version, with other routes and another limit."""
    base = document["routes"][0]
    more = [{**base, "name": f"more-{number}-{i}", "prefix": f"/more-{number}-{i}/"}
            for i in range(ROUTES)]
    limits = {**document["limits"], "idle_timeout_ms": int(limit_s * 1000)}
    return {**document, "version": number + 2, "routes": [base, *more], "limits": limits}


def play(c, platform, entry, number, document):
    """One stall. The configuration that waits beside the requests sets the next round's limit."""
    limit_s = IDLE_LIMITS_S[number]
    callers, answers = [], collections.Counter()
    for i in range(CALLERS):
        callers.append(Caller(platform))
        # The host answers a path without a route by itself, so all answers come within a moment.
        callers[-1].send(f"first-{number}-{i}", "/none/1")
        answers[callers[-1].answer()] += 1
    c.equal(answers, {404: CALLERS}, f"round {number}: the first requests")
    first, last = callers[0].answered_at, callers[-1].answered_at
    entry.freeze()
    wait_for_time(time.monotonic() + CHECK_IS_DUE_S)
    for i, caller in enumerate(callers):
        caller.send(f"second-{number}-{i}", "/get/1")
    idle_s = time.monotonic() - first
    c.check(idle_s < REUSED_WITHIN * limit_s, f"round {number}: the requests were sent in time",
            f"after {idle_s:.3f} s of {limit_s} s")
    c.equal(platform.put(document), 200, f"round {number}: the configuration is acknowledged")
    wait_for_time(last + limit_s + CLOSED_AFTER_S + 0.1)
    entry.thaw()
    answers = collections.Counter(caller.answer() for caller in callers)
    print(f"round {number}: {dict(answers)}", flush=True)
    # A refusal is an answer: all of the requests come at the same moment.
    unanswered = {k: n for k, n in answers.items() if not isinstance(k, int)}
    c.equal(unanswered, {}, f"round {number}: requests without an answer or a refusal")
    for caller in callers:
        caller.socket.close()


def run(c, build):
    with Platform(build) as platform:
        for number in (1, 2, 3):
            platform.control(number)
        entry = platform.entry(1)
        for zone in "abc":
            platform.replica(f"lookup-{zone}", "lookup", zone)
        document = service_configuration(timeout_ms=8000, attempts=2, goal_ms=8000)
        document["limits"]["idle_timeout_ms"] = int(IDLE_LIMITS_S[0] * 1000)
        platform.put_until(document)

        def is_served():
            caller = Caller(platform)
            caller.send("warm-up", "/get/1")
            return caller.answer() == 200
        h.wait_until(is_served, 10, "a request served")
        for number in range(len(IDLE_LIMITS_S)):
            following = IDLE_LIMITS_S[(number + 1) % len(IDLE_LIMITS_S)]
            since = len(entry.events)
            play(c, platform, entry, number, change(document, following, number))
            # The next round begins under its own limit.
            entry.wait_event("route_table_in_force", 10, since=since)


if __name__ == "__main__":
    h.main(run, __doc__)
