"""A client gets 504 for a submission, cancels it by way of another front and
gets 410. The submission then arrives late, is accepted and runs."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from standins import (HOST, PREFIX, NotRun, call, run_case,  # noqa: E402
                      wait_for)

JOB = "5c0e7a21d94b36f8"
STEP = {"count": 2, "cpu": 4000, "memoryRequestMb": 1000, "estimatedMs": 2000}
STEPS = [STEP, {**STEP, "after": [0]}, {**STEP, "after": [1]}]
# One of six fronts; the site's largest cut of single machines is a share of
# 0.17 for 5.5 s.
FRONTS = 6
CUT_S = 1.2
CLIENT_LIMIT_S = 0.3
CANCEL_S = 3.0


def main(cell, record, trouble):
    front, other = cell.fronts[0], cell.fronts[1]
    links = cell.put_links(front)
    cell.start()
    cell.configure(1)
    cell.add_minions(4)
    if trouble:
        for link in links:
            link.cut(CUT_S)
        record.write("front_cut", name=front.name, seconds=CUT_S)
    cell.jobs[JOB] = {"specification": "text", "steps": STEPS}
    cell.work_s[JOB] = 2.0
    status, _ = call(front.frontend, "POST", PREFIX + JOB, cell.jobs[JOB],
                     HOST, timeout_s=1.0, deadline_s=CLIENT_LIMIT_S)
    record.write("submitted", job=JOB, front=front.name, status=status)
    cancelled = wait_for("the cancel is answered", lambda: call(
        other.frontend, "DELETE", PREFIX + JOB, host=HOST)[0])
    cancelled_at = record.now()
    record.write("cancelled", job=JOB, front=other.name, status=cancelled)
    if cancelled not in (200, 410):
        raise NotRun("the cancel was not acknowledged")
    time.sleep(9)
    late = [at for at in cell.began_at.values()
            if at - cancelled_at > CANCEL_S]
    record.write("verdict", started=cell.started,
                 started_later_than_cancel_ms=len(late), state=cell.state(JOB))
    return bool(late)


run_case(main, fronts=FRONTS)
