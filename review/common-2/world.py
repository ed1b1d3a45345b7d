"""Stand-ins of the platform for bramleypath-node: its processes, minions, an
operator and clients, as the platform's pages describe them.

A World holds the minions and everything that they saw. It is advanced by one
thread, so that runs of one gang on several minions change together. All times
of the record are in seconds since the world began."""

import http.client
import json
import os
import signal
import socket
import socketserver
import subprocess
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
NODE = ROOT / "target/platform/bramleypath-node"
HOST = "queue.example"
SERVICE = "plans"
TICK_S = 0.01
# Bounds of a small deployment, as the sheets give them.
HEARTBEAT_MS = 1500
MAX_HOLD_MS = 10000
STOP_MS = 400
GANG_MS = 3000
CHECKPOINT_MS = 500
GRACE_S = 6


def free_ports(ip, count):
    """Different ports that are free on the address."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((ip, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


def call(address, method, path, body=None, host=None, timeout_s=1.0,
         redirects=2, raw=None):
    """Sends one request and follows redirects. Returns the status and the
    decoded body; the status is 0 without an answer."""
    ip, port = address.split(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=timeout_s)
    try:
        headers = {"Content-Type": "application/json",
                   "Deadline-Ms": str(int(timeout_s * 1000))}
        if host:
            headers["Host"] = host
        data = raw if raw is not None else (
            json.dumps(body) if body is not None else None)
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        text = response.read()
        location = response.getheader("Location")
        if response.status == 307 and location and redirects > 0:
            return call(location.split("/")[2], method, path, body, host,
                        timeout_s, redirects - 1, raw)
        return response.status, json.loads(text) if text else None
    except (OSError, ValueError, http.client.HTTPException):
        return 0, None
    finally:
        connection.close()


class CannotRun(Exception):
    """The case can't be shown, whatever the reason."""


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f}  {text}\n")


