"""Runs a small deployment of lavendertack on loopback addresses.

Starts the programs of the deploy file as separate processes and plays hosts,
clients and the operator as the users' pages describe them, and writes record.txt.
"""
import http.client
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import zlib

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
REPORT_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 1.0
SYN, ACK, FIN, RST = 16, 128, 4, 32
HEADER = struct.Struct(">IHB3sHIHIIII")
ROUTE_IP = "127.99.0.1"
BOUNDS = {
    "seed_lag_s": 3, "reuse_delay_s": 2, "contact_window_ms": 4000,
    "ack_timeout_ms": 5000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6,
    "loss_slack_ms": 200, "config_apply_ms": 3000, "rollback_slack_ms": 250,
    "stretch_max_ms": 12000, "cold_burst_factor": 1.5, "cold_slack": 5,
    "evacuation_ms": 5000, "recovery_s": 12, "misroute_window_ms": 2000,
    "max_flow_s": 60}


class CannotRun(Exception):
    """The case couldn't run; says nothing about the rule."""


class Record:
    """record.txt: what was sent, answered and run, with seconds since start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w",
                         encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        with self.lock:
            self.file.write(line + "\n")
            self.file.flush()
            print(line, flush=True)


def number(ip):
    return int.from_bytes(socket.inet_aton(ip), "big")


def keyed_sum(fields, data):
    """The stand-ins' own keyed sum over all fields except echo and pad."""
    return zlib.crc32(b"review" + repr(fields).encode() + data) or 1


class Packet:
    def __init__(self, src, sport, dst, dport, flags, seq, ack, echo=0,
                 data=b"", total=None):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.echo = flags, seq, ack, echo
        self.data, self.total = data, total

    def _fields(self):
        return (len(self.data), self.flags & ~1, self.dport, self.src,
                self.sport, self.dst, self.seq, self.ack)

    def encode(self):
        return HEADER.pack(keyed_sum(self._fields(), self.data),
                           len(self.data), self.flags, b"\0\0\0", self.dport,
                           self.src, self.sport, self.dst, self.echo, self.seq,
                           self.ack) + self.data

    @staticmethod
    def decode(raw):
        if len(raw) < HEADER.size:
            return None
        (total, length, flags, _, dport, src, sport, dst, echo, seq,
         ack) = HEADER.unpack(raw[:HEADER.size])
        data = raw[HEADER.size:]
        if len(data) != length:
            return None
        return Packet(src, sport, dst, dport, flags, seq, ack, echo, data,
                      total)

    def is_genuine(self):
        return self.total == keyed_sum(self._fields(), self.data)


class Node:
    """One process of the system."""

    def __init__(self, fleet, name, ip, zone, role, settings):
        self.fleet, self.name, self.ip, self.zone = fleet, name, ip, zone
        self.role, self.process = role, None
        self.path = fleet.folder / f"{name}.json"
        self.path.write_text(json.dumps(settings))

    def start(self):
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            shlex.split(self.fleet.roles[self.role]["run"]), cwd=REPOSITORY,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                 "HOME": str(self.fleet.folder), "LANG": "C.UTF-8",
                 "LAVENDERTACK_CONFIG": str(self.path)})
        log.close()

    def signal(self, what):
        self.process.send_signal(what)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def log_text(self):
        path = self.fleet.folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""


