"""Starts the daemons of a small deployment with the command of the deploy file, and callers of the wire protocol."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import tempfile
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "bin", "endiveshored")
ZONES = {"howrah": "kolkata", "salt-lake": "kolkata", "jalpaiguri": "siliguri"}
PLACES = ["howrah", "howrah", "howrah", "jalpaiguri", "jalpaiguri", "salt-lake", "salt-lake"]
FIRST_HOST = 11
STORE_HOST = 211
SERVER_HOST = 201
SERVICE = "ledger"


def run_case(main):
    """Exit code of a case: that of `main`, or 2 if the case could not run."""
    try:
        return asyncio.run(main())
    except (Exception, KeyboardInterrupt):  # pylint: disable=broad-except
        traceback.print_exc()
        return 2


def free_ports():
    """First port of a free range of 20 ports, the same on all loopback addresses used."""
    for first in range(23000, 32000, 20):
        sockets = []
        try:
            for offset in range(20):
                for host in (FIRST_HOST, SERVER_HOST, STORE_HOST):
                    probe = socket.socket()
                    sockets.append(probe)
                    probe.bind((f"127.0.0.{host}", first + offset))
            return first
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise OSError("no free ports")


def configuration(version, routes, tenants):
    """The operator's configuration, like that of a small site."""
    return json.dumps({
        "version": version,
        "routes": [{"name": f"r-{host}", "host": host, "prefix": "/", "service": SERVICE, "attempts": 2,
                    "public": False, **route} for host, route in routes.items()],
        "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 55, "protocol": "h1", "tls": False,
                      "sync_replicas": 0}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000, "tx_idle_ms": 3000},
        "tenants": [{"name": name, "api_keys": [key], "priority": 1, "rate_per_s": rate, "burst": rate}
                    for name, (key, rate) in tenants.items()]})


class Fleet:
    """The daemons, one for each entry of PLACES."""

    def __init__(self, port, places=None):
        self.port, self.places = port, places or PLACES
        self.folder = tempfile.TemporaryDirectory(prefix="endiveshore-review-")
        self.processes = []

    def host(self, index):
        return f"127.0.0.{FIRST_HOST + index}"

    def settings(self, index):
        zone, port = self.places[index], self.port
        seeds = ",".join(f"{self.host(i)}:{port + 2}" for i in range(min(3, len(self.places))))
        rows = {"node": f"front-{zone}-{index + 1}", "role": "proxy", "class": "front", "serves": "front,control",
                "ip": self.host(index), "zone": zone, "region": ZONES[zone],
                **{f"zones.{name}": region for name, region in ZONES.items()},
                "listen.front": f"{self.host(index)}:{port}", "listen.ready": f"{self.host(index)}:{port + 1}",
                "listen.control": f"{self.host(index)}:{port + 2}", "port_range": f"{port + 5},{port + 12}",
                "seeds": seeds, "bootstrap": "true", "limits.cpu_share": "0.25", "limits.cores": "1",
                "limits.memory_mb": "260", "limits.max_fds": "4300", "discovery": "platform", "entry": "vip",
                "heartbeat_ms": "1200", "bounds.stable_ms": "5000", "bounds.ack_ms": "6000",
                "bounds.drain_ms": "7000", "bounds.grace_s": "6", "bounds.loss_slack_ms": "200",
                "bounds.config_apply_ms": "4000", "bounds.back_ms": "250", "bounds.skew_max_ms": "15000",
                "bounds.quota_window_s": "5", "bounds.quota_tolerance": "0.1", "bounds.quota_slack": "20",
                "bounds.recovery_s": "12", "bounds.fencing_enforced": "true",
                "platform.address": f"127.0.0.{STORE_HOST}:{port + 3}", "platform.form": "kv",
                "platform.writes_per_s": "400", "platform.reads_per_s": "2000", "platform.retention_s": "20",
                "platform.max_value_bytes": "1048576", "platform.ttl_min_ms": "1000",
                "cloud_api.address": f"127.0.0.{STORE_HOST}:{port + 4}", "cloud_api.duties": "failover",
                "cloud_api.duty_per_s": "50.0"}
        return "".join(f"{name}={value}\n" for name, value in rows.items())

    def start(self):
        for index in range(len(self.places)):
            path = os.path.join(self.folder.name, f"node-{index + 1}.conf")
            with open(path, "w", encoding="utf-8") as file:
                file.write(self.settings(index))
            log = open(os.path.join(self.folder.name, f"node-{index + 1}.log"), "wb")
            environment = {"PATH": os.environ.get("PATH", "/usr/bin"), "HOME": self.folder.name,
                           "LANG": "C.UTF-8", "ENDIVESHORE_SETTINGS": path}
            self.processes.append(subprocess.Popen([DAEMON, "sessions"], cwd=ROOT, env=environment, stdout=log,
                                                   stderr=log, stdin=subprocess.DEVNULL))
            log.close()

    async def ready(self, limit=15.0):
        loop = asyncio.get_running_loop()
        end = loop.time() + limit
        for index in range(len(self.places)):
            while True:
                if await self.is_ready(index):
                    break
                if loop.time() > end:
                    return False
                await asyncio.sleep(0.1)
        return True

    async def is_ready(self, index):
        try:
            reader, writer = await asyncio.open_connection(self.host(index), self.port + 1)
            writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            row = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return b" 200 " in row
        except (OSError, asyncio.TimeoutError):
            return False

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.folder.cleanup()


class Caller:
    """One session of a client. Answers are dicts of rows, signature, code, state and position; code CLOSED if the
    connection ended without a complete answer."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @staticmethod
    async def open(host, port, database, key):
        reader, writer = await asyncio.open_connection(host, port, limit=1 << 21)
        caller = Caller(reader, writer)
        answer = await caller.exchange(f"START {database} {key}")
        return caller, answer

    async def exchange(self, line, limit=12.0):
        answer = {"rows": [], "signature": "", "code": "", "state": "", "position": "-"}
        try:
            self.writer.write(line.encode("latin-1") + b"\r\n")
            while True:
                text = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), limit)).decode("latin-1").rstrip("\r\n")
                word, _, rest = text.partition(" ")
                if word == "DATAROW":
                    answer["rows"].append(rest)
                elif word == "COMPLETE":
                    answer["signature"] = rest
                elif word == "ERROR":
                    answer["code"] = rest.split(" ")[0]
                    if line.startswith("START"):
                        return answer
                elif word == "READY":
                    answer["state"], _, answer["position"] = rest.partition(" ")
                    return answer
        except (asyncio.IncompleteReadError, ConnectionError):
            answer["code"] = "CLOSED"
        except asyncio.TimeoutError:
            answer["code"] = "NOANSWER"
        return answer

    async def query(self, request, text):
        return await self.exchange(f"QUERY {request} {text}")

    def has_unasked_message(self):
        """True if something has arrived while no request is outstanding."""
        return len(self.reader._buffer) > 0  # pylint: disable=protected-access

    def close(self):
        self.writer.close()
