#pragma once

#include <string>

namespace bramleypath::net {

enum class NetError { InvalidAddress, CannotBind, CannotStart };

// Why a listener or a client could not be started.
struct NetReason {
  NetError code = NetError::InvalidAddress;
  std::string detail;
};

}  // namespace bramleypath::net
