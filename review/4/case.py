"""A front is cut off from the controllers right after it has handed in a
submission. While it is, a configuration removes the route. The client is
answered 404, and the submission runs."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from standins import PREFIX, run_case  # noqa: E402

JOB = "5c0e7a21d94b36f8"
STEPS = [{"count": 2, "cpu": 4000, "memoryRequestMb": 1000,
          "estimatedMs": 500}]
# One of six fronts; the site's largest cut of single machines is a share of
# 0.17 for 5.5 s.
FRONTS = 6
CUT_S = 1.2
REJECTED = (400, 404, 413, 429, 503)


def main(cell, record, trouble):
    front = cell.fronts[0]
    handed_in = threading.Event()

    def on_request(data):
        if handed_in.is_set() or f"{PREFIX}{JOB}".encode() not in data:
            return
        if trouble:
            for link in links:
                link.cut(CUT_S)
            record.write("front_cut", name=front.name, seconds=CUT_S)
        handed_in.set()

    links = cell.put_links(front, on_request)
    cell.start()
    cell.configure(1, routes=("r-1", "r-2"))
    cell.add_minions(4)
    answers = []
    client = threading.Thread(target=lambda: answers.extend(
        cell.submit(JOB, STEPS, front=front)))
    client.start()
    handed_in.wait(10)
    if not trouble:
        client.join()
    cell.configure(2, routes=("r-2",))
    client.join()
    time.sleep(4)
    record.write("verdict", answers=answers, started=cell.started)
    return cell.started > 0 and all(one in REJECTED for one in answers)


run_case(main, fronts=FRONTS)
