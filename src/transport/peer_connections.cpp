#include "transport/peer_connections.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include "constants.hpp"

namespace poppystile::transport {

namespace {

// Size of the length that precedes each frame: a number of bytes, most significant byte first.
constexpr std::size_t length_bytes = 4;
constexpr int bits_per_byte = 8;

constexpr int listen_backlog = 16;
constexpr std::size_t incoming_buffer_bytes = 4096;
// Peers send nothing on these connections; reading only detects their end.
constexpr std::size_t outgoing_buffer_bytes = 64;
// A connection whose send queue exceeds this number of its largest frames plus this number of bytes
// counts as broken.
constexpr std::size_t max_queued_frames = 4;
constexpr std::size_t queue_allowance_bytes = 4096;

std::string with_length(const std::string& frame) {
  const auto size = static_cast<std::uint32_t>(frame.size());
  std::string out;
  for (int shift = bits_per_byte * (length_bytes - 1); shift >= 0; shift -= bits_per_byte)
    out.push_back(static_cast<char>(size >> shift));
  return out + frame;
}

std::size_t read_length(const std::string& data) {
  std::size_t size = 0;
  for (std::size_t i = 0; i < length_bytes; ++i)
    size = (size << bits_per_byte) | static_cast<unsigned char>(data[i]);
  return size;
}

}  // namespace

/// The connection to one peer, established when there is a frame to send.
class PeerConnections::Outgoing {
 public:
  Outgoing(EventLoop& loop, Endpoint to) : loop_(loop), to_(std::move(to)) {}

  /// Sends the frame if the connection is established; otherwise drops it and connects.
  void send(const std::string& frame) {
    if (!stream_) return connect();
    if (!connected_) return disconnect_if_timed_out();
    // Writes to a broken connection report no error; only the growing send queue reveals it.
    largest_frame_bytes_ = std::max(largest_frame_bytes_, frame.size());
    if (stream_->write_queue_size() >
        max_queued_frames * largest_frame_bytes_ + queue_allowance_bytes)
      return disconnect();
    if (!stream_->write(with_length(frame))) disconnect();
  }

 private:
  void connect() {
    stream_.emplace(loop_);
    connected_ = false;
    largest_frame_bytes_ = 0;
    connecting_since_ = loop_.now();
    if (!stream_->connect(to_, [this](bool connected) { on_connected(connected); })) disconnect();
  }

  void on_connected(bool connected) {
    if (!connected) return disconnect();
    connected_ = true;
    // Reading detects that the peer has closed the connection.
    stream_->start_reading(
        outgoing_buffer_bytes, [](std::string_view) {}, [this] { disconnect(); });
  }

  /// Abandons a connection attempt that takes longer than `max_peer_status_age`.
  void disconnect_if_timed_out() {
    if (loop_.now() - connecting_since_ > constants::max_peer_status_age) disconnect();
  }

  void disconnect() { stream_.reset(); }

  EventLoop& loop_;
  Endpoint to_;
  std::optional<TcpStream> stream_;
  bool connected_ = false;
  std::size_t largest_frame_bytes_ = 0;  // Of the frames sent on this connection.
  SteadyTime connecting_since_;
};

/// A connection from a peer. The callbacks of its stream keep it alive until libuv has closed it.
class PeerConnections::Incoming : public std::enable_shared_from_this<Incoming> {
 public:
  explicit Incoming(PeerConnections& connections)
      : connections_(connections), stream_(connections.loop_) {
    ++connections_.incoming_connections_;
  }
  ~Incoming() { --connections_.incoming_connections_; }
  Incoming(const Incoming&) = delete;
  Incoming& operator=(const Incoming&) = delete;

  /// Accepts the next pending connection; closes it if there are more than `max_peer_connections`.
  void open() {
    const bool accepted = stream_.accept(connections_.listener_);
    if (!accepted || connections_.incoming_connections_ > constants::max_peer_connections)
      return close();
    stream_.start_reading(
        incoming_buffer_bytes,
        [self = shared_from_this()](std::string_view data) { self->on_data(data); },
        [self = shared_from_this()] { self->close(); });
  }

 private:
  void on_data(std::string_view data) {
    received_.append(data);
    while (received_.size() >= length_bytes) {
      const std::size_t size = read_length(received_);
      if (size > constants::max_peer_frame_bytes) {
        spdlog::info("peer connection closed, frame above the size limit bytes={}", size);
        return close();
      }
      if (received_.size() < length_bytes + size) return;
      const std::string frame = received_.substr(length_bytes, size);
      received_.erase(0, length_bytes + size);
      if (connections_.handler_) connections_.handler_(frame);
    }
  }

  void close() { stream_.close(); }

  PeerConnections& connections_;
  TcpStream stream_;
  std::string received_;
};

PeerConnections::PeerConnections(EventLoop& loop, const Endpoint& listen,
                                 const std::vector<Endpoint>& peers)
    : loop_(loop),
      listener_(loop, listen, listen_backlog, "connections of peers", [this] { accept(); }) {
  for (const auto& each : peers) outgoing_.push_back(std::make_unique<Outgoing>(loop, each));
}

PeerConnections::~PeerConnections() = default;

void PeerConnections::accept() { std::make_shared<Incoming>(*this)->open(); }

void PeerConnections::broadcast(const std::string& frame) {
  for (auto& each : outgoing_) each->send(frame);
}

void PeerConnections::set_frame_handler(std::function<void(const std::string&)> handler) {
  handler_ = std::move(handler);
}

}  // namespace poppystile::transport
