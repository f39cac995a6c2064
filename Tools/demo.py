"""Runs a deployment as separate processes and checks the outcomes."""
import json
import pathlib
import secrets
import shutil
import signal
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = ROOT / "build" / "bin"
CROWD_S = 24
TAKEN_OUT_WITHIN_S = 3.0
# service, class, flows, repeatable, think time in ms
MIXES = {
    "sandukuni": [
        ("catalogue", "browse", 120, 1, 1500),
        ("catalogue", "hold", 40, 0, 1500),
        ("guides", "guide", 20, 1, 2500),
    ],
    "mwakilema": [
        ("waivers", "queue", 120, 1, 1500),
        ("waivers", "signature", 40, 0, 1500),
        ("packs", "pack", 20, 1, 2500),
    ],
}
# service, hosts, mean ms of a request, bytes of an answer
HOSTS = {
    "sandukuni": [("catalogue", 14, 25, 400), ("guides", 4, 60, 20000)],
    "mwakilema": [("waivers", 14, 25, 400), ("packs", 4, 60, 20000)],
}


class Deployment:
    """The processes of one deployment, and what they wrote."""

    def __init__(self, name):
        self.name = name
        self.run = ROOT / "build" / "demo" / name
        shutil.rmtree(self.run, ignore_errors=True)
        self.run.mkdir(parents=True)
        self.token = self.run / "admin-token"
        self.token.touch(mode=0o600)
        self.token.write_text(secrets.token_urlsafe(24))
        self.settings = {}
        for path in sorted((ROOT / "Deployments" / name).glob("*-*[ab].json")):
            settings = json.loads(path.read_text())
            if "data_folder" in settings:
                settings["data_folder"] = str(self.run / settings["instance"])
            settings["admin_token_file"] = str(self.token)
            own = self.run / path.name
            own.write_text(json.dumps(settings))
            self.settings[settings["instance"]] = (own, settings)
        self.processes = {}
        self.targets = {}

    def start_instance(self, name):
        path, _ = self.settings[name]
        log = open(self.run / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [BIN / "lavendertackd", f"--settings={path}"],
            stderr=log, stdout=log)

    def start_targets(self):
        by_zone = {}
        for _, settings in self.settings.values():
            own = next(i for i in settings["instances"]
                       if i["name"] == settings["instance"])
            by_zone.setdefault(own["data_centre"], []).append(
                settings["target_address"])
        zones = sorted(by_zone)
        count = 0
        for service, hosts, mean_ms, size in HOSTS[self.name]:
            for i in range(hosts):
                zone = zones[count % len(zones)]
                count += 1
                name = f"{service}-{i:02}"
                journal = self.run / f"{name}.journal"
                process = subprocess.Popen([
                    BIN / "standin", "--mode=target", f"--name={name}",
                    f"--service={service}",
                    f"--connect={','.join(by_zone[zone])}",
                    f"--service_ms={mean_ms}", f"--body_bytes={size}",
                    f"--journal={journal}", "--cold_ms=500"])
                self.targets[name] = (process, zone, service, journal)

    def start_callers(self, seconds=CROWD_S):
        mix = ",".join("/".join(map(str, m)) for m in MIXES[self.name])
        addresses = ",".join(
            s["caller_address"] for _, s in self.settings.values())
        return subprocess.Popen(
            [BIN / "standin", "--mode=callers", f"--instances={addresses}",
             f"--mix={mix}", f"--seconds={seconds}"],
            stdout=subprocess.PIPE, text=True)

    def ctl(self, instance, *words):
        admin = self.settings[instance][1]["admin_address"]
        return subprocess.run(
            [BIN / "lavendertackctl", f"--admin={admin}",
             f"--token_file={self.token}", *words],
            capture_output=True, text=True, check=False)

    def stop(self):
        everything = [p for p, *_ in self.targets.values()]
        everything += self.processes.values()
        for process in everything:
            if process.poll() is None:
                process.terminate()
        for process in everything:
            try:
                process.wait(5)
            except subprocess.TimeoutExpired:
                process.kill()

    def journal(self, name):
        path = self.targets[name][3]
        if not path.exists():
            return []
        return [line.split() for line in path.read_text().splitlines()]


def replicas(deployment):
    _, settings = next(iter(deployment.settings.values()))
    return [i["name"] for i in settings["instances"] if i["replica"]]


