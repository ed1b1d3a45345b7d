#include "bramleypath/config/Codec.h"

#include <utility>

#include "bramleypath/codec/Bounded.h"
#include "bramleypath/codec/Fields.h"
#include "bramleypath/config/internal/ConfigFields.h"
#include "bramleypath/config/internal/Validation.h"

namespace bramleypath::config {

namespace detail {

namespace {

struct CommandHeader {
  RequestId requestId;
  Version expectedVersion = 0;
};

template <typename Visitor>
void VisitFields(Visitor& aVisitor, CommandHeader& aValue) {
  aVisitor.Required("request_id", aValue.requestId);
  aVisitor.Required("expected_version", aValue.expectedVersion);
}

struct OutcomeFields {
  bool accepted = false;
  Version version = 0;
  std::string code = "none";
  std::string field;
  std::string detail;
};

template <typename Visitor>
void VisitFields(Visitor& aVisitor, OutcomeFields& aValue) {
  aVisitor.Required("accepted", aValue.accepted);
  aVisitor.Required("version", aValue.version);
  aVisitor.Optional("code", aValue.code);
  aVisitor.Optional("field", aValue.field);
  aVisitor.Optional("detail", aValue.detail);
}

}  // namespace

codec::Json CommandToJsonValue(const Command& aCommand) {
  codec::Json json = codec::ToJson(
      CommandHeader{aCommand.requestId, aCommand.expectedVersion});
  json["change"] = codec::VariantToJson(aCommand.change);
  return json;
}

bool CommandFromJsonValue(const codec::Json& aJson, Command& aCommand,
                          codec::FieldError& aError) {
  if (!aJson.is_object()) {
    return codec::detail::Fail(aError, "", "must be a JSON object");
  }
  codec::Json header = aJson;
  const std::size_t erased = header.erase("change");
  CommandHeader fields;
  if (!codec::FromJson(header, "", fields, aError)) {
    return false;
  }
  if (erased == 0) {
    return codec::detail::Fail(aError, "change", "is missing");
  }
  aCommand.requestId = std::move(fields.requestId);
  aCommand.expectedVersion = fields.expectedVersion;
  return codec::VariantFromJson(aJson["change"], "change", aCommand.change,
                                aError);
}

codec::Json OutcomeToJsonValue(const Outcome& aOutcome) {
  codec::Json json{{"accepted", aOutcome.accepted},
                   {"version", aOutcome.version}};
  if (!aOutcome.accepted) {
    json["code"] = ToString(aOutcome.code);
    json["field"] = aOutcome.field;
    json["detail"] = aOutcome.detail;
  }
  return json;
}

bool OutcomeFromJsonValue(const codec::Json& aJson, Outcome& aOutcome,
                          codec::FieldError& aError) {
  OutcomeFields fields;
  if (!codec::FromJson(aJson, "", fields, aError)) {
    return false;
  }
  const auto code = RefusalCodeFromString(fields.code);
  if (!code) {
    return codec::detail::Fail(aError, "code", "is not a known code");
  }
  aOutcome = Outcome{fields.accepted, fields.version, *code,
                     std::move(fields.field), std::move(fields.detail)};
  return true;
}

}  // namespace detail

namespace {

// Parses JSON text; comments are skipped if aComments is true and are an error
// otherwise.
std::optional<codec::Json> ParseText(std::string_view aText, bool aComments,
                                     JsonReason& aReason) {
  codec::Json json = codec::ParseJson(aText, aComments);
  if (json.is_discarded()) {
    aReason = JsonReason{"", "is not valid JSON"};
    return std::nullopt;
  }
  return json;
}

template <typename T, typename Read>
std::optional<T> FromBytes(const Bytes& aBytes, Read aRead) {
  T value;
  codec::FieldError error;
  if (!aRead(codec::ParseCbor(aBytes), value, error)) {
    return std::nullopt;
  }
  return value;
}

template <typename T, typename Read>
std::optional<T> FromText(std::string_view aText, bool aComments, Read aRead,
                          JsonReason& aReason) {
  const auto json = ParseText(aText, aComments, aReason);
  T value;
  codec::FieldError error;
  if (!json) {
    return std::nullopt;
  }
  if (!aRead(*json, value, error)) {
    aReason = JsonReason{std::move(error.field), std::move(error.detail)};
    return std::nullopt;
  }
  return value;
}

bool ReadOperatorCommand(const codec::Json& aJson, Command& aCommand,
                         codec::FieldError& aError) {
  if (!detail::CommandFromJsonValue(aJson, aCommand, aError)) {
    return false;
  }
  if (std::holds_alternative<ActivateKeyOwners>(aCommand.change)) {
    return codec::detail::Fail(aError, "change.kind",
                               "activate_key_owners is made by the system "
                               "once the wait is over");
  }
  return true;
}

}  // namespace

Bytes EncodeCommand(const Command& aCommand) {
  return codec::Json::to_cbor(detail::CommandToJsonValue(aCommand));
}

std::optional<Command> DecodeCommand(const Bytes& aBytes) {
  return FromBytes<Command>(aBytes, detail::CommandFromJsonValue);
}

Bytes EncodeOutcome(const Outcome& aOutcome) {
  return codec::Json::to_cbor(detail::OutcomeToJsonValue(aOutcome));
}

std::optional<Outcome> DecodeOutcome(const Bytes& aBytes) {
  return FromBytes<Outcome>(aBytes, detail::OutcomeFromJsonValue);
}

std::optional<Command> CommandFromJson(std::string_view aText,
                                       JsonReason& aReason) {
  return FromText<Command>(aText, false, ReadOperatorCommand, aReason);
}

std::optional<ChangeRequest> ChangeRequestFromJson(std::string_view aText,
                                                   JsonReason& aReason) {
  const auto read = [](const codec::Json& aJson, ChangeRequest& aValue,
                       codec::FieldError& aError) {
    codec::Json command = aJson;
    if (aJson.is_object() && aJson.contains("dry_run")) {
      command.erase("dry_run");
      if (!codec::FromJson(aJson["dry_run"], "dry_run", aValue.dryRun,
                           aError)) {
        return false;
      }
    }
    return ReadOperatorCommand(command, aValue.command, aError);
  };
  return FromText<ChangeRequest>(aText, false, read, aReason);
}

std::string CommandToJson(const Command& aCommand) {
  return codec::DumpJson(detail::CommandToJsonValue(aCommand));
}

std::string OutcomeToJson(const Outcome& aOutcome) {
  return codec::DumpJson(detail::OutcomeToJsonValue(aOutcome));
}

std::optional<Outcome> OutcomeFromJson(std::string_view aText,
                                       JsonReason& aReason) {
  return FromText<Outcome>(aText, false, detail::OutcomeFromJsonValue, aReason);
}

std::string ConfigurationToJson(const Configuration& aConfiguration) {
  constexpr int kIndent = 2;
  return codec::DumpJson(codec::ToJson(aConfiguration), kIndent);
}

std::optional<Configuration> ConfigurationFromJson(std::string_view aText,
                                                   JsonReason& aReason) {
  const auto read = [](const codec::Json& aJson, Configuration& aValue,
                       codec::FieldError& aError) {
    return codec::FromJson(aJson, "", aValue, aError);
  };
  return FromText<Configuration>(aText, true, read, aReason);
}

Outcome CheckConfiguration(const Configuration& aConfiguration) {
  Configuration empty;
  return detail::ApplyChange(empty, Replace{aConfiguration}, 1);
}

}  // namespace bramleypath::config
