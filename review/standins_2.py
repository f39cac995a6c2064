"""Stand-ins of the second review: a small deployment on loopback addresses.

Starts control and entry instances with the commands of deploy/system.toml and
plays the platform, the operator, the hosts and the clients as the users' pages
describe them. Everything runs on the real clock. A case is a script that uses
`deployment`, `host`, `client` and `operator`.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

SYN, ACK, FIN, RST = 16, 128, 4, 32
HEAD = struct.Struct(">IHB3sHIHIIII")
HEAD_BYTES = 34
KEY = b"known to clients and hosts only"
ANY_HOST = bytes(8)
HEARTBEAT_S = 1.2
DRAIN_S = 3.0

HELD, BROKEN, NOT_RUN = 0, 1, 2


class cannot_run(Exception):
    """The case couldn't be set up."""


def now():
    return time.monotonic()


class record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = now()

    def write(self, *words):
        self.file.write("%9.3f %s\n" % (now() - self.start,
                                        " ".join(str(word) for word in words)))
        self.file.flush()


# ---- Packets.


def number(ip):
    return struct.unpack(">I", socket.inet_aton(ip))[0]


def text(ip):
    return socket.inet_ntoa(struct.pack(">I", ip))


class packet:
    def __init__(self, src, sport, dst, dport, flags, echo=0, seq=0, ack=0,
                 data=b"", total=None):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.echo, self.seq, self.ack = flags, echo, seq, ack
        self.data, self.total = data, total

    def checksum(self):
        fields = struct.pack(">IHIHBII", self.src, self.sport, self.dst,
                             self.dport, self.flags & 0xFE, self.seq, self.ack)
        return zlib.crc32(KEY + fields + self.data)

    def encode(self):
        return HEAD.pack(self.checksum(), len(self.data), self.flags, bytes(3),
                         self.dport, self.src, self.sport, self.dst, self.echo,
                         self.seq, self.ack) + self.data

    def is_genuine(self):
        return self.total == self.checksum()


def decode(data):
    if len(data) < HEAD_BYTES:
        return None
    total, length, flags, _, dport, src, sport, dst, echo, seq, ack = \
        HEAD.unpack(data[:HEAD_BYTES])
    if length != len(data) - HEAD_BYTES:
        return None
    return packet(src, sport, dst, dport, flags, echo, seq, ack,
                  data[HEAD_BYTES:], total)


# ---- HTTP.


async def http(ip, port, method, path, body=b"", timeout=1.0):
    """Returns (status, headers, body), or None after a failure."""

    async def call():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            head = b"%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n" \
                   b"Content-Type: application/json\r\n" \
                   b"Content-Length: %d\r\n\r\n" % (
                       method.encode(), path, ip.encode(), len(body))
            writer.write(head + body)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            status = int(lines[0].split()[1])
            headers = {}
            for line in lines[1:]:
                if ":" in line:
                    key, value = line.split(":", 1)
                    headers[key.strip().lower()] = value.strip()
            length = int(headers.get("content-length", "0"))
            return status, headers, await reader.readexactly(length)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError, IndexError):
        return None


# ---- The platform.


class node:
    """A machine with one process of the system."""

    def __init__(self, name, ip, zone, is_control):
        self.name, self.ip, self.zone = name, ip, zone
        self.is_control = is_control
        self.process = None
        self.ready = False
        self.misses = 0