class Minion:
    """One machine that runs tasks under a lease. A boot after a crash has a new
    id at the same address and knows nothing of before."""

    def __init__(self, world, name, ip, cpu=8000, memory=32000,
                 labels=("a", "r1"), service=SERVICE):
        self.world, self.name, self.ip = world, name, ip
        self.cpu, self.memory, self.labels = cpu, memory, list(labels)
        self.service, self.boots, self.up = service, 0, False
        self.state, self.port = "ready", free_ports(ip, 1)[0]
        self.address = f"{ip}:{self.port}"
        self.boot()

    def boot(self, same_id=False):
        """Starts a new life."""
        with self.world.lock:
            self.boots += 0 if same_id else 1
            self.id = f"i-{self.name}-{self.boots}"
            self.born = int(time.time() * 1000)
            self.clock_base = time.monotonic()
            self.fence, self.lease_ms, self.last_end, self.sequence = 0, 0, 0, 0
            self.runs, self.refused, self.ended = {}, {}, []
            self.state, self.left, self.up = "ready", False, True
            self.life = object()
        self.server = self.make_server()
        for target in (self.serve, self.announce):
            threading.Thread(target=target, daemon=True).start()
        self.world.record.write(f"minion {self.id} is up at {self.address}")

    def serve(self):
        # Polls often, so that a crash closes the port at once.
        self.server.serve_forever(poll_interval=0.01)

    def make_server(self):
        minion, life = self, self.life

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):
                body = self.rfile.read(int(self.headers["Content-Length"]))
                # A boot that is gone answers nothing on its channels.
                if not minion.up or minion.life is not life:
                    self.close_connection = True
                    return
                expected = self.headers["Expected-Instance"]
                if expected != minion.id:
                    status, answer = 421, {}
                    minion.world.record.write(
                        f"{minion.id} answers 421 to {self.path} for "
                        f"{expected}")
                else:
                    status, answer = minion.handle(self.path, json.loads(body))
                if not minion.up or minion.life is not life:
                    self.close_connection = True
                    return
                answer.update(clockMs=minion.clock(), born=minion.born)
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
            request_queue_size = 64

            def server_bind(self):
                # That of HTTPServer looks the name of the address up.
                socketserver.TCPServer.server_bind(self)

            def handle_error(self, *_):
                pass

        return Server((self.ip, self.port), Handler)

    def clock(self):
        return 1 + int((time.monotonic() - self.clock_base) * 1000)

    def crash(self):
        """Ends at once, with all that runs."""
        with self.world.lock:
            gone = list(self.runs)
            self.up = False
            self.life = None
            for task in gone:
                self.world.drop(self, task)
        self.world.record.write(f"minion {self.id} crashes; it ran {gone}")
        self.server.shutdown()
        self.server.server_close()

    def report(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": "z1",
                "version": "v1", "slots": 8, "state": self.state,
                "coldRemainingMs": 0,
                "capacity": {"cpu": self.cpu, "memoryRequestMb": self.memory,
                             "gpu": 0},
                "labels": self.labels, "clockMs": self.clock(),
                "sequence": self.sequence, "born": self.born}

    def announce(self):
        life, target = self.life, 0
        controls = self.world.controls
        while self.up and self.life is life and not self.world.ended:
            for _ in controls:
                status, answer = call(
                    controls[target % len(controls)], "POST",
                    f"/-/Instances.Heartbeat/{self.id}", self.report())
                if 200 <= status < 300:
                    break
                target += 1
            time.sleep(HEARTBEAT_MS / 1000)

    def handle(self, path, body):
        with self.world.lock:
            token = body.get("fencingToken", 0)
            if token < self.fence:
                return 409, {"reason": "fence"}
            self.fence = token
            if path == "/-/run-start":
                return self.start(body)
            if path == "/-/run-stop":
                return self.stop(body)
            if path == "/-/pace":
                return 200, {}
        if path == "/-/hold":
            return self.hold(body)
        return 404, {}

    def extend(self, until):
        limit = self.clock() + MAX_HOLD_MS
        self.lease_ms = max(self.lease_ms, min(until, limit))

    def start(self, body):
        task, run = body["task"], body["run"]
        self.world.record.write(
            f"{self.id} is told to start {task} run {run} checkpoint "
            f"{body.get('checkpoint', '')!r}")
        if body["untilMs"] <= self.clock():
            return 409, {"reason": "late"}
        self.extend(body["untilMs"])
        if task in self.runs:
            same = self.runs[task]["run"] == run
            return (200, {}) if same else (409, {"reason": "old"})
        if run <= self.refused.get(task, 0):
            return 409, {"reason": "old"}
        self.runs[task] = {"task": task, "run": run, "began": time.monotonic(),
                           "work_ms": 0.0, "saved": body.get("checkpoint", ""),
                           "stopping": None, "minion": self}
        self.world.on_start(self, body)
        return 200, {}

    def stop(self, body):
        task, run = body["task"], body["run"]
        self.world.record.write(f"{self.id} is told to stop {task} run {run}")
        self.refused[task] = max(run, self.refused.get(task, 0))
        held = self.runs.get(task)
        if held and held["run"] <= run and held["stopping"] is None:
            held["stopping"] = time.monotonic() + STOP_MS / 2000
        return 200, {}

    def hold(self, body):
        until = time.monotonic() + body.get("waitMs", 0) / 1000
        with self.world.lock:
            if body.get("untilMs"):
                self.extend(body["untilMs"])
            for row in self.ended:
                if row[0] <= body["lastSeen"]:
                    self.world.on_noted(row[1], row[2], row[3])
            self.ended = [row for row in self.ended
                          if row[0] > body["lastSeen"]]
            while not self.ended and self.up and time.monotonic() < until:
                self.world.changed.wait(0.05)
            running = [[task, run["run"], run["saved"],
                        self.world.percent(run), self.world.figure(run)]
                       for task, run in self.runs.items()]
            return 200, {"running": running,
                         "ended": [list(row) for row in self.ended[:500]]}

    def end(self, task, how):
        run = self.runs.pop(task)
        self.last_end += 1
        self.refused[task] = max(run["run"], self.refused.get(task, 0))
        self.ended.append([self.last_end, task, run["run"], how, run["saved"]])
        self.world.record.write(
            f"{self.id} ends {task} run {run['run']}: {how} saved "
            f"{run['saved']!r}")
        self.world.on_end(self, run, how)
        self.world.changed.notify_all()


