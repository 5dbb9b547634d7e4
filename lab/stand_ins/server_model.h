/// @file
/// Models how a server processes requests: cores, slots, a queue, slow start and injected faults. Does no
/// I/O: server stand-ins serve it over HTTP, and hollow nodes call it directly.
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
  struct Parameters {
    int cores = 2;                   ///< shared by the running requests
    int slots = 16;                  ///< maximum number of requests running at once
    int queue_limit = 32;            ///< maximum number of requests waiting for a slot
    double initial_capacity = 1;     ///< fraction of full speed at the start
    double slow_start_duration = 0;  ///< s until full speed
  };
  enum class Outcome {
    kServed,
    kFailed,
    kRejected,  ///< not processed: the queue is full
    kExpired    ///< its deadline passed while it waited in the queue
  };
  using OnEnd = std::function<void(Outcome)>;
  using JobId = std::uint64_t;

  ServerModel(boost::asio::io_context& io, const node::Clock& clock, const Parameters& parameters);
  ~ServerModel();
  ServerModel(const ServerModel&) = delete;
  ServerModel& operator=(const ServerModel&) = delete;

  /// Accepts, queues or rejects a request.
  /// @param work CPU time in s of one core
  /// @param deadline in s on the lab's clock; a queued request is not started after it
  /// @param on_end called at most once, never from within this call, and not after cancel() or stop()
  JobId begin(double work, double deadline, OnEnd on_end);
  /// Cancels a request whose client disconnected: a queued request never runs; a running one runs to its end
  /// without calling `on_end`.
  void cancel(JobId job_id);

  void set_hanging(bool is_hanging) { is_hanging_ = is_hanging; }
  void set_failing(bool is_failing) { is_failing_ = is_failing; }
  /// @param factor multiple of the normal speed
  void set_speed(double factor) { speed_ = factor; }
  /// Stops the process and drops all its requests.
  void stop();
  /// Starts a new process, in slow start and without faults.
  void start();

  std::size_t running() const { return running_; }
  double work_done() const { return work_done_; }  ///< CPU time in s of one core

 private:
  struct Job {
    double work = 0, deadline = 0;
    OnEnd on_end;
    std::unique_ptr<boost::asio::steady_timer> timer;  // null while the request is queued or hangs
  };
  double current_speed() const;
  void run(JobId job_id);
  void finish(JobId job_id);
  void end_later(JobId job_id, Outcome outcome);
  void run_queued();

  boost::asio::io_context& io_;
  const node::Clock& clock_;
  Parameters parameters_;
  std::unordered_map<JobId, Job> jobs_;  // all jobs that have not ended
  std::deque<JobId> queue_;
  std::size_t running_ = 0;
  JobId last_job_id_ = 0;
  bool is_hanging_ = false, is_failing_ = false;
  double speed_ = 1, work_done_ = 0;
  double slow_start_since_ = -1;  // s on the lab's clock; below 0: not restarted yet, no slow start
};

}  // namespace nettleyoke::lab
