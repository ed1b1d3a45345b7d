#pragma once

#include "bramleypath/routing/Router.h"

namespace bramleypath::routing::detail {

void OnCallAccepted(Router& aRouter, const CallAccepted& aEvent, TimePoint aNow,
                    Actions& aActions);
void OnCallerGone(Router& aRouter, const CallerGone& aEvent, TimePoint aNow,
                  Actions& aActions);

void OnNothingSent(Router& aRouter, const NothingSent& aEvent, TimePoint aNow,
                   Actions& aActions);
void OnConnectionLost(Router& aRouter, const ConnectionLost& aEvent,
                      TimePoint aNow, Actions& aActions);
void OnAnswer(Router& aRouter, const AnswerReceived& aEvent, TimePoint aNow,
              Actions& aActions);

void OnGrant(Router& aRouter, const GrantReceived& aEvent, TimePoint aNow,
             Actions& aActions);
void OnGrantRefused(Router& aRouter, const GrantRefused& aEvent, TimePoint aNow,
                    Actions& aActions);
void OnGrantWaiting(Router& aRouter, const GrantWaiting& aEvent);
void OnGrantTimeout(Router& aRouter, const GrantTimeout& aEvent, TimePoint aNow,
                    Actions& aActions);

void OnStop(Router& aRouter, const StopRequested& aEvent, TimePoint aNow,
            Actions& aActions);

// Runs all timers that are due and advances a planned stop.
void RunDueTimers(Router& aRouter, TimePoint aNow, Actions& aActions);

// Sends queued calls of the service to free targets, then to other data
// centres. Refuses the rest if no target is left that could serve them.
void DispatchQueued(Router& aRouter, ServiceIndex aService, TimePoint aNow,
                    Actions& aActions);
void DispatchAllQueued(Router& aRouter, TimePoint aNow, Actions& aActions);

}  // namespace bramleypath::routing::detail
