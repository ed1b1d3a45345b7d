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
  // Connections to one address, used and idle; requests above it wait.
  std::size_t maxConnectionsPerHost = 60;
  std::size_t maxIdleConnections = 4096;
  std::size_t maxAnswerBytes = 16 * 1024 * 1024;
  // Idle connections are not used again after this, so that they are closed
  // here before the other side's idle timeout closes them under a request.
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
  // The whole answer is here.
  Answered,
  // No byte of the request was sent, for certain.
  NothingSent,
  // Bytes of the request may have been sent, and no whole answer came.
  Unknown
};

struct ClientResult {
  Delivery delivery = Delivery::NothingSent;
  // The answer began and was cut short. Only with Unknown.
  bool truncated = false;
  std::string detail;  // why there is no answer
  HttpResponse response;
};

using ClientHandler = std::function<void(ClientResult)>;
using ClientRequestId = std::uint64_t;

// An HTTP/1.1 client with a pool of keep-alive connections per address. One
// thread drives libcurl; handlers run on the io_context. A request is never
// sent a second time, also not when a connection from the pool was closed.
class HttpClient {
 public:
  HttpClient(asio::io_context& aContext, const HttpClientLimits& aLimits);
  // Ends requests under way without calling their handlers.
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
