#include "ctl/sheet_commands.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <ostream>
#include <utility>

#include "config/documents.h"
#include "ctl/command_line.h"
#include "sheet/compiler.h"
#include "sheet/differ.h"
#include "sheet/document_directory.h"

namespace comfreyspring::ctl {
namespace {

const option kSheet{"sheet"};
const option kFleet{"fleet"};
const option kPrevious{"previous"};

constexpr const char* kCheckHelp =
    "Usage: comfreyspringctl sheet check --sheet FILE --fleet FILE\n"
    "Lists every error and warning of the two files with row, column, value\n"
    "and remedy.\n"
    "Exit code: 0 no error, 1 errors, 2 invalid usage or unreadable file.\n";
constexpr const char* kCompileHelp =
    "Usage: comfreyspringctl sheet compile --sheet FILE --fleet FILE\n"
    "           --out DIR [--previous DIR] [--generation N]\n"
    "Writes DIR/manifest.json and DIR/parts/HASH. Publish the parts under\n"
    "part/HASH and then the manifest under manifest, within 60 s: new\n"
    "ownership epochs take effect 60 s after the compilation.\n"
    "  --previous DIR   documents of the active configuration; its generation\n"
    "                   is incremented, and its ownership epochs are kept\n"
    "  --generation N   used if greater than the next generation\n"
    "Exit code: 0 written, 1 errors in the sheet (nothing is written), 2\n"
    "invalid usage, or a file that cannot be read or written.\n";
constexpr const char* kDiffHelp =
    "Usage: comfreyspringctl sheet diff --previous DIR --sheet FILE\n"
    "           --fleet FILE\n"
    "Lists the records that a compilation would add (+), remove (-) and\n"
    "change (~).\n"
    "Exit code: 0 compared, 1 errors in the sheet, 2 invalid usage or\n"
    "unreadable file.\n";

std::size_t Count(const std::vector<sheet::issue>& issues,
                  sheet::severity level) {
  return static_cast<std::size_t>(std::count_if(
      issues.begin(), issues.end(),
      [level](const sheet::issue& item) { return item.level == level; }));
}

/** Reads and checks both files, and prints their issues. */
sheet::checked_input Check(const command_line& options, std::ostream& out) {
  const std::string sheet_path = options.Required("sheet");
  const std::string fleet_path = options.Required("fleet");
  sheet::checked_input input =
      sheet::CheckInput({sheet_path, sheet::ReadFile(sheet_path)},
                        {fleet_path, sheet::ReadFile(fleet_path)});
  for (const sheet::issue& item : input.issues) {
    out << sheet::ToString(item) << '\n';
  }
  return input;
}

std::optional<config::configuration> ReadPrevious(const command_line& options) {
  if (!options.Has("previous")) return std::nullopt;
  const std::string directory = options.Required("previous");
  try {
    return sheet::ReadDocuments(directory);
  } catch (const sheet::file_error&) {
    throw;
  } catch (const core::error& failure) {
    throw sheet::file_error("the documents in '" + directory +
                            "' are invalid: " + failure.what());
  }
}

core::wall_time Now() {
  return std::chrono::time_point_cast<core::milliseconds>(
      std::chrono::system_clock::now());
}

void ReportWritten(const config::configuration& set,
                   const config::document_set& documents,
                   const std::string& directory, std::ostream& out) {
  out << "Wrote generation " << set.version.generation << " to " << directory
      << ": " << set.adapters.size() << " adapters, " << set.endpoints.size()
      << " endpoints, " << set.services.size() << " services, "
      << set.stops.size() << " planned stops in " << documents.parts.size()
      << " parts.\n";
}

}  // namespace

int CheckSheet(const std::vector<std::string>& arguments, std::ostream& out) {
  const command_line options(arguments, {kSheet, kFleet});
  if (options.Has("help")) {
    out << kCheckHelp;
    return kExitSuccess;
  }
  const sheet::checked_input input = Check(options, out);
  out << Count(input.issues, sheet::severity::error) << " errors, "
      << Count(input.issues, sheet::severity::warning) << " warnings.\n";
  return sheet::HasErrors(input.issues) ? kExitSheetErrors : kExitSuccess;
}

int CompileSheet(const std::vector<std::string>& arguments, std::ostream& out) {
  const command_line options(
      arguments, {kSheet, kFleet, kPrevious, {"out"}, {"generation"}});
  if (options.Has("help")) {
    out << kCompileHelp;
    return kExitSuccess;
  }
  const std::string directory = options.Required("out");
  const auto generation = options.Number("generation", 1);
  const auto previous = ReadPrevious(options);
  const sheet::checked_input input = Check(options, out);
  if (sheet::HasErrors(input.issues)) return kExitSheetErrors;
  sheet::compile_options compile{Now(), std::nullopt};
  if (generation) compile.generation = static_cast<std::uint64_t>(*generation);
  const config::configuration set =
      sheet::Compile(input, previous ? &*previous : nullptr, compile);
  const config::document_set documents = config::EncodeSet(set);
  sheet::WriteDocuments(directory, documents);
  ReportWritten(set, documents, directory, out);
  if (!previous && set.version.generation > 1) {
    out << "Warning: without --previous, ownership epochs restart; calls in "
           "flight may end with outcome unknown.\n";
  }
  return kExitSuccess;
}

int DiffSheet(const std::vector<std::string>& arguments, std::ostream& out) {
  const command_line options(arguments, {kSheet, kFleet, kPrevious});
  if (options.Has("help")) {
    out << kDiffHelp;
    return kExitSuccess;
  }
  options.Required("previous");
  const auto previous = ReadPrevious(options);
  const sheet::checked_input input = Check(options, out);
  if (sheet::HasErrors(input.issues)) return kExitSheetErrors;
  const config::configuration set =
      sheet::Compile(input, &*previous, {Now(), std::nullopt});
  const std::vector<std::string> lines = sheet::Diff(*previous, set);
  for (const std::string& line : lines) out << line << '\n';
  out << lines.size() << " records change from generation "
      << previous->version.generation << ".\n";
  return kExitSuccess;
}

}  // namespace comfreyspring::ctl
