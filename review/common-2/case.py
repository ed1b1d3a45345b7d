"""Runs one case. The exit status is 1 if the rule was broken, 0 if it held and
2 if the case could not run. TROUBLE=0 leaves the disruption out."""

import os
import sys
import threading
import traceback

from world import CannotRun, World

TIME_LIMIT_S = 115
BROKEN, HELD, CANNOT_RUN = 1, 0, 2


def wants_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run(folder, play, **settings):
    """Calls play(world, trouble), which returns what breaks the rule, or
    nothing."""
    world = None
    status = CANNOT_RUN

    def give_up():
        if world:
            world.record.write("the time limit is over")
            world.close()
        os._exit(CANNOT_RUN)

    watchdog = threading.Timer(TIME_LIMIT_S, give_up)
    watchdog.daemon = True
    watchdog.start()
    try:
        world = World(folder, **settings)
        broken = play(world, wants_trouble())
        status = BROKEN if broken else HELD
        world.record.write(f"verdict: {broken or 'the rule held'}")
        print(broken or "the rule held")
    except CannotRun as reason:
        print(f"the case could not run: {reason}")
    except Exception:  # a fault of the case itself
        traceback.print_exc()
    finally:
        if world:
            world.close()
    watchdog.cancel()
    sys.stdout.flush()
    os._exit(status)
