#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bramleypath::wire {

// CBOR bodies of the request "/journal", which an entry host sends to the owner
// of an idempotency key, and of its response.

struct JournalRequest {
  // Longest time that the owner may wait for the outcome of a call that is
  // already running.
  std::int64_t waitMs = 0;
  std::uint64_t generation = 0;
  std::vector<std::uint8_t> command;  // journal::EncodeCommand
};

struct JournalAnswer {
  std::uint32_t code = 0;             // journal::ReplyCode
  std::vector<std::uint8_t> outcome;  // journal::EncodeOutcome
};

std::string EncodeText(const JournalRequest& aRequest);
std::string EncodeText(const JournalAnswer& aAnswer);
// Return none for malformed bytes.
std::optional<JournalRequest> DecodeJournalRequest(std::string_view aBytes);
std::optional<JournalAnswer> DecodeJournalAnswer(std::string_view aBytes);

}  // namespace bramleypath::wire
