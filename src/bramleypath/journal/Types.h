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

// A member's key for one request.
struct RequestKey {
  ClientAccountId clientAccount;
  std::string key;
};

bool operator==(const RequestKey& aLeft, const RequestKey& aRight);
bool operator<(const RequestKey& aLeft, const RequestKey& aRight);

// 128-bit hash of service, class and body.
struct Fingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
};

bool operator==(const Fingerprint& aLeft, const Fingerprint& aRight);

Fingerprint FingerprintOf(const ServiceId& aService, const ClassId& aClass,
                          std::string_view aBody);

// Identifies one attempt of one entry host to run a keyed request. Never used
// again, also not by the same host.
using Nonce = std::uint64_t;

struct Holder {
  HostId host;
  Nonce nonce = 0;
};

bool operator==(const Holder& aLeft, const Holder& aRight);

// An entry host must send the first byte within this time after it sent the
// request that the owner acknowledged with Granted, and must check that right
// before it sends; otherwise it releases the grant. A process that was paused
// for longer could otherwise send after the owner forgot the request.
constexpr Duration kSendWithin = Seconds(10);

// The target's answer as it is stored.
struct StoredAnswer {
  std::uint32_t status = 0;  // HTTP
  std::string contentType;
  Bytes body;
  // The body was larger than the limit and was not kept.
  bool omitted = false;
};

bool operator==(const StoredAnswer& aLeft, const StoredAnswer& aRight);

// Commands, as they are replicated.

// Asks for the grant to run the request.
struct Reserve {
  static constexpr const char* kKind = "reserve";
  RequestKey key;
  Fingerprint fingerprint;
  Holder holder;
  // Also records the dispatch, which saves one commit when the entry host has
  // chosen the target already.
  bool dispatch = false;
};
// Must be committed and acknowledged before the first byte is sent.
struct Dispatch {
  static constexpr const char* kKind = "dispatch";
  RequestKey key;
  Holder holder;
};
struct Answer {
  static constexpr const char* kKind = "answer";
  RequestKey key;
  Holder holder;
  StoredAnswer answer;
};
// The holder gave up before sending any byte, or the target's own refusal was
// received in full.
struct Release {
  static constexpr const char* kKind = "release";
  RequestKey key;
  Holder holder;
};
// Proposed by the leader when its local deadline of the record has passed. Has
// no effect when the record changed since.
struct Expire {
  static constexpr const char* kKind = "expire";
  RequestKey key;
  std::uint64_t revision = 0;
};

struct Command {
  std::variant<Reserve, Dispatch, Answer, Release, Expire> body;
};

enum class Result : std::uint8_t {
  // Reserve, Dispatch: the holder has the grant in the stage it asked for.
  Granted,
  // Reserve: another holder runs the request.
  Running,
  // Reserve, Answer: the request is answered; see Outcome::answer.
  Answered,
  // Reserve, Dispatch: the outcome of the request can't be known.
  Unknown,
  // Reserve: the key was used with another body.
  KeyReused,
  // Reserve: no room for another request until some expire.
  Full,
  // The caller doesn't hold the grant (any more), or released it before. After
  // a Reserve or Dispatch no byte may be sent.
  NotHolder,
  // Release, Expire: done, or there was nothing to do.
  Done,
  // A field is empty or too long.
  Invalid,
};

const char* ToString(Result aResult);

struct Outcome {
  Result result = Result::Done;
  std::optional<StoredAnswer> answer;
};

bool operator==(const Outcome& aLeft, const Outcome& aRight);

}  // namespace bramleypath::journal
