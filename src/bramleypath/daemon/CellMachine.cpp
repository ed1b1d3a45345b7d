#include "bramleypath/daemon/CellMachine.h"

#include <string>
#include <utility>

#include "bramleypath/daemon/EventLog.h"
#include "bramleypath/journal/Codec.h"
#include "bramleypath/net/Clock.h"

namespace bramleypath::daemon {

namespace {

constexpr std::uint8_t kCellPart = 0;
constexpr std::uint8_t kJournalPart = 1;
constexpr std::size_t kNumberBytes = 8;
constexpr std::size_t kHeaderBytes = 1 + 2 * kNumberBytes;
constexpr unsigned kBitsPerByte = 8;

void AppendNumber(consensus::Bytes& aBytes, std::uint64_t aNumber) {
  for (std::size_t i = 0; i < kNumberBytes; ++i) {
    const auto shift =
        static_cast<unsigned>(kNumberBytes - 1 - i) * kBitsPerByte;
    aBytes.push_back(static_cast<std::uint8_t>(aNumber >> shift));
  }
}

std::uint64_t ReadNumber(gsl::span<const std::uint8_t> aBytes) {
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < kNumberBytes; ++i) {
    number = (number << kBitsPerByte) | aBytes[i];
  }
  return number;
}

consensus::Bytes Header(std::uint8_t aPart, std::uint64_t aProposer,
                        std::uint64_t aToken) {
  consensus::Bytes bytes{aPart};
  AppendNumber(bytes, aProposer);
  AppendNumber(bytes, aToken);
  return bytes;
}

void Append(consensus::Bytes& aBytes, const consensus::Bytes& aMore) {
  aBytes.insert(aBytes.end(), aMore.begin(), aMore.end());
}

}  // namespace

CellMachine::CellMachine(std::uint64_t aProposer,
                         const journal::Periods& aPeriods)
    : proposer(aProposer), periods(aPeriods) {
  this->journalState.periods = aPeriods;
}

consensus::Bytes CellMachine::Encode(const cell::Command& aCommand,
                                     std::uint64_t aToken) const {
  consensus::Bytes bytes = Header(kCellPart, this->proposer, aToken);
  Append(bytes, cell::EncodeCommand(aCommand));
  return bytes;
}

consensus::Bytes CellMachine::Encode(const journal::Command& aCommand) const {
  consensus::Bytes bytes = Header(kJournalPart, this->proposer, 0);
  Append(bytes, journal::EncodeCommand(aCommand));
  return bytes;
}

consensus::Bytes CellMachine::Apply(const group::CommittedCommand& aCommand) {
  const gsl::span<const std::uint8_t> payload = aCommand.payload;
  if (payload.size() < kHeaderBytes) {
    LogEvent(LogLevel::Error, "cell", "undecodable_command",
             {{"index", std::to_string(aCommand.index)}});
    return {};
  }
  const std::uint64_t from = ReadNumber(payload.subspan(1));
  const std::uint64_t token = ReadNumber(payload.subspan(1 + kNumberBytes));
  const gsl::span<const std::uint8_t> body = payload.subspan(kHeaderBytes);
  return payload[0] == kJournalPart
             ? this->ApplyJournal(body)
             : this->ApplyCell(body, from == this->proposer ? token : 0);
}

// Returns the outcome: one byte that is 1 if the command was accepted, one byte
// for the refusal code, and the detail as text.
consensus::Bytes CellMachine::ApplyCell(gsl::span<const std::uint8_t> aPayload,
                                        std::uint64_t aToken) {
  const auto command = cell::DecodeCommand(aPayload);
  if (!command) {
    LogEvent(LogLevel::Error, "cell", "undecodable_command");
    return {};
  }
  const cell::Outcome outcome = cell::Apply(this->cellState, *command);
  if (this->onApplied) {
    this->onApplied(aToken, *command, outcome);
  }
  consensus::Bytes result{static_cast<std::uint8_t>(outcome.accepted ? 1 : 0),
                          static_cast<std::uint8_t>(outcome.code)};
  result.insert(result.end(), outcome.detail.begin(), outcome.detail.end());
  return result;
}

consensus::Bytes CellMachine::ApplyJournal(
    gsl::span<const std::uint8_t> aPayload) {
  const auto command =
      journal::DecodeCommand(journal::Bytes(aPayload.begin(), aPayload.end()));
  if (!command) {
    LogEvent(LogLevel::Error, "journal", "undecodable_command");
    return {};
  }
  return journal::EncodeOutcome(
      journal::Apply(this->journalState, *command, net::Now()));
}

consensus::Bytes CellMachine::TakeSnapshot() {
  const consensus::Bytes cells = cell::TakeSnapshot(this->cellState);
  consensus::Bytes bytes;
  AppendNumber(bytes, cells.size());
  Append(bytes, cells);
  Append(bytes, journal::TakeSnapshot(this->journalState));
  return bytes;
}

bool CellMachine::Restore(consensus::LogIndex /*aIndex*/,
                          gsl::span<const std::uint8_t> aState,
                          std::string& aReason) {
  aReason = "the snapshot of the cell is malformed";
  if (aState.size() < kNumberBytes) {
    return false;
  }
  const std::uint64_t length = ReadNumber(aState);
  const auto rest = aState.subspan(kNumberBytes);
  if (length > rest.size()) {
    return false;
  }
  auto cells = cell::RestoreSnapshot(rest.first(length));
  const auto tail = rest.subspan(length);
  auto journal = journal::RestoreSnapshot(
      journal::Bytes(tail.begin(), tail.end()), this->periods, net::Now());
  if (!cells || !journal) {
    return false;
  }
  this->cellState = std::move(*cells);
  this->journalState = std::move(*journal);
  aReason.clear();
  return true;
}

}  // namespace bramleypath::daemon
