#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "bramleypath/config/Types.h"

namespace bramleypath::config {

// The changes that operators send. kKind is the "kind" of the JSON form.

struct SetService {
  static constexpr const char* kKind = "set_service";
  Service service;
};
struct RemoveService {
  static constexpr const char* kKind = "remove_service";
  ServiceId service;
};
struct SetClass {
  static constexpr const char* kKind = "set_class";
  ServiceClass serviceClass;
};
struct RemoveClass {
  static constexpr const char* kKind = "remove_class";
  ClassId serviceClass;
};
struct SetPreset {
  static constexpr const char* kKind = "set_preset";
  Preset preset;
};
struct RemovePreset {
  static constexpr const char* kKind = "remove_preset";
  PresetId preset;
};
struct UsePreset {
  static constexpr const char* kKind = "use_preset";
  PresetId preset;
};
struct SetClientAccount {
  static constexpr const char* kKind = "set_member";
  ClientAccount clientAccount;
};
struct RemoveClientAccount {
  static constexpr const char* kKind = "remove_member";
  ClientAccountId clientAccount;
};
struct SetHost {
  static constexpr const char* kKind = "set_host";
  EntryHost host;
};
struct RemoveHost {
  static constexpr const char* kKind = "remove_host";
  HostId host;
};
struct DrainHost {
  static constexpr const char* kKind = "drain_host";
  HostId host;
  bool draining = true;
};
struct DrainTarget {
  static constexpr const char* kKind = "drain_target";
  TargetId target;
  bool draining = true;
};
// Starts a change of the key owners; the first one takes effect at once, since
// there are no grants yet.
struct SetKeyOwners {
  static constexpr const char* kKind = "set_key_owners";
  std::set<DataCentreId> dataCentres;
  std::set<DataCentreId> lost;
  std::uint32_t moveWaitMs = kMinMoveWaitMs;
};
// Proposed by the leader of the configuration group once every old grant has
// expired. Checked against the generation, not against the version.
struct ActivateKeyOwners {
  static constexpr const char* kKind = "activate_key_owners";
  std::uint64_t generation = 0;
};
// Replaces all but the key owners, which it may set only when there are none.
struct Replace {
  static constexpr const char* kKind = "replace";
  Configuration configuration;
};

using Change =
    std::variant<SetService, RemoveService, SetClass, RemoveClass, SetPreset,
                 RemovePreset, UsePreset, SetClientAccount, RemoveClientAccount,
                 SetHost, RemoveHost, DrainHost, DrainTarget, SetKeyOwners,
                 ActivateKeyOwners, Replace>;

// Request ids of changes that the system makes start with this.
constexpr const char* kSystemRequestPrefix = "system:";

// One change as it is replicated.
struct Command {
  // Chosen by the operator; a resend carries the same one.
  RequestId requestId;
  // The version that the operator saw; the change is refused at another one.
  Version expectedVersion = 0;
  Change change;
};

enum class RefusalCode {
  None,
  // The expected version is not the current one; see Outcome::version.
  Conflict,
  // The request id was used for another change.
  RequestIdReused,
  // A field has a value that is not allowed.
  Invalid,
  // A field names something that is not configured.
  UnknownName,
  // Something else in the configuration still refers to it.
  InUse,
  // A table is full.
  LimitReached,
  // A change of the key owners is pending already, or is none to activate.
  KeyOwnersPending,
};

// The answer to a command. A resend gets an equal one.
struct Outcome {
  bool accepted = false;
  // Accepted: the version that the change made. Refused: the version at which
  // it was refused.
  Version version = 0;
  RefusalCode code = RefusalCode::None;
  std::string field;   // such as "change.preset.weights"
  std::string detail;  // one sentence for the operator
};

bool operator==(const Outcome& aLeft, const Outcome& aRight);

// The names used in JSON and CBOR, such as "conflict".
const char* ToString(RefusalCode aCode);
std::optional<RefusalCode> RefusalCodeFromString(const std::string& aName);

}  // namespace bramleypath::config
