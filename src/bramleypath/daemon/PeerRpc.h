#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "bramleypath/base/TimePoint.h"
#include "bramleypath/net/Http.h"
#include "bramleypath/net/PeerLinks.h"
#include "bramleypath/wire/PeerRequest.h"

namespace bramleypath::daemon {

constexpr const char* kRequestKind = "request";
constexpr const char* kAnswerKind = "answer";

// A request that a peer sent.
struct ReceivedRequest {
  HostId from;
  net::HttpRequest request;
  TimePoint deadline;
};

// Requests and answers between entry hosts over the peer links.
class PeerRpc {
 public:
  // Called with the answer, or with nothing when none came before the deadline.
  // In that case the peer may or may not have handled the request.
  using Callback = std::function<void(std::optional<net::HttpResponse>)>;
  using Respond = std::function<void(net::HttpResponse)>;
  using Handler = std::function<void(ReceivedRequest, Respond)>;

  // Request ids count up from aFirstId. It must differ between starts, so that
  // answers to requests of an earlier process match none of this one.
  PeerRpc(net::PeerLinks& aLinks, std::uint64_t aFirstId, Handler aHandler);

  // False when there is no connection to the peer: nothing was sent, and the
  // callback is not called. Requests to this host itself are delivered too.
  bool Send(const HostId& aSelf, const HostId& aTo, net::HttpRequest aRequest,
            TimePoint aDeadline, Callback aCallback);
  // Handles frames of the kinds kRequestKind and kAnswerKind; false for others.
  bool OnFrame(const net::PeerFrame& aFrame);
  // Ends requests whose deadline has passed, with nothing as the answer.
  void Tick(TimePoint aNow);
  std::size_t OpenRequests() const { return this->pendingRequests.size(); }

 private:
  struct PendingRequest {
    TimePoint deadline;
    Callback callback;
  };
  void OnRequest(const net::PeerFrame& aFrame);
  void OnAnswer(const net::PeerFrame& aFrame);

  net::PeerLinks& links;
  std::uint64_t nextId;
  Handler handler;
  std::map<std::uint64_t, PendingRequest> pendingRequests;
};

}  // namespace bramleypath::daemon
