#pragma once

#include <functional>
#include <string>
#include <vector>

#include "bramleypath/base/Ids.h"
#include "bramleypath/base/TimePoint.h"
#include "bramleypath/gateway/Messages.h"

namespace bramleypath::gateway {

// What dispatcher and gateway use of their host.
struct Environment {
  // The monotonic clock, including the time that the host is suspended.
  std::function<TimePoint()> now;
  // Runs a function on the same thread once the current one has returned.
  std::function<void(std::function<void()>)> post;
  // Runs a function on the same thread after the given time.
  std::function<void(Duration, std::function<void()>)> postAfter;
  // The other hosts of the group.
  std::function<std::vector<HostId>()> peers;
  // Whether frames to the host leave at once.
  std::function<bool(const HostId&)> isConnected;
  // Sends a frame of the given kind; it may be lost.
  std::function<void(const HostId&, const std::string& aKind, Bytes aPayload)>
      send;
  // The leader that this host knows; empty: none.
  std::function<HostId()> leader;
};

}  // namespace bramleypath::gateway
