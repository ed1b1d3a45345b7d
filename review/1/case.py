"""A minion that drains says that it leaves, and the acknowledgement is lost on
its way. The minion ends some seconds later; its tasks run until then."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from standins import run_case, wait_for  # noqa: E402

JOB = "5c0e7a21d94b36f8"
STEPS = [{"count": 4, "cpu": 4000, "memoryRequestMb": 1000,
          "estimatedMs": 20000}]
# One of six minions; the site's largest cut of minions is a share of 0.17 for
# 5.5 s.
MINIONS = 6
# From the acknowledgement of draining, drainMs (2 s) and a little longer.
LINGER_S = 3.0
# How long a minion without an acknowledgement waits before it ends anyway.
ENDS_ANYWAY_S = 3.0
# Two runs that overlap for less are not held against the system.
SHORTEST_OVERLAP_S = 0.5


def main(cell, record, trouble):
    cell.start()
    cell.configure(1)
    minions = cell.add_minions(MINIONS)
    cell.submit(JOB, STEPS, work_s=20.0)
    wait_for("all tasks run", lambda: len(cell.current) == 4 and all(
        cell.current.values()))
    leaving = next(minion for minion in minions if minion.running)
    leaving.drain()
    time.sleep(LINGER_S)
    leaving.lose_acknowledgements = trouble
    began = time.monotonic()
    while not leaving.leave():
        if time.monotonic() - began > ENDS_ANYWAY_S:
            break
    leaving.finish_life()
    time.sleep(5)
    longest = max(cell.overlaps, default=0)
    record.write("verdict", two_runs_together_s=f"{longest:.3f}")
    return longest > SHORTEST_OVERLAP_S


run_case(main)
