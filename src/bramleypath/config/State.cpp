#include "bramleypath/config/State.h"

#include <xxhash.h>

#include <utility>

#include "bramleypath/codec/Fields.h"
#include "bramleypath/config/internal/ConfigFields.h"
#include "bramleypath/config/internal/Validation.h"

namespace bramleypath::config {

namespace {

std::uint64_t FingerprintOf(const Command& aCommand) {
  Command withoutRequestId = aCommand;
  withoutRequestId.requestId = RequestId{};
  const Bytes bytes =
      codec::Json::to_cbor(detail::CommandToJsonValue(withoutRequestId));
  return XXH3_64bits(bytes.data(), bytes.size());
}

Outcome Refuse(const ConfigState& aState, RefusalCode aCode, std::string aField,
               std::string aDetail) {
  Outcome outcome;
  outcome.version = aState.version;
  outcome.code = aCode;
  outcome.field = std::move(aField);
  outcome.detail = std::move(aDetail);
  return outcome;
}

// The outcome of a command and, if it is new and accepted, the configuration
// that it results in.
struct Decision {
  Outcome outcome;
  bool isNew = false;  // the outcome isn't recorded yet and can be
  Configuration configuration;
};

bool IsSystemChange(const Change& aChange) {
  return std::holds_alternative<ActivateKeyOwners>(aChange);
}

Outcome CheckHeader(const ConfigState& aState, const Command& aCommand) {
  const std::size_t length = aCommand.requestId.value.size();
  if (length == 0 || length > kMaxNameBytes) {
    return Refuse(aState, RefusalCode::Invalid, "request_id",
                  "must have 1 to " + std::to_string(kMaxNameBytes) + " bytes");
  }
  // An operator's command with such an id would make the system's own later
  // change with the same id be refused as a reuse.
  const bool systemId =
      aCommand.requestId.value.rfind(kSystemRequestPrefix, 0) == 0;
  if (systemId != IsSystemChange(aCommand.change)) {
    return Refuse(aState, RefusalCode::Invalid, "request_id",
                  std::string("must not start with ") + kSystemRequestPrefix);
  }
  if (!IsSystemChange(aCommand.change) &&
      aCommand.expectedVersion != aState.version) {
    return Refuse(aState, RefusalCode::Conflict, "expected_version",
                  "the current version is " + std::to_string(aState.version) +
                      ", not " + std::to_string(aCommand.expectedVersion) +
                      "; read the configuration again");
  }
  Outcome outcome;
  outcome.accepted = true;
  return outcome;
}

Decision Decide(const ConfigState& aState, const Command& aCommand,
                std::uint64_t aFingerprint) {
  Decision decision;
  const auto recorded = aState.outcomes.find(aCommand.requestId);
  if (recorded != aState.outcomes.end()) {
    decision.outcome =
        recorded->second.fingerprint == aFingerprint
            ? recorded->second.outcome
            : Refuse(aState, RefusalCode::RequestIdReused, "request_id",
                     "it was used for another change; choose a new one");
    return decision;
  }
  decision.outcome = CheckHeader(aState, aCommand);
  // The outcome of a request without a valid id can't be recorded.
  decision.isNew = decision.outcome.field != "request_id";
  if (!decision.outcome.accepted) {
    return decision;
  }
  decision.configuration = aState.configuration;
  decision.outcome = detail::ApplyChange(decision.configuration,
                                         aCommand.change, aState.version + 1);
  decision.outcome.version =
      decision.outcome.accepted ? aState.version + 1 : aState.version;
  return decision;
}

void Record(ConfigState& aState, const RequestId& aRequest,
            std::uint64_t aFingerprint, const Outcome& aOutcome) {
  aState.outcomes[aRequest] = RecordedOutcome{aFingerprint, aOutcome};
  auto& order = aOutcome.accepted ? aState.accepted : aState.refused;
  const std::size_t limit =
      aOutcome.accepted ? kMaxAcceptedOutcomes : kMaxRefusedOutcomes;
  order.push_back(aRequest);
  if (order.size() > limit) {
    aState.outcomes.erase(order.front());
    order.pop_front();
  }
}

codec::Json OutcomesToJson(const ConfigState& aState,
                           const std::deque<RequestId>& aOrder) {
  codec::Json list = codec::Json::array();
  for (const RequestId& request : aOrder) {
    const RecordedOutcome& one = aState.outcomes.at(request);
    list.push_back(
        codec::Json::array({request.value, one.fingerprint,
                            detail::OutcomeToJsonValue(one.outcome)}));
  }
  return list;
}

bool OutcomesFromJson(const codec::Json& aJson, ConfigState& aState,
                      std::deque<RequestId>& aOrder) {
  if (!aJson.is_array()) {
    return false;
  }
  codec::FieldError error;
  for (const codec::Json& row : aJson) {
    RecordedOutcome one;
    RequestId request;
    const bool read = row.is_array() && row.size() == 3 &&
                      codec::FromJson(row[0], "", request, error) &&
                      codec::FromJson(row[1], "", one.fingerprint, error) &&
                      detail::OutcomeFromJsonValue(row[2], one.outcome, error);
    if (!read || !aState.outcomes.emplace(request, one).second) {
      return false;
    }
    aOrder.push_back(request);
  }
  return true;
}

}  // namespace

Outcome Check(const ConfigState& aState, const Command& aCommand) {
  return Decide(aState, aCommand, FingerprintOf(aCommand)).outcome;
}

Outcome Apply(ConfigState& aState, const Command& aCommand) {
  const std::uint64_t fingerprint = FingerprintOf(aCommand);
  Decision decision = Decide(aState, aCommand, fingerprint);
  if (!decision.isNew) {
    return decision.outcome;
  }
  if (decision.outcome.accepted) {
    aState.configuration = std::move(decision.configuration);
    aState.version = decision.outcome.version;
  }
  Record(aState, aCommand.requestId, fingerprint, decision.outcome);
  return decision.outcome;
}

Bytes TakeSnapshot(const ConfigState& aState) {
  codec::Json json;
  json["version"] = aState.version;
  json["configuration"] = codec::ToJson(aState.configuration);
  json["accepted"] = OutcomesToJson(aState, aState.accepted);
  json["refused"] = OutcomesToJson(aState, aState.refused);
  return codec::Json::to_cbor(json);
}

std::optional<ConfigState> RestoreSnapshot(const Bytes& aBytes) {
  const codec::Json json = codec::ParseCbor(aBytes);
  if (!json.is_object() || json.size() != 4) {
    return std::nullopt;
  }
  for (const char* field :
       {"version", "configuration", "accepted", "refused"}) {
    if (!json.contains(field)) {
      return std::nullopt;
    }
  }
  ConfigState state;
  codec::FieldError error;
  const bool read =
      codec::FromJson(json["version"], "version", state.version, error) &&
      codec::FromJson(json["configuration"], "configuration",
                      state.configuration, error) &&
      OutcomesFromJson(json["accepted"], state, state.accepted) &&
      OutcomesFromJson(json["refused"], state, state.refused);
  if (!read) {
    return std::nullopt;
  }
  return state;
}

}  // namespace bramleypath::config
