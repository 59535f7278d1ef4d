#include "corneltray/settings_watcher.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>
#include <vector>

#include "corneltray/log.h"

namespace corneltray {
namespace {

constexpr std::chrono::milliseconds kPollInterval{1000};

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

SettingsWatcher::SettingsWatcher(asio::io_context* io, std::string path, Handler handler)
    : m_path(std::move(path)), m_handler(std::move(handler)), m_timer(*io) {}

void SettingsWatcher::Start() {
  m_text = ReadFile(m_path);
  ScheduleCheck();
}

void SettingsWatcher::Stop() { m_timer.cancel(); }

void SettingsWatcher::ScheduleCheck() {
  m_timer.expires_after(kPollInterval);
  m_timer.async_wait([this](const asio::error_code& cancelled) {
    if (cancelled) return;
    Check(false);
    ScheduleCheck();
  });
}

void SettingsWatcher::Check(bool force) {
  std::string text = ReadFile(m_path);
  if (!force && text == m_text) return;
  m_text = text;
  std::vector<DocumentIssue> issues;
  HostSettings settings = ParseHostSettings({m_path, std::move(text)}, &issues);
  if (issues.empty()) return m_handler(std::move(settings));
  nlohmann::json messages = nlohmann::json::array();
  for (const DocumentIssue& issue : issues) messages.push_back(issue.ToString());
  LogEvent(LogLevel::kError, "settings_refused", {{"issues", std::move(messages)}});
}

}  // namespace corneltray
