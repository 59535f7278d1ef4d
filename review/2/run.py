"""The operator removes the last tenant. Its key, and keys that no configuration ever held, must not work afterwards."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import case  # noqa: E402
from case import BROKEN, HELD, TROUBLE, configuration, entry_ip, h  # noqa: E402

REVOKE_S = 5.0  # revoke_ms of the settings that the harness renders, as in the site file
AFTER_REVOKE_S = 1.0
ROUNDS = 10
HELD_KEY = "key-1"
NEVER_HELD_KEY = "never-held"


def ask(front, key):
    attempt = h.uuid7()
    answer = case.send(front, "POST", "/book/1", b"a booking",
                       {"Host": "h.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "1500", "Api-Key": key})
    return attempt, answer


def run(platform, record):
    for number in (1, 2, 3):
        platform.control(number)
    for number in (1, 2):
        platform.entry(number)
    platform.put_until(configuration(3, keys=(HELD_KEY,)))
    record.line(f"version 3 acknowledged: tenant 'customer' holds {HELD_KEY}")
    replicas = [platform.replica(f"l{number}", "ledger", "a") for number in (1, 2)]
    fronts = [f"{entry_ip(number)}:{platform.front_port}" for number in (1, 2)]
    for front in fronts:
        h.wait_until(lambda: (ask(front, HELD_KEY)[1] or [0])[0] == 200, 20, f"{front} serves")
    record.line("both entry hosts serve the key")
    if TROUBLE:
        document = configuration(7)
        document["tenants"] = []
        platform.put_until(document)
        record.line('version 7 acknowledged: "tenants": [], the key is taken away')
    time.sleep(REVOKE_S + AFTER_REVOKE_S)
    sent = {}
    for _ in range(ROUNDS):
        for front in fronts:
            for key in (HELD_KEY, NEVER_HELD_KEY):
                attempt, answer = ask(front, key)
                sent[attempt] = key
                record.line(f"{front} {attempt} with {key}: {answer[0] if answer else 'no answer'}")
        time.sleep(0.1)
    ran = {HELD_KEY: 0, NEVER_HELD_KEY: 0}
    for replica in replicas:
        for request in replica.requests:
            key = sent.get(request["headers"].get("X-Attempt-Id"))
            if key is None:
                continue
            ran[key] += 1
            record.line(f"{replica.name} ran {request['headers']['X-Attempt-Id']}, sent with {key}, "
                        f"X-Tenant {request['headers'].get('X-Tenant')}")
    record.line(f"ran with the key that was held: {ran[HELD_KEY]}; with one never held: {ran[NEVER_HELD_KEY]}")
    forbidden = ran[NEVER_HELD_KEY] + (ran[HELD_KEY] if TROUBLE else 0)
    return BROKEN if forbidden else HELD


if __name__ == "__main__":
    case.main(FOLDER, run)
