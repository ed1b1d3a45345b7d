"""Puts crowds of uncontrolled clients on one listener of a bramleypath-node.

Each group of loads guards against a process whose memory or descriptors grow
with the number of such clients, and against one that serves nobody else while
they stay connected. The settings lower the limits of the process, so that some
tens of MB are enough. The bounds follow from the targets of
docs/design/requirements.md: a front may use 120 of 160 MB, a controller 250 of
384 MB.
"""

import argparse
import json
import os
import selectors
import socket
import sys
import tempfile
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "standins"))

from deployment import Failed, free_port, wait_for  # noqa: E402
from platform_standin import (TASK_CPU, Ledger, Node, Worker,  # noqa: E402
                              call, call_control, platform_configuration)

HOST = "a.example"
CONTROLLERS = 3
MEMORY_MB = {"front": 64, "controller": 96}
MEMORY_SHARE = {"front": 0.75, "controller": 0.65}
FILE_DESCRIPTORS = 400
MAX_BODY_BYTES = 262144
MAX_CONTROL_BODY_BYTES = 4 * 1024 * 1024
# The overall limit for one ordinary request; it is no objective.
ANSWER_S = 60
# A crowd that is not read any more has stalled; the load then ends.
STALLED_S = 1.0
SAMPLE_S = 0.02

# Target -> role of the process, name of the address, path.
TARGETS = {
    "frontend": ("front", "frontend", "/jobs/{id}"),
    "no_queue": ("front", "frontend", "/other/{id}"),
    "readiness": ("front", "readiness", "/-/readiness"),
    "control": ("controller", "control", "/-/Configuration.Replace"),
}


def head(method, path, fields):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}",
             "Content-Type: application/json", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def with_length(path, body, length=None):
    return head("POST", path, [f"Content-Length: {length or len(body)}"]) + body


def one_byte_short(path, size):
    return with_length(path, b"x" * (size - 1), size)


