"""Engines whose answers to orders are broken.

Guards against a placement process that takes the fencing number of such an answer for one that an
engine has seen, and gives up its lease, and against a broken answer that is logged as an accepted
order.
"""

import pathlib
import re
import socket
import sys
import threading

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness as h  # noqa: E402

ZONE = "dkr-a"
VOTERS = [f"placement-{i}" for i in range(3)]
FENCE = 10 ** 15  # far above each fencing number that a holder takes
REFUSAL = b'{"error": {"code": "stale_fence"}, "fence": %d}' % FENCE
LENGTH = b"Content-Length: %d\r\n\r\n" % len(REFUSAL)
CHUNK = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(REFUSAL)
BROKEN_ANSWERS = {
    "status 000": b"HTTP/1.1 000 X\r\n" + LENGTH + REFUSAL,
    "a name with a blank": b"HTTP/1.1 409 Conflict\r\nX Odd: v\r\n" + LENGTH + REFUSAL,
    "a chunk without its end": b"HTTP/1.1 409 Conflict\r\n" + CHUNK + REFUSAL + b"XX0\r\n\r\n",
    "accepted, with a control byte in the reason": b"HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n\r\n{}",
}


class BrokenEngine:
    """Answers each order with the next broken answer, and announces itself through a fake engine."""

    def __init__(self):
        self.given = []  # the names of the answers, in order
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        names = list(BROKEN_ANSWERS)
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:  # closed
                return
            with client:
                if self._read(client).startswith(b"POST /v1/orders "):
                    name = names[len(self.given) % len(names)]
                    self.given.append(name)
                    client.sendall(BROKEN_ANSWERS[name])

    @staticmethod
    def _read(client):
        received = b""
        while b"\r\n\r\n" not in received:
            part = client.recv(65536)
            if not part:
                return b""
            received += part
        length = re.search(rb"content-length: (\d+)", received.lower())
        end = received.index(b"\r\n\r\n") + 4 + int(length[1] if length else 0)
        while len(received) < end:
            received += client.recv(65536)
        return received

    def close(self):
        self.listener.close()


def status(process):
    return h.call("GET", process.http, "/v1/status", timeout=2).json()


def run(c, build):
    with h.Region(build, entries=1) as region:
        store = region.start("fake-weight-store", "--layer-bytes", 1000)
        names = ", ".join(f'"{name}"' for name in VOTERS)
        settings = f'[placement]\nlease_voters = [{names}]\nweight_store = "{store.http}"\n'
        placements = [region.launch("corneltray-placement", name, ZONE, more=settings) for name in VOTERS]
        broken = BrokenEngine()
        region.engine("engine-0", zone=ZONE, announce=[p.http for p in placements],
                      extra=["--advertise", broken.address, "--memory-bytes", 20_000, "--layer-bytes", 1000])
        h.wait_until(lambda: len(broken.given) >= 2 * len(BROKEN_ANSWERS), 60, "each broken answer was given twice")
        for process in placements:
            c.check(status(process)["fence"] < FENCE, f"{process.name}: the fence of a broken answer is not taken",
                    status(process))
            for name in ("order_accepted", "order_refused", "lease_lost"):
                seen = [event for event in process.events if event.get("event") == name]
                c.check(not seen, f"{process.name}: no {name}", seen[:2])
        failed = sum(event.get("event") == "order_failed" for p in placements for event in p.events)
        c.check(failed >= len(BROKEN_ANSWERS), f"orders with broken answers are logged as failed, {failed}")
        broken.close()


if __name__ == "__main__":
    h.main(run, __doc__)
