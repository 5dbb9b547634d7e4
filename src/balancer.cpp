// The public interface, and the events about membership and settings.
#include "nettleyoke/balancer.h"

#include <memory>
#include <variant>

#include "balancer_impl.h"

namespace nettleyoke {

Balancer::Impl::Impl(const Settings& settings, std::uint64_t seed) : random_(seed) {
  apply_settings(settings);
  for (const RequestClass& class_settings : settings.classes) {
    tier_limit_.add_configured_objective(class_settings.latency_objective);
  }
}

void Balancer::Impl::handle(double now, const Event& event, std::vector<Action>& actions) {
  now_ = now;
  actions_ = &actions;
  std::visit([this](const auto& typed_event) { on(typed_event); }, event);
}

// Validates first, so that invalid settings change nothing.
void Balancer::Impl::apply_settings(const Settings& settings) {
  validate(settings);
  settings_ = settings;
  slow_start_.configure(settings);
  subset_.configure(settings);
  selector_.configure(settings);
  tier_limit_.configure(settings);
  classes_.replace(settings);
  tenants_.replace(settings);
}

void Balancer::Impl::on(const Started& /*started*/) {
  if (settings_.must_watch) actions_->emplace_back(WatchMembership{});
}

void Balancer::Impl::on(const MembershipUpdate& update) {
  if (update.form == MembershipUpdate::Form::kFailed) return on_watch_failed();
  watch_backoff_.reset();
  tier_limit_.record_membership_update(now_);
  registry_.update(now_, update, random_);
  subset_.rebuild(registry_);
}

void Balancer::Impl::on_watch_failed() {
  if (!settings_.must_watch) return;
  const double due_at = watch_backoff_.next_watch_at(now_, settings_.notification_deadline, random_);
  actions_->emplace_back(SetTimer{due_at, ++watch_timer_token_});
}

void Balancer::Impl::on(const ServerAdminStateChanged& change) {
  if (registry_.set_admin_state(now_, change, random_)) subset_.rebuild(registry_);
}

void Balancer::Impl::on(const SettingsReplaced& replaced) {
  const bool was_watching = settings_.must_watch;
  apply_settings(replaced.settings);
  watch_backoff_.reset();  // the new settings may come with another discovery agent
  if (settings_.must_watch && !was_watching) actions_->emplace_back(WatchMembership{});
  subset_.rebuild(registry_);
}

void Balancer::Impl::on(const TimerFired& timer) {
  if (timer.token == watch_timer_token_ && settings_.must_watch) actions_->emplace_back(WatchMembership{});
}

Balancer::Balancer(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::handle(double now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}

bool Balancer::may_retry_incomplete_response(double now, const std::string& id) {
  return impl_->may_retry_incomplete_response(now, id);
}

std::size_t Balancer::server_count() const { return impl_->server_count(); }

std::size_t Balancer::unavailable_server_count(double now) const {
  return impl_->unavailable_server_count(now);
}

TenantStatistics Balancer::tenant_statistics(double now, std::size_t tenant) const {
  return impl_->tenant_statistics(now, tenant);
}

}  // namespace nettleyoke
