#pragma once

#include "bramleypath/routing/Router.h"

namespace bramleypath::routing::detail {

// The class's index in the service. Past the limit of classes, the last one
// stands for all further ones.
ClassIndex EnsureClass(Router& aRouter, ServiceState& aService,
                       const ClassId& aClass);

// Why the call can't be queued, if it can't.
std::optional<Reason> CheckAdmission(Router& aRouter, const Call& aCall,
                                     TimePoint aNow);

enum class Place { Front, Back };

// Adds the call to its flow; false when there are too many flows.
bool Push(Router& aRouter, CallId aId, const Call& aCall, Place aPlace);

// Keeps the counts when a call that waits is taken out or has ended.
void LeaveQueue(Router& aRouter, const Call& aCall);

enum class Destination { Local, Remote };

// The next call in fair order that may be sent now, left at its place.
struct Selected {
  std::uint32_t clientAccount = 0;
  std::uint32_t flow = 0;
  CallId call = 0;
};
std::optional<Selected> SelectNext(Router& aRouter, ServiceIndex aService,
                                   Destination aDestination, TimePoint aNow);

// Takes the selected call out and charges its member for it.
void Take(Router& aRouter, ServiceIndex aService, const Selected& aSelected);

// The least time that must be left for the call to be worth sending.
Duration NeededTime(const Router& aRouter, const Call& aCall);

// The policy of the member, or the defaults.
ClientAccountPolicy PolicyOf(const Router& aRouter,
                             const ClientAccountId& aClientAccount);
bool IsAtLimit(const Router& aRouter, const ClientAccountId& aClientAccount);

}  // namespace bramleypath::routing::detail
