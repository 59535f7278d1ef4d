#ifndef CORNELTRAY_FILTERS_H_
#define CORNELTRAY_FILTERS_H_

#include <memory>

#include "corneltray/http_api.h"

namespace corneltray {

// Parses path, headers and body into a call. Checks all that needs no configuration.
class ParseFilter {
 public:
  explicit ParseFilter(const EntryContext* entry) : m_entry(entry) {}
  FilterResult Apply(RequestContext& context);

 private:
  FilterResult ParseDeadline(RequestContext& context) const;
  FilterResult ParseCompletion(RequestContext& context) const;
  FilterResult ParseService(RequestContext& context) const;

  const EntryContext* m_entry;
};

// Finds the customer of the bearer key, comparing in constant time.
class CustomerFilter {
 public:
  FilterResult Apply(RequestContext& context);
};

// Checks the call against the configuration of its model or service.
class TargetFilter {
 public:
  explicit TargetFilter(const EntryContext* entry) : m_entry(entry) {}
  FilterResult Apply(RequestContext& context);

 private:
  const EntryContext* m_entry;
};

// Admits the request or refuses it early. A refused booking is recorded as not run.
class LimitFilter {
 public:
  explicit LimitFilter(const EntryContext* entry) : m_entry(entry) {}
  FilterResult Apply(RequestContext& context);

 private:
  const EntryContext* m_entry;
};

// Checks the idempotency key of a call that must not be repeated.
class IdempotencyFilter {
 public:
  FilterResult Apply(RequestContext& context);
};

// Chooses the first chain of a completion.
class RouteFilter {
 public:
  explicit RouteFilter(const EntryContext* entry) : m_entry(entry) {}
  FilterResult Apply(RequestContext& context);

 private:
  const EntryContext* m_entry;
};

// Sends the call to its upstream, collects the result and answers.
class DispatchFilter {
 public:
  explicit DispatchFilter(const EntryContext* entry) : m_entry(entry) {}
  FilterResult Apply(const std::shared_ptr<RequestContext>& context);

 private:
  const EntryContext* m_entry;
};

// Returns whether the text is a UUID version 7 in canonical form; upper case counts as invalid.
bool IsUuidV7(const std::string& text);

}  // namespace corneltray

#endif  // CORNELTRAY_FILTERS_H_
