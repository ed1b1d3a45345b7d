#pragma once

#include <string_view>

namespace bramleypath::daemon {

// The static page at "/" of the operators' listener. It reads the operator API
// of the same host and loads nothing from elsewhere.
std::string_view StatusPage();

}  // namespace bramleypath::daemon
