#include "transport/http_client.hpp"

#include <http_parser.h>

#include <algorithm>
#include <deque>
#include <string_view>
#include <utility>
#include <vector>

#include "constants.hpp"
#include "transport/tcp_stream.hpp"

namespace poppystile::transport {

namespace {

constexpr std::size_t read_buffer_bytes = 16384;

std::string encode_request(const HttpRequest& request, const Endpoint& to) {
  std::string out =
      request.method + " " + request.target + " HTTP/1.1\r\nHost: " + to_string(to) + "\r\n";
  if (!request.body.empty()) out += "Content-Type: application/json\r\n";
  if (!request.body.empty() || request.method != "GET")
    out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  return out + "\r\n" + request.body;
}

}  // namespace

/// One call, shared by its timeout timer and its connection; the first one to finish settles it.
struct HttpClient::Exchange {
  HttpRequest request;
  std::function<void(HttpResponse)> done;
  bool settled = false;
  Connection* connection = nullptr;

  /// Runs `done` with the response; does nothing if the exchange is already settled.
  void settle(HttpResponse response) {
    if (std::exchange(settled, true)) return;
    auto callback = std::move(done);
    callback(std::move(response));
  }
};

/// The calls and connections of one remote address.
struct HttpClient::Pool {
  Endpoint endpoint;
  std::deque<std::shared_ptr<Exchange>> waiting;
  std::vector<std::shared_ptr<Connection>> open;
};

/// One connection, which carries one call at a time. The callbacks of its stream keep it alive.
class HttpClient::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpClient& client, Pool& pool) : client_(client), pool_(pool), stream_(client.loop_) {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
  }

  bool is_idle() const { return !closing_ && connected_ && !current_exchange_; }
  bool is_new() const { return !closing_ && !connected_ && !connecting_; }

  void connect() {
    connecting_ = true;
    const bool started = stream_.connect(
        pool_.endpoint,
        [self = shared_from_this()](bool connected) { self->on_connected(connected); });
    if (!started) close();
  }

  /// Sends the request now, or as soon as the connection is established.
  void send(std::shared_ptr<Exchange> exchange) {
    current_exchange_ = std::move(exchange);
    current_exchange_->connection = this;
    if (connected_) write_request();
  }

  /// Closes the connection; a call without a response is settled with status 0.
  void close() {
    if (std::exchange(closing_, true)) return;
    const auto self = shared_from_this();  // the pool may hold the only other reference
    stream_.close();
    auto pending_exchange = std::exchange(current_exchange_, nullptr);
    client_.on_closed(pool_, this);
    if (pending_exchange) {
      pending_exchange->connection = nullptr;
      pending_exchange->settle({});
    }
  }

 private:
  void on_connected(bool connected) {
    if (!connected) return close();
    connected_ = true;
    stream_.set_nodelay();
    stream_.start_reading(
        read_buffer_bytes,
        [self = shared_from_this()](std::string_view data) { self->on_data(data); },
        [self = shared_from_this()] { self->on_end(); });
    if (current_exchange_) write_request();
  }

  void write_request() {
    if (!stream_.write(encode_request(current_exchange_->request, pool_.endpoint))) close();
  }

  void on_data(std::string_view data) {
    const auto parsed = http_parser_execute(&parser_, &parser_settings(), data.data(), data.size());
    if (closing_) return;
    if (parsed != data.size() || body_.size() > constants::max_response_body_bytes) close();
  }

  /// The end of the connection also ends a response body without Content-Length.
  void on_end() {
    http_parser_execute(&parser_, &parser_settings(), nullptr, 0);
    close();
  }

  void on_message_complete() {
    const bool keep_alive = http_should_keep_alive(&parser_) != 0;
    const auto finished = std::exchange(current_exchange_, nullptr);
    HttpResponse response{static_cast<int>(parser_.status_code), std::exchange(body_, {})};
    if (finished) finished->connection = nullptr;
    if (!keep_alive || !finished) close();
    if (finished) finished->settle(std::move(response));
    if (!closing_) client_.dispatch_waiting(pool_);
  }

  static const http_parser_settings& parser_settings() {
    static const http_parser_settings settings = [] {
      http_parser_settings made;
      http_parser_settings_init(&made);
      made.on_body = [](http_parser* parser, const char* at, std::size_t length) {
        static_cast<Connection*>(parser->data)->body_.append(at, length);
        return 0;
      };
      made.on_message_complete = [](http_parser* parser) {
        static_cast<Connection*>(parser->data)->on_message_complete();
        return 0;
      };
      return made;
    }();
    return settings;
  }

  HttpClient& client_;
  Pool& pool_;
  TcpStream stream_;
  http_parser parser_{};
  std::string body_;
  std::shared_ptr<Exchange> current_exchange_;
  bool connecting_ = false;
  bool connected_ = false;
  bool closing_ = false;
};

HttpClient::HttpClient(EventLoop& loop) : loop_(loop) {}
HttpClient::~HttpClient() = default;

HttpClient::Pool& HttpClient::pool_of(const Endpoint& to) {
  auto& pool = pools_[to_string(to)];
  if (!pool) {
    pool = std::make_unique<Pool>();
    pool->endpoint = to;
  }
  return *pool;
}

void HttpClient::call(const Endpoint& to, HttpRequest request, Seconds timeout,
                      std::function<void(HttpResponse)> done) {
  Pool& pool = pool_of(to);
  auto exchange = std::make_shared<Exchange>();
  exchange->request = std::move(request);
  exchange->done = std::move(done);
  if (pool.waiting.size() >= constants::client_backlog)
    return loop_.after(Seconds{0}, [exchange] { exchange->settle({}); });
  loop_.after(timeout, [exchange] {
    if (exchange->settled) return;
    // The connection may be broken without an error having been reported, so it is not reused.
    if (exchange->connection != nullptr) return exchange->connection->close();
    exchange->settle({});
  });
  pool.waiting.push_back(std::move(exchange));
  dispatch_waiting(pool);
}

std::shared_ptr<HttpClient::Connection> HttpClient::acquire_connection(Pool& pool) {
  const auto idle = std::find_if(pool.open.begin(), pool.open.end(),
                                 [](const auto& each) { return each->is_idle(); });
  if (idle != pool.open.end()) return *idle;
  if (pool.open.size() >= constants::client_connections) return nullptr;
  return pool.open.emplace_back(std::make_shared<Connection>(*this, pool));
}

void HttpClient::dispatch_waiting(Pool& pool) {
  while (!pool.waiting.empty()) {
    if (pool.waiting.front()->settled) {
      pool.waiting.pop_front();
      continue;
    }
    const auto connection = acquire_connection(pool);
    if (!connection) return;
    auto next = std::move(pool.waiting.front());
    pool.waiting.pop_front();
    connection->send(std::move(next));
    if (connection->is_new()) connection->connect();
  }
}

void HttpClient::on_closed(Pool& pool, const Connection* connection) {
  std::erase_if(pool.open, [&](const auto& each) { return each.get() == connection; });
  loop_.after(Seconds{0}, [this, &pool] { dispatch_waiting(pool); });
}

}  // namespace poppystile::transport
