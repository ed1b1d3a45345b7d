#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
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
#include "bramleypath/relay/AttemptMeaning.h"

namespace bramleypath::relay {

// Holds the Host header of the caller's request, for the leader.
constexpr const char* kHostHeader = "Bramleypath-Host";
// Set in an attempt at a request of which an earlier attempt may have been
// carried out. The value is for how long the earlier ones have been under way,
// in ms. The leader then answers a submission that it has accepted within that
// time as accepted, also if it would refuse it now.
constexpr const char* kRepeatHeader = "Bramleypath-Repeat-Ms";

// The leader's answers hold the time of day that the hosts of the control plane
// agree on, in Unix milliseconds. A submission holds the time of that clock at
// which its caller is no longer answered, so that the leader refuses one that
// was held up on its way. Absent while the relay doesn't know the clock.
constexpr const char* kGroupTimeHeader = "Bramleypath-Time-Ms";
constexpr const char* kExpiresHeader = "Bramleypath-Expires-Ms";

// A whole number of milliseconds in the header, up to the year 3000; none if it
// is missing or is no such number.
std::optional<std::int64_t> FindMillis(const std::vector<net::Header>& aHeaders,
                                       const char* aName);

struct RelaySettings {
  std::vector<HostId> seeds;
  std::uint16_t controlPort = 0;
  // Name of the header in which callers give the time they wait, in ms.
  std::string deadlineHeader;
};

struct RelayCounters {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  // Answered with 503: the request was not carried out.
  std::uint64_t unavailable = 0;
  // Answered with 504: the request may have been carried out.
  std::uint64_t outcomeUnknown = 0;
  std::uint64_t retries = 0;
  // From receiving a request to answering it, with any status.
  metrics::LatencyHistogram answerLatency;
};

// Relays callers' requests to the leader of the control plane. A request may be
// sent more than once, because the leader recognises repetitions by the job's
// id.
class Relay {
 public:
  Relay(asio::io_context& aContext, RelaySettings aSettings,
        net::HttpClient& aClient);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  void Handle(net::HttpRequest aRequest, net::HttpResponder aResponder);
  void SetSeeds(std::vector<HostId> aSeeds);
  // Queries the hosts for the leader when it has not answered recently. Call it
  // every 100 ms.
  void Tick(TimePoint aNow);
  // Whether a leader has answered within the last 3 s.
  bool HasLeaderContact(TimePoint aNow) const;
  const RelayCounters& Counters() const { return this->counters; }

 private:
  struct PendingRequest;
  void SendAttempt(const std::shared_ptr<PendingRequest>& aPending);
  void RetryLater(const std::shared_ptr<PendingRequest>& aPending);
  void OnResult(const std::shared_ptr<PendingRequest>& aPending,
                const HostId& aHost, TimePoint aSentAt,
                net::ClientResult aResult);
  void OnNotHandled(const std::shared_ptr<PendingRequest>& aPending,
                    const HostId& aHost, const std::string& aNamedLeader);
  void Fail(const std::shared_ptr<PendingRequest>& aPending);
  void Answer(const std::shared_ptr<PendingRequest>& aPending,
              net::HttpResponse aResponse);
  // Whether the leader has been silent for seconds in which this process ran.
  bool HasLostLeader(TimePoint aNow);
  void NoticePause(TimePoint aNow);
  // Learns the clock of the control plane from an answer of the leader.
  void LearnGroupTime(const net::HttpResponse& aAnswer, TimePoint aSentAt);
  HostId NextHost();
  void LearnLeader(const HostId& aLeader);
  void ForgetLeader(const HostId& aHost);
  void QueryLeader(TimePoint aNow);
  std::string AddressOf(const HostId& aHost) const;

  asio::io_context& context;
  RelaySettings settings;
  net::HttpClient& client;
  HostId leader;
  std::vector<HostId> hosts;
  // The latest that the control plane's time of day may be, in Unix ms, less
  // this process's steady clock in ms. Too high by the time that an answer
  // takes, which is bounded by the time-outs of attempts and queries.
  std::optional<std::int64_t> groupTimeOffsetMs;
  std::size_t nextHost = 0;
  TimePoint leaderContactAt;
  bool hadLeaderContact = false;
  TimePoint lastRunAt;
  // When a pause of this process was last noticed.
  TimePoint resumedAt;
  bool queryPending = false;
  TimePoint nextQueryAt;
  RelayCounters counters;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace bramleypath::relay
