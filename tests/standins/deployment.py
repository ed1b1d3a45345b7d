"""Runs a whole deployment on loopback: entry hosts, targets and workers.

Each entry host, target and worker is a process with its own address in
127.0.0.0/8, so that parallel runs don't collide. Tests wait for conditions, not
for a fixed time.
"""

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

RELAY = Path(__file__).parent / "relay.py"


class Programs:
    """Paths of the programs in the build folder, which use_build sets."""


def use_build(folder):
    build = Path(folder).resolve()
    Programs.daemon = build / "src/bramleypath/daemon/bramleypathd"
    Programs.target = build / "tests/standins/standin_target"
    Programs.worker = build / "tests/standins/standin_worker"
    Programs.cli = build / "src/bramleypath/cli/bramleypath"
    Programs.node = build / "platform/bramleypath-node"


use_build(os.environ.get("BRAMLEYPATH_BUILD", "build"))

# Longer than any condition needs, since other tests may keep the machine busy.
DEADLINE_S = 30.0


class Failed(Exception):
    """A condition was not met in time, or a guarantee is broken."""


def wait_for(what, condition, deadline_s=DEADLINE_S, interval_s=0.02):
    """Calls condition until it returns a true value, and returns that value.

    Network and parse errors count as false. Raises Failed after deadline_s."""
    end = time.monotonic() + deadline_s
    last = None
    while True:
        try:
            value = condition()
            if value:
                return value
        except (OSError, http.client.HTTPException, ValueError, KeyError) as error:
            last = error
        if time.monotonic() > end:
            raise Failed(f"waited {deadline_s} s for: {what}"
                         + (f" (last error: {last!r})" if last else ""))
        time.sleep(interval_s)


ALLOCATED_PORTS = set()


def free_port(ip):
    """Returns a free port of the address, and each port only once: the kernel
    may offer a port again before the process that got it has opened it."""
    while True:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((ip, 0))
            port = probe.getsockname()[1]
        if (ip, port) not in ALLOCATED_PORTS:
            ALLOCATED_PORTS.add((ip, port))
            return port


