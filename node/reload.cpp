#include "reload.h"

#include <exception>
#include <iostream>
#include <utility>

namespace nettleyoke::node {

ConfigReloader::ConfigReloader(std::string path, Config& in_force, const Parts& parts)
    : path_(std::move(path)), in_force_(in_force), parts_(parts) {}

void ConfigReloader::reload() {
  try {
    apply(prepare());
    parts_.metrics.reload_finished(true);
    std::clog << "reload: discovery at " << in_force_.discovery << ", " << in_force_.class_names.size()
              << " classes\n";
  } catch (const std::exception& error) {
    parts_.metrics.reload_finished(false);
    std::clog << "reload: " << error.what() << "; the configuration in force is kept\n";
  }
}

ConfigReloader::Prepared ConfigReloader::prepare() const {
  Config config = read_next_config(path_, parts_.clock, in_force_);
  RequestCatalog catalog =
      next_catalog(parts_.downstream.catalog(), config.class_names, config.tenant_names, config.settings);
  return {std::move(config), std::move(catalog)};
}

void ConfigReloader::apply(Prepared prepared) {
  Config& config = prepared.config;
  parts_.metrics.add_classes(config.class_names);
  parts_.upstream.set_timeouts(config.connect_timeout, config.server_idle_timeout);
  parts_.downstream.replace_catalog(std::move(prepared.catalog), config.settings.max_retry_after / 2);
  // Before replace_settings(): it may make the decision library request a watch, which must go to the new
  // address.
  parts_.discovery.set_directory(config.zone_directory);
  parts_.discovery.set_responds_immediately(!config.settings.must_watch);
  parts_.discovery.move_to(config.discovery);
  parts_.dispatcher.replace_settings(config.settings, config.max_open_requests);
  in_force_ = std::move(config);
}

}  // namespace nettleyoke::node
