// Users' requests. Any node serves them, against the state service.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/state/key_value_client.hpp"
#include "coordination/state/shared_state_cache.hpp"
#include "protocol/settings.hpp"
#include "transport/http.hpp"

namespace poppystile::coordination {

struct TaskCounts {
  std::uint64_t done = 0;
  std::uint64_t running = 0;
};

class JobApi {
 public:
  JobApi(transport::Runtime& runtime, KeyValueClient& key_value_client,
         SharedStateCache& shared_state, const protocol::Settings& settings,
         std::function<TaskCounts(const std::string&)> counts);

  void submit(const std::string& body, transport::Respond respond);
  void show(const std::string& id, transport::Respond respond);
  void cancel(const std::string& id, const transport::Respond& respond);

 private:
  // What is certain about a job now.
  enum class ReadResult : std::uint8_t { live, over, absent, unsure };
  using Verified = std::function<void(ReadResult)>;
  struct Question {
    std::string id;
    Verified answer;
  };

  void verify(const std::string& id, Verified answer);
  void flush_gathered();
  void ask(std::vector<Question> questions);
  // Whether what the answer at hand tells may still be told.
  bool fresh() const;
  void read_again(const std::string& id, Verified answer);
  void answer_current(const std::string& id, transport::Respond respond);
  void answer_state(const std::string& id, bool as_poll, const transport::Respond& respond) const;
  protocol::JobState state_of(const std::string& id) const;
  std::string check_admission(protocol::JobSpec& job) const;
  void accept(protocol::JobSpec job, SteadyTime since, transport::Respond respond);
  void mark_cancelled(const std::string& id, SteadyTime since, const transport::Respond& respond);
  bool must_turn_away() const;
  bool within_retry_deadline(SteadyTime since) const;

  transport::Runtime& runtime_;
  KeyValueClient& key_value_client_;
  SharedStateCache& shared_state_;
  const protocol::Settings& settings_;
  std::function<TaskCounts(const std::string&)> counts_;
  std::vector<Question> gathered_;
};

}  // namespace poppystile::coordination
