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

// Reads "10.0.0.1:7100" or "[fd00::1]:7100"; nothing when it is something else
// or the port is 0.
std::optional<Address> ParseAddress(std::string_view aText);

std::string ToString(const Address& aAddress);

}  // namespace bramleypath::config
