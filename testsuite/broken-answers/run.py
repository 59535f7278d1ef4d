"""Replicas in trouble whose answers break off or are not HTTP, and sound answers that look odd.

Guards against a broken answer that reaches a caller as a complete one, a second run of a request
that may not be repeated, and a sound answer that is taken for a broken one.
"""

import dataclasses
import enum
import http.client
import os
import pathlib
import socket
import struct
import sys
import time

CASES = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(CASES), str(CASES / "platform")]
import harness as h  # noqa: E402
from fleet import Platform, configuration, entry_ip  # noqa: E402

# More than the buffers of both ends hold, so that a part is unwritten when the connection ends.
LONG_UPLOAD = b"u" * (6 << 20)
SHORT_UPLOAD = b"u"
RECEIVE_BUFFER_BYTES = 16 << 10
MAX_BODY_BYTES = 16 << 20
GOAL_MS = 2000
TIMEOUT_MS = 8000
SOUND, TROUBLED = 1, 4  # replicas of each service; a host avoids one after five failures
ANSWERED_WITHIN_S = 20
RETRY_RATIO = 1.0  # enough for each idempotent request to go on elsewhere
PART = b"broken part"
WHOLE = b"whole answer"
FIELDS = b"X-Attempt-Id: %(id)s\r\nX-Server-Stamp: of %(name)s\r\n"


class End(enum.Enum):
    """What a replica does with the connection after its answer."""
    RESET = "resets it"
    CLOSE_UNREAD = "closes it with unread bytes, which resets it"
    SHUTDOWN_THEN_RESET = "ends its stream, and resets the connection later"
    SHUTDOWN_THEN_READ = "ends its stream, reads the rest of the upload and closes"
    READ_THEN_CLOSE = "reads the rest of the upload and closes"
    READ_THEN_KEEP = "reads the rest of the upload and keeps it open"


CUTS_OFF = (End.RESET, End.CLOSE_UNREAD, End.SHUTDOWN_THEN_RESET)


@dataclasses.dataclass
class Answer:
    """What a replica sends once it has read the head of a request."""
    name: str
    start: bytes = b"HTTP/1.1 200 OK\r\n"
    fields: bytes = b""
    body: bytes = PART
    first: bytes = b""  # before the start line
    reads: float = 0.0  # share of the upload that is read before the answer
    end: End = End.RESET
    after_s: float = 0.03
    upload: bytes = LONG_UPLOAD
    passed_on: dict = dataclasses.field(default_factory=dict)  # fields that the caller has to get

    def bytes_for(self, request, replica):
        fields = FIELDS % {b"id": request.encode(), b"name": replica.encode()}
        return self.first + self.start + fields + self.fields + b"\r\n" + self.body


CUT_OFF = [
    *[Answer(f"no length, reset after {after} s", after_s=after) for after in (0.0, 0.03, 0.3)],
    Answer("no length, closed with unread bytes", end=End.CLOSE_UNREAD),
    Answer("no length, end of the stream and then a reset", end=End.SHUTDOWN_THEN_RESET, after_s=0.3),
    Answer("no length, no body, reset", body=b""),
    Answer("HTTP/1.0, reset", start=b"HTTP/1.0 200 OK\r\n"),
    Answer("no length, reset after a third of the upload", reads=1 / 3),
    Answer("500 without a length, reset", start=b"HTTP/1.1 500 Oops\r\n"),
    Answer("with a length, reset", fields=b"Content-Length: 100\r\n"),
    Answer("in chunks, reset", fields=b"Transfer-Encoding: chunked\r\n",
           body=b"b\r\n" + PART + b"\r\n"),
]


def not_http(name, **more):
    fields = more.pop("fields", b"") + b"Content-Length: %d\r\n" % len(PART)
    return Answer(name, end=End.READ_THEN_KEEP, upload=SHORT_UPLOAD, fields=fields, **more)


def in_chunks(name, body):
    return Answer(name, end=End.READ_THEN_KEEP, upload=SHORT_UPLOAD, fields=b"Transfer-Encoding: chunked\r\n",
                  body=body)


BAD_NAMES = [b"X Odd", b"X-Odd ", b" X-Odd", b"X\tOdd", b"X\x01Odd", b"X\x00Odd", b"X\x7fOdd", b"X\rOdd",
             b"\rX-Odd", b"X\nOdd", b"\nX-Odd", b"\n\nX-Odd", b""]
