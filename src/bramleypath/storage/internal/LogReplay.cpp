#include "bramleypath/storage/internal/LogReplay.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "bramleypath/storage/internal/Frame.h"

namespace bramleypath::storage::detail {

namespace {

using consensus::EntriesRecord;
using consensus::HardState;
using consensus::LogEntry;
using consensus::LogIndex;
using consensus::Record;
using consensus::SegmentHeader;
using consensus::SnapshotMarker;

bool Corrupt(const std::string& aPath, std::uint64_t aOffset,
             const std::string& aDetail, StorageReason& aReason) {
  aReason.code = StorageError::Corrupt;
  aReason.file = aPath;
  aReason.offset = aOffset;
  aReason.detail = aDetail;
  return false;
}

// Replaces all entries from the index of the first new entry onwards. Returns
// false if the new entries would leave a gap.
bool ReplaceEntries(ReplayedLog& aReplay, std::vector<LogEntry>& aNew) {
  auto& entries = aReplay.entries;
  const LogIndex first = aNew.front().index;
  if (!entries.empty() && first > entries.back().index + 1) {
    return false;
  }
  while (!entries.empty() && entries.back().index >= first) {
    entries.pop_back();
  }
  std::move(aNew.begin(), aNew.end(), std::back_inserter(entries));
  return true;
}

// Returns a description of the error, or null.
const char* ApplyRecord(Record& aRecord, std::uint64_t aSequence,
                        ReplayedLog& aReplay, SegmentSummary& aSummary) {
  if (const auto* hard = std::get_if<HardState>(&aRecord)) {
    aReplay.hardState = *hard;
  } else if (auto* entries = std::get_if<EntriesRecord>(&aRecord)) {
    aSummary.maxIndex =
        std::max(aSummary.maxIndex, entries->entries.back().index);
    if (!ReplaceEntries(aReplay, entries->entries)) {
      return "gap between entries";
    }
  } else if (const auto* marker = std::get_if<SnapshotMarker>(&aRecord)) {
    aReplay.snapshot = *marker;
    if (marker->discardLog) {
      aReplay.entries.clear();
    }
  } else {
    const auto& header = std::get<SegmentHeader>(aRecord);
    if (header.sequence != aSequence) {
      return "sequence number differs from the file name";
    }
    if (!aReplay.lastIndexBefore) {
      aReplay.lastIndexBefore = header.lastIndex;
    }
  }
  return nullptr;
}

bool ApplyFrame(const FrameResult& aFrame, std::uint64_t aSequence,
                const std::string& aPath, ReplayedLog& aReplay,
                SegmentSummary& aSummary, StorageReason& aReason) {
  auto records = consensus::DecodeRecords(aFrame.payload);
  if (!records) {
    return Corrupt(aPath, aSummary.bytes, "unreadable records", aReason);
  }
  const bool hasHeader = !records->empty() &&
                         std::holds_alternative<SegmentHeader>(records->at(0));
  if (hasHeader != (aSummary.frames == 0)) {
    return Corrupt(aPath, aSummary.bytes, "misplaced or missing segment head",
                   aReason);
  }
  for (Record& record : *records) {
    const char* error = ApplyRecord(record, aSequence, aReplay, aSummary);
    if (error != nullptr) {
      return Corrupt(aPath, aSummary.bytes, error, aReason);
    }
  }
  return true;
}

}  // namespace

bool ReplaySegment(const std::string& aPath, std::uint64_t aSequence,
                   gsl::span<const std::uint8_t> aFile, ReplayedLog& aReplay,
                   SegmentSummary& aSummary, StorageReason& aReason) {
  while (aSummary.bytes < aFile.size()) {
    const FrameResult frame = ReadFrame(aFile, aSummary.bytes);
    if (frame.state == FrameState::Corrupt) {
      return Corrupt(aPath, aSummary.bytes, "checksum mismatch", aReason);
    }
    if (frame.state == FrameState::Torn) {
      aSummary.torn = true;
      return true;
    }
    if (!ApplyFrame(frame, aSequence, aPath, aReplay, aSummary, aReason)) {
      return false;
    }
    aSummary.bytes = frame.nextOffset;
    ++aSummary.frames;
  }
  return true;
}

}  // namespace bramleypath::storage::detail
