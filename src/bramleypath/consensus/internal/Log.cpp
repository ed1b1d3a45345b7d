#include "bramleypath/consensus/internal/Log.h"

#include <algorithm>
#include <utility>

namespace bramleypath::consensus {

LogIndex LastIndex(const Node& aNode) {
  return aNode.baseIndex + aNode.log.size();
}

std::optional<Term> TermAt(const Node& aNode, LogIndex aIndex) {
  if (aIndex == aNode.baseIndex) {
    return aNode.baseTerm;
  }
  if (aIndex < aNode.baseIndex || aIndex > LastIndex(aNode)) {
    return std::nullopt;
  }
  return detail::EntryAt(aNode, aIndex).term;
}

namespace detail {

const LogEntry& EntryAt(const Node& aNode, LogIndex aIndex) {
  return aNode.log[aIndex - aNode.baseIndex - 1];
}

Term LastTerm(const Node& aNode) {
  return aNode.log.empty() ? aNode.baseTerm : aNode.log.back().term;
}

SyncTicket NextTicket(Node& aNode) { return ++aNode.lastTicket; }

void WriteEntries(Node& aNode, std::vector<LogEntry> aEntries,
                  Actions& aActions) {
  const SyncTicket ticket = NextTicket(aNode);
  aNode.unsyncedEntries.emplace_back(ticket, aEntries.back().index);
  aActions.push_back(PersistEntries{ticket, std::move(aEntries)});
}

void WriteHardState(Node& aNode, Actions& aActions) {
  aActions.push_back(PersistHardState{NextTicket(aNode), aNode.hardState});
}

void AppendLocal(Node& aNode, LogEntry aEntry, Actions& aActions) {
  if (aEntry.kind == EntryKind::MembershipChange) {
    aNode.membership = aEntry.membership;
    aNode.membershipIndex = aEntry.index;
  }
  aNode.log.push_back(aEntry);
  WriteEntries(aNode, {std::move(aEntry)}, aActions);
}

void TruncateFrom(Node& aNode, LogIndex aIndex) {
  aNode.log.resize(aIndex - aNode.baseIndex - 1);
  aNode.durableIndex = std::min(aNode.durableIndex, aIndex - 1);
  for (auto& [ticket, last] : aNode.unsyncedEntries) {
    last = std::min(last, aIndex - 1);
  }
  if (aNode.membershipIndex >= aIndex) {
    RefreshMembership(aNode);
  }
}

void RefreshMembership(Node& aNode) {
  for (auto entry = aNode.log.rbegin(); entry != aNode.log.rend(); ++entry) {
    if (entry->kind == EntryKind::MembershipChange) {
      aNode.membership = entry->membership;
      aNode.membershipIndex = entry->index;
      return;
    }
  }
  aNode.membership = aNode.baseMembership;
  aNode.membershipIndex = aNode.baseIndex;
}

void ApplyCommitted(Node& aNode, Actions& aActions) {
  if (aNode.appliedIndex >= aNode.commitIndex) {
    return;
  }
  ApplyEntries apply;
  for (LogIndex index = aNode.appliedIndex + 1; index <= aNode.commitIndex;
       ++index) {
    apply.entries.push_back(EntryAt(aNode, index));
  }
  aNode.appliedIndex = aNode.commitIndex;
  aActions.push_back(std::move(apply));
}

}  // namespace detail

}  // namespace bramleypath::consensus