class deployment:
    def __init__(self, log, zones=("z-a", "z-b", "z-c"), controls=3,
                 entries_per_zone=1):
        self.log = log
        self.folder = tempfile.mkdtemp(prefix="lavendertack-review-")
        self.zones = list(zones)
        self.prefix = "127.%d.%d." % (random.randint(20, 250),
                                      random.randint(1, 250))
        ports = self.free_ports(5)
        self.control_port, self.packet_port, self.ready_port = ports[:3]
        self.peer_port = self.entry_peer_port = ports[3]
        self.nodes, last = [], 10
        for i in range(controls):
            zone = self.zones[i % len(self.zones)]
            self.nodes.append(node("core-%d" % (i + 1), self.prefix + str(last),
                                   zone, True))
            last += 1
        for zone in self.zones:
            for i in range(entries_per_zone):
                self.nodes.append(node("entry-%s-%d" % (zone, i + 1),
                                       self.prefix + str(last), zone, False))
                last += 1
        self.next_address = 100
        self.bootstrap = True
        self.seeds = None  # Nodes that new settings name; None: the first three.
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            roles = tomllib.load(file)["roles"]
        self.commands = {
            role["on"]: role["run"].split() for role in roles.values()}
        program = os.path.join(ROOT, self.commands["core"][0])
        if not os.access(program, os.X_OK):
            raise cannot_run("%s isn't built" % self.commands["core"][0])

    def free_ports(self, count):
        sockets, ports = [], []
        for _ in range(count):
            probe = socket.socket()
            probe.bind((self.prefix + "10", 0))
            sockets.append(probe)
            ports.append(probe.getsockname()[1])
        for probe in sockets:
            probe.close()
        return ports

    def address(self):
        self.next_address += 1
        return self.prefix + str(self.next_address)

    @property
    def controls(self):
        return [n for n in self.nodes if n.is_control]

    @property
    def entries(self):
        return [n for n in self.nodes if not n.is_control]

    def settings(self, of):
        listen = {"control": "%s:%d" % (of.ip, self.control_port)}
        if not of.is_control:
            listen = {
                "datagram_addr": "%s:%d" % (of.ip, self.packet_port),
                "readiness_addr": "%s:%d" % (of.ip, self.ready_port)}
        data = None
        if of.is_control:
            data = os.path.join(self.folder, of.name)
            os.makedirs(data, exist_ok=True)
        return {
            "node_name": of.name,
            "role": "control" if of.is_control else "entry",
            "machine_class": "core" if of.is_control else "frontend",
            "serves": ["control_plane" if of.is_control else "frontend"],
            "ip": of.ip, "zone": of.zone, "region": "r",
            "zones": {zone: "r" for zone in self.zones},
            "listen": listen,
            "internal_port_range": [
                self.peer_port if of.is_control else self.entry_peer_port,
                65535],
            "seed_nodes": ["%s:%d" % (n.ip, self.control_port)
                           for n in (self.seeds or self.controls[:3])],
            "bootstrap": self.bootstrap,
            "counts_as_loss": of.is_control,
            "limits": {"cpu_share": 0.3, "cpu_cores": 1, "memory_mb": 256,
                       "max_fds": 4096, "link_mbps": 1000.0,
                       "disk_mb": 128 if of.is_control else 0},
            "data_dir": data, "discovery": "registry", "entry": "announce",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "recover",
                          "flows", "places"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {"seed_lag_s": 3, "reuse_delay_s": 2,
                       "contact_window_ms": 4000, "ack_timeout_ms": 5000,
                       "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6,
                       "loss_slack_ms": 200, "config_apply_ms": 3000,
                       "rollback_slack_ms": 250, "stretch_max_ms": 12000,
                       "cold_burst_factor": 1.5, "cold_slack": 5,
                       "evacuation_ms": 5000, "recovery_s": 12,
                       "misroute_window_ms": 2000, "max_flow_s": 60},
            "config_mode": "highest", "flow_hash": "mod",
            "forwarding_mode": "echo"}

    def write_settings(self, of):
        path = os.path.join(self.folder, of.name + ".json")
        with open(path + ".new", "w") as file:
            json.dump(self.settings(of), file)
        os.rename(path + ".new", path)
        return path

    async def start(self, of):
        path = self.write_settings(of)
        output = open(os.path.join(self.folder, of.name + ".log"), "a")
        command = self.commands["core" if of.is_control else "frontend"]
        of.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stdout=output, stderr=output,
            env={"LAVENDERTACK_CONFIG": path, "PATH": os.environ["PATH"],
                 "HOME": self.folder})
        output.close()
        self.log.write("platform started", of.name, "at", of.ip)

    def state_source(self, of):
        """Address of the control instance whose state the entry instance
        followed last, by its log."""
        source = None
        with open(os.path.join(self.folder, of.name + ".log")) as file:
            for line in file:
                if '"state_followed"' in line:
                    source = json.loads(line)["control"]
        return source

    def add_entry(self, zone):
        added = node("entry-%s-%d" % (zone, len(self.entries) + 1),
                     self.prefix + str(50 + len(self.nodes)), zone, False)
        self.nodes.append(added)
        return added

    def add_control(self, zone):
        """A new machine with a control instance and an empty disk."""
        added = node("core-%d" % (len(self.controls) + 1),
                     self.prefix + str(50 + len(self.nodes)), zone, True)
        self.nodes.append(added)
        return added

    async def start_all(self):
        for of in self.nodes:
            await self.start(of)

    async def kill(self, nodes):
        for of in nodes:
            of.process.send_signal(signal.SIGKILL)
        for of in nodes:
            await of.process.wait()
            self.log.write("platform killed", of.name)

    async def stop(self):
        for of in self.nodes:
            if of.process and of.process.returncode is None:
                of.process.kill()
                await of.process.wait()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    def ended_by_themselves(self):
        return [of.name for of in self.nodes
                if of.process and of.process.returncode is not None]

    async def probe_readiness(self):
        """Probes each entry instance twice a second, like the routers."""

        async def probe(of):
            while True:
                answer = await http(of.ip, self.ready_port, "GET", b"/ready",
                                    timeout=0.5)
                if answer and answer[0] == 200:
                    of.ready, of.misses = True, 0
                else:
                    of.misses += 1
                    if of.misses >= 2:
                        of.ready = False
                await asyncio.sleep(0.5)

        await asyncio.gather(*(probe(of) for of in self.entries))

    def entry_for(self, zone, flow):
        here = [of for of in self.entries if of.zone == zone]
        ready = [of for of in here if of.ready]
        if 2 * len(ready) < len(here):
            ready = here
        return ready[zlib.crc32(repr(flow).encode()) % len(ready)]


