"""An evacuation is taken back by an order from before it: see claim.txt."""
import pathlib
import random
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE))
import fleet as f  # noqa: E402

EVACUATION_S = f.BOUNDS["evacuation_ms"] / 1000
FREEZE_S = 6.0
ROUNDS = 5
ZONE = "z1"


def evacuate_twice(fleet, record, operator, client, hosts, frozen):
    """Evacuates ZONE, takes that back and evacuates it again, while `frozen`
    is frozen. Returns how many flows reached hosts of ZONE too late."""
    others = [node for node in fleet.controls if node is not frozen]

    def order(method, nodes):
        status, _ = operator.order(method, f"/evacuations/{ZONE}", nodes=nodes)
        if status != 200:
            raise f.CannotRun(f"{method} wasn't acknowledged")

    order("POST", others)
    if f.trouble():
        frozen.signal(signal.SIGSTOP)
        record.write(f"{frozen.name} freezes")
    thaw = time.monotonic() + FREEZE_S
    time.sleep(1.5)
    # Without an answer within a second, it is sent again to the next node.
    order("DELETE", [frozen] + others)
    time.sleep(1)
    order("POST", others)
    acknowledged = time.monotonic()
    time.sleep(max(0, thaw - time.monotonic()))
    if f.trouble():
        frozen.signal(signal.SIGCONT)
        record.write(f"{frozen.name} wakes")
    # In touch again: contact_window_ms after the last event in the core.
    bound = max(acknowledged + EVACUATION_S,
                thaw + f.BOUNDS["contact_window_ms"] / 1000) + 0.2
    results = {}
    while time.monotonic() < bound + 3:
        flow = client.open(8080, random.choice(fleet.entries))
        result = flow if isinstance(flow, str) else client.request(
            flow, f"q{client.next_port}")[0]
        results[result] = results.get(result, 0) + 1
        time.sleep(0.05)
    record.write(f"requests of the client: {results}")
    late = sorted(at - acknowledged for host in hosts if host.zone == ZONE
                  for at, _ in host.opened if at > bound)
    record.write(f"{len(late)} flows reached hosts of {ZONE} later than "
                 f"{bound - acknowledged:.1f} s after its evacuation was "
                 "acknowledged, with all machines in touch"
                 + (f": {late[0]:.2f} to {late[-1]:.2f} s" if late else ""))
    order("DELETE", others)
    return len(late)


def play(record):
    fleet = f.Fleet(record)
    try:
        fleet.start()
        operator = f.Operator(fleet, record)
        fleet.publish(operator, f.manifest(1, [f.route(8080, "desk")],
                                           ["desk"]))
        hosts = [f.Host(fleet, record, "desk", fleet.zones[i % 3],
                        fleet.ip(100 + i),
                        reports_to=fleet.controls[i % 3]).start()
                 for i in range(18)]
        fleet.wait_ready()
        client = f.Client(fleet, record, fleet.ip(200))
        for i in range(ROUNDS):
            frozen = fleet.controls[i % len(fleet.controls)]
            time.sleep(f.BOUNDS["contact_window_ms"] / 1000 + 0.5)
            if evacuate_twice(fleet, record, operator, client, hosts, frozen):
                return True
        return False
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(f.run_case(HERE, play))
