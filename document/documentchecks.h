#pragma once

#include "document/fieldreaders.h"
#include "document/servicedocument.h"

namespace endiveshore::document {

/// Checks the rules that concern more than one field: unique names and addresses, references between the parts, group
/// sizes and connection limits. The caller must have checked the individual fields of @p document.
ReadResult checkDocument(const ServiceDocument &document);

}
