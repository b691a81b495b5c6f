// The HTTP client for requests to backend servers.
#pragma once

#include <httplib.h>

#include <string>

namespace rosemarycove {

// A client that accepts only responses whose framing is certain. cpp-httplib
// alone takes some responses that break off for complete ones. Interim
// responses and trailer fields are dropped.
class BackendClient : public httplib::ClientImpl {
 public:
  // `address`: "host:port".
  explicit BackendClient(const std::string& address);

  // Returns whether the connection can be used for another request: the last
  // response was complete and no bytes followed it.
  [[nodiscard]] bool is_reusable() const { return this->reusable; }

 private:
  bool process_socket(
      const Socket& socket,
      std::function<bool(httplib::Stream& stream)> callback) override;

  bool reusable = true;
};

}  // namespace rosemarycove
