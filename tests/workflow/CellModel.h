#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bramleypath/workflow/Announcements.h"
#include "bramleypath/workflow/Scheduler.h"
#include "tests/workflow/WorkerModel.h"

namespace bramleypath::workflow {

// Probabilities of faults, per request or per commit.
struct Faults {
  double requestLost = 0;   // the request never arrives
  double answerLost = 0;    // the request is executed, but its answer is lost
  double executedLate = 0;  // no answer; executed 2 to 12 s later
  double commitLost = 0;    // the outcome is unknown; applied or not
  double paceLost = 0;      // as requestLost, but only for pace requests
  double sentTooLate = 0;   // not sent, since the leader was late
  double startLost = 0;     // as requestLost, but only for starts
  double startTooLate = 0;  // as sentTooLate, but only for starts
  // The announcement is lost and repeated a second later.
  double announcementLost = 0;
  double announcementLate = 0;  // it arrives up to 4 s later
};

// How the leader changes.
enum class LeaderChange {
  Restart,  // the leader's process ends, planned or not, and starts again
  Freeze,   // the leader's process stands still and goes on later
  Replace,  // the leader's host is lost, and an empty one takes its place
};

// How a start ends that is sent over a connection to a process that is gone,
// while another one listens at its address.
enum class StaleConnection {
  Closed,  // known to be closed: a new connection reaches the successor
  Reset,   // the start is lost, which the leader learns at once
  Silent   // the start is lost, which the leader learns by its timeout
};

// A leader and its workers in virtual time, connected by a network that loses
// and delays messages. Checks at each start that the task runs on no other
// worker, was not done before, and fits, and at each acknowledgement that the
// ends that it covers are recorded.
class CellModel {
 public:
  explicit CellModel(std::uint64_t aSeed);

  void AddWorker(const std::string& aId);
  // The cell's time of day.
  std::int64_t UnixMs() const;
  void Submit(const JobSpec& aSpec);
  void Cancel(const std::string& aJob);
  // Starts a new leader. Commits that are still pending are lost.
  void ChangeLeader(LeaderChange aChange = LeaderChange::Restart);
  // A replica that doesn't lead is stopped and started again.
  void RestartFollower();
  // Commits nothing for aLength. What is proposed meanwhile is applied
  // afterwards, in order, although its proposal timed out.
  void StallLog(Duration aLength);
  void RestartWorker(const std::string& aId);
  // The worker loses all of its tasks and is back after aLength.
  void CrashWorker(const std::string& aId, Duration aLength);
  // The worker crashes, and after aLength a process with another id listens at
  // its address. It answers each request that names the earlier id with the
  // word that it is another incarnation, but for starts over stale connections.
  void ReplaceWorker(const std::string& aId, const std::string& aNewId,
                     Duration aLength,
                     StaleConnection aConnection = StaleConnection::Closed);
  // A late announcement of a worker that is gone arrives. aId listens at its
  // address.
  void AnnounceGone(const std::string& aGone, const std::string& aId);
  // As RestartWorker, with another capacity. The first announcement follows
  // with those of the other workers.
  void RestartWorkerAs(const std::string& aId, const Resources& aCapacity);
  // The leader receives the worker's word that it will end. It runs on.
  void Leave(const std::string& aId);
  // The worker's process ends, and its address refuses connections.
  void EndWorker(const std::string& aId);
  // A partitioned worker receives no requests and announces itself to nobody.
  void SetPartitioned(const std::string& aId, bool aPartitioned);
  // A late leader sends no request in time.
  void SetLeaderLate(bool aLate);
  // The leader handles nothing for aLength: answers, commits, announcements and
  // its own timers wait, while the workers go on.
  void PauseLeader(Duration aLength);
  void Run(Duration aLength);

  State state;
  std::optional<Scheduler> scheduler;
  std::map<std::string, WorkerModel> workers;
  Faults faults;
  Random random;
  TimePoint now;
  // Violated invariants; empty if none was violated.
  std::vector<std::string> violations;
  std::uint64_t starts = 0;
  // Starts that another incarnation at the worker's address refused.
  std::uint64_t misdirectedStarts = 0;
  // By task: how often it was started, and how many workers crashed under it.
  std::map<std::string, std::uint32_t> startsOf;
  std::map<std::string, std::uint32_t> crashesUnder;
  // By task: its runs that had ended on a worker that crashed before that end
  // was acknowledged.
  std::map<std::string, std::uint32_t> endsLost;
  std::vector<DecisionRecord> decisions;
  // Workers that the admission service allows; empty: all.
  std::set<std::string> allowed;
  std::uint64_t ticketRequests = 0;
  Duration commitDelay = Millis(6);
  // How long a worker takes for a start.
  Duration startDelay;
  // Workers answer a lease renewal only after the time that it allows them,
  // also if an attempt ends before.
  bool renewalsWait = false;
  // A worker that crashes before it has answered a start leaves its connection
  // open, so that the leader learns of it by its timeout.
  bool crashesSilently = false;
  // How long a worker is down that a task has taken down, and whether it comes
  // back under another id.
  Duration crashedFor = Seconds(3);
  bool changesIdAtCrash = false;
  // Called when a start reaches its worker. If it returns true, the worker has
  // crashed before.
  std::function<bool(const std::string& aWorker, const StartRequest& aRequest)>
      crashesBeforeStart;

