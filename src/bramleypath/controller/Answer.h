#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace bramleypath::controller {

// Outcome of a request to the controller.
enum class AnswerStatus : std::uint8_t {
  Done,
  // An earlier request with the same effect was carried out.
  Repeated,
  // There is no such job, or the command does not apply to the current state.
  Unknown,
  // Not carried out, and this request never will be.
  NotLeader,
  // Rejected by admission control; see retryAfterSeconds.
  Refused,
  // The request may or may not have been carried out.
  OutcomeUnknown
};

struct Answer {
  AnswerStatus status = AnswerStatus::OutcomeUnknown;
  std::uint32_t retryAfterSeconds = 0;
  std::string reason;
};

using AnswerCallback = std::function<void(const Answer&)>;

}  // namespace bramleypath::controller
