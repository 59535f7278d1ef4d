"""A TCP proxy on an address of its own, before the peer address of one control host."""

import select
import socket
import threading
import time

POLL_S = 0.05  # how fast a changed mode takes effect
DELAY_S = 0.15


class LinkProxy:
    """Forwards TCP from `address` to `target`. `mode_of(port)` decides for each chunk, by
    the port that has opened the connection: "pass"; "hold": bytes wait until the mode changes, as
    behind a partition; "delay": each chunk is late; "refuse": the connection is closed."""

    def __init__(self, address, target, mode_of):
        self.target, self.mode_of = target, mode_of
        self.ports, self.silenced, self.ending = set(), set(), False
        self.listener = socket.create_server(address, backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def silence_open(self):
        """Every connection open now stays open and carries nothing more; new ones work."""
        self.silenced.update(self.ports)

    def close(self):
        self.ending = True
        self.listener.close()

    def _accept(self):
        while True:
            try:
                client, peer = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(client, peer[1]), daemon=True).start()

    def _mode(self, port):
        if self.ending:
            return "refuse"
        return "hold" if port in self.silenced else self.mode_of(port)

    def _serve(self, client, port):
        upstream = None
        self.silenced.discard(port)  # of an earlier connection
        self.ports.add(port)
        try:
            while (mode := self._mode(port)) == "hold":
                time.sleep(POLL_S)
            if mode == "refuse":
                return
            upstream = socket.create_connection(self.target, 5)
            upstream.settimeout(None)
            for end in (client, upstream):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._pump(client, upstream, port)
        except OSError:
            pass  # an end is gone; the other one is closed below
        finally:
            self.ports.discard(port)
            client.close()
            if upstream:
                upstream.close()

    def _pump(self, client, upstream, port):
        ends = {client.fileno(): (client, upstream), upstream.fileno(): (upstream, client)}
        poll = select.poll()  # select() refuses descriptors above 1023
        for descriptor in ends:
            poll.register(descriptor, select.POLLIN)
        while True:
            mode = self._mode(port)
            if mode == "refuse":
                return
            if mode == "hold":
                time.sleep(POLL_S)
                continue
            for descriptor, _ in poll.poll(POLL_S * 1000):
                end, other = ends[descriptor]
                data = end.recv(1 << 16)
                if not data:
                    return
                if mode == "delay":
                    time.sleep(DELAY_S)
                other.sendall(data)
