// The operators' interface over HTTP.
#pragma once

#include <string>

#include "app/configuration_manager.h"
#include "app/metrics.h"
#include "app/node_host.h"
#include "app/peer_service.h"
#include "http/http_server.h"

namespace rosemarycove {

// How the operators' interface is set up.
struct OperatorApiOptions {
  std::string instance;
  std::string token;
};

// Serves declarations, reads and state of resources, and the metrics.
class OperatorApi {
 public:
  // `configuration` is null for an instance that runs alone, `peers` for one
  // that keeps no links.
  OperatorApi(OperatorApiOptions options, HttpServer& server, NodeHost& host,
              Metrics& metrics, ConfigurationManager* configuration,
              PeerService* peers);

 private:
  using Handler = void (OperatorApi::*)(const httplib::Request&,
                                        httplib::Response&);

  // Wraps a handler with the check of the operators' token.
  httplib::Server::Handler Guarded(Handler handler);
  void GetResources(const httplib::Request& request,
                    httplib::Response& response);
  void PutResources(const httplib::Request& request,
                    httplib::Response& response);
  void GetKind(const httplib::Request& request, httplib::Response& response);
  void GetOne(const httplib::Request& request, httplib::Response& response);
  void PutOne(const httplib::Request& request, httplib::Response& response);
  void DeleteOne(const httplib::Request& request, httplib::Response& response);
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
