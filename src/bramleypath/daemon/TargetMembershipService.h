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

// Tracks the live targets from announcements and gossip, and passes changes on
// to the router.
class TargetMembershipService {
 public:
  TargetMembershipService(HostId aSelf, DataCentreId aDataCentre,
                          const EntryHosts& aHosts,
                          membership::Session aSession, net::PeerLinks& aLinks);

  // Called for each event that the router handles.
  std::function<void(routing::Event)> onRouterEvent;
  // Returns the outstanding calls of this host's router for each target, which
  // are gossiped.
  std::function<std::vector<membership::TargetLoad>()> ownLoads;

  // POST /v1/targets/announce and /v1/targets/leave.
  net::HttpResponse HandleTarget(const net::HttpRequest& aRequest);
  void OnFrame(const net::PeerFrame& aFrame);
  void OnConfiguration(const config::Configuration& aConfiguration,
                       const EntryHosts& aHosts);
  void AnnounceStop();
  // Must be called every gossip interval.
  void Tick(TimePoint aNow);

  const membership::Members& State() const { return this->members; }

 private:
  void Step(const membership::Event& aEvent);
  void Handle(const membership::Actions& aActions);

  net::PeerLinks& links;
  membership::Members members;
  std::set<TargetId> drainedTargets;
};

}  // namespace bramleypath::daemon