class operator:
    def __init__(self, deploy, log):
        self.deploy, self.log = deploy, log

    async def read(self, of):
        """Reads the manifest at a node; returns (status, version or None)."""
        ip = of.ip
        for _ in range(3):
            answer = await http(ip, self.deploy.control_port, "GET", b"/config")
            if not answer or answer[0] != 307:
                break
            ip = answer[1].get("location", "").split("//")[-1].split(":")[0]
        if not answer:
            return "nothing", None
        if answer[0] != 200:
            return answer[0], None
        return 200, json.loads(answer[2])["version"]

    async def order(self, method, path, body=b"", patience=15.0, first=None):
        """Sends an order until it is answered clearly; returns the status."""
        until, wait = now() + patience, 0.1
        nodes = list(self.deploy.controls)
        random.shuffle(nodes)
        if first is not None:
            nodes.sort(key=lambda of: of is not first)
        attempt = 0
        while now() < until:
            ip, port = nodes[attempt % len(nodes)].ip, self.deploy.control_port
            attempt += 1
            for _ in range(3):
                answer = await http(ip, port, method, path.encode(), body)
                if not answer or answer[0] != 307:
                    break
                to = answer[1].get("location", "").split("//")[-1]
                ip = to.split(":")[0]
            status = answer[0] if answer else "nothing"
            self.log.write("operator", method, path, "at", ip, "->", status)
            if answer and (200 <= answer[0] < 300 or
                           answer[0] in (400, 409, 412, 413, 422)):
                return answer[0], answer[2]
            await asyncio.sleep(wait)
            wait = min(1.0, wait * 1.5)
        return None, b""


