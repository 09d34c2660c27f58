// Prints the content of docs/settings.md.
#include <fulmarjunction/settings/settings.hpp>

#include <fmt/format.h>

int main()
{
    fmt::print("{}", fulmarjunction::settings_reference());
}
