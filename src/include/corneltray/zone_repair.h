#ifndef CORNELTRAY_ZONE_REPAIR_H_
#define CORNELTRAY_ZONE_REPAIR_H_

#include <map>
#include <string>
#include <vector>

#include "corneltray/placed_engine.h"

namespace corneltray {

// Returns new ranges for engines of a zone that is in use, without moving layers that no other
// engine holds. An empty engine takes the layers of a lost one (`vacancies`), which completes a
// copy again. Layers that no usable engine holds go to an empty engine, else to one whose layers
// are held elsewhere too, else to the engines with adjacent ranges while they keep a minimum KV
// cache. The remaining empty engines take the layers with the fewest holders. Engines that are not
// in the result keep their range.
LayerRanges RepairZone(const std::vector<PlacedEngine>& engines, const EngineProfile& profile,
                       const std::vector<LayerRange>& vacancies = {});

// Tracks the layers of lost engines that no other engine has taken over since. Needed when an
// engine crashes whose layers others hold as well: its copy stays incomplete until one engine takes
// exactly these layers. Not thread safe.
class VacancyTracker {
 public:
  // Records which engines are usable now.
  void Update(const std::vector<PlacedEngine>& engines);
  // Removes a vacancy that an engine takes over.
  void Fill(LayerRange range);
  std::vector<LayerRange> Open() const;

 private:
  std::map<std::string, LayerRange> m_held;  // by usable engine
  std::map<std::string, LayerRange> m_open;  // by lost engine
};

}  // namespace corneltray

#endif  // CORNELTRAY_ZONE_REPAIR_H_
