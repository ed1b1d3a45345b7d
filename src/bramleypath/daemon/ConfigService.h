#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "bramleypath/config/Change.h"
#include "bramleypath/config/Distribution.h"
#include "bramleypath/config/State.h"
#include "bramleypath/daemon/Groups.h"
#include "bramleypath/daemon/PeerRpc.h"
#include "bramleypath/group/StateMachine.h"
#include "bramleypath/net/Http.h"
#include "bramleypath/net/PeerLinks.h"

namespace bramleypath::daemon {

constexpr const char* kConfigKind = "config";

// Keeps the configuration that is in force on this host and, on a voter, is the
// state machine of its replica.
class ConfigService : public group::StateMachine {
 public:
  ConfigService(HostId aSelf, const DataCentreId& aDataCentre,
                std::uint64_t aIncarnation, const EntryHosts& aInitialHosts,
                const config::DistributionSettings& aSettings, Groups& aGroups,
                net::PeerLinks& aLinks, PeerRpc& aRpc);

  // Called after the configuration in force changed.
  std::function<void()> onInForce;

  consensus::Bytes Apply(const group::CommittedCommand& aCommand) override;
  consensus::Bytes TakeSnapshot() override;
  bool Restore(consensus::LogIndex aIndex, gsl::span<const std::uint8_t> aState,
               std::string& aReason) override;

  // Handles a frame of the kind kConfigKind.
  void OnFrame(const net::PeerFrame& aFrame);
  void Tick(TimePoint aNow);
  void OnLeadershipLost();

  // POST /v1/ops/config with the body aBody. A request that another host
  // forwarded (aForwarded) is not forwarded again.
  void HandleChange(const std::string& aBody, bool aForwarded,
                    TimePoint aDeadline, PeerRpc::Respond aRespond);

  const config::Configuration& Current() const {
    return this->distribution.state.configuration;
  }
  const config::Distribution& State() const { return this->distribution; }
  bool IsReady() const { return this->distribution.ready; }
  // The entry hosts of the configuration, or those of the settings while the
  // configuration has none.
  EntryHosts CurrentHosts() const;

 private:
  // True when this host leads with a valid lease and has applied all committed
  // commands.
  bool HoldsConfirmedIndex() const;
  void Handle(const config::DistributionActions& aActions);
  void Propose(const config::Command& aCommand, TimePoint aDeadline,
               PeerRpc::Respond aRespond);

  HostId self;
  EntryHosts initialHosts;
  Groups& groups;
  net::PeerLinks& links;
  PeerRpc& rpc;
  config::Distribution distribution;
  // The state of this host's replica, of which snapshots are taken. The
  // distribution may be ahead of it, since it also gets states from peers.
  config::ConfigState replicated;
};

// A response with the body {"error", "field", "detail"} that
// docs/operator-api.md describes.
net::HttpResponse OperatorError(std::uint32_t aStatus, const char* aError,
                                const std::string& aField,
                                const std::string& aDetail);

}  // namespace bramleypath::daemon
