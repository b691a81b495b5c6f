// Learns how long the prompts of a route are. Used by the proxy (src/proxy).
#pragma once

#include <map>
#include <string>

namespace rosemarycove {

// Averages the prompt tokens of each route's recent requests. The average
// decides on which side of a service's partition the route's requests go (see
// Placer). It is the same at all instances after a few requests, so a prompt
// has the same affinity server at each. The proxy owns one and uses it on its
// event loop.
class PromptSizes {
 public:
  // Adds a request of the route and returns the average with it.
  int Record(const std::string& route, int prompt_tokens);

 private:
  struct Average {
    double tokens = 0;
    int count = 0;
  };

  // By route name.
  std::map<std::string, Average> averages;
};

}  // namespace rosemarycove
