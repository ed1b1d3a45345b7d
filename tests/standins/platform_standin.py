"""Stand-ins of the platform for bramleypath-node: its settings, an operator,
a client and workers that obey the published protocol. Workers run as threads of
the test and share a ledger, which notes each breach as it happens."""

import http.client
import json
import shutil
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from deployment import Process, Programs
from link import Link

MAX_LEASE_MS = 6000
HEARTBEAT_S = 0.5
MAX_JOB_BYTES = 20000


class Ledger:
    """What ran where, over all workers."""

    def __init__(self):
        self.lock = threading.Lock()
        self.running = {}  # task -> worker
        self.done = {}  # task -> number of ends "done"
        self.starts = 0
        self.breaches = []

    def start(self, task, worker):
        with self.lock:
            self.starts += 1
            if task in self.running:
                self.breaches.append(
                    f"{task} runs on {self.running[task]} and {worker}")
            if task in self.done:
                self.breaches.append(f"{task} starts after it was done")
            self.running[task] = worker

    def end(self, task, how):
        with self.lock:
            self.running.pop(task, None)
            if how == "done":
                self.done[task] = self.done.get(task, 0) + 1

    def forget(self, tasks):
        """Their worker is gone, and nobody has heard of their ends."""
        with self.lock:
            for task in tasks:
                self.running.pop(task, None)
                self.done.pop(task, None)


