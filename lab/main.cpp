/// @file
/// nettleyoke-lab: runs experiments on real and hollow nodes, with stand-ins for servers and discovery and a
/// load generator, all on loopback.
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <stdexcept>
#include <string>
#include <system_error>
#include <vector>

#include "report/json_report.h"
#include "report/report.h"
#include "report/text_report.h"
#include "run/experiment.h"
#include "run/experiment_reader.h"
#include "run/experiment_run.h"

namespace {

namespace lab = nettleyoke::lab;
namespace fs = std::filesystem;

constexpr int kPassed = EXIT_SUCCESS;
constexpr int kFailed = 1;  // violations, or the nodes did not start, or the results could not be written
constexpr int kBadExperiment = 2;
constexpr int kInterrupted = 130;  // the status that shells report after SIGINT

constexpr const char* kDefaultExperimentFolder = "lab/experiments";
constexpr const char* kDefaultResultsFolder = "lab-results";  // in this program's folder
constexpr const char* kNodeProgramName = "nettleyoke";        // in this program's folder

/// A run cannot start or its results cannot be written.
struct LabError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A temporary folder; the destructor removes it with its contents.
class WorkFolder {
 public:
  WorkFolder() {
    std::string name = (fs::temp_directory_path() / "nettleyoke-lab-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
      throw LabError("cannot create a temporary folder for node files in " +
                     fs::temp_directory_path().string());
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

struct RunArguments {
  std::string experiment, json, node_program, results, logs;
  std::optional<std::uint64_t> seed;
};

struct Arguments {
  enum class Command { kRun, kList };
  Command command = Command::kRun;
  RunArguments run;
  std::string list_folder = kDefaultExperimentFolder;
};

/// Shows the current step: on a terminal in one line that each step overwrites, elsewhere as one line of
/// JSON.
/// @param at in s from the first request
void show_step(const std::string& step, double at) {
  if (::isatty(STDERR_FILENO) != 0) {
    std::fprintf(stderr, "\r\033[K%6.1f s  %s", at, step.c_str());
  } else {
    std::fprintf(stderr, "{\"step\":\"%s\",\"at\":%.3f}\n", step.c_str(), at);
  }
  std::fflush(stderr);
}

void clear_step() {
  if (::isatty(STDERR_FILENO) != 0) std::fputs("\r\033[K", stderr);
}

void write_file(const fs::path& path, const std::string& text) {
  if (path.has_parent_path()) fs::create_directories(path.parent_path());
  std::ofstream file(path, std::ios::binary);
  file << text;
  file.close();
  if (!file) throw LabError("cannot write results file " + path.string());
}

fs::path program_folder() { return fs::read_symlink("/proc/self/exe").parent_path(); }

/// Raises the soft limit of descriptors to the hard limit, because each hollow node uses four descriptors.
void raise_descriptor_limit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

std::string find_node_program(const RunArguments& arguments) {
  std::string path = arguments.node_program.empty() ? (program_folder() / kNodeProgramName).string()
                                                    : arguments.node_program;
  if (::access(path.c_str(), X_OK) != 0)
    throw LabError(path + " is not an executable node program; set its path with --node");
  return path;
}

void write_results(const RunArguments& arguments, const WorkFolder& work_folder, const lab::Report& report) {
  const fs::path folder =
      arguments.results.empty() ? program_folder() / kDefaultResultsFolder : fs::path(arguments.results);
  const std::string json = lab::to_json(report);
  const std::string table = lab::to_table(report);
  const std::string name = report.experiment->name + "-" + std::to_string(report.seed);
  write_file(folder / (name + ".json"), json);
  write_file(folder / (name + ".txt"), table);
  if (!arguments.json.empty()) write_file(arguments.json, json);
  if (!arguments.logs.empty()) {
    fs::copy(work_folder.path(), arguments.logs,
             fs::copy_options::recursive | fs::copy_options::overwrite_existing);
  }
  std::cout << table << "results written to " << (folder / name).string() << ".json and .txt\n";
}

int run(const RunArguments& arguments) {
  lab::Experiment experiment = lab::read_experiment(arguments.experiment);
  if (arguments.seed) experiment.seed = *arguments.seed;
  raise_descriptor_limit();
  const WorkFolder folder;
  const lab::RunOptions options{find_node_program(arguments), folder.path().string(), show_step};
  const lab::Report report = lab::run_experiment(experiment, options);
  clear_step();
  write_results(arguments, folder, report);
  if (report.interrupted) return kInterrupted;
  return report.passed() ? kPassed : kFailed;
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
  return kPassed;
}

/// @throws CLI::ParseError for invalid arguments and for --help
void parse(CLI::App& app, int count, char** values, Arguments& arguments) {
  RunArguments& run_arguments = arguments.run;
  app.require_subcommand(1);
  CLI::App* run_command = app.add_subcommand(
      "run",
      "Run an experiment. Exit status: 0 no violations, 1 violations or failed run, 2 invalid experiment "
      "file, 130 interrupted (partial results are written)");
  run_command->add_option("experiment", run_arguments.experiment, "Experiment file (.toml)")->required();
  run_command->add_option("--seed", run_arguments.seed,
                          "Random seed of the run; default: the seed in the experiment file");
  run_command->add_option("--json", run_arguments.json, "Write a copy of the JSON results to this file");
  run_command->add_option("--node", run_arguments.node_program,
                          "Node executable; default: nettleyoke in the folder of this program");
  run_command->add_option(
      "--results", run_arguments.results,
      "Folder for the results EXPERIMENT-SEED.json and .txt; default: lab-results in the folder of this "
      "program");
  run_command->add_option("--logs", run_arguments.logs,
                          "Copy the logs and configuration files of the nodes to this folder after the run");
  CLI::App* list_command =
      app.add_subcommand("list", "List the experiment files of a folder with their duration and title");
  list_command->add_option("folder", arguments.list_folder, "Folder with experiment files (.toml)")
      ->capture_default_str();
  app.parse(count, values);
  arguments.command = run_command->parsed() ? Arguments::Command::kRun : Arguments::Command::kList;
}

}  // namespace

int main(int count, char** values) {
  Arguments arguments;
  CLI::App app{
      "Load-tests nettleyoke nodes on loopback against simulated servers and discovery, injects faults and "
      "checks the nodes' behavior."};
  try {
    parse(app, count, values, arguments);
    return arguments.command == Arguments::Command::kRun ? run(arguments.run) : list(arguments.list_folder);
  } catch (const CLI::ParseError& error) {
    return app.exit(error);
  } catch (const lab::ExperimentError& error) {
    std::fprintf(stderr, "nettleyoke-lab: %s\n", error.what());
    return kBadExperiment;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "nettleyoke-lab: %s\n", error.what());
  }
  return kFailed;
}
