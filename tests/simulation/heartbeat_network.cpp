#include "simulation/heartbeat_network.hpp"

#include <utility>

namespace poppystile::simulation {

using transport::HttpRequest;
using transport::HttpResponse;

namespace {
constexpr Seconds min_latency{0.0005}, max_latency{0.003};  // One-way latency.

HttpRequest heartbeat_request(const std::string& body) { return {"POST", "/agent/beat", body}; }
void ignore_response(const HttpResponse&) {}
}  // namespace

void HeartbeatNetwork::send(const std::string& controller, const Worker& from,
                            const std::string& body, Worker::OnResponse on_response) {
  if (queue_.chance(faults_.duplicated_heartbeats.share)) duplicate(body);
  ControllerProcess* to = cluster_.find(controller);
  if (to == nullptr) return;
  const std::string& isolated = faults_.isolated_zone;
  if (!isolated.empty() && (from.host().zone == isolated) != (to->zone() == isolated)) return;
  if (to->partition().workers) {
    if (to->partition().deliver_on_heal)
      to->hold([to, body] { to->handle(heartbeat_request(body), ignore_response); });
    return;
  }
  transmit(*to, body, with_response_faults(from.host().machine, std::move(on_response)));
}

void HeartbeatNetwork::duplicate(const std::string& body) {
  ControllerProcess& to = cluster_.random();
  queue_.after(queue_.uniform(faults_.duplicated_heartbeats.min_delay,
                              faults_.duplicated_heartbeats.max_delay),
               [&to, body] {
                 if (!to.partition().workers) to.handle(heartbeat_request(body), ignore_response);
               });
}

void HeartbeatNetwork::transmit(ControllerProcess& to, const std::string& body,
                                const Worker::OnResponse& on_response) {
  const auto respond = [this, &to, on_response](const HttpResponse& response) {
    if (to.partition().workers) return;
    queue_.after(queue_.uniform(min_latency, max_latency),
                 [on_response, response] { on_response(response); });
  };
  queue_.after(queue_.uniform(min_latency, max_latency), [&to, body, on_response, respond] {
    if (!to.is_running()) return on_response({0, ""});
    to.deliver([&to, body, respond] { to.handle(heartbeat_request(body), respond); });
  });
}

Worker::OnResponse HeartbeatNetwork::with_response_faults(const std::string& machine,
                                                          Worker::OnResponse on_response) {
  return [this, machine, on_response = std::move(on_response)](const HttpResponse& response) {
    if (faults_.machines_with_lost_responses.contains(machine)) {
      if (response.body.find(R"("verb":"start")") != std::string::npos) ++lost_start_commands_;
      return;
    }
    const Duplication& duplication = faults_.duplicated_heartbeat_responses;
    if (queue_.chance(duplication.share))
      queue_.after(queue_.uniform(duplication.min_delay, duplication.max_delay),
                   [on_response, response] { on_response(response); });
    if (!queue_.chance(faults_.delayed_heartbeat_responses.share)) return on_response(response);
    queue_.after(faults_.delayed_heartbeat_responses.delay,
                 [on_response, response] { on_response(response); });
  };
}

}  // namespace poppystile::simulation
