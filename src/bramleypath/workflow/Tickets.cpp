#include "bramleypath/workflow/Tickets.h"

#include <algorithm>

namespace bramleypath::workflow {

namespace {

// Limit on the workers of one request. With 30, a single request suffices for a
// stage, which is what its latency objective allows for.
constexpr std::size_t kMaxQueriedWorkers = 30;
// Time for the commit and the request that precede a start.
constexpr Duration kTicketUseMargin = Millis(250);
// Tickets to hold at a time, since workers may fill up before a start.
constexpr std::uint32_t kSpareTickets = 2;

}  // namespace

std::optional<std::string> FindTicket(const TicketCache& aCache,
                                      const TaskKey& aStage,
                                      WorkerNumber aWorker, TimePoint aNow) {
  const auto stage = aCache.stages.find(aStage);
  if (stage == aCache.stages.end()) {
    return std::nullopt;
  }
  const auto held = stage->second.held.find(aWorker);
  if (held == stage->second.held.end() ||
      held->second.until < aNow + kTicketUseMargin) {
    return std::nullopt;
  }
  return held->second.text;
}

std::vector<WorkerNumber> SelectWorkersToQuery(
    const TicketCache& aCache, const TaskKey& aStage,
    const std::vector<WorkerNumber>& aCandidates, std::uint32_t aWanted,
    TimePoint aNow) {
  std::vector<WorkerNumber> toQuery;
  if (aCache.requestInFlight || aNow < aCache.nextRequestAt) {
    return toQuery;
  }
  const auto stage = aCache.stages.find(aStage);
  std::uint32_t valid = 0;
  for (const WorkerNumber worker : aCandidates) {
    if (FindTicket(aCache, aStage, worker, aNow)) {
      ++valid;
    } else if (stage == aCache.stages.end() ||
               stage->second.refused.count(worker) == 0) {
      toQuery.push_back(worker);
    }
  }
  if (valid >= std::min<std::uint32_t>(aWanted, kSpareTickets)) {
    toQuery.clear();
  }
  if (toQuery.size() > kMaxQueriedWorkers) {
    toQuery.resize(kMaxQueriedWorkers);
  }
  return toQuery;
}

void StoreTickets(TicketCache& aCache, const TaskKey& aStage,
                  const std::vector<WorkerNumber>& aQueried,
                  const std::vector<IssuedTicket>& aIssued,
                  std::uint32_t aValidMs, TimePoint aNow) {
  StageTickets& stage = aCache.stages[aStage];
  for (const WorkerNumber worker : aQueried) {
    stage.held.erase(worker);
    stage.refused.insert(worker);
  }
  for (const IssuedTicket& issued : aIssued) {
    stage.refused.erase(issued.worker);
    stage.held[issued.worker] = StageTickets::HeldTicket{
        issued.text, aNow + Millis(static_cast<std::int64_t>(aValidMs))};
  }
}

void DropTicket(TicketCache& aCache, const TaskKey& aStage,
                WorkerNumber aWorker) {
  const auto stage = aCache.stages.find(aStage);
  if (stage != aCache.stages.end()) {
    stage->second.held.erase(aWorker);
  }
}

}  // namespace bramleypath::workflow
