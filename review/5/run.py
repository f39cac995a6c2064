"""A restarted frontend node takes a living host for lost: see claim.txt."""
import json
import pathlib
import queue
import random
import signal
import socket
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE))
import fleet as f  # noqa: E402

CONTACT_S = f.BOUNDS["contact_window_ms"] / 1000
DARK_S = 3.5
PROBE_S = 0.5
# Between two signals of a roll_term with gap_s = 1.2 on the bench.
GAP_S = 1.6
ROUNDS = 10
# One way, as in the site's sheet.
IN_ZONE_S, CROSS_ZONE_S = 0.0002, 0.0045


class Network:
    """The links from the frontend nodes to the core nodes: delays all bytes by
    the one-way time within a zone or between two."""

    def __init__(self, fleet):
        self.fleet, self.listeners = fleet, []
        port = fleet.peer_port + 1
        for node in fleet.entries:
            settings = json.loads(node.path.read_text())
            settings["internal_port_range"] = [port, port + 14]
            node.path.write_text(json.dumps(settings))
        for core in fleet.controls:
            delay = IN_ZONE_S if core.zone == "z1" else CROSS_ZONE_S
            listener = socket.create_server((core.ip, port))
            self.listeners.append(listener)
            threading.Thread(target=self._accept, args=(listener, core, delay),
                             daemon=True).start()

    def _accept(self, listener, core, delay):
        while True:
            try:
                near, _ = listener.accept()
                far = socket.create_connection((core.ip,
                                                self.fleet.peer_port), 1)
            except OSError:
                if listener.fileno() < 0:
                    return
                near.close()
                continue
            far.settimeout(None)
            for ends in ((near, far), (far, near)):
                for link in ends:
                    link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                held = queue.SimpleQueue()
                threading.Thread(target=self._read, args=(ends[0], held, delay),
                                 daemon=True).start()
                threading.Thread(target=self._write, args=(ends, held),
                                 daemon=True).start()

    @staticmethod
    def _read(source, held, delay):
        data = b"?"
        while data:
            try:
                data = source.recv(65536)
            except OSError:
                data = b""
            held.put((time.monotonic() + delay, data))

    @staticmethod
    def _write(ends, held):
        while True:
            due, data = held.get()
            time.sleep(max(0, due - time.monotonic()))
            try:
                if not data:
                    raise OSError
                ends[1].sendall(data)
            except OSError:
                for link in ends:
                    try:
                        link.shutdown(socket.SHUT_RDWR)
                    except OSError:
                        pass
                return

    def close(self):
        for listener in self.listeners:
            listener.close()


class Routers:
    """The provider's routers of the zone: probe each node twice a second, take
    it out of rotation after two misses, and use all nodes of the zone while
    fewer than half of them are in rotation."""

    def __init__(self, fleet):
        self.fleet, self.running = fleet, True
        self.misses = {node.name: 0 for node in fleet.entries}
        fleet.ready_entries = self.nodes
        for node in fleet.entries:
            threading.Thread(target=self._probe, args=(node,),
                             daemon=True).start()

    def _probe(self, node):
        while self.running:
            ready = self.fleet.is_ready(node)
            self.misses[node.name] = 0 if ready else self.misses[node.name] + 1
            time.sleep(PROBE_S)

    def nodes(self):
        used = [n for n in self.fleet.entries if self.misses[n.name] < 2]
        if 2 * len(used) < len(self.fleet.entries):
            return self.fleet.entries
        return used


def flows_at(client, host, count):
    """Opens flows until `count` of them are served by the host."""
    flows = []
    for i in range(20 * count):
        if len(flows) == count:
            return flows
        flow = client.open(8080)
        if isinstance(flow, str):
            continue
        result, answer = client.request(flow, f"{client.ip}-first-{i}")
        if result == "answered" and answer.split()[-1] == host.id:
            flows.append(flow)
    raise f.CannotRun(f"host {host.id} got too few flows")


