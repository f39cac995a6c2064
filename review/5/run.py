"""A host starts again at another address, its old one is used again: see
claim.txt."""
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import fleet as f  # noqa: E402

DRAIN_S = f.BOUNDS["drain_ms"] / 1000
CONTACT_S = f.BOUNDS["contact_window_ms"] / 1000
REUSE_S = f.BOUNDS["reuse_delay_s"]


def open_flows(client, host, count):
    """Opens flows until `count` of them are served by the host."""
    flows = []
    for i in range(20 * count):
        if len(flows) == count:
            return flows
        flow = client.open(8080)
        if isinstance(flow, str):
            raise f.CannotRun(f"a flow didn't open: {flow}")
        result, answer = client.request(flow, f"first-{i}")
        if result != "answered":
            raise f.CannotRun(f"the first request of a flow: {result}")
        if answer.split()[-1] == host.id:
            flows.append(flow)
    raise f.CannotRun(f"host {host.id} got too few flows")


def play(record):
    fleet = f.Fleet(record)
    try:
        fleet.start()
        operator = f.Operator(fleet, record)
        fleet.publish(operator, f.manifest(
            1, [f.route(8080, "desk"), f.route(8443, "shelf")],
            ["desk", "shelf"]))
        first = f.Host(fleet, record, "desk", "z1", fleet.ip(100)).start()
        other = f.Host(fleet, record, "desk", "z2", fleet.ip(101)).start()
        fleet.wait_ready()
        time.sleep(CONTACT_S)
        record.write(f"host {first.id} of desk is at {first.address}")

        # A planned restart under the id that it had, at another address.
        first.state = "draining"
        if not first.report_once():
            raise f.CannotRun("no node confirmed that the host is draining")
        time.sleep(DRAIN_S + 0.5)
        status = f.call(first.node, "DELETE", f"/instances/{first.id}")[0]
        first.crash()
        ended = time.monotonic()
        record.write(f"host {first.id}: DELETE answered {status}; it exits")
        time.sleep(0.5)
        again = f.Host(fleet, record, "desk", "z1", fleet.ip(102),
                       host_id=first.id).start()
        record.write(f"host {again.id} of desk starts again, at "
                     f"{again.address}")
        time.sleep(max(CONTACT_S, REUSE_S) + 0.5)
        client = f.Client(fleet, record, fleet.ip(200))
        flows = open_flows(client, again, 8)
        record.write(f"{len(flows)} flows are open and served at host "
                     f"{again.id}")

        new_ip = fleet.ip(100) if f.trouble() else fleet.ip(103)
        shelf = f.Host(fleet, record, "shelf", "z3", new_ip).start()
        record.write(f"host {shelf.id} of shelf starts at {shelf.address}, "
                     f"{time.monotonic() - ended:.1f} s after host "
                     f"{first.id} ended at {first.address}")
        time.sleep(1)
        broken = 0
        for i, flow in enumerate(flows):
            result, why = client.request(flow, f"second-{i}")
            record.write(f"second request of flow {i}: {result} {why}")
            broken += result == "reset" and "the system" in why
        before = len(again.opened)
        for i in range(30):
            client.open(8080)
        record.write(f"of 30 new flows, {len(again.opened) - before} opening "
                     f"packets reached host {again.id}, "
                     f"{30 - (len(again.opened) - before)} host {other.id}")
        record.write(f"the last report of host {again.id} ({again.state}, "
                     f"{again.address}) was confirmed "
                     f"{time.monotonic() - again.confirmed[-1]:.1f} s ago")
        record.write(f"{broken} flows got a reset that their living host "
                     "didn't send")
        return broken > 0
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(f.run_case(HERE, play))
