"""Keys that a configuration takes away, while hosts fail or operators race, on the users' platform.

Guards against a request that runs with a key that no configuration in force holds: after the last
customer or its last key is removed, at a host that stood still meanwhile, after a restart of all
processes, and after two operators changed the keys at once.
"""

import pathlib
import signal
import sys
import threading
import time

TESTSUITE = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(TESTSUITE))
sys.path.insert(0, str(TESTSUITE / "platform"))
import harness as h  # noqa: E402
from fleet import Platform, configuration, entry_ip  # noqa: E402

ENTRIES = [1, 2]
REVOKE_S = 5.0  # bound within which a key no longer works, as in the settings of the entry hosts
ROUNDS = 5


class Keys:
    """Sends requests with keys and tells which of them ran."""

    def __init__(self, platform, ledger):
        self.platform, self.ledger = platform, ledger

    def ask(self, number, key):
        """Returns the status of one request and whether the upstream ran it."""
        attempt = h.uuid7()
        headers = {"Host": "h.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "1500",
                   "Api-Key": key}
        front = f"{entry_ip(number)}:{self.platform.front_port}"
        try:
            status = h.call("POST", front, "/book/1", b"a booking", headers).status
        except OSError:
            status = None
        ran = any(r["headers"].get("X-Attempt-Id") == attempt for r in self.ledger.requests)
        return status, ran

    def wait_served(self, key):
        for number in ENTRIES:
            h.wait_until(lambda n=number: self.ask(n, key)[0] == 200, 20, f"edge-{number} serves {key}")

    def check_refused(self, c, keys, acknowledged_at, what):
        """From the bound on, no request with one of the keys runs at any entry host."""
        h.wait_until(lambda: time.monotonic() > acknowledged_at + REVOKE_S, 2 * REVOKE_S, "the bound")
        answers = [(number, key, *self.ask(number, key))
                   for _ in range(ROUNDS) for number in ENTRIES for key in keys]
        ran = [answer for answer in answers if answer[3] or answer[2] == 200]
        c.equal(ran, [], f"requests with keys that were taken away run: {what}")


def change(platform, document):
    platform.put_until(document)
    return time.monotonic()


def check_last_key(c, platform, keys):
    change(platform, configuration(10, keys=("key-1", "key-2")))
    keys.wait_served("key-2")
    at = change(platform, configuration(20, keys=("key-2",)))
    keys.check_refused(c, ["key-1"], at, "one of two")
    c.equal(keys.ask(1, "key-2")[0], 200, "the key that is left")
    at = change(platform, configuration(30, keys=()))
    keys.check_refused(c, ["key-1", "key-2", "never-held", ""], at, "the last one of a customer")


def check_frozen_entry(c, platform, keys, entries):
    """The host that stood still has not heard of the change, and its time did not go on."""
    change(platform, configuration(40, keys=("key-4",)))
    keys.wait_served("key-4")
    entries[0].freeze()
    try:
        at = change(platform, configuration(50, tenants=[]))
        h.wait_until(lambda: time.monotonic() > at + REVOKE_S, 2 * REVOKE_S, "the bound")
    finally:
        entries[0].thaw()
    keys.check_refused(c, ["key-4", "never-held"], at, "the last customer, at a host that stood still")


def check_restart_of_all(c, platform, keys, controls, entries):
    for process in controls + entries:
        process.send(signal.SIGKILL)
    for process in controls + entries:
        process.popen.wait(10)
    controls[:] = [platform.control(i, bootstrap="false") for i in (1, 2, 3)]
    entries[:] = [platform.entry(n) for n in ENTRIES]
    keys.check_refused(c, ["key-4", "never-held"], time.monotonic() - REVOKE_S, "after a restart of all")


def check_race(c, platform, keys):
    """Two operators send an older change with the key and a newer one without it at once."""
    documents = [configuration(60, keys=("key-6",)), configuration(70, keys=("key-7",))]
    threads = [threading.Thread(target=platform.put_until, args=(document,)) for document in documents]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    at = time.monotonic()
    keys.wait_served("key-7")
    keys.check_refused(c, ["key-6", "key-4"], at, "by the newer of two changes at once")


def run(c, build):
    with Platform(build) as platform:
        controls = [platform.control(i) for i in (1, 2, 3)]
        entries = [platform.entry(n) for n in ENTRIES]
        platform.put_until(configuration(3))
        keys = Keys(platform, platform.replica("l1", "ledger", "a"))
        keys.wait_served("key-1")
        check_last_key(c, platform, keys)
        check_frozen_entry(c, platform, keys, entries)
        check_restart_of_all(c, platform, keys, controls, entries)
        check_race(c, platform, keys)


if __name__ == "__main__":
    h.main(run, __doc__)
