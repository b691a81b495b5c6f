// The configuration that the cases share: a route for streams and two for a
// service of orders, and a client for each.
#pragma once

#include "review/standin/stage.h"

namespace stage {

struct ConfigurationOptions {
  int version = 7;
  string more_routes;
  int attempts = 2;
  int stream_timeout_ms = 15000;
};

inline string ConfigurationText(const ConfigurationOptions& options = {}) {
  return "{\"version\":" + std::to_string(options.version) +
         ",\"routes\":["
         "{\"name\":\"help\",\"hostname\":\"net.example\",\"path_prefix\":"
         "\"/help/\",\"type\":\"streaming\",\"timeout_ms\":" +
         std::to_string(options.stream_timeout_ms) +
         ",\"slo_ms\":300,\"priority\":0,\"service\":\"model-pool\","
         "\"attempts\":" +
         std::to_string(options.attempts) +
         ",\"public\":false,\"sticky\":true,\"resumable\":true,"
         "\"gap_target_ms\":200},"
         "{\"name\":\"order\",\"hostname\":\"net.example\",\"path_prefix\":"
         "\"/order/\",\"type\":\"unsafe\",\"timeout_ms\":2000,\"slo_ms\":300,"
         "\"priority\":2,\"service\":\"orders-app\",\"attempts\":1,"
         "\"public\":false,\"sticky\":false,\"resumable\":false},"
         "{\"name\":\"stock\",\"hostname\":\"net.example\",\"path_prefix\":"
         "\"/stock/\",\"type\":\"safe\",\"timeout_ms\":2000,\"slo_ms\":300,"
         "\"priority\":2,\"service\":\"orders-app\",\"attempts\":2,"
         "\"public\":false,\"sticky\":false,\"resumable\":false}" +
         options.more_routes +
         "],\"services\":["
         "{\"name\":\"model-pool\",\"health_path\":\"/healthz\",\"max_conns\":"
         "370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,"
         "\"kv_tokens\":586764,\"kv_bytes\":163840,\"stride\":4,\"models\":"
         "[{\"name\":\"m\"}]}},"
         "{\"name\":\"orders-app\",\"health_path\":\"/healthz\",\"max_conns\":"
         "110,\"protocol\":\"h1\",\"tls\":false}],"
         "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
         "\"tenants\":[{\"name\":\"clinic\",\"api_keys\":[\"key-1\"],"
         "\"priority\":1}]}";
}

inline string RequestText(const string& method, const string& path,
                          const string& id, int deadline_ms,
                          const string& more_fields = "",
                          const string& body = "") {
  return method + " " + path + " HTTP/1.1\r\nHost: net.example\r\n" +
         "Rosemarycove-Request-Id: " + id +
         "\r\nRosemarycove-Deadline-Ms: " + std::to_string(deadline_ms) +
         "\r\nAuthorization: Token key-1\r\n" + more_fields +
         (method == "GET"
              ? ""
              : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         "\r\n" + body;
}

inline string StreamFields(const string& session) {
  return "Rosemarycove-Model: m\r\nRosemarycove-Token-Count: 400,300\r\n"
         "Rosemarycove-Prefix-Hash: 5c1e07a2:120,91bd3f06:80," +
         session + ":200\r\n";
}

inline string Summary(const Answer& answer) {
  return "status " + std::to_string(answer.status) +
         (answer.complete    ? ", complete"
          : answer.reset     ? ", channel reset"
          : answer.timed_out ? ", nothing more in time"
                             : ", channel closed early") +
         (answer.events.empty()
              ? ""
              : ", " + std::to_string(answer.events.size()) + " events");
}

// Sends one request on a new channel and reads its answer.
inline Answer Ask(int port, const string& request, double timeout_s,
                  const std::function<void(int)>& on_event = {}) {
  const int fd = Connect(port);
  if (fd < 0) {
    return {};
  }
  Channel channel(fd);
  if (!channel.Send(request)) {
    return {};
  }
  return ReadAnswer(channel, timeout_s, on_event);
}

}  // namespace stage
