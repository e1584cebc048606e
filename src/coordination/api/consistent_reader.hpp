/// \file
/// Reads jobs from this controller's cache if the state service confirms that it is current, and
/// from the state service otherwise.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "coordination/state/key_value_client.hpp"
#include "coordination/state/shared_state_cache.hpp"
#include "protocol/state_limits.hpp"
#include "transport/event_loop.hpp"

namespace poppystile::coordination {

/// The state of a job, as confirmed by the state service.
enum class ReadResult : std::uint8_t {
  unavailable,  ///< Not confirmed: no response, or a response to a request that is too old.
  active,       ///< The job is stored and has no final record; the cache holds its record.
  terminal,     ///< The job has its final record.
  absent        ///< The job was never stored.
};

/// Confirms cached jobs against the state service, and reads changed jobs again.
///
/// Returns `active` or `absent` only if the request that proves it was sent at most
/// `constants::max_read_age` ago, and `absent` only if no peer has accepted the job since: another
/// controller may have reported a later change to users.
class ConsistentReader {
 public:
  using Callback = std::function<void(ReadResult)>;

  /// All arguments must outlive the reader.
  ConsistentReader(transport::Runtime& runtime, KeyValueClient& key_value_client,
                   SharedStateCache& shared_state, const protocol::StateLimits& limits);

  /// Confirms that the cache is current for the job, or reads the job again if it is not.
  ///
  /// Queries made within `constants::poll_batch_window` are combined into one compare, or more if
  /// the state service's limit on conditions requires it. `done` is called exactly once.
  void confirm_current(const std::string& id, Callback done);

  /// Reads the job's records from the state service into the cache. `done` is called exactly once.
  void read_from_service(const std::string& id, Callback done);

 private:
  struct Query {
    std::string id;
    Callback done;
    bool cached = false;  // Whether the cache held the job's record when the compare was sent.
  };

  void send_pending_queries();
  void send_compare(std::vector<Query> queries);
  void finish_query(Query query, const TransactionResult& result);
  void read_final_record(const std::string& id, Callback done);
  /// Completes a query about a job that was not stored when the answered request was sent.
  void finish_absent(const std::string& id, const Callback& done);
  /// Time since the request was sent whose response is being handled.
  Seconds response_age() const;
  bool response_is_fresh() const;

  transport::Runtime& runtime_;
  KeyValueClient& key_value_client_;
  SharedStateCache& shared_state_;
  const protocol::StateLimits& limits_;
  std::vector<Query> pending_queries_;
};

}  // namespace poppystile::coordination