def submit(deployment, instance, path):
    done = deployment.ctl(instance, "ticket", "submit", str(path))
    print(f"  ticket {path.name}: {done.stdout.strip() or done.stderr}")
    return done.returncode == 0


def run(deployment):
    """Runs the story; returns a list of what went wrong."""
    wrong = []
    for name in deployment.settings:
        deployment.start_instance(name)
    time.sleep(1.5)
    first = replicas(deployment)[0]
    ticket = ROOT / "Deployments" / deployment.name / "ticket-1.json"
    if not submit(deployment, first, ticket):
        wrong.append("the first ticket was not accepted")
    deployment.start_targets()
    time.sleep(2.0)
    callers = deployment.start_callers()
    time.sleep(5)

    names = list(deployment.settings)
    victim = names[3]
    print(f"  kill -9 {victim}")
    deployment.processes[victim].kill()
    deployment.processes[victim].wait()
    time.sleep(3)
    deployment.start_instance(victim)

    drained = next(iter(deployment.targets))
    print(f"  drain {drained}")
    deployment.targets[drained][0].send_signal(signal.SIGUSR1)
    time.sleep(3)

    zones = sorted({z for _, z, _, _ in deployment.targets.values()})
    zone = zones[-1]
    out = deployment.run / "ticket-2.json"
    out.write_text(json.dumps(
        {"number": 2, "data_centres": [{"name": zone, "out": True}]}))
    taken_out_ms = time.time() * 1000
    if not submit(deployment, replicas(deployment)[1], out):
        wrong.append("the second ticket was not accepted")
    time.sleep(6)
    back = deployment.run / "ticket-3.json"
    back.write_text(json.dumps(
        {"number": 3, "data_centres": [{"name": zone, "out": False}]}))
    back_ms = time.time() * 1000
    if not submit(deployment, replicas(deployment)[2], back):
        wrong.append("the third ticket was not accepted")
    summary = json.loads(callers.communicate(timeout=60)[0])
    deployment.stop()
    return wrong + judge(deployment, summary, zone, taken_out_ms, back_ms)


def judge(deployment, summary, zone, taken_out_ms, back_ms):
    wrong = []
    once, twice, wrong_service, last_packet = set(), 0, 0, taken_out_ms
    for name, (_, place, service, _) in deployment.targets.items():
        for line in deployment.journal(name):
            if line[1] == "end" and int(line[2].split("=")[1]) > 2:
                wrong.append(f"{name} had more than 2 requests at a time")
            if line[1] != "run":
                continue
            if line[2] != service:
                wrong_service += 1
            if line[5] == "once":
                key = (line[3], line[4])
                twice += key in once
                once.add(key)
            if place == zone and taken_out_ms < int(line[0]) < back_ms:
                last_packet = max(last_packet, int(line[0]))
    loads = {}
    for target, count in summary["served_by_target"].items():
        loads.setdefault(target.rsplit("-", 1)[0], []).append(count)
    for key, value in summary.items():
        if key != "served_by_target":
            print(f"  {key}: {value}")
    for service, counts in loads.items():
        mean = sum(counts) / len(counts)
        print(f"  imbalance of {service}: max/mean {max(counts) / mean:.2f} "
              f"over {len(counts)} targets")
    until_quiet = (last_packet - taken_out_ms) / 1000
    print(f"  requests at a wrong service: {wrong_service}")
    print(f"  non-repeatable requests run: {len(once)}, twice: {twice}")
    print(f"  last packet into {zone}: {until_quiet:.2f} s after the ticket")
    if summary["served"] < 1000:
        wrong.append("too few requests were served")
    if summary["wrong_answer"]:
        wrong.append("a caller got a wrong answer")
    if wrong_service:
        wrong.append("a request reached another service")
    if twice:
        wrong.append("a non-repeatable request ran twice")
    if until_quiet > TAKEN_OUT_WITHIN_S:
        wrong.append("the data centre got packets for too long")
    return wrong


def main():
    names = sys.argv[1:] or list(MIXES)
    failed = False
    for name in names:
        print(f"{name}:")
        deployment = Deployment(name)
        try:
            wrong = run(deployment)
        finally:
            deployment.stop()
        for what in wrong:
            print(f"  WRONG: {what}")
        failed = failed or bool(wrong)
    print("demo: FAILED" if failed else "demo: all outcomes right")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
