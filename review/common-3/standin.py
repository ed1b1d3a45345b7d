"""Stand-ins of the platform for the scripts in review/11 to review/15: minions,
a client and an operator that follow PROTOCOL.md, and the system's own processes
with the commands of deploy/system.toml. Everything listens on loopback
addresses. All that is sent, answered and run is written to record.txt."""

import http.client
import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
NODE = ROOT / "target" / "platform" / "bramleypath-node"

# The values of the small installations (SYSTEM.md).
MAX_HOLD_MS = 10000
STOP_MS = 400
GANG_MS = 3000
HEARTBEAT_MS = 1500
GRACE_S = 6
DRAIN_S = 2.0
HOST = "nony24.example"
SERVICE = "huvo11a"


class Record:
    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


def call(address, method, path, body=None, headers=None, timeout_s=2.5):
    """Sends one request. Returns (status, JSON body, headers), or (0, None, {})
    without an answer."""
    ip, port = address.split(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=timeout_s)
    try:
        data = body
        if body is not None and not isinstance(body, str):
            data = json.dumps(body, separators=(",", ":"))
        connection.request(method, path, data,
                           {"Content-Type": "application/json",
                            **(headers or {})})
        response = connection.getresponse()
        text = response.read()
        answer = json.loads(text) if text else None
        return response.status, answer, dict(response.getheaders())
    except (OSError, ValueError, http.client.HTTPException):
        return 0, None, {}
    finally:
        connection.close()


def call_control(controls, method, path, body=None, first=0):
    """Calls the controllers in turn and follows two redirects, as callers of
    control do. Returns the first answer below 500, or (0, None)."""
    for step in range(len(controls)):
        address = controls[(first + step) % len(controls)]
        for _ in range(3):
            status, answer, headers = call(address, method, path, body,
                                           timeout_s=1.0)
            if status != 307:
                break
            address = headers.get("Location", "").split("/")[2]
        if status and status < 500 and status not in (307, 408, 429):
            return status, answer
    return 0, None


class Gangs:
    """Which members of a run of a gang are present. Shared by all minions."""

    def __init__(self):
        self.lock = threading.RLock()
        self.runs = {}  # (stage, run) -> {"present": set, "complete": time}

    @staticmethod
    def key(task, run):
        return task.rsplit(".", 1)[0], run

    def enter(self, task, run, size):
        with self.lock:
            entry = self.runs.setdefault(
                self.key(task, run),
                {"present": set(), "complete": None, "broken": False})
            entry["present"].add(task)
            if len(entry["present"]) == size and entry["complete"] is None:
                entry["complete"] = time.monotonic()
            return entry

    def leave(self, task, run, how):
        with self.lock:
            entry = self.runs.get(self.key(task, run))
            if entry and how != "done":
                entry["broken"] = True


