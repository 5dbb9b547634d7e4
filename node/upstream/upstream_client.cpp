#include "upstream/upstream_client.h"

#include <utility>

#include "upstream/server_pool.h"
#include "upstream/upstream_attempt.h"

namespace nettleyoke::node {

UpstreamClient::UpstreamClient(boost::asio::io_context& io, const UpstreamLimits& limits,
                               MemoryBudget& budget, Metrics& metrics)
    : context_(std::make_shared<UpstreamContext>(
          UpstreamContext{io, budget, metrics, limits, 0, false, [this] { return ensure_capacity(); }})) {}

UpstreamClient::~UpstreamClient() {
  context_->is_closed = true;
  for (auto& [name, pool] : pools_) pool->close();
}

void UpstreamClient::set_timeouts(double connect_timeout, double server_idle_timeout) {
  context_->limits.connect_timeout = connect_timeout;
  context_->limits.server_idle_timeout = server_idle_timeout;
}

void UpstreamClient::update_server(const std::string& server, const boost::asio::ip::tcp::endpoint& endpoint,
                                   double started_at, bool usable) {
  std::shared_ptr<ServerPool>& pool = pools_[server];
  if (!pool) pool = std::make_shared<ServerPool>(context_);
  pool->update(endpoint, started_at, usable);
}

// Attempts in flight keep the old pool alive; a server that is listed again gets a new pool. The waiting
// attempts fail in a later handler, so the decision library learns of the removal of the server before their
// failures.
void UpstreamClient::remove_server(const std::string& server) {
  const auto entry = pools_.find(server);
  if (entry == pools_.end()) return;
  const std::shared_ptr<ServerPool> pool = std::move(entry->second);
  pools_.erase(entry);
  pool->retire();
}

AttemptHandle UpstreamClient::start_attempt(const std::string& server,
                                            const std::shared_ptr<const OutgoingRequest>& request,
                                            const AttemptTimeLimits& limits, AttemptCallbacks callbacks) {
  const auto attempt = std::make_shared<UpstreamAttempt>(context_, std::move(callbacks));
  const auto entry = pools_.find(server);
  if (entry == pools_.end() || !(limits.timeout > 0) || !request->is_sendable()) {
    attempt->finish_later(Outcome::kNotSent);
  } else {
    attempt->assign(entry->second, request, limits);
  }
  return attempt;
}

void UpstreamClient::cancel(const AttemptHandle& handle) {
  const std::shared_ptr<UpstreamAttempt> attempt = handle.lock();
  if (attempt && !attempt->has_ended()) attempt->finish_later(Outcome::kCancelled);
}

void UpstreamClient::cancel_undelivered(const AttemptHandle& handle) {
  const std::shared_ptr<UpstreamAttempt> attempt = handle.lock();
  if (attempt && !attempt->has_ended()) attempt->cancel_undelivered();
}

void UpstreamClient::set_request_end(const AttemptHandle& handle, Clock::Steady::time_point end) {
  const std::shared_ptr<UpstreamAttempt> attempt = handle.lock();
  if (attempt && !attempt->has_ended()) attempt->set_request_end(end);
}

// At the limit, closes the connection that has been idle the longest over all pools.
bool UpstreamClient::ensure_capacity() {
  if (context_->connections < context_->limits.max_connections) return true;
  ServerPool* longest_idle = nullptr;
  for (auto& [name, pool] : pools_) {
    if (!pool->has_idle()) continue;
    if (longest_idle == nullptr || pool->earliest_idle_expiry() < longest_idle->earliest_idle_expiry()) {
      longest_idle = pool.get();
    }
  }
  if (longest_idle == nullptr) return false;
  longest_idle->drop_longest_idle();
  return true;
}

}  // namespace nettleyoke::node
