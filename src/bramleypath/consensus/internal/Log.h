#pragma once

#include "bramleypath/consensus/Node.h"

namespace bramleypath::consensus::detail {

const LogEntry& EntryAt(const Node& aNode, LogIndex aIndex);
Term LastTerm(const Node& aNode);

SyncTicket NextTicket(Node& aNode);
// Emits a write of aEntries, which must not be empty.
void WriteEntries(Node& aNode, std::vector<LogEntry> aEntries,
                  Actions& aActions);
// Emits a write of the term and the vote.
void WriteHardState(Node& aNode, Actions& aActions);

// Appends an entry to the log of this replica and emits its write.
void AppendLocal(Node& aNode, LogEntry aEntry, Actions& aActions);
// Removes all entries from aIndex on, and any membership change among them.
void TruncateFrom(Node& aNode, LogIndex aIndex);
// Sets the membership to the newest one in the log, or to that at baseIndex.
void RefreshMembership(Node& aNode);
// Emits the entries that were committed since the last call.
void ApplyCommitted(Node& aNode, Actions& aActions);

}  // namespace bramleypath::consensus::detail
