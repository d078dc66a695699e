// Prints what the load tool found.
#pragma once

#include "load.h"

#include <string>

namespace knapweed
{

std::string textReport(const LoadFigures &figures);
std::string jsonReport(const LoadFigures &figures);

} // namespace knapweed
