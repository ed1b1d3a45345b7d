#pragma once

#include "bramleypath/routing/Router.h"

namespace bramleypath::routing::detail {

// The class's index in the service, added if needed. Once maxClassesPerService
// is reached, all further classes share the last index.
ClassIndex EnsureClass(Router& aRouter, ServiceState& aService,
                       const ClassId& aClass);

// The reason why the call can't be queued; nothing if it can.
std::optional<Reason> CheckAdmission(Router& aRouter, const Call& aCall,
                                     TimePoint aNow);

enum class QueuePosition { Front, Back };

// Adds the call to its flow. False if it needs a new flow and maxFlows is
// reached.
bool PushToFlow(Router& aRouter, CallId aId, const Call& aCall,
                QueuePosition aPosition);

// Subtracts a waiting call that was dequeued or has ended from the counts of
// its queues.
// Recomputes the sums of weights after the policies have changed.
void UpdateWaitingWeights(Router& aRouter);

void DecrementQueueCounts(Router& aRouter, const Call& aCall);

enum class Destination { Local, Remote };

// A waiting call, by its position in the queue of its service.
struct Selected {
  std::uint32_t clientAccount = 0;
  std::uint32_t flow = 0;
  CallId call = 0;
};
// Finds the next call in fair-queueing order that may be sent now; the call
// stays in the queue.
std::optional<Selected> SelectNext(Router& aRouter, ServiceIndex aService,
                                   Destination aDestination, TimePoint aNow);

// Removes the selected call from the queue and charges its cost to its client
// account and flow.
void Dequeue(Router& aRouter, ServiceIndex aService, const Selected& aSelected);

// The time that must be left until the deadline for the call to be sent.
Duration MinRemainingTime(const Router& aRouter, const Call& aCall);

// The policy of the client account, or the defaults.
ClientAccountPolicy PolicyOf(const Router& aRouter,
                             const ClientAccountId& aClientAccount);
bool IsAtLimit(const Router& aRouter, const ClientAccountId& aClientAccount);

}  // namespace bramleypath::routing::detail
