"""The operator's command line against a region of control hosts.

Guards against a change that is applied twice or not at all when its reply is lost, against an error that
does not say what to do next, and against exit codes that differ from the help.
"""

import json
import pathlib
import re
import socket
import struct
import subprocess
import sys
import threading

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness as h  # noqa: E402


class ReplyThief:
    """Passes one request on to a server, waits for its reply and closes without handing it over."""

    def __init__(self, target):
        self.target, self.listener = target, socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.reply = b""
        self.thread = threading.Thread(target=self._serve, daemon=True)
        self.thread.start()

    def _serve(self):
        client, _ = self.listener.accept()
        self.listener.close()
        head, body = b"", b""
        while b"\r\n\r\n" not in head:
            head += client.recv(65536)
        head, body = head.split(b"\r\n\r\n", 1)
        length = next(int(line.split(b":")[1]) for line in head.split(b"\r\n")
                      if line.lower().startswith(b"content-length"))
        while len(body) < length:
            body += client.recv(65536)
        host, port = self.target.rsplit(":", 1)
        with socket.create_connection((host, int(port)), 10) as server:
            server.sendall(head + b"\r\n\r\n" + body)
            while part := server.recv(65536):  # the tool asks for one reply on a connection
                self.reply += part
        client.close()


# Answers that are not whole or not HTTP. The first one has a whole body, but its connection is reset.
BROKEN_ANSWERS = {
    "reset": b'HTTP/1.1 200 OK\r\n\r\n{"revision": 9}',
    "status 000": b'HTTP/1.1 000 X\r\nContent-Length: 15\r\n\r\n{"revision": 9}',
    "a name with a blank": b'HTTP/1.1 200 OK\r\nX Odd: v\r\nContent-Length: 15\r\n\r\n{"revision": 9}',
    "a control byte in a name": b'HTTP/1.1 200 OK\r\nX\x01Odd: v\r\nContent-Length: 15\r\n\r\n{"revision": 9}',
    "a control byte in the reason": b'HTTP/1.1 200 O\x01K\r\nContent-Length: 15\r\n\r\n{"revision": 9}',
    "a part": b'HTTP/1.1 200 OK\r\n\r\n{"revision"',
    "a chunk without its end": b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
                               b'b\r\n{"revision"XX4\r\n: 9}\r\n0\r\n\r\n',
}


class BrokenServer:
    """Gives each request the same answer once it has read the head, and ends the connection."""

    def __init__(self, answer, resets):
        self.answer, self.resets = answer, resets
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:  # closed
                return
            head = b""
            while b"\r\n\r\n" not in head:
                head += client.recv(4096)
            if not self.resets:
                length = re.search(rb"content-length: (\d+)", head.lower())
                body = len(head.partition(b"\r\n\r\n")[2])
                while body < int(length[1] if length else 0):
                    body += len(client.recv(65536))
            client.sendall(self.answer)
            if self.resets:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            client.close()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.listener.close()


def check_broken_answers(c, ctl, servers, base, folder):
    """Guards against a broken answer that is reported as a success or hides the next server's answer."""
    huge = folder / "huge.toml"
    huge.write_text(h.BASE + "# " + "u" * (8 << 20) + "\n")
    for name, answer in BROKEN_ANSWERS.items():
        with BrokenServer(answer, resets=name == "reset") as broken:
            done = ctl("apply", "--base", base, "--expected-revision", 2, "--change-id", "lost",
                       servers=[broken.address, *servers])
            c.check(done.returncode == 0 and "revision 3 (was applied before)" in done.stdout,
                    f"{name}: the next server is asked", done)
            done = ctl("status", servers=[broken.address])
            c.check(done.returncode == 5 and not done.stdout, f"{name}: no status", done)
            done = ctl("apply", "--base", huge, "--expected-revision", 3, "--timeout-s", 1,
                       servers=[broken.address])
            c.check(done.returncode == 5 and not done.stdout, f"{name}: a long change is unanswered", done)


class Tool:
    def __init__(self, region):
        self.region = region

    def __call__(self, *words, servers=None, key=h.OPERATOR_KEY, timeout=40):
        words = [str(word) for word in words]
        for server in servers or []:
            words += ["--server", server]
        return subprocess.run([str(self.region.bin / "corneltrayctl"), *words], capture_output=True, text=True,
                              timeout=timeout, check=False, env={"CORNELTRAY_KEY": key, "USER": "awa"})


