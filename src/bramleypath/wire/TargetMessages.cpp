#include "bramleypath/wire/TargetMessages.h"

#include "bramleypath/codec/Fields.h"
#include "bramleypath/net/Http.h"
#include "bramleypath/wire/internal/JsonBody.h"

namespace bramleypath::membership {

template <typename Visitor>
void VisitFields(Visitor& aVisitor, TargetRecord& aRecord) {
  aVisitor.Required("target", aRecord.target);
  aVisitor.Required("incarnation", aRecord.incarnation);
  aVisitor.Required("service", aRecord.service);
  aVisitor.Required("member", aRecord.clientAccount);
  aVisitor.Required("address", aRecord.address);
  aVisitor.Required("slots", aRecord.slots);
  aVisitor.Required("connections", aRecord.connections);
  aVisitor.Required("outstanding", aRecord.outstanding);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, TargetLeft& aLeft) {
  aVisitor.Required("target", aLeft.target);
  aVisitor.Required("incarnation", aLeft.incarnation);
}

}  // namespace bramleypath::membership

namespace bramleypath::wire {

std::string ToJson(const membership::TargetRecord& aRecord) {
  return codec::ToJson(aRecord).dump();
}

std::optional<membership::TargetRecord> ParseTargetAnnounce(
    std::string_view aText, WireReason& aReason) {
  auto record = detail::ParseBody<membership::TargetRecord>(aText, aReason);
  if (!record) {
    return std::nullopt;
  }
  constexpr std::uint32_t kMaxSlots = 65536;
  if (record->target.empty() || record->service.empty()) {
    aReason = {record->target.empty() ? "target" : "service", "is empty"};
    return std::nullopt;
  }
  if (record->slots < 1 || record->slots > kMaxSlots) {
    aReason = {"slots", "must be from 1 to 65536"};
    return std::nullopt;
  }
  if (record->connections < 1 || record->connections > kMaxSlots) {
    aReason = {"connections", "must be from 1 to 65536"};
    return std::nullopt;
  }
  if (!net::IsCallableAddress(record->address)) {
    aReason = {"address", "must be an IPv4 address ip:port"};
    return std::nullopt;
  }
  return record;
}

std::string ToJson(const membership::TargetLeft& aLeft) {
  return codec::ToJson(aLeft).dump();
}

std::optional<membership::TargetLeft> ParseTargetLeave(std::string_view aText,
                                                       WireReason& aReason) {
  return detail::ParseBody<membership::TargetLeft>(aText, aReason);
}

}  // namespace bramleypath::wire
