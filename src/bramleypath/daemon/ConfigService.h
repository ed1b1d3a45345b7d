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

// The configuration in force on this host and, on a voter, its replica.
class ConfigService : public group::StateMachine {
 public:
  ConfigService(HostId aSelf, const DataCentreId& aDataCentre,
                std::uint64_t aIncarnation, const Hosts& aFirstHosts,
                const config::DistributionSettings& aSettings, Groups& aGroups,
                net::PeerLinks& aLinks, PeerRpc& aRpc);

  // Called after the configuration in force changed.
  std::function<void()> onInForce;

  consensus::Bytes Apply(const group::CommittedCommand& aCommand) override;
  consensus::Bytes TakeSnapshot() override;
  bool Restore(consensus::LogIndex aIndex, gsl::span<const std::uint8_t> aState,
               std::string& aReason) override;

  // A frame of the kind "config".
  void OnFrame(const net::PeerFrame& aFrame);
  void Tick(TimePoint aNow);
  void OnLeadershipLost();

  // The body of POST /v1/ops/config. aForwarded requests are not forwarded
  // again.
  void HandleChange(const std::string& aBody, bool aForwarded,
                    TimePoint aDeadline, PeerRpc::Respond aRespond);

  const config::Configuration& Current() const {
    return this->distribution.state.configuration;
  }
  const config::Distribution& State() const { return this->distribution; }
  bool IsReady() const { return this->distribution.ready; }
  // The hosts of the configuration, or those of the settings while it names
  // none.
  Hosts CurrentHosts() const;

 private:
  // This host leads with a lease and has applied all it committed.
  bool HoldsConfirmedIndex() const;
  void Handle(const config::DistributionActions& aActions);
  void Propose(const config::Command& aCommand, TimePoint aDeadline,
               PeerRpc::Respond aRespond);

  HostId self;
  Hosts firstHosts;
  Groups& groups;
  net::PeerLinks& links;
  PeerRpc& rpc;
  config::Distribution distribution;
  // The state of this host's replica. The distribution may be ahead of it,
  // since it also gets states from peers; snapshots are taken of this one.
  config::ConfigState replicated;
};

// {"error", "field", "detail"} as in docs/operator-api.md.
net::HttpResponse OperatorError(std::uint32_t aStatus, const char* aError,
                                const std::string& aField,
                                const std::string& aDetail);

}  // namespace bramleypath::daemon
