#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "bramleypath/base/TimePoint.h"

namespace bramleypath::net {

struct Header {
  std::string name;
  std::string value;
};

struct HttpRequest {
  std::string method;  // "GET", "POST"
  std::string path;    // without the query
  std::string query;   // without the "?"
  std::vector<Header> headers;
  std::string body;
  // When the listener accepted the connection, and when the whole request was
  // read.
  TimePoint connectedAt;
  TimePoint receivedAt;
};

struct HttpResponse {
  std::uint32_t status = 200;
  std::string contentType = "application/json";
  std::vector<Header> headers;
  std::string body;
};

// The value of the first header of that name, ignoring case; null when there
// is none.
const std::string* FindHeader(const std::vector<Header>& aHeaders,
                              std::string_view aName);

// The value of the first "name=value" of a query, not decoded; empty when there
// is none.
std::string FindQueryValue(std::string_view aQuery, std::string_view aName);

// Splits "ip:port" into an address and a port; false when aText has another
// form. The address is not checked.
bool SplitAddress(std::string_view aText, std::string& aIp,
                  std::uint16_t& aPort);

// Whether aText is an IPv4 address and a port other than 0, to which requests
// can be sent.
bool IsCallableAddress(std::string_view aText);

// A response with a JSON body. Bytes that are not UTF-8 are replaced.
HttpResponse JsonResponse(std::uint32_t aStatus, const nlohmann::json& aBody);
// A JSON response {"error": aDetail, "field": aField}; an empty field is left
// out.
HttpResponse ErrorResponse(std::uint32_t aStatus, std::string_view aField,
                           std::string_view aDetail);

}  // namespace bramleypath::net
