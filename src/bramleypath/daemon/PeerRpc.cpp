#include "bramleypath/daemon/PeerRpc.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "bramleypath/daemon/EventLog.h"
#include "bramleypath/net/Clock.h"

namespace bramleypath::daemon {

PeerRpc::PeerRpc(net::PeerLinks& aLinks, std::uint64_t aFirstId,
                 Handler aHandler)
    : links(aLinks), nextId(aFirstId), handler(std::move(aHandler)) {}

bool PeerRpc::Send(const HostId& aSelf, const HostId& aTo,
                   net::HttpRequest aRequest, TimePoint aDeadline,
                   Callback aCallback) {
  if (aTo != aSelf && !this->links.IsConnected(aTo)) {
    return false;
  }
  const TimePoint now = net::Now();
  wire::PeerRequest request;
  request.id = this->nextId++;
  request.method = std::move(aRequest.method);
  request.path = std::move(aRequest.path);
  request.query = std::move(aRequest.query);
  request.headers = std::move(aRequest.headers);
  request.body.assign(aRequest.body.begin(), aRequest.body.end());
  request.remainingMs = std::max<std::int64_t>(0, ToMillis(aDeadline - now));
  net::PeerFrame frame;
  frame.to = aTo;
  frame.kind = kRequestKind;
  frame.payload = wire::Encode(request);
  if (!this->links.Send(std::move(frame), net::FramePriority::Normal)) {
    return false;
  }
  this->pendingRequests[request.id] =
      PendingRequest{aDeadline, std::move(aCallback)};
  return true;
}

bool PeerRpc::OnFrame(const net::PeerFrame& aFrame) {
  if (aFrame.kind == kRequestKind) {
    this->OnRequest(aFrame);
    return true;
  }
  if (aFrame.kind == kAnswerKind) {
    this->OnAnswer(aFrame);
    return true;
  }
  return false;
}

void PeerRpc::OnRequest(const net::PeerFrame& aFrame) {
  auto decoded = wire::DecodePeerRequest(aFrame.payload);
  if (!decoded) {
    LogEvent(LogLevel::Warn, "peers", "malformed_request",
             {{"from", aFrame.from.value}});
    return;
  }
  ReceivedRequest received;
  received.from = aFrame.from;
  received.request.method = std::move(decoded->method);
  received.request.path = std::move(decoded->path);
  received.request.query = std::move(decoded->query);
  received.request.headers = std::move(decoded->headers);
  received.request.body.assign(decoded->body.begin(), decoded->body.end());
  received.deadline = net::Now() + Millis(decoded->remainingMs);
  const std::uint64_t id = decoded->id;
  const HostId to = aFrame.from;
  this->handler(
      std::move(received), [this, id, to](const net::HttpResponse& aResponse) {
        wire::PeerAnswer answer;
        answer.id = id;
        answer.status = aResponse.status;
        answer.contentType = aResponse.contentType;
        answer.headers = aResponse.headers;
        answer.body.assign(aResponse.body.begin(), aResponse.body.end());
        net::PeerFrame frame;
        frame.to = to;
        frame.kind = kAnswerKind;
        frame.payload = wire::Encode(answer);
        this->links.Send(std::move(frame), net::FramePriority::Normal);
      });
}

void PeerRpc::OnAnswer(const net::PeerFrame& aFrame) {
  const auto answer = wire::DecodePeerAnswer(aFrame.payload);
  if (!answer) {
    LogEvent(LogLevel::Warn, "peers", "malformed_answer",
             {{"from", aFrame.from.value}});
    return;
  }
  const auto found = this->pendingRequests.find(answer->id);
  if (found == this->pendingRequests.end()) {
    return;
  }
  const Callback callback = std::move(found->second.callback);
  this->pendingRequests.erase(found);
  net::HttpResponse response;
  response.status = answer->status;
  response.contentType = answer->contentType;
  response.headers = answer->headers;
  response.body.assign(answer->body.begin(), answer->body.end());
  callback(std::move(response));
}

void PeerRpc::Tick(TimePoint aNow) {
  std::vector<Callback> ended;
  for (auto item = this->pendingRequests.begin();
       item != this->pendingRequests.end();) {
    if (item->second.deadline <= aNow) {
      ended.push_back(std::move(item->second.callback));
      item = this->pendingRequests.erase(item);
    } else {
      ++item;
    }
  }
  for (const Callback& callback : ended) {
    callback(std::nullopt);
  }
}

}  // namespace bramleypath::daemon
