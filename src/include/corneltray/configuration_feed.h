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

// A document with its revision. Revision 0 is the empty document of a new region.
struct RevisedDocument {
  std::uint64_t revision = 0;
  ConfigurationDocument document;
};

// The body of configuration_changed and of the reply to configuration_fetch: a JSON Patch
// (RFC 6902) from the receiver's revision, or the whole document without one. The patched form
// holds each text as an array of lines, so that a changed line costs one small operation.
nlohmann::json MakeConfigurationUpdate(const std::optional<RevisedDocument>& from,
                                       const RevisedDocument& to);

// Applies an update to the document that the receiver has. Fails when the update is malformed or
// starts from another revision.
Result<RevisedDocument> ApplyConfigurationUpdate(const RevisedDocument& current,
                                                 const nlohmann::json& update);

// Keeps the configuration in force at one process. Only greater revisions come into force. With a
// PeerNode it fetches from connected control processes and accepts their pushes; a control process
// passes none and offers its committed document itself. All functions may be called from any
// thread.
class ConfigurationFeed {
 public:
  // Runs on the thread that brought the revision into force (the I/O thread of PeerNode, or the
  // caller of Offer) and must not block.
  using ChangeCallback = std::function<void(const std::shared_ptr<const Configuration>&)>;

  // `node` may be null and outlives the feed otherwise; stop it before the feed is destroyed.
  ConfigurationFeed(PeerNode* node, std::string site);
  ~ConfigurationFeed();
  ConfigurationFeed(const ConfigurationFeed&) = delete;
  ConfigurationFeed& operator=(const ConfigurationFeed&) = delete;

  // Registers the push handler and starts to fetch. Call before PeerNode::Start.
  void Start();

  // Set before Start.
  void SetChangeCallback(ChangeCallback callback);

  // Raises the floor: a peer reports that this revision is committed. Fetches when it is greater
  // than the revision in force.
  void NoteRevision(std::uint64_t revision);

  // Brings a committed document into force. Returns false and changes nothing when the revision is
  // not greater than the one in force or the document is invalid for this site.
  bool Activate(const RevisedDocument& document);

  // The configuration in force, or null before the first one.
  std::shared_ptr<const Configuration> Current() const;

  // The document in force, at revision 0 before the first one.
  RevisedDocument Document() const;

  // The highest revision that any peer has reported.
  std::uint64_t RequiredRevision() const;

  // False until a configuration at or above the floor is in force.
  bool Ready() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace corneltray

#endif  // CORNELTRAY_CONFIGURATION_FEED_H_
