#ifndef REDWING_STEERING_SECTION_PARSER_H_
#define REDWING_STEERING_SECTION_PARSER_H_

#include <string>
#include <vector>

#include "framework/settings/object_reader.h"
#include "steering/section.h"

namespace redwing {

// Reads one section; problems are added to the reader's list.
Section ReadSection(const std::string& name, ObjectReader& reader);

// Parses the body of one section as kept in the store.
Result<Section> ParseSection(const std::string& name, std::string_view text);

// Parses a whole document: {"sections": {NAME: {...}}}.
Result<std::vector<Section>> ParseSections(const JsonSource& source);

}  // namespace redwing

#endif  // REDWING_STEERING_SECTION_PARSER_H_
