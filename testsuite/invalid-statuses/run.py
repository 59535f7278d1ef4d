"""Replicas in trouble that respond with a status that HTTP does not define.

Guards against such a response that reaches a caller as an answer, a request that is held until its
deadline because a status below 200 looks interim, and a second run of a request that may not be
repeated.
"""

import http.client
import pathlib
import sys
import time

CASES = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(CASES), str(CASES / "platform")]
import harness as h  # noqa: E402
from fleet import Platform, configuration, entry_ip  # noqa: E402

STATUSES = ["000", "042", "101", "199", "600", "999"]
BROKEN_BODY = b"broken"
GOAL_MS = 1000
AT_ONCE_S = 0.5  # below the attempt timeout of the routes, twice their objective
SOUND, TROUBLED = 1, 3  # replicas of each service; a host avoids one after five failures
MAX_CALLS = 60
RETRY_RATIO = 1.0  # enough for each repeatable request to go on elsewhere


class Service:
    """Replicas of one service. Those in trouble respond with one invalid status after the other."""

    def __init__(self, name, platform):
        self.name, self.is_troubled = name, False
        self.responses = []  # request and the status that a replica gave it
        for number in range(SOUND + TROUBLED):
            zone = "b" if number < SOUND else "a"  # the host prefers those of its own zone
            self.add(platform.replica(f"{name}-{number}", name, zone), number >= SOUND)

    def add(self, replica, may_fail):
        handler, service = replica.server.RequestHandlerClass, self
        serve = handler.serve

        def respond(self):
            request = self.headers.get("X-Attempt-Id")
            if not request or self.headers.get("X-Expect-Instance") != replica.name:
                return serve(self)
            if not may_fail or not service.is_troubled:
                service.responses.append((request, "200"))
                return serve(self)
            self.rfile.read(int(self.headers.get("Content-Length", 0)))
            status = STATUSES[len(service.responses) % len(STATUSES)]
            service.responses.append((request, status))
            self.wfile.write(f"HTTP/1.1 {status} X\r\nX-Attempt-Id: {request}\r\n"
                             f"X-Server-Stamp: of {replica.name}\r\n"
                             f"Content-Length: {len(BROKEN_BODY)}\r\n\r\n".encode() + BROKEN_BODY)
            return None
        handler.do_GET = handler.do_POST = respond

    def given(self, request):
        return [status for other, status in self.responses if other == request]

    def has_given_all(self):
        return set(STATUSES) <= {status for _, status in self.responses}


def document():
    result = configuration(1)
    result["routes"] = [
        {"name": name, "host": "h.example", "prefix": f"/{name}/", "type": kind,
         "timeout_ms": 4000, "goal_ms": GOAL_MS, "prio": 1, "service": service,
         "attempts": SOUND + TROUBLED, "public": False, "sticky": False, "resumable": False}
        for name, kind, service in (("get", "safe", "lookup"), ("book", "unsafe", "ledger"))]
    result["services"] = [{"name": service, "health_path": "/healthz", "max_conns": 100}
                          for service in ("lookup", "ledger")]
    return result


def ask(address, path):
    """Returns request, status, body and duration. The status is 0 if the response is no HTTP."""
    connection = http.client.HTTPConnection(address, timeout=8)
    request, begin = h.uuid7(), time.monotonic()
    try:
        connection.request("POST", path, b"x", {"Host": "h.example", "X-Attempt-Id": request,
                                                "X-Deadline-Ms": "4000", "Api-Key": "key-1"})
        reply = connection.getresponse()
        return request, reply.status, reply.read(), time.monotonic() - begin
    except (http.client.HTTPException, OSError) as error:
        return request, 0, repr(error).encode(), time.monotonic() - begin
    finally:
        connection.close()


def check_calls(c, service, front, path, is_repeatable):
    """Sends requests until each invalid status was given."""
    service.is_troubled = True
    for _ in range(MAX_CALLS):
        if service.has_given_all():
            break
        request, status, body, took = ask(front, path)
        given = service.given(request)
        seen = f"{path}: replicas gave {given}, the caller got {status} after {took:.2f} s"
        expected = 200 if is_repeatable or given == ["200"] else 502
        c.check(status == expected and body != BROKEN_BODY, seen)
        c.check(took < AT_ONCE_S, f"{seen}, at once")
        c.check(is_repeatable or len(given) == 1, f"{seen}: it runs once")
    c.check(service.has_given_all(), f"{path}: each invalid status was given")


def run(c, build):
    with Platform(build) as platform:
        for number in (1, 2, 3):
            platform.control(number)
        platform.entry(1, **{"bounds.retry_ratio": RETRY_RATIO})
        lookup, ledger = Service("lookup", platform), Service("ledger", platform)
        platform.put_until(document())
        front = f"{entry_ip(1)}:{platform.front_port}"
        h.wait_until(lambda: ask(front, "/get/1")[1] == 200 and ask(front, "/book/1")[1] == 200,
                     10, "requests are served")
        check_calls(c, lookup, front, "/get/1", True)
        check_calls(c, ledger, front, "/book/1", False)


if __name__ == "__main__":
    h.main(run, __doc__)
