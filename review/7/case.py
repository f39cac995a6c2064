"""FLOW: a DELETE that a partition delayed ends the next lifetime of its host.

A host leaves as planned. Its machine is cut off from the machines of the system
just before it sends its DELETE, so the bytes of that call are held up. The host
exits and starts again under the id that it had. After the cut it registers and
takes flows. Then the call arrives: TCP sends held bytes again at intervals that
double, and closes the connection one round trip after their acknowledgement.
Counted are the resets of the system's own on open flows of the living host.
"""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins_2 import (BROKEN, DRAIN_S, HELD, RST, cannot_run, client,
                        deployment, host, http, main, manifest, now, operator)

ZONES = ("z-a", "z-b", "z-c")
HOSTS_PER_ZONE = 2
CUT_S = 3.5  # 5.5 on the small sites.
CONTACT_S = 4.0  # contact_window_ms.
ROUND_TRIP_S = 0.0138  # Twice 3.9 + 3 ms.
FLOWS = 40  # Open flows in each zone.
PAUSE_S = 4.0  # Between two requests on a flow; idle_timeout_ms is 15,000.


class network:
    """Whether the host's machine is cut off from the system's machines."""

    def __init__(self):
        self.cut_at = None
        self.healed = asyncio.Event()
        self.healed.set()

    def cut(self):
        self.cut_at = now()
        self.healed.clear()

    def heal(self):
        self.healed.set()

    async def deliver(self, sent):
        """Waits until bytes sent at `sent` arrive: TCP sends them again after
        0.2 s and then at intervals that double."""
        wait = 0.2
        while not self.healed.is_set() or now() < sent:
            sent += wait
            wait *= 2
            await asyncio.sleep(max(0, sent - now()))


class line:
    """Carries the host's calls to one control instance through the network."""

    def __init__(self, net, to_ip, to_port):
        self.net, self.to = net, (to_ip, to_port)
        self.server = None
        self.address = None

    async def start(self, ip):
        self.server = await asyncio.start_server(self.carry, ip, 0)
        self.address = self.server.sockets[0].getsockname()

    async def carry(self, reader, writer):
        # During the cut the opening packet is lost and sent again; if the
        # caller gives up meanwhile, nothing of the connection arrives.
        opening = asyncio.create_task(self.net.deliver(now()))
        data = await reader.read(65536)
        if not opening.done() and data:
            following = asyncio.create_task(reader.read(1))
            await asyncio.wait({opening, following},
                               return_when=asyncio.FIRST_COMPLETED)
            if following.done():
                data = b""
            else:
                following.cancel()
        await opening
        if not data:
            writer.close()
            return
        try:
            there = await asyncio.open_connection(*self.to)
        except OSError:
            writer.close()
            return
        back = asyncio.create_task(self.answers(there[0], writer))
        while data:
            await self.net.deliver(now())
            there[1].write(data)
            data = await reader.read(65536)
        await self.net.deliver(now())
        await asyncio.sleep(ROUND_TRIP_S)
        there[1].close()
        back.cancel()

    async def answers(self, reader, writer):
        while data := await reader.read(65536):
            await self.net.healed.wait()
            try:
                writer.write(data)
            except OSError:
                return
        writer.close()