def chunked_without_end(path, size):
    piece = b"x" * 4096
    chunk = b"1000\r\n" + piece + b"\r\n"
    return (head("POST", path, ["Transfer-Encoding: chunked"])
            + chunk * (size // len(piece)))


def short_fields(path, size):
    fields, text = [], 2
    while text < size - 16:
        fields.append(f'"{len(fields)}":0')
        text += len(fields[-1]) + 1
    return with_length(path, ("{" + ",".join(fields) + "}").encode())


def empty_lists(path, size):
    count = (size - 8) // 3
    return with_length(path, ("[" + ",".join(["[]"] * count) + "]").encode())


def long_fields(path, count):
    text = head("GET", path, [f"F{n}: " + "x" * 4000 for n in range(count)])
    return text[:-2]


def many_fields(path, count):
    return head("GET", path, [f"F{n}: x" for n in range(count)])


def pipelined(path, count):
    return head("GET", path, []) * count


def half_request(path, _):
    return head("GET", path, [])[:-20]


def nothing(_path, _size):
    return b""


class Load:
    """One crowd: its size and what each of its clients sends, which is at most
    `piece` bytes in each turn of `turn_s` seconds."""

    def __init__(self, clients, make, size, piece=1 << 16, turn_s=0.0,
                 seconds=30.0):
        self.clients, self.make, self.size = clients, make, size
        self.piece, self.turn_s, self.seconds = piece, turn_s, seconds


def half_bodies(make, piece=1 << 16):
    """Bodies of legal size, about 70 MB in all at each listener."""
    small = Load(280, make, MAX_BODY_BYTES, piece)
    return {**dict.fromkeys(("frontend", "no_queue", "readiness"), small),
            "control": Load(36, make, 2 * 1024 * 1024, piece)}


def everywhere(*load, **pace):
    return dict.fromkeys(TARGETS, Load(*load, **pace))


# Group -> one table of loads by target for each load of the group.
GROUPS = {
    "half_bodies": [half_bodies(one_byte_short),
                    half_bodies(one_byte_short, piece=3000)],
    "half_chunked": [half_bodies(chunked_without_end)],
    "large_bodies": [
        everywhere(24, one_byte_short, 3 * 1024 * 1024),
        everywhere(8, one_byte_short, 2 * MAX_CONTROL_BODY_BYTES + 4096)],
    "short_fields": [
        {"frontend": Load(60, short_fields, MAX_BODY_BYTES),
         "no_queue": Load(60, short_fields, MAX_BODY_BYTES),
         "readiness": Load(60, short_fields, MAX_BODY_BYTES),
         "control": Load(6, short_fields, MAX_CONTROL_BODY_BYTES)},
        {"control": Load(6, empty_lists, MAX_CONTROL_BODY_BYTES)}],
    "header_fields": [everywhere(200, long_fields, 60),
                      everywhere(200, many_fields, 2000)],
    "pipelined": [everywhere(150, pipelined, 1500)],
    "slow": [everywhere(200, one_byte_short, 40000, piece=700, turn_s=0.1,
                        seconds=5.0),
             everywhere(200, pipelined, 1, piece=9, turn_s=0.2, seconds=5.0),
             everywhere(250, half_request, 0)],
    "idle": [everywhere(500, nothing, 0)],
}


class Crowd:
    """Connections that send their bytes and never read an answer."""

    def __init__(self, address, load, data_of):
        ip, port = address.split(":")
        self.load = load
        self.selector = selectors.DefaultSelector()
        self.left = {}
        self.all = []
        for number in range(load.clients):
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex((ip, int(port)))
            self.all.append(one)
            self.left[one] = memoryview(data_of(number))
            self.selector.register(one, selectors.EVENT_WRITE)

    def send(self):
        end = time.monotonic() + self.load.seconds
        progress_at = time.monotonic()
        while self.left and time.monotonic() < end:
            ready = self.selector.select(0.05)
            if any([self.send_piece(key.fileobj) for key, _ in ready]):
                progress_at = time.monotonic()
            elif time.monotonic() - progress_at > STALLED_S:
                return
            time.sleep(self.load.turn_s)

    def send_piece(self, one):
        data = self.left[one]
        try:
            sent = one.send(data[:self.load.piece]) if data else 0
        except BlockingIOError:
            return False
        except OSError:
            sent = len(data)
        self.left[one] = data[sent:]
        if not self.left[one]:
            self.selector.unregister(one)
            del self.left[one]
        return sent > 0

    def close(self):
        self.selector.close()
        for one in self.all:
            one.close()


class Peaks(threading.Thread):
    """Samples a process's open descriptors; reads its peak memory at the end."""

    def __init__(self, pid):
        super().__init__(daemon=True)
        self.pid, self.descriptors, self.ended = pid, 0, False
        self.start()

    def run(self):
        while not self.ended:
            try:
                count = len(os.listdir(f"/proc/{self.pid}/fd"))
            except OSError:
                return
            self.descriptors = max(self.descriptors, count)
            time.sleep(SAMPLE_S)

    def memory_mb(self):
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        return 0.0


class Cell:
    def __init__(self, folder):
        net = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
        ips = [f"{net}.{n + 1}" for n in range(CONTROLLERS + 1)]
        ports = {kind: free_port(ips[0])
                 for kind in ("control", "front", "ready", "peer")}
        self.controls = [f"{ip}:{ports['control']}" for ip in ips[:CONTROLLERS]]
        self.controllers = [
            Node(folder, "controller", f"core-{n}", ips[n], self.controls,
                 ports) for n in range(CONTROLLERS)]
        self.front = Node(folder, "front", "front", ips[CONTROLLERS],
                          self.controls, ports)
        self.jobs = 0
        for node in self.nodes():
            self.lower_limits(node)
            node.start()
        self.ledger = Ledger()
        self.worker = Worker("w0", "127.0.0.1", self.controls, self.ledger)
        configuration = platform_configuration(3)
        configuration["limits"]["maxBodyBytes"] = MAX_BODY_BYTES
        wait_for("the configuration is accepted", lambda: call_control(
            self.controls, "POST", "/-/Configuration.Replace",
            configuration)[0] == 200)

    @staticmethod
    def lower_limits(node):
        settings = json.loads(node.path.read_text())
        settings.update(memory_mb=MEMORY_MB[node.role],
                        file_descriptors=FILE_DESCRIPTORS)
        node.path.write_text(json.dumps(settings))

    def nodes(self):
        return [*self.controllers, self.front]

    def stop(self):
        self.worker.stopped = True
        for node in self.nodes():
            node.kill()

    def submit(self):
        """Submits a job and returns its id once it is accepted."""
        stage = {"count": 2, "cpu": TASK_CPU, "memoryRequestMb": 100,
                 "estimatedMs": 400}
        self.jobs += 1
        path = f"/jobs/j{self.jobs}"
        body = {"specification": "text", "steps": [stage]}
        wait_for("a job is accepted", lambda: call(
            self.front.frontend, "POST", path, body, HOST)[0] == 200,
            deadline_s=ANSWER_S)
        return path

    def await_completion(self, path):
        def state():
            status, answer = call(self.front.frontend, "GET", path, None, HOST)
            return answer["state"] if status == 200 else None
        wait_for(f"{path} completes", lambda: state() == "completed",
                 deadline_s=ANSWER_S)
        if self.ledger.violations:
            raise Failed("; ".join(self.ledger.violations))

    def restart(self, role):
        """Restarts the process under load, so that its peaks are of one load."""
        node = self.front
        if role == "controller":
            node = wait_for("there is a leader", lambda: next(
                (one for one in self.controllers if one.is_leader()), None))
        node.kill()
        node.start()
        self.await_completion(self.submit())
        return node


def check_answers(cell, node, address):
    """One ordinary request at the address under load, and one job."""
    if address == "readiness":
        wait_for("readiness is answered", lambda: call(
            node.readiness, "GET", "/-/readiness")[0] == 200,
            deadline_s=ANSWER_S)
    elif address == "control":
        wait_for("the control address answers", lambda: call(
            node.control, "GET", "/internal/group")[0] == 200,
            deadline_s=ANSWER_S)
    cell.await_completion(cell.submit())


def data_for(load, path):
    """The bytes of each client; a path without an id is the same for all."""
    shared = load.make(path, load.size)
    if "{id}" not in path:
        return lambda _: shared
    return lambda number: shared.replace(b"{id}", b"x%03d" % number)


def run_load(cell, target, load):
    """Returns what was exceeded, or None."""
    role, address, path = TARGETS[target]
    node = cell.restart(role)
    pid = node.child.pid
    peaks = Peaks(pid)
    accepted = cell.submit()
    crowd = Crowd(getattr(node, address), load, data_for(load, path))
    fault = ""
    try:
        crowd.send()
        check_answers(cell, node, address)
        cell.await_completion(accepted)
    except Failed as failure:
        fault = str(failure)
    finally:
        peaks.ended = True
        alive = node.running() and node.child.pid == pid
        memory_mb = peaks.memory_mb() if alive else 0.0
        crowd.close()
    bound_mb = MEMORY_MB[role] * MEMORY_SHARE[role]
    faults = [fault] if fault else []
    faults += [] if alive else ["the process ended"]
    faults += [f"{memory_mb:.0f} MB"] if memory_mb > bound_mb else []
    if peaks.descriptors > FILE_DESCRIPTORS:
        faults.append(f"{peaks.descriptors} descriptors")
    print(f"  {target} {load.make.__name__} x {load.clients}: "
          f"{memory_mb:.0f} of {bound_mb:.0f} MB, {peaks.descriptors} of "
          f"{FILE_DESCRIPTORS} descriptors{': ' if faults else ''}"
          f"{', '.join(faults)}", flush=True)
    return f"{target} {load.make.__name__}: {', '.join(faults)}" \
        if faults else None


def run_group(cell, group, targets):
    faults = [run_load(cell, target, loads[target])
              for loads in GROUPS[group]
              for target in loads if target in targets]
    return [fault for fault in faults if fault]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("group", choices=GROUPS)
    parser.add_argument("--targets", nargs="+", default=list(TARGETS),
                        choices=TARGETS)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        cell = Cell(Path(folder))
        try:
            faults = run_group(cell, options.group, options.targets)
        except Failed:
            for node in cell.nodes():
                print(f"--- {node.name}")
                print("\n".join(node.log.read_text().splitlines()[-12:]))
            raise
        finally:
            cell.stop()
        if faults:
            raise Failed("; ".join(faults))


if __name__ == "__main__":
    main()
