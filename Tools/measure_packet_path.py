"""Compares the packet rate through an instance with that of a direct target.

Starts one instance and one target on loopback, runs the load generator and
prints its table and the instance's memory per open flow.
Usage: Tools/measure_packet_path.py [seconds per step] [flows]
"""
import json
import pathlib
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = ROOT / "build" / "bin"
# First of four consecutive ports.
PORT = 24000
TICKET = {
    "number": 1,
    "classes": [{"name": "browse", "price": 1}],
    "services": [{"name": "catalogue", "classes": ["browse"],
                  "flow_idle_s": 3600}],
    "data_centres": [{"name": "east", "out": False}],
}


def resident_kb(process):
    """Resident memory of the process, in KiB."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    line = next(l for l in status.splitlines() if l.startswith("VmRSS"))
    return int(line.split()[1])


def main():
    step_s = sys.argv[1] if len(sys.argv) > 1 else "5"
    flows = sys.argv[2] if len(sys.argv) > 2 else "100000"
    with tempfile.TemporaryDirectory() as folder_name:
        folder = pathlib.Path(folder_name)
        token = folder / "token"
        token.touch(mode=0o600)
        token.write_text("measure-packet-path")
        settings = {
            "deployment": "measure", "instance": "one",
            "caller_address": f"127.0.0.1:{PORT}",
            "target_address": f"127.0.0.1:{PORT + 1}",
            "admin_address": f"127.0.0.1:{PORT + 2}",
            "admin_token_file": str(token),
            "data_folder": str(folder / "data"),
            "log_folder": str(folder / "log"),
            "instances": [{"name": "one", "data_centre": "east",
                           "peer_address": f"127.0.0.1:{PORT + 3}",
                           "replica": True}],
        }
        (folder / "settings.json").write_text(json.dumps(settings))
        (folder / "ticket.json").write_text(json.dumps(TICKET))
        processes = [subprocess.Popen(
            [BIN / "lavendertackd", f"--settings={folder}/settings.json"])]
        try:
            time.sleep(1)
            subprocess.run(
                [BIN / "lavendertackctl", f"--admin=127.0.0.1:{PORT + 2}",
                 f"--token_file={token}", "ticket", "submit",
                 folder / "ticket.json"], check=True)
            processes.append(subprocess.Popen(
                [BIN / "standin", "--mode=target", "--name=host-1",
                 "--service=catalogue", f"--connect=127.0.0.1:{PORT + 1}",
                 "--slots=1000", "--connections=1000000"]))
            time.sleep(3)
            before_kb = resident_kb(processes[0])
            result = subprocess.run(
                [BIN / "standin", "--mode=load", "--service=catalogue",
                 f"--instances=127.0.0.1:{PORT}", f"--seconds={step_s}",
                 f"--load_flows={flows}"],
                capture_output=True, text=True, check=True)
            print(result.stdout, end="")
            opened = int(result.stdout.rsplit(" ", 1)[1])
            growth_bytes = (resident_kb(processes[0]) - before_kb) * 1024
            print(f"memory: {growth_bytes / max(1, opened):.0f} bytes "
                  "for each open flow")
        finally:
            for process in processes:
                process.terminate()
            for process in processes:
                process.wait(15)


if __name__ == "__main__":
    main()
