#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "bramleypath/config/Change.h"
#include "bramleypath/config/State.h"

namespace bramleypath::config {

// CBOR, for the log and for messages between entry hosts. The decoders return
// nothing for malformed bytes.
Bytes EncodeCommand(const Command& aCommand);
std::optional<Command> DecodeCommand(const Bytes& aBytes);
Bytes EncodeOutcome(const Outcome& aOutcome);
std::optional<Outcome> DecodeOutcome(const Bytes& aBytes);

// Which field of a JSON text is wrong, and why.
struct JsonReason {
  std::string field;
  std::string detail;
};

// JSON, for operators. A command is
//   {"request_id": "...", "expected_version": 7, "change": {"kind": ...}}.
std::optional<Command> CommandFromJson(std::string_view aText,
                                       JsonReason& aReason);
std::string CommandToJson(const Command& aCommand);

// The body of POST /v1/ops/config: a command and optionally "dry_run".
struct ChangeRequest {
  Command command;
  // Only the outcome of Check is wanted.
  bool dryRun = false;
};
std::optional<ChangeRequest> ChangeRequestFromJson(std::string_view aText,
                                                   JsonReason& aReason);

// {"accepted", "version"} and for a refusal {"code", "field", "detail"}.
std::string OutcomeToJson(const Outcome& aOutcome);
std::optional<Outcome> OutcomeFromJson(std::string_view aText,
                                       JsonReason& aReason);
// The whole configuration, without the version.
std::string ConfigurationToJson(const Configuration& aConfiguration);
// Comments are allowed, since operators keep such files.
std::optional<Configuration> ConfigurationFromJson(std::string_view aText,
                                                   JsonReason& aReason);

// Checks that the configuration as a whole is consistent; used for first
// configuration files. Gives the refusal that a Replace of it would get.
Outcome CheckConfiguration(const Configuration& aConfiguration);

}  // namespace bramleypath::config
