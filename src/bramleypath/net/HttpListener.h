#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "bramleypath/base/TimePoint.h"
#include "bramleypath/net/Http.h"
#include "bramleypath/net/NetReason.h"

namespace asio {
class io_context;
}

namespace bramleypath::net {

struct HttpLimits {
  // With more, those that have been idle longest are closed.
  std::size_t maxConnections = 1024;
  std::size_t maxUrlBytes = 2048;
  std::size_t maxHeaderValueBytes = 4096;
  std::size_t maxHeaders = 64;
  std::size_t maxBodyBytes = 1024 * 1024;
  // Bodies up to this size are read so that they can be answered with 413; a
  // connection that sends more is closed.
  std::size_t maxReadBytes = 4 * 1024 * 1024;
  // JSON values of a body; bodies with more are answered with 413 before they
  // are parsed. 0 means no limit.
  std::size_t maxBodyValues = 0;
  // Over all connections; further requests are answered with 429. 0 means no
  // limit.
  double maxRequestsPerSecond = 0;
  Duration idleTimeout = Seconds(60);
  Duration writeTimeout = Seconds(10);
  // Maximum time from a request to its response.
  Duration handleTimeout = Seconds(600);
};

struct HttpListenerCounters {
  std::uint64_t requests = 0;
  std::uint64_t tooLarge = 0;
  std::uint64_t rateLimited = 0;
  std::uint64_t connections = 0;  // opened since the start
};

// Answers one request. Copies answer the same request, and only the first call
// of Send has an effect. If the last copy is destroyed before such a call, the
// response is 500.
class HttpResponder {
 public:
  struct Exchange;
  explicit HttpResponder(std::shared_ptr<Exchange> aExchange);
  void Send(HttpResponse aResponse) const;

 private:
  std::shared_ptr<Exchange> exchange;
};

using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

// An HTTP/1.1 server on one address, with keep-alive. All calls and handlers
// run on the thread of the io_context.
class HttpListener {
 public:
  HttpListener(asio::io_context& aContext, std::string aAddress,
               const HttpLimits& aLimits, HttpHandler aHandler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  // Binds the address "ip:port"; port 0 takes a free one.
  bool Open(NetReason& aReason);
  std::string BoundAddress() const;

  // From now on each response closes its connection, so that callers with
  // keep-alive connect to another host before the listener closes.
  void CloseConnectionsAfterResponse();
  // Closes the listening socket; responses to requests in flight are sent.
  void StopAccepting();
  // Requests handed to the handler and not written out yet.
  std::size_t OpenRequests() const;
  // When the last request arrived.
  TimePoint LastRequestAt() const;
  const HttpListenerCounters& Counters() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace bramleypath::net
