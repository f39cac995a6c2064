"""A host leaves a zone whose core node is frozen: see claim.txt."""
import pathlib
import signal
import socket
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE))
import fleet as f  # noqa: E402

FREEZE_S = 7.2
CONTACT_S = f.BOUNDS["contact_window_ms"] / 1000
DRAIN_S = f.BOUNDS["drain_ms"] / 1000
LIVING_FLOWS = 10
LEAVING_FLOWS = 3


def open_flows(client, entry, hosts, wanted):
    """Opens flows through `entry` until each host has the wanted number."""
    flows = {host.id: [] for host in hosts}
    for i in range(400):
        if all(len(flows[h.id]) >= wanted[h.id] for h in hosts):
            return flows
        flow = client.open(8080, entry)
        if isinstance(flow, str):
            raise f.CannotRun(f"a flow didn't open: {flow}")
        result, answer = client.request(flow, f"first-{i}", entry)
        if result != "answered":
            raise f.CannotRun(f"the first request of a flow: {result}")
        host = answer.split()[-1]
        if host in flows and len(flows[host]) < wanted[host]:
            flows[host].append(flow)
    raise f.CannotRun("too few flows opened at the hosts of z3")


def request_packet(client, flow, name):
    return f.Packet(f.number(client.ip), flow["port"], f.number(f.ROUTE_IP),
                    flow["route"], f.ACK, flow["seq"], flow["ack"],
                    flow["echo"], f"GET /{name}".encode())


def play(record):
    fleet = f.Fleet(record)
    core1, _, core3 = fleet.controls
    entry = fleet.entries[0]
    try:
        fleet.start()
        operator = f.Operator(fleet, record)
        fleet.publish(operator, f.manifest(1, [f.route(8080, "desk")],
                                           ["desk"]))
        f.Host(fleet, record, "desk", "z2", fleet.ip(100),
               reports_to=core1).start()
        leaving = f.Host(fleet, record, "desk", "z3", fleet.ip(101),
                         reports_to=core1).start()
        living = f.Host(fleet, record, "desk", "z3", fleet.ip(102),
                        reports_to=core1).start()
        fleet.wait_ready()
        time.sleep(CONTACT_S + 1)
        client = f.Client(fleet, record, fleet.ip(200))
        flows = open_flows(client, entry, [leaving, living],
                           {leaving.id: LEAVING_FLOWS,
                            living.id: LIVING_FLOWS})
        record.write(f"{LIVING_FLOWS} flows are open at host {living.id} "
                     f"(z3), {LEAVING_FLOWS} at host {leaving.id} (z3), "
                     f"through {entry.name} ({entry.zone})")

        if f.trouble():
            core3.signal(signal.SIGSTOP)
            record.write("core-3 (z3) is frozen")
        frozen_at = time.monotonic()
        time.sleep(0.3)
        leaving.state = "draining"
        if not leaving.report_once():
            raise f.CannotRun("no node confirmed that the host is draining")
        record.write(f"host {leaving.id} is draining, confirmed by "
                     f"{leaving.node.name}")
        time.sleep(max(DRAIN_S + 0.5,
                       frozen_at + CONTACT_S + 0.3 - time.monotonic()))
        status = f.call(core1, "DELETE", f"/instances/{leaving.id}")[0]
        record.write(f"host {leaving.id} DELETE to core-1: {status}")
        leaving.crash()
        record.write(f"host {leaving.id} has exited")

        # The clients' next requests on their flows at the host that has left,
        # with the retransmissions after 200 ms and then twice that.
        resets = {}
        copies = [(time.monotonic() + wait, flow)
                  for wait in (0, 0.2, 0.6) for flow in flows[leaving.id]]
        copies.sort(key=lambda item: item[0])
        ports = {flow["port"]: "living" for flow in flows[living.id]}
        ports |= {flow["port"]: "leaving" for flow in flows[leaving.id]}
        end = time.monotonic() + 1.2

        def listen(until):
            while time.monotonic() < until:
                try:
                    raw, sender = client.socket.recvfrom(4096)
                except TimeoutError:
                    continue
                packet = f.Packet.decode(raw)
                if packet is None or not packet.flags & f.RST:
                    continue
                of = ports.get(packet.dport)
                if of is None:
                    continue
                by = "the system" if packet.total == 0 else "a host"
                record.write(f"flow {packet.dport} at the {of} host: reset by "
                             f"{by} ({sender[0]})")
                if of == "living" and packet.total == 0:
                    resets[packet.dport] = time.monotonic()

        for at, flow in copies:
            listen(at)
            client.send(request_packet(client, flow, "next"), entry)
        listen(end)
        for i, flow in enumerate(flows[living.id]):
            if flow["port"] in resets:
                continue
            result, why = client.request(flow, f"second-{i}", entry)
            record.write(f"flow {flow['port']} at the living host: next "
                         f"request {result} {why}")
            if result == "reset" and "the system" in why:
                resets[flow["port"]] = time.monotonic()
        late = [at for at in resets.values()
                if at - frozen_at > CONTACT_S and at - frozen_at < FREEZE_S]
        last = time.monotonic() - living.confirmed[-1]
        record.write(f"the last report of host {living.id} was confirmed "
                     f"{last:.1f} s ago by {living.node.name}; the freeze "
                     f"began {time.monotonic() - frozen_at:.1f} s ago")
        time.sleep(max(0, frozen_at + FREEZE_S - time.monotonic()))
        if f.trouble():
            core3.signal(signal.SIGCONT)
            record.write("core-3 wakes")
        record.write(f"{len(late)} of {LIVING_FLOWS} flows got a reset that "
                     "their living host didn't send")
        return bool(late)
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(f.run_case(HERE, play))
