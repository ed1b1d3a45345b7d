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

// Carries out all timers that are due, and the steps of a planned stop.
void OnTime(Router& aRouter, TimePoint aNow, Actions& aActions);

// Sends what can be sent of the service's queue.
void Pump(Router& aRouter, ServiceIndex aService, TimePoint aNow,
          Actions& aActions);
void PumpAll(Router& aRouter, TimePoint aNow, Actions& aActions);

}  // namespace bramleypath::routing::detail
