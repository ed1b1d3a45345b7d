#include "bramleypath/consensus/RecordCodec.h"

#include <limits>
#include <utility>

#include "bramleypath/consensus/CborReader.h"
#include "bramleypath/consensus/internal/CodecParts.h"

namespace bramleypath::consensus {

namespace {

using detail::Json;

enum class RecordKind : std::uint8_t {
  HardState,
  Entries,
  SnapshotMark,
  SegmentHead
};

// Stored records need no limit: the checksum of their batch was verified, and
// the size of the file bounds them.
constexpr std::size_t kNoLimit = std::numeric_limits<std::size_t>::max();
constexpr std::size_t kMaxRecordFields = 4;
constexpr std::size_t kSnapshotHeadFields = 5;

unsigned ToNumber(RecordKind aKind) { return static_cast<unsigned>(aKind); }

Record DecodeHardState(CborReader& aReader) {
  HardState state;
  state.term = ReadUnsigned(aReader);
  state.votedFor = detail::DecodeReplicaId(aReader);
  return state;
}

Record DecodeEntries(CborReader& aReader) {
  EntriesRecord record;
  const LogIndex first = ReadUnsigned(aReader);
  const std::size_t fields = ReadArray(aReader, kNoLimit);
  if (fields == 0 || fields % detail::kEntryFields != 0) {
    aReader.good = false;
  }
  const std::size_t count = fields / detail::kEntryFields;
  for (std::size_t i = 0; i < count && aReader.good; ++i) {
    record.entries.push_back(detail::DecodeEntry(aReader, first + i));
  }
  return record;
}

Record DecodeSnapshotMark(CborReader& aReader) {
  SnapshotMark mark;
  mark.index = ReadUnsigned(aReader);
  mark.term = ReadUnsigned(aReader);
  mark.discardLog = ReadBoolean(aReader);
  return mark;
}

Record DecodeSegmentHead(CborReader& aReader) {
  SegmentHead head;
  head.sequence = ReadUnsigned(aReader);
  head.lastIndex = ReadUnsigned(aReader);
  return head;
}

Record DecodeRecord(CborReader& aReader) {
  ReadArray(aReader, kMaxRecordFields);
  switch (ReadUnsigned(aReader)) {
    case static_cast<unsigned>(RecordKind::HardState):
      return DecodeHardState(aReader);
    case static_cast<unsigned>(RecordKind::Entries):
      return DecodeEntries(aReader);
    case static_cast<unsigned>(RecordKind::SnapshotMark):
      return DecodeSnapshotMark(aReader);
    case static_cast<unsigned>(RecordKind::SegmentHead):
      return DecodeSegmentHead(aReader);
    default:
      aReader.good = false;
      return HardState{};
  }
}

}  // namespace

struct RecordEncoder::Impl {
  Json records = Json::array();
};

RecordEncoder::RecordEncoder() : impl(std::make_unique<Impl>()) {}
RecordEncoder::~RecordEncoder() = default;

void RecordEncoder::Add(const HardState& aState) {
  this->impl->records.push_back(Json::array(
      {ToNumber(RecordKind::HardState), aState.term, aState.votedFor.value}));
}

void RecordEncoder::Add(const std::vector<LogEntry>& aEntries) {
  Json fields = Json::array();
  for (const LogEntry& entry : aEntries) {
    detail::EncodeEntry(entry, fields);
  }
  Json record =
      Json::array({ToNumber(RecordKind::Entries), aEntries.front().index});
  record.push_back(std::move(fields));
  this->impl->records.push_back(std::move(record));
}

void RecordEncoder::Add(const SnapshotMark& aMark) {
  this->impl->records.push_back(
      Json::array({ToNumber(RecordKind::SnapshotMark), aMark.index, aMark.term,
                   aMark.discardLog}));
}

void RecordEncoder::Add(const SegmentHead& aHead) {
  this->impl->records.push_back(Json::array(
      {ToNumber(RecordKind::SegmentHead), aHead.sequence, aHead.lastIndex}));
}

Bytes RecordEncoder::Finish() const {
  return Json::to_cbor(this->impl->records);
}

std::optional<std::vector<Record>> DecodeRecords(
    gsl::span<const std::uint8_t> aBytes) {
  std::optional<CborReader> reader = ParseCbor(aBytes, kNoLimit);
  if (!reader) {
    return std::nullopt;
  }
  std::vector<Record> records;
  const std::size_t count = ReadArray(*reader, kNoLimit);
  for (std::size_t i = 0; i < count && reader->good; ++i) {
    records.push_back(DecodeRecord(*reader));
  }
  if (!IsFinished(*reader)) {
    return std::nullopt;
  }
  return records;
}

Bytes EncodeSnapshotHead(const SnapshotHead& aHead) {
  Json array = Json::array(
      {aHead.index, aHead.term, aHead.stateBytes, aHead.stateChecksum});
  array.push_back(detail::EncodeMembership(aHead.membership));
  return Json::to_cbor(array);
}

std::optional<SnapshotHead> DecodeSnapshotHead(
    gsl::span<const std::uint8_t> aBytes) {
  std::optional<CborReader> reader = ParseCbor(aBytes, kNoLimit);
  if (!reader) {
    return std::nullopt;
  }
  SnapshotHead head;
  ReadArray(*reader, kSnapshotHeadFields);
  head.index = ReadUnsigned(*reader);
  head.term = ReadUnsigned(*reader);
  head.stateBytes = ReadUnsigned(*reader);
  head.stateChecksum = static_cast<std::uint32_t>(ReadUnsigned(*reader));
  head.membership = detail::DecodeMembership(*reader);
  if (!IsFinished(*reader)) {
    return std::nullopt;
  }
  return head;
}

}  // namespace bramleypath::consensus
