#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bramleypath/workflow/Scheduler.h"
#include "tests/workflow/WorkerModel.h"

namespace bramleypath::workflow {

// Shares of orders that go wrong, and what else may happen.
struct Faults {
  double orderLost = 0;    // never arrives
  double answerLost = 0;   // carried out, without an answer
  double carriedLate = 0;  // no answer, carried out 2 to 12 s later
  double commitLost = 0;   // outcome unknown; applied or not
  double paceLost = 0;     // as orderLost, of paces only
};

// A leader and its workers in virtual time, joined by a network that loses,
// delays and repeats. It checks with each start that the task runs nowhere
// else, was not done before, and fits.
class CellModel {
 public:
  explicit CellModel(std::uint64_t aSeed);

  void AddWorker(const std::string& aId);
  // The cell's time of day.
  std::int64_t UnixMs() const;
  void Submit(const JobSpec& aSpec);
  void Cancel(const std::string& aJob);
  // Another leader takes over; commits under way are applied or lost.
  void ChangeLeader();
  void RestartWorker(const std::string& aId);
  // While cut, no order reaches the worker and no announcement comes back.
  void SetCut(const std::string& aId, bool aCut);
  void Run(Duration aLength);

  State state;
  std::optional<Scheduler> scheduler;
  std::map<std::string, WorkerModel> workers;
  Faults faults;
  Random random;
  TimePoint now;
  // What was wrong; empty: nothing.
  std::vector<std::string> violations;
  std::uint64_t starts = 0;
  std::vector<DecisionRecord> notes;
  // Workers that the admission service allows; empty: all.
  std::set<std::string> allowed;
  std::uint64_t ticketRequests = 0;

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> act;
  };

  void At(TimePoint aAt, std::function<void()> aAct);
  void Announce();
  void Perform(SchedulerActions aActions);
  void PerformOne(const Commit& aCommit);
  void PerformOne(const SendStart& aStart);
  void PerformOne(const SendStop& aStop);
  void PerformOne(const SendPace& aPace);
  void PerformOne(const SendHold& aHold);
  void PerformOne(const RequestTickets& aRequest);
  void PerformOne(const DecisionRecord& aDecision);
  // Delivers an order and its answer, or loses either.
  void Deliver(WorkerNumber aWorker,
               const std::function<OrderAnswer(WorkerModel&)>& aCarry,
               const std::function<void(const OrderAnswer&)>& aAnswered);
  WorkerModel* FindModel(WorkerNumber aWorker);
  OrderAnswer StartOn(WorkerModel& aWorker, const StartOrder& aOrder);
  void CheckStart(const WorkerModel& aWorker, const StartOrder& aOrder);
  void NoteEnds(const Commit& aCommit);

  std::vector<Event> events;
  std::uint64_t lastEvent = 0;
  Epoch epoch = 0;
  TimePoint announceAt;
  std::set<std::string> cut;
  std::set<std::string> done;  // tasks whose end is committed
};

}  // namespace bramleypath::workflow
