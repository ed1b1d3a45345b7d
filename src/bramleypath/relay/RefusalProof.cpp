#include "bramleypath/relay/RefusalProof.h"

#include <charconv>
#include <string>

#include "bramleypath/relay/AttemptHeaders.h"

namespace bramleypath::relay {

namespace {

RefusalProof ProveOne(const UnansweredAttempt& aAttempt,
                      const RefusalStatement& aStatement) {
  if (!aAttempt.term) {
    return {RefusalVerdict::Unprovable, "not_limited_to_a_term"};
  }
  if (*aAttempt.term < aStatement.term) {
    return {RefusalVerdict::Proven, "earlier_term"};
  }
  if (*aAttempt.term > aStatement.term) {
    return {RefusalVerdict::NotYet, "leader_of_an_earlier_term"};
  }
  if (aStatement.leaderUnixMs > aAttempt.expiresUnixMs) {
    return {RefusalVerdict::Proven, "expired"};
  }
  return {RefusalVerdict::NotYet, "may_still_arrive"};
}

}  // namespace

std::optional<std::uint64_t> FindTerm(const std::vector<net::Header>& aHeaders,
                                      const char* aName) {
  const std::string* const text = net::FindHeader(aHeaders, aName);
  if (!text) {
    return std::nullopt;
  }
  std::uint64_t term = 0;
  const char* const end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, term);
  const bool isRead = parsed.ec == std::errc() && parsed.ptr == end;
  return isRead ? std::optional(term) : std::nullopt;
}

std::optional<RefusalStatement> StatementOf(const net::HttpResponse& aAnswer) {
  const auto term = FindTerm(aAnswer.headers, kNotStoredHeader);
  const auto unixMs = FindMillis(aAnswer.headers, kGroupTimeHeader);
  if (!term || *term == 0 || !unixMs) {
    return std::nullopt;
  }
  return RefusalStatement{*term, *unixMs};
}

RefusalProof ProveRefusal(gsl::span<const UnansweredAttempt> aAttempts,
                          const std::optional<RefusalStatement>& aStatement) {
  if (aAttempts.empty()) {
    return {RefusalVerdict::Proven, "no_unanswered_attempt"};
  }
  if (!aStatement) {
    return {RefusalVerdict::Unprovable, "leader_states_nothing"};
  }
  RefusalProof hardest{RefusalVerdict::Proven, ""};
  for (const UnansweredAttempt& attempt : aAttempts) {
    const RefusalProof proof = ProveOne(attempt, *aStatement);
    if (hardest.reason.empty() || proof.verdict > hardest.verdict) {
      hardest = proof;
    }
  }
  return hardest;
}

}  // namespace bramleypath::relay
