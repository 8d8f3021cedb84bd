"""Stand-ins for the users' platform: store, replicas, clients, and the processes of the system.

Standard library only. Everything listens on loopback and runs in one asyncio loop; the entries are child processes
that run the command of `deploy/system.toml` with settings filled from `deploy/entry.ini`.
"""

import asyncio
import base64
import json
import os
import re
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
SETTINGS_VARIABLE = "SORRELPASS_BOOT"


class Record:
    """Writes `record.txt`: one line for each event, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f}  {text}\n")
        self.file.flush()


def free_port():
    """Returns a loopback port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


# --- HTTP/1.1 ---------------------------------------------------------------------------------------------------------


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        url = urllib.parse.urlsplit(target)
        self.path = url.path
        self.query = dict(urllib.parse.parse_qsl(url.query))

    def header(self, name):
        return self.headers.get(name.lower(), "")


async def read_head(reader):
    """Returns the first line and the headers, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Yields the chunks of a body. Ends after the last chunk; raises IncompleteReadError if it is missing."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    headers, body = head[1], b""
    if "chunked" in headers.get("transfer-encoding", ""):
        async for chunk in read_chunks(reader):
            body += chunk
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


def encode_response(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} Status"] + [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


async def serve(handler, port=0):
    """Serves connections with `handler(reader, writer)`; returns the server and its port."""

    async def guarded(reader, writer):
        try:
            await handler(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(guarded, "127.0.0.1", port, limit=16 << 20, backlog=512)
    return server, server.sockets[0].getsockname()[1]


# --- Store ------------------------------------------------------------------------------------------------------------


class Store:
    """The platform's metadata store: keyed topics with partition 0."""

    def __init__(self):
        self.topics = {}
        self.first = {}
        self.reads = {}
        self.changed = asyncio.Event()

    async def start(self):
        self.server, self.port = await serve(self.handle)
        return self

    def put(self, topic, key, value):
        """Appends a record; an empty value removes the key. Returns the end offset."""
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(records)

    def trim(self, topic):
        """Drops the records of a topic. The newest of each key stay in `/log-newest`."""
        self.first[topic] = len(self.topics.get(topic, []))

    async def handle(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            writer.write(await self.answer(request))
            await writer.drain()

    async def answer(self, request):
        topic = request.query.get("topic", "")
        if request.path == "/log-append":
            end = self.append(topic, request.body)
            return encode_response(200, [("Content-Type", "application/json")], json.dumps({"offset": end - 1, "end": end}).encode())
        if request.path == "/log-read":
            return await self.read(topic, int(request.query["from"]), int(request.query.get("wait_ms", 0)))
        if request.path == "/log-newest":
            return self.newest(topic)
        return encode_response(404)

    def append(self, topic, body):
        end = 0
        while body:
            (size,) = struct.unpack(">I", body[:4])
            record, body = body[4 : 4 + size], body[4 + size :]
            key_size = record[0]
            end = self.put(topic, record[1 : 1 + key_size].decode(), record[1 + key_size :])
        return end

    async def read(self, topic, start, wait_ms):
        if start < self.first.get(topic, 0):
            return encode_response(410, [("Content-Type", "application/json")], json.dumps({"first": self.first[topic]}).encode())
        deadline = time.monotonic() + wait_ms / 1e3
        while len(self.topics.get(topic, [])) <= start and time.monotonic() < deadline:
            try:
                await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                break
        self.reads[topic] = self.reads.get(topic, 0) + 1
        records = self.topics.get(topic, [])
        body = struct.pack(">QQ", len(records), self.first.get(topic, 0))
        for key, value in records[start:]:
            raw = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(raw)) + raw
        return encode_response(200, [], body)

    def newest(self, topic):
        records = self.topics.get(topic, [])
        newest = {}
        for offset, (key, value) in enumerate(records):
            newest.pop(key, None)
            if value:
                newest[key] = (offset, value)
        items = [
            {"tls_key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(newest.items())
        ]
        page = {"items": items, "more": False, "end": len(records)}
        return encode_response(200, [("Content-Type", "application/json")], json.dumps(page).encode())


def configuration(version=1, limits=None):
    """The configuration of a small deployment: a stream route, an unsafe route and a safe one."""

    def route(name, kind, service, **fields):
        return {"name": f"r-{name}", "host": HOST, "path_prefix": f"/{name}/", "kind": kind, "priority": 1,
                "service": service, "public": False, **fields}

    engine = {"slots": 16, "kv_cache_tokens": 450000, "kv_token_bytes": 327680, "link_mbps": 400000.0, "stride": 46,
              "models": [{"name": "m"}], "step_ms": 0.925, "per_seq_ms": 0.00483, "context_per_k": 0.00254,
              "read_per_s": 256000.0, "pairs_per_m": 0.0917, "chunk": 2048, "report_lag_ms": 200.0,
              "delays": [], "usual": {"prompt": 13239, "answer": 1540}, "hop_ms": 0.1}
    return {
        "version": version,
        "routes": [
            route("query", "streaming", "market-advisor", timeout_ms=10000, target_latency_ms=300, max_attempts=2,
                  session_affinity=True, stream_resume=True, gap_aim_ms=200),
            route("receipt", "unsafe", "stall-ledger", timeout_ms=2000, target_latency_ms=300, max_attempts=1),
            route("check", "safe", "stall-ledger", timeout_ms=2000, target_latency_ms=300, max_attempts=2),
        ],
        "services": [
            {"name": "market-advisor", "health_path": "/health", "max_connections": 434, "protocol": "h1", "tls": False,
             "engine": engine},
            {"name": "stall-ledger", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": False},
        ],
        "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                             "idle_timeout_ms": 15000},
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


# --- Replicas ---------------------------------------------------------------------------------------------------------


class Replica:
    """A replica of a plain service. Subclasses change `answer`."""

    service, slots, work_s = "stall-ledger", 6, 0.06

    def __init__(self, store, record, name, zone):
        self.store, self.record, self.id, self.zone = store, record, name, zone
        self.runs = []

    async def start(self):
        self.server, self.port = await serve(self.handle)
        self.beat = asyncio.create_task(self.keep_writing())
        return self

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def keep_writing(self):
        while True:
            entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                     "slots": self.slots, "state": "ready", "cold_remaining_ms": 0, "sequence": 0}
            self.store.put("keyed.servers", self.id, json.dumps(entry).encode())
            await asyncio.sleep(1.2)

    async def handle(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            await self.answer(request, writer)
            await writer.drain()

    def own_headers(self, request):
        return [("Request-Id", request.header("request-id")), ("Replica-Load", f"1,0,{self.slots}")]

    def refusal(self, request):
        """The answer of a replica that is full."""
        return encode_response(503, self.own_headers(request) + [("Not-Executed", "1")])

    def misdirected(self, request):
        return encode_response(421, self.own_headers(request) + [("Replica-Id", self.id)])

    def is_for_another(self, request):
        return request.header("expect-replica") not in ("", self.id)

    async def run(self, request, body=b"x" * 800):
        """Runs a request and returns its answer."""
        request_id = request.header("request-id")
        self.runs.append(request_id)
        self.record.line(f"{self.id} runs {request_id}")
        await asyncio.sleep(self.work_s)
        return encode_response(200, self.own_headers(request) + [("Response-Seal", f"seal-{self.id}")], body)

    async def answer(self, request, writer):
        if self.is_for_another(request):
            writer.write(self.misdirected(request))
        else:
            writer.write(await self.run(request))


# --- The system's processes -------------------------------------------------------------------------------------------


def read_role(name):
    """Returns the texts that `deploy/system.toml` gives for a role."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        section = file.read().split(f"[roles.{name}]")[1].split("\n[")[0]
    return dict(re.findall(r'^(\w+) = "(.*)"$', section, flags=re.M))


def fill_template(text, fields):
    """Fills a settings template as the platform does: `{{a.b}}` and `{{#a.b}} .. {{/a.b}}`."""

    def look_up(name):
        value = fields
        for part in name.split("."):
            value = value.get(part, "") if isinstance(value, dict) else ""
        return value

    def section(match):
        return match.group(2) if look_up(match.group(1)) not in ("", False) else ""

    def gap(match):
        value = look_up(match.group(1))
        if isinstance(value, bool):
            return str(value).lower()
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", gap, text)


class Entry:
    """One entry: a child process with the deploy file's command."""

    def __init__(self, folder, name, zone, store_port, seeds):
        self.name = name
        self.port, self.ready_port, self.control_port = free_port(), free_port(), free_port()
        self.settings, self.log = os.path.join(folder, f"{name}.ini"), os.path.join(folder, f"{name}.log")
        role = read_role("entry")
        self.command = shlex.split(role["run"])
        self.command[0] = os.path.join(ROOT, self.command[0])
        with open(os.path.join(ROOT, role["template"])) as file:
            self.template = file.read()
        self.fields = {
            "node_name": name, "zone": zone, "bootstrap": True, "internal_ports": [free_port(), free_port()],
            "listen": {"front": f"127.0.0.1:{self.port}", "ready": f"127.0.0.1:{self.ready_port}",
                       "control": f"127.0.0.1:{self.control_port}"},
            "provider": {"address": f"127.0.0.1:{store_port}"}, "seeds": seeds,
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,platform,spans".split(","),
            "limits": {"cpu_share": 0.19, "link_mbps": 1000.0, "memory_mb": 260},
            "bounds": {"drain_ms": 2000, "grace_s": 8, "revoke_strict": True, "revoke_ms": 5000,
                       "config_apply_ms": 2000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 106,
                       "free_ms": 4000, "idle_max_ms": 9000, "hold_max_ms": 20000},
        }
        self.process = None

    def start(self):
        with open(self.settings, "w") as file:
            file.write(fill_template(self.template, self.fields))
        self.fields["bootstrap"] = False
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment[SETTINGS_VARIABLE] = self.settings
        with open(self.log, "a") as log:
            self.process = subprocess.Popen(self.command, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()

    async def is_ready(self):
        try:
            answer = await send(self.ready_port, "GET", "/ready", [])
            return answer.status == 200
        except OSError:
            return False

    async def wait_ready(self, limit_s=15):
        deadline = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > deadline or self.process.poll() is not None:
                raise SystemExit(2)
            await asyncio.sleep(0.05)


# --- Clients ----------------------------------------------------------------------------------------------------------


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.is_complete = 0, {}, b"", False


class Connection:
    """A client's connection, which may be kept for further requests."""

    def __init__(self, port):
        self.port = port

    async def open(self, receive_buffer=None):
        sock = socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", self.port))
        self.reader, self.writer = await asyncio.open_connection(sock=sock, limit=4096 if receive_buffer else 1 << 20)
        return self

    def write(self, method, path, headers, body=b""):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"] + [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    async def read_answer(self):
        answer = Answer()
        head = await read_head(self.reader)
        if head is None:
            return answer
        answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
        try:
            if "chunked" in answer.headers.get("transfer-encoding", ""):
                async for chunk in read_chunks(self.reader):
                    answer.body += chunk
            else:
                answer.body = await self.reader.readexactly(int(answer.headers.get("content-length", 0)))
            answer.is_complete = True
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        return answer

    def close(self):
        self.writer.close()


def call_headers(request_id, deadline_ms):
    return [("Request-Id", request_id), ("Deadline-Ms", deadline_ms), ("Authorization", f"Bearer {KEY}")]


async def send(port, method, path, headers, body=b""):
    """Sends one request on a new connection. The status is 0 if the connection ended without an answer."""
    connection = await Connection(port).open()
    try:
        connection.write(method, path, headers, body)
        return await connection.read_answer()
    finally:
        connection.close()


# --- A whole site -----------------------------------------------------------------------------------------------------


class Site:
    """Store, replicas and entries; stops what it started when it is left."""

    def __init__(self, record):
        self.record, self.entries, self.replicas = record, [], []
        self.folder = tempfile.TemporaryDirectory(prefix="sorrelpass-review-")

    async def __aenter__(self):
        self.store = await Store().start()
        self.configure(configuration())
        return self

    def configure(self, document):
        self.store.put("keyed.op", "config", json.dumps(document).encode())
        self.record.line(f"config {document['version']} acknowledged")

    async def add_replica(self, replica):
        self.replicas.append(await replica.start())
        return replica

    async def start_entries(self, count, zones=("nyabugogo", "kimironko", "kicukiro")):
        for index in range(count):
            seeds = [f"127.0.0.1:{entry.control_port}" for entry in self.entries[:3]]
            entry = Entry(self.folder.name, f"front-{index}", zones[index % len(zones)], self.store.port, seeds)
            entry.start()
            self.entries.append(entry)
            # The first entry announces itself first, and so leads.
            await entry.wait_ready()

    def entry_log(self, index):
        with open(self.entries[index].log) as file:
            return file.read()

    async def __aexit__(self, *_):
        for entry in self.entries:
            entry.stop()
        for replica in self.replicas:
            replica.beat.cancel()
            replica.server.close()
        self.store.server.close()
        self.folder.cleanup()
        return False


def main(case, record_file):
    """Runs `case(record, has_trouble)`, which returns the list of broken rules, and exits as the review asks."""
    # Told to end, it still ends the processes that it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(record_file)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"disruption {'on' if has_trouble else 'off'}")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, has_trouble), 110))
    except SystemExit:
        raise
    except BaseException as error:  # The case could not run.
        record.line(f"could not run: {error!r}")
        raise SystemExit(2)
    for text in broken:
        record.line(f"BROKEN {text}")
        print(text, flush=True)
    record.line("rule broken" if broken else "rule held")
    raise SystemExit(1 if broken else 0)
