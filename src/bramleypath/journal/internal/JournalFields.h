#pragma once

#include <string>

#include "bramleypath/codec/Fields.h"
#include "bramleypath/journal/State.h"
#include "bramleypath/journal/Types.h"

// Field names of the journal's commands and snapshots in CBOR. Those of the
// commands are short because each keyed request writes up to three commands to
// the log.

namespace bramleypath::journal {

// A record in a snapshot. It has no deadline because deadlines are local to
// each replica.
struct SnapshotRecord {
  RequestKey key;
  Fingerprint fingerprint;
  std::string stage;
  Holder holder;
  std::uint64_t revision = 0;
  std::optional<StoredAnswer> answer;
};

template <typename Visitor>
void VisitFields(Visitor& aVisitor, RequestKey& aValue) {
  aVisitor.Required("m", aValue.clientAccount);
  aVisitor.Required("k", aValue.key);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, Fingerprint& aValue) {
  aVisitor.Required("h", aValue.high);
  aVisitor.Required("l", aValue.low);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, Holder& aValue) {
  aVisitor.Required("h", aValue.host);
  aVisitor.Required("n", aValue.nonce);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, StoredAnswer& aValue) {
  aVisitor.Required("s", aValue.status);
  aVisitor.Required("t", aValue.contentType);
  aVisitor.Required("b", aValue.body);
  aVisitor.Required("o", aValue.omitted);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, Limits& aValue) {
  aVisitor.Required("records", aValue.records);
  aVisitor.Required("bytes", aValue.bytes);
  aVisitor.Required("answer_bytes", aValue.answerBytes);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, SnapshotRecord& aValue) {
  aVisitor.Required("key", aValue.key);
  aVisitor.Required("fingerprint", aValue.fingerprint);
  aVisitor.Required("stage", aValue.stage);
  aVisitor.Required("holder", aValue.holder);
  aVisitor.Required("revision", aValue.revision);
  aVisitor.Required("answer", aValue.answer);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, Reserve& aValue) {
  aVisitor.Required("key", aValue.key);
  aVisitor.Required("fp", aValue.fingerprint);
  aVisitor.Required("by", aValue.holder);
  aVisitor.Required("d", aValue.dispatch);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, Dispatch& aValue) {
  aVisitor.Required("key", aValue.key);
  aVisitor.Required("by", aValue.holder);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, Answer& aValue) {
  aVisitor.Required("key", aValue.key);
  aVisitor.Required("by", aValue.holder);
  aVisitor.Required("answer", aValue.answer);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, Release& aValue) {
  aVisitor.Required("key", aValue.key);
  aVisitor.Required("by", aValue.holder);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, Expire& aValue) {
  aVisitor.Required("key", aValue.key);
  aVisitor.Required("rev", aValue.revision);
}

}  // namespace bramleypath::journal
