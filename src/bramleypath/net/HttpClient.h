#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bramleypath/base/TimePoint.h"
#include "bramleypath/net/Http.h"

namespace asio {
class io_context;
}

namespace bramleypath::net {

struct HttpClientLimits {
  // Connections to one address, both used and idle; further requests wait for
  // one of them.
  std::size_t maxConnectionsPerHost = 60;
  std::size_t maxIdleConnections = 4096;
  std::size_t maxAnswerBytes = 16 * 1024 * 1024;
  // An idle connection is not reused after this time. It must be shorter than
  // the idle timeout of servers, so that a server does not close a connection
  // while a request is sent on it.
  Duration maxIdle = Seconds(20);
};

struct ClientRequest {
  std::string method = "POST";
  std::string address;  // "ip:port"
  std::string path;
  std::string contentType = "application/json";
  std::vector<Header> headers;
  std::string body;
  // Nothing is sent when no connection is ready by then.
  TimePoint connectBy = kNever;
  // The connection is closed when the answer is not complete by then.
  TimePoint deadline = kNever;
};

enum class Delivery {
  // The complete answer was received.
  Answered,
  // It is certain that no byte of the request was sent.
  NothingSent,
  // Bytes of the request may have been sent, and no complete answer was
  // received.
  Unknown
};

struct ClientResult {
  Delivery delivery = Delivery::NothingSent;
  // Part of an answer was received. Only with Unknown.
  bool truncated = false;
  // This host was too late to send the request, so that the missing answer says
  // nothing about the peer. Only with NothingSent.
  bool delayedLocally = false;
  // The peer's machine answered that no process listens at the address. Only
  // with NothingSent.
  bool isConnectionRefused = false;
  std::string detail;  // why there is no answer
  HttpResponse response;
};

using ClientHandler = std::function<void(ClientResult)>;
using ClientRequestId = std::uint64_t;

// An HTTP/1.1 client with a pool of keep-alive connections per address. libcurl
// runs on one thread of its own; handlers run on the io_context. A request is
// never sent a second time, even if its connection from the pool was closed
// before an answer came.
class HttpClient {
 public:
  HttpClient(asio::io_context& aContext, const HttpClientLimits& aLimits);
  // Aborts open requests without calling their handlers.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  ClientRequestId Send(ClientRequest aRequest, ClientHandler aHandler);
  // Closes the connection unless the answer is complete; the handler is called
  // in either case.
  void Cancel(ClientRequestId aId);
  // Requests whose handler has not been called yet.
  std::size_t OpenRequests() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace bramleypath::net
