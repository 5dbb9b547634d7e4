// nettleyoke-lab: plays experiments on real nodes, with all that surrounds them on loopback.
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "report/report.h"
#include "run/experiment.h"
#include "run/experiment_run.h"

namespace {

namespace lab = nettleyoke::lab;
namespace fs = std::filesystem;

constexpr int kBroken = 1, kBadExperiment = 2, kCutOff = 130;

// Removed with all that is in it.
class WorkFolder {
 public:
  WorkFolder() {
    std::string name = (fs::temp_directory_path() / "nettleyoke-lab-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) throw std::runtime_error("no folder for the nodes' files");
    path_ = name;
  }
  ~WorkFolder() {
    std::error_code ignored;
    fs::remove_all(path_, ignored);
  }
  WorkFolder(const WorkFolder&) = delete;
  WorkFolder& operator=(const WorkFolder&) = delete;
  const fs::path& path() const { return path_; }

 private:
  fs::path path_;
};

// On a terminal one line that is written over, elsewhere a line of JSON for each step.
void show_step(const std::string& step, double at) {
  if (::isatty(STDERR_FILENO) != 0) {
    std::fprintf(stderr, "\r\033[K%6.1f s  %s", at, step.c_str());
  } else {
    std::fprintf(stderr, "{\"step\":\"%s\",\"at\":%.3f}\n", step.c_str(), at);
  }
  std::fflush(stderr);
}

void write_file(const fs::path& path, const std::string& text) {
  if (path.has_parent_path()) fs::create_directories(path.parent_path());
  std::ofstream file(path, std::ios::binary);
  file << text;
  file.close();
  if (!file) throw std::runtime_error("cannot write " + path.string());
}

fs::path own_folder() { return fs::read_symlink("/proc/self/exe").parent_path(); }

struct Run {
  std::string experiment, json, program, results, logs;
  std::optional<std::uint64_t> seed;
};

// Each hollow node takes four descriptors.
void raise_descriptors() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

int run(const Run& options) {
  lab::Experiment experiment = lab::read_experiment(options.experiment);
  if (options.seed) experiment.seed = *options.seed;
  raise_descriptors();
  const WorkFolder folder;
  lab::PlayOptions play;
  play.program = options.program.empty() ? (own_folder() / "nettleyoke").string() : options.program;
  if (::access(play.program.c_str(), X_OK) != 0) throw std::runtime_error("no node at " + play.program);
  play.folder = folder.path().string();
  play.progress = show_step;
  const lab::Report report = lab::play(experiment, play);
  if (::isatty(STDERR_FILENO) != 0) std::fputs("\r\033[K", stderr);
  const fs::path results = options.results.empty() ? own_folder() / "lab-results" : fs::path(options.results);
  const std::string json = lab::to_json(report), table = lab::to_table(report);
  const std::string name = experiment.name + "-" + std::to_string(experiment.seed);
  write_file(results / (name + ".json"), json);
  write_file(results / (name + ".txt"), table);
  if (!options.json.empty()) write_file(options.json, json);
  if (!options.logs.empty())
    fs::copy(folder.path(), options.logs, fs::copy_options::recursive | fs::copy_options::overwrite_existing);
  std::cout << table << "results in " << (results / name).string() << ".json, .txt\n";
  if (report.cut_off) return kCutOff;
  return report.is_good() ? EXIT_SUCCESS : kBroken;
}

int list(const std::string& folder) {
  std::vector<fs::path> files;
  for (const fs::directory_entry& file : fs::directory_iterator(folder)) {
    if (file.path().extension() == ".toml") files.push_back(file.path());
  }
  std::sort(files.begin(), files.end());
  for (const fs::path& file : files) {
    const lab::Experiment experiment = lab::read_experiment(file.string());
    std::printf("%-40s %5.0f s  %s\n", file.string().c_str(), experiment.seconds, experiment.title.c_str());
  }
  return EXIT_SUCCESS;
}

}  // namespace

int main(int count, char** values) {
  try {
    CLI::App app{"Plays experiments on real nodes, with servers, discovery and callers on loopback."};
    app.require_subcommand(1);
    Run options;
    std::string folder = "lab/experiments";
    CLI::App* run_command = app.add_subcommand("run", "Play an experiment; 0: all rules were kept");
    run_command->add_option("experiment", options.experiment, "A .toml file")->required();
    run_command->add_option("--seed", options.seed, "Instead of the experiment's own");
    run_command->add_option("--json", options.json, "The results go here too");
    run_command->add_option("--node", options.program, "The node's program; else the one built beside this");
    run_command->add_option("--results", options.results, "The folder for results; else beside this program");
    run_command->add_option("--logs", options.logs, "Keep the nodes' logs and configurations in this folder");
    CLI::App* list_command = app.add_subcommand("list", "The experiments there are");
    list_command->add_option("folder", folder, "Where they lie")->capture_default_str();
    CLI11_PARSE(app, count, values);
    return run_command->parsed() ? run(options) : list(folder);
  } catch (const lab::BadExperiment& problem) {
    std::fprintf(stderr, "nettleyoke-lab: %s\n", problem.what());
    return kBadExperiment;
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "nettleyoke-lab: %s\n", problem.what());
  }
  return kBroken;
}
