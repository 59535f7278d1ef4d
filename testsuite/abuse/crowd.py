"""Crowds of clients that send what they like, on non-blocking sockets of one thread."""

import selectors
import socket
import time

MB = 1 << 20
HOST = "Host: h.example\r\nApi-Key: key-1\r\nX-Deadline-Ms: 5000\r\n"
# Nothing more is sent or read within this time: the crowd has done what it can.
QUIET_S = 0.25


def head(method, path, fields=""):
    return f"{method} {path} HTTP/1.1\r\n{HOST}{fields}\r\n".encode()


def body_that_stops_short(path, size):
    return head("POST", path, f"Content-Length: {size}\r\n") + bytes(size - 10)


def chunks_that_stop_short(path, size, chunk=4096):
    one = b"%x\r\n%s\r\n" % (chunk, bytes(chunk))
    return head("POST", path, "Transfer-Encoding: chunked\r\n") + one * (size // chunk - 1)


def body_far_over(path, size):
    return head("POST", path, f"Content-Length: {1000 * size}\r\n") + bytes(3 * size)


def chunks_far_over(path, size):
    return chunks_that_stop_short(path, 3 * size)


def body_of_many_values(path, size):
    """A whole body that takes many times its length once it is parsed."""
    body = b"[" + b"{}," * ((size - 4) // 3) + b"1]"
    return head("POST", path, f"Content-Length: {len(body)}\r\n") + body


def heads_of_short_fields(path, method, count, head_bytes=16384):
    """Legal requests, one after the other, whose heads are almost as long as allowed."""
    start = f"{method} {path} HTTP/1.1\r\n{HOST}"
    one = start + "a:b\r\n" * ((head_bytes - len(start) - 40) // 5) + "Content-Length: 0\r\n\r\n"
    return one.encode() * count


def requests_sent_ahead(path, method, count):
    return head(method, path, "Content-Length: 0\r\n") * count


def half_a_head(path):
    return f"POST {path} HTTP/1.1\r\nHost: h.exa".encode()


class Client:
    """One connection. Sends `payload` in pieces of at most `piece` bytes, and never reads."""

    def __init__(self, address, payload, piece):
        host, port = address.rsplit(":", 1)
        self.payload, self.piece, self.at = memoryview(payload), piece, 0
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # What is not read stays with the process under test, not here.
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.connect_ex((host, int(port)))

    def send(self):
        """Returns the number of bytes sent, or -1 when there is no more to do."""
        try:
            sent = self.socket.send(self.payload[self.at:self.at + self.piece])
        except BlockingIOError:
            return 0
        except OSError:
            return -1
        self.at += sent
        return sent if self.at < len(self.payload) else -1


class Crowd:
    """Clients that all send at once, and keep their connections afterwards."""

    def __init__(self, address, payloads, count, piece=MB):
        self.clients = [Client(address, payloads[i % len(payloads)], piece) for i in range(count)]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for client in self.clients:
            client.socket.close()

    def send(self, seconds):
        """Sends until every client is done, nothing moves any more, or the time is over."""
        end = time.monotonic() + seconds
        with selectors.DefaultSelector() as selector:
            for client in self.clients:
                selector.register(client.socket, selectors.EVENT_WRITE, client)
            while selector.get_map() and time.monotonic() < end:
                ready = selector.select(QUIET_S)
                if not ready:
                    return
                for key, _ in ready:
                    if key.data.send() < 0:
                        selector.unregister(key.data.socket)
