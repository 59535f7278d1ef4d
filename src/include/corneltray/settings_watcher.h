#ifndef CORNELTRAY_SETTINGS_WATCHER_H_
#define CORNELTRAY_SETTINGS_WATCHER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <string>

#include "corneltray/settings.h"

namespace corneltray {

// Polls the settings file and reloads it when its text has changed, so that no signal is needed. If
// the file is invalid, the issues are logged and the current settings stay in force. Runs on one
// io_context.
class SettingsWatcher {
 public:
  using Handler = std::function<void(HostSettings settings)>;

  SettingsWatcher(asio::io_context* io, std::string path, Handler handler);

  void Start();
  void Stop();
  // Checks the file immediately. `force` calls the handler even if the text is unchanged, as after
  // a signal.
  void Check(bool force);

 private:
  void ScheduleCheck();

  std::string m_path;
  Handler m_handler;
  asio::steady_timer m_timer;
  std::string m_text;  // as last read
};

}  // namespace corneltray

#endif  // CORNELTRAY_SETTINGS_WATCHER_H_