NOT_HTTP = [
    not_http("status 000", start=b"HTTP/1.1 000 X\r\n"),
    not_http("no digits", start=b"HTTP/1.1 OK\r\n"),
    not_http("name of another protocol", start=b"HXXX/1.1 200 OK\r\n"),
    not_http("ICY as the name of the protocol", start=b"ICY 200 OK\r\n"),
    not_http("control byte in the reason", start=b"HTTP/1.1 200 O\x01K\r\n"),
    not_http("NUL in the reason", start=b"HTTP/1.1 200 O\x00K\r\n"),
    *[not_http(f"field named {name!r}", fields=name + b": v\r\n") for name in BAD_NAMES],
    *[Answer(f"length named {name!r}", end=End.READ_THEN_KEEP, upload=SHORT_UPLOAD,
             fields=name + b": %d\r\n" % len(PART))
      for name in (b"Content-Length ", b"Content Length", b"Content-Length\t", b"\rContent-Length")],
    # A parser may end the head there, and take the other fields for the body.
    *[Answer(f"no length, closed, field named {name!r}", end=End.READ_THEN_CLOSE, upload=SHORT_UPLOAD,
             fields=name + b": v\r\n")
      for name in (b"\rX-Odd", b"\nX-Odd", b"\n\nX-Odd")],
    not_http("control byte in a value", fields=b"X-Odd: a\x01b\r\n"),
    in_chunks("chunk without its line end", b"b\r\n" + PART + b"XX0\r\n\r\n"),
    in_chunks("chunk size without its line feed", b"b\rX" + PART + b"\r\n0\r\n\r\n"),
    in_chunks("text behind a chunk size", b"b text\r\n" + PART + b"\r\n0\r\n\r\n"),
    in_chunks("last chunk without its line end", b"b\r\n" + PART + b"\r\n0\r\n\rX"),
]

