// Defines the functions of fmt that the program uses, in place of the shared
// library, of which Debian has no archive (cmake/StaticLibraries.cmake). The
// header defines them inline; their use here makes the compiler emit them.
#define FMT_HEADER_ONLY
#include <fmt/core.h>
#include <fmt/format.h>

#include <cstdio>
#include <locale>

namespace {

using FormatString = fmt::string_view;
using FormatArgs = fmt::format_args;

[[gnu::used]] std::string (*const Format)(FormatString,
                                          FormatArgs) = &fmt::vformat;
[[gnu::used]] void (*const Print)(FormatString, FormatArgs) = &fmt::vprint;
[[gnu::used]] void (*const PrintTo)(std::FILE *, FormatString,
                                    FormatArgs) = &fmt::vprint;
[[gnu::used]] bool (*const IsPrintable)(std::uint32_t) =
    &fmt::detail::is_printable;
[[gnu::used]] void (*const Throw)(const char *) =
    &fmt::detail::throw_format_error;

} // namespace

template std::locale fmt::detail::locale_ref::get<std::locale>() const;
