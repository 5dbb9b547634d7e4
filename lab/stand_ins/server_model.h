/// @file
/// What a server does with its requests: cores, slots, a queue, a slow start, and the ways in which it goes
/// bad. It knows nothing of sockets: server stand-ins put it behind HTTP, hollow nodes call it directly.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>

#include "clock.h"

namespace nettleyoke::lab {

class ServerModel {
 public:
  struct Shape {
    int cores = 2;                   ///< shared by the requests that run
    int slots = 16;                  ///< requests that run at once
    int queue_limit = 32;            ///< requests that wait for a slot
    double initial_capacity = 1;     ///< the part of its speed that it starts with
    double slow_start_duration = 0;  ///< s until it has all of its speed
  };
  enum class Outcome {
    kServed,
    kFailed,
    kRejected,  ///< not processed: the queue is full
    kExpired    ///< its deadline passed while it waited in the queue
  };
  using OnEnd = std::function<void(Outcome)>;
  using JobId = std::uint64_t;

  ServerModel(boost::asio::io_context& io, const node::Clock& clock, const Shape& shape);
  ~ServerModel();
  ServerModel(const ServerModel&) = delete;
  ServerModel& operator=(const ServerModel&) = delete;

  /// Takes a request.
  /// @param work s of one core
  /// @param deadline s on the lab's clock, past which it is not begun
  /// @param on_end called at most once, never from within, and not after cancel() or stop()
  JobId begin(double work, double deadline, OnEnd on_end);
  /// The client has disconnected: a queued request never runs; one that runs ends for nobody.
  void cancel(JobId job_id);

  void set_hanging(bool is_hanging) { is_hanging_ = is_hanging; }
  void set_failing(bool is_failing) { is_failing_ = is_failing; }
  /// @param factor of the usual speed
  void set_speed(double factor) { speed_ = factor; }
  /// The process is gone, with all its requests.
  void stop();
  /// A new process, in slow start and without faults.
  void start();

  std::size_t running() const { return running_; }
  double work_done() const { return work_done_; }  ///< s of one core

 private:
  struct Job {
    double work = 0, deadline = 0;
    OnEnd on_end;
    std::unique_ptr<boost::asio::steady_timer> timer;  // empty while it waits in the queue or hangs
  };
  double current_speed() const;
  void run(JobId job_id);
  void finish(JobId job_id);
  void end_soon(JobId job_id, Outcome outcome);
  void run_queued();

  boost::asio::io_context& io_;
  const node::Clock& clock_;
  Shape shape_;
  std::unordered_map<JobId, Job> jobs_;  // all that were begun and have not ended
  std::deque<JobId> queue_;
  std::size_t running_ = 0;
  JobId last_job_id_ = 0;
  bool is_hanging_ = false, is_failing_ = false;
  double speed_ = 1, work_done_ = 0;
  double slow_start_since_ = -1;  // s on the lab's clock; below 0: it was never started anew
};

}  // namespace nettleyoke::lab
