#pragma once

#include <functional>
#include <string>
#include <vector>

#include "bramleypath/config/Types.h"
#include "bramleypath/daemon/Groups.h"
#include "bramleypath/membership/Members.h"
#include "bramleypath/net/HttpListener.h"
#include "bramleypath/net/PeerLinks.h"
#include "bramleypath/routing/Types.h"

namespace bramleypath::daemon {

constexpr const char* kGossipKind = "gossip";

// The live targets and workers on this host: announcements and gossip in,
// events for the router out.
class TargetMembershipService {
 public:
  TargetMembershipService(HostId aSelf, DataCentreId aDataCentre,
                          const Hosts& aHosts, membership::Session aSession,
                          net::PeerLinks& aLinks);

  // What the router must know.
  std::function<void(routing::Event)> onRouterEvent;
  // The outstanding calls of this host's router, for gossip.
  std::function<std::vector<membership::TargetLoad>()> ownLoads;

  // POST /v1/targets/announce and /v1/targets/leave.
  net::HttpResponse HandleTarget(const net::HttpRequest& aRequest);
  void OnFrame(const net::PeerFrame& aFrame);
  void OnConfiguration(const config::Configuration& aConfiguration,
                       const Hosts& aHosts);
  void AnnounceStop();
  // Call each gossip interval.
  void Tick(TimePoint aNow);

  const membership::Members& State() const { return this->members; }

 private:
  void Step(const membership::Event& aEvent);
  void Handle(const membership::Actions& aActions);

  net::PeerLinks& links;
  membership::Members members;
  std::set<TargetId> drained;
};

}  // namespace bramleypath::daemon
