#pragma once

namespace bramleypath::config {

struct Configuration;
struct Command;
struct Outcome;
struct ConfigState;
struct Distribution;
struct KeyOwners;

}  // namespace bramleypath::config
