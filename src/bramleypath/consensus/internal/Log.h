#pragma once

#include "bramleypath/consensus/Node.h"

namespace bramleypath::consensus::detail {

const LogEntry& EntryAt(const Node& aNode, LogIndex aIndex);
Term LastTerm(const Node& aNode);

SyncTicket NextTicket(Node& aNode);
void Persist(Node& aNode, std::vector<LogEntry> aEntries, Actions& aActions);
void PersistVote(Node& aNode, Actions& aActions);

// Appends to the log of this replica, with a write.
void AppendLocal(Node& aNode, LogEntry aEntry, Actions& aActions);
// Removes all entries from aIndex on.
void TruncateFrom(Node& aNode, LogIndex aIndex);
// Finds the newest membership in the log, or that of the snapshot base.
void RefreshMembership(Node& aNode);
// Emits what became committed since the last call.
void ApplyCommitted(Node& aNode, Actions& aActions);

}  // namespace bramleypath::consensus::detail
