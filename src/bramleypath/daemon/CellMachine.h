#pragma once

#include <cstdint>
#include <functional>

#include "bramleypath/cell/CellState.h"
#include "bramleypath/cell/Command.h"
#include "bramleypath/group/StateMachine.h"
#include "bramleypath/journal/State.h"
#include "bramleypath/journal/Types.h"

namespace bramleypath::daemon {

// The state machine of a cell group: the state of the cell and its journal of
// requests with idempotency keys. An encoded command is one byte that names the
// part it belongs to, the number of the process that proposed it and its token
// (8 bytes each, most significant byte first), and the command itself.
class CellMachine : public group::StateMachine {
 public:
  // aProposer identifies this process; no two processes may share a number.
  CellMachine(std::uint64_t aProposer, const journal::Periods& aPeriods);

  // Called after a command of the cell was applied. aToken is 0 if another
  // process proposed it.
  std::function<void(std::uint64_t aToken, const cell::Command&,
                     const cell::Outcome&)>
      onApplied;

  consensus::Bytes Encode(const cell::Command& aCommand,
                          std::uint64_t aToken) const;
  consensus::Bytes Encode(const journal::Command& aCommand) const;

  consensus::Bytes Apply(const group::CommittedCommand& aCommand) override;
  consensus::Bytes TakeSnapshot() override;
  bool Restore(consensus::LogIndex aIndex, gsl::span<const std::uint8_t> aState,
               std::string& aReason) override;

  const cell::CellState& Cell() const { return this->cellState; }
  const journal::JournalState& Journal() const { return this->journalState; }

 private:
  consensus::Bytes ApplyCell(gsl::span<const std::uint8_t> aPayload,
                             std::uint64_t aToken);
  consensus::Bytes ApplyJournal(gsl::span<const std::uint8_t> aPayload);

  std::uint64_t proposer;
  journal::Periods periods;
  cell::CellState cellState;
  journal::JournalState journalState;
};

}  // namespace bramleypath::daemon
