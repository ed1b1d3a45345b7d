"""A submission that lasts is given up because minions crash one after another.

Minions m0 to m7 crash in turn, one at a time, and are back under a new id after
half a second. m8 and m9 never crash. No run ends failed."""

import sys
import time
from pathlib import Path

from case import run

CRASHING, SOUND = 8, 2
DOWN_S, GAP_S = 0.5, 1.6
JOB = "5c0e7a21d94b36f8"
PATH = f"/jobs/{JOB}"
# The last run of a task and 6 s later, and 3 s without a run.
UNRUN_S = 9
STEPS = [
    {"count": 1, "cpu": 2000, "memoryRequestMb": 500, "estimatedMs": 500,
     "longRunning": True, "requiredLabel": "a"},
    {"count": 2, "cpu": 2000, "memoryRequestMb": 500, "estimatedMs": 500,
     "longRunning": True, "requiredLabel": "b"}]


def at_work(world):
    tasks = [f"{JOB}.0.0.0", f"{JOB}.0.1.0", f"{JOB}.0.1.1"]
    return [task for task in tasks if world.owner(task)]


def play(world, trouble):
    world.begin(CRASHING, labels=("a", "r1"))
    world.add_minions(SOUND, labels=("b", "r2"))
    world.accept(PATH, STEPS)
    end = time.monotonic() + 15
    while len(at_work(world)) < 3 and time.monotonic() < end:
        time.sleep(0.1)
    time.sleep(1)
    for minion in world.minions[:CRASHING] if trouble else []:
        minion.crash()
        time.sleep(DOWN_S)
        minion.boot()
        time.sleep(GAP_S - DOWN_S)
    time.sleep(UNRUN_S)
    state = world.state(PATH)
    running = at_work(world)
    world.record.write(f"state {state}; at work: {running}")
    failed = [task for task, ends in world.history.items()
              if any(how == "failed" for _, how in ends)]
    if state == "failed" and not failed:
        return (f"LOST: {PATH} is shown as failed though no run ended failed; "
                f"{len(running)} of its 3 tasks that last are at work")
    if len(running) < 3:
        return f"LOST: only {running} run {UNRUN_S} s after the last crash"
    return None


if __name__ == "__main__":
    run(Path(__file__).parent, play)
