#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <gsl/span>

#include "bramleypath/workflow/Types.h"

namespace bramleypath::workflow {

using Command =
    std::variant<SetLayout, AcceptJob, CancelJob, RegisterWorker, RemoveWorker,
                 PlaceTasks, EndTasks, OpenOccurrence, ForgetJobs, PermitLeases,
                 LimitLeases, LeaveWorker, SetDrain>;

// Encodes a command as a CBOR array of the index of its type and its fields.
std::vector<std::uint8_t> Encode(const Command& aCommand);
// Returns nothing and sets aReason if the bytes are not such an array.
std::optional<Command> Decode(gsl::span<const std::uint8_t> aBytes,
                              std::string& aReason);

}  // namespace bramleypath::workflow