class Host:
    """A host of a service: reports itself and serves flows."""

    def __init__(self, fleet, record, service, zone, ip, host_id=None,
                 born=None, reports_to=None):
        self.fleet, self.record, self.service = fleet, record, service
        self.zone, self.ip = zone, ip
        self.id = host_id or f"i-{random.getrandbits(32):08x}"
        self.born = born or int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((ip, fleet.host_port))
        self.socket.settimeout(0.2)
        self.address = f"{ip}:{fleet.host_port}"
        self.flows = {}
        self.opened = []       # (time, client key) of each opening packet
        self.run_requests = []  # request ids
        self.refused = []      # reasons of packets that weren't taken
        self.confirmed = []    # times of confirmed reports
        self.node = reports_to or random.choice(fleet.controls)
        self.running = True
        self.threads = [threading.Thread(target=self._serve, daemon=True),
                        threading.Thread(target=self._report, daemon=True)]

    def start(self):
        for thread in self.threads:
            thread.start()
        return self

    def crash(self):
        """Ends without a notice."""
        self.running = False
        for thread in self.threads:
            thread.join()
        self.socket.close()

    def body(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "concurrency": 2,
                "state": self.state, "cold_left_ms": 0,
                "sequence": self.sequence, "born": self.born}

    def report_once(self):
        body = json.dumps(self.body())
        for _ in range(2 * len(self.fleet.controls)):
            status = call(self.node, "PUT", f"/instances/{self.id}", body,
                          REPORT_TIMEOUT_S)[0]
            if 200 <= status < 300:
                self.confirmed.append(time.monotonic())
                return True
            self.node = random.choice(self.fleet.controls)
            if not self.running:
                return False
        return False

    def _report(self):
        while self.running:
            self.report_once()
            end = time.monotonic() + HEARTBEAT_S * random.uniform(0.95, 1.05)
            while self.running and time.monotonic() < end:
                time.sleep(0.02)

    def _serve(self):
        own = int("".join(c for c in self.id
                          if c in "0123456789abcdefABCDEF"), 16)
        while self.running:
            try:
                raw, _ = self.socket.recvfrom(4096)
            except (TimeoutError, OSError):
                continue
            meant = int.from_bytes(raw[:8], "big")
            packet = Packet.decode(raw[8:])
            if meant not in (0, own):
                self.refused.append("not the intended host")
                continue
            if packet is None or not packet.is_genuine():
                self.refused.append("forged")
                self.record.write(f"host {self.id} got a changed packet")
                continue
            self._take(packet)

    def _reply(self, packet, flags, seq, ack, data=b""):
        answer = Packet(packet.dst, packet.dport, packet.src, packet.sport,
                        flags, seq, ack, packet.echo, data)
        client = socket.inet_ntoa(packet.src.to_bytes(4, "big"))
        self.socket.sendto(answer.encode(), (client, self.fleet.packet_port))

    def _take(self, packet):
        key = (packet.src, packet.sport)
        if packet.flags & RST:
            self.flows.pop(key, None)
            return
        if packet.flags & SYN:
            self.opened.append((time.monotonic(), key))
            flow = self.flows.setdefault(
                key, {"seq": random.getrandbits(31), "next": packet.seq + 1})
            self._reply(packet, SYN | ACK, flow["seq"], packet.seq + 1)
            return
        flow = self.flows.get(key)
        if flow is None:
            self._reply(packet, RST, packet.ack, packet.seq)
            return
        if not packet.data:
            return
        request = packet.data.decode("ascii", "replace").split()
        answer = f"answer {request[-1]} from {self.id}".encode()
        if packet.seq >= flow["next"]:
            flow["next"] = packet.seq + len(packet.data)
            self.run_requests.append(request[-1])
        self._reply(packet, ACK, packet.ack, packet.seq + len(packet.data),
                    answer)