 private:
  // One replica's conclusions from the log.
  struct Replica {
    LeaseEnds leaseEnds;
    std::size_t applied = 0;  // of the log
    Duration lag;             // until it applies what is committed
  };
  // A command, or none for the first entry of a leader.
  struct LogEntry {
    std::optional<Command> command;
    TimePoint committedAt;
  };
  struct Event {
    TimePoint at;
    std::uint64_t sequence = 0;
    bool onLeader = false;
    std::function<void()> action;
  };

  // Schedules an event on a worker.
  void Schedule(TimePoint aAt, std::function<void()> aAction);
  void ScheduleOnLeader(TimePoint aAt, std::function<void()> aAction);
  // Commits a command.
  ApplyResult ApplyCommand(const Command& aCommand);
  void Append(const std::optional<Command>& aCommand);
  // The replica applies the log up to aEnd.
  void CatchUp(Replica& aReplica, std::size_t aEnd);
  void AdvanceFollowers();
  // The replica's process starts again from a snapshot of up to aSnapshotAt.
  void Restart(Replica& aReplica, std::size_t aSnapshotAt);
  void RunDueEvents();
  void Announce();
  void AnnounceWorker(const std::string& aId);
  // The leader receives an announcement.
  void Receive(const Announcement& aAnnouncement);
  void Perform(SchedulerActions aActions);
  void PerformOne(const Commit& aCommit);
  void PerformOne(const SendStart& aStart);
  void PerformOne(const SendStop& aStop);
  void PerformOne(const SendPace& aPace);
  void PerformOne(const SendLeaseRenewal& aRenewal);
  void PerformOne(const RequestTickets& aRequest);
  void PerformOne(const DecisionRecord& aDecision);
  void PerformOne(const JobCompletion& /*aCompletion*/) {}
  // Delivers a request and its answer, or loses or delays either.
  void Deliver(WorkerNumber aWorker,
               const std::function<RequestAnswer(WorkerModel&)>& aExecute,
               const std::function<void(const RequestAnswer&)>& aOnAnswer,
               Duration aExecutionDelay = {}, Duration aAnswerDelay = {},
               bool aIsStart = false);
  // Delivers as if the leader had been too late to send the request.
  void DeliverTooLate(
      const std::function<void(const RequestAnswer&)>& aOnAnswer);
  WorkerModel* FindModel(WorkerNumber aWorker);
  RequestAnswer StartOn(WorkerModel& aWorker, const StartRequest& aRequest,
                        TimePoint aSentAt);
  void CheckCapacity(const WorkerModel& aWorker, TimePoint aSentAt);
  // How another process answers at the address of a worker that is gone; none
  // if the address isn't taken.
  std::optional<RequestAnswer> AnswerOfSuccessor(const std::string& aId,
                                                 bool aIsStart) const;
  // A task takes the worker down.
  void CrashUnderTask(const std::string& aId);
  void CheckStart(const WorkerModel& aWorker, const StartRequest& aRequest);
  void RecordEnds(const Commit& aCommit);
  // Counts a crash of the worker under its running tasks.
  void CountCrashes(const WorkerModel& aWorker);
  // Checks that the done ends that the worker is about to discard are recorded.
  void CheckAcknowledgedEnds(const WorkerModel& aWorker,
                             std::uint64_t aLastSeen);

  std::vector<Event> events;
  std::uint64_t lastEvent = 0;
  Epoch epoch = 0;
  // The draws of faults must not depend on the replicas.
  Random replicaRandom;
  std::vector<Replica> replicas;
  std::size_t leader = 0;  // of replicas
  std::vector<LogEntry> log;
  TimePoint announceAt;
  TimePoint logStalledUntil;
  TimePoint leaderPausedUntil;
  bool isLeaderLate = false;
  std::set<std::string> partitioned;
  std::set<std::string> endedWorkers;
  std::map<std::string, StaleConnection> replacedWorkers;
  std::map<std::string, std::vector<StageSpec>> stages;  // by job
  std::set<std::string> done;  // tasks whose end is committed
};

}  // namespace bramleypath::workflow