def request(address, method, path, body=None, headers=None, timeout_s=10.0):
    """Sends one HTTP request. Returns the status, the headers with names in
    lower case, and the body."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        data = json.dumps(body) if isinstance(body, (dict, list)) else body
        connection.request(method, path, body=data, headers=headers or {})
        response = connection.getresponse()
        content = response.read()
        return (response.status,
                {name.lower(): value for name, value in response.getheaders()},
                content)
    finally:
        connection.close()


def read_ledger(path):
    """Returns the entries of a ledger, except a line truncated by SIGKILL."""
    entries = []
    if not path.exists():
        return entries
    for line in path.read_bytes().split(b"\n"):
        if line.endswith(b"}"):
            entries.append(json.loads(line))
    return entries


class Process:
    """A child process whose output is written to a file."""

    # Environment variables that are added to those of the test.
    extra_environment = {}

    def __init__(self, name, command, log):
        self.name = name
        self.command = [str(part) for part in command]
        self.log = log
        self.child = None

    def start(self):
        with open(self.log, "ab") as out:
            self.child = subprocess.Popen(self.command, stdout=out, stderr=out,
                                          stdin=subprocess.DEVNULL,
                                          env={**os.environ,
                                               **self.extra_environment})

    def signal(self, number):
        self.child.send_signal(number)

    def running(self):
        return self.child is not None and self.child.poll() is None

    def kill(self):
        if self.running():
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        if self.child is not None:
            self.child.wait()

    def wait(self, deadline_s=DEADLINE_S):
        try:
            return self.child.wait(deadline_s)
        except subprocess.TimeoutExpired:
            raise Failed(f"{self.name} did not end within {deadline_s} s") from None


class EntryHost(Process):
    def __init__(self, deployment, name, data_centre, ip, has_disk=True):
        self.deployment = deployment
        self.data_centre = data_centre
        self.ip = ip
        self.has_disk = has_disk
        self.callers, self.targets, self.peers, self.operators = (
            f"{ip}:{free_port(ip)}" for _ in range(4))
        self.folder = deployment.folder / name
        self.data_folder = self.folder / "data"
        self.folder.mkdir()
        self.settings_file = self.folder / "settings.json"
        # Relay addresses by peer name, for the peers that this host connects to
        # through a relay.
        self.peer_overrides = {}
        self.log_file = self.folder / "log"
        super().__init__(name, [], self.folder / "output")

    def write_settings(self):
        deployment = self.deployment
        self.settings_file.write_text(json.dumps({
            "host": self.name,
            "data_centre": self.data_centre,
            "has_disk": self.has_disk,
            "data_folder": str(self.data_folder) if self.has_disk else "",
            "listeners": {"callers": {"address": self.callers},
                          "targets": {"address": self.targets},
                          "peers": {"address": self.peers},
                          "operators": {"address": self.operators}},
            "entry_hosts": [
                {"host": host.name, "data_centre": host.data_centre,
                 "peer_address": self.peer_overrides.get(host.name, host.peers),
                 "has_disk": host.has_disk}
                for host in deployment.known_hosts],
            "configuration_voters": deployment.configuration_voters,
            "cells": deployment.cells,
            "timings": {"load_balancer_delay_ms": deployment.balancer_delay_ms,
                        "drain_deadline_ms": deployment.drain_deadline_ms},
            "logging": {"level": deployment.log_level, "file": str(self.log_file)},
        }))

    def start(self, bootstrap=False):
        self.write_settings()
        self.command = [str(Programs.daemon), "--settings", str(self.settings_file)]
        if bootstrap and self.has_disk:
            self.command.append("--bootstrap")
        super().start()

    def get(self, path, timeout_s=10.0):
        status, _, body = request(self.operators, "GET", path,
                                  timeout_s=timeout_s)
        return status, json.loads(body)

    def post(self, path, body, timeout_s=10.0):
        status, _, content = request(self.operators, "POST", path, body,
                                     timeout_s=timeout_s)
        return status, json.loads(content)

    def status(self):
        return self.get("/v1/ops/status")[1]

    def is_ready(self):
        try:
            return request(self.callers, "GET", "/health/ready")[0] == 200
        except OSError:
            return False

    def configuration_entry(self):
        return {"name": self.name, "data_centre": self.data_centre,
                "has_disk": self.has_disk,
                "addresses": {"callers": self.callers, "targets": self.targets,
                              "peers": self.peers, "operators": self.operators}}


class Deployment:
    """Entry hosts of several data centres with their targets and workers."""

    def __init__(self, data_centres, config_voters=None, cells=None,
                 balancer_delay_ms=300, drain_deadline_ms=10000, keep=None,
                 diskless=()):
        """data_centres maps each name to its number of entry hosts."""
        keep = keep or os.environ.get("BRAMLEYPATH_KEEP")
        self.folder = Path(tempfile.mkdtemp(prefix="bramleypath-"))
        self.keep = bool(keep)
        self.network = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        self.next_ip = 10
        self.balancer_delay_ms = balancer_delay_ms
        self.drain_deadline_ms = drain_deadline_ms
        self.log_level = "debug"
        self.hosts = {}
        self.targets = {}
        self.workers = {}
        self.other_processes = []
        self.request_number = 0
        self.lock = threading.Lock()
        for data_centre, count in data_centres.items():
            for number in range(1, count + 1):
                name = f"{data_centre}-{number}"
                self.add_host(name, data_centre, name not in diskless)
        self.known_hosts = list(self.hosts.values())
        self.configuration_voters = config_voters or self.default_voters()
        self.cells = cells or self.default_cells()

    def new_ip(self):
        with self.lock:
            self.next_ip += 1
            return f"{self.network}.{self.next_ip}"

    def add_host(self, name, data_centre, has_disk=True):
        host = EntryHost(self, name, data_centre, self.new_ip(), has_disk)
        self.hosts[name] = host
        return host

    def in_data_centre(self, data_centre):
        return [host for host in self.hosts.values()
                if host.data_centre == data_centre]

    def data_centres(self):
        return sorted({host.data_centre for host in self.hosts.values()})

    def with_disk(self, data_centre):
        return [host for host in self.in_data_centre(data_centre)
                if host.has_disk]

    def default_voters(self):
        voters = []
        for number in range(3):
            for data_centre in self.data_centres():
                local = self.with_disk(data_centre)
                if number < len(local) and len(voters) < 5:
                    voters.append(local[number].name)
        return voters if len(voters) % 2 else voters[:-1]

    def default_cells(self):
        cells = []
        names = self.data_centres()
        for index, data_centre in enumerate(names):
            local = [host.name for host in self.with_disk(data_centre)]
            cell = {"data_centre": data_centre, "voters": local}
            if len(local) == 2 and len(names) > 1:
                other = names[(index + 1) % len(names)]
                cell["witnesses"] = [self.with_disk(other)[0].name]
            cells.append(cell)
        return cells

    # Starting and stopping the deployment.

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        self.kill_all()
        if kind is not None:
            print(f"failed; files are in {self.folder}", file=sys.stderr)
            self.print_logs()
        elif not self.keep:
            subprocess.run(["rm", "-rf", str(self.folder)], check=False)

    def print_logs(self):
        for host in self.hosts.values():
            for file in (host.log, host.log_file):
                if file.exists():
                    lines = file.read_text(errors="replace").splitlines()
                    print(f"--- {host.name} {file.name}: last of {len(lines)} lines",
                          file=sys.stderr)
                    print("\n".join(lines[-15:]), file=sys.stderr)

    def kill_all(self):
        for process in [*self.hosts.values(), *self.targets.values(),
                        *self.workers.values(), *self.other_processes]:
            process.kill()

    def start_hosts(self, bootstrap=True):
        for host in self.hosts.values():
            host.start(bootstrap)
        for host in self.hosts.values():
            wait_for(f"{host.name} answers operators",
                     lambda host=host: host.status())

    def wait_ready(self, names=None):
        for host in self.hosts.values():
            if host.running() and (names is None or host.name in names):
                wait_for(f"{host.name} is ready", host.is_ready)

    def any_host(self):
        return next(host for host in self.hosts.values() if host.running())

    # Requests of operators.

    def new_request_id(self):
        with self.lock:
            self.request_number += 1
            return f"op-{self.request_number}"

    def version(self, host=None):
        return (host or self.any_host()).status()["config"]["version"]

    def change(self, change, host=None, version=None, request_id=None):
        """Sends a change, and resends it with the same id until it gets a status
        other than 503."""
        request_id = request_id or self.new_request_id()
        host = host or self.any_host()
        if version is None:
            version = self.version(host)

        def attempt():
            status, body = host.post("/v1/ops/config", {
                "request_id": request_id, "expected_version": version,
                "change": change})
            if status == 503:
                return None
            return status, body
        return wait_for(f"an answer to {change['kind']}", attempt,
                        interval_s=0.2)

    def must_change(self, change, host=None):
        status, body = self.change(change, host)
        if status != 200:
            raise Failed(f"change {change['kind']} refused: {status} {body}")
        return body["version"]

    def wait_in_force(self, version, deadline_s=DEADLINE_S):
        """Waits until all running hosts have this version or a later one in
        force."""
        for host in self.hosts.values():
            if host.running():
                wait_for(f"version {version} in force on {host.name}",
                         lambda host=host: self.version(host) >= version,
                         deadline_s)

    def configure(self, services, classes, members, presets):
        names = self.data_centres()
        version = self.must_change({
            "kind": "replace",
            "configuration": {
                "services": services, "classes": classes, "members": members,
                "presets": presets, "preset_in_force": presets[0]["name"],
                "hosts": [host.configuration_entry()
                          for host in self.hosts.values()],
                "drained_targets": [],
                "key_owners": {"current": names}}})
        self.wait_in_force(version)
        return version

    def configure_default(self):
        return self.configure(
            services=[{"name": "ledger", "slots_per_target": 8,
                       "connections_per_target": 60}],
            classes=[{"name": "check", "service": "ledger",
                      "expected_service_ms": 10, "idempotent_default": True},
                     {"name": "recon", "service": "ledger",
                      "expected_service_ms": 100, "idempotent_default": False},
                     {"name": "batch", "expected_service_ms": 300}],
            members=[{"name": "leith-assay", "weight": 10, "quota": {"processors_milli": 10000000, "memory_mb": 10000000}},
                     {"name": "dundee-assay", "weight": 10, "quota": {"processors_milli": 10000000, "memory_mb": 10000000}}],
            presets=[{"name": name, "weights": {"tail_latency": 3, "evictions": 5,
                                                "throughput": 4}}
                     for name in ("ordinary", "peak", "maintenance")])

    # Targets, workers and jobs.

    def add_target(self, name, data_centre, service="ledger",
                   member="leith-assay", slots=8, times="check=5,recon=20"):
        entries = ",".join(host.targets for host in
                           self.in_data_centre(data_centre))
        ip = self.new_ip()
        target = Process(name, [Programs.target, "--name", name, "--service", service,
                                "--member", member, "--address",
                                f"{ip}:{free_port(ip)}", "--entries", entries,
                                "--slots", slots, "--times", times, "--ledger",
                                self.folder / f"{name}.ledger"],
                         self.folder / f"{name}.output")
        target.ledger = self.folder / f"{name}.ledger"
        target.data_centre = data_centre
        target.start()
        self.targets[name] = target
        return target

    def add_worker(self, name, data_centre, rack="r1", processors=8000,
                   memory=16000, run_ms=200, fail=0, announce_ms=500):
        entries = ",".join(host.targets for host in
                           self.in_data_centre(data_centre))
        ip = self.new_ip()
        worker = Process(name, [Programs.worker, "--name", name, "--address",
                                f"{ip}:{free_port(ip)}", "--entries", entries,
                                "--rack", rack, "--processors", processors,
                                "--memory", memory, "--run-ms", run_ms,
                                "--fail", fail, "--announce-ms", announce_ms,
                                "--ledger",
                                self.folder / f"{name}.ledger"],
                         self.folder / f"{name}.output")
        worker.ledger = self.folder / f"{name}.ledger"
        worker.processors = processors
        worker.memory = memory
        worker.data_centre = data_centre
        worker.start()
        self.workers[name] = worker
        return worker

    def submit(self, job, data_centre, host=None, tasks=1, processors=1000,
               memory=1000, member="leith-assay", request_id=None, **more):
        host = host or self.any_host()
        body = {"request_id": request_id or self.new_request_id(),
                "data_centre": data_centre,
                "job": {"job": job, "member": member, "class": "batch",
                        "tasks": tasks, "processors_milli": processors,
                        "memory_mb": memory, **more}}

        def attempt():
            status, answer = host.post("/v1/ops/jobs", body)
            return None if status == 503 else (status, answer)
        return wait_for(f"an answer to job {job}", attempt, interval_s=0.1)

    def jobs(self, data_centre, host=None):
        host = host or self.any_host()
        status, body = host.get(f"/v1/ops/jobs?data_centre={data_centre}")
        if status != 200:
            raise ValueError(f"status {status}")
        return {job["job"]: job for job in body["jobs"]}

    def leader_of(self, group):
        """Returns a host that reports that it leads the group, or None."""
        for host in self.hosts.values():
            if not host.running():
                continue
            try:
                groups = host.status()["groups"]
            except (OSError, ValueError, http.client.HTTPException):
                continue
            for row in groups:
                if row["group"] == group and row["role"] == "leader":
                    return host
        return None

    def wait_leader(self, group, other_than=None):
        def found():
            leader = self.leader_of(group)
            return leader if leader and leader is not other_than else None
        return wait_for(f"a leader of {group}", found)

    def wait_target_seen(self, name, hosts=None):
        target = self.targets[name]
        for host in hosts or self.in_data_centre(target.data_centre):
            wait_for(f"{host.name} lists target {name} as serving",
                     lambda host=host: any(
                         entry["target"] == name and entry["state"] == "Serving"
                         for entry in host.get("/v1/ops/targets")[1]["targets"]))
