"""Stand-ins of the users' platform for the review: the metadata store, the promotion service and one replicated
database whose servers speak the wire protocol. They follow PROTOCOL.md; what a case changes is passed in as a hook."""

import asyncio
import base64
import json
import time
import urllib.parse

LOOPBACK = "127.0.0."


class Record:
    """Writes what was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.4f} {text}\n")

    def close(self):
        self.file.close()


async def serve_http(host, port, handle):
    """Serves HTTP/1.1 with keep-alive. `handle(method, path, query, headers, body)` returns a status and an object."""

    async def connection(reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {}
                for row in head[1:]:
                    if ":" in row:
                        name, value = row.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                path, _, query = target.partition("?")
                fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                status, answer = await handle(method, path, fields, headers, body)
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, backlog=512)


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.revision = 100
        self.items = {}  # key: dict of value, revision, created_rev, lease_id
        self.history = []
        self.leases = {}  # id: [ttl in s, end]
        self.last_lease = 7000
        self.changed = asyncio.Event()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        known = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value.encode()).decode(), "revision": self.revision,
                "created_rev": known["created_rev"] if known else self.revision, "lease_id": lease}
        self.items[key] = item
        self.history.append(item)
        self.wake()

    def delete(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.history.append({"key": key, "revision": self.revision, "compacted": True})
            self.wake()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [lease for lease, (_, end) in self.leases.items() if end <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        for key in [key for key, item in self.items.items() if item["lease_id"] == lease]:
            self.delete(key)

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        if path == "/v1/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, {**item, "at_rev": self.revision}) if item else (404, {})
        if path == "/v1/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = keys[:500]
            return 200, {"items": [self.items[key] for key in page], "has_more": len(keys) > len(page),
                         "at_rev": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(query)
        if path == "/v1/kv-txn":
            return self.transact(json.loads(body))
        if path == "/v1/kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            self.last_lease += 1
            self.leases[self.last_lease] = [ttl / 1000, time.monotonic() + ttl / 1000]
            return 200, {"lease_id": self.last_lease, "ttl_ms": ttl}
        if path.startswith("/v1/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if lease is None:
                return 404, {}
            lease[1] = time.monotonic() + lease[0]
            return 200, {}
        if path.startswith("/v1/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            self.end_lease(lease)
            return 200, {}
        return 404, {}

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            changed = self.changed
            events = [item for item in self.history if item["revision"] > after and item["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at_rev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        expected = body.get("expected", [])
        held = all((self.items[row["key"]]["revision"] if row["key"] in self.items else 0) == row["revision"]
                   for row in expected)
        if not held:
            return 412, {"items": [self.items[row["key"]] for row in expected if row["key"] in self.items]}
        if any(row.get("lease_id", 0) and row["lease_id"] not in self.leases for row in body.get("writes", [])):
            return 404, {}
        for row in body.get("writes", []):
            self.put(row["key"], base64.b64decode(row["value"]).decode(), row.get("lease_id", 0))
        for key in body.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}


class Server:
    """One server of the database. The log is a list of (term, number, item, data)."""

    def __init__(self, group, name, zone, host, port):
        self.group, self.name, self.zone, self.host, self.port = group, name, zone, host, port
        self.log = []  # Received commits.
        self.applied = 0  # Number of received commits that reads see.
        self.connections = 0
        self.seq = 0
        self.last_signature = 0

    @property
    def leads(self):
        return self.group.primary is self

    def position(self):
        return f"{self.log[-1][0]}.{self.log[-1][1]}" if self.log else f"{self.group.first_term}.0"

    def has(self, position):
        term, number = (int(part) for part in position.split("."))
        shown = self.log[:self.applied]
        last = (shown[-1][0], shown[-1][1]) if shown else (self.group.first_term, 0)
        return (term, number) <= last

    def value(self, item):
        for _, _, known, data in reversed(self.log[:self.applied]):
            if known == item:
                return data
        return "-"

    def entry(self):
        self.seq += 1
        return json.dumps({"service": self.group.service, "address": f"{self.host}:{self.port}", "zone": self.zone,
                           "version": "v1", "slots": 5, "state": "ready", "cold_left_ms": 0,
                           "db_role": "primary" if self.leads else "replica", "seq": self.seq, "born": 1700000000000})

    async def serve(self, reader, writer):
        session = {"values": {}, "prepared": {}, "state": "I", "writes": [], "read_only": False, "term": 0}
        self.connections += 1
        try:
            if self.connections > self.group.max_conns:
                writer.write(b"ERROR TOOMANY\r\n")
                return
            first = (await reader.readuntil(b"\r\n")).decode("latin-1").rstrip("\r\n").split(" ")
            if first[0] != "START" or first[1] != self.group.service or (len(first) > 3 and first[3] != self.name):
                writer.write(b"ERROR WRONGNODE " + self.name.encode() + b"\r\n")
                return
            session["tenant"] = first[2]
            await asyncio.sleep(self.group.handshake)
            writer.write(f"READY I {self.position()}\r\n".encode())
            while True:
                line = (await reader.readuntil(b"\r\n")).decode("latin-1").rstrip("\r\n")
                if line == "TERMINATE":
                    return
                _, request, text = line.split(" ", 2)
                answer = await self.answer(session, request, text)
                answer = self.group.changes_answer(self, request, text, answer)
                if self.group.loses_answer(self, request, text):
                    self.group.record.line(f"{self.name} lost-answer {request} {text}")
                    continue
                writer.write(answer.encode("latin-1"))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections -= 1
            writer.close()

    async def answer(self, session, request, text):
        head, done = await self.run(session, request, text)
        if not done and session["state"] == "T":
            session["state"] = "E"
        return head + f"READY {session['state']} {self.position()}\r\n"

    def sign(self, request):
        self.last_signature += 1
        return f"{self.name}.{request}.{self.last_signature}"

    async def run(self, session, request, text):
        word, _, rest = text.partition(" ")
        if word == "MINLSN":
            minimum, _, text = rest.partition(" ")
            word, _, rest = text.partition(" ")
            if not self.has(minimum):
                return f"ERROR LAGGING {self.name}\r\n", False
        if word == "STATUS":
            number = len(self.log)
            row = (f"{'primary' if self.leads else 'replica'} {self.group.term} {self.position()} 0 0 0 "
                   f"{self.connections} {number}")
            return f"DATAROW {row}\r\nCOMPLETE -\r\n", True
        if word == "RESET":
            session["values"].clear()
            session["prepared"].clear()
            return "COMPLETE -\r\n", True
        if word == "SET":
            name, _, value = rest.partition(" ")
            session["values"][name] = value
            return "COMPLETE -\r\n", True
        if word == "PREPARE":
            name, mode, shape = rest.split(" ", 2)
            session["prepared"][name] = (mode, shape)
            return "COMPLETE -\r\n", True
        if word == "DEALLOC":
            session["prepared"].pop(rest, None)
            return "COMPLETE -\r\n", True
        if word == "ROLLBACK":
            session.update(state="I", writes=[])
            return "COMPLETE -\r\n", True
        if session["state"] == "E":
            return "ERROR MALFORMED\r\n", False
        if word == "BEGIN":
            if rest != "READ" and not self.leads:
                return f"ERROR READONLY {self.name}\r\n", False
            session.update(state="T", writes=[], read_only=rest == "READ", term=self.group.term)
            return "COMPLETE -\r\n", True
        lost_lead = session["state"] == "T" and not session["read_only"] and (
            not self.leads or session["term"] != self.group.term)
        if lost_lead and (word != "COMMIT" or session["writes"]):
            return f"ERROR READONLY {self.name}\r\n", False
        if word == "COMMIT":
            await self.group.work(self)
            if session["writes"] and (not self.leads or session["term"] != self.group.term):
                return f"ERROR READONLY {self.name}\r\n", False
            self.group.record.line(f"{self.name} runs {request} {text}")
            self.group.commit(self, session["writes"], request)
            session.update(state="I", writes=[])
            return f"COMPLETE {self.sign(request)}\r\n", True
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in session["prepared"]:
                return "ERROR NOSTMT\r\n", False
            word = session["prepared"][name][0]
        item, _, data = rest.partition(" ")
        if word == "WRITE" and not self.leads:
            return f"ERROR READONLY {self.name}\r\n", False
        await self.group.work(self)
        if not self.leads and (word == "WRITE" or (session["state"] == "T" and not session["read_only"])):
            return f"ERROR READONLY {self.name}\r\n", False
        self.group.record.line(f"{self.name} runs {request} {text}")
        if word == "WRITE":
            if session["state"] == "T":
                session["writes"].append((item, data))
            else:
                self.group.commit(self, [(item, data)], request)
            return f"COMPLETE {self.sign(request)}\r\n", True
        own = [value for known, value in session["writes"] if known == item]
        row = own[-1] if own else self.value(item)
        return f"DATAROW {row}\r\nCOMPLETE {self.sign(request)}\r\n", True


class Database:
    """A replicated database of three servers; the first leads."""

    def __init__(self, record, store, service, zones, first_host, port, max_conns, work_ms=10.0, lag_ms=20.0,
                 promote_ms=1000.0, handshake_ms=27.0):
        self.record, self.store, self.service, self.max_conns = record, store, service, max_conns
        self.first_term = self.term = 3
        self.work_ms, self.lag_ms, self.promote_ms = work_ms, lag_ms, promote_ms
        self.handshake = handshake_ms / 1000
        self.commits = {}  # Request id: number of commits.
        self.servers = [Server(self, f"i-{index:x}c0ffee{index:x}", zone, f"{LOOPBACK}{first_host + index}", port)
                        for index, zone in enumerate(zones)]
        self.primary = self.servers[0]
        self.loses_answer = lambda server, request, text: False  # Called after each statement.
        self.changes_answer = lambda server, request, text, answer: answer
        self.fences = {}

    async def work(self, server):
        await asyncio.sleep(self.work_ms / 1000)

    def commit(self, server, writes, request):
        if not writes:
            return
        self.commits[request] = self.commits.get(request, 0) + 1
        number = (server.log[-1][1] if server.log else 0) + 1
        for item, data in writes:
            server.log.append((self.term, number, item, data))
        server.applied = len(server.log)
        asyncio.get_running_loop().create_task(self.replicate(server, len(server.log), self.term))

    async def replicate(self, source, length, term):
        await asyncio.sleep(self.lag_ms / 1000)
        for server in self.servers:
            if term == self.term and server is not source and len(server.log) < length:
                server.log = list(source.log[:length])
                server.applied = length

    async def start(self):
        for server in self.servers:
            await asyncio.start_server(server.serve, server.host, server.port, limit=1 << 21)
            self.store.put(f"servers/{server.name}", server.entry())
        asyncio.get_running_loop().create_task(self.heartbeat())

    async def heartbeat(self):
        while True:
            await asyncio.sleep(1.2)
            for server in self.servers:
                self.store.put(f"servers/{server.name}", server.entry())

    async def promotion(self, method, path, query, headers, body):
        order = json.loads(body)
        fence = int(headers["fence-token"])
        self.record.line(f"platform promotion {order['id']} by {headers['duty-holder']} fence {fence}")
        if order["service"] != self.service or fence < self.fences.get(order["service"], 0):
            return 409, {}
        self.fences[order["service"]] = fence
        chosen = [server for server in self.servers if server.name == order["id"]]
        if not chosen:
            return 409, {}
        if not chosen[0].leads:
            asyncio.get_running_loop().create_task(self.promote(chosen[0]))
        return 200, {}

    async def promote(self, server):
        await asyncio.sleep(self.promote_ms / 1000)
        self.term += 1
        self.primary = server
        for other in self.servers:
            if other is not server:
                other.log = list(server.log)
                other.applied = len(other.log)
            self.store.put(f"servers/{other.name}", other.entry())
