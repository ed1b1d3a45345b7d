#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bramleypath/config/Change.h"
#include "bramleypath/config/Types.h"

namespace bramleypath::config {

using Bytes = std::vector<std::uint8_t>;

// Outcomes kept for resends. 4,096 accepted changes are five days at 820 a day.
// Refusals are kept apart, so that a burst of them can't displace the answers
// to accepted changes. A resend whose outcome was displaced is handled as a new
// request; its expected version has passed, so it gets a conflict and is never
// applied a second time.
constexpr std::size_t kMaxAcceptedOutcomes = 4096;
constexpr std::size_t kMaxRefusedOutcomes = 1024;

struct RecordedOutcome {
  // Hash of the change and its expected version, to detect reuse of an id.
  std::uint64_t fingerprint = 0;
  Outcome outcome;
};

// The replicated state: equal commands in equal order give equal states.
struct ConfigState {
  Version version = 0;
  Configuration configuration;
  std::unordered_map<RequestId, RecordedOutcome> outcomes;
  // Request ids, oldest first.
  std::deque<RequestId> accepted;
  std::deque<RequestId> refused;
};

// Applies one committed command. Never fails: a refusal is an outcome.
Outcome Apply(ConfigState& aState, const Command& aCommand);

// The outcome the command would have now, without applying it.
Outcome Check(const ConfigState& aState, const Command& aCommand);

Bytes TakeSnapshot(const ConfigState& aState);
// Nothing when the bytes are malformed.
std::optional<ConfigState> RestoreSnapshot(const Bytes& aBytes);

}  // namespace bramleypath::config
