"""A replica leaves while the answers to requests that it has run are lost. Their route allows one replica for a requester
attempt, so none of them may be run by a second one."""

import http.server
import json
import pathlib
import socket
import struct
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import case  # noqa: E402
from case import BROKEN, HELD, TROUBLE, configuration, entry_ip, h  # noqa: E402

HEARTBEAT_S = 0.4
WORK_S = 0.22           # the longest work of a request of the site's plain service
SLOTS = 6               # of a replica of that service
DRAIN_S = 2.0           # drain_ms: a replica that leaves goes on serving for so long
LEAVES_AFTER_S = 0.05   # of the requests' start
LOST_OF_A_ROUND = 2     # of SLOTS: a third; the site file has x = 0.4 as the largest share of lost answers
ROUNDS = 3
ALLOWED = 3
ROUTE_ATTEMPTS = 1


class Replica:
    """A replica of a plain service. Announces itself, runs what it gets, and leaves by POST /Replicas.Deregister first."""

    def __init__(self, name, controls, record):
        self.name, self.controls, self.record = name, controls, record
        self.sequence, self.born = 0, int(time.time() * 1000)
        self.answers_to_lose, self.left = 0, False
        self.ran, self.lock = [], threading.Lock()
        replica = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_GET(self):
                self.serve()

            def do_POST(self):
                self.serve()

            def serve(self):
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                attempt = self.headers.get("X-Attempt-Id", "")
                if self.headers.get("X-Expect-Instance") != replica.name:
                    return self.answer(421, b"")
                with replica.lock:
                    replica.ran.append(attempt)
                replica.record.line(f"{replica.name} runs {attempt}")
                time.sleep(WORK_S)
                if replica.loses_answer():
                    # The answer is lost: the channel is reset after the run.
                    self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    self.close_connection = True
                    replica.record.line(f"{replica.name} loses the answer to {attempt}")
                    return None
                return self.answer(200, b"answer")

            def answer(self, status, body):
                self.send_response(status)
                self.send_header("X-Attempt-Id", self.headers.get("X-Attempt-Id", ""))
                if status == 200:
                    self.send_header("X-Server-Stamp", "stamp of " + replica.name)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True

            def shutdown_request(self, request):
                request.close()  # without a FIN first, so that SO_LINGER resets

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def loses_answer(self):
        with self.lock:
            loses = self.answers_to_lose > 0
            self.answers_to_lose -= loses
            return loses

    def send(self, call):
        self.sequence += 1
        body = {"service": "ledger", "addr": self.address, "zone": "a", "version": "v1", "slots": SLOTS,
                "state": "ready", "cold_left_ms": 0, "seq": self.sequence, "born": self.born}
        for node in self.controls:
            answer = case.send(node, "POST", f"/{call}/{self.name}", json.dumps(body),
                               {"Content-Type": "application/json"}, 1.0)
            if answer and answer[0] == 200:
                return True
        return False

    def _beat(self):
        while not self.left:
            self.send("Replicas.Heartbeat")
            time.sleep(HEARTBEAT_S)

    def leave(self):
        self.left = True
        acknowledged = self.send("Replicas.Deregister")
        self.record.line(f"{self.name} deregisters and goes on serving: acknowledged {acknowledged}")

    def close(self):
        self.left = True
        self.server.shutdown()
        self.server.server_close()


def ask(front, record, statuses=None):
    attempt = h.uuid7()
    record.line(f"{attempt} sent")
    answer = case.send(front, "POST", "/look/1", b"",
                       {"Host": "h.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "1500", "Api-Key": "key-1"})
    status = answer[0] if answer else None
    record.line(f"{attempt} answered {status}")
    if statuses is not None:
        statuses[attempt] = status
    return status


def run(platform, record):
    for number in (1, 2, 3):
        platform.control(number)
    platform.entry(1)
    front = f"{entry_ip(1)}:{platform.front_port}"
    document = configuration(3)
    document["routes"].append(dict(document["routes"][1], name="look", prefix="/look/", type="safe",
                                   timeout_ms=800, goal_ms=150, attempts=ROUTE_ATTEMPTS))
    platform.put_until(document)
    replicas = []
    try:
        statuses = {}
        for turn in range(ROUNDS):
            # Alone at first, so that all requests of the round run at the replica that is going to leave.
            leaving = Replica(f"l{turn}-leaving", platform.seeds, record)
            replicas.append(leaving)
            h.wait_until(lambda: ask(front, record) == 200 and leaving.ran, 10, "the first replica serves")
            threads = [threading.Thread(target=ask, args=(front, record, statuses)) for _ in range(SLOTS)]
            for thread in threads:
                thread.start()
            other = Replica(f"l{turn}-other", platform.seeds, record)
            replicas.append(other)
            time.sleep(LEAVES_AFTER_S)
            if TROUBLE:
                leaving.answers_to_lose = LOST_OF_A_ROUND
                leaving.leave()
            for thread in threads:
                thread.join()
            time.sleep(DRAIN_S)
            for replica in (leaving, other):
                if not replica.left:
                    replica.leave()
            time.sleep(0.5)
            leaving.close()
            other.close()
        runs = {attempt: [r.name for r in replicas if attempt in r.ran] for attempt in statuses}
        over = {attempt: names for attempt, names in runs.items() if len(names) > ROUTE_ATTEMPTS}
        for attempt, names in over.items():
            record.line(f"{attempt} was run by {', '.join(names)}; the route allows {ROUTE_ATTEMPTS}")
        record.line(f"requests: {len(statuses)}; run by more replicas than allowed: {len(over)}")
        return BROKEN if len(over) > ALLOWED else HELD
    finally:
        for replica in replicas:
            if not replica.left:
                replica.close()


if __name__ == "__main__":
    case.main(FOLDER, run)
