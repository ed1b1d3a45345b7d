#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "bramleypath/config/Types.h"

namespace bramleypath::config {

// The changes of the configuration. Operators send all of them but
// ActivateKeyOwners. kKind is the value of the field "kind" in JSON and CBOR.

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
// Starts a change of the data centres that own keyed requests. The first one
// takes effect at once, since no owner can have issued a grant yet.
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
// Replaces the whole configuration except the key owners, which it may set only
// while there are none.
struct Replace {
  static constexpr const char* kKind = "replace";
  Configuration configuration;
};

using Change =
    std::variant<SetService, RemoveService, SetClass, RemoveClass, SetPreset,
                 RemovePreset, UsePreset, SetClientAccount, RemoveClientAccount,
                 SetHost, RemoveHost, DrainHost, DrainTarget, SetKeyOwners,
                 ActivateKeyOwners, Replace>;

// Prefix of the request ids of changes that the system itself proposes.
constexpr const char* kSystemRequestPrefix = "system:";

// One change in the form in which it is replicated.
struct Command {
  // Idempotency key, chosen by the operator; a retry carries the same one.
  RequestId requestId;
  // The version on which the operator based the change. The change is refused
  // when the current version is another one.
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
  // Another part of the configuration still needs the entry.
  InUse,
  // A table is full.
  LimitReached,
  // A change of the key owners is already pending, or there is no pending one
  // to activate.
  KeyOwnersPending,
};

// The answer to a command. A retry of the command gets an equal one.
struct Outcome {
  bool accepted = false;
  // For an accepted change, the version that it created; for a refused one, the
  // version at which it was refused.
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
