#include "stand_ins/server_model.h"

#include <algorithm>
#include <utility>

namespace nettleyoke::lab {
namespace {

constexpr double kMinSpeed = 1e-3;  // a lower bound that keeps processing times finite

}  // namespace

using boost::system::error_code;
using node::Clock;

ServerModel::ServerModel(boost::asio::io_context& io, const Clock& clock, const Parameters& parameters)
    : io_(io), clock_(clock), parameters_(parameters) {}

ServerModel::~ServerModel() = default;

double ServerModel::current_speed() const {
  if (slow_start_since_ < 0 || parameters_.slow_start_duration <= 0) return speed_;
  const double fraction =
      std::clamp((clock_.now() - slow_start_since_) / parameters_.slow_start_duration, 0.0, 1.0);
  return speed_ * (parameters_.initial_capacity + (1 - parameters_.initial_capacity) * fraction);
}

ServerModel::JobId ServerModel::begin(double work, double deadline, OnEnd on_end) {
  const JobId job_id = ++last_job_id_;
  Job& job = jobs_[job_id];
  job.work = work;
  job.deadline = deadline;
  job.on_end = std::move(on_end);
  if (is_hanging_) return job_id;  // accepted but never processed
  if (running_ < static_cast<std::size_t>(parameters_.slots)) {
    run(job_id);
  } else if (queue_.size() < static_cast<std::size_t>(parameters_.queue_limit)) {
    queue_.push_back(job_id);
  } else {
    end_later(job_id, Outcome::kRejected);
  }
  return job_id;
}

void ServerModel::run(JobId job_id) {
  Job& job = jobs_.at(job_id);
  ++running_;
  // Running requests share the cores. The speed of a request is fixed when it starts.
  const double share = std::min(1.0, static_cast<double>(parameters_.cores) / static_cast<double>(running_));
  job.timer = std::make_unique<boost::asio::steady_timer>(
      io_, Clock::to_duration(job.work / std::max(kMinSpeed, current_speed() * share)));
  job.timer->async_wait([this, job_id](error_code cancelled) {
    if (!cancelled) finish(job_id);
  });
}

void ServerModel::finish(JobId job_id) {
  const auto found = jobs_.find(job_id);
  if (found == jobs_.end()) return;
  const OnEnd on_end = std::move(found->second.on_end);
  work_done_ += found->second.work;
  jobs_.erase(found);
  --running_;
  run_queued();
  if (on_end && !is_hanging_) on_end(is_failing_ ? Outcome::kFailed : Outcome::kServed);
}

void ServerModel::run_queued() {
  while (!queue_.empty() && running_ < static_cast<std::size_t>(parameters_.slots)) {
    const JobId job_id = queue_.front();
    queue_.pop_front();
    if (jobs_.at(job_id).deadline <= clock_.now()) {
      end_later(job_id, Outcome::kExpired);
    } else {
      run(job_id);
    }
  }
}

void ServerModel::end_later(JobId job_id, Outcome outcome) {
  Job& job = jobs_.at(job_id);
  job.timer = std::make_unique<boost::asio::steady_timer>(io_, Clock::Steady::duration::zero());
  job.timer->async_wait([this, job_id, outcome](error_code cancelled) {
    const auto found = jobs_.find(job_id);
    if (cancelled || found == jobs_.end()) return;
    const OnEnd on_end = std::move(found->second.on_end);
    jobs_.erase(found);
    if (on_end) on_end(outcome);
  });
}

void ServerModel::cancel(JobId job_id) {
  const auto found = jobs_.find(job_id);
  if (found == jobs_.end()) return;
  found->second.on_end = nullptr;
  if (found->second.timer) return;  // running, or its end is scheduled
  std::erase(queue_, job_id);
  jobs_.erase(found);
}

void ServerModel::stop() {
  jobs_.clear();
  queue_.clear();
  running_ = 0;
}

void ServerModel::start() {
  stop();
  is_hanging_ = is_failing_ = false;
  speed_ = 1;
  slow_start_since_ = clock_.now();
}

}  // namespace nettleyoke::lab
