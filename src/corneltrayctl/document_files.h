#ifndef CORNELTRAY_DOCUMENT_FILES_H_
#define CORNELTRAY_DOCUMENT_FILES_H_

#include <map>
#include <string>
#include <vector>

#include "corneltray/booking.h"
#include "corneltray/schema.h"

namespace corneltray {

// A configuration document read from the operator's files.
struct DocumentFiles {
  std::string base_file;
  std::map<std::string, std::string> overlay_files;  // by site
};

// Splits SITE=FILE. Returns false when either is empty.
bool ParseOverlayArgument(const std::string& argument, DocumentFiles* files);

// Reads the files. Unreadable ones are reported in `issues`.
ConfigurationDocument ReadDocument(const DocumentFiles& files, std::vector<DocumentIssue>* issues);

// Replaces the names "base" and "overlay SITE" in issues by the file names.
void NameFiles(const DocumentFiles& files, std::vector<DocumentIssue>* issues);

// The merged values of a site as "table[name].key" to value text. Keys of customers are hidden.
std::map<std::string, std::string> FlatValues(const ParsedDocument& parsed);

// The sites of a document; one empty name when it has no overlay.
std::vector<std::string> SitesOf(const ConfigurationDocument& document);

}  // namespace corneltray

#endif  // CORNELTRAY_DOCUMENT_FILES_H_