class Minion:
    """One machine's minion. `specification` tells it what a task does:
    {"ms": N} runs for N ms, {"lasts": true} until it is stopped, and
    {"gang": N} needs N members."""

    def __init__(self, world, name, ip, zone, rack, cpu=32000, memory=125000,
                 labels=None):
        self.world, self.name, self.ip, self.zone = world, name, ip, zone
        self.rack, self.cpu, self.memory = rack, cpu, memory
        self.labels = labels or ["a", rack]
        self.lock = threading.Condition(threading.RLock())
        self.up = False
        self.cut = False  # its messages to the system are lost
        self.state = "ready"
        self.port = 0
        self.server = None
        self.boots = 0
        self.on_start = None
        self.start(name)

    # Life of the process.

    def start(self, name=None):
        with self.lock:
            self.name = name or self.name
            self.boots += 1
            self.born = int(time.time() * 1000)
            self.clock_began = time.monotonic()
            self.epoch, self.lease_ms, self.sequence = 0, 0, 0
            self.running, self.highest, self.ended, self.last_end = {}, {}, [], 0
            self.state = "ready"
            self.up = True
        minion = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):
                length = int(self.headers.get("Content-Length", 0))
                body = json.loads(self.rfile.read(length))
                expected = self.headers.get("Expected-Instance", "")
                status, answer = minion.handle(self.path, body, expected)
                if status == 0:
                    self.close_connection = True
                    return
                data = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def log_message(self, *_):
                pass

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            allow_reuse_address = True
            request_queue_size = 64

            def __init__(self, *arguments):
                self.open = []
                super().__init__(*arguments)

            def process_request(self, request, client_address):
                self.open.append(request)
                super().process_request(request, client_address)

            def handle_error(self, request, client_address):
                pass

        self.server = Server((self.ip, self.port), Handler)
        self.port = self.server.server_address[1]
        self.address = f"{self.ip}:{self.port}"
        self.world.record.write(f"minion {self.name} starts at {self.address}, "
                                f"boot {self.boots}")
        boot = self.boots
        for target in (lambda server=self.server: server.serve_forever(0.01),
                       lambda: self.beat(boot),
                       lambda: self.work(boot)):
            threading.Thread(target=target, daemon=True).start()

    def stop_listening(self):
        """Closes the listener and all channels: its port refuses."""
        server, self.server = self.server, None
        if server:
            server.shutdown()
            server.server_close()
            for connection in server.open:
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def crash(self):
        with self.lock:
            self.up = False
            tasks = sorted(self.running)
            for task in list(self.running):
                run = self.running.pop(task)["run"]
                self.world.gangs.leave(task, run, "lost")
                self.world.ended(self, task, run, "lost")
            self.ended = []
        self.world.record.write(f"minion {self.name} crashes, with {tasks}")
        self.stop_listening()

    # Messages to the system.

    def clock_ms(self):
        return 1000 + int((time.monotonic() - self.clock_began) * 1000)

    def report(self):
        with self.lock:
            self.sequence += 1
            return {"service": SERVICE, "address": self.address,
                    "zone": self.zone, "version": "v1", "slots": 8,
                    "state": self.state, "coldRemainingMs": 0,
                    "capacity": {"cpu": self.cpu,
                                 "memoryRequestMb": self.memory, "gpu": 0},
                    "labels": self.labels, "clockMs": self.clock_ms(),
                    "sequence": self.sequence, "born": self.born}

    def beat(self, boot):
        turn = 0
        while self.up and self.boots == boot and not self.world.over:
            if not self.cut:
                call_control(self.world.controls, "POST",
                             f"/-/Instances.Heartbeat/{self.name}",
                             self.report(), turn)
                turn += 1
            time.sleep(HEARTBEAT_MS / 1000)

    # Orders.

    def handle(self, path, body, expected):
        with self.lock:
            if not self.up or self.cut:
                return 0, {}
            stamp = {"clockMs": self.clock_ms(), "born": self.born}
            if expected != self.name:
                return 421, stamp
            if body.get("fencingToken", 0) < self.epoch:
                return 409, {**stamp, "reason": "fence"}
            self.epoch = body.get("fencingToken", 0)
            if path == "/-/run-start":
                status, answer = self.run_start(body)
            elif path == "/-/run-stop":
                status, answer = self.run_stop(body)
            elif path == "/-/hold":
                status, answer = self.hold(body)
            else:
                status, answer = 200, {}
            if not self.up or self.cut:
                return 0, {}
            return status, {**answer, "clockMs": self.clock_ms(),
                            "born": self.born}

    def extend(self, until_ms):
        latest = self.clock_ms() + MAX_HOLD_MS
        self.lease_ms = max(self.lease_ms, min(until_ms, latest))

    def run_start(self, body):
        task, run = body["task"], body["run"]
        held = self.running.get(task)
        self.extend(body["untilMs"])
        if held and held["run"] == run:
            return 200, {}
        if body["untilMs"] <= self.clock_ms():
            return 409, {"reason": "late"}
        if held or run <= self.highest.get(task, 0):
            return 409, {"reason": "old"}
        what = json.loads(body["specification"])
        entry = {"run": run, "what": what, "began": time.monotonic(),
                 "stopping": None, "saved": "",
                 "checkpoint": body.get("checkpoint", "")}
        if what.get("gang"):
            entry["gang"] = self.world.gangs.enter(task, run, what["gang"])
        self.running[task] = entry
        self.world.started(self, task, run, body)
        return 200, {}

    def run_stop(self, body):
        task, run = body["task"], body["run"]
        held = self.running.get(task)
        self.world.record.write(f"minion {self.name}: stop {task} run {run}")
        self.highest[task] = max(run, self.highest.get(task, 0))
        if held and held["run"] <= run and not held["stopping"]:
            held["stopping"] = time.monotonic()
        return 200, {}

    def hold(self, body):
        self.extend(body.get("untilMs", 0))
        seen = body.get("lastSeen", 0)
        for row in self.ended:
            if row[0] <= seen:
                self.world.noted(self, row)
        self.ended = [row for row in self.ended if row[0] > seen]
        deadline = time.monotonic() + body.get("waitMs", 0) / 1000
        boot = self.boots
        while (not self.ended and self.up and self.boots == boot
               and time.monotonic() < deadline):
            self.lock.wait(max(0.0, deadline - time.monotonic()))
        rows = [[task, held["run"], held["saved"], self.percent(held), 1]
                for task, held in self.running.items()]
        return 200, {"running": rows, "ended": list(self.ended)}

    @staticmethod
    def percent(held):
        ran_ms = (time.monotonic() - held["began"]) * 1000
        if held["what"].get("lasts"):
            return 100 if ran_ms > 500 else 50
        return max(0, min(99, int(ran_ms * 100 / max(1, held["what"]["ms"]))))

    # Tasks.

    def end(self, task, how):
        held = self.running.pop(task)
        run = held["run"]
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.last_end += 1
        self.ended.append([self.last_end, task, run, how, held["saved"]])
        self.world.gangs.leave(task, run, how)
        self.world.ended(self, task, run, how)
        self.lock.notify_all()

    def outcome(self, task, held):
        now = time.monotonic()
        what = held["what"]
        if self.clock_ms() >= self.lease_ms:
            return "lapsed"
        if held["stopping"]:
            late = now - held["stopping"] >= what.get("stop_ms", 50) / 1000
            return "stopped" if late else None
        if "gang" in held:
            gang = held["gang"]
            if gang["broken"]:
                return "broken"
            if gang["complete"] is None:
                waited = now - held["began"] >= GANG_MS / 1000
                return "alone" if waited else None
            done = now - gang["complete"] >= what["ms"] / 1000
            return "done" if done else None
        if what.get("lasts"):
            return None
        return "done" if now - held["began"] >= what["ms"] / 1000 else None

    def work(self, boot):
        while self.up and self.boots == boot and not self.world.over:
            with self.lock:
                for task, held in list(self.running.items()):
                    how = self.outcome(task, held)
                    if how:
                        self.end(task, how)
            time.sleep(0.01)


