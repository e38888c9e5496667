"""A key is taken away from connected clients that are in the middle of a transaction."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))

from fleet import (PLACES, SERVICE, STORE_HOST, SERVER_HOST, Caller, Fleet, configuration, free_ports,  # noqa: E402
                   run_case)
from platformstandin import Database, Record, Store, serve_http  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
KEY, OTHER_KEY = "u6wsjnbanfqasnmgkcuy", "j8pjbvk9m68k7b2ex5wa"
ROUTES = {"bookings": {"kind": "primary", "timeout_ms": 1000, "slo_latency_ms": 800, "priority": 1}}
SESSIONS = 7
STATEMENTS = 11  # With COMMIT 12, the most that the page allows.
PAUSE_S = 1.0  # Between two statements; tx_idle_ms is 3,000.
REST_S = 12.0  # Every second client rests so long between BEGIN and its first write.
REVOKE_S = 2.0
CONFIG_APPLY_S = 4.0
STABLE_S = 6.0  # Longer than stable_ms, so that all machines are in touch.


async def call(fleet, record, index, sent):
    """A client of the kind `bookings` with one transaction and, after it, one single write on the same session. Every
    second client has one write only and rests before it."""
    loop = asyncio.get_running_loop()
    caller, answer = await Caller.open(fleet.host(index % len(PLACES)), fleet.port, "bookings", KEY)
    rests = index % 2 == 1
    writes = 1 if rests else STATEMENTS
    texts = ["BEGIN"] + [f"WRITE {index:x}{number:x} cover-{number}" for number in range(writes)] + ["COMMIT"]
    for number, text in enumerate(texts + [f"WRITE {index:x}f after"]):
        request = f"{index:04x}{number:012x}"
        sent[request] = loop.time()
        record.line(f"client {index} sends {request} {text}")
        answer = await caller.query(request, text)
        record.line(f"client {index} gets {request} code={answer['code'] or '-'} "
                    f"signature={answer['signature'] or 'none'} state={answer['state']}")
        if answer["code"]:
            break
        if text != "COMMIT":
            await asyncio.sleep(REST_S if rests and text == "BEGIN" else PAUSE_S)
    caller.close()


async def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(HERE, "record.txt"))
    port = free_ports()
    fleet = Fleet(port)
    try:
        store = Store()
        loop = asyncio.get_running_loop()
        loop.create_task(store.expire_leases())
        database = Database(record, store, SERVICE, ["howrah", "jalpaiguri", "salt-lake"], SERVER_HOST, port, 55)
        store.put("op/config", configuration(1, ROUTES, {"nypu920": (KEY, 400), "kafi81c": (OTHER_KEY, 400)}))
        host = f"127.0.0.{STORE_HOST}"
        await serve_http(host, port + 3, store.handle)
        await serve_http(host, port + 4, database.promotion)
        await database.start()
        fleet.start()
        if not await fleet.ready():
            print("the daemons did not become ready")
            return 2
        await asyncio.sleep(STABLE_S)
        sent, broken, withdrawn = {}, [], []

        def watch(server, request, text):
            if request != "-" and withdrawn and sent[request] > withdrawn[0] + CONFIG_APPLY_S:
                broken.append(request)
                record.line(f"BROKEN CONFIG: {server.name} ran {request} {text}, sent "
                            f"{sent[request] - withdrawn[0]:.1f} s after the key was withdrawn")
            return False

        database.loses_answer = watch

        async def revoke():
            await asyncio.sleep(REVOKE_S)
            store.put("op/config", configuration(2, ROUTES, {"nypu920": ("never-shown", 400),
                                                             "kafi81c": (OTHER_KEY, 400)}))
            withdrawn.append(loop.time())
            record.line("operator writes version 2 without the key; the store has acknowledged it")

        calls = [call(fleet, record, index, sent) for index in range(SESSIONS)]
        await asyncio.gather(*calls, *([revoke()] if trouble else []))
        commits = sum(database.commits.values())
        print(f"{len(broken)} statements ran that were sent more than 4 s after their key was withdrawn; "
              f"{commits} commits")
        return 1 if broken else 0
    finally:
        fleet.stop()
        record.close()


sys.exit(run_case(main))
