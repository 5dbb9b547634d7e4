// What a server does with its requests: cores, slots, a waiting room, a cold start, and the ways in which it
// goes bad. It knows nothing of sockets: server stand-ins put it behind HTTP, hollow nodes call it directly.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include "clock.h"

namespace nettleyoke::lab {

class ServerModel {
 public:
  struct Shape {
    int cores = 2, slots = 16, room = 32;
    double initial_capacity = 1,
           slow_start_duration = 0;  // cold: from this part of its speed to all of it in so many s
  };
  enum class End { kServed, kFailed, kTurnedAway, kOver };
  using Done = std::function<void(End)>;
  using Number = std::uint64_t;

  ServerModel(boost::asio::io_context& io, const node::Clock& clock, const Shape& shape);
  ~ServerModel();
  ServerModel(const ServerModel&) = delete;
  ServerModel& operator=(const ServerModel&) = delete;

  // Takes a request of `work` s of one core that is over at `until`. `done` is called at most once, and never
  // from within; not after withdraw() or stop().
  Number begin(double work, double until, Done done);
  // Its caller has gone: one that waits never runs; what runs already runs to its end for nobody.
  void withdraw(Number number);

  void set_hanging(bool hanging) { hanging_ = hanging; }
  void set_failing(bool failing) { failing_ = failing; }
  void set_speed(double speed) { speed_ = speed; }
  // Its process is gone, with all that it had.
  void stop();
  // A new process, cold; well again.
  void start();

  std::size_t running() const { return running_; }
  double work_done() const { return work_done_; }  // s of one core

 private:
  struct Job {
    double work = 0, until = 0;
    Done done;
    std::unique_ptr<boost::asio::steady_timer> timer;
  };
  double speed_now() const;
  void run(Number number);
  void finish(Number number);
  void end_later(Number number, End end);
  void run_waiting();

  boost::asio::io_context& io_;
  const node::Clock& clock_;
  Shape shape_;
  std::unordered_map<Number, Job> jobs_;  // all that were begun and have not ended
  std::deque<Number> waiting_;
  std::size_t running_ = 0;
  Number next_ = 0;
  bool hanging_ = false, failing_ = false;
  double speed_ = 1, cold_since_ = -1, work_done_ = 0;
};

}  // namespace nettleyoke::lab