CHUNKED = b"Transfer-Encoding: chunked\r\n"
LENGTH = b"Content-Length: %d\r\n" % len(WHOLE)
SOUND_ANSWERS = [
    Answer("no length, closed", reads=1.0, end=End.READ_THEN_CLOSE, body=WHOLE),
    Answer("no length, sent before the upload is read", end=End.READ_THEN_CLOSE, body=WHOLE),
    Answer("no length, its end sent before the upload is read", end=End.SHUTDOWN_THEN_READ, body=WHOLE),
    Answer("with a length, sent before the upload is read", end=End.READ_THEN_CLOSE, body=WHOLE, fields=LENGTH),
    Answer("HTTP/1.0", start=b"HTTP/1.0 200 OK\r\n", reads=1.0, end=End.READ_THEN_CLOSE, body=WHOLE),
    *[Answer(name, end=End.READ_THEN_KEEP, upload=SHORT_UPLOAD, **{"body": WHOLE, "fields": LENGTH, **more})
      for name, more in (
          ("no reason", {"start": b"HTTP/1.1 200 \r\n"}),
          ("no space before the missing reason", {"start": b"HTTP/1.1 200\r\n"}),
          ("high bytes and a tab in the reason", {"start": b"HTTP/1.1 200 O\xe9\t\xc3\xa9K\r\n"}),
          ("odd names", {"fields": b"!#$%&'*+-.^_`|~9: v\r\n" + LENGTH,
                         "passed_on": {"!#$%&'*+-.^_`|~9": "v"}}),
          ("odd values", {"fields": b"X-High: \xe9\xff\r\nX-Tab: a\tb\r\nX-None:\r\n" + LENGTH,
                          "passed_on": {"X-High": "\xe9\xff", "X-Tab": "a\tb", "X-None": ""}}),
          ("interim first", {"first": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"}),
          ("chunk with an extension",
           {"fields": CHUNKED, "body": b"00C;a=\"b c\";d\r\n" + WHOLE + b"\r\n0\r\n\r\n"}),
          ("padded chunk size", {"fields": CHUNKED, "body": b"c  \r\n" + WHOLE + b"\r\n0\r\n\r\n"}),
          ("chunk with a trailer",
           {"fields": CHUNKED, "body": b"c\r\n" + WHOLE + b"\r\n0\r\nX-Sum: 1\r\n\r\n"}))],
]


class Service:
    """Replicas of one service. Those in trouble send the present answer."""

    def __init__(self, name, platform):
        self.name, self.answer = name, None
        self.given = []  # request and the name of the answer that a replica gave it
        for number in range(SOUND + TROUBLED):
            zone = "b" if number < SOUND else "a"  # the host prefers those of its own zone
            self.add(platform.replica(f"{name}-{number}", name, zone), number >= SOUND)

    def add(self, replica, may_fail):
        replica.server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        handler, service = replica.server.RequestHandlerClass, self
        serve = handler.serve

        def respond(self):
            request, answer = self.headers.get("X-Attempt-Id"), service.answer
            is_call = request and self.headers.get("X-Expect-Instance") == replica.name
            if is_call:
                service.given.append((request, answer.name if answer and may_fail else "sound"))
            if is_call and answer and may_fail:
                return send(self, answer, answer.bytes_for(request, replica.name))
            return serve(self)
        handler.do_GET = handler.do_POST = respond

    def given_to(self, request):
        return [name for other, name in self.given if other == request]


def send(handler, answer, text):
    """Sends an answer as its description says."""
    length = int(handler.headers.get("Content-Length", 0))
    early = int(length * answer.reads)
    handler.rfile.read(early)
    handler.connection.sendall(text)
    if answer.end in CUTS_OFF:
        handler.close_connection = True
        if answer.end is End.SHUTDOWN_THEN_RESET:
            handler.connection.shutdown(socket.SHUT_WR)
        time.sleep(answer.after_s)
        if answer.end is not End.CLOSE_UNREAD:
            handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        os.close(handler.connection.detach())
        return
    if answer.end is End.SHUTDOWN_THEN_READ:
        handler.connection.shutdown(socket.SHUT_WR)
    handler.rfile.read(length - early)
    if answer.end is not End.READ_THEN_KEEP:
        handler.close_connection = True


def document():
    result = configuration(1)
    result["limits"]["max_body_bytes"] = MAX_BODY_BYTES
    result["routes"] = [
        {"name": name, "host": "h.example", "prefix": f"/{name}/", "type": kind,
         "timeout_ms": TIMEOUT_MS, "goal_ms": GOAL_MS, "prio": 1, "service": service,
         "attempts": SOUND + TROUBLED, "public": False, "sticky": False, "resumable": False}
        for name, kind, service in (("get", "safe", "lookup"), ("book", "unsafe", "ledger"))]
    result["services"] = [{"name": service, "health_path": "/healthz", "max_conns": 100}
                          for service in ("lookup", "ledger")]
    return result


@dataclasses.dataclass
class Reply:
    request: str
    status: int = 0  # 0: no complete answer
    body: bytes = b""
    headers: dict = dataclasses.field(default_factory=dict)

    @property
    def stamp(self):
        return self.headers.get("X-Server-Stamp", "")


def ask(address, path, body=SHORT_UPLOAD):
    connection = http.client.HTTPConnection(address, timeout=12)
    request = h.uuid7()
    try:
        connection.request("POST", path, body,
                           {"Host": "h.example", "X-Attempt-Id": request,
                            "X-Deadline-Ms": str(TIMEOUT_MS), "Api-Key": "key-1"})
        reply = connection.getresponse()
        return Reply(request, reply.status, reply.read(), dict(reply.headers.items()))
    except (http.client.HTTPException, OSError):
        return Reply(request)
    finally:
        connection.close()


def ask_until_given(service, front, path, answer):
    """Returns the reply to a request that a replica in trouble has given this answer."""
    def attempt():
        # A sound answer in between, so that the replicas in trouble are not avoided.
        service.answer = None
        ask(front, path)
        service.answer = answer
        reply = ask(front, path, answer.upload)
        return reply if answer.name in service.given_to(reply.request) else None
    try:
        return h.wait_until(attempt, ANSWERED_WITHIN_S, f"{path}: a replica answers: {answer.name}")
    finally:
        service.answer = None


def wait_for_retries(entry, service, front, path):
    """Waits until the host may retry. A new leader grants no quota while it collects reports, and
    hosts log their quota once they have retried."""
    def is_granted():
        ask_until_given(service, front, path, NOT_HTTP[0])
        return any(event.get("event") == "retry_quota" and event["service"] == service.name
                   and event["quota"] > 0 for event in list(entry.events))
    h.wait_until(is_granted, 15, f"a quota of retries for {service.name}")


def check_broken(c, service, front, path, is_idempotent):
    for answer in CUT_OFF + NOT_HTTP:
        reply = ask_until_given(service, front, path, answer)
        given = service.given_to(reply.request)
        seen = (f"{path}, {answer.name}: replicas gave {given}, the caller got {reply.status} "
                f"{reply.body[:40]!r} with the stamp {reply.stamp!r}")
        c.check(PART not in reply.body, f"{seen}; the answer is no part of a broken one")
        if is_idempotent:
            c.check(reply.status == 200 and reply.body.startswith(b"answer of "),
                    f"{seen}; another replica answers")
        else:
            c.check(reply.status == 502 and not reply.stamp, f"{seen}; it is reported as failed")
            c.check(len(given) == 1, f"{seen}; it runs once")


def check_sound(c, service, front, path):
    for answer in SOUND_ANSWERS:
        reply = ask_until_given(service, front, path, answer)
        given = service.given_to(reply.request)
        c.check(reply.status == 200 and reply.body == WHOLE and reply.stamp and len(given) == 1,
                f"{path}, {answer.name}: arrives whole, got {reply.status} {reply.body[:40]!r} "
                f"after {given}")
        got = {name: reply.headers.get(name) for name in answer.passed_on}
        c.equal(got, answer.passed_on, f"{path}, {answer.name}: its fields arrive")


def run(c, build):
    with Platform(build) as platform:
        for number in (1, 2, 3):
            platform.control(number)
        entry = platform.entry(1, **{"bounds.retry_ratio": RETRY_RATIO})
        lookup, ledger = Service("lookup", platform), Service("ledger", platform)
        platform.put_until(document())
        front = f"{entry_ip(1)}:{platform.front_port}"
        h.wait_until(lambda: ask(front, "/get/1").status == 200 and ask(front, "/book/1").status == 200,
                     10, "requests are served")
        check_sound(c, lookup, front, "/get/1")
        check_sound(c, ledger, front, "/book/1")
        wait_for_retries(entry, lookup, front, "/get/1")
        check_broken(c, lookup, front, "/get/1", True)
        check_broken(c, ledger, front, "/book/1", False)


if __name__ == "__main__":
    h.main(run, __doc__)
