#ifndef CORNELTRAY_LOSS_TRACKER_H_
#define CORNELTRAY_LOSS_TRACKER_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "corneltray/placed_engine.h"
#include "corneltray/time.h"

namespace corneltray {

// An engine that became silent may have crashed and restart. Its layers are awaited for this long.
constexpr std::chrono::milliseconds kRestartWait{4000};
// An engine that departed does not return, and its replacement has started before. Its layers are
// awaited only until engines that depart with it have departed too.
constexpr std::chrono::milliseconds kDepartureWait{1000};

// Tracks the layers of lost engines that no other engine has taken over since. Needed when an
// engine is lost whose layers others hold as well: its copy stays incomplete. Not thread safe.
class LossTracker {
 public:
  // Records which engines are usable now.
  void Update(TimePoint now, const std::vector<PlacedEngine>& engines);
  // Removes a loss whose layers an engine takes over.
  void Fill(LayerRange range);

  std::vector<LayerRange> Open() const;
  // The open losses whose engine may still return.
  std::vector<LayerRange> Awaited(TimePoint now) const;

 private:
  struct Loss {
    LayerRange range;
    TimePoint awaited_until{};
  };
  std::map<std::string, LayerRange> m_held;  // by usable engine
  std::map<std::string, Loss> m_open;        // by lost engine
};

}  // namespace corneltray

#endif  // CORNELTRAY_LOSS_TRACKER_H_
