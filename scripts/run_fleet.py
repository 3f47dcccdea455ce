#!/usr/bin/env python3
"""Starts a platform, upstreams and daemons on loopback, runs jvbench against them, and ends them by pid.

Exit code 0: every call and sample was accounted for, and every daemon stopped gracefully.
"""

import argparse
import hashlib
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

START_LIMIT_S = 30
READY_LIMIT_S = 30
STOP_LIMIT_S = 60
DAEMON_ROLES = ("gate", "rollout", "fleet")

DEPLOYMENTS = {
    "misr": {
        "zones": ["delta-a", "delta-b", "delta-c"],
        "model": "assessment",
        "service": "quotation",
    },
    "namibia": {
        "zones": ["windhoek-a", "windhoek-b", "windhoek-c"],
        "model": "clerk-assistant",
        "service": "payment-confirmation",
    },
}


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def fetch(address, path, body=None):
    """Returns the status and the JSON body of one HTTP call."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data)
    try:
        with urllib.request.urlopen(request, timeout=10) as answer:
            return answer.status, json.loads(answer.read() or b"null")
    except urllib.error.HTTPError as problem:
        return problem.code, None
    except OSError:
        return 0, None


class Process:
    """One started process; ends by its own pid only."""

    def __init__(self, name, role, zone, command, folder):
        self.name, self.role, self.zone = name, role, zone
        self.output = folder / f"{name}.out"
        with self.output.open("wb") as output:
            self.child = subprocess.Popen(command, stdout=output, stderr=subprocess.STDOUT)
        self.addresses = self._wait_for_addresses()
        self.incarnation = self.addresses.get("incarnation")
        if role in DAEMON_ROLES:
            self.incarnation = fetch(self.http, "/v1/status")[1]["incarnation"]

    def _wait_for_addresses(self):
        end = time.monotonic() + START_LIMIT_S
        while time.monotonic() < end and self.child.poll() is None:
            for line in self.output.read_text().splitlines():
                if '"listening"' in line and line.endswith("}"):
                    return json.loads(line)
            time.sleep(0.01)
        raise RuntimeError(f"{self.name} did not start: {self.output.read_text()[-500:]}")

    @property
    def http(self):
        return self.addresses["http"]

    def request_stop(self):
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGTERM)

    def wait(self):
        """Returns the exit code; a process that does not end is killed."""
        try:
            return self.child.wait(STOP_LIMIT_S)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()
            return None


class Fleet:
    """All processes of one deployment."""

    def __init__(self, deployment, options, folder):
        self.shape = DEPLOYMENTS[deployment]
        self.deployment, self.options, self.folder = deployment, options, folder
        self.processes = []

    def start(self):
        options = self.options
        self.platform = self._launch("platform", "platform", [])
        for i in range(options.engines):
            self._launch(f"engine-{i}", "engine", [
                "--platform", self.platform.http, "--model", self.shape["model"],
                "--token-ms", "4", "--slots", "16", "--straggler-one-in", "40",
                "--checks-fencing"])
        for i in range(options.services):
            self._launch(f"service-{i}", "service", ["--service-ms", "20", "--workers", "16"])
        for i in range(options.scorers):
            self._launch(f"scorer-{i}", "scorer", ["--service-ms", "10", "--workers", "32"])
        for role in DAEMON_ROLES:
            for i in range(options.daemons):
                self._launch(f"{role}-{i}", role, None)
        fetch(self.platform.addresses["control"], "/hosts", {"hosts": self._hosts()})

    def _launch(self, name, role, arguments):
        number = int(name.rpartition("-")[2]) if "-" in name else 0
        zone = self.shape["zones"][number % len(self.shape["zones"])]
        binary = f"jv{role}" if role in DAEMON_ROLES else f"standin_{role}"
        if arguments is None:
            arguments = ["--settings", str(self._write_settings(name, zone))]
        path = pathlib.Path(self.options.binaries) / binary
        process = Process(name, role, zone, [str(path), *arguments], self.folder)
        self.processes.append(process)
        return process

    def _write_settings(self, name, zone):
        settings = {
            "deployment": self.deployment,
            "host": name,
            "availabilityZone": zone,
            "httpAddress": "127.0.0.1:0",
            "peerAddress": "127.0.0.1:0",
            "platformAddress": self.platform.http,
            "seeds": [p.addresses["peer"] for p in self.of(*DAEMON_ROLES)][:3],
            "fleetKey": "key-of-the-demo-fleet",
            "operators": [{"name": "operator", "tokenSha256": sha256("token-of-the-operator")}],
            "trainers": [
                {"name": f"trainer-{i}", "tokenSha256": sha256(f"token-of-trainer-{i}")}
                for i in range(6)
            ],
            "balancerGraceMs": 200,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        return path

    def _hosts(self):
        return [
            {
                "host": p.name,
                "role": p.role,
                "service": self.shape["service"] if p.role == "service" else "",
                "http": p.http,
                "peer": p.addresses.get("peer", ""),
                "availabilityZone": p.zone,
                "incarnation": p.incarnation,
                "state": "live",
                "checksFencing": p.role == "engine",
            }
            for p in self.processes
            if p.role != "platform"
        ]

    def of(self, *roles):
        return [p for p in self.processes if p.role in roles]

    def wait_ready(self):
        """Returns the names of daemons that are not ready in time."""
        end = time.monotonic() + READY_LIMIT_S
        waiting = self.of(*DAEMON_ROLES)
        while waiting and time.monotonic() < end:
            waiting = [p for p in waiting if fetch(p.http, "/readyz")[0] != 200]
            time.sleep(0.1)
        return [p.name for p in waiting]

    def write_targets(self):
        targets = {
            "sets": [{
                "name": "main",
                "gates": [p.http for p in self.of("gate")],
                "rollouts": [p.http for p in self.of("rollout")],
                "services": [p.http for p in self.of("service")],
                "engines": [p.http for p in self.of("engine")],
                "runCounters": [p.addresses["control"] for p in self.of("service")],
                "processes": [
                    {"name": p.name, "pid": p.child.pid, "http": p.http}
                    for p in self.of(*DAEMON_ROLES)
                ],
            }]
        }
        path = self.folder / "targets.json"
        path.write_text(json.dumps(targets, indent=2))
        return path

    def stop(self):
        """Stops daemons first, then the rest. Returns the names of daemons that did not stop gracefully."""
        daemons = self.of(*DAEMON_ROLES)
        for process in daemons:
            process.request_stop()
        ungraceful = []
        for process in daemons:
            code = process.wait()
            if code != 0:
                ungraceful.append(f"{process.name} (exit code {code})")
                print(process.output.read_text()[-2000:], flush=True)
        for process in self.processes:
            process.request_stop()
        for process in self.processes:
            process.wait()
        return ungraceful


def run_one(deployment, experiment, options, reports):
    """Returns the faults of one run, as sentences."""
    with tempfile.TemporaryDirectory(prefix="jacinthvale-") as name:
        fleet = Fleet(deployment, options, pathlib.Path(name))
        try:
            print(f"== {deployment}: starting", flush=True)
            fleet.start()
            late = fleet.wait_ready()
            if late:
                return [f"not ready: {', '.join(late)}"]
            # One period of the daemons' looks at hosts and upstreams.
            time.sleep(options.settle)
            print(f"== {deployment}: {len(fleet.processes)} processes ready, running {experiment}", flush=True)
            report = reports / f"{pathlib.Path(experiment).stem}.json"
            bench = subprocess.run([
                str(pathlib.Path(options.binaries) / "jvbench"), "--experiment", experiment,
                "--targets", str(fleet.write_targets()), "--report", str(report)], check=False)
            faults = [] if bench.returncode == 0 else [f"jvbench ended with {bench.returncode}"]
            print(f"== {deployment}: report in {report}", flush=True)
        finally:
            ungraceful = fleet.stop()
        if ungraceful:
            faults.append(f"no graceful stop: {', '.join(ungraceful)}")
        return faults


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", default="build/release")
    parser.add_argument("--reports", default="build/reports")
    parser.add_argument("--run", nargs=2, action="append", required=True,
                        metavar=("DEPLOYMENT", "EXPERIMENT"))
    parser.add_argument("--engines", type=int, default=10)
    parser.add_argument("--services", type=int, default=3)
    parser.add_argument("--scorers", type=int, default=2)
    parser.add_argument("--daemons", type=int, default=3, help="of each role")
    parser.add_argument("--settle", type=float, default=3, help="seconds between ready and load")
    return parser.parse_args()


def main():
    options = parse_options()
    reports = pathlib.Path(options.reports)
    reports.mkdir(parents=True, exist_ok=True)
    failed = False
    for deployment, experiment in options.run:
        for fault in run_one(deployment, experiment, options, reports):
            print(f"{deployment}: FAILED: {fault}", flush=True)
            failed = True
    print("demo: " + ("NOT everything is accounted for" if failed else "everything is accounted for"))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
