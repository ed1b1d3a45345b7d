#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bramleypath/base/Random.h"
#include "bramleypath/cell/CellState.h"
#include "bramleypath/cell/Scheduler.h"
#include "bramleypath/workeragent/WorkerAgent.h"

namespace bramleypath::cell {

// Violations of the safety rules, and the processes and commits from which they
// are detected.
struct Oracle {
  std::vector<std::string> violations;
  // The running attempt of each task; at most one at any time.
  std::map<TaskId, AttemptId> running;
  std::map<WorkerId, Resources> usage;
  std::set<AttemptId> started;
  std::map<AttemptId, WorkerId> committedStarts;
  std::set<TaskId> ended;
  std::set<AttemptId> checkpointed;
  std::map<TaskId, std::string> resumeFrom;
};

// A replica of the cell group: a scheduler and a copy of the state.
struct Replica {
  Scheduler scheduler;
  CellState state;
  std::size_t applied = 0;
  double clockRate = 1;
  bool believesLeading = false;
  bool paused = false;
  // Events that arrived while the replica was paused.
  std::deque<EventBody> inbox;
};

struct Process {
  std::int64_t endsAt = 0;  // true time, in microseconds
  std::int64_t checkpointAt = 0;
  Resources resources;
};

struct Host {
  workeragent::WorkerAgent agent;
  double clockRate = 1;
  std::int64_t clockOffset = 0;
  bool up = true;
  bool failsEverything = false;
  bool cutOff = false;
  // When set, the host reaches only this replica, as after the failure of a
  // switch.
  std::optional<std::size_t> onlyReplica;
  std::int64_t nextReport = 0;
  std::map<AttemptId, Process> processes;
};

struct LogEntry {
  std::int64_t commitAt = 0;
  std::size_t proposer = 0;
  std::uint64_t token = 0;
  Command command;
};

enum class FaultKind : std::uint8_t {
  None,
  SubmitJob,
  SubmitUrgent,
  SubmitFailingJob,
  SubmitImpossible,
  CancelHalf,
  CrashWorker,
  ReturnWorkers,
  CutOffWorker,
  MakeWorkerBad,
  ChangeLeader,
  PauseLeader,
  IsolateLeader,
  ResumeReplicas,
  EvictSome,
  ThrottleSome,
  ChangeQuota,
  NetworkGood,
  NetworkBad,
  Last
};

// A fault or a request, and a number that selects its details.
struct Fault {
  FaultKind kind = FaultKind::None;
  std::uint32_t selector = 0;
};

// Simulates replicas, workers with clocks up to 1% fast or slow, a network and
// a replicated log, all in one thread on simulated true time.
struct CellModel {
  explicit CellModel(std::uint64_t aSeed);

  void Inject(const Fault& aFault);
  void Run(std::int64_t aMicros);
  // Ends all faults except that of a worker that fails everything, and runs
  // until all jobs have ended or the time is up. Returns whether all have
  // ended.
  bool RunUntilJobsEnd(std::int64_t aMaxMicros);

  Random random;
  std::int64_t now = 0;
  std::vector<Replica> replicas;
  std::vector<Host> hosts;
  std::size_t leader = 0;
  Epoch epoch = 0;
  std::vector<LogEntry> log;
  std::deque<LogEntry> proposed;
  CellState committedState;
  std::multimap<std::int64_t, std::function<void()>> network;
  bool networkBad = true;
  std::set<JobId> failingJobs;
  std::uint32_t submitted = 0;
  Oracle oracle;
  // Deliberate faults that the oracle must detect: the leader lease is not
  // checked, or starts are sent before their commit.
  bool ignoreLeaderLease = false;
  bool startBeforeCommit = false;

 private:
  std::int64_t RandomBelow(std::int64_t aBound);
  void RecordViolation(const std::string& aText);
  TimePoint LocalTime(const Replica& aReplica) const;
  TimePoint LocalTime(const Host& aHost) const;
  void Transmit(const std::function<void()>& aDeliver);
  void Deliver(std::size_t aReplica, const EventBody& aEvent);
  void StepReplica(std::size_t aReplica, const EventBody& aEvent);
  void SendToWorker(std::size_t aReplica, const CommandBatch& aBatch);
  void SendToLeader(std::size_t aHost, bool aAnnounce);
  void ExecuteEffects(Host& aHost,
                      const std::vector<workeragent::Effect>& aEffects,
                      bool aOnCommand);
  void StartProcess(Host& aHost, const WorkerCommand& aCommand);
  void EndProcess(Host& aHost, const AttemptId& aAttempt);
  void StepHost(std::size_t aHost);
  void SubmitAsClient(const Command& aCommand);
  void Commit(const LogEntry& aEntry);
  void CheckCommit(const Command& aCommand, const CellState& aBefore);
  void CatchUp(std::size_t aReplica);
  void Resume(std::size_t aReplica);
  void ElectLeader(std::size_t aReplica, bool aNotifyOldLeader);
  JobSpec MakeJob(std::uint32_t aSelector);
  void RequestMitigation(AttemptMark aMark, std::uint32_t aSelector);
};

}  // namespace bramleypath::cell
