// The operator API over HTTP.
#pragma once

#include <string>

#include "app/configuration_manager.h"
#include "app/metrics.h"
#include "app/node_host.h"
#include "app/peer_service.h"
#include "http/http_server.h"

namespace rosemarycove {

// Options of the operator API.
struct OperatorApiOptions {
  std::string instance;
  // Required as a bearer token in all requests but those for the metrics.
  std::string token;
};

// Lets operators declare resources and read them with their state, and serves
// the instance's status and metrics. The server's threads call the handlers.
class OperatorApi {
 public:
  // Adds the routes to `server`. `configuration` is null for an instance that
  // runs without a store, `peers` for one without links to other instances.
  OperatorApi(OperatorApiOptions options, HttpServer& server, NodeHost& host,
              Metrics& metrics, ConfigurationManager* configuration,
              PeerService* peers);

 private:
  using Handler = void (OperatorApi::*)(const httplib::Request&,
                                        httplib::Response&);

  // Returns a handler that rejects requests without the operator token.
  httplib::Server::Handler RequireToken(Handler handler);
  void GetResources(const httplib::Request& request,
                    httplib::Response& response);
  void PutResources(const httplib::Request& request,
                    httplib::Response& response);
  void GetKind(const httplib::Request& request, httplib::Response& response);
  void GetResource(const httplib::Request& request,
                   httplib::Response& response);
  void PutResource(const httplib::Request& request,
                   httplib::Response& response);
  void DeleteResource(const httplib::Request& request,
                      httplib::Response& response);
  void GetChange(const httplib::Request& request, httplib::Response& response);
  void GetStatus(const httplib::Request& request, httplib::Response& response);
  void GetMetrics(const httplib::Request& request, httplib::Response& response);
  void Change(const httplib::Request& request, httplib::Response& response,
              const ResourceEdit& edit);

  OperatorApiOptions options;
  NodeHost& host;
  Metrics& metrics;
  ConfigurationManager* configuration;
  PeerService* peers;
};

}  // namespace rosemarycove
