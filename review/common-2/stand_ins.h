// Stand-ins for the cases 6 to 10 of the review: a discovery agent, servers and clients on loopback, and the
// node itself as a child process. Written from PROTOCOL, DEPLOY and TERMS. One thread per connection,
// blocking sockets.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// Seconds on the steady clock since the case started.
double now();
void sleep_until(double time);
void sleep_for(double seconds);
/// Whether the case runs with its disruption (false with TROUBLE=0).
bool has_trouble();
/// Writes one line, with the time, to record.txt and to standard output.
void record(const char* format, ...) __attribute__((format(printf, 1, 2)));
/// Ends the case with 2: it could not run.
[[noreturn]] void cannot_run(const std::string& reason);
/// Records the result, ends the node and ends the case: with 1 if `broken`, else with 0. The threads of the
/// stand-ins are still running then, so that nothing is destroyed.
[[noreturn]] void finish(bool broken, const std::string& text);

struct Head {
  std::string first_line;
  std::map<std::string, std::string> fields;  // names in lower case
  std::string field(const std::string& name) const;
};

/// A connected TCP socket with a read buffer.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {}
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { close(); }

  enum class End { kNone, kClosed, kReset, kTimeout };

  int descriptor() const { return descriptor_; }
  /// Sends all bytes; false if the connection has broken.
  bool send(const std::string& bytes);
  /// Reads one head. False at the end of the connection or at the time `until`; see end().
  bool read_head(Head& head, double until);
  /// Reads bytes until `size` are in `body`.
  bool read_bytes(std::string& body, std::size_t size, double until);
  bool read_chunked(std::string& body, double until);
  bool read_until_close(std::string& body, double until);
  /// Reads once; false at an end.
  bool read_some(double until);
  std::string& buffer() { return buffer_; }
  End end() const { return end_; }
  void close();
  void reset();

 private:
  bool read_line(std::string& line, double until);
  int descriptor_;
  std::string buffer_;
  End end_ = End::kNone;
};

/// A listening socket on a free loopback port. Each connection gets a thread.
class Listener {
 public:
  explicit Listener(std::function<void(Connection&)> serve);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  std::function<void(Connection&)> serve_;
  int descriptor_ = -1;
  int port_ = 0;
};

/// A port that was free a moment ago.
int free_port();

struct Request {
  std::string id;
  std::string target;
  std::string method;
  long timeout_ms = 0;
  std::string body;
  double arrived_at = 0;  // of the last byte
};

/// The ids that clients have sent; a server answers 400 to any other.
class SentIds {
 public:
  void add(const std::string& id);
  bool contains(const std::string& id);

 private:
  std::mutex mutex_;
  std::map<std::string, bool> ids_;
};
SentIds& sent_ids();

/// A server of the first tier. By default it works for `work_s` and answers 200 with a body that names the
/// request.
class Server {
 public:
  /// Returns false if the connection must be closed.
  using Handler = std::function<bool(Connection&, const Request&)>;
  Server(std::string name, Handler handler);
  const std::string& name() const { return name_; }
  std::string address() const { return listener_.address(); }
  std::vector<Request> requests();

 private:
  void serve(Connection& connection);
  std::string name_;
  Handler handler_;
  std::mutex mutex_;
  std::vector<Request> requests_;
  Listener listener_;
};

std::string body_for(const std::string& server, const std::string& id);
/// A 200 answer with a length.
std::string ok_response(const std::string& body);

/// The agent of discovery: pushes the list and its changes, and an empty line every 2 s.
class Agent {
 public:
  /// @param answer_delay s from a call to its answer
  explicit Agent(const std::vector<Server*>& servers, double answer_delay = 0);
  std::string address() const { return listener_.address(); }
  /// The complete list as it is now.
  std::string list();
  /// Lists the server as draining from now on.
  void drain(const std::string& server);

 private:
  struct Endpoint {
    std::string name;
    std::string address;
    std::string status;
  };
  std::string entry(const Endpoint& endpoint) const;
  std::string changes();
  void serve(Connection& connection);
  void serve_watch(Connection& connection);

  std::mutex mutex_;
  std::vector<Endpoint> endpoints_;
  std::vector<Endpoint> changed_;  // since the first version of the list
  double answer_delay_;
  Listener listener_;
};

struct RequestClass {
  std::string name;
  std::string effect;  // safe, keyed or unsafe
  double aim;
  double give_up;
};

/// The node: the run command of the deploy file, started from the root.
class Node {
 public:
  Node(Agent& agent, const std::vector<RequestClass>& classes);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  int port() const { return port_; }
  void signal(int number);
  bool has_exited();

 private:
  void await_health();
  pid_t process_ = -1;
  int port_ = 0;
};

/// Connects to a loopback port; cannot_run() if that fails.
int connect_to(int port, int receive_buffer = 0);

struct Answer {
  bool is_whole = false;
  int status = 0;
  std::string body;
  double ended_at = 0;   // of the last byte, or of the end of the connection
  bool is_last = false;  // Connection: close
  Connection::End end = Connection::End::kNone;
};
const char* name_of(Connection::End end);

/// A new request id.
std::string new_id();
/// The bytes of a GET of a safe class, with a new id that the servers know.
std::string get_request(const std::string& request_class, const std::string& id, long timeout_ms);
/// The same for a POST of an unsafe class, with a short body and no key.
std::string post_request(const std::string& request_class, const std::string& id, long timeout_ms);
/// Reads one answer until `until` at most.
Answer read_answer(Connection& connection, double until);

}  // namespace review
