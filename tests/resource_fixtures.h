// Resource sets used by several test programs.
#pragma once

#include <string>

#include "core/resources.h"

namespace rosemarycove {

// Returns a model service with classes of two tiers and `engines` engines, and
// a plain service with one server and a class, all in data centre "a".
inline ResourceSet MakeResources(int engines) {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  ResourceSet resources;
  resources.revision = 1;
  resources.classes = {{.name = "fast",
                        .tier = 1,
                        .target = {.first_token = milliseconds(420),
                                   .between_tokens = milliseconds(64)}},
                       {.name = "slow",
                        .tier = 3,
                        .target = {.whole = seconds(60)},
                        .guaranteed_share = 0.05},
                       {.name = "order",
                        .tier = 2,
                        .target = {.whole = seconds(2)},
                        .repeatable = false}};
  resources.customers = {{.name = "alice",
                          .key_hash = "a",
                          .classes = {"fast", "slow", "order"},
                          .default_class = "fast"},
                         {.name = "bob",
                          .key_hash = "b",
                          .classes = {"fast", "slow"},
                          .default_class = "slow"}};
  resources.services = {
      {.name = "models", .models = {"m"}},
      {.name = "orders", .kind = ServiceKind::kPlain, .models = {}}};
  for (int i = 0; i < engines; ++i) {
    resources.backends.push_back({.name = "engine-" + std::to_string(i),
                                  .service = "models",
                                  .address = "10.0.0.1:" + std::to_string(i),
                                  .data_centre = "a",
                                  .models = {}});
  }
  resources.backends.push_back({.name = "orders-0",
                                .service = "orders",
                                .address = "10.0.0.2:1",
                                .data_centre = "a",
                                .models = {}});
  return resources;
}

}  // namespace rosemarycove
