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
using consensus::SegmentHead;
using consensus::SnapshotMark;

bool Corrupt(const std::string& aPath, std::uint64_t aOffset,
             const std::string& aDetail, StorageReason& aReason) {
  aReason.code = StorageError::Corrupt;
  aReason.file = aPath;
  aReason.offset = aOffset;
  aReason.detail = aDetail;
  return false;
}

// Replaces all entries from the first new one's index on.
bool ReplaceEntries(Replay& aReplay, std::vector<LogEntry>& aNew) {
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

// A text naming the fault, or null.
const char* ApplyRecord(Record& aRecord, std::uint64_t aSequence,
                        Replay& aReplay, SegmentEnd& aEnd) {
  if (const auto* hard = std::get_if<HardState>(&aRecord)) {
    aReplay.hardState = *hard;
  } else if (auto* entries = std::get_if<EntriesRecord>(&aRecord)) {
    aEnd.maxIndex = std::max(aEnd.maxIndex, entries->entries.back().index);
    if (!ReplaceEntries(aReplay, entries->entries)) {
      return "gap between entries";
    }
  } else if (const auto* mark = std::get_if<SnapshotMark>(&aRecord)) {
    aReplay.snapshot = *mark;
    if (mark->discardLog) {
      aReplay.entries.clear();
    }
  } else {
    const auto& head = std::get<SegmentHead>(aRecord);
    if (head.sequence != aSequence) {
      return "file has the number of another one";
    }
    if (!aReplay.lastBefore) {
      aReplay.lastBefore = head.lastIndex;
    }
  }
  return nullptr;
}

bool ApplyFrame(const FrameResult& aFrame, std::uint64_t aSequence,
                const std::string& aPath, Replay& aReplay, SegmentEnd& aEnd,
                StorageReason& aReason) {
  auto records = consensus::DecodeRecords(aFrame.payload);
  if (!records) {
    return Corrupt(aPath, aEnd.bytes, "unreadable records", aReason);
  }
  const bool hasHead =
      !records->empty() && std::holds_alternative<SegmentHead>(records->at(0));
  if (hasHead != (aEnd.frames == 0)) {
    return Corrupt(aPath, aEnd.bytes, "misplaced or missing head", aReason);
  }
  for (Record& record : *records) {
    const char* fault = ApplyRecord(record, aSequence, aReplay, aEnd);
    if (fault != nullptr) {
      return Corrupt(aPath, aEnd.bytes, fault, aReason);
    }
  }
  return true;
}

}  // namespace

bool ReplaySegment(const std::string& aPath, std::uint64_t aSequence,
                   gsl::span<const std::uint8_t> aFile, Replay& aReplay,
                   SegmentEnd& aEnd, StorageReason& aReason) {
  while (aEnd.bytes < aFile.size()) {
    const FrameResult frame = ReadFrame(aFile, aEnd.bytes);
    if (frame.state == FrameState::Corrupt) {
      return Corrupt(aPath, aEnd.bytes, "checksum mismatch", aReason);
    }
    if (frame.state == FrameState::Torn) {
      aEnd.torn = true;
      return true;
    }
    if (!ApplyFrame(frame, aSequence, aPath, aReplay, aEnd, aReason)) {
      return false;
    }
    aEnd.bytes = frame.nextOffset;
    ++aEnd.frames;
  }
  return true;
}

}  // namespace bramleypath::storage::detail