class Client:
    """A client machine: opens flows and sends one request at a time."""

    def __init__(self, fleet, record, ip):
        self.fleet, self.record, self.ip = fleet, record, ip
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((ip, fleet.packet_port))
        self.socket.settimeout(0.05)
        self.next_port = random.randrange(20000, 40000)

    def send(self, packet, entry=None):
        node = entry or random.choice(self.fleet.ready_entries())
        self.socket.sendto(packet.encode(), (node.ip, self.fleet.packet_port))

    def receive(self, port, until):
        while time.monotonic() < until:
            try:
                raw, sender = self.socket.recvfrom(4096)
            except TimeoutError:
                continue
            packet = Packet.decode(raw)
            if packet is not None and packet.dport == port:
                packet.sender = sender[0]
                return packet
        return None

    def open(self, route_port, entry=None):
        """Opens a flow. Returns it, or why it didn't open."""
        self.next_port += 1
        flow = {"port": self.next_port, "route": route_port,
                "seq": random.getrandbits(30)}
        start = time.monotonic()
        for copy, wait in enumerate((0.2, 0.6, 1.4)):
            self.send(Packet(number(self.ip), flow["port"], number(ROUTE_IP),
                             route_port, SYN, flow["seq"], copy), entry)
            packet = self.receive(flow["port"], start + wait)
            if packet is None:
                continue
            if packet.flags & RST:
                return f"reset by {packet.sender}"
            flow["seq"] += 1
            flow["ack"], flow["echo"] = packet.seq + 1, packet.echo
            return flow
        return "no answer"

    def request(self, flow, name, entry=None, give_up_s=2.0):
        """Sends a request. Returns (result, answer text)."""
        data = f"GET /{name}".encode()
        start = time.monotonic()
        wait = 0.2
        while time.monotonic() - start < give_up_s:
            self.send(Packet(number(self.ip), flow["port"], number(ROUTE_IP),
                             flow["route"], ACK, flow["seq"], flow["ack"],
                             flow["echo"], data), entry)
            packet = self.receive(flow["port"], time.monotonic() + wait)
            wait = min(2 * wait, 1.6)
            if packet is None:
                continue
            if packet.flags & RST:
                by = "the system" if packet.total == 0 else "a host"
                return "reset", f"reset by {by} ({packet.sender})"
            if packet.data:
                flow["seq"] += len(data)
                flow["ack"] = packet.seq + len(packet.data)
                flow["echo"] = packet.echo
                return "answered", packet.data.decode()
        return "no answer", ""


def call(node, method, path, body=None, timeout=ORDER_TIMEOUT_S):
    """One HTTP call. Returns (status, body, location); status 0 on failure."""
    connection = http.client.HTTPConnection(node.ip, node.fleet.control_port,
                                            timeout=timeout)
    try:
        headers = {"Content-Type": "application/json"} if body else {}
        connection.request(method, path, body, headers)
        answer = connection.getresponse()
        return (answer.status, answer.read().decode("utf-8", "replace"),
                answer.headers.get("Location"))
    except (OSError, http.client.HTTPException):
        return 0, "", None
    finally:
        connection.close()


class Operator:
    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record

    def order(self, method, path, body=None, nodes=None, limit_s=5.0):
        """Sends an order to the nodes in turn until a clear answer arrives."""
        end = time.monotonic() + limit_s
        queue = list(nodes or [])
        while time.monotonic() < end:
            node = queue.pop(0) if queue else random.choice(
                self.fleet.controls)
            status, text = self.send_once(node, method, path, body)
            if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                return status, text
            time.sleep(0.05)
        return 0, ""

    def send_once(self, node, method, path, body=None):
        status, text, location = call(node, method, path, body)
        for _ in range(2):
            if status != 307 or not location:
                break
            ip = location.split("//")[1].split(":")[0]
            node = next(n for n in self.fleet.controls if n.ip == ip)
            status, text, location = call(node, method, path, body)
        self.record.write(f"operator {method} {path} to {node.name}: "
                          f"{status or 'no answer'}")
        return status, text


