#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "bramleypath/base/Ids.h"
#include "bramleypath/base/TimePoint.h"
#include "bramleypath/controller/ControlGroup.h"
#include "bramleypath/metrics/LatencyHistogram.h"
#include "bramleypath/net/Http.h"
#include "bramleypath/net/HttpClient.h"
#include "bramleypath/net/HttpListener.h"

namespace bramleypath::relay {

// Carries the caller's Host header to the leader.
constexpr const char* kHostHeader = "Bramleypath-Host";
// An answer of a host that does not lead: the request was not looked at. Its
// value is the leader's host, or empty.
constexpr const char* kNotLeaderHeader = "Bramleypath-Not-Leader";
constexpr std::uint32_t kNotLeaderStatus = 421;

struct RelaySettings {
  std::vector<HostId> seeds;
  std::uint16_t controlPort = 0;
  // Header in which callers say how many ms they wait for an answer.
  std::string deadlineHeader;
};

struct RelayCounters {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t unavailable = 0;     // 503: certainly not run
  std::uint64_t outcomeUnknown = 0;  // 504
  std::uint64_t retries = 0;
  // From a request to its answer, whatever it says.
  metrics::LatencyHistogram answerLatency;
};

// Passes callers' requests on to the leader of the control plane. Every request
// may be sent more than once, because the leader recognises each by its id.
class Relay {
 public:
  Relay(asio::io_context& aContext, RelaySettings aSettings,
        net::HttpClient& aClient);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  void Handle(net::HttpRequest aRequest, net::HttpResponder aResponder);
  void SetSeeds(std::vector<HostId> aSeeds);
  // Looks for the leader when it was not heard lately. Call it every 100 ms.
  void Tick(TimePoint aNow);
  // Whether a leader has answered within the last seconds.
  bool HasLeaderContact(TimePoint aNow) const;
  const RelayCounters& Counters() const { return this->counters; }

 private:
  struct Call;
  void Try(const std::shared_ptr<Call>& aCall);
  void TryLater(const std::shared_ptr<Call>& aCall);
  void OnResult(const std::shared_ptr<Call>& aCall, const HostId& aHost,
                net::ClientResult aResult);
  void GiveUp(const std::shared_ptr<Call>& aCall);
  void Answer(const std::shared_ptr<Call>& aCall, net::HttpResponse aResponse);
  HostId NextHost();
  void LearnLeader(const HostId& aLeader);
  void LoseLeader(const HostId& aHost);
  void Look(TimePoint aNow);
  std::string AddressOf(const HostId& aHost) const;

  asio::io_context& context;
  RelaySettings settings;
  net::HttpClient& client;
  HostId leader;
  std::vector<HostId> hosts;
  std::size_t nextHost = 0;
  TimePoint heardLeaderAt;
  bool everHeard = false;
  bool looking = false;
  TimePoint lookAt;
  RelayCounters counters;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace bramleypath::relay