class World:
    """A small deployment: three controllers, two fronts and minions."""

    def __init__(self, folder, controllers=3, fronts=2):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.over = False
        self.gangs = Gangs()
        self.lock = threading.RLock()
        self.minions = []
        self.at_work = {}  # task -> {minion boot: run}
        self.history = []  # (time, event, task, run, minion)
        pid = os.getpid()
        net = f"127.{100 + pid % 100}.{pid // 100 % 250}"
        self.net = net
        ips = [f"{net}.{n + 1}" for n in range(controllers + fronts)]
        ports = {kind: free_port(ips[0])
                 for kind in ("control", "front", "ready", "peer")}
        self.controls = [f"{ip}:{ports['control']}" for ip in ips[:controllers]]
        self.fronts = [f"{ip}:{ports['front']}" for ip in ips[controllers:]]
        self.processes = {}
        self.settings = {}
        for n, ip in enumerate(ips):
            role = "controller" if n < controllers else "front"
            name = f"{role}-{n}"
            self.settings[name] = self.write_settings(name, role, ip, ports)
        for name in self.settings:
            self.start_process(name)

    def write_settings(self, name, role, ip, ports):
        """What deploy/settings.json yields for the small installations."""
        seeds = self.controls[:3]
        settings = {
            "host": name, "address": ip, "data_centre": "guj-west-a",
            "bootstrap": True, "seeds": seeds, "peer_port": ports["peer"],
            "tolerated_hosts": 1, "announce_interval_ms": HEARTBEAT_MS,
            "max_lease_ms": MAX_HOLD_MS, "shutdown_limit_s": GRACE_S,
            "task_stop_limit_ms": STOP_MS, "task_restore_ms": 600,
            "checkpoint_interval_s": 0.5, "far_factor": 1.5,
            "memory_mb": 260 if role == "front" else 256,
            "file_descriptors": 4100 if role == "front" else 4096}
        if role == "front":
            settings["frontend"] = f"{ip}:{ports['front']}"
            settings["readiness"] = f"{ip}:{ports['ready']}"
        else:
            settings["control"] = f"{ip}:{ports['control']}"
            settings["data_folder"] = f"{self.temporary.name}/{name}"
        path = Path(self.temporary.name) / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        return path

    def start_process(self, name):
        role = name.split("-")[0]
        log = open(Path(self.temporary.name) / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [str(NODE), role], cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""),
                 "BRAMLEYPATH_SETTINGS": str(self.settings[name])})

    def controller_of(self, address):
        return f"controller-{self.controls.index(address)}"

    def leader(self):
        for address in self.controls:
            status, view, _ = call(address, "GET", "/internal/group",
                                   timeout_s=0.5)
            if status == 200 and view["leader"] == address.split(":")[0]:
                return address
        return None

    def logs(self, word):
        """Lines of the system's logs that contain the word."""
        lines = []
        for path in sorted(Path(self.temporary.name).glob("*.log")):
            for line in path.read_text(errors="replace").splitlines():
                if word in line:
                    lines.append(f"{path.stem}: {line}")
        return lines

    def add_minion(self, name, zone="guj-west-a", rack="r1-1", **more):
        ip = f"{self.net}.{20 + len(self.minions)}"
        minion = Minion(self, name, ip, zone, rack, **more)
        self.minions.append(minion)
        return minion

    # What minions report to the ledger.

    def started(self, minion, task, run, body):
        with self.lock:
            self.record.write(
                f"minion {minion.name}: {task} run {run} starts, "
                f"checkpoint {body.get('checkpoint', '')!r}")
            self.at_work.setdefault(task, {})[(minion.name, minion.boots)] = run
            self.history.append((self.record.now(), "start", task, run,
                                 minion.name))
        if minion.on_start:
            minion.on_start(task, run)

    def ended(self, minion, task, run, how):
        with self.lock:
            self.record.write(
                f"minion {minion.name}: {task} run {run} ends {how}")
            self.at_work.get(task, {}).pop((minion.name, minion.boots), None)
            self.history.append((self.record.now(), how, task, run,
                                 minion.name))

    def noted(self, minion, row):
        with self.lock:
            self.history.append((self.record.now(), "noted " + row[3], row[1],
                                 row[2], minion.name))

    # Operator and clients.

    def configure(self, version, routes):
        body = {"version": version, "routes": routes,
                "services": [{"name": SERVICE, "healthPath": "/health",
                              "maxConnections": 64, "protocol": "h1",
                              "tls": False, "admissionCheck": False,
                              "spare": False}],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                           "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
        deadline = time.monotonic() + 15
        while time.monotonic() < deadline:
            status, _ = call_control(self.controls, "POST",
                                     "/-/Configuration.Replace", body)
            if status == 200:
                self.record.write(f"configuration {version} is acknowledged")
                return True
            time.sleep(0.2)
        return False

    def request(self, method, path, body=None, front=0):
        """One request of a client at one front."""
        address = self.fronts[front % len(self.fronts)]
        status, answer, _ = call(address, method, path, body,
                                 {"Host": HOST, "Deadline-Ms": "3000"}, 3.0)
        self.record.write(f"client {method} {path} at front {front % len(self.fronts)}: {status} "
                          f"{json.dumps(answer)[:80]}")
        return status, answer

    def submit(self, path, body, seconds=10):
        """Submits until it is accepted, as clients repeat it."""
        deadline = time.monotonic() + seconds
        turn = 0
        while time.monotonic() < deadline:
            status, _ = self.request("POST", path, body, turn)
            if status == 200:
                return True
            turn += 1
            time.sleep(0.5)
        return False

    def state(self, path, front=0):
        status, answer = self.request("GET", path, None, front)
        return status, (answer or {}).get("state") if status == 200 else None

    def close(self):
        self.over = True
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        for minion in self.minions:
            if minion.up:
                with minion.lock:
                    minion.up = False
                    minion.lock.notify_all()
                minion.stop_listening()
        self.record.write("all processes have ended")
        self.temporary.cleanup()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def route(name, prefix, attempts=3, priority=0, stretch=2.2, target=2500):
    return {"name": name, "host": HOST, "pathPrefix": prefix,
            "kind": "non_idempotent", "timeoutMs": 3000,
            "targetDurationMs": target, "priority": priority,
            "service": SERVICE, "maxAttempts": attempts, "stretch": stretch}


def wait_until(condition, seconds, step=0.05):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(step)
    return None


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, play):
    """Runs a case. Exits with 1 if the rule was broken, 0 if it held, and 2 if
    the case couldn't run."""
    if not NODE.exists():
        print("the program is not built")
        sys.exit(2)
    world = World(folder)
    try:
        broken = play(world)
    except Exception as error:  # the case itself failed
        world.record.write(f"the case couldn't run: {error!r}")
        print(f"the case couldn't run: {error!r}")
        code = 2
    else:
        if broken is None:
            code = 2
        else:
            code = 1 if broken else 0
        verdict = {0: "the rule held", 1: f"the rule was broken: {broken}",
                   2: "the case couldn't run"}[code]
        world.record.write(verdict)
        print(verdict)
    finally:
        world.close()
    sys.exit(code)
