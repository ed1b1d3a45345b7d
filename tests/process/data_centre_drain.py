"""Empties a data centre for maintenance and takes it back while jobs run.

Guards against a start in a drained data centre after the bound, against an
acknowledged order that is lost with the leader or with all controllers, against
an accepted order that is refused when it is sent again, and against an order
that a paused host carries out after its operator has given it up. The workers
record from their side when they start tasks.
"""

import itertools
import signal
import sys
import tempfile
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "standins"))

from deployment import Failed, wait_for  # noqa: E402
from platform_path import Cell  # noqa: E402
from platform_standin import (call, call_control,  # noqa: E402
                              platform_configuration)

ZONES = ("a", "b", "b")
DRAINED = "b"
# How long an operator waits for one answer, and sends an order again.
ANSWER_S = 1.0
ORDER_S = 5.0
# From the acknowledgement until nothing is started there any more.
BOUND_S = 5.0
WATCH_S = 2.0
# Two tasks in each of two stages: half of what one worker can run.
JOB_INTERVAL_S = 0.4


class Load:
    """Submits jobs until it is stopped."""

    def __init__(self, cell):
        self.cell, self.stopped, self.jobs = cell, False, []
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        for number in itertools.count():
            if self.stopped:
                return
            job_id = f"load{number}"
            if self.cell.submit(job_id) == 200:
                self.jobs.append(job_id)
            time.sleep(JOB_INTERVAL_S)

    def finish(self):
        self.stopped = True
        self.thread.join()
        for job_id in self.jobs:
            wait_for(f"{job_id} completes", lambda job_id=job_id:
                     self.cell.state(job_id) == "completed")


def order(cell, verb, zone=DRAINED, first=0):
    """Gives an order as the platform's operator does. Returns the status of its
    last attempt; 0: it had no answer."""
    status, end = 0, time.monotonic() + ORDER_S
    for attempt in itertools.count(first):
        if time.monotonic() >= end:
            return status
        control = cell.controls[attempt % len(cell.controls)]
        began = time.monotonic()
        status, _ = call(control, "POST", f"/-/Evacuation.{verb}/{zone}",
                         timeout_s=ANSWER_S)
        if 200 <= status < 500:
            return status
        time.sleep(max(0.0, 0.1 - (time.monotonic() - began)))


def acknowledge(cell, verb, first=0):
    """Gives the order until it is acknowledged, since elections may take longer
    than an operator waits while the machine is busy. It is never refused."""
    def is_done():
        status = order(cell, verb, first=first)
        if 400 <= status < 500:
            raise Failed(f"{verb} is answered with {status}")
        return status == 200

    wait_for(f"{verb} is acknowledged", is_done)
    return time.monotonic()


def drained_workers(cell):
    return [worker for worker in cell.workers if worker.zone == DRAINED]


def check_empty(cell, acknowledged_at):
    """Nothing starts in the data centre once the bound has passed."""
    time.sleep(max(0.0, acknowledged_at + BOUND_S + WATCH_S - time.monotonic()))
    for worker in drained_workers(cell):
        if worker.started_at > acknowledged_at + BOUND_S:
            late_s = worker.started_at - acknowledged_at
            raise Failed(f"{worker.name} starts a task {late_s:.1f} s after "
                         "the acknowledgement")
    cell.check()


def check_used(cell):
    since = time.monotonic()
    wait_for("the data centre is used again", lambda: any(
        worker.started_at > since for worker in drained_workers(cell)))


def check_refusals(cell):
    for path, body in ((f"Start/{DRAINED}", {"zone": DRAINED}),
                       ("Start/", None), ("Start/a%20b", None),
                       ("Start/a/b", None), ("End/" + "x" * 300, None)):
        status, _ = call(cell.controls[0], "POST", f"/-/Evacuation.{path}",
                         body)
        if status != 400:
            raise Failed(f"{path} is answered with {status}")
    for verb in ("Start", "End"):
        if order(cell, verb, zone="unknown") != 400:
            raise Failed(f"{verb} of an unknown data centre is not refused")


def check_start(cell):
    """The order is sent again to all hosts, as after a lost answer."""
    check_used(cell)
    acknowledged_at = acknowledge(cell, "Start")
    for first in range(len(cell.controls)):
        acknowledge(cell, "Start", first)
    check_empty(cell, acknowledged_at)


def check_end(cell):
    for first in range(len(cell.controls)):
        acknowledge(cell, "End", first)
    check_used(cell)


def check_lost_leader(cell):
    leader = wait_for("there is a leader", cell.leader)
    acknowledged_at = acknowledge(cell, "Start")
    leader.kill()
    check_empty(cell, acknowledged_at)
    leader.start()


def check_lost_controllers(cell):
    """All controllers lose power; the drain is in force when they are back."""
    for node in cell.controllers:
        node.kill()
    for node in cell.controllers:
        node.start()
    wait_for("there is a leader", cell.leader)
    starts = cell.ledger.starts
    check_empty(cell, time.monotonic() - BOUND_S)
    wait_for("tasks start elsewhere", lambda: cell.ledger.starts > starts)


def check_quick_orders(cell):
    for first in range(6):
        acknowledge(cell, "Start", first)
        acknowledge(cell, "End", first + 1)
    check_used(cell)
    check_empty(cell, acknowledge(cell, "Start"))


def check_paused_host(cell):
    """A host reads an order that its operator has given up long ago."""
    leader = wait_for("there is a leader", cell.leader)
    paused = next(node for node in cell.controllers if node is not leader)
    others = [node.control for node in cell.controllers if node is not paused]
    path = f"/-/Evacuation.Start/{DRAINED}"
    paused.signal(signal.SIGSTOP)
    if call(paused.control, "POST", path, timeout_s=ANSWER_S)[0] != 0:
        raise Failed("a paused host answers")
    for verb in ("Start", "End"):
        wait_for(f"{verb} is acknowledged", lambda verb=verb: call_control(
            others, "POST", f"/-/Evacuation.{verb}/{DRAINED}")[0] == 200)
    paused.signal(signal.SIGCONT)
    time.sleep(BOUND_S)
    check_used(cell)


def main():
    with tempfile.TemporaryDirectory() as folder:
        cell = Cell(Path(folder), ZONES)
        try:
            wait_for("the configuration is accepted", lambda: call_control(
                cell.controls, "POST", "/-/Configuration.Replace",
                platform_configuration(1))[0] == 200)
            load = Load(cell)
            for check in (check_refusals, check_start, check_end,
                          check_lost_leader, check_lost_controllers, check_end,
                          check_quick_orders, check_end, check_paused_host):
                check(cell)
                print(f"{check.__name__}: ok", flush=True)
            load.finish()
            cell.check()
        except Failed:
            for node in cell.nodes():
                print(f"--- {node.name}")
                print("\n".join(node.log.read_text().splitlines()[-12:]))
            raise
        finally:
            cell.stop()


if __name__ == "__main__":
    main()
