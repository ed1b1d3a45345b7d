#pragma once

#include <string>

namespace bramleypath::wire {

// Which field of a message is wrong, and why.
struct WireReason {
  std::string field;
  std::string detail;
};

}  // namespace bramleypath::wire
