#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bramleypath/base/Ids.h"
#include "bramleypath/base/TimePoint.h"

namespace bramleypath::journal {

using Bytes = std::vector<std::uint8_t>;

// Identifies a keyed request: a client account and its idempotency key.
struct RequestKey {
  ClientAccountId clientAccount;
  std::string key;
};

bool operator==(const RequestKey& aLeft, const RequestKey& aRight);
bool operator<(const RequestKey& aLeft, const RequestKey& aRight);

// A 128-bit hash of service, class and body, to detect a key that is reused for
// a different request.
struct Fingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
};

bool operator==(const Fingerprint& aLeft, const Fingerprint& aRight);

Fingerprint FingerprintOf(const ServiceId& aService, const ClassId& aClass,
                          std::string_view aBody);

// Identifies one attempt of an entry host to run a keyed request. A host never
// uses a nonce twice.
using Nonce = std::uint64_t;

// The attempt that holds, or requests, the grant to run a keyed request.
struct Holder {
  HostId host;
  Nonce nonce = 0;
};

bool operator==(const Holder& aLeft, const Holder& aRight);

// An entry host must send the first byte to the target within this time after
// it sent the request that the owner answered with Granted. It must check this
// immediately before it sends, and release the grant if the time has passed.
// Otherwise a process that was paused for longer could send after the owner had
// expired the request.
constexpr Duration kMaxSendDelay = Seconds(10);

// The target's answer as it is stored.
struct StoredAnswer {
  std::uint32_t status = 0;  // HTTP
  std::string contentType;
  Bytes body;
  // The answer exceeded the limits, so its content type and body are not
  // stored.
  bool omitted = false;
};

bool operator==(const StoredAnswer& aLeft, const StoredAnswer& aRight);

// Commands, which are replicated in the log of the cell group.

// Requests the grant to run a keyed request.
struct Reserve {
  static constexpr const char* kKind = "reserve";
  RequestKey key;
  Fingerprint fingerprint;
  Holder holder;
  // Also records the dispatch. This saves one commit when the entry host has
  // already chosen the target.
  bool dispatch = false;
};
// Records that the holder is about to send the request to a target. It must be
// committed and acknowledged before the first byte is sent.
struct Dispatch {
  static constexpr const char* kKind = "dispatch";
  RequestKey key;
  Holder holder;
};
// Stores the target's answer for repeats.
struct Answer {
  static constexpr const char* kKind = "answer";
  RequestKey key;
  Holder holder;
  StoredAnswer answer;
};
// Returns the grant without having run the request: the holder sent no byte, or
// it received the target's complete refusal.
struct Release {
  static constexpr const char* kKind = "release";
  RequestKey key;
  Holder holder;
};
// Proposed by the leader when the record's deadline on the leader has passed.
// It has no effect if the record has changed since.
struct Expire {
  static constexpr const char* kKind = "expire";
  RequestKey key;
  std::uint64_t revision = 0;
};

struct Command {
  std::variant<Reserve, Dispatch, Answer, Release, Expire> body;
};

// The result of a command. Each comment names the commands that return it.
enum class Result : std::uint8_t {
  // Reserve, Dispatch: the holder has the grant, in the requested stage.
  Granted,
  // Reserve: another holder has the grant.
  Running,
  // Reserve, Dispatch, Answer: the request is answered; see Outcome::answer.
  Answered,
  // Reserve, Dispatch: it is unknown whether the request ran.
  Unknown,
  // Reserve: the key was used for a request with another fingerprint.
  KeyReused,
  // Reserve: the journal has reached its limits. New keys are refused until
  // records expire.
  Full,
  // All but Expire: the caller doesn't hold the grant, or has released it.
  // After a Reserve or Dispatch with this result no byte may be sent.
  NotHolder,
  // Release, Expire: the command was applied, or had no effect.
  Done,
  // Reserve: a field is empty or too long. Also the reply to an Expire that an
  // entry host sends.
  Invalid,
};

const char* ToString(Result aResult);

struct Outcome {
  Result result = Result::Done;
  std::optional<StoredAnswer> answer;
};

bool operator==(const Outcome& aLeft, const Outcome& aRight);

}  // namespace bramleypath::journal
