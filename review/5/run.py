"""A status report for a service that isn't named here: see claim.txt."""
import json
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE))
import fleet as f  # noqa: E402

FLOWS = 12


def play(record):
    fleet = f.Fleet(record)
    try:
        fleet.start()
        operator = f.Operator(fleet, record)
        fleet.publish(operator, f.manifest(1, [f.route(8080, "desk")],
                                           ["desk"]))
        hosts = [f.Host(fleet, record, "desk", fleet.zones[i],
                        fleet.ip(100 + i)).start() for i in range(3)]
        by_id = {host.id: host for host in hosts}
        fleet.wait_ready()
        time.sleep(f.BOUNDS["contact_window_ms"] / 1000 + 0.5)
        client = f.Client(fleet, record, fleet.ip(200))
        flows = []
        for i in range(FLOWS):
            flow = client.open(8080)
            if isinstance(flow, str):
                raise f.CannotRun(f"a flow didn't open: {flow}")
            result, answer = client.request(flow, f"first-{i}")
            if result != "answered":
                raise f.CannotRun(f"the first request of a flow: {result}")
            flow["host"] = answer.split()[-1]
            flows.append(flow)
        at_host = by_id[flows[0]["host"]]
        record.write(f"{FLOWS} flows are open and served, "
                     f"{sum(x['host'] == at_host.id for x in flows)} of them "
                     f"at host {at_host.id}, {at_host.address}")
        if f.trouble():
            report = {"service": "printers", "address": at_host.address,
                      "zone": at_host.zone, "version": "v1", "concurrency": 1,
                      "state": "ready", "cold_left_ms": 0, "sequence": 1,
                      "born": int(time.time() * 1000)}
            path = f"/instances/i-{random.getrandbits(32):08x}"
            status = f.call(fleet.controls[0], "PUT", path,
                            json.dumps(report))[0]
            record.write(f"another writer PUT {path} {json.dumps(report)}: "
                         f"{status}")
        time.sleep(1)
        broken = 0
        for i, flow in enumerate(flows):
            result, why = client.request(flow, f"second-{i}")
            record.write(f"second request of flow {i}, at host "
                         f"{flow['host']}: {result} {why}")
            host = by_id[flow["host"]]
            lives = time.monotonic() - host.confirmed[-1] < 2 * f.HEARTBEAT_S
            broken += (result == "reset" and "the system" in why and lives)
        before = len(at_host.opened)
        for i in range(30):
            client.open(8080)
        record.write(f"of 30 new flows, {len(at_host.opened) - before} opening "
                     f"packets reached host {at_host.id}; its last report was "
                     f"confirmed {time.monotonic() - at_host.confirmed[-1]:.1f}"
                     " s ago")
        record.write(f"{broken} flows got a reset that their living host "
                     "didn't send")
        return broken > 0
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(f.run_case(HERE, play))
