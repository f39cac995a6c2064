"""All core processes are killed as a zone is taken back: see claim.txt."""
import pathlib
import random
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE))
import fleet as f  # noqa: E402

OPENINGS_PER_S = 80
HOSTS = 4  # In each of two zones.
DOWN_S = 0.5
EVACUATED_S = f.BOUNDS["evacuation_ms"] / 1000 + 1
LIMIT = f.COLD_PER_S * f.BOUNDS["cold_burst_factor"] + f.BOUNDS["cold_slack"]


class Callers:
    """Opens flows at a steady rate and confirms those that open."""

    def __init__(self, fleet, ip, entry):
        self.client, self.entry = f.Client(fleet, fleet.record, ip), entry
        self.pending = {}
        self.counts = {"sent": 0, "opened": 0, "reset": 0}
        self.running = True
        self.threads = [threading.Thread(target=self._send, daemon=True),
                        threading.Thread(target=self._receive, daemon=True)]
        for thread in self.threads:
            thread.start()

    def _packet(self, port, flags, seq, ack, echo=0):
        return f.Packet(f.number(self.client.ip), port,
                        f.number(f.ROUTE_IP), 8080, flags, seq, ack, echo)

    def _send(self):
        at, port = time.monotonic(), 20000
        again = []
        while self.running:
            now = time.monotonic()
            if now >= at:
                at += 1 / OPENINGS_PER_S
                port += 1
                self.pending[port] = random.getrandbits(30)
                again += [(now + 0.2, port, 1), (now + 0.6, port, 2)]
                self.counts["sent"] += 1
                self.client.send(self._packet(port, f.SYN,
                                              self.pending[port], 0),
                                 self.entry)
            again.sort()
            while again and again[0][0] <= now:
                _, old, copy = again.pop(0)
                seq = self.pending.get(old)
                if seq is not None:
                    self.client.send(self._packet(old, f.SYN, seq, copy),
                                     self.entry)
            time.sleep(0.002)

    def _receive(self):
        while self.running:
            try:
                raw, _ = self.client.socket.recvfrom(4096)
            except TimeoutError:
                continue
            packet = f.Packet.decode(raw)
            if packet is None:
                continue
            seq = self.pending.pop(packet.dport, None)
            if seq is None:
                continue
            if packet.flags & f.RST:
                self.counts["reset"] += 1
                continue
            self.counts["opened"] += 1
            self.client.send(self._packet(packet.dport, f.ACK, seq + 1,
                                          packet.seq + 1, packet.echo),
                             self.entry)

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join()


def most_in_a_second(times):
    best = (0, 0.0)
    first = 0
    for last, at in enumerate(times):
        while at - times[first] >= 1.0:
            first += 1
        best = max(best, (last - first + 1, times[first]))
    return best


def play(record):
    fleet = f.Fleet(record)
    callers = None
    try:
        fleet.start()
        operator = f.Operator(fleet, record)
        fleet.publish(operator, f.manifest(1, [f.route(8080, "desk")],
                                           ["desk"]))
        own = []
        for i in range(HOSTS):
            own.append(f.Host(fleet, record, "desk", "z1",
                              fleet.ip(100 + i)).start())
            f.Host(fleet, record, "desk", "z2", fleet.ip(110 + i)).start()
            time.sleep(f.HEARTBEAT_S / HOSTS)  # Their reports are spread.
        fleet.wait_ready()
        time.sleep(2)
        callers = Callers(fleet, fleet.ip(200), fleet.entries[0])
        time.sleep(3)
        status, _ = operator.order("POST", "/evacuations/z1")
        if status != 200:
            raise f.CannotRun("the evacuation wasn't acknowledged")
        time.sleep(EVACUATED_S)
        # The hosts have become cold shortly before the zone is taken back.
        cold_at = time.monotonic()
        for host in own:
            host.cold_until = cold_at + f.COLD_START_S
        record.write("the hosts of z1 become cold for "
                     f"{f.COLD_START_S:.1f} s")
        status, _ = operator.order("DELETE", "/evacuations/z1")
        if status != 200:
            raise f.CannotRun("taking the zone back wasn't acknowledged")
        if f.trouble():
            for node in fleet.controls:
                node.signal(signal.SIGKILL)
            for node in fleet.controls:
                node.process.wait()
            record.write("all core processes were killed")
            time.sleep(DOWN_S)
            for node in fleet.controls:
                node.start()
            record.write("all core processes were started again")
        time.sleep(f.COLD_START_S + 4)
        callers.stop()
        record.write(f"callers: {callers.counts}")
        broken = False
        for host in own:
            cold = [at for at, _ in host.opened
                    if cold_at <= at < cold_at + f.COLD_START_S]
            count, at = most_in_a_second(cold)
            reported = [t for t in host.confirmed if t >= cold_at]
            record.write(
                f"host {host.id} (z1): cold, it got at most {count} opening "
                f"packets in a second (limit {LIMIT:g}), from "
                f"{at - cold_at if count else 0:.2f} s after it became cold; "
                f"its first report since was confirmed "
                f"{reported[0] - cold_at:.2f} s after that")
            broken = broken or count > LIMIT
        return broken
    finally:
        if callers is not None:
            callers.stop()
        fleet.stop()


if __name__ == "__main__":
    sys.exit(f.run_case(HERE, play))
