#ifndef REDWING_STORE_INTERNAL_KUBERNETES_STORE_H_
#define REDWING_STORE_INTERNAL_KUBERNETES_STORE_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "framework/http/http_client.h"
#include "store/instance_directory.h"
#include "store/object_store.h"

namespace redwing {

class Metrics;

// Implements the store with the Kubernetes API: custom resources of the group
// redwingcart.io/v1 hold the objects, EndpointSlices list the instances.
class KubernetesStore : public ObjectStore, public InstanceDirectory {
 public:
  KubernetesStore(boost::asio::io_context& io,
                  SocketRegistry& sockets,
                  Metrics& metrics,
                  boost::asio::ip::tcp::endpoint endpoint,
                  Milliseconds timeout);

  Result<StoredObject> Get(const std::string& kind,
                           const std::string& name,
                           const Yield& yield) override;
  Result<ObjectList> List(const std::string& kind, const Yield& yield) override;
  Result<StoredObject> Create(const StoredObject& object,
                              const Yield& yield) override;
  Result<StoredObject> Update(const StoredObject& object,
                              const Yield& yield) override;
  Result<void> Delete(const StoredObject& object, const Yield& yield) override;
  Failure Watch(const std::string& kind,
                const std::string& version,
                const std::function<void(const StoredObject&)>& on_object,
                const Yield& yield) override;

  Result<InstanceList> ListInstances(const Yield& yield) override;

 private:
  // Sends a request and returns the JSON body of the response. Fails as
  // ObjectStore does.
  Result<nlohmann::json> Call(http::verb method,
                              const std::string& target,
                              const nlohmann::json& body,
                              const Yield& yield);

  boost::asio::io_context& io_;
  SocketRegistry& sockets_;
  Metrics& metrics_;
  HttpClient client_;
  boost::asio::ip::tcp::endpoint endpoint_;
  Milliseconds timeout_;
};

}  // namespace redwing

#endif  // REDWING_STORE_INTERNAL_KUBERNETES_STORE_H_
