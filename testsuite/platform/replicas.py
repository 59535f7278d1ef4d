"""Stand-ins for the replicas of the users' platform: engines that hold layers, and plain services."""

import http.client
import http.server
import json
import threading
import time

HEARTBEAT_S = 0.3
RESTART_S = 0.4  # time from a crash until the replica is back, empty


class Replica:
    """One replica: answers requests and orders, and announces itself to control hosts."""

    def __init__(self, name, service, zone, controls, kind=None, event_s=0.02, deadly_part=None):
        self.deadly_part, self.crashes, self.down_until = deadly_part, 0, 0.0
        self.name, self.service, self.zone, self.kind = name, service, zone, kind
        self.controls, self.event_s = controls, event_s
        self.layers = [0, 0]
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
        self.requests, self.orders, self.fence = [], [], 0
        self.acknowledged = threading.Event()  # of a heartbeat with the present state
        self.stopped = threading.Event()
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
                if replica.is_down():
                    self.close_connection = True
                    return None
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                if self.path == "/order":
                    return self.answer(replica.take_order(json.loads(body)), b"")
                if self.path == "/report":
                    return self.answer(200, json.dumps({"seq": len(replica.orders)}).encode())
                replica.requests.append({"path": self.path, "headers": dict(self.headers.items()),
                                         "body": body})
                if self.headers.get("X-Expect-Instance") != replica.name:
                    return self.answer(421, b"")
                if replica.kind:
                    return self.stream()
                return self.answer(200, b"answer of " + replica.name.encode())

            def head(self, status):
                self.send_response(status)
                self.send_header("X-Attempt-Id", self.headers.get("X-Attempt-Id", ""))
                if status == 200:
                    self.send_header("X-Server-Stamp", "mark of " + replica.name)

            def answer(self, status, body):
                self.head(status)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def stream(self):
                self.head(200)
                self.send_header("Content-Type", "text/event-stream")
                self.send_header("Transfer-Encoding", "chunked")
                self.end_headers()
                life = replica.born
                if replica.is_deadly(self.headers):
                    self.wfile.flush()
                    replica.crash()
                first = int(self.headers.get("Last-Event-Id") or 0) + 1
                count = int(self.headers["X-Tokens"].split(",")[1])
                for number in range(first, count + 1):
                    if replica.born != life:  # it crashed meanwhile
                        self.close_connection = True
                        return
                    event = f"id: {number}\ndata: token {number}\n\n".encode()
                    self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
                    self.wfile.flush()
                    time.sleep(replica.event_s)
                self.wfile.write(b"0\r\n\r\n")

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def is_deadly(self, headers):
        parts = headers.get("X-Prefix-Hash", "").split(",")[:-1]
        return self.deadly_part in [part.split(":")[0] for part in parts]

    def crash(self):
        """Ends all answers. The replica is back after RESTART_S, without layers."""
        self.down_until = time.monotonic() + RESTART_S
        self.crashes += 1
        self.layers, self.sequence, self.fence, self.orders = [0, 0], 0, 0, []
        self.born = max(int(time.time() * 1000), self.born + 1)

    def is_down(self):
        return time.monotonic() < self.down_until

    def take_order(self, order):
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        self.orders.append(order)
        self.layers = [order["from"], order["to"]]
        return 202

    def body(self):
        self.sequence += 1
        body = {"service": self.service, "addr": self.address, "zone": self.zone, "version": "v1",
                "slots": 50, "state": self.state, "seq": self.sequence, "born": self.born}
        if self.kind:
            body.update({"type": self.kind, "models": [{"name": "m", "version": 1, "adapters": []}],
                         "layers": {"from": self.layers[0], "to": self.layers[1], "version": 1}})
        return body

    def send(self, path, body):
        """Returns whether a control host acknowledged the call."""
        for address in self.controls:
            try:
                connection = http.client.HTTPConnection(address, timeout=1)
                connection.request("POST", path, json.dumps(body),
                                   {"Content-Type": "application/json"})
                if connection.getresponse().status == 200:
                    return True
            except OSError:
                continue
        return False

    def _beat(self):
        while not self.stopped.is_set():
            state = self.state
            if self.is_down():
                self.stopped.wait(0.05)
                continue
            if self.send("/Replicas.Heartbeat/" + self.name, self.body()) and state == self.state:
                self.acknowledged.set()
            self.stopped.wait(HEARTBEAT_S)

    def leave(self):
        """Announces that it drains, and returns once that is acknowledged."""
        self.acknowledged.clear()
        self.state = "draining"
        assert self.acknowledged.wait(10), "no acknowledgement of draining"

    def close(self):
        self.stopped.set()
        self.server.shutdown()
        self.server.server_close()
