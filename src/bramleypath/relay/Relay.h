#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "bramleypath/base/Ids.h"
#include "bramleypath/base/Random.h"
#include "bramleypath/base/TimePoint.h"
#include "bramleypath/controller/ControlGroup.h"
#include "bramleypath/metrics/LatencyHistogram.h"
#include "bramleypath/net/Http.h"
#include "bramleypath/net/HttpClient.h"
#include "bramleypath/net/HttpListener.h"
#include "bramleypath/relay/AttemptHeaders.h"
#include "bramleypath/relay/AttemptMeaning.h"
#include "bramleypath/relay/LeaderSearch.h"
#include "bramleypath/relay/RefusalProof.h"

namespace bramleypath::relay {

struct RelaySettings {
  std::vector<HostId> seeds;
  std::uint16_t controlPort = 0;
  // Name of the header in which callers give the time they wait, in ms.
  std::string deadlineHeader;
};

struct RelayCounters {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  // Answered with 503: the request was not carried out. Of them, those that
  // were refused before their time was over, by the reason.
  std::uint64_t unavailable = 0;
  std::uint64_t refusedMajoritySilent = 0;
  std::uint64_t refusedNoLeader = 0;
  // Answered with 504: the request may have been carried out.
  std::uint64_t outcomeUnknown = 0;
  // Refusals after an unanswered attempt: passed on since no attempt was or
  // will be carried out, repeated since that wasn't certain yet, withheld.
  std::uint64_t refusalsProven = 0;
  std::uint64_t refusalsAskedAgain = 0;
  std::uint64_t refusalsWithheld = 0;
  // The same refusals by RefusalProof::reason.
  std::map<std::string_view, std::uint64_t> refusalReasons;
  std::uint64_t retries = 0;
  // Requests that waited until a host said that it leads.
  std::uint64_t waitedForLeader = 0;
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
  // Asks the hosts for the leader when it has not answered recently. Call it
  // every 100 ms.
  void Tick(TimePoint aNow);
  // Whether a leader has answered within the last 3 s.
  bool HasLeaderContact(TimePoint aNow) const;
  const RelayCounters& Counters() const { return this->counters; }

 private:
  struct PendingRequest;
  struct SentAttempt {
    HostId host;
    TimePoint sentAt;
    UnansweredAttempt limits;
  };
  // Sends an attempt, or waits until a host says that it leads.
  void SendAttempt(const std::shared_ptr<PendingRequest>& aPending);
  void Transmit(const std::shared_ptr<PendingRequest>& aPending,
                TimePoint aNow);
  // Ends the waiting of the requests whose time is over, and of those that
  // needn't wait since there is no leader.
  void SweepWaiting();
  void ArmWaitTimer();
  void SendWaiting();
  // Whether the request may be refused without waiting for a leader.
  bool IsRefusedAtOnce(const PendingRequest& aPending, TimePoint aNow);
  void RetryLater(const std::shared_ptr<PendingRequest>& aPending);
  // Limits an attempt at a submission to the leader's term and to the time in
  // which this process waits for its answer.
  SentAttempt LimitAttempt(const net::HttpRequest& aRequest,
                           const HostId& aHost, TimePoint aNow,
                           net::ClientRequest& aAttempt) const;
  // The attempt may have been carried out.
  void NoteUnanswered(const std::shared_ptr<PendingRequest>& aPending,
                      const SentAttempt& aAttempt);
  void OnResult(const std::shared_ptr<PendingRequest>& aPending,
                const SentAttempt& aAttempt, net::ClientResult aResult);
  void OnNotHandled(const std::shared_ptr<PendingRequest>& aPending,
                    const HostId& aHost, const std::string& aNamedLeader);
  void Fail(const std::shared_ptr<PendingRequest>& aPending);
  void Answer(const std::shared_ptr<PendingRequest>& aPending,
              net::HttpResponse aResponse);
  // Whether the leader has been silent for seconds in which this process ran.
  bool HasLostLeader(TimePoint aNow);
  void NoticePause(TimePoint aNow);
  // Learns the term and the clock of the control plane from an answer of the
  // leader.
  void LearnFromLeader(const HostId& aHost, const net::HttpResponse& aAnswer,
                       TimePoint aSentAt);
  // Whether a refusal may be passed on to the caller. If not, the request is
  // repeated or given up.
  bool MayPassOn(const std::shared_ptr<PendingRequest>& aPending,
                 const net::HttpResponse& aRefusal);
  void LearnLeader(const HostId& aLeader);
  void ForgetLeader(const HostId& aHost);
  // Asks the known leader, or all hosts, unless a round is in progress.
  void Search(TimePoint aNow);
  void Ask(const HostId& aHost, TimePoint aNow, Duration aTimeout);
  void OnAsked(const HostId& aHost, TimePoint aSentAt,
               const net::ClientResult& aResult);
  void EndRound(TimePoint aNow);
  std::string AddressOf(const HostId& aHost) const;

  asio::io_context& context;
  RelaySettings settings;
  net::HttpClient& client;
  HostId leader;
  // As the leader itself said; none for a leader of an earlier version, and for
  // one that only another host has named.
  std::optional<std::uint64_t> leaderTerm;
  std::vector<HostId> hosts;
  // See TimeOffsetMs.
  std::optional<std::int64_t> groupTimeOffsetMs;
  LeaderContact contact;
  // The latest answer of any leader.
  TimePoint leaderContactAt;
  bool hadLeaderContact = false;
  TimePoint lastRunAt;
  // When a pause of this process was last noticed.
  TimePoint resumedAt;
  LeaderSearch search;
  // Grows with each round, so that answers to an earlier one are ignored.
  std::uint64_t round = 0;
  std::uint32_t unansweredInRound = 0;
  std::uint32_t askedInRound = 0;
  std::uint32_t silentInRound = 0;
  bool isAskingAll = false;
  TimePoint nextRoundAt;
  std::vector<std::shared_ptr<PendingRequest>> waiting;
  asio::steady_timer waitTimer;
  bool isWaitTimerArmed = false;
  Random random;
  RelayCounters counters;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace bramleypath::relay
