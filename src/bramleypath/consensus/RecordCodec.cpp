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
  SnapshotMarker,
  SegmentHeader
};

// Stored records need no limit: the checksum of their batch was verified, and
// the size of the file bounds them.
constexpr std::size_t kNoLimit = std::numeric_limits<std::size_t>::max();
constexpr std::size_t kMaxRecordFields = 4;
constexpr std::size_t kSnapshotHeaderFields = 5;

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

Record DecodeSnapshotMarker(CborReader& aReader) {
  SnapshotMarker marker;
  marker.index = ReadUnsigned(aReader);
  marker.term = ReadUnsigned(aReader);
  marker.discardLog = ReadBoolean(aReader);
  return marker;
}

Record DecodeSegmentHeader(CborReader& aReader) {
  SegmentHeader header;
  header.sequence = ReadUnsigned(aReader);
  header.lastIndex = ReadUnsigned(aReader);
  return header;
}

Record DecodeRecord(CborReader& aReader) {
  ReadArray(aReader, kMaxRecordFields);
  switch (ReadUnsigned(aReader)) {
    case static_cast<unsigned>(RecordKind::HardState):
      return DecodeHardState(aReader);
    case static_cast<unsigned>(RecordKind::Entries):
      return DecodeEntries(aReader);
    case static_cast<unsigned>(RecordKind::SnapshotMarker):
      return DecodeSnapshotMarker(aReader);
    case static_cast<unsigned>(RecordKind::SegmentHeader):
      return DecodeSegmentHeader(aReader);
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

void RecordEncoder::Add(const SnapshotMarker& aMarker) {
  this->impl->records.push_back(
      Json::array({ToNumber(RecordKind::SnapshotMarker), aMarker.index,
                   aMarker.term, aMarker.discardLog}));
}

void RecordEncoder::Add(const SegmentHeader& aHeader) {
  this->impl->records.push_back(
      Json::array({ToNumber(RecordKind::SegmentHeader), aHeader.sequence,
                   aHeader.lastIndex}));
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

Bytes EncodeSnapshotHeader(const SnapshotHeader& aHeader) {
  Json array = Json::array(
      {aHeader.index, aHeader.term, aHeader.stateBytes, aHeader.stateChecksum});
  array.push_back(detail::EncodeMembership(aHeader.membership));
  return Json::to_cbor(array);
}

std::optional<SnapshotHeader> DecodeSnapshotHeader(
    gsl::span<const std::uint8_t> aBytes) {
  std::optional<CborReader> reader = ParseCbor(aBytes, kNoLimit);
  if (!reader) {
    return std::nullopt;
  }
  SnapshotHeader header;
  ReadArray(*reader, kSnapshotHeaderFields);
  header.index = ReadUnsigned(*reader);
  header.term = ReadUnsigned(*reader);
  header.stateBytes = ReadUnsigned(*reader);
  header.stateChecksum = static_cast<std::uint32_t>(ReadUnsigned(*reader));
  header.membership = detail::DecodeMembership(*reader);
  if (!IsFinished(*reader)) {
    return std::nullopt;
  }
  return header;
}

}  // namespace bramleypath::consensus
