/// \file
/// Time, the record of a run, and a small blocking HTTP/1.1 server and client on loopback.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;

/// Seconds on the steady clock since the first call.
inline double now_s() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleep_s(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// The record of a run: one line an event, with the time in seconds.
class Record {
 public:
  static Record& get() {
    static Record record;
    return record;
  }
  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[4096];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (file_ == nullptr) file_ = stdout;
    std::fprintf(file_, "%9.3f %s\n", now_s(), text);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
};

#define RECORD(...) ::review::Record::get().line(__VA_ARGS__)

struct Request {
  std::string method, target, body;
};
struct Response {
  int status = 0;  // 0: no response; the server then closes the connection.
  std::string body;
};

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// Ports that were free when asked for; each is given out once.
inline int free_port() {
  static std::mutex mutex;
  static std::set<int> given;
  const std::lock_guard<std::mutex> lock(mutex);
  while (true) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
      close(fd);
      continue;
    }
    close(fd);
    const int port = ntohs(address.sin_port);
    if (given.insert(port).second) return port;
  }
}

inline int listen_on(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = loopback(port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(fd, 256) != 0) {
    std::fprintf(stderr, "cannot listen on port %d\n", port);
    std::exit(2);
  }
  return fd;
}

/// Reads one HTTP message. Returns false at the end of the connection or at `deadline` (0: none).
inline bool read_message(int fd, std::string& buffer, std::string& head, std::string& body,
                         double deadline = 0) {
  std::size_t need = std::string::npos;
  std::size_t head_end = std::string::npos;
  while (true) {
    if (head_end == std::string::npos) {
      head_end = buffer.find("\r\n\r\n");
      if (head_end != std::string::npos) {
        head = buffer.substr(0, head_end + 2);
        std::size_t length = 0;
        for (std::size_t at = head.find("\r\n"); at + 2 < head.size(); at = head.find("\r\n", at + 2))
          if (strncasecmp(head.c_str() + at + 2, "content-length:", 15) == 0)
            length = std::strtoul(head.c_str() + at + 17, nullptr, 10);
        need = head_end + 4 + length;
      }
    }
    if (need != std::string::npos && buffer.size() >= need) {
      body = buffer.substr(head_end + 4, need - head_end - 4);
      buffer.erase(0, need);
      return true;
    }
    if (deadline > 0) {
      const double left = deadline - now_s();
      pollfd waited{fd, POLLIN, 0};
      if (left <= 0 || poll(&waited, 1, static_cast<int>(left * 1000) + 1) <= 0) return false;
    }
    char data[16384];
    const ssize_t count = recv(fd, data, sizeof data, 0);
    if (count <= 0) return false;
    buffer.append(data, static_cast<std::size_t>(count));
  }
}

inline bool write_all(int fd, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t count = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

/// Serves HTTP on one port with a thread for each connection.
class HttpServer {
 public:
  HttpServer(int port, std::function<Response(const Request&)> handler)
      : handler_(std::move(handler)), fd_(listen_on(port)) {
    std::thread([this] { accept_all(); }).detach();
  }

 private:
  void accept_all() {
    while (true) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        sleep_s(0.01);
        continue;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, fd] { serve(fd); }).detach();
    }
  }
  void serve(int fd) {
    std::string buffer, head, body;
    while (read_message(fd, buffer, head, body)) {
      Request request;
      const std::size_t first = head.find(' ');
      const std::size_t second = head.find(' ', first + 1);
      request.method = head.substr(0, first);
      request.target = head.substr(first + 1, second - first - 1);
      request.body = body;
      const Response response = handler_(request);
      if (response.status == 0) break;
      if (!write_all(fd, "HTTP/1.1 " + std::to_string(response.status) +
                             " X\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(response.body.size()) + "\r\n\r\n" + response.body))
        break;
    }
    close(fd);
  }

  std::function<Response(const Request&)> handler_;
  int fd_;
};

/// A connection of a client, which sends one request at a time.
class HttpClient {
 public:
  explicit HttpClient(int port) : port_(port) {}
  ~HttpClient() { disconnect(); }
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void disconnect() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
    buffer_.clear();
  }
  /// Status 0: no response in time, or the connection failed.
  Response call(const std::string& method, const std::string& target, const std::string& body,
                double timeout) {
    const double deadline = now_s() + timeout;
    if (fd_ < 0 && !connect_to()) return {};
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: 127.0.0.1:" +
                       std::to_string(port_) + "\r\n";
    if (method != "GET")
      text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
              "\r\n";
    Response response;
    std::string head;
    if (!write_all(fd_, text + "\r\n" + body) ||
        !read_message(fd_, buffer_, head, response.body, deadline)) {
      disconnect();
      return {};
    }
    response.status = std::atoi(head.c_str() + head.find(' ') + 1);
    if (head.find("Connection: close") != std::string::npos) disconnect();
    return response;
  }

 private:
  bool connect_to() {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(port_);
    if (connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
      disconnect();
      return false;
    }
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return true;
  }

  int port_;
  int fd_ = -1;
  std::string buffer_;
};

inline std::string query_value(const std::string& target, const std::string& name) {
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t end = target.find('&', at + 1);
    const std::string item = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    if (item.rfind(name + "=", 0) == 0) return item.substr(name.size() + 1);
    at = end;
  }
  return "";
}

}  // namespace review
