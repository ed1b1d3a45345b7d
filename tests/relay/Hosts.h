#pragma once

#include <cppunit/TestAssert.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bramleypath/net/Clock.h"
#include "bramleypath/relay/Relay.h"
#include "tests/net/Loop.h"

namespace bramleypath::relay_test {

using namespace relay;

constexpr const char* kFrontAddress = "127.0.0.1:0";
constexpr const char* kDeadlineHeader = "Wait-Ms";

inline net::HttpResponse MakeResponse(std::uint32_t aStatus,
                                      const std::string& aBody) {
  net::HttpResponse response;
  response.status = aStatus;
  response.body = aBody;
  return response;
}

inline net::HttpResponse MakeNotLeaderResponse(const HostId& aNamed) {
  net::HttpResponse response = MakeResponse(kNotLeaderStatus, "{}");
  response.headers.push_back({kNotLeaderHeader, aNamed.value});
  return response;
}

// A host of the control plane that answers as a test decides. Asked for the
// leader, it says that it leads unless a test decides otherwise.
class ControlHost {
 public:
  // Returns the answer to the request with this number, counted from 0; none
  // leaves the request unanswered.
  using Answers =
      std::function<std::optional<net::HttpResponse>(std::size_t aNumber)>;

  ControlHost(asio::io_context& aContext, const std::string& aAddress,
              Answers aAnswers)
      : named(aAddress.substr(0, aAddress.find(':'))),
        answers(std::move(aAnswers)),
        listener(aContext, aAddress, net::HttpLimits(),
                 [this](const net::HttpRequest& aRequest,
                        const net::HttpResponder& aResponder) {
                   this->Handle(aRequest, aResponder);
                 }) {
    net::NetReason reason;
    CPPUNIT_ASSERT_MESSAGE(reason.detail, this->listener.Open(reason));
  }

  std::uint16_t Port() const {
    std::string ip;
    std::uint16_t port = 0;
    net::SplitAddress(this->listener.BoundAddress(), ip, port);
    return port;
  }

  // Leaves everything unanswered from now on, as a paused process does.
  void Freeze() { this->isFrozen = true; }
  // Handles what has arrived meanwhile.
  void Resume() {
    this->isFrozen = false;
    for (auto& [request, responder] : std::exchange(this->held, {})) {
      this->Handle(request, responder);
    }
  }

  std::vector<net::HttpRequest> requests;
  // Its term; 0 if it doesn't lead, none for a host of the previous version.
  std::optional<std::uint64_t> term;
  // The leader that it names.
  HostId named;

 private:
  void Handle(const net::HttpRequest& aRequest,
              const net::HttpResponder& aResponder) {
    if (this->isFrozen) {
      this->held.emplace_back(aRequest, aResponder);
      return;
    }
    if (aRequest.path == controller::kGroupPath) {
      aResponder.Send(this->View());
      return;
    }
    this->requests.push_back(aRequest);
    const auto answer = this->answers(this->requests.size() - 1);
    if (answer) {
      aResponder.Send(*answer);
    } else {
      this->unanswered.push_back(aResponder);
    }
  }

  net::HttpResponse View() const {
    net::HttpResponse response =
        MakeResponse(200, controller::EncodeView({this->named, {}}));
    if (this->term) {
      response.headers = {{kTermHeader, std::to_string(*this->term)},
                          {kGroupTimeHeader, std::to_string(net::UnixMs())}};
    }
    return response;
  }

  Answers answers;
  bool isFrozen = false;
  std::vector<std::pair<net::HttpRequest, net::HttpResponder>> held;
  std::vector<net::HttpResponder> unanswered;
  net::HttpListener listener;
};

// A front node with a relay, and a client of it.
class Front {
 public:
  Front(asio::io_context& aContext, std::vector<HostId> aSeeds,
        std::uint16_t aControlPort)
      : context(aContext),
        client(aContext, net::HttpClientLimits()),
        relay(aContext, {std::move(aSeeds), aControlPort, kDeadlineHeader},
              this->client),
        listener(
            aContext, kFrontAddress, net::HttpLimits(),
            [this](net::HttpRequest aRequest, net::HttpResponder aResponder) {
              this->relay.Handle(std::move(aRequest), std::move(aResponder));
            }) {
    net::NetReason reason;
    CPPUNIT_ASSERT_MESSAGE(reason.detail, this->listener.Open(reason));
  }

  using Heard =
      std::function<void(const std::string& aPath, const net::ClientResult&)>;

  // Submits a job as a caller does, and doesn't wait for the answer.
  void Submit(const std::string& aPath, Heard aHeard) {
    net::ClientRequest request;
    request.address = this->listener.BoundAddress();
    request.path = aPath;
    request.body = "{}";
    this->client.Send(
        std::move(request),
        [aPath, heard = std::move(aHeard)](const net::ClientResult& aResult) {
          heard(aPath, aResult);
        });
  }

  net::ClientResult Call(const std::string& aPath,
                         const std::string& aMethod = "POST") {
    std::optional<net::ClientResult> result;
    net::ClientRequest request;
    request.method = aMethod;
    request.address = this->listener.BoundAddress();
    request.path = aPath;
    request.body = "{}";
    this->client.Send(std::move(request), [&result](net::ClientResult aResult) {
      result = std::move(aResult);
    });
    CPPUNIT_ASSERT(net_test::RunUntil(
        this->context, [&result] { return result.has_value(); }));
    return *result;
  }

  asio::io_context& context;
  net::HttpClient client;
  Relay relay;
  net::HttpListener listener;
};

}  // namespace bramleypath::relay_test
