#include "core/routing_configuration.h"

#include <algorithm>
#include <cctype>

namespace rosemarycove {
namespace {

// Drops the port, if any.
std::string_view HostName(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  return colon == std::string_view::npos ? host : host.substr(0, colon);
}

// Whether `text` equals `lower`, which is in lower case, in any case.
bool EqualsLower(std::string_view text, std::string_view lower) {
  return std::equal(text.begin(), text.end(), lower.begin(), lower.end(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == b;
                    });
}

}  // namespace

std::string_view ToString(RouteKind kind) {
  switch (kind) {
    case RouteKind::kStream:
      return "stream";
    case RouteKind::kRepeatable:
      return "repeatable";
    case RouteKind::kOnce:
      return "once";
  }
  return "unknown";
}

const Route* RoutingConfiguration::FindRoute(std::string_view host,
                                             std::string_view path) const {
  const std::string_view name = HostName(host);
  const Route* best = nullptr;
  for (const Route& route : this->routes) {
    if (path.starts_with(route.path_prefix) && EqualsLower(name, route.host) &&
        (best == nullptr ||
         route.path_prefix.size() > best->path_prefix.size())) {
      best = &route;
    }
  }
  return best;
}

const RoutedService* RoutingConfiguration::FindService(
    std::string_view name) const {
  const auto found =
      std::find_if(this->services.begin(), this->services.end(),
                   [&](const RoutedService& item) { return item.name == name; });
  return found == this->services.end() ? nullptr : &*found;
}

}  // namespace rosemarycove
