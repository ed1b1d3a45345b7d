#include "bramleypath/wire/PeerRequest.h"

#include "bramleypath/codec/Fields.h"

namespace bramleypath::net {

template <typename Visitor>
void VisitFields(Visitor& aVisitor, Header& aHeader) {
  aVisitor.Required("name", aHeader.name);
  aVisitor.Required("value", aHeader.value);
}

}  // namespace bramleypath::net

namespace bramleypath::wire {

template <typename Visitor>
void VisitFields(Visitor& aVisitor, PeerRequest& aRequest) {
  aVisitor.Required("id", aRequest.id);
  aVisitor.Required("method", aRequest.method);
  aVisitor.Required("path", aRequest.path);
  aVisitor.Required("query", aRequest.query);
  aVisitor.Required("headers", aRequest.headers);
  aVisitor.Required("body", aRequest.body);
  aVisitor.Required("remaining_ms", aRequest.remainingMs);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, PeerAnswer& aAnswer) {
  aVisitor.Required("id", aAnswer.id);
  aVisitor.Required("status", aAnswer.status);
  aVisitor.Required("content_type", aAnswer.contentType);
  aVisitor.Required("headers", aAnswer.headers);
  aVisitor.Required("body", aAnswer.body);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, LedGroup& aGroup) {
  aVisitor.Required("group", aGroup.group);
  aVisitor.Required("term", aGroup.term);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, HostHello& aHello) {
  aVisitor.Required("identity", aHello.identity);
  aVisitor.Required("leads", aHello.leads);
}

net::Bytes Encode(const PeerRequest& aRequest) {
  return codec::ToCbor(aRequest);
}

net::Bytes Encode(const PeerAnswer& aAnswer) { return codec::ToCbor(aAnswer); }

net::Bytes Encode(const HostHello& aHello) { return codec::ToCbor(aHello); }

std::optional<PeerRequest> DecodePeerRequest(const net::Bytes& aBytes) {
  return codec::FromCbor<PeerRequest>(aBytes);
}

std::optional<PeerAnswer> DecodePeerAnswer(const net::Bytes& aBytes) {
  return codec::FromCbor<PeerAnswer>(aBytes);
}

std::optional<HostHello> DecodeHostHello(const net::Bytes& aBytes) {
  return codec::FromCbor<HostHello>(aBytes);
}

}  // namespace bramleypath::wire