class leaving_host(host):
    """Calls through lines, over connections that it keeps open."""

    def connect_through(self, lines):
        self.lines = lines
        self.connections = {}

    async def call(self, to, method, body=b""):
        async def exchange():
            if to.name not in self.connections:
                self.connections[to.name] = await asyncio.open_connection(
                    *self.lines[to.name].address)
            reader, writer = self.connections[to.name]
            writer.write(
                b"%s /instances/%s HTTP/1.1\r\nHost: %s\r\n"
                b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                % (method.encode(), self.id.encode(), to.ip.encode(),
                   len(body)) + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            length = int(head.lower().split("content-length:")[1].split()[0])
            await reader.readexactly(length)
            return int(head.split()[1])

        try:
            return await asyncio.wait_for(exchange(), 1.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            if method != "DELETE" and to.name in self.connections:
                self.connections.pop(to.name)[1].close()
            return None

    async def report(self, to):
        document = self.document()
        status = await self.call(to, "PUT", json.dumps(document).encode())
        self.log.write("host", self.id, "born", self.born, "reports",
                       document["state"], "sequence", document["sequence"],
                       "to", to.name, "->", status or "nothing")
        if status is None or not 200 <= status < 300:
            return False
        self.acknowledged.setdefault(document["state"], now())
        return True

    def exit(self):
        self.stop()
        for _, writer in self.connections.values():
            writer.close()
        self.log.write("host", self.id, "born", self.born, "has ended")


async def case(log, trouble):
    deploy = deployment(log, ZONES)
    route = (deploy.prefix + "9", 8080)
    net = network()
    lines = {of.name: line(net, of.ip, deploy.control_port)
             for of in deploy.controls}
    first = leaving_host(deploy, log, "desk", ZONES[0])
    first.connect_through(lines)
    others = [host(deploy, log, "desk", zone)
              for zone in ZONES for _ in range(HOSTS_PER_ZONE)][1:]
    clients = [client(deploy, log, zone) for zone in ZONES]
    second = None
    tasks = []
    try:
        await deploy.start_all()
        people = operator(deploy, log)
        body = json.dumps(manifest(3, [("r-1", *route, "desk")], ["desk"],
                                   0.0)).encode()
        status, _ = await people.order("PUT", "/config", body)
        if status != 200:
            raise cannot_run("the first manifest wasn't confirmed")
        tasks.append(asyncio.create_task(deploy.probe_readiness()))
        proxies = deploy.address()
        for of in lines.values():
            await of.start(proxies)
        for of in [first] + others:
            await of.start()
        for of in clients:
            await of.start()
        await asyncio.sleep(5)

        # The host leaves.
        first.state = "draining"
        first.report_now.set()
        while "draining" not in first.acknowledged:
            await asyncio.sleep(0.01)
        await asyncio.sleep(DRAIN_S + 0.5)
        to = first.nodes[0]
        # Between two reports, so that the call has the connection for itself.
        while now() - first.reported_at > 0.5:
            await asyncio.sleep(0.01)
        for task in first.tasks:
            task.cancel()
        if trouble:
            net.cut()
            log.write("the host's machine is cut off")
        cut = now()
        await asyncio.sleep(0.1)
        log.write("host", first.id, "sends DELETE to", to.name, "->",
                  await first.call(to, "DELETE") or "nothing")
        first.exit()

        # It starts again under its id.
        await asyncio.sleep(0.5)
        second = leaving_host(deploy, log, "desk", ZONES[0])
        second.connect_through(lines)
        second.id, second.ip = first.id, first.ip
        second.nodes = [of for of in deploy.controls if of is not to] + [to]
        second.born = int(time.time() * 1000)
        await second.start()
        await asyncio.sleep(max(0, cut + CUT_S - now()))
        net.heal()
        healed = now()
        if trouble:
            log.write("the cut has healed")
        while "ready" not in second.acknowledged:
            await asyncio.sleep(0.01)
            if now() > healed + 5:
                raise cannot_run("the host couldn't register again")
        await asyncio.sleep(0.5)

        # Clients keep flows open.
        resets = []

        def seen(at, got, port, ack, answered):
            distance = (got.seq - ack) & 0xFFFFFFFF
            own = got.total == 0 and min(distance, 2**32 - distance) <= 76800
            log.write("client port", port, "gets a reset",
                      "of the system's own" if own else "of the host", "%.3f"
                      % (at - healed), "s after the cut;",
                      "between requests" if answered else "to its request")
            if own:
                resets.append(at)

        for of in clients:
            for _ in range(FLOWS):
                tasks.append(asyncio.create_task(
                    of.hold(*route, PAUSE_S, seen)))
                await asyncio.sleep(0.005)
        await asyncio.sleep(max(0, healed + 10 - now()))
        opened = len(second.openings)
        log.write("host", second.id, "born", second.born, "took", opened,
                  "flows")
        for of in clients:
            for _ in range(FLOWS):
                tasks.append(asyncio.create_task(
                    of.hold(*route, PAUSE_S, seen)))
                await asyncio.sleep(0.005)
        await asyncio.sleep(6)
        log.write("host", second.id, "born", second.born, "took",
                  len(second.openings) - opened, "of", 3 * FLOWS,
                  "flows that were opened 10 s after the cut")
        counted = [at for at in resets if at >= healed + CONTACT_S]
        log.write(len(counted), "open flows of hosts that live were reset later"
                  " than", CONTACT_S, "s after the cut, and",
                  len(resets) - len(counted), "before")
        if opened == 0:
            raise cannot_run("the host took no flows")
        return BROKEN if counted else HELD
    finally:
        for task in tasks:
            task.cancel()
        for of in [first] + others + clients + ([second] if second else []):
            of.stop()
        await deploy.stop()


if __name__ == "__main__":
    main(case, __file__)
