#include "node/config_document.h"

#include <algorithm>

#include "link/messages.h"

namespace yuccamast {

namespace {

struct FileMessage {
  std::string name;
  std::string text;
  MSGPACK_DEFINE(name, text)
};

struct FilesMessage {
  std::vector<FileMessage> files;
  MSGPACK_DEFINE(files)
};

}  // namespace

std::string PackConfigFiles(std::vector<ConfigFile> files) {
  std::ranges::sort(files, {}, &ConfigFile::name);
  FilesMessage message;
  std::ranges::transform(
      files, std::back_inserter(message.files), [](ConfigFile& file) {
        return FileMessage{std::move(file.name), std::move(file.text)};
      });
  return Pack(message);
}

std::optional<std::vector<ConfigFile>> UnpackConfigFiles(
    std::string_view text) {
  auto message = Unpack<FilesMessage>(text);
  if (!message) {
    return std::nullopt;
  }
  std::vector<ConfigFile> files;
  std::ranges::transform(
      message->files, std::back_inserter(files), [](FileMessage& file) {
        return ConfigFile{std::move(file.name), std::move(file.text)};
      });
  return files;
}

}  // namespace yuccamast
