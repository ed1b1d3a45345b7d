#pragma once

#include <functional>
#include <string>

#include "bramleypath/daemon/CallService.h"
#include "bramleypath/daemon/CellService.h"
#include "bramleypath/daemon/ConfigService.h"
#include "bramleypath/daemon/Groups.h"
#include "bramleypath/daemon/TargetMembershipService.h"
#include "bramleypath/metrics/Registry.h"
#include "bramleypath/net/HttpListener.h"
#include "bramleypath/net/PeerLinks.h"

namespace bramleypath::daemon {

// The services that the operator endpoints read and change. cell is null in a
// data centre without a cell.
struct OperatorDependencies {
  HostId self;
  DataCentreId dataCentre;
  Groups& groups;
  ConfigService& config;
  CellService* cell = nullptr;
  TargetMembershipService& targetMembership;
  CallService& calls;
  net::PeerLinks& links;
  metrics::Registry& metrics;
};

// Serves the endpoints that docs/operator-api.md describes.
class OperatorService {
 public:
  explicit OperatorService(OperatorDependencies aDependencies);

  // Called for POST /v1/ops/stop to start the planned stop.
  std::function<void()> onStop;

  void Handle(const net::HttpRequest& aRequest, PeerRpc::Respond aRespond);

 private:
  net::HttpResponse Config() const;
  net::HttpResponse Status() const;
  net::HttpResponse Targets() const;
  net::HttpResponse Metrics() const;
  net::HttpResponse ExplainCall(const std::string& aRequestId) const;
  void Drain(const net::HttpRequest& aRequest, PeerRpc::Respond aRespond);
  net::HttpResponse ChangeLogLevel(const net::HttpRequest& aRequest) const;

  OperatorDependencies dependencies;
};

}  // namespace bramleypath::daemon
