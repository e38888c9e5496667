#pragma once

#include "document/fieldreaders.h"
#include "document/servicedocument.h"

namespace endiveshore::document {

/// Checks the rules that concern more than one field: unique names and addresses, references between the parts, group
/// sizes and connection limits. @p document must have passed the checks of its single fields.
ReadResult checkDocument(const ServiceDocument &document);

}
