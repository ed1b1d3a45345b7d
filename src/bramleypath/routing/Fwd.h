#pragma once

namespace bramleypath::routing {

struct Router;
struct Settings;
struct Call;
struct Refusal;
struct MemberPolicy;

}  // namespace bramleypath::routing
