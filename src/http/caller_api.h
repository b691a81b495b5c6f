// The callers' interface: the OpenAI shape, and plain services.
#pragma once

#include <memory>
#include <string>

#include "http/caller_api_host.h"
#include "http/http_server.h"

namespace rosemarycove {

// How the callers' interface is set up.
struct CallerApiOptions {
  std::string instance;
  // Names this process in request names.
  std::string process;
};

// Serves callers over HTTP and hands their requests to the node.
class CallerApi {
 public:
  CallerApi(CallerApiOptions options, HttpServer& server, CallerApiHost& host);

 private:
  void HandleChat(const httplib::Request& request, httplib::Response& response);
  void HandleService(const httplib::Request& request,
                     httplib::Response& response);
  void HandleModels(const httplib::Request& request,
                    httplib::Response& response);
  // The caller's customer; answers 401 and returns nothing without one.
  std::optional<std::string> Authenticate(const httplib::Request& request,
                                          httplib::Response& response);
  // Fills in what comes from the headers.
  void TakeHeaders(const httplib::Request& request, RequestArrived& arrived);
  void Serve(RequestArrived arrived, UpstreamRequest upstream,
             httplib::Response& response);
  void Stream(const std::shared_ptr<PendingRequest>& pending, std::string first,
              httplib::Response& response);

  CallerApiOptions options;
  HttpServer& server;
  CallerApiHost& host;
};

}  // namespace rosemarycove
