#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bramleypath::config {

// An IP address and port. Host names are not accepted: the system has no
// resolver and is addressed by IP address only.
struct Address {
  std::string ip;
  std::uint16_t port = 0;
};

// Parses "10.0.0.1:7100" or "[fd00::1]:7100". Returns nothing for any other
// form and for port 0.
std::optional<Address> ParseAddress(std::string_view aText);

// Formats an address in the form that ParseAddress accepts.
std::string ToString(const Address& aAddress);

}  // namespace bramleypath::config