def lose_answers(client, flows, entry):
    """A request on each flow whose answer is lost on its way, so that the
    client sends it again through the same node."""
    for i, flow in enumerate(flows):
        packet = f.Packet(f.number(client.ip), flow["port"],
                          f.number(f.ROUTE_IP), flow["route"], f.ACK,
                          flow["seq"], flow["ack"], flow["echo"],
                          f"GET /lost-{i}".encode())
        for _ in range(2):
            client.send(packet, entry)
            time.sleep(0.2)


def use(client, host, until, resets, record):
    """Sends requests on flows at the host; opens a new one for each reset."""
    flows = flows_at(client, host, 4)
    count = 0
    while time.monotonic() < until():
        for i, flow in enumerate(flows):
            count += 1
            result, why = client.request(flow, f"{client.ip}-{count}")
            if result == "answered":
                continue
            if result == "reset" and "the system" in why:
                resets.append(time.monotonic())
                record.write(f"flow {client.ip}:{flow['port']} at host "
                             f"{host.id}: {why}")
            try:
                flows[i] = flows_at(client, host, 1)[0]
            except f.CannotRun:
                return
        time.sleep(0.003)


def restart(node, record):
    """SIGTERM, and a start half a second after the end."""
    node.signal(signal.SIGTERM)
    node.process.wait()
    time.sleep(0.5)
    node.start()
    record.write(f"{node.name} has restarted")


def play(record):
    fleet = f.Fleet(record, entries=3, entry_zones=("z1",))
    routers = network = None
    end = [time.monotonic() + 300]
    try:
        network = Network(fleet)
        fleet.start()
        operator = f.Operator(fleet, record)
        fleet.publish(operator, f.manifest(1, [f.route(8080, "desk")],
                                           ["desk"]))
        hosts = [f.Host(fleet, record, "desk", fleet.zones[i],
                        fleet.ip(100 + i), reports_to=fleet.controls[i])
                 .start() for i in range(2)]
        host = hosts[0]
        fleet.wait_ready()
        routers = Routers(fleet)
        time.sleep(CONTACT_S)
        core = fleet.controls[0]
        if f.trouble():
            core.signal(signal.SIGKILL)
            core.process.wait()
            record.write(f"{core.name} loses power")
            time.sleep(DARK_S)
            core.start()
            record.write(f"{core.name} is back; host {host.id} now reports to "
                         f"{host.node.name}")
        else:
            time.sleep(DARK_S)
        back = time.monotonic()
        # Some answers are lost; then the node that carried them restarts.
        time.sleep(3)
        first = fleet.entries[0]
        clients = [f.Client(fleet, record, fleet.ip(200 + i)) for i in range(5)]
        flows = flows_at(clients[4], host, 2)
        time.sleep(1)
        for _ in range(2):
            lose_answers(clients[4], flows, first)
        time.sleep(0.3)
        restart(first, record)
        time.sleep(max(0, back + 10.5 - time.monotonic()))
        record.write(f"host {host.id} reports to {host.node.name}, last "
                     f"confirmed {time.monotonic() - host.confirmed[-1]:.1f} s "
                     "ago")
        time.sleep(1)
        resets = []
        users = [threading.Thread(target=use, daemon=True,
                                  args=(client, host, lambda: end[0], resets,
                                        record)) for client in clients[:4]]
        for user in users:
            user.start()
        time.sleep(1)
        for _ in range(ROUNDS):
            steps = []
            for node in random.sample(fleet.entries, len(fleet.entries)):
                steps.append(threading.Thread(target=restart,
                                              args=(node, record)))
                steps[-1].start()
                time.sleep(GAP_S)
            for step in steps:
                step.join()
            # So that the rounds meet the routers' probes at any phase.
            time.sleep(random.uniform(0.7, 1.3))
            if resets:
                break
        end[0] = 0
        for user in users:
            user.join()
        record.write(f"{len(resets)} flows got a reset that their living host "
                     f"didn't send; host {host.id} reported to "
                     f"{host.node.name}, last confirmed "
                     f"{time.monotonic() - host.confirmed[-1]:.1f} s ago")
        return bool(resets)
    finally:
        end[0] = 0
        if routers is not None:
            routers.running = False
        if network is not None:
            network.close()
        fleet.stop()


if __name__ == "__main__":
    sys.exit(f.run_case(HERE, play))
