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

// Which field of a JSON text is invalid, and why.
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
  // When true, the command is only checked (see Check) and not applied.
  bool dryRun = false;
};
std::optional<ChangeRequest> ChangeRequestFromJson(std::string_view aText,
                                                   JsonReason& aReason);

// An object with "accepted" and "version", and for a refusal also "code",
// "field" and "detail".
std::string OutcomeToJson(const Outcome& aOutcome);
std::optional<Outcome> OutcomeFromJson(std::string_view aText,
                                       JsonReason& aReason);
// The whole configuration as JSON, without its version.
std::string ConfigurationToJson(const Configuration& aConfiguration);
// Parses a configuration file. Comments are allowed in it, since operators
// maintain such files by hand.
std::optional<Configuration> ConfigurationFromJson(std::string_view aText,
                                                   JsonReason& aReason);

// Checks that the configuration as a whole is consistent; used for the first
// configuration file of a deployment. Returns the outcome that Replace with it
// would have on an empty configuration.
Outcome CheckConfiguration(const Configuration& aConfiguration);

}  // namespace bramleypath::config
