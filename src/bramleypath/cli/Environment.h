#pragma once

#include <functional>
#include <optional>
#include <ostream>
#include <string>

#include "bramleypath/base/TimePoint.h"

namespace bramleypath::cli {

struct HttpRequest {
  std::string method;  // "GET" or "POST"
  std::string url;
  std::string body;
  Duration timeout;
};

// How an HTTP exchange ended.
enum class Transfer {
  // A whole reply was received.
  Answered,
  // No connection was made, so no byte of the request was sent.
  NotSent,
  // The request may have been received; its reply was not.
  Unanswered,
};

struct HttpReply {
  Transfer transfer = Transfer::NotSent;
  long status = 0;
  std::string body;
  std::string detail;  // reason why there is no reply
};

// Access to the network, files, the clock and the output streams. Tests pass
// their own implementations.
struct Environment {
  std::ostream& out;
  std::ostream& err;
  std::function<HttpReply(const HttpRequest&)> transport;
  std::function<std::optional<std::string>(const std::string& aPath)> readFile;
  std::function<std::string()> newRequestId;
  std::function<TimePoint()> now;
  std::function<void(Duration)> sleep;
  // Value of BRAMLEYPATH_HOSTS; empty when unset.
  std::string defaultHosts;
};

}  // namespace bramleypath::cli
