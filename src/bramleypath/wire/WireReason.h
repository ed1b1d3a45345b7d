#pragma once

#include <string>

namespace bramleypath::wire {

// Why a message was rejected: the invalid field and a text for the sender.
struct WireReason {
  // Path of the field or name of the header; empty for the whole body.
  std::string field;
  std::string detail;
};

}  // namespace bramleypath::wire
