"""Minions that run a task that lasts crash, one after the other, within two
seconds of its start. The submission is given up."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from standins import run_case  # noqa: E402

JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"
STEPS = [{"count": 6, "cpu": 6400, "memoryRequestMb": 13000,
          "estimatedMs": 500, "longRunning": True}]
# One of eight minions at a time; the site's largest crash is a share of 0.14
# for 4.5 s.
MINIONS = 8
DOWN_S = 3.7
RUNS_S = 1.0
MAX_CRASHES = 5
WATCHED_S = 60


def main(cell, record, trouble):
    cell.start()
    cell.configure(1)
    minions = cell.add_minions(MINIONS)
    cell.submit(JOB, STEPS)
    crashes = 0
    end = time.monotonic() + WATCHED_S
    state = None
    while time.monotonic() < end and state != "failed":
        at = next((one for one in minions if TASK in one.running), None)
        if trouble and at and crashes < MAX_CRASHES:
            time.sleep(RUNS_S)
            at.crash()
            crashes += 1
            time.sleep(DOWN_S)
            at.boot()
        time.sleep(0.2)
        state = cell.state(JOB)
        record.write("state", job=JOB, state=state)
    # What is still running then is stopped by the system.
    time.sleep(2)
    running = sum(1 for one in minions for task in one.running
                  if task.startswith(JOB))
    record.write("verdict", state=state, crashes=crashes, running=running,
                 ended_failed=sum(cell.failed_ends.values()))
    return state == "failed"


run_case(main)
