#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bramleypath::wire {

// A question of an entry host to the owner of a key, and its answer; CBOR
// bodies of the request "/journal" between hosts.

struct JournalRequest {
  std::int64_t waitMs = 0;  // for a running request, at most
  std::uint64_t generation = 0;
  std::vector<std::uint8_t> command;  // journal::EncodeCommand
};

struct JournalAnswer {
  std::uint32_t code = 0;             // journal::ReplyCode
  std::vector<std::uint8_t> outcome;  // journal::EncodeOutcome
};

std::string EncodeText(const JournalRequest& aRequest);
std::string EncodeText(const JournalAnswer& aAnswer);
// Nothing for malformed bytes.
std::optional<JournalRequest> DecodeJournalRequest(std::string_view aBytes);
std::optional<JournalAnswer> DecodeJournalAnswer(std::string_view aBytes);

}  // namespace bramleypath::wire
