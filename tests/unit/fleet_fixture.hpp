// Fixture for tests of the fleet components: a journal in the simulated state service, and a cloud
// client whose calls the test responds to.
#pragma once

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <string>
#include <utility>

#include "cluster/cluster_state.hpp"
#include "coordination/fleet/cloud_client.hpp"
#include "coordination/fleet/machine_catalog.hpp"
#include "coordination/fleet/machine_registry.hpp"
#include "coordination/journal/journal_writer.hpp"
#include "simulation/event_queue.hpp"
#include "simulation/fake_http_caller.hpp"
#include "simulation/state_service.hpp"

namespace poppystile::coordination {

// Keeps every call until the test responds to it.
class ManualHttpCaller : public transport::HttpCaller {
 public:
  struct Call {
    transport::HttpRequest request;
    std::function<void(transport::HttpResponse)> done;
  };

  void call(const transport::Endpoint&, transport::HttpRequest request, Seconds,
            std::function<void(transport::HttpResponse)> done) override {
    calls.push_back({std::move(request), std::move(done)});
  }
  // Responds to the oldest call.
  void respond(int status, const std::string& body) {
    ASSERT_FALSE(calls.empty());
    const Call call = std::move(calls.front());
    calls.pop_front();
    call.done({status, body});
  }

  std::deque<Call> calls;
};

class FleetFixture : public testing::Test {
 protected:
  static protocol::Settings make_settings() {
    protocol::Settings settings;
    settings.name = "stile-0";
    settings.cloud_rps = 5;
    settings.list_lag = Seconds{5};
    return settings;
  }
  FleetFixture() {
    catalog.replace({{"t", {16000, 0, 64000}, 50, 2, 1.0, 0.3, Seconds{20}, {"a"}}});
    registry.begin_term(cluster_state);
  }
  // Waits until this controller is elected and has loaded its journal.
  void become_leader() {
    election.on_elected([this] {
      journal.load([this](const auto& replayed) { is_journal_open = replayed.has_value(); });
    });
    shared_state.start();
    election.start();
    for (int i = 0; i < 3000 && !is_journal_open; ++i) queue.run_until(queue.now() + 0.01);
    ASSERT_TRUE(is_journal_open);
  }
  // Advances the simulated time while the journal is written.
  void run_for(double seconds) {
    const double end = queue.now() + seconds;
    while (queue.now() < end) {
      journal.pump();
      queue.run_until(queue.now() + 0.02);
    }
  }
  // Admits a machine of the catalog's type that has sent a heartbeat and can take tasks.
  cluster::Machine& add_machine(const std::string& id) {
    cluster::Machine machine;
    machine.id = id;
    machine.type = "t";
    machine.zone = "a";
    machine.incarnation = 1;
    machine.has_reported = machine.has_acknowledged_token = true;
    machine.last_response_at = caller.now();
    return *registry.admit(std::move(machine));
  }

  simulation::EventQueue queue{5};
  simulation::StateService service{queue, 250, 40, 32};
  simulation::FakeHttpCaller caller{queue, service, 0};
  ManualHttpCaller cloud_http;
  protocol::Settings settings = make_settings();
  KeyValueClient key_value_client{caller, caller, settings};
  SharedStateCache shared_state{caller, key_value_client};
  LeaderElection election{caller, key_value_client, shared_state, "stile-0", 7};
  JournalWriter journal{caller, key_value_client, election, settings};
  cluster::ClusterState cluster_state;
  MachineCatalog catalog;
  MachineRegistry registry{journal, catalog};
  CloudClient cloud{caller, cloud_http, settings};
  bool is_journal_open = false;
};

}  // namespace poppystile::coordination