class Worker:
    """One worker: runs tasks for a fixed time under a lease."""

    def __init__(self, name, ip, controls, ledger, run_s=0.4):
        self.name, self.ip, self.controls = name, ip, controls
        self.ledger, self.run_s = ledger, run_s
        self.lock = threading.Condition()
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.epoch, self.until_ms, self.last_end = 0, 0, 0
        self.running, self.refused, self.ended = {}, {}, []
        self.stopped = False
        worker = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):
                length = int(self.headers.get("Content-Length", 0))
                body = json.loads(self.rfile.read(length))
                if worker.stopped:
                    self.close_connection = True
                    return
                status, answer = worker.handle(self.path, body)
                answer.update(clockMs=worker.clock_ms(), born=worker.born)
                data = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def log_message(self, *_):
                pass

        self.server = ThreadingHTTPServer((ip, 0), Handler)
        self.server.daemon_threads = True
        self.link = Link(ip, f"{ip}:{self.server.server_address[1]}")
        self.address = self.link.address
        for target in (self.server.serve_forever, self.beat, self.work):
            threading.Thread(target=target, daemon=True).start()

    def restart(self):
        """Comes back under its id and knows nothing of before."""
        with self.lock:
            self.ledger.forget(self.running)
            self.ledger.forget(row[1] for row in self.ended
                               if row[3] == "done")
            self.born = int(time.time() * 1000)
            self.began = time.monotonic()
            self.epoch, self.until_ms, self.last_end = 0, 0, 0
            self.running, self.refused, self.ended = {}, {}, []
            self.lock.notify_all()

    def die(self):
        """Answers and announces nothing any more."""
        self.stopped = True
        self.link.stop()
        self.server.shutdown()
        self.server.server_close()

    def clock_ms(self):
        return 1 + int((time.monotonic() - self.began) * 1000)

    def end(self, task, how):
        run = self.running.pop(task)[0]
        self.last_end += 1
        self.ended.append([self.last_end, task, run, how, ""])
        self.refused[task] = max(run, self.refused.get(task, 0))
        self.ledger.end(task, how)
        self.lock.notify_all()

    def work(self):
        while not self.stopped:
            with self.lock:
                now = self.clock_ms()
                for task, (_, ends_ms) in list(self.running.items()):
                    if now >= self.until_ms:
                        self.end(task, "lapsed")
                    elif now >= ends_ms:
                        self.end(task, "done")
            time.sleep(0.01)

    def beat(self):
        sequence = 0
        while not self.stopped:
            sequence += 1
            body = {"service": "ledger", "address": self.address, "zone": "a",
                    "version": "v1", "slots": 8, "state": "ready",
                    "capacity": {"cpu": 8000, "memoryRequestMb": 8000,
                                 "gpu": 0},
                    "labels": ["a", "r1"], "clockMs": self.clock_ms(),
                    "sequence": sequence, "born": self.born}
            call_control(self.controls, "POST",
                         f"/-/Instances.Heartbeat/{self.name}", body)
            time.sleep(HEARTBEAT_S)

    def handle(self, path, body):
        with self.lock:
            if body["fencingToken"] < self.epoch:
                return 409, {"reason": "fence"}
            self.epoch = body["fencingToken"]
            if path == "/-/run-start":
                return self.start(body)
            if path == "/-/run-stop":
                task, run = body["task"], body["run"]
                if task in self.running and self.running[task][0] <= run:
                    self.end(task, "stopped")
                self.refused[task] = max(run, self.refused.get(task, 0))
                return 200, {}
            if path == "/-/hold":
                return self.hold(body)
            return 200, {}

    def start(self, body):
        task, run = body["task"], body["run"]
        if body["untilMs"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self.until_ms = max(self.until_ms, body["untilMs"])
        if task in self.running:
            same = self.running[task][0] == run
            return (200, {}) if same else (409, {"reason": "old"})
        if run <= self.refused.get(task, 0):
            return 409, {"reason": "old"}
        self.running[task] = (run, self.clock_ms() + int(self.run_s * 1000))
        self.ledger.start(task, self.name)
        return 200, {}

    def hold(self, body):
        self.until_ms = max(self.until_ms, body.get("untilMs", 0))
        self.ended = [row for row in self.ended if row[0] > body["lastSeen"]]
        if not self.ended:
            self.lock.wait(body.get("waitMs", 0) / 1000)
        now = self.clock_ms()
        rows = [[task, run, "", max(0, min(99, 100 - (ends - now) // 10)), 0]
                for task, (run, ends) in self.running.items()]
        return 200, {"running": rows, "ended": list(self.ended)}


def call(address, method, path, body=None, host=None, timeout_s=2.5):
    """Status and JSON body; (0, None) without an answer."""
    ip, port = address.split(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=timeout_s)
    try:
        headers = {"Content-Type": "application/json", "Deadline-Ms": "2500"}
        if host:
            headers["Host"] = host
        data = json.dumps(body) if body is not None else None
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        text = response.read()
        location = response.getheader("Location")
        if response.status == 307 and location:
            return call(location.split("/")[2], method, path, body, host,
                        timeout_s)
        return response.status, json.loads(text) if text else None
    except (OSError, ValueError, http.client.HTTPException):
        return 0, None
    finally:
        connection.close()


def call_control(controls, method, path, body=None):
    """The first clear answer of any host of the control plane."""
    for address in controls:
        status, answer = call(address, method, path, body, timeout_s=0.8)
        if status and status < 500:
            return status, answer
    return 0, None


def layout(version):
    return {"version": version,
            "routes": [{"name": "r", "host": "a.example",
                        "pathPrefix": "/jobs/", "kind": "non_idempotent",
                        "timeoutMs": 3000, "targetDurationMs": 1000,
                        "priority": 0, "service": "ledger", "maxAttempts": 4,
                        "stretch": 20.0}],
            "services": [{"name": "ledger"}], "limits": {"maxBodyBytes": MAX_JOB_BYTES}}


class Node(Process):
    """One bramleypath-node with its settings."""

    def __init__(self, folder, role, name, ip, seeds, ports):
        self.folder, self.role, self.ip = folder, role, ip
        self.control = f"{ip}:{ports['control']}"
        self.frontend = f"{ip}:{ports['front']}"
        self.readiness = f"{ip}:{ports['ready']}"
        settings = {"host": name, "address": ip, "data_centre": "a",
                    "bootstrap": True, "seeds": seeds,
                    "peer_port": ports["peer"], "tolerated_hosts": 1,
                    "announce_interval_ms": int(HEARTBEAT_S * 1000),
                    "max_lease_ms": MAX_LEASE_MS,
                    "shutdown_limit_s": 6, "far_factor": 1.5}
        if role == "front":
            settings.update(frontend=self.frontend, readiness=self.readiness)
        else:
            settings.update(control=self.control,
                            data_folder=str(folder / name))
        self.path = folder / f"{name}.json"
        self.path.write_text(json.dumps(settings))
        super().__init__(name, [Programs.node, role], folder / f"{name}.log")
        self.variables = {"BRAMLEYPATH_SETTINGS": str(self.path)}

    def lose_disk(self):
        """Ends the process and starts it again on an empty disk."""
        self.kill()
        settings = json.loads(self.path.read_text())
        shutil.rmtree(settings["data_folder"])
        settings["bootstrap"] = False
        self.path.write_text(json.dumps(settings))
        self.start()

    def is_leader(self):
        status, view = call(self.control, "GET", "/internal/group",
                            timeout_s=0.5)
        return status == 200 and view["leader"] == self.ip