def manifest(version, routes, services, cold_start_s=2.0, cold_per_s=0.0):
    """`routes` are tuples of name, address, port and service."""
    return {
        "version": version,
        "routes": [{"name": name, "host": host, "path_prefix": "/%d/" % port,
                    "type": "safe", "timeout_ms": 2000,
                    "target_latency_ms": 150, "priority": 1,
                    "service": service, "max_attempts": 2}
                   for name, host, port, service in routes],
        "services": [{"name": name, "health_path": "/health",
                      "max_connections": 2000, "protocol": "h1", "tls": False,
                      "cold_start_s": cold_start_s, "cold_per_s": cold_per_s}
                     for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


# ---- Hosts.


class host(asyncio.DatagramProtocol):
    """A host of a service: reports itself and answers flows."""

    WORK_S, SLOTS, QUEUE = 0.022, 2, 8

    def __init__(self, deploy, log, service, zone):
        self.deploy, self.log = deploy, log
        self.service, self.zone = service, zone
        self.id = "i-%010x" % random.getrandbits(40)
        self.ip = deploy.address()
        self.port = deploy.control_port
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.cold_until = 0.0
        self.flows = {}
        self.openings = []  # (sent, arrived) of each flow that was accepted.
        self.acknowledged = {}  # When a state was first confirmed.
        self.busy = 0
        self.nodes = list(deploy.controls)  # The first one gets the reports.
        random.shuffle(self.nodes)
        self.reported_at = 0.0
        self.report_now = asyncio.Event()
        self.tasks = []
        self.transport = None

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.port))
        self.tasks.append(asyncio.create_task(self.report_regularly()))

    def stop(self):
        for task in self.tasks:
            task.cancel()
        if self.transport:
            self.transport.close()

    def document(self):
        self.sequence += 1
        return {"service": self.service,
                "address": "%s:%d" % (self.ip, self.port), "zone": self.zone,
                "version": "v1", "concurrency": self.SLOTS,
                "state": self.state,
                "cold_left_ms": max(0, int((self.cold_until - now()) * 1000)),
                "sequence": self.sequence, "born": self.born}

    async def report_regularly(self):
        """Reports about every HEARTBEAT_S: to one node, and to the next one
        while none confirms."""
        await asyncio.sleep(random.uniform(0, HEARTBEAT_S))
        while True:
            await self.report_until_confirmed()
            self.reported_at = now()
            try:
                await asyncio.wait_for(
                    self.report_now.wait(),
                    HEARTBEAT_S * random.uniform(0.95, 1.05))
            except asyncio.TimeoutError:
                pass
            self.report_now.clear()

    async def report_until_confirmed(self):
        wait, attempt = 0.1, 0
        while not await self.report(self.nodes[0]):
            self.nodes.append(self.nodes.pop(0))
            attempt += 1
            if attempt % len(self.nodes) == 0:
                await asyncio.sleep(wait)
                wait = min(0.8, wait * 2)

    async def drain(self, longer_s):
        """Leaves as planned: reports `draining`, serves for drain_ms after the
        confirmation and `longer_s` more, then sends DELETE and ends."""
        self.state = "draining"
        self.report_now.set()
        while "draining" not in self.acknowledged:
            await asyncio.sleep(0.01)
        await asyncio.sleep(DRAIN_S + longer_s)
        for to in self.nodes:
            answer = await http(to.ip, self.deploy.control_port, "DELETE",
                                b"/instances/" + self.id.encode())
            self.log.write("host", self.id, "sends DELETE to", to.name, "->",
                           answer[0] if answer else "nothing")
            if answer and 200 <= answer[0] < 300:
                break
        self.stop()
        self.log.write("host", self.id, "has ended")

    async def report(self, to):
        document = self.document()
        answer = await http(to.ip, self.deploy.control_port, "PUT",
                            b"/instances/" + self.id.encode(),
                            json.dumps(document).encode())
        status = answer[0] if answer else "nothing"
        self.log.write("host", self.id, self.zone, "reports",
                       document["state"], "cold_left_ms",
                       document["cold_left_ms"], "to", to.name, "->", status)
        confirmed = answer is not None and 200 <= answer[0] < 300
        if confirmed:
            self.acknowledged.setdefault(document["state"], now())
        return confirmed

    def send(self, to, reply):
        if not self.transport.is_closing():
            self.transport.sendto(reply.encode(),
                                  (text(to.src), self.deploy.packet_port))

    def answer(self, to, flags, seq, ack, data=b""):
        self.send(to, packet(to.dst, to.dport, to.src, to.sport, flags,
                             to.echo, seq, ack, data))

    def datagram_received(self, data, _):
        prefix, got = data[:8], decode(data[8:])
        mine = int("".join(c for c in self.id if c in "0123456789abcdef"), 16)
        if prefix not in (ANY_HOST, mine.to_bytes(8, "big")) or got is None:
            return
        if not got.is_genuine():
            self.log.write("host", self.id, "got a packet that was changed")
            return
        key = (got.src, got.sport, got.dst, got.dport)
        if got.flags & SYN:
            if key not in self.flows:
                # The client writes the time at which it sent the packet into
                # `seq`, in ms.
                first = random.getrandbits(31)
                self.flows[key] = {"first": first, "next": first + 1,
                                   "expected": got.seq + 1, "answers": {}}
                self.openings.append((got.seq / 1000.0, now()))
            self.answer(got, SYN | ACK, self.flows[key]["first"], got.seq + 1)
            return
        flow = self.flows.get(key)
        if flow is None:
            if not got.flags & RST:
                self.answer(got, RST, got.ack, 0)
            return
        if got.flags & FIN:
            self.answer(got, ACK, flow["next"], got.seq + 1)
        elif got.data and got.seq in flow["answers"]:
            if flow["answers"][got.seq] is not None:
                self.answer(got, ACK, *flow["answers"][got.seq])
        elif got.data and got.seq == flow["expected"]:
            flow["expected"] += len(got.data)
            flow["answers"][got.seq] = None
            self.tasks.append(asyncio.create_task(self.run(got, flow)))

    async def run(self, got, flow):
        while self.busy >= self.SLOTS:
            await asyncio.sleep(0.002)
        self.busy += 1
        await asyncio.sleep(self.WORK_S)
        self.busy -= 1
        data = b"done by %s for %s" % (self.id.encode(), got.data)
        flow["answers"][got.seq] = (flow["next"], got.seq + len(got.data), data)
        flow["next"] += len(data)
        self.answer(got, ACK, *flow["answers"][got.seq])


