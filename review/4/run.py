"""All processes are killed at the same moment after a prompt part that crashes replicas has been found out. Requests with
that part must not reach replicas again."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import case  # noqa: E402
from case import BROKEN, HELD, TROUBLE, configuration, entry_ip, h  # noqa: E402
from fleet import ZONES  # noqa: E402

ENTRIES = [1, 2, 3]
CONTACT_S = 3.0   # contact_ms of the site
DOWN_S = 1.0
ROUNDS = 4        # of one deadly request at each entry host
PAUSE_S = 0.5
ALLOWED = 3       # requests that may reach replicas later than contact_ms after the fifth crash
FIFTH = 5


class Callers:
    """Sends generations, and remembers which of them hold the deadly part."""

    def __init__(self, platform, record):
        self.platform, self.record, self.deadly, self.count = platform, record, set(), 0

    def talk(self, number, parts):
        attempt = h.uuid7()
        if "deadly" in parts:
            self.deadly.add(attempt)
        answer = case.send(f"{entry_ip(number)}:{self.platform.front_port}", "POST", "/talk/1", b"",
                           {"Host": "h.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "5000",
                            "Api-Key": "key-1", "X-Tokens": "30,10",
                            "X-Prefix-Hash": ",".join(f"{part}:10" for part in parts)})
        status = answer[0] if answer else None
        self.record.line(f"edge-{number} {attempt} {','.join(parts)}: {status or 'cut, no whole answer'}")
        return status

    def deadly_round(self):
        """One deadly request at each entry host, no two alike."""
        threads = []
        for number in ENTRIES:
            self.count += 1
            threads.append(threading.Thread(target=self.talk,
                                            args=(number, ["first", "deadly", f"own{self.count}"])))
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()


def start_all(platform, bootstrap):
    controls = [platform.control(number, bootstrap=bootstrap) for number in (1, 2, 3)]
    return controls + [platform.entry(number, zone=ZONES[number - 1]) for number in ENTRIES]


def wait_served(platform, callers):
    def serves(number):
        time.sleep(0.2)
        return callers.talk(number, ["first", f"warm{number}"]) == 200

    for number in ENTRIES:
        h.wait_until(lambda n=number: serves(n), 25, f"edge-{number} serves a sound generation")


def run(platform, record):
    processes = start_all(platform, "true")
    platform.put_until(configuration(3))
    engines = [platform.replica(f"{zone}{i}", "model", zone, kind="card", deadly_part="deadly")
               for zone in ZONES for i in range(3)]
    callers = Callers(platform, record)
    wait_served(platform, callers)

    def crashes():
        return sum(engine.crashes for engine in engines)

    for _ in range(10):
        if crashes() >= FIFTH:
            break
        callers.deadly_round()
        time.sleep(PAUSE_S)
    fifth_at = time.monotonic()
    record.line(f"{crashes()} crashes")
    if crashes() < FIFTH:
        raise h.Timeout("the part did not crash five replicas")
    time.sleep(CONTACT_S)
    if TROUBLE:
        for process in processes:
            process.send(9)
        record.line("all processes killed")
        time.sleep(DOWN_S)
        start_all(platform, "false")
        record.line("all processes started")
    wait_served(platform, callers)
    time.sleep(2 * CONTACT_S)
    before = {engine.name: len(engine.requests) for engine in engines}
    crashed_before = crashes()
    record.line(f"all serve; {time.monotonic() - fifth_at:.1f} s after the fifth crash; counted from here on")
    for _ in range(ROUNDS):
        callers.deadly_round()
        time.sleep(PAUSE_S)
    reached = 0
    for engine in engines:
        for request in engine.requests[before[engine.name]:]:
            attempt = request["headers"].get("X-Attempt-Id")
            if attempt in callers.deadly:
                reached += 1
                record.line(f"{engine.name} got the deadly {attempt}")
    record.line(f"requests with the part that reached replicas: {reached}; crashes of them: "
                f"{crashes() - crashed_before}")
    return BROKEN if reached > ALLOWED else HELD


if __name__ == "__main__":
    case.main(FOLDER, run)
