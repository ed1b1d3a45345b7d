#pragma once

namespace bramleypath::settings {

struct Settings;
struct Fault;
struct Report;

}  // namespace bramleypath::settings
