#include "bramleypath/consensus/internal/CodecParts.h"

#include <utility>

#include "bramleypath/consensus/Codec.h"

namespace bramleypath::consensus::detail {

namespace {

Json EncodeIds(const std::vector<ReplicaId>& aIds) {
  Json array = Json::array();
  for (const ReplicaId& replica : aIds) {
    array.push_back(replica.value);
  }
  return array;
}

std::vector<ReplicaId> DecodeIds(CborReader& aReader) {
  const std::size_t count = ReadArray(aReader, kMaxMembers);
  std::vector<ReplicaId> ids;
  for (std::size_t i = 0; i < count; ++i) {
    ids.push_back(DecodeReplicaId(aReader));
  }
  return ids;
}

}  // namespace

Json EncodeMembership(const Membership& aMembership) {
  return Json::array(
      {EncodeIds(aMembership.voters), EncodeIds(aMembership.learners)});
}

Membership DecodeMembership(CborReader& aReader) {
  constexpr std::size_t kFields = 2;
  Membership membership;
  if (ReadArray(aReader, kFields) != kFields) {
    aReader.good = false;
    return membership;
  }
  membership.voters = DecodeIds(aReader);
  membership.learners = DecodeIds(aReader);
  return membership;
}

void EncodeEntry(const LogEntry& aEntry, Json& aArray) {
  aArray.push_back(static_cast<unsigned>(aEntry.kind));
  aArray.push_back(aEntry.term);
  switch (aEntry.kind) {
    case EntryKind::Command:
      aArray.push_back(EncodeBinary(aEntry.payload));
      break;
    case EntryKind::NoOp:
      aArray.push_back(0U);
      break;
    case EntryKind::MembershipChange:
      aArray.push_back(EncodeMembership(aEntry.membership));
      break;
  }
}

LogEntry DecodeEntry(CborReader& aReader, LogIndex aIndex) {
  LogEntry entry;
  entry.index = aIndex;
  const std::uint64_t kind = ReadUnsigned(aReader);
  entry.term = ReadUnsigned(aReader);
  if (kind == static_cast<unsigned>(EntryKind::Command)) {
    entry.kind = EntryKind::Command;
    entry.payload = ReadBinary(aReader);
  } else if (kind == static_cast<unsigned>(EntryKind::NoOp)) {
    entry.kind = EntryKind::NoOp;
    ReadUnsigned(aReader);
  } else if (kind == static_cast<unsigned>(EntryKind::MembershipChange)) {
    entry.kind = EntryKind::MembershipChange;
    entry.membership = DecodeMembership(aReader);
  } else {
    aReader.good = false;
  }
  return entry;
}

ReplicaId DecodeReplicaId(CborReader& aReader) {
  std::string text = ReadText(aReader);
  if (text.size() > kMaxReplicaIdBytes) {
    aReader.good = false;
  }
  return ReplicaId{std::move(text)};
}

Json EncodeBinary(const Bytes& aBytes) { return Json::binary(aBytes); }

}  // namespace bramleypath::consensus::detail
