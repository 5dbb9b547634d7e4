#include "stand_ins/server_model.h"

#include <algorithm>
#include <utility>

namespace nettleyoke::lab {

using boost::system::error_code;
using node::Clock;

ServerModel::ServerModel(boost::asio::io_context& io, const Clock& clock, const Shape& shape)
    : io_(io), clock_(clock), shape_(shape) {}

ServerModel::~ServerModel() = default;

double ServerModel::speed_now() const {
  if (cold_since_ < 0 || shape_.slow_start_duration <= 0) return speed_;
  const double part = std::clamp((clock_.now() - cold_since_) / shape_.slow_start_duration, 0.0, 1.0);
  return speed_ * (shape_.initial_capacity + (1 - shape_.initial_capacity) * part);
}

ServerModel::Number ServerModel::begin(double work, double until, Done done) {
  const Number number = ++next_;
  Job& job = jobs_[number];
  job.work = work;
  job.until = until;
  job.done = std::move(done);
  if (hanging_) return number;  // taken, and nothing comes of it
  if (running_ < static_cast<std::size_t>(shape_.slots)) {
    run(number);
  } else if (waiting_.size() < static_cast<std::size_t>(shape_.room)) {
    waiting_.push_back(number);
  } else {
    end_later(number, End::kTurnedAway);
  }
  return number;
}

void ServerModel::run(Number number) {
  Job& job = jobs_.at(number);
  ++running_;
  // Those that run together share the cores; what runs already keeps the pace that it began with.
  const double share = std::min(1.0, static_cast<double>(shape_.cores) / static_cast<double>(running_));
  job.timer = std::make_unique<boost::asio::steady_timer>(
      io_, Clock::span(job.work / std::max(1e-3, speed_now() * share)));
  job.timer->async_wait([this, number](error_code cancelled) {
    if (!cancelled) finish(number);
  });
}

void ServerModel::finish(Number number) {
  const auto at = jobs_.find(number);
  if (at == jobs_.end()) return;
  const Done done = std::move(at->second.done);
  work_done_ += at->second.work;
  jobs_.erase(at);
  --running_;
  run_waiting();
  if (done && !hanging_) done(failing_ ? End::kFailed : End::kServed);
}

void ServerModel::run_waiting() {
  while (!waiting_.empty() && running_ < static_cast<std::size_t>(shape_.slots)) {
    const Number number = waiting_.front();
    waiting_.pop_front();
    if (jobs_.at(number).until <= clock_.now()) {
      end_later(number, End::kOver);
    } else {
      run(number);
    }
  }
}

void ServerModel::end_later(Number number, End end) {
  Job& job = jobs_.at(number);
  job.timer = std::make_unique<boost::asio::steady_timer>(io_, Clock::Steady::duration::zero());
  job.timer->async_wait([this, number, end](error_code cancelled) {
    const auto at = jobs_.find(number);
    if (cancelled || at == jobs_.end()) return;
    const Done done = std::move(at->second.done);
    jobs_.erase(at);
    if (done) done(end);
  });
}

void ServerModel::withdraw(Number number) {
  const auto at = jobs_.find(number);
  if (at == jobs_.end()) return;
  at->second.done = nullptr;
  if (at->second.timer) return;  // it runs
  std::erase(waiting_, number);
  jobs_.erase(at);
}

void ServerModel::stop() {
  jobs_.clear();
  waiting_.clear();
  running_ = 0;
}

void ServerModel::start() {
  stop();
  hanging_ = failing_ = false;
  speed_ = 1;
  cold_since_ = clock_.now();
}

}  // namespace nettleyoke::lab
