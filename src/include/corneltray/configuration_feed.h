#ifndef CORNELTRAY_CONFIGURATION_FEED_H_
#define CORNELTRAY_CONFIGURATION_FEED_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "corneltray/booking.h"
#include "corneltray/configuration.h"
#include "corneltray/result.h"

namespace corneltray {

class PeerNode;

// A configuration document with its revision. Revision 0 is the empty document of a new region.
struct RevisedDocument {
  std::uint64_t revision = 0;
  ConfigurationDocument document;
};

// Makes the body of configuration_changed and of the reply to configuration_fetch: a JSON Patch
// (RFC 6902) from the receiver's revision, or the whole document if `from` is empty. The patch
// applies to a form with one array element per line of text, so that a changed line costs one small
// operation.
nlohmann::json MakeConfigurationUpdate(const std::optional<RevisedDocument>& from,
                                       const RevisedDocument& to);

// Applies an update to the document that the receiver has. Fails when the update is malformed or
// starts from another revision.
Result<RevisedDocument> ApplyConfigurationUpdate(const RevisedDocument& current,
                                                 const nlohmann::json& update);

// Holds the active configuration of a process. Only a higher revision replaces it. With a PeerNode,
// the feed fetches from connected control processes and accepts their pushes; a control process
// passes no node and activates its committed document itself. Thread-safe.
class ConfigurationFeed {
 public:
  // Runs on the thread that activated the revision (the I/O thread of PeerNode, or the caller of
  // Activate) and must not block.
  using ChangeCallback = std::function<void(const std::shared_ptr<const Configuration>&)>;

  // `node` may be null. Otherwise it must outlive the feed and be stopped before the feed is
  // destroyed.
  ConfigurationFeed(PeerNode* node, std::string site);
  ~ConfigurationFeed();
  ConfigurationFeed(const ConfigurationFeed&) = delete;
  ConfigurationFeed& operator=(const ConfigurationFeed&) = delete;

  // Registers the push handler and starts fetching. Call before PeerNode::Start.
  void Start();

  // Call before Start.
  void SetChangeCallback(ChangeCallback callback);

  // Records that a peer reported this revision as committed, which raises RequiredRevision. Starts
  // a fetch when it is higher than the active revision.
  void NoteRevision(std::uint64_t revision);

  // Activates a committed document. Returns false and changes nothing when its revision is not
  // higher than the active one or the document is invalid for this site.
  bool Activate(const RevisedDocument& document);

  // Returns the active configuration, or null before the first one.
  std::shared_ptr<const Configuration> Current() const;

  // Returns the active document, with revision 0 before the first one.
  RevisedDocument Document() const;

  // Returns the highest revision that any peer has reported as committed, which operators see as
  // `floor`. The process is not ready below it.
  std::uint64_t RequiredRevision() const;

  // Returns whether the active configuration is at or above RequiredRevision.
  bool Ready() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace corneltray

#endif  // CORNELTRAY_CONFIGURATION_FEED_H_
