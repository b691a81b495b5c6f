// The HTTP API for callers: OpenAI-compatible chat completions and plain
// services.
#pragma once

#include <memory>
#include <string>

#include "http/caller_api_host.h"
#include "http/http_server.h"

namespace rosemarycove {

// Options of the caller API.
struct CallerApiOptions {
  std::string instance;
  // Unique per process start; part of the request ids sent to backend servers.
  std::string process;
};

// Registers the handlers of the caller API on an HTTP server and submits the
// callers' requests to the node. Handlers run on the server's threads and block
// until the request has ended.
class CallerApi {
 public:
  CallerApi(CallerApiOptions options, HttpServer& server, CallerApiHost& host);

 private:
  void HandleChat(const httplib::Request& request, httplib::Response& response);
  void HandleService(const httplib::Request& request,
                     httplib::Response& response);
  void HandleModels(const httplib::Request& request,
                    httplib::Response& response);
  // Returns the customer that the caller's key belongs to. Otherwise responds
  // with 401, or 503 while the instance is not ready, and returns nullopt.
  std::optional<std::string> Authenticate(const httplib::Request& request,
                                          httplib::Response& response);
  // Sets the request's id and the members that come from header fields.
  void ReadHeaders(const httplib::Request& request, RequestArrived& arrived);
  void Serve(RequestArrived arrived, UpstreamRequest upstream,
             httplib::Response& response);
  void Stream(const std::shared_ptr<PendingRequest>& pending, std::string first,
              httplib::Response& response);

  CallerApiOptions options;
  HttpServer& server;
  CallerApiHost& host;
};

}  // namespace rosemarycove