class Fleet:
    def __init__(self, record, zones=("z1", "z2", "z3"), controls=3,
                 entries=2, losses=1, entry_zones=None):
        program = REPOSITORY / "target/bin/lavendertackd"
        if not program.exists():
            raise CannotRun("target/bin/lavendertackd isn't built")
        deploy = tomllib.loads(
            (REPOSITORY / "deploy/system.toml").read_text())
        self.roles = deploy["roles"]
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.network = (f"127.{random.randrange(16, 240)}."
                        f"{random.randrange(1, 250)}.")
        (self.control_port, self.packet_port, self.ready_port,
         self.peer_port, self.host_port) = self._free_ports(5)
        self.zones, self.losses = zones, losses
        self.controls, self.entries = [], []
        for i in range(controls):
            self.controls.append(self._node(f"core-{i + 1}", 10 + i,
                                            zones[i % len(zones)], "control",
                                            controls))
        for i in range(entries):
            zone = (entry_zones or zones)[i % len(entry_zones or zones)]
            self.entries.append(self._node(f"frontend-{i + 1}", 40 + i, zone,
                                           "entry", controls))

    def ip(self, last):
        return self.network + str(last)

    def _free_ports(self, count):
        ports = []
        while len(ports) < count:
            with socket.socket() as probe:
                probe.bind((self.ip(250), 0))
                port = probe.getsockname()[1]
            if port not in ports and port != 9464:
                ports.append(port)
        return ports

    def _node(self, name, last, zone, role, controls):
        is_core = role == "control"
        ip = self.ip(last)
        listen = ({"control": f"{ip}:{self.control_port}"} if is_core else
                  {"datagram_addr": f"{ip}:{self.packet_port}",
                   "readiness_addr": f"{ip}:{self.ready_port}"})
        settings = {
            "node_name": name, "role": role,
            "machine_class": "core" if is_core else "frontend",
            "serves": self.roles[role]["serves"], "ip": ip, "zone": zone,
            "region": "r1", "zones": {z: "r1" for z in self.zones},
            "listen": listen,
            "internal_port_range": [self.peer_port, self.peer_port + 15],
            "seed_nodes": [f"{self.ip(10 + i)}:{self.control_port}"
                           for i in range(min(3, controls))],
            "bootstrap": True, "counts_as_loss": is_core,
            "limits": {"cpu_share": 0.3, "cpu_cores": 1, "memory_mb": 256,
                       "max_fds": 4096, "link_mbps": 1000.0,
                       "disk_mb": 128 if is_core else 0},
            "data_dir": str(self.folder / f"data-{name}") if is_core else None,
            "discovery": "registry", "entry": "announce",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "recover",
                          "flows", "places"],
            "fault_tolerance": {"machines": self.losses, "zones": 1,
                                "regions": 0},
            "bounds": BOUNDS, "config_mode": "highest", "flow_hash": "mod",
            "forwarding_mode": "echo"}
        return Node(self, name, ip, zone, role, settings)

    def nodes(self):
        return self.controls + self.entries

    def start(self):
        for node in self.nodes():
            node.start()
        self.record.write("started " + ", ".join(
            f"{n.name} ({n.zone})" for n in self.nodes()))

    def is_ready(self, node):
        connection = http.client.HTTPConnection(node.ip, self.ready_port,
                                                timeout=1)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def ready_entries(self):
        return self.entries

    def wait_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all(self.is_ready(node) for node in self.entries):
                self.record.write("all frontend nodes are ready")
                return
            time.sleep(0.1)
        raise CannotRun("the frontend nodes didn't become ready")

    def publish(self, operator, manifest):
        status, _ = operator.order("PUT", "/config", json.dumps(manifest),
                                   limit_s=15)
        if status != 200:
            raise CannotRun("the first manifest wasn't acknowledged")

    def stop(self):
        for node in self.nodes():
            if node.is_running():
                node.signal(signal.SIGCONT)
                node.signal(signal.SIGKILL)
                node.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def route(port, service, name=None):
    return {"name": name or f"r-{port}", "host": ROUTE_IP,
            "path_prefix": f"/{port}/", "type": "safe", "timeout_ms": 2000,
            "target_latency_ms": 150, "priority": 2, "service": service,
            "max_attempts": 2}


def service(name):
    return {"name": name, "health_path": "/health", "max_connections": 2000,
            "protocol": "h1", "tls": False, "cold_start_s": 2.0,
            "cold_per_s": 0.0}


def manifest(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [service(name) for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, play):
    """Runs play(record) and returns the exit code of the script."""
    record = Record(folder)
    # So that the processes are ended, too, if the script is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = play(record)
    except Exception as error:  # Whatever it is, it isn't a broken rule.
        record.write(f"the case couldn't run: {type(error).__name__}: {error}")
        return 2
    record.write("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0
