#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bramleypath/base/TimePoint.h"
#include "bramleypath/workflow/Driver.h"
#include "bramleypath/workflow/Types.h"

namespace bramleypath::workflow {

// Tickets for one stage of a queue that needs them. The admission service
// handles one request at a time and takes longer with each worker named. A
// request therefore names few workers, and those that were refused are not
// named again.
struct StageTickets {
  struct HeldTicket {
    std::string text;
    TimePoint until;
  };
  std::map<WorkerNumber, HeldTicket> held;
  // Workers that the service does not allow to run the stage.
  std::set<WorkerNumber> refused;
};

struct TicketCache {
  // By the stage's key; its index is 0.
  std::map<TaskKey, StageTickets> stages;
  bool requestInFlight = false;
  TimePoint nextRequestAt;
};

// A ticket for the worker that stays valid until the start can arrive there.
std::optional<std::string> FindTicket(const TicketCache& aCache,
                                      const TaskKey& aStage,
                                      WorkerNumber aWorker, TimePoint aNow);

// The workers to name in the next ticket request, in the order of aCandidates.
// Empty while enough valid tickets are held or a request is in flight.
std::vector<WorkerNumber> SelectWorkersToQuery(
    const TicketCache& aCache, const TaskKey& aStage,
    const std::vector<WorkerNumber>& aCandidates, std::uint32_t aWanted,
    TimePoint aNow);

struct IssuedTicket {
  WorkerNumber worker = 0;
  std::string text;
};

// Stores the answer to a request that named aQueried.
void StoreTickets(TicketCache& aCache, const TaskKey& aStage,
                  const std::vector<WorkerNumber>& aQueried,
                  const std::vector<IssuedTicket>& aIssued,
                  std::uint32_t aValidMs, TimePoint aNow);

// Discards a ticket, since its worker did not accept the start.
void DropTicket(TicketCache& aCache, const TaskKey& aStage,
                WorkerNumber aWorker);

}  // namespace bramleypath::workflow
