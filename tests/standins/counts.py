"""Counts kept and broken guarantees from the ledgers only."""

from collections import defaultdict

from caller import expected_answer
from deployment import read_ledger


class Counts:
    """The entries of all ledgers. The counting methods append a description of
    each broken guarantee to faults."""

    def __init__(self, deployment, expected_jobs, cancelled_jobs=()):
        """expected_jobs maps jobs that must finish to their number of tasks."""
        self.calls = read_ledger(deployment.folder / "caller.ledger")
        self.runs = defaultdict(list)
        for target in deployment.targets.values():
            for entry in read_ledger(target.ledger):
                if entry["event"] == "run":
                    self.runs[entry["body"]].append((target.name, entry))
        self.attempts = defaultdict(list)
        for worker in deployment.workers.values():
            for entry in read_ledger(worker.ledger):
                if entry["event"] in ("start", "end"):
                    entry["worker"] = worker
                    self.attempts[(entry["job"], entry["index"])].append(entry)
        self.expected_jobs = expected_jobs
        self.cancelled_jobs = cancelled_jobs
        self.faults = []

    def count(self, outcome):
        return sum(1 for call in self.calls if call["outcome"] == outcome)

    def unknown(self):
        """Counts calls with an unknown outcome, including those that lost their
        connection to the entry host."""
        return self.count("outcome_unknown") + self.count("broken")

    def lost(self):
        """Counts calls without a valid outcome, and completed calls that no
        target ran."""
        lost = 0
        for call in self.calls:
            if call["outcome"] not in ("completed", "not_run",
                                       "outcome_unknown", "broken"):
                self.faults.append(f"no outcome: {call}")
                lost += 1
            elif call["outcome"] == "completed" and not self.runs[call["body"]]:
                self.faults.append(f"completed and never run: {call}")
                lost += 1
        return lost

    def duplicated(self):
        """Counts executions of non-idempotent calls after the first, and
        executions of calls for which every answer was not_run."""
        by_body = defaultdict(list)
        for call in self.calls:
            by_body[call["body"]].append(call)
        duplicated = 0
        for body, calls in by_body.items():
            runs = len(self.runs[body])
            idempotent = calls[0]["idempotent"]
            none_ran = all(call["outcome"] == "not_run" for call in calls)
            if none_ran and runs > 0:
                self.faults.append(f"not_run and run {runs} times: {calls}")
                duplicated += runs
            elif not idempotent and runs > 1:
                self.faults.append(f"run {runs} times: {calls}")
                duplicated += runs - 1
        return duplicated

    def wrong_answers(self):
        wrong = 0
        for call in self.calls:
            if (call["outcome"] == "completed"
                    and call["answer"] != expected_answer(call["body"])):
                self.faults.append(f"wrong answer: {call}")
                wrong += 1
        return wrong

    def intervals(self, attempts):
        """Returns (start, end, entry) of each attempt, ordered by start. The end
        of an attempt without an end entry is infinity."""
        open_attempts = {}
        found = []
        for entry in sorted(attempts, key=lambda row: row["at"]):
            key = (entry["attempt"], entry["worker"].name)
            if entry["event"] == "start":
                open_attempts[key] = entry
            elif key in open_attempts:
                start = open_attempts.pop(key)
                found.append((start["at"], entry["at"], start))
        found += [(start["at"], float("inf"), start)
                  for start in open_attempts.values()]
        return sorted(found, key=lambda interval: interval[0])

    def two_places(self):
        """Counts attempts that started before the previous attempt of the task
        had ended."""
        overlaps = 0
        for task, attempts in self.attempts.items():
            intervals = self.intervals(attempts)
            for before, after in zip(intervals, intervals[1:]):
                if after[0] < before[1]:
                    self.faults.append(f"two places: {task} {before} {after}")
                    overlaps += 1
        return overlaps

    def ended_once(self):
        """Counts tasks that finished exactly once."""
        ended = 0
        for job, tasks in self.expected_jobs.items():
            for index in range(tasks):
                finished = [entry for entry in self.attempts[(job, index)]
                            if entry["event"] == "end"
                            and entry["detail"] == "finished"]
                ended += 1 if len(finished) == 1 else 0
                if len(finished) != 1:
                    self.faults.append(
                        f"task {job}/{index} finished {len(finished)} times")
        for (job, index), entries in list(self.attempts.items()):
            finished = sum(entry["event"] == "end"
                           and entry["detail"] == "finished"
                           for entry in entries)
            if job in self.cancelled_jobs and finished > 1:
                self.faults.append(
                    f"cancelled task {job}/{index} finished {finished} times")
        return ended

    def overcommitted(self):
        """Counts workers whose attempts exceeded the capacity at some time."""
        changes = defaultdict(list)
        for attempts in self.attempts.values():
            for start, end, entry in self.intervals(attempts):
                worker = entry["worker"]
                size = (entry["processors"], entry["memory"])
                changes[worker].append((start, 1, size))
                changes[worker].append((end, 0, size))
        overcommitted = 0
        for worker, worker_changes in changes.items():
            processors = memory = 0
            for _, begins, size in sorted(worker_changes,
                                          key=lambda change: change[:2]):
                sign = 1 if begins else -1
                processors += sign * size[0]
                memory += sign * size[1]
                if processors > worker.processors or memory > worker.memory:
                    self.faults.append(f"{worker.name} is overcommitted")
                    overcommitted += 1
                    break
        return overcommitted
