#pragma once

#include <optional>

#include "bramleypath/journal/Types.h"

namespace bramleypath::journal {

// The CBOR encoding of commands and outcomes. The decoders return nothing for
// malformed bytes.
Bytes EncodeCommand(const Command& aCommand);
std::optional<Command> DecodeCommand(const Bytes& aBytes);
Bytes EncodeOutcome(const Outcome& aOutcome);
std::optional<Outcome> DecodeOutcome(const Bytes& aBytes);

}  // namespace bramleypath::journal