def run(c, build):
    with h.Region(build, entries=0) as region:
        ctl = Tool(region)
        folder = region.folder
        base, overlay, bad = (folder / name for name in ("base.toml", "dkr.toml", "bad.toml"))
        base.write_text(h.BASE)
        overlay.write_text("[limits]\nmax_body_bytes = 5000\n")
        bad.write_text(h.BASE + "[limit]\nx = 1\n")
        files = ("--base", base, "--overlay", f"dkr={overlay}")
        servers = [p.http for p in region.controls]

        done = ctl("validate", *files)
        c.equal(done.returncode, 0, "valid files")
        done = ctl("validate", "--base", bad)
        c.equal(done.returncode, 3, "a mistake")
        c.check(f"{bad}:{len(h.BASE.splitlines()) + 1}: limit" in done.stderr, "with file and line", done)
        c.equal(ctl("validate", "--base", folder / "none").returncode, 2, "a missing file")
        c.equal(ctl("apply", "--base", base).returncode, 2, "no server given")

        c.equal(ctl("diff", *files, servers=servers).returncode, 1, "a difference")
        done = ctl("apply", *files, servers=servers)
        c.equal((done.returncode, "revision 2 accepted" in done.stdout), (0, True), "applied")
        c.equal(ctl("diff", *files, servers=servers).returncode, 0, "no difference then")
        done = ctl("show", "--site", "dkr", "--origins", "--json", servers=servers)
        shown = json.loads(done.stdout)["sites"]["dkr"]
        c.equal(shown["limits.max_body_bytes"], {"value": "5000", "origin": "overlay dkr:2"}, "origins")
        c.check(h.CUSTOMER_KEY not in done.stdout, "keys of customers are hidden")

        done = ctl("apply", *files, "--expected-revision", 1, servers=servers)
        c.equal(done.returncode, 4, "a conflict")
        c.check("revision_conflict" in done.stderr and "Next:" in done.stderr, "says what to do", done)
        c.equal(ctl("status", servers=servers, key="wrong").returncode, 4, "a wrong key")

        # The reply of a change is lost after the change was committed: the tool sends it again to
        # the next server under the same change id and gets the first answer.
        thief = ReplyThief(region.controls[0].http)
        done = ctl("apply", "--base", base, "--expected-revision", 2, "--change-id", "lost",
                   servers=[thief.address, *servers[1:]])
        thief.thread.join(10)
        c.check(b"applied" in thief.reply, "the change was committed", thief.reply)
        c.equal((done.returncode, "revision 3 (was applied before)" in done.stdout), (0, True), "a lost reply")
        done = ctl("apply", "--base", base, "--expected-revision", 2, "--change-id", "lost", servers=servers)
        c.equal((done.returncode, "revision 3 (was applied before)" in done.stdout), (0, True), "a resend")
        done = ctl("history", "--json", servers=servers)
        rows = json.loads(done.stdout)["changes"]
        c.equal([row["revision"] for row in rows], [3, 2, 1], "applied once each")
        c.equal(rows[0]["author"], "awa", "with the author")

        check_broken_answers(c, ctl, servers, base, folder)

        # Two of three hosts are lost: nothing is accepted, and the tool says that it is not certain.
        for process in region.controls[1:]:
            process.kill()
        done = ctl("apply", *files, "--expected-revision", 3, "--change-id", "c4", "--timeout-s", 3,
                   servers=servers)
        c.equal(done.returncode, 5, "no majority")
        c.check("--change-id c4" in done.stderr, "how to repeat it", done)
        lost = region.restart(region.controls[1])
        done = ctl("apply", *files, "--expected-revision", 3, "--change-id", "c4", servers=[lost.http])
        c.equal((done.returncode, "revision 4" in done.stdout), (0, True), "repeated once a majority is back")

        done = ctl("drain", servers=[lost.http])
        c.equal((done.returncode, lost.popen.wait(20)), (0, 0), "a drained host ends with 0")


if __name__ == "__main__":
    h.main(run, __doc__)