class World:
    """The deployment, and the ledger of what ran."""

    def __init__(self, folder, cores=3, fronts=2, queues=None):
        self.record = Record(Path(folder) / "record.txt")
        self.temporary = tempfile.TemporaryDirectory()
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self.ended, self.minions = False, []
        self.specs, self.history, self.noted = {}, {}, set()
        self.starts = []  # task, run and checkpoint of each accepted start
        self.breaks = []
        self.net = f"127.{30 + os.getpid() % 190}.{os.getpid() // 190 % 250}"
        ips = [f"{self.net}.{n + 1}" for n in range(cores + fronts)]
        kinds = ("control", "front", "ready", "peer")
        self.ports = dict(zip(kinds, free_ports(ips[0], len(kinds))))
        seeds = [f"{ip}:{self.ports['control']}" for ip in ips[:cores]][:3]
        self.cores = [Node(self, "controller", f"core-{n}", ips[n], seeds)
                      for n in range(cores)]
        self.fronts = [Node(self, "front", f"front-{n}", ips[cores + n], seeds)
                       for n in range(fronts)]
        self.controls = [node.control for node in self.cores]
        self.queues = queues or [queue("jobs")]
        self.version = 0
        for node in self.cores + self.fronts:
            node.start()
        threading.Thread(target=self.run, daemon=True).start()

    def close(self):
        self.ended = True
        for node in self.cores + self.fronts:
            node.kill()
        self.temporary.cleanup()

    def begin(self, minions, **settings):
        """Adds minions, sends the first configuration and waits until clients
        are served."""
        self.add_minions(minions, **settings)
        if self.put_configuration(self.configure()) != 200 or not self.ready():
            raise CannotRun("the deployment does not come up")

    def accept(self, path, steps, **fields):
        if not self.submit(path, steps, **fields):
            raise CannotRun(f"{path} is not accepted")

    # Minions.

    def add_minions(self, count, **settings):
        first = len(self.minions)
        for n in range(first, first + count):
            self.minions.append(
                Minion(self, f"m{n}", f"{self.net}.{100 + n}", **settings))

    def owner(self, task):
        """The minions that are up and run the task."""
        with self.lock:
            return [minion for minion in self.minions
                    if minion.up and task in minion.runs]

    def drop(self, minion, task):
        run = minion.runs.pop(task)
        self.history.setdefault(task, []).append((run["run"], "gone"))
        self.on_gang_lost(run)

    # Tasks.

    def spec_of(self, task):
        job, _, step, _ = task.split(".")
        return self.specs.get(job, {}).get("steps", [{}])[int(step)]

    def work_ms(self, task):
        return self.spec_of(task).get("workMs", 1000)

    def percent(self, run):
        step = self.spec_of(run["task"])
        if step.get("longRunning"):
            return 100 if run["work_ms"] > 300 else 0
        return min(99, int(100 * run["work_ms"] / self.work_ms(run["task"])))

    def figure(self, run):
        step = self.spec_of(run["task"])
        return 1 if step.get("targetMs") else step.get("cpu", 0)

    def gang_of(self, run):
        """All runs with this number of the gang that are present."""
        prefix = run["task"].rsplit(".", 1)[0] + "."
        return [other for minion in self.minions if minion.up
                for task, other in minion.runs.items()
                if task.startswith(prefix) and other["run"] == run["run"]]

    def carried(self, step):
        """The checkpoint of each start, by run and member of the step."""
        carried = {}
        for task, run, checkpoint in self.starts:
            if task.startswith(step + "."):
                member = int(task.rsplit(".", 1)[1])
                carried.setdefault(run, {})[member] = checkpoint
        return carried

    def on_start(self, minion, body):
        task, run = body["task"], body["run"]
        self.starts.append((task, run, body.get("checkpoint", "")))
        others = [one for one in self.owner(task) if one is not minion]
        step = self.spec_of(task)
        if others and not step.get("allowDuplicates"):
            self.break_rule("TWICE", f"{task} run {run} starts on {minion.id} "
                            f"and runs on {[one.id for one in others]}")
        if any(how == "done" and (task, number) in self.noted
               for number, how in self.history.get(task, [])):
            self.break_rule("TWICE", f"{task} run {run} starts on {minion.id} "
                            "after its end done was taken note of")
        spec = self.specs.get(task.split(".")[0])
        if not spec or spec["specification"] != body["specification"]:
            self.break_rule("UNASKED", f"{task} is not what a client sent")

    def on_end(self, minion, run, how):
        self.history.setdefault(run["task"], []).append((run["run"], how))
        if how != "done":
            self.on_gang_lost(run)

    def on_noted(self, task, run, how):
        self.noted.add((task, run))

    def on_gang_lost(self, run):
        if not self.spec_of(run["task"]).get("gang"):
            return
        for other in self.gang_of(run):
            if other["stopping"] is None:
                other["stopping"] = "broken"

    def break_rule(self, rule, text):
        self.record.write(f"BROKEN {rule}: {text}")
        self.breaks.append((rule, text))

    # Advances all runs.

    def run(self):
        last = time.monotonic()
        while not self.ended:
            time.sleep(TICK_S)
            now = time.monotonic()
            with self.lock:
                for minion in self.minions:
                    if minion.up:
                        self.advance(minion, now, (now - last) * 1000)
            last = now

    def advance(self, minion, now, passed_ms):
        for task, run in list(minion.runs.items()):
            if task not in minion.runs:
                continue
            step = self.spec_of(task)
            if run["stopping"] == "broken":
                minion.end(task, "broken")
            elif minion.clock() >= minion.lease_ms:
                minion.end(task, "lapsed")
            elif run["stopping"] is not None and now >= run["stopping"]:
                minion.end(task, "stopped")
            elif step.get("gang"):
                self.advance_gang(minion, run, step, now, passed_ms)
            else:
                self.work(run, step, passed_ms)
                if (not step.get("longRunning")
                        and run["work_ms"] >= self.work_ms(task)):
                    minion.end(task, "done")

    def work(self, run, step, passed_ms):
        before = int(run["work_ms"] // CHECKPOINT_MS)
        run["work_ms"] += passed_ms
        after = int(run["work_ms"] // CHECKPOINT_MS)
        if step.get("checkpointing") and after > before:
            run["saved"] = f"{run['run']:04x}{after:04x}"

    def advance_gang(self, minion, run, step, now, passed_ms):
        members = self.gang_of(run)
        if len(members) < step["count"] and run["work_ms"] == 0:
            if now - run["began"] >= GANG_MS / 1000:
                minion.end(run["task"], "alone")
            return
        self.work(run, step, passed_ms)
        if (not step.get("longRunning")
                and run["work_ms"] >= self.work_ms(run["task"])):
            for other in members:
                other["minion"].end(other["task"], "done")

    # The operator and clients.

    def configure(self, **changes):
        self.version += 3
        body = {"version": self.version, "routes": self.queues,
                "services": [{"name": SERVICE, "healthPath": "/health",
                              "maxConnections": 64, "protocol": "h1",
                              "tls": False, "admissionCheck": False,
                              "spare": False}],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                           "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
        body.update(changes)
        return body

    def put_configuration(self, body, deadline_s=20):
        end = time.monotonic() + deadline_s
        while time.monotonic() < end:
            for control in self.controls:
                status, _ = call(control, "POST", "/-/Configuration.Replace",
                                 body)
                if status == 200 or 400 <= status < 500:
                    self.record.write(
                        f"configuration {body.get('version')}: {status}")
                    return status
            time.sleep(0.2)
        return 0

    def ready(self, deadline_s=25):
        end = time.monotonic() + deadline_s
        while time.monotonic() < end:
            if all(call(node.readiness, "GET", "/-/readiness")[0] == 200
                   for node in self.fronts):
                return True
            time.sleep(0.1)
        return False

    def request(self, method, path, body=None, front=0, timeout_s=3.0):
        status, answer = call(self.fronts[front % len(self.fronts)].frontend,
                              method, path, body, HOST, timeout_s)
        self.record.write(f"client {method} {path}: {status} "
                          f"{json.dumps(answer)}")
        return status, answer

    def submit(self, path, steps, deadline_s=20, **fields):
        """Submits until the submission is accepted. Fields that only the
        stand-ins know are not sent."""
        job = path.rsplit("/", 1)[1]
        text = f"text of {job}"
        self.specs[job] = {"specification": text, "steps": steps}
        sent = [{key: value for key, value in step.items() if key != "workMs"}
                for step in steps]
        end, front = time.monotonic() + deadline_s, 0
        while time.monotonic() < end:
            status, _ = self.request("POST", path, {
                "specification": text, "steps": sent, **fields}, front)
            if status == 200:
                return True
            front += 1
            time.sleep(0.3)
        return False

    def state(self, path):
        for front in range(2 * len(self.fronts)):
            status, answer = self.request("GET", path, None, front)
            if status == 200:
                return answer["state"]
            if status == 410:
                return "410"
        return None

    def wait_state(self, path, wanted, deadline_s):
        end = time.monotonic() + deadline_s
        state = None
        while time.monotonic() < end:
            state = self.state(path)
            if state in wanted:
                return state
            time.sleep(0.3)
        return state

    def leader(self):
        for node in self.cores:
            if node.running():
                status, view = call(node.control, "GET", "/internal/group",
                                    timeout_s=0.5)
                if status == 200 and view["leader"] == node.ip:
                    return node
        return None


def queue(name, prefix=None, service=SERVICE, **changes):
    route = {"name": f"r-{name}", "host": HOST,
             "pathPrefix": prefix or f"/{name}/", "kind": "non_idempotent",
             "timeoutMs": 3000, "targetDurationMs": 1000, "priority": 0,
             "service": service, "maxAttempts": 4, "stretch": 20.0}
    route.update(changes)
    return route


class Node:
    """A bramleypath-node process and its settings."""

    def __init__(self, world, role, name, ip, seeds):
        self.role, self.name, self.ip, self.child = role, name, ip, None
        ports = world.ports
        self.control = f"{ip}:{ports['control']}"
        self.frontend = f"{ip}:{ports['front']}"
        self.readiness = f"{ip}:{ports['ready']}"
        folder = Path(world.temporary.name)
        settings = {"host": name, "address": ip, "data_centre": "z1",
                    "bootstrap": True, "seeds": seeds,
                    "peer_port": ports["peer"], "tolerated_hosts": 1,
                    "announce_interval_ms": HEARTBEAT_MS,
                    "max_lease_ms": MAX_HOLD_MS, "shutdown_limit_s": GRACE_S,
                    "far_factor": 1.5}
        if role == "front":
            settings.update(frontend=self.frontend, readiness=self.readiness)
        else:
            settings.update(control=self.control,
                            data_folder=str(folder / name))
        self.settings = settings
        self.path = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.write_settings()

    def write_settings(self):
        self.path.write_text(json.dumps(self.settings))

    def start(self):
        self.write_settings()
        with open(self.log, "ab") as out:
            self.child = subprocess.Popen(
                [str(NODE), self.role], stdout=out, stderr=out,
                stdin=subprocess.DEVNULL, cwd=ROOT,
                env={**os.environ, "BRAMLEYPATH_SETTINGS": str(self.path)})
        self.settings["bootstrap"] = False

    def running(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        self.child.send_signal(number)

    def kill(self):
        if self.running():
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        if self.child is not None:
            self.child.wait()
