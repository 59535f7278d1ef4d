#ifndef CORNELTRAY_SETTINGS_WATCHER_H_
#define CORNELTRAY_SETTINGS_WATCHER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <string>

#include "corneltray/settings.h"

namespace corneltray {

// Reads the settings file again when its text has changed, also without a signal. A file with
// mistakes is reported and the settings in force stay. Lives on one io_context.
class SettingsWatcher {
 public:
  using Handler = std::function<void(HostSettings settings)>;

  SettingsWatcher(asio::io_context* io, std::string path, Handler handler);

  void Start();
  void Stop();
  // Looks now. `always`: calls the handler although the text is the same, as after a signal.
  void Check(bool always);

 private:
  void Plan();

  std::string m_path;
  Handler m_handler;
  asio::steady_timer m_timer;
  std::string m_text;  // in force
};

}  // namespace corneltray

#endif  // CORNELTRAY_SETTINGS_WATCHER_H_