# ---- Clients.


class client(asyncio.DatagramProtocol):
    """The clients of one zone: one flow for each request."""

    def __init__(self, deploy, log, zone):
        self.deploy, self.log, self.zone = deploy, log, zone
        self.ip = deploy.address()
        self.next_port = 20000
        self.waiting = {}
        self.ends = {}
        self.transport = None

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.deploy.packet_port))

    def stop(self):
        if self.transport:
            self.transport.close()

    def datagram_received(self, data, _):
        got = decode(data)
        if got is None:
            return
        queue = self.waiting.get(got.dport)
        if queue is not None:
            queue.put_nowait(got)

    def send(self, out):
        flow = (out.src, out.sport, out.dst, out.dport)
        to = self.deploy.entry_for(self.zone, flow)
        if not self.transport.is_closing():
            self.transport.sendto(out.encode(),
                                  (to.ip, self.deploy.packet_port))

    async def request(self, route_ip, route_port):
        """Sends one request on a new flow; returns how it ended."""
        self.next_port += 1
        port = self.next_port
        queue = self.waiting[port] = asyncio.Queue()
        try:
            end = await self.exchange(route_ip, route_port, port, queue)
        finally:
            del self.waiting[port]
        self.ends[end] = self.ends.get(end, 0) + 1
        return end

    async def exchange(self, route_ip, route_port, port, queue):
        me, there = number(self.ip), number(route_ip)
        began = now()
        seq = int(began * 1000) & 0xFFFFFFFF
        opened = None
        for copy, until in enumerate((0.2, 0.6, 1.4)):
            self.send(packet(me, port, there, route_port, SYN, 0, seq, copy))
            opened = await self.next(queue, began + until)
            if opened is not None:
                break
        if opened is None:
            return "not opened"
        if opened.flags & RST:
            return "refused"
        data = b"request %s:%d" % (self.ip.encode(), port)
        wait = 0.2
        while now() < began + 2.0:
            self.send(packet(me, port, there, route_port, ACK, opened.echo,
                             seq + 1, opened.seq + 1, data))
            until = min(began + 2.0, now() + wait)
            while (got := await self.next(queue, until)) is not None:
                if got.flags & RST:
                    return "reset"
                if got.data:
                    self.send(packet(me, port, there, route_port, FIN | ACK,
                                     got.echo, seq + 1 + len(data),
                                     got.seq + len(got.data)))
                    return "answered"
            wait = min(1.6, wait * 2)
        return "not answered"

    @staticmethod
    async def next(queue, until):
        try:
            return await asyncio.wait_for(queue.get(), max(0.001,
                                                           until - now()))
        except asyncio.TimeoutError:
            return None

    async def hold(self, route_ip, route_port, pause_s, seen):
        """Keeps one flow open and sends a request after each pause. Calls
        seen(time, packet) for each reset; ends after one."""
        self.next_port += 1
        port = self.next_port
        queue = self.waiting[port] = asyncio.Queue()
        me, there = number(self.ip), number(route_ip)
        try:
            seq = int(now() * 1000) & 0xFFFFFFFF
            self.send(packet(me, port, there, route_port, SYN, 0, seq, 0))
            opened = await self.next(queue, now() + 1.4)
            if opened is None or opened.flags & RST:
                return
            echo, seq, ack = opened.echo, seq + 1, opened.seq + 1
            count = 0
            while True:
                count += 1
                data = b"request %s:%d/%d" % (self.ip.encode(), port, count)
                until, wait, answered = now() + 2.0, 0.2, False
                while now() < until and not answered:
                    self.send(packet(me, port, there, route_port, ACK, echo,
                                     seq, ack, data))
                    retry = min(until, now() + wait)
                    while (got := await self.next(queue, retry)) is not None:
                        if got.flags & RST:
                            seen(now(), got, port, ack, answered=False)
                            return
                        if got.data and got.ack == seq + len(data):
                            echo, ack = got.echo, got.seq + len(got.data)
                            answered = True
                            break
                    wait = min(1.6, wait * 2)
                if not answered:
                    return
                seq += len(data)
                self.send(packet(me, port, there, route_port, ACK, echo, seq,
                                 ack))
                got = await self.next(queue, now() + pause_s)
                if got is not None and got.flags & RST:
                    seen(now(), got, port, ack, answered=True)
                    return
        finally:
            del self.waiting[port]

    async def load(self, route_ip, route_port, per_s):
        """Sends requests at random times, `per_s` on average."""
        tasks = set()
        while True:
            await asyncio.sleep(random.expovariate(per_s))
            task = asyncio.create_task(self.request(route_ip, route_port))
            tasks.add(task)
            task.add_done_callback(tasks.discard)


# ---- A case.


async def play(case, log):
    """Runs `case(log, trouble)`, which returns an exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    log.write("trouble" if trouble else "no trouble")
    return await asyncio.wait_for(case(log, trouble), 110)


def main(case, path):
    name = sys.argv[1] if len(sys.argv) > 1 else "record.txt"
    log = record(os.path.join(os.path.dirname(os.path.abspath(path)), name))
    try:
        code = asyncio.run(play(case, log))
    except cannot_run as error:
        log.write("could not run:", error)
        code = NOT_RUN
    except Exception as error:  # The case itself failed, not the software.
        log.write("could not run:", repr(error))
        code = NOT_RUN
    log.write("exit", code)
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code], flush=True)
    os._exit(code)  # Without the warnings of connections that were cut off.
