#include "sheet/document_directory.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <system_error>

namespace comfreyspring::sheet {
namespace {

std::string ManifestPath(const std::string& directory) {
  return directory + "/manifest.json";
}

/** `parts/<hash>`; the key on the platform is `part/<hash>`. */
std::string PartPath(const std::string& directory, std::uint64_t hash) {
  return directory + "/parts/" + config::HashText(hash);
}

void WriteFile(const std::string& path, const std::string& bytes) {
  const std::string temporary = path + ".new";
  std::ofstream file(temporary, std::ios::binary | std::ios::trunc);
  file.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  file.close();
  if (!file) throw file_error("cannot write '" + path + "'");
  std::error_code failure;
  std::filesystem::rename(temporary, path, failure);
  if (failure) {
    throw file_error("cannot write '" + path + "': " + failure.message());
  }
}

}  // namespace

std::string ReadFile(const std::string& path) {
  std::error_code ignored;
  if (std::filesystem::is_directory(path, ignored)) {
    throw file_error("cannot read '" + path + "': it is a directory");
  }
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    throw file_error("cannot read '" + path + "': " + std::strerror(errno));
  }
  std::string bytes((std::istreambuf_iterator<char>(file)),
                    std::istreambuf_iterator<char>());
  if (file.bad()) throw file_error("cannot read '" + path + "'");
  return bytes;
}

void WriteDocuments(const std::string& directory,
                    const config::document_set& documents) {
  std::error_code failure;
  std::filesystem::create_directories(directory + "/parts", failure);
  if (failure) {
    throw file_error("cannot create '" + directory +
                     "/parts': " + failure.message());
  }
  for (const auto& [hash, bytes] : documents.parts) {
    WriteFile(PartPath(directory, hash), bytes);
  }
  WriteFile(ManifestPath(directory), documents.manifest_bytes);
}

config::configuration ReadDocuments(const std::string& directory) {
  const std::string manifest_bytes = ReadFile(ManifestPath(directory));
  std::map<std::uint64_t, std::string> parts;
  return config::DecodeSet(
      manifest_bytes, [&](std::uint64_t hash) -> const std::string* {
        return &(parts[hash] = ReadFile(PartPath(directory, hash)));
      });
}

}  // namespace comfreyspring::sheet
