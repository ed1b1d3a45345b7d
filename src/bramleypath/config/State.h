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

// Numbers of outcomes that are kept to answer retries. 4,096 accepted changes
// are five days at 820 a day. Refusals are kept separately, so that a burst of
// them can't displace the outcomes of accepted changes. A retry whose outcome
// was displaced is handled as a new request: its expected version is no longer
// current, so it gets a conflict and is never applied a second time.
constexpr std::size_t kMaxAcceptedOutcomes = 4096;
constexpr std::size_t kMaxRefusedOutcomes = 1024;

struct RecordedOutcome {
  // Hash of the change and its expected version, to detect that the request id
  // is reused for another change.
  std::uint64_t fingerprint = 0;
  Outcome outcome;
};

// The replicated state: equal commands in equal order give equal states.
struct ConfigState {
  Version version = 0;
  Configuration configuration;
  std::unordered_map<RequestId, RecordedOutcome> outcomes;
  // Request ids of the recorded outcomes, oldest first.
  std::deque<RequestId> accepted;
  std::deque<RequestId> refused;
};

// Applies one committed command and records its outcome. Never fails: a refused
// change leaves the configuration as it is and has an outcome as well.
Outcome Apply(ConfigState& aState, const Command& aCommand);

// The outcome that the command would have now; nothing is applied or recorded.
Outcome Check(const ConfigState& aState, const Command& aCommand);

Bytes TakeSnapshot(const ConfigState& aState);
// Returns nothing when the bytes are malformed.
std::optional<ConfigState> RestoreSnapshot(const Bytes& aBytes);

}  // namespace bramleypath::config
