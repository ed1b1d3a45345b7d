#pragma once

namespace bramleypath::routing {

struct Router;
struct Settings;
struct Call;
struct Refusal;
struct ClientAccountPolicy;

}  // namespace bramleypath::routing
