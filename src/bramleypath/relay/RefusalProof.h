#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include <gsl/span>

#include "bramleypath/net/Http.h"

// Decides whether a refusal holds for all attempts at a submission. The
// argument is in docs/design/relay-outcomes.md.
namespace bramleypath::relay {

// In answers of a host: the term in which it leads, 0 if it doesn't. Absent in
// answers of earlier versions. In a submission: the only term in which it may
// be carried out.
constexpr const char* kTermHeader = "Bramleypath-Term";
// In a refusal: the leader's state doesn't hold the job, and the leader hasn't
// proposed it. The value is the term. kGroupTimeHeader of the same answer is a
// time after which the leader accepts no submission in this term whose
// kExpiresHeader is earlier.
constexpr const char* kNotStoredHeader = "Bramleypath-Not-Stored";

// An attempt at a submission that was sent and had no definite answer.
struct UnansweredAttempt {
  // The term that it is limited to. None if the host is of an earlier version,
  // which doesn't observe the limit, or wasn't known.
  std::optional<std::uint64_t> term;
  // By the clock of the term's leader, in Unix ms.
  std::int64_t expiresUnixMs = 0;
};

// What the leader states with a refusal.
struct RefusalStatement {
  std::uint64_t term = 0;
  std::int64_t leaderUnixMs = 0;
};

enum class RefusalVerdict : std::uint8_t {
  // No attempt was or will be carried out.
  Proven,
  // An attempt may still be carried out now, but not for long.
  NotYet,
  // Asking again proves nothing either.
  Unprovable
};

struct RefusalProof {
  RefusalVerdict verdict = RefusalVerdict::Proven;
  // For the log and the metrics; never empty.
  std::string_view reason;
};

// A term of at least 1 in the header; 0 for a host that doesn't lead. None if
// the header is missing or malformed.
std::optional<std::uint64_t> FindTerm(const std::vector<net::Header>& aHeaders,
                                      const char* aName);
// None if the leader's answer doesn't state it.
std::optional<RefusalStatement> StatementOf(const net::HttpResponse& aAnswer);
// The verdict for the attempt that is the hardest to rule out.
RefusalProof ProveRefusal(gsl::span<const UnansweredAttempt> aAttempts,
                          const std::optional<RefusalStatement>& aStatement);

}  // namespace bramleypath::relay
